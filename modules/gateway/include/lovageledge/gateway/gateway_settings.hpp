#pragma once

#include "lovageledge/serving/serving.hpp"
#include "lovageledge/transport/transport.hpp"

#include <optional>
#include <string>
#include <vector>

namespace lovageledge {

/** All settings of a gateway process. docs/PLATFORM.md lists them. */
struct gateway_settings {
    instance_name name;
    start_id start;
    data_centre_name data_centre;
    region_name region;
    /** Data centres of the same region, this one included. */
    std::vector<data_centre_name> local_data_centres;
    std::string caller_address;
    std::string readiness_address;
    std::string peer_address;
    std::string metrics_address;
    std::string platform_address;
    std::string log_level = "info";
    /** Time from a stop signal until the process is killed. */
    duration stop_limit = std::chrono::seconds{8};
    /** Time within which a leaving server must be known to all gateways. */
    duration leaving_limit = std::chrono::milliseconds{2500};
    /** Bound on the use of an older version of an adapter. */
    duration version_limit = std::chrono::milliseconds{5000};
    retry_allowance retries;
    selector_settings selector;
    planner_settings planner;
    /** Pause between state messages to the gateways of the same data centre. */
    duration state_interval = std::chrono::milliseconds{150};
    /** Longest wait for a load before another server is considered. */
    duration load_wait = std::chrono::milliseconds{900};
    /** Share of its time that a request may wait for a server before it is refused. */
    double wait_share = 0.5;
    std::uint32_t connections = 3000;
};

/** Reads an INI text. @param errors receives a line for each fault, with line and field
    @returns the settings, or nothing if there are faults. Thread-safe. */
std::optional<gateway_settings> parse_gateway_settings(const std::string& text,
                                                       std::vector<std::string>& errors);

} // namespace lovageledge
