#include "lovageledge/transport/handshake_filter.hpp"

#include <array>
#include <cerrno>
#include <limits>
#include <linux/filter.h>
#include <sys/socket.h>

namespace lovageledge {
namespace {

constexpr std::uint32_t tcp_flags_offset = 13;
constexpr std::uint32_t syn_flag = 0x02;
constexpr std::uint32_t ack_flag = 0x10;

} // namespace

boost::system::error_code drop_new_handshakes(asio::ip::tcp::acceptor& acceptor) {
    // The packet begins with the TCP header.
    std::array<sock_filter, 5> instructions{{
        {BPF_LD | BPF_B | BPF_ABS, 0, 0, tcp_flags_offset},
        {BPF_ALU | BPF_AND | BPF_K, 0, 0, syn_flag | ack_flag},
        {BPF_JMP | BPF_JEQ | BPF_K, 0, 1, syn_flag},
        {BPF_RET | BPF_K, 0, 0, 0},
        {BPF_RET | BPF_K, 0, 0, std::numeric_limits<std::uint32_t>::max()},
    }};
    const sock_fprog program{static_cast<unsigned short>(instructions.size()), instructions.data()};
    if (::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) != 0) {
        return {errno, boost::system::system_category()};
    }
    return {};
}

} // namespace lovageledge
