#include "lovageledge/transport/socket_output.hpp"

#include <algorithm>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace lovageledge {
namespace {

/** Intervals at which the kernel is asked whether the peer has taken all bytes. */
constexpr auto first_check = std::chrono::milliseconds{1};
constexpr auto longest_check = std::chrono::milliseconds{20};

} // namespace

std::size_t unsent_bytes(asio::ip::tcp::socket& socket) {
    int bytes = 0;
    const bool is_known = socket.is_open() && ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0;
    return is_known ? static_cast<std::size_t>(bytes) : 0;
}

boost::system::error_code take_failure(asio::ip::tcp::socket& socket) {
    int failure = 0;
    socklen_t size = sizeof failure;
    const bool is_known =
        socket.is_open() && ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &failure, &size) == 0;
    return is_known ? boost::system::error_code{failure, boost::system::system_category()}
                    : boost::system::error_code{asio::error::bad_descriptor};
}

asio::awaitable<boost::system::error_code>
wait_until_acknowledged(asio::ip::tcp::socket& socket, time_point deadline,
                        std::function<std::optional<boost::system::error_code>()> write_result) {
    asio::steady_timer timer{socket.get_executor()};
    duration pause = first_check;
    while (true) {
        const std::optional<boost::system::error_code> written = write_result();
        const boost::system::error_code failure = written && *written ? *written : take_failure(socket);
        if (failure) {
            co_return failure;
        }
        if (written && unsent_bytes(socket) == 0) {
            co_return boost::system::error_code{};
        }
        const time_point now = std::chrono::steady_clock::now();
        if (now >= deadline) {
            co_return beast::error::timeout;
        }
        timer.expires_after(std::min<duration>(pause, deadline - now));
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        pause = std::min<duration>(pause * 2, longest_check);
    }
}

} // namespace lovageledge
