#include "lovageledge/gateway/speed_exchange.hpp"

#include <cmath>
#include <spdlog/fmt/fmt.h>

namespace lovageledge {
namespace {

/** Speeds change slowly, and in each heartbeat they would take much of a small gateway's link. */
constexpr auto report_interval = std::chrono::seconds{1};

void write(const speed_report& report, protocol::ServerSpeed& entry) {
    entry.set_server(report.server.text());
    entry.set_started_at(report.started_at);
    entry.set_response(static_cast<float>(report.response.log_factor));
    entry.set_response_weight(static_cast<float>(report.response.weight));
    entry.set_interval(static_cast<float>(report.event_interval.log_factor));
    entry.set_interval_weight(static_cast<float>(report.event_interval.weight));
}

/** @returns the evidence, or none if a field is not a usable number */
speed_deviation to_deviation(float log_factor, float weight) {
    const bool is_usable = std::isfinite(log_factor) && std::isfinite(weight) && weight > 0.0F;
    return is_usable ? speed_deviation{log_factor, weight} : speed_deviation{};
}

} // namespace

bool speed_exchange::is_due(const std::string& destination) {
    time_point& last = last_sent_[destination];
    if (last != time_point{} && state_.now() - last < report_interval) {
        return false;
    }
    last = state_.now();
    return true;
}

bool speed_exchange::append(speed_scope scope, protocol::SpeedList& list) const {
    for (const speed_report& report : state_.speeds.reports(scope, state_.now())) {
        write(report, *list.add_servers());
    }
    return true;
}

void speed_exchange::apply_list(speed_scope scope, const std::string& source,
                                const protocol::SpeedList& list) {
    std::vector<speed_report> reports;
    reports.reserve(static_cast<std::size_t>(list.servers_size()));
    for (const protocol::ServerSpeed& entry : list.servers()) {
        reports.push_back({server_name{entry.server()}, entry.started_at(),
                           to_deviation(entry.response(), entry.response_weight()),
                           to_deviation(entry.interval(), entry.interval_weight())});
    }
    state_.speeds.on_report(scope, source, std::move(reports), state_.now());
}

void speed_exchange::update() {
    const time_point now = state_.now();
    state_.speeds.sample_work(state_.directory, now);
    if (now - last_update_ < report_interval) {
        return;
    }
    last_update_ = now;
    for (const backend* server : state_.speeds.update(state_.directory, now)) {
        const speed_estimate& speed = server->speed;
        state_.log.write(event::backend_speed_changed,
                         fmt::format("server={} service={} response_factor={:.2f} interval_factor={:.2f} "
                                     "response_confidence={:.2f} interval_confidence={:.2f}",
                                     server->listing.name.text(), server->listing.service.text(),
                                     speed.response, speed.event_interval, speed.response_confidence,
                                     speed.event_interval_confidence));
    }
    std::uint64_t slower = 0;
    std::uint64_t faster = 0;
    for (const auto& [name, server] : state_.directory.servers()) {
        slower += server.speed.response > 1.0 ? 1 : 0;
        faster += server.speed.response < 1.0 ? 1 : 0;
    }
    state_.counters.set("servers_by_speed{speed=\"slower\"}", slower);
    state_.counters.set("servers_by_speed{speed=\"faster\"}", faster);
}

} // namespace lovageledge
