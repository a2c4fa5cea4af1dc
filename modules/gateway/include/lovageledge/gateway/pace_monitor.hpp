#pragma once

#include "lovageledge/gateway/gateway_state.hpp"

namespace lovageledge {

/** Tells the number of gateways to server_pace, and counts its changes in the metrics. Must only be used on
   the gateway's thread. */
class pace_monitor {
public:
    explicit pace_monitor(gateway_state& state) : state_{state} {}

    /** Called at each heartbeat. @param gateways number of gateways, including this one */
    void update(std::size_t gateways);

private:
    gateway_state& state_;
};

} // namespace lovageledge
