#pragma once

#include "lovageledge/base/base.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovageledge {

/** What may be repeated of a request. */
enum class request_kind {
    /** May run any number of times. */
    safe,
    /** Runs at most once for each attempt of its caller. */
    unsafe,
    /** A stream of events; runs at most once unless its route is resumable. */
    stream,
};

/** A service that takes part of a route's traffic. */
struct weighted_service {
    pool_name service;
    std::uint32_t weight = 1;
};

/** Which requests go to which service, and on what terms. */
struct route_rule {
    std::string name;
    std::string host;
    std::string path_prefix;
    request_kind kind = request_kind::unsafe;
    /** Longest time that a caller may be kept waiting for the whole answer. */
    duration timeout{};
    /** Time within which an answer (a stream's first event) is on time. */
    duration latency_target{};
    /** Servers that may run one attempt of a caller. */
    std::uint32_t max_attempts = 1;
    /** Rank of the route; 0 is the most urgent. */
    std::uint32_t priority = 0;
    bool is_resumable = false;
    std::vector<weighted_service> services;

    /** @returns true if a second run of the same request does no harm */
    bool is_idempotent() const {
        return kind == request_kind::safe || (kind == request_kind::stream && is_resumable);
    }
};

/** A base model as the configuration declares it. */
struct model_spec {
    std::string name;
    double weights_mb = 0.0;
    duration load_time{};
    double adapter_mb = 0.0;
};

/** The limits of the engines that serve a pool of models. */
struct engine_spec {
    std::uint32_t slots = 0;
    std::uint64_t kv_tokens = 0;
    double weights_mb = 0.0;
    std::uint32_t adapter_slots = 0;
    /** Base models that all engines together may load from the weight store. */
    double loads_per_second = 0.0;
    std::vector<model_spec> models;
};

/** A pool of backend servers; without an engine it is a plain service. */
struct service_spec {
    pool_name name;
    std::uint32_t max_connections = 0;
    std::optional<engine_spec> engine;
};

/** Bounds on what a caller may send. */
struct caller_limits {
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = std::uint64_t{4} * 1024 * 1024;
    duration header_timeout = std::chrono::seconds{3};
    duration idle_timeout = std::chrono::seconds{15};
};

/** One version of the operators' configuration. */
struct traffic_configuration {
    std::uint64_t version = 0;
    std::vector<route_rule> routes;
    std::vector<service_spec> services;
    caller_limits limits;
};

/**
    The configuration in force, indexed for lookups by host and path.

    Immutable after construction; all methods may be called from any thread.
*/
class route_table {
public:
    explicit route_table(traffic_configuration configuration);

    /** Finds the route with the longest prefix of a path among those of a host.
        @param host as the caller sent it, with or without a port
        @param path without the query
        @returns nullptr if no route matches */
    const route_rule* match(std::string_view host, std::string_view path) const;

    /** Chooses one of a route's services in proportion to their weights.
        @param key the same key always gets the same service */
    static const pool_name& pick_service(const route_rule& route, std::string_view key);

    /** @returns a service's rule, or nullptr if the configuration has none of that name */
    const service_spec* find_service(const pool_name& name) const;

    std::uint64_t version() const { return configuration_.version; }
    const caller_limits& limits() const { return configuration_.limits; }
    const std::vector<service_spec>& services() const { return configuration_.services; }

private:
    traffic_configuration configuration_;
    /** Per host, the routes ordered by falling length of their prefix. */
    std::map<std::string, std::vector<const route_rule*>, std::less<>> routes_by_host_;
};

} // namespace lovageledge
