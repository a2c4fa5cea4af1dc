#include "lovageledge/transport/server_drain.hpp"

#include <utility>

namespace lovageledge {
namespace {

/** Time for handshakes that had begun before new ones were dropped. */
constexpr auto handshake_time = std::chrono::milliseconds{50};
/** Callers send their first request within this time after their connection was accepted. */
constexpr auto first_request_time = std::chrono::milliseconds{100};

} // namespace

bool server_drain::advance(time_point now) {
    if (!std::exchange(has_begun_, true)) {
        server_.drop_new_handshakes();
    }
    if (!dropping_since_ && server_.has_held_off_handshakes()) {
        dropping_since_ = now;
    }
    if (!dropping_since_ || now - *dropping_since_ < handshake_time) {
        return false;
    }
    server_.accept_rest();
    if (server_.is_accepting()) {
        return false;
    }
    server_.close_idle_connections(first_request_time);
    return server_.is_drained();
}

} // namespace lovageledge
