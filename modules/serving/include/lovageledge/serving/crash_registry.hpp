#pragma once

#include "lovageledge/base/base.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lovageledge {

/** Identifies copies of a request, whichever gateway they reach. */
struct request_fingerprint {
    std::uint64_t digest = 0;

    auto operator<=>(const request_fingerprint&) const = default; // NOLINT(modernize-use-nullptr)
};

/** Derives the fingerprint of a request. Who sends it is left out: copies come from several addresses.
    Thread-safe.
    @param host the host of the matched route
    @param path the path without the query, in which copies may differ */
request_fingerprint make_request_fingerprint(std::string_view host, std::string_view method,
                                             std::string_view path, std::string_view body);

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
    /** The platform has dropped the server's entry. */
    bool has_ended = false;
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

/** What the platform lists, as far as it is known. */
struct server_view {
    /** Since when the list has been read without interruption. */
    time_point current_since{};
    std::set<server_start_id> listed_starts;
};

/**
    Finds requests that crash the servers that run them, from what all gateways see.

    A sighting is a set element: the same crash counts once, however many gateways saw it and however often
    they tell each other. A lost answer looks like a crash at first, so a sighting is withdrawn if its server
    turns out to live: it answers on a connection that was open before, or the platform still lists it
   although the list has been read for long enough to show its end. What one run of the request did at another
   server withdraws nothing; only if a server ends in fewer than one in many runs, other causes are more
   likely.

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
    /** Records that a server has answered a request.
        @param connected_at when the connection was opened; the next start of a server under the same name
                            can't answer on a connection of the former one
        @param sent_at when that request was sent */
    void on_answered(const server_start_id& server_start, time_point connected_at, time_point sent_at);
    /** Records that a server has run a request to its end, with success. */
    void on_completed(const request_fingerprint& fingerprint, time_point now);
    /** Decides the sightings that are due and discards outdated ones.
        @param view returns what the platform lists, or nothing while that can't be read; called only if
                    needed */
    void on_tick(time_point now, const std::function<std::optional<server_view>()>& view);

    /** @returns the number of servers that seem to have ended under a request */
    std::uint32_t crashes(const request_fingerprint& fingerprint) const;
    /** @returns true if requests with this fingerprint must not reach another server */
    bool is_refused(const request_fingerprint& fingerprint) const;

    /** Which sightings to tell peers. */
    enum class report_scope {
        /** Recent ones, and all of requests that are refused. */
        standing,
        /** Recent ones only. */
        recent,
        /** Own ones of the last moments, if the same request has been seen before. */
        urgent,
    };
    /** @returns the sightings that are due to be told, at most as many as fit into one message: those of the
        requests with most crashes first, newest first */
    std::vector<crash_sighting> reports(report_scope scope, time_point now) const;
    /** @returns the sightings of all refused requests, in a constant order, at most as many as fit into one
        message */
    std::vector<crash_sighting> refused_sightings() const;
    /** Makes all sightings of the last minute due again, for peers that may have missed them. */
    void report_again(time_point now);

    /** @returns the number of sightings, without those of servers that are known to live */
    std::size_t size() const;

private:
    enum class server_state {
        unknown,
        /** It has answered since, or is listed although its end would be known. */
        living,
        ended,
    };
    struct sighting {
        time_point seen_at{};
        /** When it became known here, or due to be told again. */
        time_point known_at{};
        bool is_own = false;
        server_state state = server_state::unknown;
        /** If it lives: when that was known last. */
        time_point lived_at{};
    };
    using sightings = std::map<server_start_id, sighting>;
    struct answer {
        time_point connected_at{};
        time_point sent_at{};
    };
    struct successful_runs {
        /** Recent ones, with a weight that declines with their age. */
        std::uint32_t recent = 0;
        time_point last_at{};
    };

    bool add(const crash_sighting& seen, time_point now, bool is_own);
    void withdraw(const request_fingerprint& fingerprint, const server_start_id& server_start,
                  std::string_view reason) const;
    static bool counts(const sighting& seen);
    static std::uint32_t count(const sightings& found);
    /** Decides a sighting by the platform's list, if that is possible. */
    static void decide(sighting& seen, const server_start_id& server_start, time_point now,
                       const server_view& view);
    void decide_and_expire(time_point now, const server_view* view);
    /** Discards what matters least, so that sightings can be added. */
    void make_room();
    bool is_refused(const request_fingerprint& fingerprint, const sightings& found) const;
    /** @returns true if another request whose runs never succeed has crashed too many servers, and this one
     */
    bool is_explained_by_another(const request_fingerprint& fingerprint,
                                 const server_start_id& server_start) const;
    bool has_succeeded(const request_fingerprint& fingerprint) const {
        return successful_runs_.contains(fingerprint.digest);
    }
    static bool is_recent(const sighting& seen, std::uint32_t crashes, report_scope scope, time_point now);
    /** Lets the weight of successful runs decline with their age. */
    void age_successful_runs(time_point now);

    std::uint32_t crash_limit_;
    std::function<void(const withdrawn_sighting&)> on_withdrawn_ = [](const withdrawn_sighting&) {};
    std::map<request_fingerprint, sightings> requests_;
    /** Requests with a sighting of a server start. */
    std::map<server_start_id, std::set<request_fingerprint>> suspects_;
    /** The latest answer of each server start. */
    std::map<server_start_id, answer> answers_;
    /** Requests that have succeeded at this gateway, by the fingerprint's digest. */
    std::unordered_map<std::uint64_t, successful_runs> successful_runs_;
    time_point next_aging_{};
    std::size_t sighting_count_ = 0;
    time_point next_decision_ = time_point::max();
    time_point next_cleanup_{};
};

} // namespace lovageledge
