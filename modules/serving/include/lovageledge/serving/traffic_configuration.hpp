#pragma once

#include "lovageledge/base/base.hpp"
#include "lovageledge/serving/client_accounts.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovageledge {

/** Whether a request may run more than once. */
enum class request_kind {
    /** May run any number of times. */
    safe,
    /** Runs at most once per attempt of the caller. */
    unsafe,
    /** Returns an event stream. Runs at most once unless its route is resumable. */
    stream,
};

/** A service that gets a share of a route's traffic. */
struct weighted_service {
    pool_name service;
    std::uint32_t weight = 1;
};

/** Maps requests by host and path to services, with the limits for these requests. */
struct route_rule {
    std::string name;
    std::string host;
    std::string path_prefix;
    request_kind kind = request_kind::unsafe;
    /** Maximum time until the complete response. */
    duration timeout{};
    /** Target time until the response, or until the first event of a stream. */
    duration latency_target{};
    /** Maximum number of servers that may run one attempt of the caller. */
    std::uint32_t max_attempts = 1;
    /** Priority of the route; 0 is the highest. */
    std::uint32_t priority = 0;
    bool is_resumable = false;
    /** Requests need no key even if the deployment has client accounts. */
    bool is_public = false;
    std::vector<weighted_service> services;

    /** @returns true if the same request may run twice without harm */
    bool is_idempotent() const {
        return kind == request_kind::safe || (kind == request_kind::stream && is_resumable);
    }
};

/** A base model of an engine. Sizes are in MB. */
struct model_spec {
    std::string name;
    double weights_mb = 0.0;
    duration load_time{};
    double adapter_mb = 0.0;
};

/** The limits of the engines of a service. Sizes are in MB. */
struct engine_spec {
    std::uint32_t slots = 0;
    std::uint64_t kv_tokens = 0;
    double weights_mb = 0.0;
    std::uint32_t adapter_slots = 0;
    /** Maximum rate of base model loads from the weight store, over all engines. */
    double loads_per_second = 0.0;
    std::vector<model_spec> models;
};

/** A service, which is a pool of backend servers. Without an engine it is a plain HTTP service. */
struct service_spec {
    pool_name name;
    std::uint32_t max_connections = 0;
    std::optional<engine_spec> engine;
};

/** Size limits and timeouts for callers' requests and connections. */
struct caller_limits {
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = std::uint64_t{4} * 1024 * 1024;
    duration header_timeout = std::chrono::seconds{3};
    duration idle_timeout = std::chrono::seconds{15};
};

/** One version of the configuration that the operators maintain. */
struct traffic_configuration {
    std::uint64_t version = 0;
    std::vector<route_rule> routes;
    std::vector<service_spec> services;
    caller_limits limits;
    client_accounts accounts;
};

/**
    The active configuration, indexed for lookups by host and path.

    Immutable after construction; all methods may be called from any thread.
*/
class route_table {
public:
    explicit route_table(traffic_configuration configuration);

    /** Finds the route of a host with the longest prefix that matches a path.
        @param host the host as sent by the caller, with or without a port
        @param path the path without the query
        @returns nullptr if no route matches */
    const route_rule* match(std::string_view host, std::string_view path) const;

    /** Picks one of a route's services in proportion to their weights.
        @param key the same key always selects the same service */
    static const pool_name& pick_service(const route_rule& route, std::string_view key);

    /** @returns the service, or nullptr if the configuration has none of that name */
    const service_spec* find_service(const pool_name& name) const;

    /** @returns the shortest latency target among the routes of a service, or nothing if it has none */
    std::optional<duration> shortest_latency_target(const pool_name& service) const;

    std::uint64_t version() const { return configuration_.version; }
    const caller_limits& limits() const { return configuration_.limits; }
    const client_accounts& accounts() const { return configuration_.accounts; }
    const std::vector<service_spec>& services() const { return configuration_.services; }

private:
    traffic_configuration configuration_;
    /** The routes of each host, ordered by descending prefix length. */
    std::map<std::string, std::vector<const route_rule*>, std::less<>> routes_by_host_;
};

} // namespace lovageledge
