#pragma once

#include "lovageledge/base/runtime_clock.hpp"

namespace lovageledge {

/**
    Decides when a periodic message is brought forward, since it is to pass on a peer's sighting of a crash.

    The first news is passed on at once. With many crashes, at most one message per interval is added.
*/
class crash_relay {
public:
    /** Notes that the next message will tell receivers of something new. */
    void on_news() { has_news_ = true; }
    /** Notes that the message is being sent. */
    void on_sent(time_point now) {
        last_relay_ = has_news_ ? now : last_relay_;
        has_news_ = false;
    }
    /** @returns true if the message is to be sent now, even if it is not due yet */
    bool is_due(time_point now, duration interval) const {
        return has_news_ && now - last_relay_ >= interval;
    }

private:
    bool has_news_ = false;
    time_point last_relay_{};
};

} // namespace lovageledge
