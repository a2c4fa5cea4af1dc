#include "lovageledge/transport/limited_reader.hpp"

#include "lovageledge/transport/socket_input.hpp"

namespace lovageledge {

void limited_reader::start_timer(time_point limit) {
    has_passed_ = false;
    timer_.expires_at(limit);
    timer_.async_wait([this, exists = std::weak_ptr{exists_}, limit](boost::system::error_code code) {
        const bool is_outdated = code || exists.expired() || timer_.expiry() != limit;
        if (is_outdated) {
            return;
        }
        has_passed_ = true;
        boost::system::error_code ignored;
        socket_.cancel(ignored);
    });
}

asio::awaitable<std::size_t> limited_reader::read_some(asio::mutable_buffer buffer, time_point limit,
                                                       boost::system::error_code& code) {
    start_timer(limit);
    std::size_t size =
        co_await socket_.async_read_some(buffer, asio::redirect_error(asio::use_awaitable, code));
    timer_.expires_at(time_point::max());
    if (code == asio::error::operation_aborted) {
        // Handlers that took long let the limit and the arrival come due together.
        size = receive_pending(socket_, buffer);
        if (size > 0) {
            code = {};
        } else if (has_passed_) {
            code = beast::error::timeout;
        }
    }
    co_return size;
}

} // namespace lovageledge
