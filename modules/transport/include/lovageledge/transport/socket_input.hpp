#pragma once

#include "lovageledge/transport/network_types.hpp"

#include <cstddef>
#include <cstdint>

namespace lovageledge {

/** What the kernel holds of the peer's input on a connection. */
enum class socket_input : std::uint8_t {
    /** Nothing, and the peer may still send. */
    none,
    /** Bytes that were not read yet. */
    bytes,
    /** The peer has ended its side, after everything that was read. */
    ended,
    /** The connection was reset, or is closed on this side. */
    failed,
};

/** @returns the name of a state, for the log */
const char* to_text(socket_input input);

/** Asks the kernel, without waiting and without consuming anything. That a wait for input has ended does not
    tell as much: it may have been cancelled, or what woke it may have been read by now. */
socket_input peek_input(asio::ip::tcp::socket& socket);

/** @returns the number of bytes that the kernel holds unread; 0 for a closed socket */
std::size_t unread_bytes(asio::ip::tcp::socket& socket);

/** Receives what the kernel holds already, without waiting. @returns the number of bytes, which may be 0 */
std::size_t receive_pending(asio::ip::tcp::socket& socket, asio::mutable_buffer buffer);

} // namespace lovageledge
