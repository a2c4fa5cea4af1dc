#include "lovageledge/transport/read_limit.hpp"

#include "lovageledge/transport/socket_input.hpp"

#include <utility>

namespace lovageledge {

void read_limit::start(time_point limit, extension extend) {
    extend_ = std::move(extend);
    has_passed_ = false;
    has_given_way_ = false;
    timer_.expires_at(limit);
    wait();
}

void read_limit::stop() {
    timer_.expires_at(time_point::max());
}

void read_limit::wait() {
    timer_.async_wait(
        [this, exists = std::weak_ptr{exists_}, expiry = timer_.expiry()](boost::system::error_code code) {
            const bool is_outdated = code || exists.expired() || timer_.expiry() != expiry;
            if (!is_outdated) {
                on_expired();
            }
        });
}

void read_limit::on_expired() {
    if (!has_given_way_ && peek_input(socket_) == socket_input::bytes) {
        // The reactor reports input before timers, so that the waiting read comes first.
        has_given_way_ = true;
        timer_.expires_after(duration::zero());
        wait();
        return;
    }
    if (const auto later = extend_ ? extend_() : std::nullopt) {
        has_given_way_ = false;
        timer_.expires_at(*later);
        wait();
        return;
    }
    has_passed_ = true;
    boost::system::error_code ignored;
    socket_.cancel(ignored);
}

boost::system::error_code read_limit::translated(boost::system::error_code code) const {
    return has_passed_ && code == asio::error::operation_aborted ? beast::error::timeout : code;
}

} // namespace lovageledge
