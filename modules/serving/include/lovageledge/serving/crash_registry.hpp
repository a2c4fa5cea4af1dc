#pragma once

#include "lovageledge/base/base.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace lovageledge {

/** Identifies copies of a request, whichever gateway they reach. */
struct request_fingerprint {
    std::uint64_t digest = 0;

    auto operator<=>(const request_fingerprint&) const = default; // NOLINT(modernize-use-nullptr)
};

/** Derives the fingerprint of a request. A body is taken to determine what a request does to a server,
   whoever sends it; a request without one is that of its caller only. Thread-safe.
    @param caller the caller's address
    @param host the host of the matched route
    @param path the path without the query, in which copies may differ */
request_fingerprint make_request_fingerprint(std::string_view caller, std::string_view host,
                                             std::string_view method, std::string_view path,
                                             std::string_view body);

/** Identifies one start of a backend server, the same on all gateways. */
struct server_start_id {
    std::uint64_t digest = 0;

    auto operator<=>(const server_start_id&) const = default; // NOLINT(modernize-use-nullptr)
};

/** @returns the identifier of a server's start. Thread-safe. */
server_start_id make_server_start_id(const server_name& server, std::uint64_t started_at);

/** A server's start whose answer to a request broke off, as if the request had crashed the server. */
struct crash_sighting {
    request_fingerprint fingerprint;
    server_start_id server_start;
    time_point seen_at{};
};

/** A sighting that no longer counts. */
struct withdrawn_sighting {
    request_fingerprint fingerprint;
    server_start_id server_start;
    /** What withdrew it, a word for the log. */
    std::string_view reason;
    /** How many servers still seem to have ended under the request. */
    std::uint32_t remaining_crashes = 0;
};

/**
    Finds requests that crash the servers that run them, from what all gateways see.

    A sighting is a set element: the same crash counts once, however many gateways saw it and however often
    they tell each other. A lost answer looks like a crash at first, so a sighting counts until its server is
    known to live: an answer to a request that was sent later suspends it, and when the platform has had time
    to drop the server's entry, the entry decides. Sightings of servers that have ended are kept.

    Not thread-safe.
*/
class crash_registry {
public:
    /** @param crash_limit server starts that may end under a request before it is refused; at least 1 */
    explicit crash_registry(std::uint32_t crash_limit) : crash_limit_{crash_limit} {}

    /** Sets a function that is called for each sighting that no longer counts, once the registry has been
        updated. It must not use the registry. */
    void set_on_withdrawn(std::function<void(const withdrawn_sighting&)> callback) {
        on_withdrawn_ = std::move(callback);
    }

    /** Records that a server's answer broke off or did not come.
        @returns true if the request is refused from now on because of it */
    bool on_broken(const request_fingerprint& fingerprint, const server_start_id& server_start,
                   time_point now);
    /** Merges a peer's sighting. @param seen its time is on this gateway's clock
        @returns true if the request is refused from now on because of it */
    bool on_report(const crash_sighting& seen, time_point now);
    /** Records that a server has answered a request. @param sent_at when that request was sent */
    void on_answered(const server_start_id& server_start, time_point sent_at);
    /** Records that a server has run a request to its end. @param sent_at when that request was sent */
    void on_completed(const request_fingerprint& fingerprint, time_point sent_at);
    /** Decides the sightings that are due and discards outdated ones.
        @param listed_starts returns the server starts that the platform lists; called only if needed */
    void on_tick(time_point now, const std::function<std::set<server_start_id>()>& listed_starts);

    /** @returns the number of servers that seem to have ended under a request */
    std::uint32_t crashes(const request_fingerprint& fingerprint) const;
    /** @returns true if requests with this fingerprint must not reach another server */
    bool is_refused(const request_fingerprint& fingerprint) const;

    /** Which sightings to tell peers. */
    enum class report_scope {
        /** Recent ones, and all of requests that are refused and whose servers have ended. */
        standing,
        /** Recent ones only. */
        recent,
        /** Own ones of the last moments, if the same request has been seen before. */
        urgent,
    };
    /** @returns the sightings that are due to be told, at most as many as fit into one message */
    std::vector<crash_sighting> reports(report_scope scope, time_point now) const;
    /** Makes all sightings of the last minute due again, for peers that may have missed them. */
    void report_again(time_point now);

    std::size_t size() const { return sighting_count_; }

private:
    struct sighting {
        time_point seen_at{};
        /** When it became known here, or due to be told again. */
        time_point known_at{};
        bool is_own = false;
        /** The server has answered a later request. */
        bool is_suspended = false;
        /** The server's start has ended. */
        bool is_confirmed = false;
    };
    using sightings = std::map<server_start_id, sighting>;

    bool add(const crash_sighting& seen, time_point now, bool is_own);
    void report_withdrawn(const request_fingerprint& fingerprint, const server_start_id& server_start,
                          std::string_view reason) const;
    static std::uint32_t count(const sightings& found);
    bool is_due_to_tell(const sighting& seen, std::uint32_t crashes, report_scope scope,
                        time_point now) const;

    std::uint32_t crash_limit_;
    std::function<void(const withdrawn_sighting&)> on_withdrawn_ = [](const withdrawn_sighting&) {};
    std::map<request_fingerprint, sightings> requests_;
    /** Requests with a sighting of a server start. */
    std::map<server_start_id, std::set<request_fingerprint>> suspects_;
    /** When the latest request that a server start has answered was sent. */
    std::map<server_start_id, time_point> answered_;
    std::size_t sighting_count_ = 0;
    time_point next_decision_ = time_point::max();
    time_point next_cleanup_{};
};

} // namespace lovageledge
