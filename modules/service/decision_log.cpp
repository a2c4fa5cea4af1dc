#include "lovageledge/service/decision_log.hpp"

#include <spdlog/spdlog.h>

namespace lovageledge {
std::string event_name(event number) {
    switch (number) {
    case event::instance_started:
        return "instance_started";
    case event::instance_stopping:
        return "instance_stopping";
    case event::instance_stopped:
        return "instance_stopped";
    case event::peer_suspected:
        return "peer_suspected";
    case event::peer_returned:
        return "peer_returned";
    case event::peer_restarted:
        return "peer_restarted";
    case event::configuration_adopted:
        return "configuration_adopted";
    case event::configuration_rejected:
        return "configuration_rejected";
    case event::keys_outdated:
        return "keys_outdated";
    case event::keys_current:
        return "keys_current";
    case event::ownership_taken:
        return "ownership_taken";
    case event::ownership_lost:
        return "ownership_lost";
    case event::ownership_handed_over:
        return "ownership_handed_over";
    case event::holder_drained:
        return "holder_drained";
    case event::server_ready:
        return "server_ready";
    case event::server_lost:
        return "server_lost";
    case event::server_leaving:
        return "server_leaving";
    case event::request_routed:
        return "request_routed";
    case event::request_refused:
        return "request_refused";
    case event::request_finished:
        return "request_finished";
    case event::request_retried:
        return "request_retried";
    case event::request_claimed:
        return "request_claimed";
    case event::request_duplicate:
        return "request_duplicate";
    case event::request_cancelled:
        return "request_cancelled";
    case event::message_given_up:
        return "message_given_up";
    case event::connections_closed:
        return "connections_closed";
    case event::usage_cap_reached:
        return "usage_cap_reached";
    case event::usage_cap_relieved:
        return "usage_cap_relieved";
    case event::request_unanswered:
        return "request_unanswered";
    case event::requests_waiting:
        return "requests_waiting";
    case event::adapter_load_ordered:
        return "adapter_load_ordered";
    case event::adapter_load_failed:
        return "adapter_load_failed";
    case event::adapter_evict_ordered:
        return "adapter_evict_ordered";
    case event::adapter_uncertain:
        return "adapter_uncertain";
    case event::evict_intents_recorded:
        return "evict_intents_recorded";
    case event::load_budget_granted:
        return "load_budget_granted";
    case event::fingerprint_suspected:
        return "fingerprint_suspected";
    case event::fingerprint_quarantined:
        return "fingerprint_quarantined";
    case event::fingerprint_cleared:
        return "fingerprint_cleared";
    case event::settings_reloaded:
        return "settings_reloaded";
    case event::event_loop_delayed:
        return "event_loop_delayed";
    case event::dependency_lost:
        return "dependency_lost";
    case event::reading_source_changed:
        return "reading_source_changed";
    case event::dependency_regained:
        return "dependency_regained";
    case event::backend_listed:
        return "backend_listed";
    case event::backend_dropped:
        return "backend_dropped";
    case event::backend_entry_rejected:
        return "backend_entry_rejected";
    case event::backend_avoided:
        return "backend_avoided";
    case event::backend_leaving:
        return "backend_leaving";
    case event::backend_paused:
        return "backend_paused";
    case event::backend_header_malformed:
        return "backend_header_malformed";
    case event::backend_speed_changed:
        return "backend_speed_changed";
    case event::order_domain_taken:
        return "order_domain_taken";
    case event::order_domain_lost:
        return "order_domain_lost";
    case event::order_authority_gained:
        return "order_authority_gained";
    case event::order_authority_lost:
        return "order_authority_lost";
    case event::version_announced:
        return "version_announced";
    }
    return "unknown";
}

void decision_log::write(event number, std::string_view text) {
    std::string line = fmt::format("event={} {} {}", static_cast<int>(number), event_name(number), text);
    spdlog::info(line);
    if (capacity_ == 0) {
        return;
    }
    const std::scoped_lock lock{mutex_};
    lines_.push_back(std::move(line));
    if (lines_.size() > capacity_) {
        lines_.pop_front();
    }
}

std::vector<std::string> decision_log::find(const std::string& text) const {
    std::vector<std::string> found;
    const std::scoped_lock lock{mutex_};
    for (const std::string& line : lines_) {
        if (line.find(text) != std::string::npos) {
            found.push_back(line);
        }
    }
    return found;
}

} // namespace lovageledge
