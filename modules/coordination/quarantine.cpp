#include "lovageledge/coordination/quarantine.hpp"

namespace lovageledge {
namespace {

/** Time after its last crash for which a fingerprint stays suspected or quarantined. */
constexpr auto record_lifetime = std::chrono::hours{1};
/** Crashes of a suspect are reported to peers for this long after the last one. */
constexpr auto report_window = std::chrono::seconds{30};
/** Time for which peers' reports of a cleared fingerprint are ignored. Longer than two report windows, as a
    peer that receives a report repeats it for one more window. */
constexpr auto cleared_hold = std::chrono::seconds{90};

} // namespace

bool quarantine::add(record& entry, const start_id& engine_start, time_point now) {
    const bool is_new = !has_reached_limit(entry) && entry.engine_starts.insert(engine_start).second;
    if (is_new) {
        entry.last_crash = now;
        ++generation_;
    }
    return is_new;
}

bool quarantine::on_crash(const std::string& fingerprint, const start_id& engine_start, time_point now) {
    record& entry = records_[fingerprint];
    cleared_.erase(fingerprint);
    return add(entry, engine_start, now) && has_reached_limit(entry);
}

void quarantine::on_cleared(const std::string& fingerprint, time_point now) {
    const auto entry = records_.find(fingerprint);
    if (entry == records_.end() || has_reached_limit(entry->second)) {
        return;
    }
    cleared_[fingerprint] = now;
    records_.erase(entry);
    ++generation_;
}

void quarantine::on_report(const std::string& fingerprint, const std::set<start_id>& engine_starts,
                           time_point now) {
    const bool is_cleared = cleared_.contains(fingerprint) && engine_starts.size() < crash_limit_;
    if (is_cleared || engine_starts.empty()) {
        return;
    }
    record& entry = records_[fingerprint];
    for (const start_id& engine_start : engine_starts) {
        add(entry, engine_start, now);
    }
}

void quarantine::on_tick(time_point now) {
    std::erase_if(records_,
                  [&](const auto& entry) { return now - entry.second.last_crash > record_lifetime; });
    std::erase_if(cleared_, [&](const auto& entry) { return now - entry.second > cleared_hold; });
}

bool quarantine::is_quarantined(const std::string& fingerprint) const {
    const auto entry = records_.find(fingerprint);
    return entry != records_.end() && has_reached_limit(entry->second);
}

std::set<std::string> quarantine::suspects() const {
    std::set<std::string> names;
    for (const auto& [fingerprint, entry] : records_) {
        if (!has_reached_limit(entry)) {
            names.insert(fingerprint);
        }
    }
    return names;
}

std::map<std::string, std::set<start_id>> quarantine::crashes(time_point now) const {
    std::map<std::string, std::set<start_id>> crashes;
    for (const auto& [fingerprint, entry] : records_) {
        if (has_reached_limit(entry) || now - entry.last_crash < report_window) {
            crashes.emplace(fingerprint, entry.engine_starts);
        }
    }
    return crashes;
}

} // namespace lovageledge
