#include "lovageledge/serving/crash_registry.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <tuple>
#include <utility>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** The platform has dropped the entry of a server that ended this long ago: three missed check-ins, and the
    time until the change is read. */
constexpr auto decision_delay = seconds{8};
/** Time for which a crash counts. */
constexpr auto lifetime = std::chrono::hours{1};
/** Time for which a refuted sighting is remembered, so that late reports don't count: longer than they are
    told. */
constexpr auto refuted_lifetime = seconds{90};
/** A request with this many recent successful runs per crash is not what ends its servers. */
constexpr std::uint32_t successful_runs_per_crash = 10;
/** A suspect without a success explains the crashes of others once it has this many itself. */
constexpr std::size_t min_explaining_crashes = 2;
/** The next round of crashes begins under a request that is sent this long after the round before. When
    servers end together for another reason, all parts in use have crashes at once, but only one round. */
constexpr auto min_round_distance = milliseconds{300};
/** With so many crashes, the second round decides. */
constexpr std::size_t many_crashes = 5;
/** Time from a crash to the next trial. The short one is for parts that may well be sound, since they have
    succeeded before or other suspects explain their crashes as well. */
constexpr auto short_trial_delay = seconds{1};
constexpr auto long_trial_delay = seconds{10};
/** Factor by which the delay grows with each round beyond the limit. */
constexpr int trial_delay_growth = 4;
constexpr std::size_t max_trial_delay_steps = 4;
/** The number of gateways that may try doubles in this time, until the outcome of a trial is known. */
constexpr auto trial_spread_time = seconds{1};
constexpr auto min_trial_distance = seconds{1};
/** How long a suspect's only sighting is told: two or three messages. Most have other causes. */
constexpr auto single_report_time = milliseconds{600};
constexpr auto report_time = seconds{30};
constexpr auto urgent_report_time = milliseconds{1500};
constexpr auto report_again_age = seconds{60};
constexpr std::size_t max_reports_per_message = 400;
/** More sightings of one suspect change nothing at a peer. */
constexpr std::size_t max_reports_per_suspect = 8;
constexpr std::size_t max_successes_per_message = 200;
/** Bounds the memory in a large outage. */
constexpr std::size_t max_sightings = 20'000;
constexpr auto cleanup_interval = seconds{10};

/** @returns the sightings that begin a round, each under a request that was sent after the round before.
    @param crashes oldest first */
std::vector<crash_sighting> find_rounds(const std::vector<crash_sighting>& crashes) {
    std::vector<crash_sighting> rounds;
    for (const crash_sighting& seen : crashes) {
        if (rounds.empty() || seen.seen_at - seen.ran_for > rounds.back().seen_at + min_round_distance) {
            rounds.push_back(seen);
        }
    }
    return rounds;
}

/** Keeps the oldest and the newest ones if there are too many. */
void drop_middle(std::vector<crash_sighting>& sightings, std::size_t most) {
    if (sightings.size() > most) {
        const auto oldest = static_cast<std::ptrdiff_t>(most / 2);
        const auto newest = static_cast<std::ptrdiff_t>(most) - oldest;
        sightings.erase(sightings.begin() + oldest, sightings.end() - newest);
    }
}

} // namespace

bool crash_registry::on_broken(const crash_suspect& suspect, const server_start_id& server_start,
                               time_point now, duration ran_for) {
    for (const closed_response& response : closed_responses_.on_broken(server_start, now)) {
        for (const crash_suspect& other : response.suspects) {
            add({other, server_start, response.closed_at, false, response.ran_for}, now, true);
        }
    }
    return add({suspect, server_start, now, false, ran_for}, now, true);
}

bool crash_registry::on_report(const crash_sighting& seen, time_point now) {
    return add(seen, now, false);
}

bool crash_registry::add(const crash_sighting& seen, time_point now, bool is_own) {
    now_ = now;
    if (now - seen.seen_at > lifetime) {
        return false;
    }
    if (sighting_count_ >= max_sightings) {
        make_room();
    }
    if (sighting_count_ >= max_sightings) {
        return false;
    }
    const bool was_refused = refused_.contains(seen.suspect);
    sighting entry;
    entry.seen_at = seen.seen_at;
    entry.ran_for = seen.ran_for;
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
    sightings& found = suspects_[seen.suspect].seen;
    const auto [known, is_new] = found.try_emplace(seen.server_start, entry);
    if (is_new) {
        ++sighting_count_;
        by_server_start_[seen.server_start].insert(seen.suspect);
        (found.size() == 1 ? fresh_ : repeated_).insert(seen.suspect);
        told_repetitions_ += !is_own && found.size() > 1 ? 1 : 0;
        next_decision_ = std::min(next_decision_, seen.seen_at + decision_delay);
    } else if (!merge(known->second, entry)) {
        return false;
    }
    is_refused_current_ = false;
    // Peers tell each sighting often, so the decision is taken only if it may have changed.
    return !was_refused && counted(seen.suspect).size() >= crash_limit_ && is_refused(seen.suspect);
}

bool crash_registry::merge(sighting& known, const sighting& told) {
    const bool is_another_crash = known.state == server_state::living && told.seen_at > known.lived_at;
    if (is_another_crash) {
        known = told;
        next_decision_ = std::min(next_decision_, told.seen_at + decision_delay);
        return true;
    }
    const bool ran_shorter = told.ran_for < known.ran_for;
    const bool has_ended = known.state == server_state::unknown && told.state == server_state::ended;
    known.ran_for = std::min(known.ran_for, told.ran_for);
    known.state = has_ended ? server_state::ended : known.state;
    return ran_shorter || has_ended;
}

void crash_registry::make_room() {
    std::vector<std::pair<time_point, crash_suspect>> single;
    for (const auto& [suspect, record] : suspects_) {
        if (record.seen.size() == 1) {
            single.emplace_back(record.seen.begin()->second.seen_at, suspect);
        }
    }
    const auto middle = single.begin() + static_cast<std::ptrdiff_t>((single.size() + 1) / 2);
    std::nth_element(single.begin(), middle, single.end());
    for (auto entry = single.begin(); entry != middle; ++entry) {
        const auto found = suspects_.find(entry->second);
        by_server_start_[found->second.seen.begin()->first].erase(entry->second);
        fresh_.erase(entry->second);
        suspects_.erase(found);
        --sighting_count_;
    }
    std::erase_if(by_server_start_, [](const auto& entry) { return entry.second.empty(); });
}

void crash_registry::withdraw(const crash_suspect& suspect, const server_start_id& server_start,
                              std::string_view reason) {
    is_refused_current_ = false;
    on_withdrawn_({suspect, server_start, reason, crashes(suspect)});
}

void crash_registry::on_answered(const server_start_id& server_start, time_point connected_at,
                                 time_point sent_at) {
    answer& latest = answers_[server_start];
    if (sent_at > latest.sent_at) {
        latest = {connected_at, sent_at};
    }
    const auto suspects = by_server_start_.find(server_start);
    if (suspects == by_server_start_.end()) {
        return;
    }
    for (const crash_suspect& suspect : suspects->second) {
        sighting& seen = suspects_.at(suspect).seen.at(server_start);
        const bool lives = connected_at <= seen.seen_at && sent_at > seen.seen_at;
        if (lives && seen.state == server_state::unknown) {
            seen.state = server_state::living;
            seen.lived_at = sent_at;
            withdraw(suspect, server_start, "answered");
        }
    }
}

void crash_registry::on_completed(const crash_suspect& suspect, time_point now) {
    now_ = now;
    const auto former = successes_.last_success(suspect);
    successes_.on_completed(suspect, now);
    apply_last_success(suspect, former);
}

void crash_registry::on_closed(closed_response response) {
    closed_responses_.add(std::move(response));
}

void crash_registry::on_received(const server_start_id& server_start, time_point connected_at,
                                 time_point now) {
    if (!closed_responses_.empty()) {
        complete(closed_responses_.on_received(server_start, connected_at, now), now);
    }
}

void crash_registry::complete(const std::vector<closed_response>& responses, time_point now) {
    for (const closed_response& response : responses) {
        for (const crash_suspect& suspect : response.suspects) {
            on_completed(suspect, now);
        }
    }
}

void crash_registry::on_success_report(success_scope scope, const std::string& source,
                                       const suspect_success& success, time_point now) {
    now_ = now;
    const auto former = successes_.last_success(success.suspect);
    successes_.on_report(scope, source, success, now);
    if (success.suspect.kind == suspect_kind::request && repeated_.contains(success.suspect)) {
        is_refused_current_ = false; // The number of recent runs may have declined.
    }
    apply_last_success(success.suspect, former);
}

void crash_registry::apply_last_success(const crash_suspect& suspect, std::optional<time_point> former) {
    const auto found = suspects_.find(suspect);
    if (found == suspects_.end()) {
        return;
    }
    if (!former || refused_.contains(suspect)) {
        is_refused_current_ = false;
    }
    if (suspect.kind != suspect_kind::prompt_part) {
        return;
    }
    const time_point last = *successes_.last_success(suspect);
    std::size_t cleared = 0;
    server_start_id newest;
    for (const auto& [server_start, seen] : found->second.seen) {
        const bool is_cleared =
            seen.state != server_state::living && seen.seen_at <= last && (!former || seen.seen_at > *former);
        cleared += is_cleared ? 1 : 0;
        newest = is_cleared ? server_start : newest;
    }
    if (cleared >= min_explaining_crashes) {
        withdraw(suspect, newest, "succeeded");
    } else if (cleared > 0) {
        is_refused_current_ = false;
    }
}

void crash_registry::on_tick(time_point now, const std::function<std::optional<server_view>()>& view) {
    now_ = now;
    if (successes_.age(now)) {
        is_refused_current_ = false;
    }
    std::erase_if(fresh_, [&](const crash_suspect& suspect) {
        const auto found = suspects_.find(suspect);
        return found == suspects_.end() || repeated_.contains(suspect) ||
               now - found->second.seen.begin()->second.known_at >= single_report_time;
    });
    if (now < next_decision_ && now < next_cleanup_) {
        return;
    }
    next_cleanup_ = now + cleanup_interval;
    const std::optional<server_view> current = view();
    decide_and_expire(now, current ? &*current : nullptr);
    std::erase_if(suspects_, [](const auto& entry) { return entry.second.seen.empty(); });
    std::erase_if(by_server_start_, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(repeated_, [this](const crash_suspect& suspect) {
        const auto found = suspects_.find(suspect);
        return found == suspects_.end() || found->second.seen.size() < 2;
    });
    successes_.forget_told([this](const crash_suspect& suspect) { return repeated_.contains(suspect); });
    if (current) {
        std::erase_if(answers_,
                      [&](const auto& entry) { return !current->listed_starts.contains(entry.first); });
        complete(closed_responses_.on_listed(current->listed_starts, now), now);
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
    for (auto& [suspect, record] : suspects_) {
        const auto last_success = last_success_of_part(suspect);
        for (auto entry = record.seen.begin(); entry != record.seen.end();) {
            const server_start_id server_start = entry->first;
            sighting& seen = entry->second;
            const bool did_count = counts(seen, last_success);
            if (view != nullptr) {
                decide(seen, server_start, now, *view);
            }
            const bool does_count = counts(seen, last_success);
            if (did_count && !does_count) {
                withdraw(suspect, server_start, "listed");
            }
            const duration kept_for = does_count ? lifetime : duration{refuted_lifetime};
            if (now - seen.seen_at > kept_for) {
                by_server_start_[server_start].erase(suspect);
                entry = record.seen.erase(entry);
                --sighting_count_;
                if (does_count) {
                    withdraw(suspect, server_start, "expired");
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

std::optional<time_point> crash_registry::last_success_of_part(const crash_suspect& suspect) const {
    return suspect.kind == suspect_kind::prompt_part ? successes_.last_success(suspect) : std::nullopt;
}

bool crash_registry::counts(const sighting& seen, std::optional<time_point> last_success) {
    return seen.state != server_state::living && (!last_success || seen.seen_at > *last_success);
}

std::vector<crash_sighting> crash_registry::counted(const crash_suspect& suspect) const {
    std::vector<crash_sighting> result;
    const auto found = suspects_.find(suspect);
    if (found == suspects_.end()) {
        return result;
    }
    const auto last_success = last_success_of_part(suspect);
    for (const auto& [server_start, seen] : found->second.seen) {
        if (counts(seen, last_success)) {
            result.push_back(
                {suspect, server_start, seen.seen_at, seen.state == server_state::ended, seen.ran_for});
        }
    }
    std::sort(result.begin(), result.end(), [](const crash_sighting& left, const crash_sighting& right) {
        return left.seen_at < right.seen_at;
    });
    return result;
}

std::uint32_t crash_registry::crashes(const crash_suspect& suspect) const {
    return static_cast<std::uint32_t>(counted(suspect).size());
}

bool crash_registry::is_refused(const crash_suspect& suspect) const {
    refresh_refused();
    return refused_.contains(suspect);
}

std::optional<crash_suspect> crash_registry::find_refused(const std::vector<crash_suspect>& suspects) const {
    const auto found = std::find_if(suspects.begin(), suspects.end(),
                                    [this](const crash_suspect& suspect) { return is_refused(suspect); });
    return found == suspects.end() ? std::nullopt : std::optional{*found};
}

void crash_registry::refresh_refused() const {
    if (std::exchange(is_refused_current_, true)) {
        return;
    }
    refused_.clear();
    explained_starts_.clear();
    std::map<crash_suspect, std::vector<crash_sighting>> crashes;
    for (const crash_suspect& suspect : repeated_) {
        const auto& counting = crashes[suspect] = counted(suspect);
        if (counting.size() >= min_explaining_crashes && !has_succeeded(suspect)) {
            for (const crash_sighting& seen : counting) {
                explained_starts_.insert(seen.server_start);
            }
        }
    }
    std::map<server_start_id, std::size_t> refused_at;
    for (const auto& [suspect, counting] : crashes) {
        if (!is_to_be_refused(suspect, counting)) {
            continue;
        }
        refused_[suspect] = false;
        for (const crash_sighting& seen : counting) {
            ++refused_at[seen.server_start];
        }
    }
    for (auto& [suspect, is_certain] : refused_) {
        const auto& counting = crashes[suspect];
        const auto alone = std::count_if(counting.begin(), counting.end(), [&](const crash_sighting& seen) {
            return refused_at[seen.server_start] == 1;
        });
        is_certain = alone >= static_cast<std::ptrdiff_t>(crash_limit_);
    }
}

bool crash_registry::is_to_be_refused(const crash_suspect& suspect,
                                      const std::vector<crash_sighting>& crashes) const {
    if (crashes.size() < crash_limit_) {
        return false;
    }
    if (suspect.kind == suspect_kind::prompt_part) {
        const std::size_t rounds = find_rounds(crashes).size();
        const std::size_t min_rounds = crashes.size() >= many_crashes ? 2 : crash_limit_;
        if (rounds < min_rounds) {
            return false;
        }
    }
    if (!has_succeeded(suspect)) {
        return true;
    }
    const std::uint32_t runs = successes_.recent_runs(suspect, success_scope::deployment, now_);
    if (suspect.kind == suspect_kind::request && runs >= successful_runs_per_crash * crashes.size()) {
        return false;
    }
    const auto unexplained =
        std::count_if(crashes.begin(), crashes.end(),
                      [this](const crash_sighting& seen) { return !is_explained_by_another(seen); });
    return unexplained >= static_cast<std::ptrdiff_t>(crash_limit_);
}

bool crash_registry::is_explained_by_another(const crash_sighting& seen) const {
    return has_succeeded(seen.suspect) && explained_starts_.contains(seen.server_start);
}

std::optional<duration> crash_registry::trial_delay(const crash_suspect& suspect, std::size_t rounds) const {
    const bool is_certain = refused_.at(suspect);
    if (suspect.kind == suspect_kind::request) {
        return is_certain ? std::nullopt : std::optional<duration>{long_trial_delay};
    }
    duration delay = !is_certain || has_succeeded(suspect) ? short_trial_delay : long_trial_delay;
    const std::size_t further_rounds = rounds - std::min<std::size_t>(rounds, crash_limit_);
    const std::size_t steps = std::min(further_rounds, max_trial_delay_steps);
    for (std::size_t step = 0; step < steps; ++step) {
        delay *= trial_delay_growth;
    }
    return delay;
}

bool crash_registry::begin_trial(const std::vector<crash_suspect>& suspects, const trial_candidate& candidate,
                                 time_point now) {
    const auto refused = find_refused(suspects);
    const auto count = std::count_if(suspects.begin(), suspects.end(),
                                     [this](const crash_suspect& suspect) { return is_refused(suspect); });
    if (!refused || count > 1) {
        return false; // With several, the outcome would not tell which one is to blame.
    }
    const std::vector<crash_sighting> crashes = counted(*refused);
    const auto delay = trial_delay(*refused, find_rounds(crashes).size());
    if (!delay) {
        return false;
    }
    suspect_record& record = suspects_.at(*refused);
    const duration overdue = now - (crashes.back().seen_at + *delay);
    if (overdue < duration{} || now - record.tried_at < min_trial_distance) {
        return false;
    }
    // All gateways count from the same crash, and each draws whether it is among those that may try.
    const double doublings = std::chrono::duration<double>{overdue} / trial_spread_time;
    const double share = std::exp2(doublings) / static_cast<double>(candidate.gateway_count);
    const std::uint64_t draw =
        rendezvous_weight(refused->digest + crashes.size(), stable_hash(candidate.gateway));
    if (static_cast<double>(draw) > share * static_cast<double>(std::numeric_limits<std::uint64_t>::max())) {
        return false;
    }
    record.tried_at = now;
    return true;
}

bool crash_registry::is_due(const crash_sighting& seen, std::size_t crashes, report_scope scope,
                            time_point now) const {
    const sighting& entry = suspects_.at(seen.suspect).seen.at(seen.server_start);
    const duration age = now - entry.known_at;
    if (scope == report_scope::urgent) {
        return entry.is_own && crashes > 1 && age < urgent_report_time;
    }
    const bool is_standing = scope == report_scope::standing && refused_.contains(seen.suspect);
    return is_standing || age < (crashes > 1 ? duration{report_time} : duration{single_report_time});
}

std::vector<crash_sighting> crash_registry::reports(report_scope scope, time_point now) const {
    refresh_refused();
    struct due_sighting {
        bool has_succeeded;
        std::size_t crashes;
        crash_sighting seen;
    };
    std::vector<due_sighting> due;
    const auto append = [&](const crash_suspect& suspect) {
        const bool succeeded = has_succeeded(suspect);
        const std::vector<crash_sighting> crashes = counted(suspect);
        for (const crash_sighting& seen : bounded(crashes)) {
            // A peer that has just started doesn't know which suspects have succeeded.
            if (is_due(seen, crashes.size(), scope, now) && !is_explained_by_another(seen)) {
                due.push_back({succeeded, crashes.size(), seen});
            }
        }
    };
    std::for_each(repeated_.begin(), repeated_.end(), append);
    if (scope != report_scope::urgent) {
        for (const crash_suspect& suspect : fresh_) {
            if (!repeated_.contains(suspect)) {
                append(suspect);
            }
        }
    }
    if (due.size() > max_reports_per_message) {
        const auto end = due.begin() + static_cast<std::ptrdiff_t>(max_reports_per_message);
        std::partial_sort(due.begin(), end, due.end(), [](const auto& left, const auto& right) {
            return std::tuple{!left.has_succeeded, left.crashes, left.seen.seen_at} >
                   std::tuple{!right.has_succeeded, right.crashes, right.seen.seen_at};
        });
        due.erase(end, due.end());
    }
    std::vector<crash_sighting> told;
    std::transform(due.begin(), due.end(), std::back_inserter(told),
                   [](const due_sighting& entry) { return entry.seen; });
    return told;
}

std::vector<crash_sighting> crash_registry::bounded(std::vector<crash_sighting> crashes) {
    if (crashes.size() <= max_reports_per_suspect) {
        return crashes;
    }
    std::vector<crash_sighting> told = find_rounds(crashes);
    drop_middle(told, max_reports_per_suspect);
    std::erase_if(crashes, [&](const crash_sighting& seen) {
        return std::any_of(told.begin(), told.end(), [&](const crash_sighting& begun) {
            return begun.server_start == seen.server_start;
        });
    });
    drop_middle(crashes, max_reports_per_suspect - told.size());
    told.insert(told.end(), crashes.begin(), crashes.end());
    return told;
}

std::vector<suspect_success> crash_registry::success_reports(success_scope scope, time_point now) const {
    std::vector<suspect_success> told;
    for (const crash_suspect& suspect : repeated_) {
        const auto last_at = successes_.last_success(suspect);
        const sightings& found = suspects_.at(suspect).seen;
        const bool is_recent = std::any_of(found.begin(), found.end(), [&](const auto& entry) {
            return now - entry.second.seen_at < report_time;
        });
        if (last_at && is_recent && told.size() < max_successes_per_message) {
            told.push_back({suspect, successes_.recent_runs(suspect, scope, now), *last_at});
        }
    }
    return told;
}

std::vector<crash_sighting> crash_registry::refused_sightings() const {
    refresh_refused();
    std::vector<crash_sighting> result;
    for (const auto& [suspect, is_certain] : refused_) {
        const std::vector<crash_sighting> crashes = bounded(counted(suspect));
        if (result.size() + crashes.size() <= max_reports_per_message) {
            result.insert(result.end(), crashes.begin(), crashes.end());
        }
    }
    return result;
}

std::size_t crash_registry::size() const {
    std::size_t total = 0;
    for (const auto& [suspect, record] : suspects_) {
        total += counted(suspect).size();
    }
    return total;
}

void crash_registry::report_again(time_point now) {
    for (auto& [suspect, record] : suspects_) {
        for (auto& [server_start, seen] : record.seen) {
            if (now - seen.seen_at < report_again_age) {
                seen.known_at = now;
                fresh_.insert(suspect);
            }
        }
    }
}

} // namespace lovageledge
