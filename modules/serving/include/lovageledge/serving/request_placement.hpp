#pragma once

#include "lovageledge/serving/engine_room.hpp"
#include "lovageledge/serving/server_selector.hpp"
#include "lovageledge/serving/waiting_requests.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace lovageledge {

/** What the order among waiting requests, and the room that a request needs, depend on. */
struct placement_terms {
    /** Priority of the account or the route; 0 is the most important. */
    std::uint32_t rank = 0;
    /** The client account; empty if there is none. */
    account_name account;
    /** What the account may use per second; 1 without a cap. */
    double account_weight = 1.0;
    /** Another server did not run the request, or its stream must be resumed. */
    bool has_returned = false;
    time_point arrived{};
    /** When the first event is due. */
    time_point target{};
    /** When the first event must have come. */
    time_point deadline{};
    std::uint32_t output_tokens = 0;
    /** Digest of the request, which is the same when its caller returns. */
    std::uint64_t digest = 0;
    /** Limits of the service's engines. */
    std::uint32_t slots = 0;
    std::uint64_t memory_tokens = 0;
    /** Shortest latency target among the routes of the service. */
    duration shortest_target{};
};

enum class placement_outcome : std::uint8_t {
    /** No server can run the request. */
    no_server,
    /** The request may be sent to the chosen server, or the adapter may be loaded there. */
    send,
    /** There is no room; ask again at check_at, or when next_ready() returns the request. */
    wait,
    /** The first event can't come before the deadline. */
    refuse,
};

/** The decision on a request. */
struct placement {
    placement_outcome outcome = placement_outcome::no_server;
    /** Set if the outcome is send or wait. */
    std::optional<server_choice> choice;
    /** Expected time until there is room. */
    duration expected_wait{};
    /** If refused, when the caller should return. */
    duration retry_after{};
    /** If waiting, when to decide again at the latest. */
    time_point check_at{};
};

/**
    Decides for each request that needs weights whether it is sent to an engine now, waits, or is refused.

    It joins server_selector, engine_room and waiting_requests: the selector's cost includes the expected wait
    for room, so that a request rather waits a little for an engine that holds its adapter than have the
    adapter loaded elsewhere; if it would miss its target by that, it goes to an engine that has room. Not
    thread-safe.
*/
class request_placement {
public:
    /** Returns the prompt tokens that an engine prefills per millisecond. */
    using speed_function = std::function<double(const backend&)>;

    /** The arguments must outlive this object. */
    request_placement(const instance_name& gateway, const server_selector& selector,
                      backend_directory& directory, const version_registry& versions, speed_function speed)
        : room_{gateway}, selector_{selector}, directory_{directory}, versions_{versions}, speed_{std::move(
                                                                                               speed)} {}

    /** Adds a request. Call end() when it is sent, refused or given up. */
    waiting_ticket begin(const placement_terms& terms, time_point now);
    void end(waiting_ticket ticket);
    /** Decides on a request. Precondition: the ticket has begun and not ended.
        @param work the request; wait_for_room is replaced */
    placement decide(waiting_ticket ticket, selection_request& work, time_point now);
    /** @returns the first of the requests that wait for an engine, if it should decide again now because
       there is room for it or because the engine is no longer usable */
    std::optional<waiting_ticket> next_ready(const server_name& server, time_point now) const;

    /** Records that a request was sent. */
    void on_sent(const server_name& server, const placement_terms& terms, const request_size& size,
                 time_point now);

    /** @returns the tokens that wait for an engine at this gateway or were sent to it recently, by rank; for
        the reports to other gateways, @see engine_room */
    tokens_by_rank wanted_tokens(const server_name& server, time_point now) const;

    engine_room& room() { return room_; }
    const waiting_requests& queue() const { return queue_; }

private:
    struct entry {
        placement_terms terms;
        /** On the engine for which it waits. */
        request_size size;
        /** Estimate when the request began to wait, and when that was. */
        std::optional<duration> predicted;
        time_point waits_since{};
    };
    /** Sums of predicted and observed waits of one rank; older ones count less. */
    struct wait_record {
        double predicted_ms = 1.0;
        double observed_ms = 1.0;
    };

    engine_bounds bounds_of(const backend& engine, const placement_terms& terms) const;
    bool has_room(const backend& engine, waiting_ticket ticket, const entry& known, const request_size& size,
                  time_point now) const;
    /** @returns zero if the request may be sent to the engine now */
    duration wait_at(const backend& engine, waiting_ticket ticket, const entry& known,
                     const request_size& size, time_point now) const;
    request_size size_on(const backend& engine, const entry& known, const selection_request& work,
                         time_point now) const;
    /** Learns from a request that has waited and is sent now. */
    void learn_wait(const entry& known, time_point now);
    /** @returns the factor by which the waits of a rank were longer than estimated */
    double wait_factor(std::uint32_t rank) const;
    /** @returns true if adapters may be loaded on the engine although others hold them */
    bool is_calm(const backend& engine, const placement_terms& terms) const;
    /** @returns true if a server that can take the request holds its weights */
    bool is_held_anywhere(const selection_request& work, time_point now) const;
    /** @returns the best of the engines that have room, if it serves the request in time and waiting would
        not */
    std::optional<server_choice> choose_with_room(waiting_ticket ticket, selection_request& work,
                                                  time_point first_event, time_point now) const;

    engine_room room_;
    waiting_requests queue_;
    const server_selector& selector_;
    backend_directory& directory_;
    const version_registry& versions_;
    speed_function speed_;
    std::map<waiting_ticket, entry> entries_;
    std::array<wait_record, waiting_ranks> waits_{};
};

} // namespace lovageledge
