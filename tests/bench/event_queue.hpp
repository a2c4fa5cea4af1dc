#pragma once

#include "lovageledge/base/base.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace lovageledge::bench {

/** Event queue of a simulation in virtual time. Events run in the order of their times; events of the
    same time run in the order in which they were added. */
class event_queue {
public:
    explicit event_queue(runtime_clock& clock) : clock_{clock} {}

    /** Adds an action that runs after a delay from now. */
    void after(duration delay, std::function<void()> action) {
        events_.push({clock_.now() + delay, next_sequence_++, std::move(action)});
    }

    /** Runs all events up to the given time, then advances the clock to it. */
    void run_until(time_point end) {
        while (!events_.empty() && events_.top().when <= end) {
            const event next_event = events_.top();
            events_.pop();
            if (next_event.when > clock_.now()) {
                clock_.advance(next_event.when - clock_.now());
            }
            next_event.action();
        }
        clock_.advance(end - clock_.now());
    }

private:
    struct event {
        time_point when;
        std::uint64_t sequence = 0;
        std::function<void()> action;
        bool operator<(const event& other) const {
            return when > other.when || (when == other.when && sequence > other.sequence);
        }
    };

    runtime_clock& clock_;
    std::priority_queue<event> events_;
    std::uint64_t next_sequence_ = 0;
};

} // namespace lovageledge::bench
