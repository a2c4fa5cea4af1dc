#pragma once

#include "lovageledge/base/runtime_clock.hpp"

#include <cstddef>
#include <cstdint>

namespace lovageledge {

/** A request, or a part of one, that was received on a connection which this side closed without a response.
 */
struct unanswered_request {
    /** Why the connection was closed: "idle" (no request came within the limit), "stopping", "reset", or
       a cause of http_limits::on_closed. */
    const char* cause = "";
    /** Time since the connection was accepted. */
    duration connection_age{};
    /** Requests that this connection has begun before. */
    std::uint64_t former_requests = 0;
    /** Bytes of the request that the process had read. */
    std::size_t read_bytes = 0;
    /** Bytes that the kernel still held. */
    std::size_t unread_bytes = 0;
};

} // namespace lovageledge
