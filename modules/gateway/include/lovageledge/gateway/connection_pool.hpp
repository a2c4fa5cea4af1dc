#pragma once

#include "lovageledge/serving/serving.hpp"
#include "lovageledge/transport/transport.hpp"

#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace lovageledge {

/**
    A pool of idle keep-alive connections to backend servers.

    Connections are only reused for the server start (server_listing::started_at) that they were opened to;
    after a restart of the server they are closed. Not thread-safe.
*/
class connection_pool {
public:
    /** Removes a usable idle connection from the pool.
        @param max_idle_time connections that were idle for longer are closed
        @param excluded connections that are left in the pool
        @returns nullptr if there is none */
    std::shared_ptr<forwarding_connection>
    acquire(const server_listing& server, duration max_idle_time, time_point now,
            const std::vector<std::shared_ptr<forwarding_connection>>& excluded = {});
    /** Returns a connection to the pool, or closes it if it can't be kept alive.
        Precondition: the response was read to its end. */
    void release(const server_listing& server, std::shared_ptr<forwarding_connection> connection,
                 time_point now);
    /** Closes the idle connections to a server. */
    void close_all(const server_name& server);

private:
    struct idle_connections {
        std::uint64_t started_at = 0;
        std::deque<std::shared_ptr<forwarding_connection>> connections;
    };
    std::map<server_name, idle_connections> idle_;
};

} // namespace lovageledge
