#include "lovageledge/transport/socket_output.hpp"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace lovageledge {

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

} // namespace lovageledge
