#include "lovageledge/transport/limited_reader.hpp"

#include "lovageledge/transport/socket_input.hpp"

namespace lovageledge {

asio::awaitable<std::size_t> limited_reader::read_some(asio::mutable_buffer buffer, time_point limit,
                                                       boost::system::error_code& code) {
    limit_.start(limit);
    std::size_t size =
        co_await socket_.async_read_some(buffer, asio::redirect_error(asio::use_awaitable, code));
    limit_.stop();
    if (code == asio::error::operation_aborted) {
        size = receive_pending(socket_, buffer);
        code = size > 0 ? boost::system::error_code{} : limit_.translated(code);
    }
    co_return size;
}

} // namespace lovageledge
