#include "lovageledge/gateway/peer_directory.hpp"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace lovageledge {
namespace {

/** Messages to a gateway that are queued at most. All of them are repeated or read from the store later. */
constexpr int queue_limit = 200;

} // namespace

peer_directory::peer_directory(const gateway_settings& settings, peer_socket::message_handler on_message)
    : settings_{settings}, socket_{std::move(on_message),
                                   [](const error& failure) { spdlog::warn("{}", failure.text()); },
                                   queue_limit} {}

bool peer_directory::listen(error& failure) {
    return socket_.listen(settings_.peer_address, failure);
}

void peer_directory::on_registered(const protocol::GatewayRecord& record) {
    const instance_name name{record.instance()};
    if (name == settings_.name) {
        return;
    }
    if (!parse_endpoint(record.peer_address())) {
        spdlog::warn("the record of gateway {} has no valid address", name.text());
        return;
    }
    peer_gateway& peer = peers_[name];
    const bool has_new_address = peer.address != record.peer_address();
    peer.address = record.peer_address();
    peer.data_centre = data_centre_name{record.data_centre()};
    peer.is_connected = peer.is_connected && !has_new_address;
}

void peer_directory::on_unregistered(const instance_name& name) {
    peers_.erase(name);
}

const peer_gateway* peer_directory::find(const instance_name& name) const {
    const auto peer = peers_.find(name);
    return peer == peers_.end() ? nullptr : &peer->second;
}

std::size_t peer_directory::count_local_peers() const {
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
        return entry.second.data_centre == settings_.data_centre;
    }));
}

void peer_directory::connect(const instance_name& name, peer_gateway& peer) {
    if (!peer.is_connected && !peer.address.empty()) {
        socket_.connect(name, peer.address);
        peer.is_connected = true;
    }
}

void peer_directory::send(const instance_name& to, protocol::Envelope& message) {
    const auto peer = peers_.find(to);
    if (peer == peers_.end()) {
        return;
    }
    connect(to, peer->second);
    socket_.send_bytes(to, serialise(message));
}

std::string peer_directory::serialise(protocol::Envelope& message) const {
    message.set_protocol_version(peer_protocol_version);
    message.set_from(settings_.name.text());
    message.set_from_start(settings_.start.text());
    return message.SerializeAsString();
}

void peer_directory::send_to_data_centre(protocol::Envelope& message) {
    const std::string bytes = serialise(message);
    for (auto& [name, peer] : peers_) {
        if (peer.data_centre == settings_.data_centre) {
            connect(name, peer);
            socket_.send_bytes(name, bytes);
        }
    }
}

} // namespace lovageledge
