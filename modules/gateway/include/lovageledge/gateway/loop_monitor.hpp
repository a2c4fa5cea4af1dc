#pragma once

#include "lovageledge/gateway/gateway_state.hpp"

#include <boost/asio.hpp>

namespace lovageledge {

/** Notices that the gateway's thread has run no handlers for a while: one of them took long, or the process
   did not get the processor. Whatever arrived meanwhile is seen late, and timers end late. */
class loop_monitor {
public:
    loop_monitor(boost::asio::io_context& context, gateway_state& state) : timer_{context}, state_{state} {}

    /** Starts to observe, until this object is destroyed. */
    void start() { schedule(); }

private:
    void schedule();

    boost::asio::steady_timer timer_;
    gateway_state& state_;
};

} // namespace lovageledge
