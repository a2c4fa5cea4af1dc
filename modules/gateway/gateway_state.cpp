#include "lovageledge/gateway/gateway_state.hpp"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace lovageledge {

gateway_state::gateway_state(gateway_settings given_settings, wire_codec given_codec,
                             platform_port given_platform)
    : settings{std::move(given_settings)}, memory{std::make_shared<memory_budget>(
                                               settings.message_memory(),
                                               [this](memory_use use, std::size_t bytes) {
                                                   on_given_up(use, bytes);
                                               })},
      codec{std::move(given_codec)}, platform{std::move(given_platform)}, store{platform.store},
      selector{settings.selector, [this](const data_centre_name& name) { return is_local(name); }},
      pace{settings.pace, settings.name.text()} {
    selector.set_allowance_function(
        [this](const backend& server, time_point at) { return pace.allowance(server.listing.name, at) > 0; });
    retries.set_allowance(settings.retries);
    versions.set_limit(settings.version_limit);
    crashes.set_on_withdrawn([this](const withdrawn_sighting& sighting) {
        counters.count(fmt::format("crash_sightings_withdrawn_total{{reason=\"{}\"}}", sighting.reason));
        log.write(event::fingerprint_cleared,
                  fmt::format("fingerprint={:016x} kind={} server_start={:016x} reason={} crashes={}",
                              sighting.suspect.digest, to_text(sighting.suspect.kind),
                              sighting.server_start.digest, sighting.reason, sighting.remaining_crashes));
    });
}

void gateway_state::on_given_up(memory_use use, std::size_t bytes) {
    counters.count(fmt::format("messages_given_up_total{{use=\"{}\"}}", to_text(use)));
    log.write(event::message_given_up, fmt::format("use={} bytes={} held_bytes={} limit_bytes={}",
                                                   to_text(use), bytes, memory->held(), memory->capacity()));
}

bool gateway_state::is_local(const data_centre_name& data_centre) const {
    const auto& local = settings.local_data_centres;
    return data_centre == settings.data_centre ||
           std::find(local.begin(), local.end(), data_centre) != local.end();
}

} // namespace lovageledge
