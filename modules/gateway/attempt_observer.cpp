#include "lovageledge/gateway/attempt_observer.hpp"

#include <utility>

namespace lovageledge {

void attempt_observer::on_sent(const backend& server, bool needs_weights, duration expected) {
    server_ = server.listing.name;
    sent_at_ = state_.now();
    expected_ = expected;
    observation_ =
        state_.speeds.on_sent(server, needs_weights, state_.is_local(server.listing.zone), sent_at_);
    state_.pace.on_sent(server_, sent_at_);
    is_counted_by_pace_ = true;
}

void attempt_observer::on_response_started(bool was_undelayed) {
    const time_point now = state_.now();
    if (std::exchange(is_counted_by_pace_, false)) {
        state_.pace.on_answered(server_, now - sent_at_, expected_, was_undelayed, now);
    }
    if (was_undelayed) {
        state_.speeds.on_response(observation_, now);
        state_.counters.count("speed_observations_total");
    }
}

void attempt_observer::on_ended(bool has_failed) {
    if (!std::exchange(is_counted_by_pace_, false)) {
        return;
    }
    if (has_failed) {
        state_.pace.on_failed(server_, state_.now());
    } else {
        state_.pace.on_withdrawn(server_);
    }
}

} // namespace lovageledge
