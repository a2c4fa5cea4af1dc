#pragma once

#include "lovageledge/base/base.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace lovageledge {

/** Number of an accepted sheet, counted from 1; 0 means that none has been accepted yet. */
using revision_number = std::uint64_t;

/** Limits of the store from which the engines load adapter weights. */
struct weight_store_limits {
    double loads_per_second = 2.0;
    std::uint32_t loads_in_flight = 8;
};

/** A set of backend servers that serve the same adapters. */
struct pool {
    pool_name name;
    /** True if the pool's engines reject orders with an outdated fencing token. */
    bool has_fencing = false;
};

/** A backend server, which runs one model engine. */
struct backend_server {
    server_name name;
    pool_name pool;
    region_name region;
    data_centre_name data_centre;
    /** IP address and port, as in "127.0.0.1:9001". */
    std::string address;
    /** Maximum number of adapters that are loaded at the same time. */
    std::uint32_t slots = 0;
    /** Maximum number of requests that run at the same time. */
    std::uint32_t batch = 0;
};

/** One version of an adapter. */
struct adapter {
    adapter_key key;
    pool_name pool;
    std::string weights_path;
};

/** A service that is allowed to send requests. */
struct calling_service {
    service_name name;
    /** SHA-256 digest of the service's token, as hexadecimal digits. */
    std::string token_digest;
    /** From 1 to 100; under overload, the least important requests are refused first. */
    std::uint32_t importance = 1;
    /** Names of the pools and plain services that it may call; "*" allows all. */
    std::set<std::string> may_call;
};

/** A backend service without adapters, to which requests are routed as well. */
struct plain_service {
    std::string name;
    std::string address;
    /** True if its calls are idempotent, so that they may be retried. */
    bool is_repeatable = false;
};

/**
    The content of one accepted sheet.

    Immutable once built: threads share it as std::shared_ptr<const configuration>.
*/
struct configuration {
    revision_number revision = 0;
    /** Limits of the weight store, as declared by the row "store". */
    weight_store_limits store;
    std::map<pool_name, pool> pools;
    std::map<server_name, backend_server> servers;
    std::unordered_map<adapter_key, adapter> adapters;
    std::map<service_name, calling_service> services;
    std::unordered_map<std::string, service_name> services_by_token_digest;
    std::map<std::string, plain_service> plain_services;

    /** @returns the service that the token belongs to, or nullptr. Thread-safe. */
    const calling_service* find_service_by_token(const std::string& token) const;
};

using configuration_ptr = std::shared_ptr<const configuration>;

} // namespace lovageledge
