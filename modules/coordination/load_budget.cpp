#include "lovageledge/coordination/load_budget.hpp"

#include <algorithm>

namespace lovageledge {
namespace {

/** A request that is not renewed for this long is discarded. */
constexpr auto request_expiry = std::chrono::seconds{2};
/** Capacity of the token bucket: loads that may start at once after an idle period. */
constexpr double burst_loads = 1.0;

} // namespace

void load_budget::on_request(const load_request& request, std::uint32_t weight, time_point now) {
    if (granted_.contains(request)) {
        granted_.erase(request); // The grant was lost in transit; the owner requests it again.
    }
    auto [entry, is_new] = waiting_.try_emplace(request);
    entry->second.weight = weight;
    entry->second.renewed_at = now;
    if (is_new) {
        entry->second.requested_at = now;
    }
}

void load_budget::on_release(const load_request& request) {
    waiting_.erase(request);
    granted_.erase(request);
}

std::vector<load_request> load_budget::take_grants(const weight_store_limits& limits, time_point now) {
    if (refilled_at_ == time_point{}) {
        refilled_at_ = now;
    }
    const double seconds = std::chrono::duration<double>(now - refilled_at_).count();
    refilled_at_ = now;
    tokens_ = std::min(burst_loads, tokens_ + seconds * limits.loads_per_second);
    std::erase_if(waiting_,
                  [&](const auto& entry) { return now - entry.second.renewed_at > request_expiry; });
    std::erase_if(granted_, [&](const auto& entry) { return now - entry.second > settings_.grant_limit; });

    std::vector<load_request> grants;
    while (tokens_ >= 1.0 && !waiting_.empty() && granted_.size() < limits.loads_in_flight) {
        const auto heaviest =
            std::max_element(waiting_.begin(), waiting_.end(), [](const auto& a, const auto& b) {
                return a.second.weight < b.second.weight ||
                       (a.second.weight == b.second.weight && a.second.requested_at > b.second.requested_at);
            });
        tokens_ -= 1.0;
        granted_.emplace(heaviest->first, now);
        grants.push_back(heaviest->first);
        waiting_.erase(heaviest);
    }
    return grants;
}

duration load_budget::backlog(const weight_store_limits& limits) const {
    const double seconds = static_cast<double>(waiting_.size()) / limits.loads_per_second;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

void load_budget::reset() {
    waiting_.clear();
    granted_.clear();
    tokens_ = 0.0;
    refilled_at_ = time_point{};
}

} // namespace lovageledge
