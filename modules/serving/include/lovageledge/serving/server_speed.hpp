#pragma once

#include "lovageledge/serving/backend_directory.hpp"
#include "lovageledge/serving/speed_evidence.hpp"
#include "lovageledge/serving/stream_timing.hpp"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovageledge {

/** The deviation of a server's times from the middle of its service. */
struct speed_deviation {
    /** Logarithm of the factor; positive for a server that is slower than the middle. */
    double log_factor = 0.0;
    /** Number of observations, each weighted by its age; 0 if there is no evidence. */
    double weight = 0.0;
};

/** What a gateway, or several together, have observed of one start of a server. */
struct speed_report {
    server_name server;
    std::uint64_t started_at = 0;
    speed_deviation response;
    speed_deviation event_interval;
};

/** Whose observations a report covers. */
enum class speed_scope : std::uint8_t {
    gateway,
    /** All gateways of one data centre. */
    data_centre,
    deployment,
};

/**
    Learns how fast each server is from its own responses, relative to the other servers of its service.

    It is designed for services whose servers differ by a factor of two or more while the gateway knows only
    one assumed speed, and for fleets in which each gateway sends few requests to each server. Deviations are
    relative to the median of the service's servers, so that errors that all servers have in common cancel. A
    server counts as different only if the evidence exceeds the noise; otherwise its factor is 1 and choices
    are the same as without this class. Gateways report deviations to the holder of their data centre, holders
    to each other, and each holder the sum to its gateways. Not thread-safe.
*/
class server_speed {
public:
    /** Records that a request was sent. Precondition: the server's counters of own work include it.
        @param is_local false if the server is in another region, whose distance is part of the time
        @returns a number for on_response() */
    std::uint64_t on_sent(const backend& server, bool is_engine, bool is_local, time_point now);
    /** Records that the response to a request has begun. The caller leaves out retries, refused requests and
        requests that waited for the load of an adapter. */
    void on_response(std::uint64_t sent, time_point now);
    /** Records the time between the events of a complete stream. */
    void on_stream_ended(const server_listing& server, const stream_timing& events, time_point now);

    /** Replaces what a source has reported.
        @param scope whose observations the source reports: a gateway's own, those of another data centre, or
        the deployment's as told by the holder */
    void on_report(speed_scope scope, const std::string& source, std::vector<speed_report> reports,
                   time_point now);
    /** @returns the servers that differ from the middle of their service by more than a tenth, those with
        the largest deviations first. A message has room for a limited number. */
    std::vector<speed_report> reports(speed_scope scope, time_point now) const;

    /** Notes the work of other gateways that was ahead of the sent requests, which is known only after a
        delay. Called several times a second, after reports of work were processed. */
    void sample_work(const backend_directory& directory, time_point now);
    /** Forgets servers and starts that are no longer listed, and sets the estimate of each server.
        @returns the servers whose estimate has changed markedly since it was last returned */
    std::vector<const backend*> update(backend_directory& directory, time_point now);

private:
    struct known_start {
        pool_name service;
        std::uint64_t started_at = 0;
        /** When this gateway first saw a response of this start. */
        time_point first_response_at{};
        speed_evidence response;
        speed_evidence event_interval;
        /** Estimates as last returned by update(). */
        double told_response = 1.0;
        double told_event_interval = 1.0;
    };
    /** A request whose work ahead or whose response is not known yet. */
    struct sent_request {
        server_name server;
        pool_name service;
        std::uint64_t started_at = 0;
        bool is_engine = false;
        bool is_local = true;
        time_point sent_at{};
        std::optional<time_point> answered_at;
        /** Work of this gateway when the request was sent, including the request. */
        std::uint64_t own_tokens = 0;
        std::uint32_t own_requests = 0;
        /** What was to be done until the response, for a server of middle speed. */
        std::optional<duration> expected;
    };
    struct told_reports {
        std::map<server_name, speed_report> servers;
        time_point told_at{};
    };
    using report_map = std::map<server_name, speed_report>;

    /** @returns the known start of a server; nullptr if it is not the current one, or has begun just now */
    known_start* find_settled(const server_name& name, const pool_name& service, std::uint64_t started_at,
                              time_point now);
    /** Adds an observation. Precondition: response and work ahead are known. */
    void evaluate(const sent_request& request, time_point now);
    /** Adds the deviations of one of the two times from the middle of each service. */
    void add_own(speed_evidence known_start::*evidence, speed_deviation speed_report::*target,
                 report_map& reports, time_point now) const;
    static void add_told(const std::map<std::string, told_reports>& told, report_map& reports,
                         time_point now);
    report_map collect(speed_scope scope, time_point now) const;

    std::map<server_name, known_start> starts_;
    std::map<std::uint64_t, sent_request> sent_;
    std::uint64_t last_sent_ = 0;
    std::map<std::string, told_reports> gateways_;
    std::map<std::string, told_reports> data_centres_;
    told_reports deployment_;
};

} // namespace lovageledge
