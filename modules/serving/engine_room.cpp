#include "lovageledge/serving/engine_room.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace lovageledge {
namespace {

/** Prompt tokens that other gateways are assumed to send to an engine within the reports' lag if no more are
    known, relative to what the engine prefills in that time. With 0, all of them sent at once to an engine
    that was reported as free. */
constexpr double assumed_inflow = 1.0;
/** Standard deviations that are kept free of the sum of the gateways' shares. Without them, several long
   prompts at once delayed the first events behind them beyond the latency target. */
constexpr double soft_deviations = 0.5;
/** For the memory, which must never be exceeded: standard deviations that are kept free, and the factor by
    which more is assumed of other gateways. */
constexpr double hard_deviations = 2.0;
constexpr double hard_inflow = 5.0;
/** While no reports are heard, a share of what running requests take up is rounded anew after this time only,
    longer than most requests run. */
constexpr auto isolated_period = std::chrono::seconds{10};
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

double engine_room::rounding(const backend& engine, duration period, time_point now) const {
    // The periods of the gateways begin at different times.
    const std::uint64_t seed = rendezvous_weight(gateway_hash_, engine.name_hash);
    const auto length = static_cast<std::uint64_t>(period.count());
    const auto number = (static_cast<std::uint64_t>(now.time_since_epoch().count()) + seed % length) / length;
    constexpr std::uint64_t steps = 1 << 16;
    return static_cast<double>(rendezvous_weight(seed, number) % steps) / static_cast<double>(steps);
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
                 static_cast<double>(size.unread_tokens), 1.0, false, false},
        quantity{static_cast<double>(bounds.slots), running, static_cast<double>(engine.in_flight),
                 sent_requests, 1.0, 1.0 / std::max(1.0, mean_unread_tokens_), false, true},
        quantity{static_cast<double>(bounds.memory_tokens) * (1.0 - memory_reserve),
                 static_cast<double>(engine.total_committed_tokens()),
                 static_cast<double>(engine.committed_tokens), static_cast<double>(sent.memory_tokens),
                 static_cast<double>(size.memory_tokens),
                 mean_memory_tokens_ / std::max(1.0, mean_unread_tokens_), true, true}};
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
    const double most_by_gateways = 2.0 * mean_unread_tokens_ * static_cast<double>(gateways_ - 1);
    const double assumed =
        std::min(most_by_gateways, assumed_inflow * others * bounds.tokens_per_ms * to_ms(report_lag));
    const auto known = static_cast<double>(peers.at(rank));
    const double round = rounding(engine, report_lag, now);
    const double isolated_round = rounding(engine, isolated_period, now);
    const bool is_shared = gateways_ > 1 || ahead + known > 0.0;
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
        const double request_size = std::max(bounded.size, mean_memory_tokens_);
        if (is_isolated) {
            double limit = bounded.limit;
            if (bounded.must_fit && running > 0.0) {
                limit -= hard_deviations * std::sqrt(limit * request_size);
            }
            // With a new draw in each period, all shares would be rounded up in the end.
            const double draw = bounded.is_held ? isolated_round : round;
            return bounded.own + draw * bounded.size < limit / static_cast<double>(gateways_);
        }
        if (!is_shared) {
            return true;
        }
        double room = bounded.limit - bounded.used + bounded.sent - ahead * bounded.per_token;
        double others_tokens = std::max(assumed, known);
        // The sum of the gateways' rounded shares deviates from the room by about its root times that of a
        // request's size.
        const double deviation =
            std::sqrt(std::max(0.0, room) * (bounded.must_fit ? request_size : bounded.size));
        if (running > 0.0) {
            room -= (bounded.must_fit ? hard_deviations : soft_deviations) * deviation;
        }
        if (bounded.must_fit && running > 0.0) {
            others_tokens = std::max(hard_inflow * assumed, known);
        }
        const double share = own / (own + others_tokens);
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
    learn(mean_memory_use_, static_cast<double>(size.memory_tokens) * to_ms(run_time));
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
        wait_ms = std::max(wait_ms, excess * mean_memory_use_ / std::max(1.0, mean_memory_tokens_) / limit);
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
