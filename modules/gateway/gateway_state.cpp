#include "lovageledge/gateway/gateway_state.hpp"

#include <algorithm>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace lovageledge {
namespace {

/** Least time between two log lines about closed connections, of which a crowd causes thousands a second. */
constexpr auto closed_log_interval = std::chrono::seconds{1};

/** @returns a name from the configuration as it may stand between quotes in metrics and log lines */
std::string escaped(const std::string& name) {
    std::string text;
    for (const char character : name) {
        if (character == '"' || character == '\\') {
            text += '\\';
        }
        text += static_cast<unsigned char>(character) < ' ' ? ' ' : character;
    }
    return text;
}

} // namespace

gateway_state::gateway_state(gateway_settings given_settings, wire_codec given_codec,
                             platform_port given_platform)
    : settings{std::move(given_settings)}, memory{std::make_shared<memory_budget>(
                                               settings.message_memory(),
                                               [this](memory_use use, std::size_t bytes) {
                                                   on_given_up(use, bytes);
                                               })},
      codec{std::move(given_codec)}, platform{std::move(given_platform)}, store{platform.store},
      selector{settings.selector, [this](const data_centre_name& name) { return is_local(name); }},
      pace{settings.pace, settings.name.text()}, caps{settings.caps} {
    selector.set_allowance_function(
        [this](const backend& server, time_point at) { return pace.allowance(server.listing.name, at) > 0; });
    retries.set_allowance(settings.retries);
    versions.set_limit(settings.version_limit);
    caps.set_on_refusing([this](const account_name& account, bool is_refusing, const cap_status& status) {
        log.write(is_refusing ? event::usage_cap_reached : event::usage_cap_relieved,
                  fmt::format("account=\"{}\" level={:.0f} demand_per_s={:.0f} rate_per_s={:.0f} contact={}",
                              escaped(account.text()), status.level, status.demand, status.rate,
                              status.is_in_contact));
    });
    crashes.set_on_withdrawn([this](const withdrawn_sighting& sighting) {
        counters.count(fmt::format("crash_sightings_withdrawn_total{{reason=\"{}\"}}", sighting.reason));
        log.write(event::fingerprint_cleared,
                  fmt::format("fingerprint={:016x} kind={} server_start={:016x} reason={} crashes={}",
                              sighting.suspect.digest, to_text(sighting.suspect.kind),
                              sighting.server_start.digest, sighting.reason, sighting.remaining_crashes));
    });
}

void gateway_state::set_instances(std::size_t count) {
    retries.set_instances(count);
    caps.set_registered(count);
}

void gateway_state::report_caps() {
    const time_point time = now_with_suspension();
    caps.tick(time);
    for (const auto& [name, status] : caps.status(time)) {
        const std::string label = fmt::format("{{account=\"{}\"}}", escaped(name.text()));
        counters.set("usage_admitted_total" + label, status.admitted);
        counters.set("usage_returned_total" + label, status.returned);
        counters.set("usage_refused_total" + label, status.refused);
        counters.set("usage_level" + label, static_cast<std::uint64_t>(std::max(0.0, status.level)));
        counters.set("usage_overdraft" + label, static_cast<std::uint64_t>(std::max(0.0, -status.level)));
    }
}

void gateway_state::on_given_up(memory_use use, std::size_t bytes) {
    counters.count(fmt::format("messages_given_up_total{{use=\"{}\"}}", to_text(use)));
    if (use == memory_use::connection) {
        return; // Counted and logged by on_connection_closed().
    }
    log.write(event::message_given_up, fmt::format("use={} bytes={} held_bytes={} limit_bytes={}",
                                                   to_text(use), bytes, memory->held(), memory->capacity()));
}

bool gateway_state::are_keys_current() {
    if (!settings.is_revocation_strict) {
        return true;
    }
    const std::optional<duration> age = store.configuration_age();
    const bool are_current = age && *age <= settings.revocation_limit;
    if (std::exchange(were_keys_current_, are_current) != are_current) {
        const auto to_ms = [](duration time) {
            return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
        };
        log.write(
            are_current ? event::keys_current : event::keys_outdated,
            fmt::format("age_ms={} limit_ms={}", age ? to_ms(*age) : -1, to_ms(settings.revocation_limit)));
    }
    return are_current;
}

void gateway_state::on_connection_closed(const char* cause) {
    counters.count(fmt::format("caller_connections_closed_total{{cause=\"{}\"}}", cause));
    ++unlogged_closed_[cause];
    const time_point at = now();
    if (closed_logged_at_ && at - *closed_logged_at_ < closed_log_interval) {
        return;
    }
    closed_logged_at_ = at;
    std::string text;
    for (const auto& [name, count] : unlogged_closed_) {
        text += fmt::format("{}={} ", name, count);
    }
    unlogged_closed_.clear();
    log.write(event::connections_closed,
              fmt::format("{}held_bytes={} limit_bytes={}", text, memory->held(), memory->capacity()));
}

bool gateway_state::is_local(const data_centre_name& data_centre) const {
    const auto& local = settings.local_data_centres;
    return data_centre == settings.data_centre ||
           std::find(local.begin(), local.end(), data_centre) != local.end();
}

} // namespace lovageledge
