#include "lovageledge/transport/connection_refusal.hpp"

#include "lovageledge/transport/socket_input.hpp"

#include <array>
#include <spdlog/fmt/fmt.h>
#include <string>
#include <sys/socket.h>

namespace lovageledge {
namespace {

constexpr std::size_t discard_buffer_bytes = std::size_t{4} * 1024;
constexpr int max_discarded_buffers = 16;

std::string make_refusal() {
    const std::string body =
        R"({"error":{"step":"http.accept","reason":"no place for another connection","outcome":"not_run"}})";
    return fmt::format("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\n"
                       "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
                       body.size(), body);
}

} // namespace

bool send_refusal(asio::ip::tcp::socket& socket) {
    static const std::string refusal = make_refusal();
    const ssize_t sent =
        ::send(socket.native_handle(), refusal.data(), refusal.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    boost::system::error_code ignored;
    socket.shutdown(asio::socket_base::shutdown_send, ignored);
    return sent == static_cast<ssize_t>(refusal.size());
}

bool discard_pending(asio::ip::tcp::socket& socket) {
    std::array<char, discard_buffer_bytes> buffer{};
    for (int i = 0; i < max_discarded_buffers; ++i) {
        if (receive_pending(socket, asio::buffer(buffer)) == 0) {
            return true;
        }
    }
    return unread_bytes(socket) == 0;
}

} // namespace lovageledge
