#include "lovageledge/serving/demand_meter.hpp"

#include <cmath>

namespace lovageledge {
namespace {

/** Above this number of adapters, those with a decayed count below min_count are removed. */
constexpr std::size_t max_entries = 4000;
constexpr double min_count = 0.1;

} // namespace

double demand_meter::decayed_count(const entry& known, time_point now) const {
    const double half_lives =
        std::chrono::duration<double>(now - known.updated) / std::chrono::duration<double>(half_life_);
    return known.count * std::exp2(-half_lives);
}

void demand_meter::on_request(const adapter_ref& ref, time_point now) {
    entry& known = entries_[ref];
    known.count = decayed_count(known, now) + 1.0;
    known.updated = now;
    if (entries_.size() > max_entries) {
        std::erase_if(entries_,
                      [&](const auto& item) { return decayed_count(item.second, now) < min_count; });
    }
}

double demand_meter::recent_requests(const adapter_ref& ref, time_point now) const {
    const auto known = entries_.find(ref);
    return known == entries_.end() ? 0.0 : decayed_count(known->second, now);
}

} // namespace lovageledge
