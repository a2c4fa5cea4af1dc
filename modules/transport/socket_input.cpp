#include "lovageledge/transport/socket_input.hpp"

#include <cerrno>
#include <sys/socket.h>

namespace lovageledge {
namespace {

ssize_t receive(asio::ip::tcp::socket& socket, void* data, std::size_t size, int flags) {
    ssize_t received = 0;
    do {
        received = ::recv(socket.native_handle(), data, size, flags | MSG_DONTWAIT);
    } while (received < 0 && errno == EINTR);
    return received;
}

} // namespace

const char* to_text(socket_input input) {
    switch (input) {
    case socket_input::none:
        return "none";
    case socket_input::bytes:
        return "bytes";
    case socket_input::ended:
        return "ended";
    case socket_input::failed:
        return "failed";
    }
    return "";
}

socket_input peek_input(asio::ip::tcp::socket& socket) {
    if (!socket.is_open()) {
        return socket_input::failed;
    }
    char byte = 0;
    const ssize_t received = receive(socket, &byte, 1, MSG_PEEK);
    if (received > 0) {
        return socket_input::bytes;
    }
    if (received == 0) {
        return socket_input::ended;
    }
    return errno == EAGAIN ? socket_input::none : socket_input::failed;
}

std::size_t unread_bytes(asio::ip::tcp::socket& socket) {
    if (!socket.is_open()) {
        return 0;
    }
    boost::system::error_code code;
    const std::size_t bytes = socket.available(code);
    return code ? 0 : bytes;
}

std::size_t receive_pending(asio::ip::tcp::socket& socket, asio::mutable_buffer buffer) {
    const ssize_t received = socket.is_open() ? receive(socket, buffer.data(), buffer.size(), 0) : 0;
    return received > 0 ? static_cast<std::size_t>(received) : 0;
}

} // namespace lovageledge
