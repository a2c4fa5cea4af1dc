#pragma once

#include "lovageledge/base/base.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace lovageledge::bench {

/** Virtual time: events run in the order of their times, ties in the order in which they were added. */
class event_queue {
public:
    explicit event_queue(runtime_clock& clock) : clock_{clock} {}

    void after(duration delay, std::function<void()> action) {
        events_.push({clock_.now() + delay, next_++, std::move(action)});
    }

    /** Runs events until a time. */
    void run_until(time_point end) {
        while (!events_.empty() && events_.top().when <= end) {
            const event item = events_.top();
            events_.pop();
            if (item.when > clock_.now()) {
                clock_.advance(item.when - clock_.now());
            }
            item.action();
        }
        clock_.advance(end - clock_.now());
    }

private:
    struct event {
        time_point when;
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator<(const event& other) const {
            return when > other.when || (when == other.when && number > other.number);
        }
    };

    runtime_clock& clock_;
    std::priority_queue<event> events_;
    std::uint64_t next_ = 0;
};

} // namespace lovageledge::bench
