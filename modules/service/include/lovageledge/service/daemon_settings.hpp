#pragma once

#include "lovageledge/coordination/coordination.hpp"
#include "lovageledge/transport/transport.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovageledge {

/** All settings of a daemon. docs/OPERATIONS.md lists them. */
struct daemon_settings {
    instance_identity identity;
    std::string caller_address;
    std::string admin_address;
    /** SHA-256 of the operator token, in hexadecimal. */
    std::string admin_token_digest;
    std::string platform_address;
    /** Peers to ask for a configuration if the platform is unavailable at startup. */
    std::map<instance_name, std::string> seed_peers;
    std::uint32_t threads = 2;
    http_limits limits;
    std::uint32_t max_tokens_limit = 16384;
    duration default_deadline = std::chrono::seconds{60};
    /** An engine's stream ends after this time without a token if the deadline of its request has passed, or
        without any sign of the engine's machine. */
    duration stream_silence = std::chrono::seconds{10};
    /** Time after a stop signal during which callers are still accepted, because the load balancer needs time
        to notice the stop. */
    duration balancer_lag = std::chrono::seconds{2};
    /** Maximum time that a planned stop waits for requests in progress. */
    duration drain_limit = std::chrono::seconds{150};
    std::string log_level = "info";
    coordination_settings coordination;
};

/** Parses settings in INI format and gives the instance a new random start id. Thread-safe.
    @param errors cleared, then receives one entry per error, with line and field
    @returns the settings, or nothing if there are errors */
std::optional<daemon_settings> parse_settings(const std::string& text, std::vector<std::string>& errors);

} // namespace lovageledge
