#include "lovageledge/gateway/usage_exchange.hpp"

#include <algorithm>
#include <cmath>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;

/** An unchanged account is repeated after this long, since messages may be dropped. */
constexpr auto repeat_interval = std::chrono::seconds{1};
/** Demand below this, per second, counts as none. */
constexpr double least_demand = 1.0;

usage_report to_report(const protocol::UsageReport& message) {
    usage_report report;
    report.start = message.start();
    report.sequence = message.sequence();
    report.counted_for = milliseconds{std::min<std::uint64_t>(message.counted_ms(), std::uint64_t{1} << 40U)};
    report.heard = message.heard();
    for (const protocol::AccountUsage& entry : message.accounts()) {
        report.accounts[account_name{entry.account()}] = {entry.admitted(), entry.returned(), entry.asked(),
                                                          entry.counted()};
    }
    return report;
}

std::uint64_t to_ms(duration time) {
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(time).count()));
}

} // namespace

usage_exchange::usage_exchange(usage_caps& caps, instance_name name, const start_id& start)
    : caps_{caps}, name_{std::move(name)}, start_{start.text()}, totals_{caps.settings()} {}

void usage_exchange::append(const std::map<account_name, usage_counters>& accounts,
                            sent_accounts<usage_counters>& sent, protocol::UsageReport& message,
                            time_point now) {
    for (const auto& [account, counters] : accounts) {
        auto& [last, sent_at] = sent[account];
        const bool is_due = !(last == counters) || now - sent_at >= repeat_interval;
        if (!is_due) {
            continue;
        }
        last = counters;
        sent_at = now;
        protocol::AccountUsage& entry = *message.add_accounts();
        entry.set_account(account.text());
        entry.set_admitted(counters.admitted);
        entry.set_returned(counters.returned);
        entry.set_asked(counters.asked);
        entry.set_counted(counters.counted);
    }
}

void usage_exchange::begin_term(time_point now) {
    ++terms_;
    const std::uint64_t term = stable_hash(start_ + " " + std::to_string(terms_));
    totals_.begin(term, caps_.told_levels(), now);
    caps_.on_term(term);
    summarised_.clear();
    told_.clear();
}

void usage_exchange::count_own(time_point now) {
    usage_report own;
    own.start = stable_hash(start_);
    own.sequence = ++sequence_;
    own.counted_for = caps_.contact_time();
    own.accounts = caps_.counters();
    totals_.on_gateway_report(name_, own, now);
    caps_.on_reported();
}

void usage_exchange::fill(protocol::DataCentreBeat& beat, std::size_t registered, time_point now) {
    if (!caps_.has_limits()) {
        totals_.end();
        return;
    }
    totals_.set_caps(caps_.caps());
    if (!totals_.is_counting()) {
        begin_term(now);
    }
    count_own(now);
    totals_.advance(now, registered);
    protocol::UsageLevels& message = *beat.mutable_usage();
    message.set_term(totals_.term());
    message.set_sequence(sequence_);
    if (!totals_.is_settled(now)) {
        caps_.set_registered(registered);
        return;
    }
    const heard_gateways gateways = totals_.gateways();
    message.set_heard(static_cast<std::uint32_t>(gateways.heard));
    message.set_registered(static_cast<std::uint32_t>(gateways.registered));
    for (const auto& [account, level] : totals_.levels()) {
        auto& [was_idle, told_at] = told_[account];
        const bool is_idle = level.demand < least_demand;
        if (is_idle && was_idle && now - told_at < repeat_interval) {
            continue;
        }
        was_idle = is_idle;
        told_at = now;
        protocol::AccountLevel& entry = *message.add_accounts();
        entry.set_account(account.text());
        entry.set_level(std::llround(level.level));
        entry.set_demand(static_cast<std::uint64_t>(std::llround(std::max(0.0, level.demand))));
    }
    caps_.on_told(totals_.term(), totals_.levels(), gateways, now, now);
}

void usage_exchange::fill(const data_centre_name& to, protocol::DataCentreWork& work, time_point now) {
    if (!totals_.is_counting()) {
        return;
    }
    const usage_report report = totals_.data_centre_report(now);
    protocol::UsageReport& message = *work.mutable_usage();
    message.set_start(report.start);
    message.set_sequence(++sequence_);
    message.set_counted_ms(to_ms(report.counted_for));
    message.set_heard(static_cast<std::uint32_t>(report.heard));
    append(report.accounts, summarised_[to], message, now);
}

void usage_exchange::fill(protocol::GatewayState& state, time_point now) {
    if (!caps_.has_limits() || heard_term_ == 0) {
        return;
    }
    protocol::UsageReport& message = *state.mutable_usage();
    message.set_start(stable_hash(start_));
    message.set_sequence(++sequence_);
    message.set_counted_ms(to_ms(caps_.contact_time()));
    message.set_heard(1);
    append(caps_.counters(), reported_, message, now);
    caps_.on_reported();
}

void usage_exchange::on_beat(const protocol::DataCentreBeat& beat, duration delay, time_point now) {
    if (!beat.has_usage()) {
        return;
    }
    const protocol::UsageLevels& message = beat.usage();
    const bool is_same_term = message.term() == heard_term_;
    if (is_same_term && message.sequence() <= heard_sequence_) {
        return; // Late or repeated.
    }
    if (!is_same_term) {
        reported_.clear();
    }
    heard_term_ = message.term();
    heard_sequence_ = message.sequence();
    caps_.on_term(message.term());
    if (message.heard() == 0) {
        return;
    }
    std::map<account_name, account_level> levels;
    for (const protocol::AccountLevel& entry : message.accounts()) {
        levels[account_name{entry.account()}] = {static_cast<double>(entry.level()),
                                                 static_cast<double>(entry.demand())};
    }
    caps_.on_told(message.term(), levels, {message.heard(), message.registered()}, now - delay, now);
}

void usage_exchange::on_state(const instance_name& from, const protocol::GatewayState& state,
                              time_point now) {
    if (state.has_usage() && totals_.is_counting()) {
        totals_.on_gateway_report(from, to_report(state.usage()), now);
    }
}

void usage_exchange::on_work(const protocol::DataCentreWork& work, time_point now) {
    if (work.has_usage() && totals_.is_counting()) {
        totals_.on_data_centre_report(data_centre_name{work.data_centre()}, to_report(work.usage()), now);
    }
}

void usage_exchange::on_holder_changed() {
    totals_.end();
}

} // namespace lovageledge
