#pragma once

#include "lovageledge/base/base.hpp"
#include "lovageledge/transport/network_types.hpp"

#include <cstddef>
#include <functional>
#include <optional>

namespace lovageledge {

/** @returns the number of written bytes that the peer has not acknowledged; 0 for a closed socket */
std::size_t unsent_bytes(asio::ip::tcp::socket& socket);

/** @returns how the connection has failed, if no operation on the socket was told of it yet. The kernel
    reports each failure once: later operations see a connection that has ended. */
boost::system::error_code take_failure(asio::ip::tcp::socket& socket);

/** Waits until the peer has acknowledged all written bytes. The socket must outlive it.
    @param write_result returns how writing has ended, or nothing while it goes on
    @returns how the connection has failed; beast::error::timeout if the deadline has passed */
asio::awaitable<boost::system::error_code>
wait_until_acknowledged(asio::ip::tcp::socket& socket, time_point deadline,
                        std::function<std::optional<boost::system::error_code>()> write_result);

} // namespace lovageledge
