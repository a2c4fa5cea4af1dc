#include "lovageledge/gateway/pace_monitor.hpp"

#include <spdlog/fmt/fmt.h>

namespace lovageledge {

void pace_monitor::update(std::size_t gateways) {
    state_.pace.set_gateways(gateways);
    for (const pace_change& change : state_.pace.take_changes()) {
        const std::string_view cause = change.reason ? to_text(*change.reason) : "lifted";
        state_.counters.count(fmt::format("server_pace_changes_total{{cause=\"{}\"}}", cause));
    }
    state_.counters.set("servers_limited_by_pace", state_.pace.limited_servers());
}

} // namespace lovageledge
