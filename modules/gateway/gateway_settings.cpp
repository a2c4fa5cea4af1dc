#include "lovageledge/gateway/gateway_settings.hpp"

#include "lovageledge/service/settings_reader.hpp"

#include <algorithm>
#include <charconv>
#include <spdlog/fmt/fmt.h>
#include <sstream>

namespace lovageledge {
namespace {

/** Reads a number that may be integral or fractional, as the platform writes ratios and factors. */
void read_fraction(settings_reader& reader, const std::string& section, const std::string& key,
                   double& target) {
    const auto value = reader.find(section, key);
    if (!value) {
        return;
    }
    double parsed = 0.0;
    const auto [end, code] = std::from_chars(value->data(), value->data() + value->size(), parsed);
    if (code != std::errc{} || end != value->data() + value->size() || parsed < 0.0) {
        reader.add_error(section, key, "a number of 0 or more");
        return;
    }
    target = parsed;
}

void read_seconds(settings_reader& reader, const std::string& key, duration& target) {
    double seconds = std::chrono::duration<double>(target).count();
    read_fraction(reader, "bounds", key, seconds);
    target = std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds});
}

/** Reads the data centres of a region from the lines DATA_CENTRE = REGION of section [data_centres]. */
std::vector<data_centre_name> read_local_data_centres(const std::string& text, const region_name& region,
                                                      settings_reader& reader) {
    std::vector<data_centre_name> local;
    std::istringstream lines{text};
    std::string section;
    for (std::string line; std::getline(lines, line);) {
        if (!line.empty() && line.front() == '[') {
            section = line.substr(1, line.find(']') - 1);
            continue;
        }
        const std::size_t equals = line.find('=');
        if (section != "data_centres" || equals == std::string::npos) {
            continue;
        }
        std::string name = line.substr(0, equals);
        name.erase(name.find_last_not_of(' ') + 1);
        const auto value = reader.find("data_centres", name);
        if (value && *value == region.text()) {
            local.emplace_back(name);
        }
    }
    return local;
}

void read_policy(settings_reader& reader, gateway_settings& settings) {
    const std::string section = "policy";
    selector_settings& selector = settings.selector;
    read_fraction(reader, section, "prefill_tokens_per_ms", selector.prefill_tokens_per_ms);
    reader.time_ms(section, "cold_load_ms", selector.cold_load);
    reader.time_ms(section, "warm_load_ms", selector.warm_load);
    reader.time_ms(section, "fetch_penalty_ms", selector.fetch_penalty);
    reader.time_ms(section, "displacement_penalty_ms", selector.displacement_penalty);
    reader.time_ms(section, "no_place_penalty_ms", selector.no_place_penalty);
    reader.time_ms(section, "full_penalty_ms", selector.full_penalty);
    reader.time_ms(section, "blocked_load_penalty_ms", selector.blocked_load_penalty);
    reader.time_ms(section, "remote_engine_penalty_ms", selector.remote_engine_penalty);
    reader.time_ms(section, "remote_plain_penalty_ms", selector.remote_plain_penalty);
    reader.time_ms(section, "engine_waiting_ms", selector.engine_waiting);
    reader.time_ms(section, "engine_running_ms", selector.engine_running);
    reader.time_ms(section, "other_home_ms", selector.other_home);
    reader.number(section, "fetch_shared_by", selector.fetch_shared_by, 1, 1'000'000);
    reader.time_ms(section, "spread_ms", selector.spread);
    reader.time_ms(section, "pause_free_reading_ms", selector.pause_free_reading);
    reader.number(section, "pause_weight_percent", selector.pause_weight_percent, 0, 1000);
    reader.time_ms(section, "state_interval_ms", settings.state_interval);
    reader.time_ms(section, "recent_use_ms", settings.planner.recent_use);
    reader.time_ms(section, "load_wait_ms", settings.load_wait);
    reader.share(section, "wait_share_percent", settings.wait_share);
}

/** Reads a number within limits, integral or fractional. */
void read_number(settings_reader& reader, const std::string& section, const std::string& key, double& target,
                 double minimum, double maximum) {
    const std::size_t errors = reader.error_count();
    double value = target;
    read_fraction(reader, section, key, value);
    if (reader.error_count() != errors) {
        return;
    }
    if (!(value >= minimum && value <= maximum)) {
        reader.add_error(section, key, fmt::format("a number from {} to {}", minimum, maximum));
        return;
    }
    target = value;
}

void read_caps(settings_reader& reader, cap_settings& caps) {
    double window_s = std::chrono::duration<double>(caps.window).count();
    read_number(reader, "caps", "window_s", window_s, 1.0, 3600.0);
    caps.window = std::chrono::duration_cast<duration>(std::chrono::duration<double>{window_s});
    read_number(reader, "caps", "tolerance", caps.tolerance, 0.0, 1.0);
    read_number(reader, "caps", "slack", caps.slack, 0.0, 1e12);
}

constexpr std::size_t process_memory = 20'000'000;
constexpr std::size_t min_socket_buffer_bytes = std::size_t{16} * 1024;
constexpr std::size_t max_socket_buffer_bytes = std::size_t{64} * 1024;

} // namespace

std::size_t gateway_settings::message_memory() const {
    const std::size_t all = std::size_t{memory_mb} * 1'000'000;
    // A process without callers takes up to 17 MB. The allocator loses up to a third to fragmentation.
    const std::size_t left = all - std::min(all, process_memory);
    return std::max(all / 4, left * 5 / 8);
}

std::uint32_t gateway_settings::socket_buffer_bytes() const {
    const std::size_t quarter = message_memory() / connections / 4;
    return static_cast<std::uint32_t>(std::clamp(quarter, min_socket_buffer_bytes, max_socket_buffer_bytes));
}

std::optional<gateway_settings> parse_gateway_settings(const std::string& text,
                                                       std::vector<std::string>& errors) {
    errors.clear();
    gateway_settings settings;
    settings_reader reader{text, errors};
    if (!reader.parse()) {
        return std::nullopt;
    }
    std::string name;
    std::string data_centre;
    std::string region;
    reader.text("instance", "name", name, true);
    reader.text("instance", "data_centre", data_centre, true);
    reader.text("instance", "region", region, true);
    reader.address("instance", "caller_address", settings.caller_address, true);
    reader.address("instance", "readiness_address", settings.readiness_address, true);
    reader.address("instance", "peer_address", settings.peer_address, true);
    reader.address("instance", "metrics_address", settings.metrics_address, false);
    reader.address("platform", "address", settings.platform_address, true);
    settings.name = instance_name{name};
    settings.data_centre = data_centre_name{data_centre};
    settings.region = region_name{region};
    settings.local_data_centres = read_local_data_centres(text, settings.region, reader);
    read_seconds(reader, "stop_limit_s", settings.stop_limit);
    reader.time_ms("bounds", "leaving_limit_ms", settings.leaving_limit);
    reader.time_ms("bounds", "configuration_limit_ms", settings.configuration_limit);
    reader.time_ms("bounds", "version_limit_ms", settings.version_limit);
    reader.flag("bounds", "revocation_strict", settings.is_revocation_strict);
    reader.time_ms("bounds", "revocation_limit_ms", settings.revocation_limit);
    read_fraction(reader, "bounds", "retry_ratio", settings.retries.ratio);
    read_fraction(reader, "bounds", "retry_extra", settings.retries.extra);
    read_seconds(reader, "retry_window_s", settings.retries.window);
    reader.time_ms("bounds", "order_lease_ms", settings.succession.order_lease);
    reader.flag("bounds", "servers_check_fences", settings.succession.servers_check_fences);
    read_policy(reader, settings);
    read_caps(reader, settings.caps);
    reader.flag("waiting", "bounded", settings.is_waiting_bounded);
    reader.flag("pace", "enabled", settings.pace.enabled);
    reader.number("pace", "initial_requests", settings.pace.initial_requests, 1, 100'000);
    reader.text("log", "level", settings.log_level);
    read_fraction(reader, "limits", "link_mbps", settings.link_mbps);
    reader.number("limits", "connections", settings.connections, 16, 1'000'000);
    reader.number("limits", "memory_mb", settings.memory_mb, gateway_settings::min_memory_mb,
                  gateway_settings::max_memory_mb);
    reader.share("limits", "address_share_percent", settings.address_share);
    reader.time_ms("limits", "unread_response_ms", settings.unread_response);
    reader.reject_unknown();
    if (!errors.empty()) {
        return std::nullopt;
    }
    settings.start = start_id{random_identifier()};
    return settings;
}

} // namespace lovageledge
