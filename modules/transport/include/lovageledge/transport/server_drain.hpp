#pragma once

#include "lovageledge/transport/http_server.hpp"

namespace lovageledge {

/**
    Closes an HTTP server at the end of its process, once the kernel holds no request for it.

    New handshakes are dropped first, so that no connection is established between the last accept and the
    close of the listener; then the listen queue is emptied, the listener closed, and each connection closed
    when it waits for a request that has not arrived. Each step looks at the sockets, since a process that was
    suspended finds all its timers expired.
*/
class server_drain {
public:
    /** @param server must exist for as long as this object */
    explicit server_drain(http_server& server) : server_{server} {}

    /** Takes the next step. Call it again, from time to time, until it has returned true.
        @returns true if the listener is closed and no connection is left that might receive a request */
    bool advance(time_point now);

private:
    http_server& server_;
    bool has_begun_ = false;
    std::optional<time_point> dropping_since_;
};

} // namespace lovageledge
