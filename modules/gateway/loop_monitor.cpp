#include "lovageledge/gateway/loop_monitor.hpp"

#include <spdlog/fmt/fmt.h>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;

constexpr auto check_interval = milliseconds{250};
/** Shorter delays are usual on an instance with a small share of a core. */
constexpr auto min_logged_delay = milliseconds{200};

} // namespace

void loop_monitor::schedule() {
    timer_.expires_after(check_interval);
    timer_.async_wait([this](boost::system::error_code code) {
        if (code) {
            return;
        }
        const duration delay = std::chrono::steady_clock::now() - timer_.expiry();
        state_.counters.observe("event_loop_delay_seconds", delay);
        if (delay >= min_logged_delay) {
            remember_delay();
            state_.log.write(event::event_loop_delayed,
                             fmt::format("delay_ms={} requests={} config={}",
                                         std::chrono::duration_cast<milliseconds>(delay).count(),
                                         state_.requests_in_progress,
                                         state_.routes ? state_.routes->version() : 0));
        }
        schedule();
    });
}

void loop_monitor::remember_delay() {
    *last_delay_began_ = timer_.expiry();
    // What arrived during the delay is handled in this turn of the loop. A signal is posted once more.
    const auto executor = timer_.get_executor();
    asio::post(executor,
               [executor, began = last_delay_began_] { asio::post(executor, [began] { began->reset(); }); });
}

time_point loop_monitor::earliest_arrival(time_point now) const {
    // The delay that has just ended, if its check ran first, or else the one that the check is still to find.
    return std::min({now, last_delay_began_->value_or(now), timer_.expiry()});
}

} // namespace lovageledge
