#include "lovageledge/service/daemon_settings.hpp"

#include "lovageledge/service/settings_reader.hpp"

namespace lovageledge {
namespace {

void read_identity(settings_reader& reader, daemon_settings& settings) {
    std::string name;
    std::string region;
    std::string data_centre;
    reader.text("instance", "name", name, true);
    reader.text("instance", "region", region, true);
    reader.text("instance", "data_centre", data_centre, true);
    reader.address("instance", "peer_address", settings.identity.peer_address, true);
    reader.address("instance", "caller_address", settings.caller_address, true);
    reader.address("instance", "admin_address", settings.admin_address, true);
    reader.text("instance", "admin_token_sha256", settings.admin_token_digest, true);
    reader.number("instance", "threads", settings.threads, 1, 64);
    settings.identity.name = instance_name{name};
    settings.identity.region = region_name{region};
    settings.identity.data_centre = data_centre_name{data_centre};
}

void read_limits(settings_reader& reader, daemon_settings& settings) {
    reader.number("limits", "body_bytes", settings.limits.body_bytes, 1024, 64ULL * 1024 * 1024);
    reader.number("limits", "header_bytes", settings.limits.header_bytes, 1024, 1024ULL * 1024);
    reader.number("limits", "connections", settings.limits.connections, 1, 65536);
    reader.time_ms("limits", "request_timeout_ms", settings.limits.request_timeout);
    reader.time_ms("limits", "idle_timeout_ms", settings.limits.idle_timeout);
    reader.time_ms("limits", "write_timeout_ms", settings.limits.write_timeout);
    reader.number("limits", "max_tokens", settings.max_tokens_limit, 1, 1024ULL * 1024);
    reader.time_ms("limits", "default_deadline_ms", settings.default_deadline);
    reader.time_ms("limits", "stream_silence_ms", settings.stream_silence);
}

void read_coordination(settings_reader& reader, coordination_settings& settings) {
    const std::string section = "coordination";
    reader.time_ms(section, "heartbeat_interval_ms", settings.heartbeat_interval);
    reader.time_ms(section, "suspect_after_ms", settings.suspect_after);
    reader.time_ms(section, "settle_time_ms", settings.settle_time);
    reader.time_ms(section, "rebalance_interval_ms", settings.rebalance_interval);
    reader.time_ms(section, "request_life_limit_ms", settings.request_life_limit);
    reader.time_ms(section, "uncertain_hold_ms", settings.uncertain_hold);
    reader.number(section, "attempt_limit", settings.attempt_limit, 1, 100);
    reader.time_ms(section, "unrouted_limit_ms", settings.unrouted_limit);
    reader.time_ms(section, "cancel_grace_ms", settings.cancel_grace);
    reader.time_ms(section, "claim_limit_ms", settings.claim_limit);
    reader.number(section, "credit_window", settings.credit_window, 2, 65536);
    reader.number(section, "watchers_per_data_centre", settings.watchers_per_data_centre, 1, 100);
    const std::string policy = "policy";
    std::string placement = "cost";
    reader.text(policy, "placement", placement);
    if (placement != "cost" && placement != "least_outstanding") {
        reader.add_error(policy, "placement", "cost or least_outstanding");
    }
    settings.placement = placement == "cost" ? placement_policy::cost : placement_policy::least_outstanding;
    reader.number(policy, "queue_limit", settings.queue_limit, 1, 100'000);
    reader.number(policy, "long_tokens", settings.long_tokens, 1, 1'000'000);
    reader.share(policy, "long_share_percent", settings.long_share);
    reader.number(policy, "length_weight", settings.length_weight, 0, 1000);
    reader.number(policy, "standby_intents", settings.standby_intents, 1, 64);
    reader.time_ms(policy, "eviction_idle_ms", settings.eviction_idle);
    reader.time_ms(policy, "load_backoff_ms", settings.load_backoff);
    reader.time_ms(policy, "load_time_ms", settings.load_time);
    reader.time_ms(policy, "remote_penalty_ms", settings.remote_penalty);
    reader.number(policy, "crash_limit", settings.crash_limit, 1, 100);
}

} // namespace

std::optional<daemon_settings> parse_settings(const std::string& text, std::vector<std::string>& errors) {
    errors.clear();
    daemon_settings settings;
    settings_reader reader{text, errors};
    if (!reader.parse()) {
        return std::nullopt;
    }
    read_identity(reader, settings);
    reader.address("platform", "address", settings.platform_address, true);
    reader.peers(settings.seed_peers);
    read_limits(reader, settings);
    reader.time_ms("stop", "balancer_lag_ms", settings.balancer_lag);
    reader.time_ms("stop", "drain_limit_ms", settings.drain_limit);
    reader.text("log", "level", settings.log_level);
    read_coordination(reader, settings.coordination);
    reader.reject_unknown();
    if (!errors.empty()) {
        return std::nullopt;
    }
    settings.identity.start = start_id{random_identifier()};
    return settings;
}

} // namespace lovageledge
