#include "lovageledge/serving/crash_registry.hpp"

#include <algorithm>
#include <utility>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** The platform has dropped the entry of a server that ended this long ago: three missed check-ins, and the
    time until the change is read. */
constexpr auto decision_delay = seconds{8};
/** Time for which a request stays suspected or refused after a crash. */
constexpr auto confirmed_lifetime = std::chrono::hours{1};
/** How long a request's only sighting is told: two or three messages. Most have other causes than the
    request. */
constexpr auto single_report_time = milliseconds{600};
constexpr auto report_time = seconds{30};
constexpr auto urgent_report_time = milliseconds{1500};
constexpr auto report_again_age = seconds{60};
constexpr std::size_t max_reports_per_message = 400;
/** Bounds the memory in a large outage. Further sightings are ignored until some expire. */
constexpr std::size_t max_sightings = 20'000;
constexpr auto cleanup_interval = seconds{10};

} // namespace

request_fingerprint make_request_fingerprint(std::string_view caller, std::string_view host,
                                             std::string_view method, std::string_view path,
                                             std::string_view body) {
    std::string text;
    for (const std::string_view part : {body.empty() ? caller : std::string_view{}, host, method, path}) {
        text.append(part).push_back('\n'); // None of these parts can contain a line break.
    }
    return {stable_hash(text.append(body))};
}

server_start_id make_server_start_id(const server_name& server, std::uint64_t started_at) {
    return {stable_hash(server.text() + "@" + std::to_string(started_at))};
}

bool crash_registry::on_broken(const request_fingerprint& fingerprint, const server_start_id& server_start,
                               time_point now) {
    return add({fingerprint, server_start, now}, now, true);
}

bool crash_registry::on_report(const crash_sighting& seen, time_point now) {
    return add(seen, now, false);
}

bool crash_registry::add(const crash_sighting& seen, time_point now, bool is_own) {
    const bool was_refused = is_refused(seen.fingerprint);
    if (sighting_count_ >= max_sightings) {
        return false;
    }
    sighting entry;
    entry.seen_at = seen.seen_at;
    entry.known_at = now;
    entry.is_own = is_own;
    const auto answered = answered_.find(seen.server_start);
    entry.is_suspended = answered != answered_.end() && answered->second > seen.seen_at;
    const bool is_new = requests_[seen.fingerprint].try_emplace(seen.server_start, entry).second;
    if (!is_new) {
        return false;
    }
    ++sighting_count_;
    suspects_[seen.server_start].insert(seen.fingerprint);
    next_decision_ = std::min(next_decision_, seen.seen_at + decision_delay);
    return !was_refused && is_refused(seen.fingerprint);
}

void crash_registry::report_withdrawn(const request_fingerprint& fingerprint,
                                      const server_start_id& server_start, std::string_view reason) const {
    on_withdrawn_({fingerprint, server_start, reason, crashes(fingerprint)});
}

void crash_registry::on_answered(const server_start_id& server_start, time_point sent_at) {
    time_point& latest = answered_[server_start];
    latest = std::max(latest, sent_at);
    const auto suspects = suspects_.find(server_start);
    if (suspects == suspects_.end()) {
        return;
    }
    for (const request_fingerprint& fingerprint : suspects->second) {
        sighting& seen = requests_.at(fingerprint).at(server_start);
        const bool was_suspended =
            std::exchange(seen.is_suspended, seen.is_suspended || sent_at > seen.seen_at);
        if (seen.is_suspended && !was_suspended) {
            report_withdrawn(fingerprint, server_start, "answered");
        }
    }
}

void crash_registry::on_completed(const request_fingerprint& fingerprint, time_point sent_at) {
    const auto found = requests_.find(fingerprint);
    if (found == requests_.end()) {
        return;
    }
    for (auto& [server_start, seen] : found->second) {
        if (seen.seen_at < sent_at && !seen.is_suspended) {
            seen.is_confirmed = false;
            seen.is_suspended = true;
            report_withdrawn(fingerprint, server_start, "completed");
        }
    }
}

void crash_registry::on_tick(time_point now,
                             const std::function<std::set<server_start_id>()>& listed_starts) {
    const bool has_due_decision = now >= next_decision_;
    if (!has_due_decision && now < next_cleanup_) {
        return;
    }
    next_cleanup_ = now + cleanup_interval;
    const std::set<server_start_id> listed = listed_starts();
    next_decision_ = time_point::max();
    for (auto& [fingerprint, found] : requests_) {
        for (auto seen = found.begin(); seen != found.end();) {
            const bool is_decided = seen->second.is_confirmed;
            const bool is_due = !is_decided && now - seen->second.seen_at >= decision_delay;
            const bool is_refuted = is_due && listed.contains(seen->first);
            const bool is_outdated = now - seen->second.seen_at > confirmed_lifetime;
            if (is_refuted || is_outdated) {
                const server_start_id server_start = seen->first;
                suspects_[server_start].erase(fingerprint);
                seen = found.erase(seen);
                --sighting_count_;
                report_withdrawn(fingerprint, server_start, is_refuted ? "listed" : "expired");
                continue;
            }
            if (is_due) {
                seen->second.is_confirmed = true;
                seen->second.is_suspended = false;
            } else if (!is_decided) {
                next_decision_ = std::min(next_decision_, seen->second.seen_at + decision_delay);
            }
            ++seen;
        }
    }
    std::erase_if(requests_, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(suspects_, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(answered_, [&](const auto& entry) { return !listed.contains(entry.first); });
}

std::uint32_t crash_registry::count(const sightings& found) {
    return static_cast<std::uint32_t>(std::count_if(
        found.begin(), found.end(), [](const auto& entry) { return !entry.second.is_suspended; }));
}

std::uint32_t crash_registry::crashes(const request_fingerprint& fingerprint) const {
    const auto found = requests_.find(fingerprint);
    return found == requests_.end() ? 0 : count(found->second);
}

bool crash_registry::is_refused(const request_fingerprint& fingerprint) const {
    return crashes(fingerprint) >= crash_limit_;
}

bool crash_registry::is_due_to_tell(const sighting& seen, std::uint32_t crashes, report_scope scope,
                                    time_point now) const {
    // A sighting that is due is decided by each gateway itself; telling it would bring it back.
    const bool is_due = !seen.is_confirmed && now - seen.seen_at >= decision_delay;
    if (seen.is_suspended || is_due) {
        return false;
    }
    if (scope == report_scope::urgent) {
        return seen.is_own && crashes > 1 && now - seen.known_at < urgent_report_time;
    }
    const bool is_standing = scope == report_scope::standing && seen.is_confirmed && crashes >= crash_limit_;
    const duration limit = crashes > 1 ? duration{report_time} : duration{single_report_time};
    return is_standing || now - seen.known_at < limit;
}

std::vector<crash_sighting> crash_registry::reports(report_scope scope, time_point now) const {
    std::vector<crash_sighting> due;
    for (const auto& [fingerprint, found] : requests_) {
        const std::uint32_t crashes = count(found);
        for (const auto& [server_start, seen] : found) {
            if (due.size() < max_reports_per_message && is_due_to_tell(seen, crashes, scope, now)) {
                due.push_back({fingerprint, server_start, seen.seen_at});
            }
        }
    }
    return due;
}

void crash_registry::report_again(time_point now) {
    for (auto& [fingerprint, found] : requests_) {
        for (auto& [server_start, seen] : found) {
            if (now - seen.seen_at < report_again_age) {
                seen.known_at = now;
            }
        }
    }
}

} // namespace lovageledge
