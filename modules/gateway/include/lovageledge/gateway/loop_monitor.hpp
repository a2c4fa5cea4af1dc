#pragma once

#include "lovageledge/gateway/gateway_state.hpp"

#include <boost/asio.hpp>
#include <memory>
#include <optional>

namespace lovageledge {

/** Notices that the gateway's thread has run no handlers for a while: one of them took long, or the process
   did not get the processor. Whatever arrived meanwhile is seen late, and timers end late. */
class loop_monitor {
public:
    loop_monitor(boost::asio::io_context& context, gateway_state& state) : timer_{context}, state_{state} {}

    /** Starts to observe, until this object is destroyed. */
    void start() { schedule(); }
    /** @returns the earliest time at which something that is noticed now may have arrived. Precondition:
        start() was called. */
    time_point earliest_arrival(time_point now) const;

private:
    void schedule();
    void remember_delay();

    boost::asio::steady_timer timer_;
    gateway_state& state_;
    /** Set in the turn of the loop in which a check has run late. */
    std::shared_ptr<std::optional<time_point>> last_delay_began_ =
        std::make_shared<std::optional<time_point>>();
};

} // namespace lovageledge
