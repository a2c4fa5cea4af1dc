#include "lovageledge/serving/engine_room.hpp"

#include <algorithm>
#include <array>

namespace lovageledge {
namespace {

/** Prompt tokens that other gateways are assumed to send to an engine within the reports' lag if no more are
    known, relative to what the engine prefills in that time. With 0, all of them sent at once to an engine
    that was reported as free. */
constexpr double assumed_inflow = 0.5;
/** Weight of a new observation in the averages. */
constexpr double learning_rate = 0.02;

double to_ms(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

duration milliseconds_of(double value) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{value});
}

void learn(double& average, double observed) {
    average += learning_rate * (observed - average);
}

} // namespace

double engine_room::rounding(const backend& engine, time_point now) const {
    // The periods of the gateways begin at different times.
    const std::uint64_t seed = rendezvous_weight(gateway_hash_, engine.name_hash);
    const auto lag = static_cast<std::uint64_t>(report_lag.count());
    const auto period = (static_cast<std::uint64_t>(now.time_since_epoch().count()) + seed % lag) / lag;
    constexpr std::uint64_t steps = 1 << 16;
    return static_cast<double>(rendezvous_weight(seed, period) % steps) / static_cast<double>(steps);
}

bool engine_room::has_room(const backend& engine, const engine_bounds& bounds, const request_size& size,
                           const waiting_share& waiting, time_point now) const {
    request_size sent;
    double sent_requests = 0.0;
    if (const auto found = sent_.find(engine.listing.name); found != sent_.end()) {
        for (const sent_request& request : found->second) {
            if (request.time + report_lag > now) {
                sent.unread_tokens += request.size.unread_tokens;
                sent.memory_tokens += request.size.memory_tokens;
                sent_requests += 1.0;
            }
        }
    }
    const double running = engine.total_in_flight();
    std::array<quantity, 3> quantities{
        quantity{bounds.unread_tokens, static_cast<double>(engine.total_pending_tokens()),
                 static_cast<double>(engine.pending_tokens), static_cast<double>(sent.unread_tokens),
                 static_cast<double>(size.unread_tokens), 1.0, false},
        quantity{static_cast<double>(bounds.slots), running, static_cast<double>(engine.in_flight),
                 sent_requests, 1.0, 1.0 / std::max(1.0, mean_unread_tokens_), false},
        quantity{static_cast<double>(bounds.memory_tokens) * (1.0 - memory_reserve),
                 static_cast<double>(engine.total_committed_tokens()),
                 static_cast<double>(engine.committed_tokens), static_cast<double>(sent.memory_tokens),
                 static_cast<double>(size.memory_tokens),
                 mean_memory_tokens_ / std::max(1.0, mean_unread_tokens_), true}};
    const tokens_by_rank peers = engine.peers_wanted_tokens();
    const std::size_t rank = std::min(waiting.rank, waiting_ranks - 1);
    double ahead = 0.0;
    for (std::size_t i = 0; i < rank; ++i) {
        ahead += static_cast<double>(peers.at(i));
    }
    const auto own = static_cast<double>(
        std::max<std::uint64_t>(1, waiting.waiting_tokens + sent_tokens(engine.listing.name, now).at(rank)));
    // What others want may rise from nothing within the lag, so at least this is assumed of them.
    const double others = 1.0 - 1.0 / static_cast<double>(gateways_);
    const double assumed = assumed_inflow * others * bounds.tokens_per_ms * to_ms(report_lag);
    const double share = own / (own + std::max(assumed, static_cast<double>(peers.at(rank))));
    const double round = rounding(engine, now);
    const bool is_contended = ahead > 0.0 || share < 1.0;
    const bool is_isolated = is_out_of_contact(now);
    return std::all_of(quantities.begin(), quantities.end(), [&](quantity& bounded) {
        if (bounded.limit <= 0.0) {
            return true;
        }
        if (running == 0.0) {
            bounded.limit = std::max(bounded.limit, bounded.size); // Nothing else makes room for it.
        }
        if (!bounded.is_free()) {
            return false;
        }
        if (is_isolated) {
            return bounded.own + round * bounded.size < bounded.limit / static_cast<double>(gateways_);
        }
        if (!is_contended) {
            return true;
        }
        const double room = bounded.limit - bounded.used + bounded.sent - ahead * bounded.per_token;
        return bounded.sent + round * bounded.size < room * share;
    });
}

tokens_by_rank engine_room::sent_tokens(const server_name& engine, time_point now) const {
    tokens_by_rank tokens{};
    if (const auto found = sent_.find(engine); found != sent_.end()) {
        for (const sent_request& request : found->second) {
            if (request.time + report_lag > now) {
                tokens.at(request.rank) += request.size.unread_tokens;
            }
        }
    }
    return tokens;
}

void engine_room::on_sent(const server_name& engine, const request_size& size, std::size_t rank,
                          time_point now) {
    std::deque<sent_request>& requests = sent_[engine];
    while (!requests.empty() && requests.front().time + report_lag <= now) {
        requests.pop_front();
    }
    requests.push_back({now, std::min(rank, waiting_ranks - 1), size});
    if (sent_.size() > 1000) { // Servers that have left.
        std::erase_if(sent_, [&](const auto& entry) { return entry.second.back().time + report_lag <= now; });
    }
}

void engine_room::on_completed(const request_size& size, duration run_time) {
    learn(mean_run_ms_, to_ms(run_time));
    learn(mean_unread_tokens_, static_cast<double>(size.unread_tokens));
    learn(mean_memory_tokens_, static_cast<double>(size.memory_tokens));
}

duration engine_room::expected_wait(const backend& engine, const engine_bounds& bounds,
                                    const request_size& size, std::uint64_t unread_ahead) const {
    const auto ahead = static_cast<double>(unread_ahead);
    const double mean_tokens = std::max(1.0, mean_unread_tokens_);
    double wait_ms = 0.0;
    const double unread = static_cast<double>(engine.total_pending_tokens()) + ahead;
    if (bounds.tokens_per_ms > 0.0 && unread > bounds.unread_tokens) {
        wait_ms = (unread - bounds.unread_tokens) / bounds.tokens_per_ms;
    }
    if (bounds.slots > 0) {
        const double excess = engine.total_in_flight() + ahead / mean_tokens + 1.0 - bounds.slots;
        wait_ms = std::max(wait_ms, excess * mean_run_ms_ / bounds.slots);
    }
    if (bounds.memory_tokens > 0) {
        const auto limit = static_cast<double>(bounds.memory_tokens) * (1.0 - memory_reserve);
        const double excess = static_cast<double>(engine.total_committed_tokens() + size.memory_tokens) +
                              ahead * mean_memory_tokens_ / mean_tokens - limit;
        wait_ms = std::max(wait_ms, excess * mean_run_ms_ / limit);
    }
    return milliseconds_of(wait_ms);
}

duration engine_room::expected_reading(const backend& engine, const engine_bounds& bounds,
                                       const request_size& size) {
    if (bounds.tokens_per_ms <= 0.0) {
        return duration::zero();
    }
    const double ahead = std::min(bounds.unread_tokens, static_cast<double>(engine.total_pending_tokens()));
    return milliseconds_of((ahead + static_cast<double>(size.unread_tokens)) / bounds.tokens_per_ms);
}

} // namespace lovageledge
