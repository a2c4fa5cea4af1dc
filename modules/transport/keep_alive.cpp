#include "lovageledge/transport/keep_alive.hpp"

#include <algorithm>
#include <limits>
#include <netinet/tcp.h>

namespace lovageledge {
namespace {

constexpr int idle_s = 1;
constexpr int interval_s = 1;

template <int Level, int Name>
using int_option = asio::detail::socket_option::integer<Level, Name>;

} // namespace

void set_keep_alive(asio::ip::tcp::socket& socket, duration limit) {
    const auto limit_ms = std::chrono::ceil<std::chrono::milliseconds>(limit).count();
    const auto user_timeout_ms =
        static_cast<int>(std::clamp<std::int64_t>(limit_ms, 1, std::numeric_limits<int>::max()));
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::keep_alive{true}, ignored);
    socket.set_option(int_option<IPPROTO_TCP, TCP_KEEPIDLE>{idle_s}, ignored);
    socket.set_option(int_option<IPPROTO_TCP, TCP_KEEPINTVL>{interval_s}, ignored);
    // Takes the place of the number of probes (TCP_KEEPCNT).
    socket.set_option(int_option<IPPROTO_TCP, TCP_USER_TIMEOUT>{user_timeout_ms}, ignored);
}

} // namespace lovageledge
