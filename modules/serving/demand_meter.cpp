#include "lovageledge/serving/demand_meter.hpp"

#include <cmath>

namespace lovageledge {
namespace {

/** Adapters that are counted at most; those with the least demand are forgotten beyond that. */
constexpr std::size_t entries_limit = 4000;
constexpr double forgotten_count = 0.1;

} // namespace

double demand_meter::decayed(const entry& known, time_point now) const {
    const double half_lives =
        std::chrono::duration<double>(now - known.updated) / std::chrono::duration<double>(half_life_);
    return known.count * std::exp2(-half_lives);
}

void demand_meter::on_request(const adapter_ref& ref, time_point now) {
    entry& known = entries_[ref];
    known.count = decayed(known, now) + 1.0;
    known.updated = now;
    if (entries_.size() > entries_limit) {
        std::erase_if(entries_,
                      [&](const auto& item) { return decayed(item.second, now) < forgotten_count; });
    }
}

double demand_meter::recent_requests(const adapter_ref& ref, time_point now) const {
    const auto known = entries_.find(ref);
    return known == entries_.end() ? 0.0 : decayed(known->second, now);
}

} // namespace lovageledge
