#include "lovageledge/gateway/connection_pool.hpp"

namespace lovageledge {
namespace {

/** Idle connections that are kept for one server; servers bound the sum over all instances. */
constexpr std::size_t kept_per_server = 16;

} // namespace

std::shared_ptr<forwarding_connection> connection_pool::take(const server_listing& server,
                                                             duration idle_limit, time_point now) {
    const auto entry = idle_.find(server.name);
    if (entry == idle_.end()) {
        return nullptr;
    }
    if (entry->second.started_at != server.started_at) {
        drop(server.name);
        return nullptr;
    }
    auto& connections = entry->second.connections;
    while (!connections.empty()) {
        auto connection = std::move(connections.back());
        connections.pop_back();
        if (now - connection->idle_since() <= idle_limit && connection->is_reusable(now)) {
            return connection;
        }
        connection->abort();
    }
    return nullptr;
}

void connection_pool::keep(const server_listing& server, std::shared_ptr<forwarding_connection> connection,
                           time_point now) {
    if (!connection->keeps_alive()) {
        connection->abort();
        return;
    }
    idle_connections& entry = idle_[server.name];
    if (entry.started_at != server.started_at) {
        entry.connections.clear();
        entry.started_at = server.started_at;
    }
    connection->set_idle_since(now);
    entry.connections.push_back(std::move(connection));
    if (entry.connections.size() > kept_per_server) {
        entry.connections.front()->abort();
        entry.connections.pop_front();
    }
}

void connection_pool::drop(const server_name& server) {
    const auto entry = idle_.find(server);
    if (entry == idle_.end()) {
        return;
    }
    for (const auto& connection : entry->second.connections) {
        connection->abort();
    }
    idle_.erase(entry);
}

} // namespace lovageledge
