#include "lovageledge/serving/crash_registry.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** The platform has dropped the entry of a server that ended this long ago: three missed check-ins, and the
    time until the change is read. */
constexpr auto decision_delay = seconds{8};
/** Time for which a request stays suspected or refused after a crash. */
constexpr auto lifetime = std::chrono::hours{1};
/** Time for which a server is remembered to live, so that late reports don't count: longer than they are
    told. */
constexpr auto living_lifetime = seconds{90};
/** A request with this many recent successful runs per crash at a gateway is not what ends its servers. */
constexpr std::uint32_t successful_runs_per_crash = 10;
constexpr auto successful_runs_half_life = seconds{10};
/** A request without a success explains the crashes of others once it has this many itself. */
constexpr std::uint32_t min_explaining_crashes = 2;
/** How long it is remembered that a request has succeeded at all. */
constexpr auto success_lifetime = std::chrono::minutes{5};
/** Beyond that, only requests with many recent runs are remembered. */
constexpr std::size_t max_successful_requests = 8'192;
/** How long a request's only sighting is told: two or three messages. Most have other causes than the
    request. */
constexpr auto single_report_time = milliseconds{600};
constexpr auto report_time = seconds{30};
constexpr auto urgent_report_time = milliseconds{1500};
constexpr auto report_again_age = seconds{60};
constexpr std::size_t max_reports_per_message = 400;
/** Bounds the memory in a large outage. */
constexpr std::size_t max_sightings = 20'000;
constexpr auto cleanup_interval = seconds{10};

} // namespace

request_fingerprint make_request_fingerprint(std::string_view host, std::string_view method,
                                             std::string_view path, std::string_view body) {
    std::string text;
    for (const std::string_view part : {host, method, path}) {
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

bool crash_registry::counts(const sighting& seen) {
    return seen.state != server_state::living;
}

bool crash_registry::add(const crash_sighting& seen, time_point now, bool is_own) {
    const bool was_refused = is_refused(seen.fingerprint);
    if (now - seen.seen_at > lifetime) {
        return false;
    }
    if (sighting_count_ >= max_sightings) {
        make_room();
    }
    if (sighting_count_ >= max_sightings) {
        return false;
    }
    sighting entry;
    entry.seen_at = seen.seen_at;
    entry.known_at = now;
    entry.is_own = is_own;
    entry.state = seen.has_ended ? server_state::ended : server_state::unknown;
    const auto answered = answers_.find(seen.server_start);
    const bool lives = answered != answers_.end() && answered->second.connected_at <= seen.seen_at &&
                       answered->second.sent_at > seen.seen_at;
    if (lives) {
        entry.state = server_state::living;
        entry.lived_at = answered->second.sent_at;
    }
    const auto [known, is_new] = requests_[seen.fingerprint].try_emplace(seen.server_start, entry);
    if (!is_new) {
        sighting& former = known->second;
        const bool is_another_crash = former.state == server_state::living && seen.seen_at > former.lived_at;
        if (is_another_crash) {
            former = entry;
            next_decision_ = std::min(next_decision_, seen.seen_at + decision_delay);
        } else if (former.state == server_state::unknown && seen.has_ended) {
            former.state = server_state::ended;
        }
        return !was_refused && is_refused(seen.fingerprint);
    }
    ++sighting_count_;
    suspects_[seen.server_start].insert(seen.fingerprint);
    next_decision_ = std::min(next_decision_, seen.seen_at + decision_delay);
    return !was_refused && is_refused(seen.fingerprint);
}

void crash_registry::make_room() {
    std::vector<std::pair<time_point, request_fingerprint>> single;
    for (const auto& [fingerprint, found] : requests_) {
        if (found.size() == 1) {
            single.emplace_back(found.begin()->second.seen_at, fingerprint);
        }
    }
    const auto middle = single.begin() + static_cast<std::ptrdiff_t>((single.size() + 1) / 2);
    std::nth_element(single.begin(), middle, single.end());
    for (auto entry = single.begin(); entry != middle; ++entry) {
        const auto found = requests_.find(entry->second);
        suspects_[found->second.begin()->first].erase(entry->second);
        requests_.erase(found);
        --sighting_count_;
    }
    std::erase_if(suspects_, [](const auto& entry) { return entry.second.empty(); });
}

void crash_registry::withdraw(const request_fingerprint& fingerprint, const server_start_id& server_start,
                              std::string_view reason) const {
    on_withdrawn_({fingerprint, server_start, reason, crashes(fingerprint)});
}

void crash_registry::on_answered(const server_start_id& server_start, time_point connected_at,
                                 time_point sent_at) {
    answer& latest = answers_[server_start];
    if (sent_at > latest.sent_at) {
        latest = {connected_at, sent_at};
    }
    const auto suspects = suspects_.find(server_start);
    if (suspects == suspects_.end()) {
        return;
    }
    for (const request_fingerprint& fingerprint : suspects->second) {
        sighting& seen = requests_.at(fingerprint).at(server_start);
        const bool lives = connected_at <= seen.seen_at && sent_at > seen.seen_at;
        if (lives && seen.state == server_state::unknown) {
            seen.state = server_state::living;
            seen.lived_at = sent_at;
            withdraw(fingerprint, server_start, "answered");
        }
    }
}

void crash_registry::on_completed(const request_fingerprint& fingerprint, time_point now) {
    successful_runs& runs = successful_runs_[fingerprint.digest];
    ++runs.recent;
    runs.last_at = now;
    if (successful_runs_.size() > max_successful_requests) {
        std::erase_if(successful_runs_, [](const auto& entry) { return entry.second.recent <= 1; });
    }
    if (successful_runs_.size() > max_successful_requests) {
        age_successful_runs(now);
    }
}

void crash_registry::age_successful_runs(time_point now) {
    for (auto& [digest, runs] : successful_runs_) {
        runs.recent /= 2;
    }
    std::erase_if(successful_runs_,
                  [&](const auto& entry) { return now - entry.second.last_at > success_lifetime; });
}

void crash_registry::on_tick(time_point now, const std::function<std::optional<server_view>()>& view) {
    if (now >= next_aging_) {
        next_aging_ = now + successful_runs_half_life;
        age_successful_runs(now);
    }
    if (now < next_decision_ && now < next_cleanup_) {
        return;
    }
    next_cleanup_ = now + cleanup_interval;
    const std::optional<server_view> current = view();
    decide_and_expire(now, current ? &*current : nullptr);
    std::erase_if(requests_, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(suspects_, [](const auto& entry) { return entry.second.empty(); });
    if (current) {
        std::erase_if(answers_,
                      [&](const auto& entry) { return !current->listed_starts.contains(entry.first); });
    }
}

void crash_registry::decide(sighting& seen, const server_start_id& server_start, time_point now,
                            const server_view& view) {
    const bool is_due = seen.state == server_state::unknown &&
                        now - std::max(seen.seen_at, view.current_since) >= decision_delay;
    if (!is_due) {
        return;
    }
    seen.state = view.listed_starts.contains(server_start) ? server_state::living : server_state::ended;
    seen.lived_at = now;
}

void crash_registry::decide_and_expire(time_point now, const server_view* view) {
    next_decision_ = time_point::max();
    for (auto& [fingerprint, found] : requests_) {
        for (auto entry = found.begin(); entry != found.end();) {
            const server_start_id server_start = entry->first;
            sighting& seen = entry->second;
            const bool did_count = counts(seen);
            if (view != nullptr) {
                decide(seen, server_start, now, *view);
            }
            if (did_count && !counts(seen)) {
                withdraw(fingerprint, server_start, "listed");
            }
            const duration kept_for =
                seen.state == server_state::living ? duration{living_lifetime} : lifetime;
            if (now - seen.seen_at > kept_for) {
                const bool does_count = counts(seen);
                suspects_[server_start].erase(fingerprint);
                entry = found.erase(entry);
                --sighting_count_;
                if (does_count) {
                    withdraw(fingerprint, server_start, "expired");
                }
                continue;
            }
            if (seen.state == server_state::unknown) {
                const time_point counted_from =
                    view == nullptr ? now : std::max(seen.seen_at, view->current_since);
                next_decision_ = std::min(next_decision_, counted_from + decision_delay);
            }
            ++entry;
        }
    }
}

std::uint32_t crash_registry::count(const sightings& found) {
    return static_cast<std::uint32_t>(
        std::count_if(found.begin(), found.end(), [](const auto& entry) { return counts(entry.second); }));
}

std::uint32_t crash_registry::crashes(const request_fingerprint& fingerprint) const {
    const auto found = requests_.find(fingerprint);
    return found == requests_.end() ? 0 : count(found->second);
}

bool crash_registry::is_refused(const request_fingerprint& fingerprint) const {
    const auto found = requests_.find(fingerprint);
    return found != requests_.end() && is_refused(fingerprint, found->second);
}

bool crash_registry::is_refused(const request_fingerprint& fingerprint, const sightings& found) const {
    const std::uint32_t crashes = count(found);
    const auto successful = successful_runs_.find(fingerprint.digest);
    if (crashes < crash_limit_ || successful == successful_runs_.end()) {
        return crashes >= crash_limit_;
    }
    if (successful->second.recent >= successful_runs_per_crash * crashes) {
        return false;
    }
    const auto unexplained = std::count_if(found.begin(), found.end(), [&](const auto& entry) {
        return counts(entry.second) && !is_explained_by_another(fingerprint, entry.first);
    });
    return unexplained >= static_cast<std::ptrdiff_t>(crash_limit_);
}

bool crash_registry::is_explained_by_another(const request_fingerprint& fingerprint,
                                             const server_start_id& server_start) const {
    if (!has_succeeded(fingerprint)) {
        return false;
    }
    const std::set<request_fingerprint>& suspects = suspects_.at(server_start);
    return std::any_of(suspects.begin(), suspects.end(), [&](const request_fingerprint& other) {
        const sightings& seen = requests_.at(other);
        return other != fingerprint && counts(seen.at(server_start)) &&
               count(seen) >= min_explaining_crashes && !has_succeeded(other);
    });
}

bool crash_registry::is_recent(const sighting& seen, std::uint32_t crashes, report_scope scope,
                               time_point now) {
    const duration age = now - seen.known_at;
    if (scope == report_scope::urgent) {
        return seen.is_own && crashes > 1 && age < urgent_report_time;
    }
    return age < (crashes > 1 ? duration{report_time} : duration{single_report_time});
}

std::vector<crash_sighting> crash_registry::reports(report_scope scope, time_point now) const {
    std::vector<std::pair<std::uint32_t, crash_sighting>> due;
    for (const auto& [fingerprint, found] : requests_) {
        const std::uint32_t crashes = count(found);
        const bool is_standing = scope == report_scope::standing && is_refused(fingerprint, found);
        for (const auto& [server_start, seen] : found) {
            // A peer that has just started doesn't know which of the two requests has succeeded.
            const bool is_due = counts(seen) && (is_standing || is_recent(seen, crashes, scope, now)) &&
                                !is_explained_by_another(fingerprint, server_start);
            if (is_due) {
                due.emplace_back(crashes, crash_sighting{fingerprint, server_start, seen.seen_at,
                                                         seen.state == server_state::ended});
            }
        }
    }
    if (due.size() > max_reports_per_message) {
        const auto end = due.begin() + static_cast<std::ptrdiff_t>(max_reports_per_message);
        std::partial_sort(due.begin(), end, due.end(), [](const auto& left, const auto& right) {
            return std::pair{left.first, left.second.seen_at} > std::pair{right.first, right.second.seen_at};
        });
        due.erase(end, due.end());
    }
    std::vector<crash_sighting> told;
    std::transform(due.begin(), due.end(), std::back_inserter(told),
                   [](const auto& entry) { return entry.second; });
    return told;
}

std::vector<crash_sighting> crash_registry::refused_sightings() const {
    std::vector<crash_sighting> refused;
    for (const auto& [fingerprint, found] : requests_) {
        if (!is_refused(fingerprint, found) || refused.size() + found.size() > max_reports_per_message) {
            continue;
        }
        for (const auto& [server_start, seen] : found) {
            if (counts(seen)) {
                refused.push_back(
                    {fingerprint, server_start, seen.seen_at, seen.state == server_state::ended});
            }
        }
    }
    return refused;
}

std::size_t crash_registry::size() const {
    std::size_t counted = 0;
    for (const auto& [fingerprint, found] : requests_) {
        counted += count(found);
    }
    return counted;
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
