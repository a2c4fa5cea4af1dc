#pragma once

#include "lovageledge/gateway/gateway_settings.hpp"
#include "lovageledge/transport/transport.hpp"

#include <map>
#include <string>

namespace lovageledge {

/** Another gateway, as known from its record in the store and from its messages. */
struct peer_gateway {
    std::string address;
    data_centre_name data_centre;
    bool is_connected = false;
};

/**
    The other gateways of the deployment, and the socket for messages to them.

    Connections are opened by the first message. Must only be used on the gateway's thread; the message
    listener is called on the socket's thread.
*/
class peer_directory {
public:
    /** @param on_message called on the socket's thread with each message */
    peer_directory(const gateway_settings& settings, peer_socket::message_handler on_message);

    /** Listens for messages from peers. @returns false and sets failure if the address can't be bound */
    bool listen(error& failure);

    /** Adds or updates a peer from its record in the store; this gateway's own record is ignored. */
    void on_registered(const protocol::GatewayRecord& record);
    void on_unregistered(const instance_name& name);

    /** @returns a peer, or nullptr if it is unknown */
    const peer_gateway* find(const instance_name& name) const;
    const std::map<instance_name, peer_gateway>& all() const { return peers_; }
    /** @returns the number of peers in this gateway's data centre, itself excluded */
    std::size_t count_local_peers() const;

    /** Sends a message and sets its sender fields. It is dropped if the peer is unknown or unreachable. */
    void send(const instance_name& to, protocol::Envelope& message);
    /** Sends a message to each peer in this gateway's data centre. */
    void send_to_data_centre(protocol::Envelope& message);

private:
    void connect(const instance_name& name, peer_gateway& peer);
    /** Sets the sender fields. @returns the serialised message */
    std::string serialise(protocol::Envelope& message) const;

    const gateway_settings& settings_;
    peer_socket socket_;
    std::map<instance_name, peer_gateway> peers_;
};

} // namespace lovageledge
