#pragma once

#include "lovageledge/base/base.hpp"

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

/** What a server holds: base models, and adapters with the version of each. */
struct held_weights {
    std::map<std::string, std::uint64_t> models;
    std::map<adapter_ref, std::uint64_t> adapters;

    /** @returns the version that is held, or nothing */
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
    /** Unix time of the server's start in milliseconds; tells two starts under one name apart. */
    std::uint64_t started_at = 0;
    held_weights weights;
};

/** How busy a server said it was. */
struct server_load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /** Time that work takes at present, 100 as usual. */
    std::uint32_t pace_percent = 100;
};

/** What other gateways have under way at a server, as they were last told to. */
struct peer_server_work {
    std::uint32_t in_flight = 0;
    /** Streams among them whose first event has come. */
    std::uint32_t streaming = 0;
    std::uint64_t pending_tokens = 0;
    /** Gateways that avoid the server, since it fails or stalls. */
    std::uint32_t avoided_by = 0;
    /** Adapters in use; empty where only sums are told. */
    std::set<adapter_ref> in_use;
    /** Places that are in use by all gateways, where only sums are told. */
    std::uint32_t used_places = 0;
};

/** All that this instance believes of one start of a backend server. */
struct backend {
    server_listing listing;
    /** Of the server's name, for rendezvous hashing. */
    std::uint64_t name_hash = 0;
    /** Orders that this start has accepted; nothing until the server itself or its holder has told. */
    std::optional<std::uint64_t> order_sequence;
    /** When the holder of the server's orders last told what it holds. */
    time_point weights_told{};
    /** Adapters that this start has held, with the time when it was last seen to; they load faster. */
    std::map<adapter_ref, time_point> held_before;
    /** Set while the platform lists it; a server that is not listed takes no new work. */
    bool is_listed = true;
    bool is_leaving = false;

    server_load_report load;
    time_point load_reported_at{};
    /** Requests of this instance that were sent and not answered yet. */
    std::uint32_t in_flight = 0;
    /** Streams among them whose first event has come: they pause while prompts are read. */
    std::uint32_t streaming = 0;
    /** Prompt tokens of this instance's requests that have no first event yet. */
    std::uint64_t pending_tokens = 0;
    std::map<instance_name, peer_server_work> peer_work;

    std::uint32_t consecutive_failures = 0;
    /** No new work before this time, unless nobody else can take it. */
    time_point avoid_until{};
    /** Requests of this instance whose answer has not begun. */
    std::uint32_t unanswered = 0;
    /** When an answer of the server last began, or a request was sent while none was unanswered. */
    time_point last_progress{};
    /** The server was full lately: others are preferred until this time. */
    time_point full_until{};
    /** When the prompt part was last sent here, by adapter and part. */
    std::map<std::pair<adapter_ref, std::string>, time_point> prompt_parts;
    /** Loads were not done in time: they are asked for elsewhere until this time. */
    time_point loads_blocked_until{};
    /** Requests of this instance that run or wait there, by adapter. */
    std::map<adapter_ref, std::uint32_t> adapters_in_use;

    /** @returns true if this instance avoids the server: it failed lately, or answers nothing at all */
    bool is_avoided(time_point now) const;
    /** @returns other gateways that avoid it */
    std::uint32_t avoided_by_others() const;
    std::uint32_t total_in_flight() const;
    std::uint32_t total_streaming() const;
    std::uint64_t total_pending_tokens() const;
    /** @returns true if any gateway is known to have a request for the adapter there */
    bool is_in_use(const adapter_ref& ref) const { return adapters_in_use.contains(ref) || peers_use(ref); }
    /** @returns places whose adapter some gateway is known to use */
    std::size_t used_places() const;
    /** @returns places that are free, or held by an adapter that no request is known to use.
        @param places of the server in all */
    std::size_t available_places(std::size_t places) const;
    /** Notes what the server holds now among the adapters that load faster. */
    void remember_weights(time_point now);
    /** @returns true if another gateway has a request for the adapter there */
    bool peers_use(const adapter_ref& ref) const;
};

/**
    The backend servers that may take work, and what is known of each.

    A belief belongs to one start of a server: a restart under the same name begins with nothing. A server
   that has announced its end stays unusable for the rest of that start. Not thread-safe.
*/
class backend_directory {
public:
    /** Takes a server's entry. @returns true if it began a new start or changed its state */
    bool on_listed(server_listing listing, time_point now);
    /** The platform has dropped a server. @returns true if it was listed */
    bool on_unlisted(const server_name& name);
    /** Takes the complete list after a gap: whatever is not in it is dropped. @returns dropped names */
    std::vector<server_name> retain(const std::set<server_name>& listed);
    /** The server itself has announced its end. */
    void on_leaving(const server_name& name, std::uint64_t started_at);

    /** Takes what the holder of a server's orders says that it holds.
        @returns false if the word is older than what is known, or of another start */
    bool on_weights_reported(const server_name& name, std::uint64_t started_at, std::uint64_t sequence,
                             held_weights weights, time_point now);
    /** The server refused a request since it does not hold the adapter. */
    void on_adapter_missing(const server_name& name, const adapter_ref& ref);

    /** A request was sent to the server. */
    void on_sent(const server_name& name, time_point now);
    /** An answer to a request has begun, or will not come. */
    void on_response_started(const server_name& name, std::uint64_t started_at, time_point now);
    /** An answer began: the server works. */
    void on_success(const server_name& name);
    /** The server was full: it is avoided for a moment, which is no failure. */
    void on_refused(const server_name& name, time_point now);
    /** A connection or an answer failed. The server is avoided for a time that doubles with each failure.
        @returns its failures in a row; 0 if it is not known */
    std::uint32_t on_failure(const server_name& name, time_point now);

    /** Forgets what a peer had under way, before it tells anew. */
    void clear_peer_work(const instance_name& peer);

    /** @returns a server, or nullptr */
    backend* find(const server_name& name);
    const backend* find(const server_name& name) const;
    /** @returns servers of a service that may take new work, in the order of their names */
    std::vector<backend*> usable(const pool_name& service);
    const std::map<server_name, backend>& servers() const { return servers_; }

private:
    std::map<server_name, backend> servers_;
};

} // namespace lovageledge
