#include "lovageledge/serving/retry_budget.hpp"

namespace lovageledge {
namespace {

/** Share of the budget that is spent; the rest covers windows that two instances count differently. */
constexpr double safe_share = 0.8;

} // namespace

void retry_budget::forget_old(service_window& window, time_point now) const {
    const time_point oldest = now - allowance_.window;
    while (!window.requests.empty() && window.requests.front() < oldest) {
        window.requests.pop_front();
    }
    while (!window.repeats.empty() && window.repeats.front() < oldest) {
        window.repeats.pop_front();
    }
}

void retry_budget::on_request(const pool_name& service, time_point now) {
    service_window& window = windows_[service];
    forget_old(window, now);
    window.requests.push_back(now);
}

bool retry_budget::try_spend(const pool_name& service, time_point now) {
    service_window& window = windows_[service];
    forget_old(window, now);
    const double allowed = safe_share * (allowance_.ratio * static_cast<double>(window.requests.size()) +
                                         allowance_.extra / static_cast<double>(instances_));
    if (static_cast<double>(window.repeats.size()) + 1.0 > allowed) {
        return false;
    }
    window.repeats.push_back(now);
    return true;
}

} // namespace lovageledge
