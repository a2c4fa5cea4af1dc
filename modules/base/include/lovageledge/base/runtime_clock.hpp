#pragma once

#include <atomic>
#include <chrono>

namespace lovageledge {

using duration = std::chrono::nanoseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/**
    The time source of all decisions, which a test can control.

    It follows std::chrono::steady_clock until a test calls pause(); from then on only advance() moves it.
    All methods are thread-safe.
*/
class runtime_clock {
public:
    runtime_clock() = default;
    runtime_clock(const runtime_clock&) = delete;
    runtime_clock& operator=(const runtime_clock&) = delete;
    ~runtime_clock() = default;

    /** @returns the current time of this clock, which never goes backwards */
    time_point now() const;

    /** @returns the current time, including the time for which the machine was suspended. Only comparable to
        other results of this method; equal to now() while the clock is paused. */
    time_point now_with_suspension() const;

    /** Stops the clock at its current time. @see advance */
    void pause();

    /** Moves a paused clock forward. Precondition: the clock is paused and step is not negative. */
    void advance(duration step);

private:
    std::atomic<bool> is_paused_{false};
    std::atomic<duration::rep> paused_at_{0};
};

} // namespace lovageledge
