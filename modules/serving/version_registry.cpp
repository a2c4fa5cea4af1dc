#include "lovageledge/serving/version_registry.hpp"

#include <algorithm>

namespace lovageledge {
namespace {

/** Announcements within this part of a grace period are kept as one, which bounds their number. */
constexpr int announcements_per_grace_period = 8;

} // namespace

bool version_registry::is_due(const announcement& known, time_point now, duration longest_wait) const {
    const duration age = now - known.learned_at;
    // This instance learns of a version some time after it was announced.
    const duration latest_begin = limit_ * 9 / 10;
    return age >= grace_period() || age + longest_wait >= latest_begin;
}

bool version_registry::on_announced(const adapter_ref& ref, std::uint64_t version, time_point now) {
    std::vector<announcement>& known = announcements_[ref];
    if (!known.empty() && known.back().version >= version) {
        return false;
    }
    const auto first_not_due = std::find_if(known.begin(), known.end(), [&](const announcement& entry) {
        return !is_due(entry, now, duration::zero());
    });
    if (first_not_due - known.begin() > 1) {
        known.erase(known.begin(), std::prev(first_not_due));
    }
    const bool is_close =
        !known.empty() && now - known.back().learned_at < grace_period() / announcements_per_grace_period;
    if (is_close) {
        // With the earlier time, no version becomes due later than its own announcement demands.
        known.back().version = version;
    } else {
        known.push_back({version, now});
    }
    return true;
}

std::optional<std::uint64_t> version_registry::newest(const adapter_ref& ref) const {
    const auto known = announcements_.find(ref);
    return known == announcements_.end() ? std::nullopt : std::optional{known->second.back().version};
}

std::optional<std::uint64_t> version_registry::required(const adapter_ref& ref, time_point now,
                                                        duration longest_wait) const {
    const auto known = announcements_.find(ref);
    if (known == announcements_.end()) {
        return std::nullopt;
    }
    const auto last_due =
        std::find_if(known->second.rbegin(), known->second.rend(),
                     [&](const announcement& entry) { return is_due(entry, now, longest_wait); });
    return last_due == known->second.rend() ? std::nullopt : std::optional{last_due->version};
}

std::size_t version_registry::kept_announcements(const adapter_ref& ref) const {
    const auto known = announcements_.find(ref);
    return known == announcements_.end() ? 0 : known->second.size();
}

} // namespace lovageledge
