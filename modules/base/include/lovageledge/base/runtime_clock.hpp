#pragma once

#include <atomic>
#include <chrono>

namespace lovageledge {

using duration = std::chrono::nanoseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/**
    The clock that all decisions read.

    It follows the steady clock until a test pauses it; from then on it moves only by advance().
    All methods may be called from any thread.
*/
class runtime_clock {
public:
    runtime_clock() = default;
    runtime_clock(const runtime_clock&) = delete;
    runtime_clock& operator=(const runtime_clock&) = delete;
    ~runtime_clock() = default;

    /** @returns the current time of this clock; it never goes backwards */
    time_point now() const;

    /** Stops the clock at its current time. @see advance */
    void pause();

    /** Moves a paused clock. Precondition: paused, step not negative. @param step how far to move */
    void advance(duration step);

private:
    std::atomic<bool> is_paused_{false};
    std::atomic<duration::rep> paused_at_{0};
};

} // namespace lovageledge
