#pragma once

#include "lovageledge/base/base.hpp"

#include <optional>

namespace lovageledge {

/**
    Estimates how long a peer's messages were on their way, from its clock and ours.

    The clocks differ by an unknown offset, so the fastest message of the last minutes is taken as the
   measure: what a message took longer than that, it has waited in a queue. The measure is renewed from time
   to time, since clocks drift. Not thread-safe.
*/
class message_delay {
public:
    /** Processes a message.
        @param sent_at time on the sender's clock @param received_at time on this instance's clock
        @returns how much longer the message took than the fastest one */
    duration on_message(time_point sent_at, time_point received_at);
    /** Forgets the sender, as when another one follows. */
    void reset() { *this = message_delay{}; }

private:
    /** Smallest differences of the clocks in the current period and the one before. */
    std::optional<duration> current_;
    std::optional<duration> previous_;
    time_point period_end_{};
};

} // namespace lovageledge
