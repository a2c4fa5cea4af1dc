#pragma once

#include "lovageledge/transport/network_types.hpp"

#include <cstddef>

namespace lovageledge {

/** @returns the number of written bytes that the peer has not acknowledged; 0 for a closed socket */
std::size_t unsent_bytes(asio::ip::tcp::socket& socket);

/** @returns how the connection has failed, if no operation on the socket was told of it yet. The kernel
    reports each failure once: later operations see a connection that has ended. */
boost::system::error_code take_failure(asio::ip::tcp::socket& socket);

} // namespace lovageledge
