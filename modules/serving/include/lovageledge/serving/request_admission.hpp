#pragma once

#include "lovageledge/serving/caller_credentials.hpp"
#include "lovageledge/serving/request_suspects.hpp"
#include "lovageledge/serving/traffic_configuration.hpp"
#include "lovageledge/serving/usage_caps.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovageledge {

/** What the admission of a request depends on. The views must be valid until it is decided. */
struct arriving_request {
    request_id id;
    std::string_view host;
    std::string_view method;
    /** Without the query. */
    std::string_view path;
    std::string_view body;
    /** How long the caller waits; unset if it did not specify it. */
    std::optional<duration> caller_timeout;
    caller_credentials credentials;
    /** Prompt tokens plus most output tokens; unset if the caller did not specify them. */
    std::optional<std::uint64_t> tokens;
    std::vector<prompt_part> prompt_parts;
};

/** The state of the gateway when a request arrives. */
struct admission_conditions {
    time_point now{};
    /** The time on a clock that also runs while the machine is suspended. */
    time_point now_with_suspension{};
    /** During a planned stop, later requests are refused if they may outlast the gateway. */
    time_point accept_all_until = time_point::max();
    /** During a planned stop, when all requests must have a response. */
    time_point answer_until = time_point::max();
    /** The configuration was read recently enough to rely on its keys. */
    bool are_keys_current = true;
    trial_candidate candidate;
};

/** Which rule has refused a request. */
enum class refusal_cause : std::uint8_t {
    configuration,
    route,
    credentials,
    outdated_keys,
    stop,
    cap,
    crashes
};

/** @returns the name of a cause, for metrics. Thread-safe. */
std::string_view to_text(refusal_cause cause);

/** The refusal of a request that has not run. */
struct admission_refusal {
    refusal_cause cause = refusal_cause::configuration;
    /** HTTP status for the caller. */
    unsigned status = 503;
    std::string reason;
    std::optional<duration> retry_after;
};

/** The decision on an arriving request: what was found about it, and the refusal if it must not go on. */
struct request_decision {
    std::optional<admission_refusal> refusal;
    /** Belongs to the route table; nullptr if no route matches. */
    const route_rule* route = nullptr;
    /** Belongs to the route table; nullptr if the request belongs to no account. */
    const client_account* account = nullptr;
    pool_name service;
    time_point deadline{};
    /** The account's priority, or else the route's; 0 is the highest. */
    std::uint32_t priority = 0;
    /** What was counted against the account's cap and is to be given back if the request does not run. */
    std::uint64_t cost = 0;
    request_suspects suspects;
    /** The request is refused but for one run, which tells whether its suspect is to blame. */
    bool is_trial = false;
};

/**
    Decides whether a request may go on, by the rules that need no server: its route, account, usage cap, a
    planned stop of the gateway and the quarantine of requests that crash servers.

    The rules apply in this order: configuration, route, account, stop, cap, quarantine. A refused request has
    cost its account nothing. Not thread-safe.
*/
class request_admission {
public:
    /** Both must outlive this object. */
    request_admission(crash_registry& crashes, usage_caps& caps) : crashes_{crashes}, caps_{caps} {}

    /** Decides on an arriving request, and counts its cost if it may go on.
        @param routes nullptr while the configuration is not known */
    request_decision decide(const route_table* routes, const arriving_request& request,
                            const admission_conditions& conditions);
    /** Decides again on an admitted request, right before it is sent to a server.
        @param possible_runs attempts that may have run it
        @returns the refusal if it must not reach a further server */
    std::optional<admission_refusal> find_quarantine(const request_decision& decision,
                                                     std::uint32_t possible_runs) const;
    /** Gives an admitted request's cost back. Call it at most once, and only if the request is known not to
        have run and will not be sent again. @param now_with_suspension as in admission_conditions */
    void give_back(const request_decision& decision, time_point now_with_suspension);

private:
    /** Each applies one rule and records what it found. @returns the refusal, if there is one */
    static std::optional<admission_refusal> find_route(const route_table* routes,
                                                       const arriving_request& request, time_point now,
                                                       request_decision& decision);
    static std::optional<admission_refusal> find_account(const client_accounts& accounts,
                                                         const caller_credentials& credentials,
                                                         bool are_keys_current, request_decision& decision);
    std::optional<admission_refusal> charge(const arriving_request& request, time_point now_with_suspension,
                                            request_decision& decision);
    std::optional<admission_refusal> check_crashes(const arriving_request& request,
                                                   const admission_conditions& conditions,
                                                   request_decision& decision);

    crash_registry& crashes_;
    usage_caps& caps_;
};

} // namespace lovageledge
