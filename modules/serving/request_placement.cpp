#include "lovageledge/serving/request_placement.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;

/** Part of the latency target that the engine may need to prefill the prompts that were sent to it. */
constexpr double reading_share = 0.5;
/** Least amount of prompts at an engine, as time to prefill them: more than the age of the reports, since an
    engine would otherwise be idle until its emptiness is known. */
constexpr auto min_reading = milliseconds{450};
/** Shortest expected wait of a request for which there is no room; at least until the next request ends. */
constexpr auto min_wait = milliseconds{10};
/** A waiting request decides again after this time, plus up to as much by hash so that requests don't decide
    in step, and later if many wait, which bounds the processor time. */
constexpr auto check_interval = milliseconds{100};
constexpr auto check_interval_per_request = milliseconds{10};
constexpr auto min_retry_after = milliseconds{100};
constexpr auto max_retry_after = std::chrono::seconds{10};

/** Busy engines whose expected waits differ by less than this are chosen between by hash. What is known of
   them is up to 400 ms old, and otherwise all gateways would choose the one that seemed best at that time. */
constexpr auto busy_spread = milliseconds{150};
/** An adapter that some engine holds is loaded on another one only if that one's unread prompts and running
    requests are below these parts of their bounds. Otherwise the requests of a general overload would evict
    each other's adapters. */
constexpr double calm_unread_part = 0.1;
constexpr double calm_slots_part = 0.5;
/** A request is refused if its first event is expected within this part of its time before the deadline,
   since estimates deviate. */
constexpr double hopeless_margin = 0.05;
/** Weight of earlier waits when a new one is observed, and the largest correction by them. */
constexpr double wait_memory = 0.98;
constexpr double max_wait_factor = 3.0;
/** A request counts as at least this many tokens. Without it, a cached prompt, or one of unknown size, would
   have no share of the room. */
constexpr std::uint64_t min_request_tokens = 500;
/** Most engines for which a request waits at the same time. */
constexpr std::size_t max_waited_for = 8;
/** Number of gateways that avoid an engine before requests that have a choice do. */
constexpr std::uint32_t min_avoiding_gateways = 2;

/** @returns a pseudo-random number from 0 to 1 */
double fraction(std::uint64_t hash) {
    constexpr std::uint64_t steps = 1024;
    return static_cast<double>(hash % steps) / static_cast<double>(steps);
}

/** @returns the servers with the shortest waits, including the chosen one */
std::vector<server_name> nearest(std::vector<std::pair<duration, server_name>> servers,
                                 const server_name& chosen) {
    std::sort(servers.begin(), servers.end());
    std::vector<server_name> names{chosen};
    for (const auto& [wait, name] : servers) {
        if (names.size() < max_waited_for && name != chosen) {
            names.push_back(name);
        }
    }
    return names;
}

request_size counted_size(const request_size& size) {
    return {std::max(size.unread_tokens, min_request_tokens),
            std::max(size.memory_tokens, min_request_tokens)};
}

duration scaled(duration value, double factor) {
    return std::chrono::duration_cast<duration>(value * factor);
}

} // namespace

waiting_ticket request_placement::begin(const placement_terms& terms, time_point now) {
    waiting_request request;
    request.rank = terms.rank;
    request.account = terms.account;
    request.account_weight = terms.account_weight;
    request.has_returned = queue_.take_returned(terms.digest, now) || terms.has_returned;
    request.arrived = terms.arrived;
    request.target = terms.target;
    request.deadline = terms.deadline;
    const waiting_ticket ticket = queue_.add(std::move(request));
    entries_[ticket].terms = terms;
    return ticket;
}

void request_placement::end(waiting_ticket ticket) {
    queue_.remove(ticket);
    entries_.erase(ticket);
}

engine_bounds request_placement::bounds_of(const backend& engine, const placement_terms& terms) const {
    const double tokens_per_ms = speed_(engine);
    const duration reading = std::max<duration>(min_reading, scaled(terms.shortest_target, reading_share));
    return {terms.slots, terms.memory_tokens,
            tokens_per_ms * std::chrono::duration<double, std::milli>(reading).count(), tokens_per_ms};
}

request_size request_placement::size_on(const backend& engine, const entry& known,
                                        const selection_request& work, time_point now) const {
    return counted_size({selector_.uncached_tokens(engine, work, now),
                         std::uint64_t{work.prompt_tokens} + known.terms.output_tokens});
}

bool request_placement::has_room(const backend& engine, waiting_ticket ticket, const entry& known,
                                 const request_size& size, time_point now) const {
    if (!queue_.is_first_at(engine.listing.name, ticket, now)) {
        return false;
    }
    const waiting_request& request = *queue_.find(ticket);
    const std::size_t rank = waiting_requests::effective_rank(request, now);
    std::uint64_t waiting_tokens = queue_.tokens_at(engine.listing.name, now).at(rank);
    const auto& servers = request.servers;
    if (std::find(servers.begin(), servers.end(), engine.listing.name) == servers.end()) {
        waiting_tokens += size.unread_tokens;
    }
    return room_.has_room(engine, bounds_of(engine, known.terms), size, {rank, waiting_tokens}, now);
}

duration request_placement::wait_at(const backend& engine, waiting_ticket ticket, const entry& known,
                                    const request_size& size, time_point now) const {
    if (has_room(engine, ticket, known, size, now)) {
        return duration::zero();
    }
    const std::size_t rank = waiting_requests::effective_rank(*queue_.find(ticket), now);
    const tokens_by_rank peers = engine.peers_wanted_tokens();
    // Of the requests of the same rank at other gateways, about half go before this one. Each waits for about
    // as many engines as this one, and goes to one of them.
    std::uint64_t others = peers.at(rank) / 2;
    for (std::size_t i = 0; i < rank; ++i) {
        others += peers.at(i);
    }
    const std::size_t choices = std::max<std::size_t>(1, queue_.find(ticket)->servers.size());
    const std::uint64_t ahead = queue_.tokens_ahead(engine.listing.name, ticket, now) + others / choices;
    return std::max<duration>(min_wait,
                              room_.expected_wait(engine, bounds_of(engine, known.terms), size, ahead));
}

void request_placement::learn_wait(const entry& known, time_point now) {
    if (!known.predicted) {
        return;
    }
    wait_record& record = waits_.at(std::min<std::size_t>(known.terms.rank, waiting_ranks - 1));
    const double factor = wait_factor(known.terms.rank);
    const auto to_ms = [](duration value) {
        return std::chrono::duration<double, std::milli>(value).count();
    };
    record.predicted_ms = record.predicted_ms * wait_memory + to_ms(*known.predicted) / factor;
    record.observed_ms = record.observed_ms * wait_memory + to_ms(now - known.waits_since);
}

double request_placement::wait_factor(std::uint32_t rank) const {
    const wait_record& record = waits_.at(std::min<std::size_t>(rank, waiting_ranks - 1));
    return std::clamp(record.observed_ms / std::max(1.0, record.predicted_ms), 1.0, max_wait_factor);
}

bool request_placement::is_calm(const backend& engine, const placement_terms& terms) const {
    const auto unread = static_cast<double>(engine.total_pending_tokens());
    return unread <= calm_unread_part * bounds_of(engine, terms).unread_tokens &&
           engine.total_in_flight() <= calm_slots_part * terms.slots;
}

bool request_placement::is_held_anywhere(const selection_request& work, time_point now) const {
    const auto servers = directory_.usable_servers(work.service);
    return std::any_of(servers.begin(), servers.end(), [&](const backend* server) {
        return !server->is_paused(now) && !server->is_avoided(now) &&
               !work.excluded.contains(server->listing.name) &&
               server_selector::holds(*server, versions_, work, now);
    });
}

std::optional<server_choice> request_placement::choose_with_room(waiting_ticket ticket,
                                                                 selection_request& work,
                                                                 time_point first_event,
                                                                 time_point now) const {
    const entry& known = entries_.at(ticket);
    const bool is_late = first_event > known.terms.target;
    if (!is_late) {
        return std::nullopt;
    }
    work.wait_for_room = [&](const backend& engine) {
        const bool is_good = !engine.is_avoided(now) && engine.full_until <= now &&
                             engine.avoided_by_others() < min_avoiding_gateways;
        return is_good && has_room(engine, ticket, known, size_on(engine, known, work, now), now)
                   ? std::optional{duration::zero()}
                   : std::nullopt;
    };
    auto choice = selector_.pick(directory_, versions_, work, now);
    if (!choice) {
        return std::nullopt;
    }
    // A load that saves neither the target nor the deadline would only evict what others need.
    const time_point limit = first_event > known.terms.deadline ? known.terms.deadline : known.terms.target;
    const bool is_calm_enough = is_calm(*directory_.find(choice->server), known.terms);
    const bool is_worth_it = !choice->needs_load || (is_calm_enough && now + choice->estimate <= limit);
    return is_worth_it ? choice : std::nullopt;
}

tokens_by_rank request_placement::wanted_tokens(const server_name& server, time_point now) const {
    tokens_by_rank tokens = queue_.tokens_at(server, now);
    const tokens_by_rank sent = room_.sent_tokens(server, now);
    for (std::size_t rank = 0; rank < waiting_ranks; ++rank) {
        tokens.at(rank) += sent.at(rank);
    }
    return tokens;
}

placement request_placement::decide(waiting_ticket ticket, selection_request& work, time_point now) {
    entry& known = entries_.at(ticket);
    waiting_request& request = *queue_.find(ticket);
    placement result;
    const std::uint64_t key = stable_hash(work.id.text());
    const bool is_held = is_held_anywhere(work, now);
    std::vector<std::pair<duration, server_name>> holders;
    work.wait_for_room = [&](const backend& engine) -> std::optional<duration> {
        const bool may_load = !is_held || is_calm(engine, known.terms);
        const bool holds = server_selector::holds(engine, versions_, work, now);
        if (!may_load && !holds) {
            return std::nullopt;
        }
        const duration wait = wait_at(engine, ticket, known, size_on(engine, known, work, now), now);
        const bool is_busy = engine.total_in_flight() > 0;
        const double part = is_busy ? fraction(rendezvous_weight(key, engine.name_hash)) : 0.0;
        if (holds && !engine.is_avoided(now)) {
            holders.emplace_back(wait, engine.listing.name);
        }
        return wait + scaled(busy_spread, part);
    };
    auto choice = selector_.pick(directory_, versions_, work, now);
    if (!choice) {
        work.wait_for_room = nullptr;
        queue_.set_servers(ticket, {});
        return result;
    }
    const backend& engine = *directory_.find(choice->server);
    known.size = size_on(engine, known, work, now);
    result.expected_wait = wait_at(engine, ticket, known, known.size, now);
    result.choice = choice;
    const duration reading =
        engine_room::expected_reading(engine, bounds_of(engine, known.terms), known.size);
    result.expected_wait = scaled(result.expected_wait, wait_factor(known.terms.rank));
    const time_point first_event = now + result.expected_wait + reading;
    if (result.expected_wait > duration::zero()) {
        if (const auto other = choose_with_room(ticket, work, first_event, now)) {
            result.choice = other;
            result.expected_wait = duration::zero();
        }
    }
    work.wait_for_room = nullptr;
    if (result.expected_wait == duration::zero()) {
        // While an adapter is loaded for it, the request must not hold up others.
        queue_.set_servers(ticket, {});
        learn_wait(known, now);
        result.outcome = placement_outcome::send;
        return result;
    }
    const duration margin = scaled(known.terms.deadline - known.terms.arrived, hopeless_margin);
    if (first_event + margin >= known.terms.deadline) {
        // A copy that arrives later should have half of its time left when there is room.
        const duration half_time = (known.terms.deadline - known.terms.arrived) / 2;
        const duration until_room = first_event - now - half_time;
        const double spread = 1.0 + fraction(stable_hash(work.id.text())) / 2;
        result.outcome = placement_outcome::refuse;
        result.retry_after =
            scaled(std::clamp<duration>(until_room, min_retry_after, max_retry_after), spread);
        queue_.on_refused(known.terms.digest, now + result.retry_after);
        queue_.set_servers(ticket, {});
        return result;
    }
    if (!known.predicted) {
        known.predicted = result.expected_wait;
        known.waits_since = now;
    }
    request.unread_tokens = known.size.unread_tokens;
    request.reading = reading;
    queue_.set_servers(ticket, nearest(std::move(holders), choice->server));
    result.outcome = placement_outcome::wait;
    const duration interval = std::max<duration>(
        check_interval, check_interval_per_request * static_cast<std::int64_t>(queue_.size()));
    result.check_at = std::min(now + scaled(interval, 1.0 + fraction(stable_hash(work.id.text()))),
                               std::max(now + duration{milliseconds{1}}, known.terms.deadline - reading));
    return result;
}

std::optional<waiting_ticket> request_placement::next_ready(const server_name& server, time_point now) const {
    const auto first = queue_.first_at(server, now);
    if (!first) {
        return std::nullopt;
    }
    const backend* engine = directory_.find(server);
    const bool is_usable = engine != nullptr && engine->is_listed && !engine->is_leaving;
    const entry& known = entries_.at(*first);
    const bool is_ready = !is_usable || has_room(*engine, *first, known, known.size, now);
    return is_ready ? first : std::nullopt;
}

void request_placement::on_sent(const server_name& server, const placement_terms& terms,
                                const request_size& size, time_point now) {
    waiting_request request;
    request.rank = terms.rank;
    request.arrived = terms.arrived;
    request.deadline = terms.deadline;
    room_.on_sent(server, counted_size(size), waiting_requests::effective_rank(request, now), now);
    queue_.on_served(terms.account, size.memory_tokens, now);
}

} // namespace lovageledge
