#pragma once

#include "lovageledge/base/base.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovageledge {

/** Limits of server_pace. */
struct pace_settings {
    /** Without it, every allowance is unlimited. */
    bool enabled = false;
    /** Requests that all gateways together may have in flight on a server that has just started. */
    std::uint32_t initial_requests = 24;
};

/** Why a server's requests are limited. */
enum class pace_reason : std::uint8_t {
    started,
    recovered,
    failed,
};

/** @returns the reason as it appears in the log */
std::string_view to_text(pace_reason reason);

/** A change of a server's limit that operators may want to know. */
struct pace_change {
    server_name server;
    /** Nothing when the limit is lifted. */
    std::optional<pace_reason> reason;
    /** Requests that this gateway may have in flight there, or had at most when the limit was lifted. */
    double limit = 0.0;
};

/**
    Limits the requests without a response that this gateway has at a server that has just started or
   recovered.

    The limit grows with the responses, as a congestion window does: it doubles in a round trip until half of
   the limit at which the server last answered late or failed, and then grows by the initial share. Late
   responses halve it, at most once a round trip. It is lifted when the server has answered well for some
   seconds. All gateways together begin with initial_requests, each with its share. A share below one request
   is a share of the time: the gateway waits between its requests, the first time for a time that is drawn by
   a hash. If more than half of a service's servers have started within the same 5 s, nothing is limited. Not
   thread-safe.
*/
class server_pace {
public:
    /** @param identity the gateway's name, from which its delays are drawn */
    server_pace(pace_settings settings, std::string identity);

    /** Sets the number of gateways among which the initial allowance is divided; at least 1. */
    void set_gateways(std::size_t count) { gateways_ = count > 0 ? count : 1; }

    /** Processes a new start of a server. @param service_servers all servers of its service, with the new one
     */
    void on_started(const server_name& server, const pool_name& service, std::size_t service_servers,
                    time_point now);
    /** Processes that a server is used again after a pause, failures or a partition. */
    void on_recovered(const server_name& server, time_point now);
    void on_sent(const server_name& server, time_point now);
    /** Processes that a sent request has its response.
        @param delay time since it was sent
        @param was_expected false if other causes delayed it, such as the load of an adapter; it frees its
        place without any effect on the limit
        @param expected the estimate for the request */
    void on_answered(const server_name& server, duration delay, duration expected, bool was_expected,
                     time_point now);
    /** Processes that a sent request got no response, or none that counts. */
    void on_failed(const server_name& server, time_point now);
    /** Processes that a sent request was refused as not run, or given up by its caller: it frees its place.
     */
    void on_withdrawn(const server_name& server);
    /** Forgets a server that is no longer listed. */
    void on_dropped(const server_name& server);

    /** @returns how many further requests this gateway may send to the server now; unlimited for servers that
        are not limited */
    std::uint32_t allowance(const server_name& server, time_point now) const;
    static constexpr std::uint32_t unlimited = UINT32_MAX;

    std::size_t limited_servers() const { return limited_.size(); }
    /** @returns the changes since the last call */
    std::vector<pace_change> take_changes();

private:
    struct limited_server {
        double limit = 0.0;
        /** From this limit on it grows slowly. */
        double slow_growth_from = 0.0;
        std::uint32_t in_flight = 0;
        /** With a limit below one request, the next one may be sent from then on. */
        time_point opens_at{};
        /** Responses that do not count as late, since the server's caches are cold. */
        std::uint32_t cold_responses = 0;
        /** A response that is late before then was sent before the limit was last halved. */
        time_point may_halve_at{};
        /** Since when no response was late. */
        time_point well_since{};
        std::uint32_t answered_well = 0;
    };
    struct service_start {
        pool_name service;
        time_point at{};
    };

    double initial_share() const;
    bool is_new_as_a_whole(const pool_name& service, std::size_t service_servers, time_point now) const;
    void begin(const server_name& server, pace_reason reason, time_point now);
    void halve(const server_name& name, limited_server& server, duration round_trip, time_point now);
    void lift(const server_name& server);

    pace_settings settings_;
    std::string identity_;
    std::size_t gateways_ = 1;
    std::map<server_name, limited_server> limited_;
    /** Recent starts. */
    std::map<server_name, service_start> starts_;
    std::vector<pace_change> changes_;
};

} // namespace lovageledge
