#include "lovageledge/serving/request_admission.hpp"

#include <algorithm>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;

/** Retry-After for conditions that soon change or that another gateway may not have. */
constexpr auto retry_after_transient = milliseconds{400};
/** Retry-After while this instance stops and others can serve the request. */
constexpr auto retry_after_stopping = milliseconds{50};
/** Retry-After for a quarantined request, which keeps crashing servers until its caller changes it. */
constexpr auto retry_after_quarantine = std::chrono::seconds{10};

constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_too_many_requests = 429;
constexpr unsigned status_unavailable = 503;

} // namespace

std::string_view to_text(refusal_cause cause) {
    switch (cause) {
    case refusal_cause::configuration:
        return "configuration";
    case refusal_cause::route:
        return "route";
    case refusal_cause::credentials:
        return "credentials";
    case refusal_cause::outdated_keys:
        return "outdated_keys";
    case refusal_cause::stop:
        return "stop";
    case refusal_cause::cap:
        return "cap";
    case refusal_cause::crashes:
        return "crashes";
    }
    return "";
}

request_decision request_admission::decide(const route_table* routes, const arriving_request& request,
                                           const admission_conditions& conditions) {
    request_decision decision;
    decision.refusal = find_route(routes, request, conditions.now, decision);
    if (!decision.refusal) {
        decision.refusal =
            find_account(routes->accounts(), request.credentials, conditions.are_keys_current, decision);
    }
    const bool may_outlast_gateway = decision.deadline > conditions.answer_until;
    if (!decision.refusal && conditions.now > conditions.accept_all_until && may_outlast_gateway) {
        decision.refusal = {refusal_cause::stop, status_unavailable, "this instance is stopping",
                            retry_after_stopping};
    }
    if (!decision.refusal) {
        decision.refusal = charge(request, conditions.now_with_suspension, decision);
    }
    if (!decision.refusal) {
        decision.refusal = check_crashes(request, conditions, decision);
    }
    return decision;
}

std::optional<admission_refusal> request_admission::find_route(const route_table* routes,
                                                               const arriving_request& request,
                                                               time_point now, request_decision& decision) {
    if (routes == nullptr) {
        return admission_refusal{refusal_cause::configuration, status_unavailable,
                                 "the configuration or the records are not known yet", retry_after_transient};
    }
    const route_rule* route = routes->match(request.host, request.path);
    decision.route = route;
    if (route == nullptr || route->services.empty()) {
        return admission_refusal{refusal_cause::route, status_not_found, "no route for this host and path",
                                 std::nullopt};
    }
    decision.service = route_table::pick_service(*route, request.id.text());
    decision.deadline = now + std::min(request.caller_timeout.value_or(route->timeout), route->timeout);
    decision.priority = route->priority;
    return std::nullopt;
}

std::optional<admission_refusal> request_admission::find_account(const client_accounts& accounts,
                                                                 const caller_credentials& credentials,
                                                                 bool are_keys_current,
                                                                 request_decision& decision) {
    if (accounts.is_empty()) {
        return std::nullopt;
    }
    const bool needs_key = !decision.route->is_public;
    if (needs_key && !are_keys_current) {
        return admission_refusal{refusal_cause::outdated_keys, status_unavailable,
                                 "the keys of the configuration may be outdated", retry_after_transient};
    }
    const bool has_key = credentials.presented == caller_credentials::form::key;
    decision.account = has_key ? accounts.find(credentials.key) : nullptr;
    if (decision.account == nullptr && needs_key) {
        return admission_refusal{refusal_cause::credentials, status_unauthorized,
                                 has_key ? "the key is not known" : "the request has no valid credentials",
                                 std::nullopt};
    }
    if (decision.account != nullptr) {
        decision.priority = decision.account->priority.value_or(decision.priority);
    }
    return std::nullopt;
}

std::optional<admission_refusal> request_admission::charge(const arriving_request& request,
                                                           time_point now_with_suspension,
                                                           request_decision& decision) {
    if (decision.account == nullptr || !decision.account->cap.is_limited()) {
        return std::nullopt;
    }
    const std::uint64_t cost = decision.account->cap.cost_of(request.tokens);
    const cap_decision outcome =
        caps_.admit(decision.account->name, cost, stable_hash(request.id.text()), now_with_suspension);
    if (!outcome.is_admitted) {
        return admission_refusal{refusal_cause::cap, status_too_many_requests,
                                 "the account's usage cap is reached", outcome.retry_after};
    }
    decision.cost = cost;
    return std::nullopt;
}

std::optional<admission_refusal> request_admission::check_crashes(const arriving_request& request,
                                                                  const admission_conditions& conditions,
                                                                  request_decision& decision) {
    // The query is left out, since copies of a request may differ in it.
    const crash_suspect copy =
        make_request_suspect(decision.route->host, request.method, request.path, request.body);
    decision.suspects = request_suspects{copy, decision.service, request.prompt_parts};
    decision.is_trial = crashes_.begin_trial(decision.suspects.all(), conditions.candidate, conditions.now);
    auto refusal = find_quarantine(decision, 0);
    if (refusal) {
        give_back(decision, conditions.now_with_suspension);
        decision.cost = 0;
    }
    return refusal;
}

std::optional<admission_refusal> request_admission::find_quarantine(const request_decision& decision,
                                                                    std::uint32_t possible_runs) const {
    const auto refused = crashes_.find_refused(decision.suspects.all());
    const bool may_try = decision.is_trial && possible_runs == 0;
    if (!refused || may_try) {
        return std::nullopt;
    }
    return admission_refusal{refusal_cause::crashes, status_unavailable,
                             decision.suspects.describe_refusal(*refused), retry_after_quarantine};
}

void request_admission::give_back(const request_decision& decision, time_point now_with_suspension) {
    if (decision.account != nullptr && decision.cost > 0) {
        caps_.give_back(decision.account->name, decision.cost, now_with_suspension);
    }
}

} // namespace lovageledge
