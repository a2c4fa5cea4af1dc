#include "lovageledge/serving/version_registry.hpp"

namespace lovageledge {

bool version_registry::on_announced(const adapter_ref& ref, std::uint64_t version, time_point now) {
    announcement& known = announcements_[ref];
    if (known.version >= version) {
        return false;
    }
    known = {version, now};
    return true;
}

std::optional<std::uint64_t> version_registry::newest(const adapter_ref& ref) const {
    const auto known = announcements_.find(ref);
    return known == announcements_.end() ? std::nullopt : std::optional{known->second.version};
}

std::optional<std::uint64_t> version_registry::required(const adapter_ref& ref, time_point now,
                                                        duration longest_wait) const {
    const auto known = announcements_.find(ref);
    if (known == announcements_.end()) {
        return std::nullopt;
    }
    const duration age = now - known->second.learned_at;
    // This instance learns of a version some time after it was announced.
    const duration latest_begin = limit_ * 9 / 10;
    const bool is_due = age >= limit_ / 2 || age + longest_wait >= latest_begin;
    return is_due ? std::optional{known->second.version} : std::nullopt;
}

} // namespace lovageledge
