#include "lovageledge/coordination/quarantine.hpp"

namespace lovageledge {
namespace {

constexpr auto forget_after = std::chrono::hours{1};
/** A count below the limit is told to peers for this long after it was last raised. */
constexpr auto report_window = std::chrono::seconds{30};
/** Peers' older counts of a cleared fingerprint are ignored for this long; longer than two report windows. */
constexpr auto cleared_hold = std::chrono::seconds{90};

} // namespace

bool quarantine::on_crash(const std::string& fingerprint, time_point now) {
    record& entry = records_[fingerprint];
    ++entry.crashes;
    entry.last_crash = now;
    cleared_.erase(fingerprint);
    ++generation_;
    return entry.crashes == crash_limit_;
}

void quarantine::on_cleared(const std::string& fingerprint, time_point now) {
    const auto entry = records_.find(fingerprint);
    if (entry == records_.end() || entry->second.crashes >= crash_limit_) {
        return;
    }
    cleared_[fingerprint] = now;
    records_.erase(entry);
    ++generation_;
}

void quarantine::on_report(const std::string& fingerprint, std::uint32_t crashes, time_point now) {
    const bool is_cleared = cleared_.contains(fingerprint) && crashes < crash_limit_;
    if (is_cleared) {
        return;
    }
    record& entry = records_[fingerprint];
    if (crashes <= entry.crashes) {
        return;
    }
    entry.crashes = crashes;
    entry.last_crash = now;
    ++generation_;
}

void quarantine::on_tick(time_point now) {
    std::erase_if(records_, [&](const auto& entry) { return now - entry.second.last_crash > forget_after; });
    std::erase_if(cleared_, [&](const auto& entry) { return now - entry.second > cleared_hold; });
}

bool quarantine::is_quarantined(const std::string& fingerprint) const {
    const auto entry = records_.find(fingerprint);
    return entry != records_.end() && entry->second.crashes >= crash_limit_;
}

std::set<std::string> quarantine::suspects() const {
    std::set<std::string> names;
    for (const auto& [fingerprint, entry] : records_) {
        if (entry.crashes < crash_limit_) {
            names.insert(fingerprint);
        }
    }
    return names;
}

std::map<std::string, std::uint32_t> quarantine::counts(time_point now) const {
    std::map<std::string, std::uint32_t> counts;
    for (const auto& [fingerprint, entry] : records_) {
        if (entry.crashes >= crash_limit_ || now - entry.last_crash < report_window) {
            counts.emplace(fingerprint, entry.crashes);
        }
    }
    return counts;
}

} // namespace lovageledge
