#include "lovageledge/transport/write_limit.hpp"

#include <algorithm>
#include <poll.h>

namespace lovageledge {
namespace {

constexpr auto check_interval = std::chrono::milliseconds{100};
/** A longer time between two checks means that the process stood still. */
constexpr auto longest_counted = 2 * check_interval;

/** @returns true if the kernel has room for more bytes, as the peer has taken some */
bool has_room(asio::ip::tcp::socket& socket) {
    pollfd descriptor{socket.native_handle(), POLLOUT, 0};
    return ::poll(&descriptor, 1, 0) > 0 && (descriptor.revents & POLLOUT) != 0;
}

} // namespace

struct write_limit::state {
    beast::tcp_stream& stream;
    asio::steady_timer timer;
    /** Time that the process has still to run before the limit passes. */
    duration remaining;
    time_point counted_until;
    bool has_given_way = false;
    bool has_passed = false;
};

write_limit::write_limit(beast::tcp_stream& stream, duration limit)
    : state_{std::make_shared<state>(state{stream, asio::steady_timer{stream.get_executor()}, limit,
                                           std::chrono::steady_clock::now()})} {
    stream.expires_never();
    wait(state_);
}

void write_limit::wait(const std::shared_ptr<state>& waiting) {
    waiting->timer.expires_after(std::clamp<duration>(waiting->remaining, duration::zero(), check_interval));
    waiting->timer.async_wait([weak = std::weak_ptr{waiting}](boost::system::error_code code) {
        const auto locked = weak.lock();
        if (!code && locked) {
            check(locked);
        }
    });
}

void write_limit::check(const std::shared_ptr<state>& waiting) {
    const time_point now = std::chrono::steady_clock::now();
    waiting->remaining -= std::min<duration>(now - waiting->counted_until, longest_counted);
    waiting->counted_until = now;
    if (waiting->remaining <= duration::zero()) {
        // The write that waits for the room comes first, once.
        if (waiting->has_given_way || !has_room(waiting->stream.socket())) {
            waiting->has_passed = true;
            waiting->stream.close();
            return;
        }
        waiting->has_given_way = true;
        waiting->remaining = check_interval;
    }
    wait(waiting);
}

boost::system::error_code write_limit::translated(boost::system::error_code code) const {
    return code && state_->has_passed ? beast::error::timeout : code;
}

} // namespace lovageledge
