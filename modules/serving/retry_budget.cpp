#include "lovageledge/serving/retry_budget.hpp"

namespace lovageledge {
namespace {

/** Share of the budget that is used; the rest is a margin because the instances' windows differ. */
constexpr double usable_share = 0.8;

} // namespace

void retry_budget::remove_expired(service_window& window, time_point now) const {
    const time_point oldest = now - allowance_.window;
    while (!window.requests.empty() && window.requests.front() < oldest) {
        window.requests.pop_front();
    }
    while (!window.retries.empty() && window.retries.front() < oldest) {
        window.retries.pop_front();
    }
}

void retry_budget::on_request(const pool_name& service, time_point now) {
    service_window& window = windows_[service];
    remove_expired(window, now);
    window.requests.push_back(now);
}

bool retry_budget::try_spend(const pool_name& service, time_point now) {
    service_window& window = windows_[service];
    remove_expired(window, now);
    const double allowed = usable_share * (allowance_.ratio * static_cast<double>(window.requests.size()) +
                                           allowance_.extra / static_cast<double>(instances_));
    if (static_cast<double>(window.retries.size()) + 1.0 > allowed) {
        return false;
    }
    window.retries.push_back(now);
    return true;
}

} // namespace lovageledge
