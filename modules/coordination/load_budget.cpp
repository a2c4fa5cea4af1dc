#include "lovageledge/coordination/load_budget.hpp"

#include <algorithm>

namespace lovageledge {
namespace {

/** A request that is not renewed for this long is forgotten. */
constexpr auto request_expiry = std::chrono::seconds{2};
/** Loads that may start at once after a pause. */
constexpr double burst_loads = 1.0;

} // namespace

void load_budget::on_request(const load_ticket& ticket, std::uint32_t weight, time_point now) {
    if (granted_.contains(ticket)) {
        granted_.erase(ticket); // The grant was lost on its way; it is asked for anew.
    }
    auto [entry, is_new] = waiting_.try_emplace(ticket);
    entry->second.weight = weight;
    entry->second.renewed = now;
    if (is_new) {
        entry->second.asked = now;
    }
}

void load_budget::on_release(const load_ticket& ticket) {
    waiting_.erase(ticket);
    granted_.erase(ticket);
}

std::vector<load_ticket> load_budget::take_grants(const weight_store_limits& limits, time_point now) {
    if (refilled_ == time_point{}) {
        refilled_ = now;
    }
    const double seconds = std::chrono::duration<double>(now - refilled_).count();
    refilled_ = now;
    tokens_ = std::min(burst_loads, tokens_ + seconds * limits.loads_per_second);
    std::erase_if(waiting_, [&](const auto& entry) { return now - entry.second.renewed > request_expiry; });
    std::erase_if(granted_, [&](const auto& entry) { return now - entry.second > settings_.grant_limit; });

    std::vector<load_ticket> grants;
    while (tokens_ >= 1.0 && !waiting_.empty() && granted_.size() < limits.loads_in_flight) {
        const auto heaviest =
            std::max_element(waiting_.begin(), waiting_.end(), [](const auto& a, const auto& b) {
                return a.second.weight < b.second.weight ||
                       (a.second.weight == b.second.weight && a.second.asked > b.second.asked);
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
    refilled_ = time_point{};
}

} // namespace lovageledge
