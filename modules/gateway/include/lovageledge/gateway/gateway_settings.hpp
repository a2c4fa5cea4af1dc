#pragma once

#include "lovageledge/serving/serving.hpp"
#include "lovageledge/transport/transport.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace lovageledge {

/** The settings of a gateway process. docs/PLATFORM.md describes each. */
struct gateway_settings {
    instance_name name;
    start_id start;
    data_centre_name data_centre;
    region_name region;
    /** The data centres of this gateway's region, including its own. */
    std::vector<data_centre_name> local_data_centres;
    std::string caller_address;
    std::string readiness_address;
    std::string peer_address;
    std::string metrics_address;
    std::string platform_address;
    std::string log_level = "info";
    /** Time from the stop signal until the platform kills the process. */
    duration stop_limit = std::chrono::seconds{8};
    /** Time within which all gateways must stop sending work to a server that is leaving. */
    duration leaving_limit = std::chrono::milliseconds{2500};
    /** Time within which a change of the configuration must be in force on all gateways. */
    duration configuration_limit = std::chrono::milliseconds{4000};
    /** Longest time that an outdated version of an adapter may be served after a new one is announced. */
    duration version_limit = std::chrono::milliseconds{5000};
    /** Requests that need a key are refused while a removed key might not be known here. */
    bool is_revocation_strict = false;
    /** Age of the last reading of the configuration from which that is so. */
    duration revocation_limit = std::chrono::milliseconds{5000};
    retry_allowance retries;
    selector_settings selector;
    pace_settings pace;
    planner_settings planner;
    succession_settings succession;
    cap_settings caps;
    /** Bandwidth of this instance's network link, in Mbit/s; 0 if unknown. */
    double link_mbps = 0.0;
    /** The number of requests sent to each engine is bounded; further ones wait at the gateway. */
    bool is_waiting_bounded = false;
    /** Interval of the heartbeats to the gateways of the same data centre. */
    duration state_interval = std::chrono::milliseconds{150};
    /** Longest wait for an adapter to load before another server is considered. */
    duration load_wait = std::chrono::milliseconds{900};
    /** Fraction of a request's timeout that it may wait for an adapter before it is refused. */
    double wait_share = 0.5;
    /** Most open connections from callers. */
    std::uint32_t connections = 3000;
    /** Memory in MB that the platform grants this process. */
    std::uint32_t memory_mb = 128;
    static constexpr std::uint32_t min_memory_mb = 16;
    static constexpr std::uint32_t max_memory_mb = 10'000'000;

    /** @returns the time within which the configuration must be read again */
    duration configuration_reading_limit() const {
        return is_revocation_strict ? std::min(configuration_limit, revocation_limit) : configuration_limit;
    }
    /** Fraction of the connections and of the memory that one IP address may take while others are
        connected. */
    double address_share = 0.75;
    /** Time in which a caller must take each part of its response; a whole response that is larger than a few
        hundred KB has more. */
    duration unread_response = std::chrono::seconds{5};

    /** @returns the bytes that may be held for callers and for responses: connections, requests, what the
        kernel holds of them, and responses that are not taken. The rest is left for everything else. */
    std::size_t message_memory() const;
    /** @returns the bytes that the kernel may hold in each direction of a caller's connection. The least is
        what a caller sends at once on a new connection, the most what a link of 10 Mbit/s with 12 ms one way
        needs. */
    std::uint32_t socket_buffer_bytes() const;
};

/** Parses settings in INI format. Thread-safe.
    @param errors receives a message with line and field for each error
    @returns the settings, or std::nullopt if there are errors */
std::optional<gateway_settings> parse_gateway_settings(const std::string& text,
                                                       std::vector<std::string>& errors);

} // namespace lovageledge
