#include "lovageledge/serving/server_pace.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lovageledge {
namespace {

/** Servers that start within this time start together. */
constexpr auto common_start_time = std::chrono::seconds{5};
/** Assumed time until a response, over which the first requests of many gateways are spread. */
constexpr auto assumed_round_trip = std::chrono::milliseconds{500};
/** A response is late after this multiple of its estimate and this time more; estimates are rough. */
constexpr int late_factor = 3;
constexpr auto late_time = std::chrono::milliseconds{250};
/** First responses of a start that do not count as late: its prompt caches are cold. */
constexpr std::uint32_t cold_responses = 2;
/** Without late responses for this long and with this many answers, the limit is lifted. */
constexpr auto time_to_lift = std::chrono::seconds{5};
constexpr std::uint32_t answers_to_lift = 3;
/** The limit is also lifted here; a single gateway rarely has more requests at one server. */
constexpr double highest_limit = 64.0;
/** Smallest limit by the initial share, so that a server that answers late is still tried. */
constexpr double lowest_share = 0.25;

} // namespace

std::string_view to_text(pace_reason reason) {
    switch (reason) {
    case pace_reason::started:
        return "started";
    case pace_reason::recovered:
        return "recovered";
    case pace_reason::failed:
        return "failed";
    }
    return "";
}

server_pace::server_pace(pace_settings settings, std::string identity)
    : settings_{settings}, identity_{std::move(identity)} {}

double server_pace::initial_share() const {
    return std::max(1.0, static_cast<double>(settings_.initial_requests)) / static_cast<double>(gateways_);
}

bool server_pace::is_new_as_a_whole(const pool_name& service, std::size_t service_servers,
                                    time_point now) const {
    const auto count = std::count_if(starts_.begin(), starts_.end(), [&](const auto& entry) {
        return entry.second.service == service && now - entry.second.at <= common_start_time;
    });
    return static_cast<std::size_t>(count) * 2 > service_servers;
}

void server_pace::begin(const server_name& server, pace_reason reason, time_point now) {
    constexpr std::uint64_t steps = 1024;
    const double share = initial_share();
    limited_server& limited = limited_[server];
    limited.limit = share;
    limited.well_since = now;
    limited.answered_well = 0;
    limited.opens_at = now;
    if (share < 1.0) {
        // At any time, the part of the gateways whose turn it is equals the share.
        const std::uint64_t step = rendezvous_weight(identity_, server.text()) % steps;
        const double turn = static_cast<double>(step) / steps;
        const auto wait = assumed_round_trip * (std::max(0.0, turn - share) / share);
        limited.opens_at = now + std::chrono::duration_cast<duration>(wait);
    }
    changes_.push_back({server, reason, share});
}

void server_pace::on_started(const server_name& server, const pool_name& service, std::size_t service_servers,
                             time_point now) {
    if (!settings_.enabled) {
        return;
    }
    std::erase_if(starts_, [&](const auto& entry) { return now - entry.second.at > common_start_time; });
    starts_[server] = {service, now};
    limited_.erase(server); // What was known of the former start does not hold for this one.
    if (is_new_as_a_whole(service, service_servers, now)) {
        for (const auto& [name, start] : starts_) {
            if (start.service == service && limited_.contains(name)) {
                lift(name);
            }
        }
        return;
    }
    limited_server& limited = limited_[server];
    limited.slow_growth_from = highest_limit;
    limited.cold_responses = cold_responses;
    begin(server, pace_reason::started, now);
}

void server_pace::on_recovered(const server_name& server, time_point now) {
    if (!settings_.enabled || limited_.contains(server)) {
        return;
    }
    limited_[server].slow_growth_from = highest_limit;
    begin(server, pace_reason::recovered, now);
}

void server_pace::on_sent(const server_name& server, time_point /*now*/) {
    const auto found = limited_.find(server);
    if (found != limited_.end()) {
        ++found->second.in_flight;
    }
}

void server_pace::on_withdrawn(const server_name& server) {
    const auto found = limited_.find(server);
    if (found != limited_.end() && found->second.in_flight > 0) {
        --found->second.in_flight;
    }
}

void server_pace::halve(const server_name& name, limited_server& server, duration round_trip,
                        time_point now) {
    server.well_since = now;
    server.answered_well = 0;
    if (now < server.may_halve_at) {
        return;
    }
    server.slow_growth_from = server.limit / 2.0;
    server.limit = std::max(server.limit / 2.0, initial_share() * lowest_share);
    server.may_halve_at = now + round_trip;
    changes_.push_back({name, pace_reason::failed, server.limit});
}

void server_pace::on_answered(const server_name& server, duration delay, duration expected, bool was_expected,
                              time_point now) {
    const auto found = limited_.find(server);
    if (found == limited_.end()) {
        return;
    }
    on_withdrawn(server);
    limited_server& limited = found->second;
    if (!was_expected) {
        return;
    }
    const bool is_cold = limited.cold_responses > 0;
    limited.cold_responses -= is_cold ? 1 : 0;
    const bool is_late = delay > expected * late_factor + late_time;
    if (is_late && !is_cold) {
        halve(server, limited, delay, now);
    } else if (!is_late) {
        ++limited.answered_well;
        const bool is_slow = limited.limit >= limited.slow_growth_from;
        limited.limit +=
            is_slow ? initial_share() / std::max(1.0, limited.limit) : std::min(1.0, limited.limit);
    }
    if (limited.limit < 1.0) {
        const auto wait = std::max(delay, duration{1}) * (1.0 / limited.limit - 1.0);
        limited.opens_at = now + std::chrono::duration_cast<duration>(wait);
    }
    const bool is_well = limited.answered_well >= answers_to_lift && now - limited.well_since >= time_to_lift;
    if (is_well || limited.limit >= highest_limit) {
        lift(server);
    }
}

void server_pace::on_failed(const server_name& server, time_point now) {
    const auto found = limited_.find(server);
    if (found == limited_.end()) {
        return;
    }
    on_withdrawn(server);
    limited_server& limited = found->second;
    if (now < limited.may_halve_at) {
        return; // All requests of a broken connection fail together.
    }
    limited.slow_growth_from = limited.limit / 2.0;
    limited.may_halve_at = now + assumed_round_trip;
    begin(server, pace_reason::failed, now);
}

void server_pace::lift(const server_name& server) {
    const auto found = limited_.find(server);
    if (found != limited_.end()) {
        changes_.push_back({server, std::nullopt, found->second.limit});
        limited_.erase(found);
    }
}

void server_pace::on_dropped(const server_name& server) {
    limited_.erase(server);
}

std::uint32_t server_pace::allowance(const server_name& server, time_point now) const {
    const auto found = limited_.find(server);
    if (found == limited_.end()) {
        return unlimited;
    }
    const limited_server& limited = found->second;
    if (now < limited.opens_at) {
        return 0;
    }
    const auto limit = static_cast<std::uint32_t>(std::max(1.0, limited.limit));
    return limit > limited.in_flight ? limit - limited.in_flight : 0;
}

std::vector<pace_change> server_pace::take_changes() {
    return std::exchange(changes_, {});
}

} // namespace lovageledge
