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
    /** SHA-256 of the operators' token. */
    std::string admin_token_digest;
    std::string platform_address;
    /** Peers to ask for a configuration when the platform is down at the start. */
    std::map<instance_name, std::string> seed_peers;
    std::uint32_t threads = 2;
    http_limits limits;
    std::uint32_t max_tokens_limit = 16384;
    duration default_deadline = std::chrono::seconds{60};
    /** A stream that gives no token for this long counts as broken. */
    duration stream_silence = std::chrono::seconds{10};
    /** After a stop signal, callers are accepted this long, until the balancer has noticed. */
    duration balancer_lag = std::chrono::seconds{2};
    /** Longest time that a planned stop waits for requests in progress. */
    duration drain_limit = std::chrono::seconds{150};
    std::string log_level = "info";
    coordination_settings coordination;
};

/** Reads an INI text. @param errors receives a line for each fault, with line and field
    @returns the settings, or nothing if there are faults. Thread-safe. */
std::optional<daemon_settings> parse_settings(const std::string& text, std::vector<std::string>& errors);

} // namespace lovageledge
