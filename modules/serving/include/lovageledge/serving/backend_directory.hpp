#pragma once

#include "lovageledge/serving/server_notices.hpp"
#include "lovageledge/serving/speed_estimate.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lovageledge {

/** An adapter of a base model; an empty adapter name means the base model itself. */
struct adapter_ref {
    std::string model;
    std::string adapter;

    bool is_base() const { return adapter.empty(); }
    auto operator<=>(const adapter_ref&) const = default; // NOLINT(modernize-use-nullptr)
};

/** The base models and adapters that a server has loaded, with the version of each. */
struct held_weights {
    std::map<std::string, std::uint64_t> models;
    std::map<adapter_ref, std::uint64_t> adapters;

    /** @returns the loaded version, or nothing if it is not loaded */
    std::optional<std::uint64_t> version_of(const adapter_ref& ref) const;
};

/** A backend server as the platform lists it. */
struct server_listing {
    server_name name;
    pool_name service;
    std::string address;
    data_centre_name zone;
    std::uint32_t slots = 1;
    bool is_leaving = false;
    /** Unix time of the server's start in milliseconds. Distinguishes starts under the same name. */
    std::uint64_t started_at = 0;
    held_weights weights;
};

/** The load that a server reported with a response. */
struct server_load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /** Current service time as a percentage of the usual one; 200 means twice as slow. */
    std::uint32_t pace_percent = 100;
};

/** Number of ranks among requests that wait; larger priorities count as the last rank. */
constexpr std::size_t waiting_ranks = 10;
/** Prompt tokens by rank. */
using tokens_by_rank = std::array<std::uint64_t, waiting_ranks>;

/** Requests of other gateways at a server, as last reported by them. */
struct peer_server_work {
    std::uint32_t in_flight = 0;
    /** Streams among them whose first event has arrived. */
    std::uint32_t streaming = 0;
    std::uint64_t pending_tokens = 0;
    /** Prompt and maximum output tokens of the requests in flight. */
    std::uint64_t committed_tokens = 0;
    /** Uncached prompt tokens of requests that wait at their gateways for room on the server, or were sent to
        it within the reports' lag. */
    tokens_by_rank wanted_tokens{};
    /** Number of gateways that avoid the server because it fails or stalls. */
    std::uint32_t avoided_by = 0;
    /** Adapters in use; empty if only totals are reported. */
    std::set<adapter_ref> in_use;
    /** Adapter slots in use by all gateways; set only if totals are reported. */
    std::uint32_t used_places = 0;
};

/** What this instance knows about one start of a backend server. */
struct backend {
    server_listing listing;
    /** Hash of the server's name, for rendezvous hashing. */
    std::uint64_t name_hash = 0;
    /** Number of orders that this start has accepted; nothing until reported by the server itself or by the
        holder, which is the gateway that sends the orders to the servers of a data centre. */
    std::optional<std::uint64_t> order_sequence;
    /** When the loaded weights were last learned from a report or from the outcome of an order. */
    time_point weights_reported_at{};
    /** Adapters that this start has had loaded, with the time they were last seen there. They are probably
        still in the engine's host memory, so loading them again is faster. */
    std::map<adapter_ref, time_point> cached_adapters;
    /** True while the platform lists the server. An unlisted server gets no new requests. */
    bool is_listed = true;
    bool is_leaving = false;
    /** The server asked for a pause: this instance sends it nothing before this time. */
    time_point paused_until{};

    server_load_report load;
    time_point load_reported_at{};
    /** How fast this start is, as far as it is known. */
    speed_estimate speed;
    /** Requests of this instance that run or wait on the server. */
    std::uint32_t in_flight = 0;
    /** Streams among them whose first event has arrived. They pause while the engine reads prompts. */
    std::uint32_t streaming = 0;
    /** Uncached prompt tokens of this instance's requests whose first event has not arrived. */
    std::uint64_t pending_tokens = 0;
    /** Prompt and maximum output tokens of this instance's requests in flight; 0 unless the number of
        requests per engine is bounded. */
    std::uint64_t committed_tokens = 0;
    std::map<instance_name, peer_server_work> peer_work;

    std::uint32_t consecutive_failures = 0;
    /** The server gets no new requests before this time, unless no other server can take them. */
    time_point avoid_until{};
    /** Times that another server was faster since this one last responded. */
    std::uint32_t times_overtaken = 0;
    /** Requests of this instance whose response has not started. */
    std::uint32_t unanswered = 0;
    /** When a response last started, or when a request was sent while no other was unanswered. */
    time_point last_progress_at{};
    /** The server recently refused a request as full; other servers are preferred until this time. */
    time_point full_until{};
    /** When each prompt part was last sent to the server, by adapter and part id. */
    std::map<std::pair<adapter_ref, std::string>, time_point> sent_prompt_parts;
    /** Loads did not complete in time; other servers are preferred for loads until this time. */
    time_point loads_blocked_until{};
    /** Number of requests of this instance that run or wait on the server, by adapter. */
    std::map<adapter_ref, std::uint32_t> adapters_in_use;

    /** @returns true while the server wants nothing from this instance */
    bool is_paused(time_point now) const { return paused_until > now; }
    /** @returns true if this instance avoids the server because it failed recently or seems to hang */
    bool is_avoided(time_point now) const;
    /** @returns the number of other gateways that avoid the server */
    std::uint32_t avoided_by_others() const;
    std::uint32_t total_in_flight() const;
    std::uint32_t total_streaming() const;
    std::uint64_t total_pending_tokens() const;
    std::uint64_t total_committed_tokens() const;
    /** @returns the tokens that other gateways want to send to the server or have sent recently */
    tokens_by_rank peers_wanted_tokens() const;
    /** @returns true if any gateway is known to have a request for the adapter on the server */
    bool is_in_use(const adapter_ref& ref) const {
        return adapters_in_use.contains(ref) || is_used_by_peers(ref);
    }
    /** @returns the number of adapter slots whose adapter is known to be in use by any gateway */
    std::size_t used_places() const;
    /** @param slot_count the total number of adapter slots of the server
        @returns the number of slots that are free or whose adapter is not known to be in use */
    std::size_t available_adapter_slots(std::size_t slot_count) const;
    /** Adds the adapters that are loaded now to cached_adapters. */
    void update_cached_adapters(time_point now);
    /** @returns true if another gateway is known to have a request for the adapter on the server */
    bool is_used_by_peers(const adapter_ref& ref) const;
};

/**
    The known backend servers and their state.

    The state belongs to one start of a server: it is reset when a server restarts under the same name. A
    server that has announced its shutdown stays unusable for the rest of that start. Not thread-safe.
*/
class backend_directory {
public:
    /** Processes a server's entry in the platform's list.
        @returns true if the entry is of a new start, or changed whether the server is usable */
    bool on_listed(server_listing listing, time_point now);
    /** Processes the removal of a server from the platform's list. @returns true if it was listed */
    bool on_unlisted(const server_name& name);
    /** Drops all servers that are not in the complete list, which is read after changes were missed.
        @returns the names of the dropped servers */
    std::vector<server_name> retain(const std::set<server_name>& listed);
    /** Marks a start of a server as leaving after it has announced its own shutdown.
        @returns true if that was not known */
    bool on_leaving(const server_name& name, std::uint64_t started_at, time_point now);

    /** Processes that a start of a server asked this instance for a pause. It is preferred less for a short
        time afterwards, so that the requests that waited for it do not all return at once.
        @returns true if the pause is longer than the known one */
    bool on_pause_requested(const server_name& name, std::uint64_t started_at, time_point until,
                            time_point now);

    /** Processes a report of a server's loaded weights, by the server itself or by the holder.
        @returns false if the report is outdated or belongs to another start */
    bool on_weights_reported(const server_name& name, std::uint64_t started_at, std::uint64_t sequence,
                             held_weights weights, time_point now);
    /** Removes an adapter or base model after a server refused a request because it was not loaded. */
    void on_adapter_missing(const server_name& name, const adapter_ref& ref);

    /** Counts a request that was sent to the server as unanswered. */
    void on_sent(const server_name& name, time_point now);
    /** Counts a request as no longer unanswered: its response has started, or none is expected any more. */
    void on_response_started(const server_name& name, std::uint64_t started_at, time_point now);
    /** Counts a request as no longer unanswered, since another server answers it. */
    void on_withdrawn(const server_name& name, std::uint64_t started_at);
    /** Resets the failure count and the backoff. Call this when a server responds to a request it ran. */
    void on_success(const server_name& name);
    /** Avoids a full server for a short time. This does not count as a failure. */
    void on_refused(const server_name& name, time_point now);
    /** Avoids a server after a connection or a response failed, with exponential backoff.
        @returns the number of consecutive failures, or 0 if the server is unknown */
    std::uint32_t on_failure(const server_name& name, time_point now);
    /** Avoids a server after another one has answered a request first that it was silent on, for longer each
        time until it responds. This does not count as a failure. */
    void on_overtaken(const server_name& name, time_point now);

    /** Removes the work that a peer reported. */
    void clear_peer_work(const instance_name& peer);

    /** @returns the server, or nullptr if it is unknown */
    backend* find(const server_name& name);
    const backend* find(const server_name& name) const;
    /** @returns the servers of a service that may get new requests, ordered by name */
    std::vector<backend*> usable_servers(const pool_name& service);
    /** @returns when the first of a service's servers ends its pause, if all that could get requests have
        asked for one */
    std::optional<time_point> earliest_pause_end(const pool_name& service, time_point now);
    const std::map<server_name, backend>& servers() const { return servers_; }

private:
    std::map<server_name, backend> servers_;
    server_notices notices_;
};

} // namespace lovageledge
