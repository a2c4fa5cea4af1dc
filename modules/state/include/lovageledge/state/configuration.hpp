#pragma once

#include "lovageledge/base/base.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace lovageledge {

/** Counts accepted sheets; 0 means that none has been accepted yet. */
using revision_number = std::uint64_t;

/** Limits of the store that the engines fetch adapter weights from. */
struct weight_store_limits {
    double loads_per_second = 2.0;
    std::uint32_t loads_in_flight = 8;
};

/** A set of backend servers that serve the same adapters. */
struct pool {
    pool_name name;
    /** True if the pool's engines refuse orders with an old fencing number. */
    bool has_fencing = false;
};

/** A model engine. */
struct backend_server {
    server_name name;
    pool_name pool;
    region_name region;
    data_centre_name data_centre;
    /** IP number and port, "127.0.0.1:9001". */
    std::string address;
    /** Adapters that fit at the same time. */
    std::uint32_t slots = 0;
    /** Requests that run at the same time. */
    std::uint32_t batch = 0;
};

/** An adapter in one version. */
struct adapter {
    adapter_key key;
    pool_name pool;
    std::string weights_path;
};

/** A service that may send requests. */
struct calling_service {
    service_name name;
    /** SHA-256 of the token that the service sends. */
    std::string token_digest;
    /** From 1 to 100; at peak load the least important is refused first. */
    std::uint32_t importance = 1;
    /** Pools and plain services that it may call; "*" stands for all. */
    std::set<std::string> may_call;
};

/** A service without adapters that requests are routed to as well. */
struct plain_service {
    std::string name;
    std::string address;
    /** True if its calls may be repeated (they are idempotent). */
    bool is_repeatable = false;
};

/**
    What one accepted sheet declares.

    Immutable once built: it is shared between threads as std::shared_ptr<const configuration>.
*/
struct configuration {
    revision_number revision = 0;
    weight_store_limits store;
    std::map<pool_name, pool> pools;
    std::map<server_name, backend_server> servers;
    std::unordered_map<adapter_key, adapter> adapters;
    std::map<service_name, calling_service> services;
    std::unordered_map<std::string, service_name> services_by_token_digest;
    std::map<std::string, plain_service> plain_services;

    /** @returns the service that a token belongs to, or nullptr. Thread-safe. */
    const calling_service* find_service_by_token(const std::string& token) const;
};

using configuration_ptr = std::shared_ptr<const configuration>;

} // namespace lovageledge
