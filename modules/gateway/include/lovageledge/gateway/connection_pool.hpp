#pragma once

#include "lovageledge/serving/serving.hpp"
#include "lovageledge/transport/transport.hpp"

#include <deque>
#include <map>
#include <memory>

namespace lovageledge {

/**
    Idle connections to backend servers, kept for the next request.

    A connection belongs to one start of a server. Not thread-safe.
*/
class connection_pool {
public:
    /** Takes a usable idle connection. @param idle_limit longest idle time that the request accepts
        @returns nullptr if there is none */
    std::shared_ptr<forwarding_connection> take(const server_listing& server, duration idle_limit,
                                                time_point now);
    /** Keeps a connection whose answer was read to its end. */
    void keep(const server_listing& server, std::shared_ptr<forwarding_connection> connection,
              time_point now);
    /** Closes the idle connections to a server. */
    void drop(const server_name& server);

private:
    struct idle_connections {
        std::uint64_t started_at = 0;
        std::deque<std::shared_ptr<forwarding_connection>> connections;
    };
    std::map<server_name, idle_connections> idle_;
};

} // namespace lovageledge
