#pragma once

#include "lovageledge/gateway/gateway_settings.hpp"
#include "lovageledge/transport/transport.hpp"

#include <map>
#include <string>

namespace lovageledge {

/** Another gateway, as its record in the platform's store and its messages tell. */
struct peer_gateway {
    std::string start;
    std::string address;
    data_centre_name data_centre;
    time_point last_heard{};
    bool is_connected = false;
    bool is_stopping = false;
};

/**
    The other gateways, and the messages to them.

    Connections are opened at the first message. Used on the gateway's one thread; only the listener is called
    on the socket's own.
*/
class peer_directory {
public:
    /** @param on_message called on the socket's thread with each message */
    peer_directory(const gateway_settings& settings, peer_socket::message_handler on_message);

    /** @returns false with the reason if it can't listen */
    bool listen(error& why);

    /** Takes a gateway's record; this gateway's own is ignored. */
    void on_registered(const protocol::GatewayRecord& record);
    void on_unregistered(const instance_name& name);
    /** Notes that a message has come. @returns its sender, or nullptr if it is not known yet */
    peer_gateway* on_heard(const protocol::Envelope& message, time_point now);

    /** @returns a gateway, or nullptr */
    const peer_gateway* find(const instance_name& name) const;
    const std::map<instance_name, peer_gateway>& all() const { return peers_; }
    /** @returns gateways of this data centre beside this one */
    std::size_t neighbours() const;

    /** Sends a message, which is dropped if the gateway is not known or not reached. */
    void send(const instance_name& to, protocol::Envelope& message);
    void send_to_data_centre(protocol::Envelope& message);

private:
    void connect(const instance_name& name, peer_gateway& peer);

    const gateway_settings& settings_;
    peer_socket socket_;
    std::map<instance_name, peer_gateway> peers_;
};

} // namespace lovageledge
