#include "lovageledge/gateway/connection_pool.hpp"

#include <algorithm>

namespace lovageledge {
namespace {

/** Idle connections per server; servers limit the total over all instances. */
constexpr std::size_t max_idle_per_server = 16;

} // namespace

std::shared_ptr<forwarding_connection>
connection_pool::acquire(const server_listing& server, duration max_idle_time, time_point now,
                         const std::vector<std::shared_ptr<forwarding_connection>>& excluded) {
    const auto entry = idle_.find(server.name);
    if (entry == idle_.end()) {
        return nullptr;
    }
    if (entry->second.started_at != server.started_at) {
        close_all(server.name);
        return nullptr;
    }
    auto& connections = entry->second.connections;
    const auto is_excluded = [&](const auto& connection) {
        return std::find(excluded.begin(), excluded.end(), connection) != excluded.end();
    };
    while (true) {
        // The most recently used connection first.
        const auto found = std::find_if_not(connections.rbegin(), connections.rend(), is_excluded);
        if (found == connections.rend()) {
            return nullptr;
        }
        auto connection = std::move(*found);
        connections.erase(std::prev(found.base()));
        if (now - connection->idle_since() <= max_idle_time && connection->is_reusable(now)) {
            return connection;
        }
        connection->abort();
    }
}

void connection_pool::release(const server_listing& server, std::shared_ptr<forwarding_connection> connection,
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
    if (entry.connections.size() > max_idle_per_server) {
        entry.connections.front()->abort();
        entry.connections.pop_front();
    }
}

void connection_pool::close_all(const server_name& server) {
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
