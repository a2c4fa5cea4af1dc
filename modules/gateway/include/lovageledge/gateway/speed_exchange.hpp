#pragma once

#include "lovageledge/gateway/gateway_state.hpp"
#include "lovageledge/protocol/peer_message.hpp"

#include <map>
#include <string>
#include <vector>

namespace lovageledge {

/**
    Fills and reads the servers' speeds in the messages of load_exchange, and updates the estimates of the
   known servers. Must only be used on the gateway's thread.
*/
class speed_exchange {
public:
    explicit speed_exchange(gateway_state& state) : state_{state} {}

    /** Adds the speeds to a message if the destination is due to get them, once a second.
        @returns true if they were added */
    template <class Message>
    bool fill(speed_scope scope, const std::string& destination, Message& message) {
        return is_due(destination) && append(scope, *message.mutable_speeds());
    }

    /** Applies the speeds of a message, if it has them. */
    template <class Message>
    void apply(speed_scope scope, const std::string& source, const Message& message) {
        if (message.has_speeds()) {
            apply_list(scope, source, message.speeds());
        }
    }

    /** Notes the work ahead of sent requests, and updates the estimates of the known servers once a second.
        Called at each heartbeat. */
    void update();

private:
    bool is_due(const std::string& destination);
    bool append(speed_scope scope, protocol::SpeedList& list) const;
    void apply_list(speed_scope scope, const std::string& source, const protocol::SpeedList& list);

    gateway_state& state_;
    std::map<std::string, time_point> last_sent_;
    time_point last_update_{};
};

} // namespace lovageledge
