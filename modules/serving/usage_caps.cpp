#include "lovageledge/serving/usage_caps.hpp"

#include <algorithm>
#include <cmath>

namespace lovageledge {
namespace {

/** Time in which the level returns to its target. Shorter times react to reports that lag by up to 0.55 s. */
constexpr double relaxation_s = 2.0;
/** Least Retry-After. */
constexpr auto min_retry_after = std::chrono::milliseconds{100};
/** Own usage is summed over times of this length. */
constexpr auto spending_interval = std::chrono::milliseconds{100};
/** Usage that others have admitted is known this long after, on average: a half of each interval of the
    messages on the way. */
constexpr double mean_report_lag_s = 0.3;
/** Seconds' worth of the rate by which a surge may be admitted before all gateways know of it. */
constexpr double surge_reserve_s = 1.0;
/** Fraction of the remaining allowed excess by which the level's target lies below zero. The rest covers the
   deviation of small accounts, of which single requests are as large as a second's worth. */
constexpr double spare_fraction = 0.65;
/** The holder tells each account once a second, of which two messages may be lost. */
constexpr auto told_lifetime = std::chrono::milliseconds{2500};
/** Limits of the time constant with which demand is averaged. */
constexpr double min_demand_time_s = 0.35;
constexpr double max_demand_time_s = 1.5;
/** The part of the spare excess that is not used while gateways are not heard, as a multiple of their share.
 */
constexpr double unheard_weight = 4.0;
/** Seconds' worth of the unheard gateways' share by which the level's target is raised while they are not
 * heard. */
constexpr double unheard_reserve_s = 3.0;
/** Most of that, as a fraction of the bucket's capacity. */
constexpr double max_unheard_reserve = 0.7;
/** Multiple of the spare excess that is part of the shares of gateways out of contact. */
constexpr double isolated_excess = 1.05;
/** A gateway out of contact may spend this multiple of what it spent in the window before, if the account was
    within its cap; the requests of a window vary. */
constexpr double usual_margin = 1.35;
/** Time constant with which a gateway's own usage is averaged, in which it has a few requests also of small
 * accounts. */
constexpr double usual_time_s = 30.0;
/** Least part of an average that must be known before it is scaled up to the whole. */
constexpr double min_known = 0.2;
/** Requests that were admitted out of contact may be given back for this long. */
constexpr auto isolated_memory = std::chrono::seconds{30};
/** An account that has not refused for this long has stopped refusing. */
constexpr auto refusing_lifetime = std::chrono::seconds{1};

double to_seconds(duration time) {
    return std::chrono::duration<double>(time).count();
}

/** Spreads the bits of a digest evenly (splitmix64). */
std::uint64_t mix(std::uint64_t value) {
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/** @returns a number from 0 up to but not including 1 */
double to_fraction(std::uint64_t hash) {
    constexpr double two_to_53 = 9007199254740992.0;
    return static_cast<double>(mix(hash) >> 11U) / two_to_53;
}

} // namespace

double cap_settings::allowed_excess(const usage_cap& cap) const {
    return tolerance * (cap.rate_per_second * to_seconds(window) + cap.burst) + slack;
}

double cap_settings::spare(const usage_cap& cap) const {
    return std::max(0.0, allowed_excess(cap) - surge_reserve_s * cap.rate_per_second) * spare_fraction;
}

duration cap_settings::demand_time(const usage_cap& cap) const {
    // The larger the allowed excess, the more time there is to find out. A longer time is needed for small
    // accounts, of which few requests come in a second.
    const double seconds = cap.is_limited() ? allowed_excess(cap) / cap.rate_per_second / 3.0 : 0.0;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{std::clamp(seconds, min_demand_time_s, max_demand_time_s)});
}

double heard_gateways::share(double tolerance) const {
    const double heard_share =
        static_cast<double>(heard) / static_cast<double>(std::max<std::size_t>(1, registered));
    return std::min(1.0, heard_share * (1.0 + tolerance));
}

void usage_caps::set_accounts(const std::vector<client_account>& accounts, time_point now) {
    if (!began_at_) {
        began_at_ = now;
    }
    std::map<account_name, account_state> adopted;
    for (const client_account& account : accounts) {
        if (!account.cap.is_limited()) {
            continue;
        }
        const auto known = accounts_.find(account.name);
        const bool is_same_unit =
            known != accounts_.end() && known->second.cap.counted == account.cap.counted;
        account_state state;
        state.told.level = -settings_.spare(account.cap);
        state.limited_since = now;
        state.told_at = now;
        if (is_same_unit) {
            state = std::move(known->second);
            // The level up to now follows the old cap.
            const double level = level_of(state, now);
            const double own = static_cast<double>(state.own.net()) - static_cast<double>(state.included_net);
            state.told.level = std::min(level, account.cap.burst) + own;
            state.told_at = now;
        }
        state.cap = account.cap;
        adopted.emplace(account.name, std::move(state));
    }
    accounts_ = std::move(adopted);
}

double usage_caps::effective_rate(const account_state& account) const {
    return account.cap.rate_per_second * gateways_.share(settings_.tolerance);
}

double usage_caps::capacity(const account_state& account) const {
    return account.cap.burst * gateways_.share(0.0);
}

bool usage_caps::is_in_contact(time_point now) const {
    return last_contact_ && now - *last_contact_ <= contact_limit;
}

bool usage_caps::is_shared(const account_state& account, time_point now) const {
    return account.is_told && is_in_contact(now) && now - account.told_at <= told_lifetime;
}

// The told level rises with the rate for at most the contact limit after it was told, since what others admit
// later is not known.
double usage_caps::level_of(const account_state& account, time_point now) const {
    const time_point end = last_contact_ ? std::min(now, *last_contact_ + contact_limit) : account.told_at;
    const double elapsed = std::max(0.0, to_seconds(end - account.told_at));
    const double own = static_cast<double>(account.own.net()) - static_cast<double>(account.included_net);
    return std::min(account.told.level + effective_rate(account) * elapsed, capacity(account)) - own;
}

double usage_caps::demand_of(const account_state& account) const {
    const double unreported = static_cast<double>(account.own.asked - account.included_asked);
    return account.told.demand + unreported / to_seconds(settings_.demand_time(account.cap));
}

double usage_caps::admissible_rate(const account_state& account, time_point now) const {
    const double rate = effective_rate(account);
    const double level = level_of(account, now);
    const double demand = demand_of(account);
    // What others have admitted lately is not reported yet, but follows from the demand.
    const double others = std::min(demand, std::max(0.0, rate + level / relaxation_s));
    const double present = level - others * mean_report_lag_s;
    // What gateways out of contact spend is not known, so the more of them there are, the higher is the
    // target.
    const double unheard = 1.0 - gateways_.share(settings_.tolerance);
    const double reserve = std::min(unheard * unheard_reserve_s * account.cap.rate_per_second,
                                    capacity(account) * max_unheard_reserve);
    const double spare =
        settings_.spare(account.cap) * std::max(0.0, 1.0 - unheard_weight * unheard) - reserve;
    return std::max(0.0, rate + (present + spare) / relaxation_s);
}

double usage_caps::shared_probability(const account_state& account, time_point now) const {
    const double demand = demand_of(account);
    const double admissible = admissible_rate(account, now);
    return demand <= admissible ? 1.0 : admissible / demand;
}

void usage_caps::drop_old_spending(account_state& account, time_point now) const {
    while (!account.recent.empty() && account.recent.front().begin + settings_.window < now) {
        account.recent.pop_front();
    }
}

void usage_caps::record_spending(account_state& account, std::uint64_t cost, time_point now) const {
    drop_old_spending(account, now);
    // The interval's end decides, so that the cost is remembered for the whole window.
    const time_point end = now + spending_interval;
    if (account.recent.empty() || account.recent.back().begin < now) {
        account.recent.push_back({end, 0.0});
    }
    account.recent.back().cost += static_cast<double>(cost);
}

double usage_caps::share_left(account_state& account, time_point now) const {
    drop_old_spending(account, now);
    const time_point since = std::max(account.limited_since, began_at_.value_or(now));
    const duration known = std::max(duration{}, now - since);
    // Usage before this gateway's start is not known, so its share grows from zero.
    double share = account.cap.rate_per_second * to_seconds(std::min(known, settings_.window));
    if (known >= settings_.window) {
        share += account.cap.burst;
    }
    share += isolated_excess * settings_.spare(account.cap) *
             (to_seconds(std::min(known, settings_.window)) / to_seconds(settings_.window));
    double left = share / static_cast<double>(std::max<std::size_t>(1, gateways_.registered));
    left = std::max(left, account.usual_spending);
    for (const spending& spent : account.recent) {
        left -= spent.cost;
    }
    return left;
}

void usage_caps::note_contact(account_state& account, bool in_contact, time_point now) const {
    const bool has_ended = account.was_in_contact && !in_contact;
    account.was_in_contact = in_contact;
    if (in_contact) {
        account.usual_spending = 0.0;
    } else if (has_ended && account.told.demand <= account.cap.rate_per_second) {
        // The average begins at zero, when the cap was adopted.
        const double known = 1.0 - std::exp(-to_seconds(now - account.limited_since) / usual_time_s);
        const double age = to_seconds(now - account.usual_at);
        account.usual_spending = account.usual_rate * std::exp(-age / usual_time_s) /
                                 std::max(known, min_known) * to_seconds(settings_.window) * usual_margin;
    }
}

void usage_caps::average_usage(account_state& account, std::uint64_t cost, time_point now) {
    const double elapsed = to_seconds(now - account.usual_at);
    account.usual_rate =
        account.usual_rate * std::exp(-elapsed / usual_time_s) + static_cast<double>(cost) / usual_time_s;
    account.usual_at = now;
}

cap_decision usage_caps::admit(const account_name& name, std::uint64_t cost, std::uint64_t request_hash,
                               time_point now) {
    const auto found = accounts_.find(name);
    if (found == accounts_.end() || cost == 0) {
        return {true, {}};
    }
    account_state& account = found->second;
    const bool in_contact = is_shared(account, now);
    account.own.asked += cost;
    note_contact(account, in_contact, now);
    double probability = 0.0;
    if (in_contact) {
        probability = shared_probability(account, now);
        account.last_probability = probability;
    } else {
        const double left = share_left(account, now);
        probability = std::clamp(left / static_cast<double>(cost), 0.0, 1.0);
        // In the first window without contact, the usage before it counts as well, and demand may still be
        // as high as it was.
        const bool is_recent = last_contact_ && now - *last_contact_ <= settings_.window;
        probability *= is_recent ? account.last_probability : 1.0;
    }
    if (to_fraction(request_hash) < probability) {
        account.own.admitted += in_contact ? cost : 0;
        account.total_admitted += cost;
        record_spending(account, cost, now);
        if (in_contact) {
            average_usage(account, cost, now);
        } else {
            const bool is_remembered = now - account.isolated_at <= isolated_memory;
            account.isolated_cost = (is_remembered ? account.isolated_cost : 0) + cost;
            account.isolated_at = now;
        }
        return {true, {}};
    }
    account.total_refused += cost;
    account.last_refusal = now;
    notice(name, account, true, now);
    return {false, retry_delay(account, cost, request_hash, in_contact, now)};
}

duration usage_caps::retry_delay(account_state& account, std::uint64_t cost, std::uint64_t hash,
                                 bool in_contact, time_point now) const {
    double seconds = 0.0;
    if (in_contact) {
        // The excess of one second's demand, and what the level lacks, at the cap's rate.
        const double rate = std::max(effective_rate(account), 1e-9);
        const double excess = std::max(0.0, demand_of(account) - admissible_rate(account, now));
        seconds = (excess + std::max(0.0, -level_of(account, now))) / rate;
    } else {
        const double share = 1.0 / static_cast<double>(std::max<std::size_t>(1, gateways_.registered));
        const double lacking = static_cast<double>(cost) - share_left(account, now);
        seconds = std::max(0.0, lacking) / (account.cap.rate_per_second * share);
    }
    const double spread = 1.0 + to_fraction(~hash);
    seconds = std::clamp(seconds, to_seconds(min_retry_after), to_seconds(settings_.window)) * spread;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds});
}

void usage_caps::give_back(const account_name& name, std::uint64_t cost, time_point now) {
    const auto found = accounts_.find(name);
    if (found == accounts_.end()) {
        return;
    }
    account_state& account = found->second;
    drop_old_spending(account, now);
    double rest = static_cast<double>(cost);
    for (auto spent = account.recent.rbegin(); spent != account.recent.rend() && rest > 0.0; ++spent) {
        const double part = std::min(rest, spent->cost);
        spent->cost -= part;
        rest -= part;
    }
    // Usage out of contact was not reported, so it can't be given back to the others. It is not known here
    // when the request was admitted.
    const bool is_remembered = now - account.isolated_at <= isolated_memory;
    const std::uint64_t isolated = is_remembered ? std::min(cost, account.isolated_cost) : 0;
    account.isolated_cost -= isolated;
    account.own.returned += std::min(cost - isolated, account.own.net());
    account.total_returned += cost;
}

std::map<account_name, usage_cap> usage_caps::caps() const {
    std::map<account_name, usage_cap> caps;
    for (const auto& [name, account] : accounts_) {
        caps.emplace(name, account.cap);
    }
    return caps;
}

std::map<account_name, usage_counters> usage_caps::counters() const {
    std::map<account_name, usage_counters> counters;
    for (const auto& [name, account] : accounts_) {
        usage_counters& own = counters.emplace(name, account.own).first->second;
        own.counted = account.former_net;
    }
    return counters;
}

void usage_caps::on_reported() {
    for (auto& [name, account] : accounts_) {
        account.reported_net = account.own.net();
        account.reported_asked = account.own.asked;
    }
}

void usage_caps::on_term(std::uint64_t term) {
    if (term == term_) {
        return;
    }
    term_ = term;
    for (auto& [name, account] : accounts_) {
        account.former_net = account.included_net;
        // Reports to the former holder that no level has included are not included in the next one's either.
        account.reported_net = account.included_net;
        account.reported_asked = account.included_asked;
    }
}

void usage_caps::on_told(std::uint64_t term, const std::map<account_name, account_level>& levels,
                         const heard_gateways& gateways, time_point told_at, time_point now) {
    on_term(term);
    gateways_ = gateways;
    const time_point contact = std::min(told_at, now);
    if (last_contact_) {
        contact_time_ += std::clamp(contact - *last_contact_, duration{}, contact_limit);
    }
    last_contact_ = last_contact_ ? std::max(*last_contact_, contact) : contact;
    for (const auto& [name, level] : levels) {
        const auto found = accounts_.find(name);
        if (found == accounts_.end()) {
            continue;
        }
        account_state& account = found->second;
        account.told = level;
        account.is_told = true;
        account.told_at = contact;
        account.included_net = account.reported_net;
        account.included_asked = account.reported_asked;
    }
}

void usage_caps::set_registered(std::size_t gateways) {
    gateways_.registered = std::max<std::size_t>(1, gateways);
}

std::map<account_name, account_level> usage_caps::told_levels() const {
    std::map<account_name, account_level> levels;
    for (const auto& [name, account] : accounts_) {
        levels.emplace(name, account.told);
    }
    return levels;
}

cap_status usage_caps::status_of(const account_state& account, time_point now) const {
    return {account.total_admitted, account.total_returned,  account.total_refused,  level_of(account, now),
            demand_of(account),     effective_rate(account), is_shared(account, now)};
}

std::map<account_name, cap_status> usage_caps::status(time_point now) const {
    std::map<account_name, cap_status> status;
    for (const auto& [name, account] : accounts_) {
        status.emplace(name, status_of(account, now));
    }
    return status;
}

void usage_caps::notice(const account_name& name, account_state& account, bool is_refusing, time_point now) {
    const bool is_due = !account.last_notice || now - *account.last_notice >= refusing_lifetime;
    if (!is_due || account.is_refusing == is_refusing) {
        return;
    }
    account.is_refusing = is_refusing;
    account.last_notice = now;
    if (on_refusing_) {
        on_refusing_(name, is_refusing, status_of(account, now));
    }
}

void usage_caps::tick(time_point now) {
    for (auto& [name, account] : accounts_) {
        const bool refuses = account.last_refusal && now - *account.last_refusal < refusing_lifetime;
        notice(name, account, refuses, now);
    }
}

} // namespace lovageledge
