#include "lovageledge/serving/usage_totals.hpp"

#include <algorithm>
#include <cmath>

namespace lovageledge {
namespace {

double to_seconds(duration time) {
    return std::chrono::duration<double>(time).count();
}

bool is_heard(time_point heard_at, time_point now) {
    return now - heard_at <= usage_caps::contact_limit;
}

} // namespace

void usage_totals::begin(std::uint64_t term, const std::map<account_name, account_level>& levels,
                         time_point now) {
    term_ = term;
    began_at_ = now;
    advanced_at_ = now;
    levels_.clear();
    for (const auto& [name, cap] : caps_) {
        const auto told = levels.find(name);
        levels_[name] = told == levels.end() ? account_level{-settings_.spare(cap), 0.0} : told->second;
        levels_[name].level = std::min(levels_[name].level, cap.burst);
    }
    local_.clear();
    remote_.clear();
    data_centre_.clear();
    gateways_ = {};
}

void usage_totals::set_caps(const std::map<account_name, usage_cap>& caps) {
    if (caps == caps_) {
        return;
    }
    std::map<account_name, account_level> levels;
    for (const auto& [name, cap] : caps) {
        const auto former = caps_.find(name);
        const bool is_same_unit = former != caps_.end() && former->second.counted == cap.counted;
        account_level& level = levels[name];
        level = is_same_unit ? levels_[name] : account_level{-settings_.spare(cap), 0.0};
        level.level = std::min(level.level, cap.burst);
    }
    levels_ = std::move(levels);
    caps_ = caps;
}

bool usage_totals::is_newer(const source* known, const usage_report& report) {
    if (known == nullptr) {
        return true;
    }
    return report.start == known->start ? report.sequence > known->sequence
                                        : report.start != known->former_start;
}

double usage_totals::counted_part(duration unknown_for) const {
    // The share that was reserved while the source was not heard covers its usage in that time. The usage
    // before that is in no present window any more if the time was longer than a window.
    if (unknown_for > settings_.window) {
        return 0.0;
    }
    return unknown_for > usage_caps::contact_limit
               ? to_seconds(usage_caps::contact_limit) / to_seconds(unknown_for)
               : 1.0;
}

template <class Name>
void usage_totals::apply(std::map<Name, source>& sources, const Name& name, const usage_report& report,
                         bool is_local, time_point now) {
    const auto found = sources.find(name);
    const bool is_known = found != sources.end();
    if (!began_at_ || !is_newer(is_known ? &found->second : nullptr, report)) {
        return;
    }
    source& from = sources[name];
    const duration gap = is_known ? now - from.heard_at : duration{};
    if (!is_known || from.start != report.start) {
        from.former_start = is_known ? from.start : 0;
        from.start = report.start;
        from.counted_for = duration{};
        from.last.clear();
    }
    const double weight = counted_part(std::min(gap, report.counted_for - from.counted_for));
    std::map<account_name, double> asked_now;
    for (const auto& [account, counters] : report.accounts) {
        const auto last = from.last.find(account);
        const bool has_base = last != from.last.end() && last->second.admitted <= counters.admitted &&
                              last->second.asked <= counters.asked;
        // A gateway tells what the former holder's level included. A data centre whose holder has changed
        // counts from zero what its former holder had not counted.
        usage_counters base;
        if (has_base) {
            base = last->second;
        } else if (is_local) {
            base = {counters.counted, 0, counters.asked, 0};
        } else if (!is_known || last != from.last.end()) {
            base = counters;
        }
        const double admitted =
            (static_cast<double>(counters.net()) - static_cast<double>(base.net())) * weight;
        const double asked = static_cast<double>(counters.asked) - static_cast<double>(base.asked);
        const auto level = levels_.find(account);
        if (level != levels_.end()) {
            level->second.level -= admitted;
        }
        asked_now[account] = asked;
        if (is_local) {
            usage_counters& sum = data_centre_[account];
            // Below the former sum if more was given back than admitted since.
            const auto change = static_cast<std::int64_t>(std::llround(admitted));
            (change >= 0 ? sum.admitted : sum.returned) += static_cast<std::uint64_t>(std::abs(change));
            sum.asked += counters.asked - base.asked;
        }
        from.last[account] = counters;
    }
    if (is_known) {
        for (const auto& [account, demand] : from.demand) {
            asked_now.try_emplace(account, 0.0);
        }
        for (const auto& [account, asked] : asked_now) {
            average_demand(from, account, asked, std::max<duration>(gap, std::chrono::milliseconds{1}));
        }
    }
    from.sequence = report.sequence;
    from.counted_for = report.counted_for;
    from.heard_at = now;
    from.heard = report.heard;
}

void usage_totals::average_demand(source& from, const account_name& account, double asked,
                                  duration interval) {
    const auto cap = caps_.find(account);
    if (cap == caps_.end()) {
        return;
    }
    const double rate = asked / to_seconds(interval);
    const auto [known, is_first] = from.demand.try_emplace(account, rate);
    if (!is_first) {
        const double weight =
            std::exp(-to_seconds(interval) / to_seconds(settings_.demand_time(cap->second)));
        known->second = known->second * weight + rate * (1.0 - weight);
    }
}

void usage_totals::on_gateway_report(const instance_name& gateway, const usage_report& report,
                                     time_point now) {
    apply(local_, gateway, report, true, now);
}

void usage_totals::on_data_centre_report(const data_centre_name& data_centre, const usage_report& report,
                                         time_point now) {
    apply(remote_, data_centre, report, false, now);
}

std::size_t usage_totals::heard_locally(time_point now) const {
    return static_cast<std::size_t>(std::count_if(local_.begin(), local_.end(), [&](const auto& entry) {
        return is_heard(entry.second.heard_at, now);
    }));
}

void usage_totals::advance(time_point now, std::size_t registered) {
    if (!began_at_) {
        return;
    }
    // Until levels are told, the gateways of this data centre spend their reserved shares.
    std::size_t heard = is_settled(now) ? std::max<std::size_t>(1, heard_locally(now)) : 0;
    for (const auto& [name, from] : remote_) {
        heard += is_heard(from.heard_at, now) ? from.heard : 0;
    }
    gateways_ = {heard, std::max(registered, heard)};
    // After a longer time this process was frozen, and the others have reserved a share for it.
    const duration elapsed = std::clamp(now - advanced_at_, duration{}, usage_caps::contact_limit);
    advanced_at_ = now;
    const double share = gateways_.share(settings_.tolerance);
    for (auto& [name, level] : levels_) {
        const usage_cap& cap = caps_.at(name);
        level.level = std::min(level.level + cap.rate_per_second * share * to_seconds(elapsed),
                               cap.burst * gateways_.share(0.0));
        level.demand = 0.0;
    }
    add_demand(local_, now);
    add_demand(remote_, now);
}

template <class Name>
void usage_totals::add_demand(const std::map<Name, source>& sources, time_point now) {
    for (const auto& [name, from] : sources) {
        for (const auto& [account, demand] : from.demand) {
            const auto level = levels_.find(account);
            if (level != levels_.end() && is_heard(from.heard_at, now)) {
                level->second.demand += demand;
            }
        }
    }
}

usage_report usage_totals::data_centre_report(time_point now) const {
    usage_report report;
    report.start = term_;
    report.counted_for = now - *began_at_;
    report.heard = is_settled(now) ? std::max<std::size_t>(1, heard_locally(now)) : 0;
    report.accounts = data_centre_;
    return report;
}

} // namespace lovageledge
