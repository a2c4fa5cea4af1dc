#include "lovageledge/serving/server_selector.hpp"

#include <algorithm>

namespace lovageledge {
namespace {

/** Number of recorded prompt parts per server; about as many as an engine caches. */
constexpr std::size_t max_prompt_parts_per_server = 200;
/** Added to the cost of avoided servers, so that they are chosen only if no other server is left. */
constexpr auto avoided_penalty = std::chrono::seconds{5};
/** Number of other gateways that must avoid a server before this one does, because a single gateway may
    itself be cut off from the server. */
constexpr std::uint32_t min_avoiding_gateways = 2;

duration milliseconds_of(double value) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{value});
}

/** Leaves the time exactly as it is for a server of middle speed. */
duration scaled(duration time, double factor) {
    return factor == 1.0 ? time : std::chrono::duration_cast<duration>(time * factor);
}

void remove_oldest_prompt_part(backend& server) {
    const auto oldest =
        std::min_element(server.sent_prompt_parts.begin(), server.sent_prompt_parts.end(),
                         [](const auto& left, const auto& right) { return left.second < right.second; });
    server.sent_prompt_parts.erase(oldest);
}

} // namespace

server_selector::server_selector(selector_settings settings,
                                 std::function<bool(const data_centre_name&)> is_local)
    : settings_{settings}, is_local_{std::move(is_local)} {
    estimate_ = [this](const backend& server, const selection_request& request, time_point now) {
        return request.needs_weights() ? estimate_engine(server, request, now)
                                       : estimate_plain_service(server, now);
    };
}

std::uint32_t server_selector::uncached_tokens(const backend& server, const selection_request& request,
                                               time_point now) const {
    std::uint32_t cached = 0;
    for (const prompt_part& part : request.prompt_parts) {
        const auto sent = server.sent_prompt_parts.find({request.weights, part.id});
        if (sent == server.sent_prompt_parts.end() || sent->second + settings_.prompt_part_lifetime < now) {
            break;
        }
        cached += part.tokens;
    }
    return request.prompt_tokens > cached ? request.prompt_tokens - cached : 0;
}

duration server_selector::estimate_engine(const backend& server, const selection_request& request,
                                          time_point now) const {
    const double tokens =
        static_cast<double>(server.total_pending_tokens()) + uncached_tokens(server, request, now);
    const duration prefill_time =
        milliseconds_of(tokens / settings_.prefill_tokens_per_ms * server.speed.response);
    duration estimate = prefill_time;
    if (prefill_time > settings_.pause_free_reading) {
        // Streams running on the engine pause while it reads prompts, so all of them are delayed.
        estimate += (prefill_time - settings_.pause_free_reading) * server.total_streaming() *
                    settings_.pause_weight_percent / 100;
    }
    estimate += scaled(settings_.engine_running * server.total_in_flight(), server.speed.event_interval);
    if (server.load_reported_at + settings_.load_report_lifetime >= now) {
        estimate += scaled(settings_.engine_waiting * server.load.waiting, server.speed.response);
    }
    return estimate;
}

double server_selector::plain_pace(const backend& server, time_point now) const {
    const bool is_report_valid = server.load_reported_at + settings_.load_report_lifetime >= now;
    return is_report_valid ? server.load.pace_percent / 100.0 : server.speed.response;
}

duration server_selector::estimate_plain_service(const backend& server, time_point now) const {
    const bool is_report_valid = server.load_reported_at + settings_.load_report_lifetime >= now;
    const std::uint32_t reported = is_report_valid ? server.load.running + server.load.waiting : 0;
    const std::uint32_t busy = std::max(server.total_in_flight(), reported);
    const double service_rounds = 1.0 + static_cast<double>(busy) / std::max(1U, server.listing.slots);
    return std::chrono::duration_cast<duration>(settings_.plain_service_time *
                                                (service_rounds * plain_pace(server, now)));
}

bool server_selector::holds(const backend& server, const version_registry& versions,
                            const selection_request& request, time_point now) {
    if (!request.needs_weights()) {
        return true;
    }
    const auto held = server.listing.weights.version_of(request.weights);
    const auto required = versions.required(request.weights, now, request.longest_wait);
    return held && (!required || *held >= *required);
}

bool server_selector::is_outdated(const backend& server, const version_registry& versions,
                                  const selection_request& request) {
    const auto held = server.listing.weights.version_of(request.weights);
    const auto newest = versions.newest(request.weights);
    return newest && held.value_or(0) < *newest;
}

duration server_selector::load_penalty(const backend& server, const selection_request& request, bool is_warm,
                                       time_point now) const {
    duration penalty = duration::zero();
    if (!is_warm) {
        const double divisor = 1.0 + request.demand / settings_.fetch_shared_by;
        penalty = std::chrono::duration_cast<duration>(settings_.fetch_penalty / divisor);
    }
    if (server.available_adapter_slots(request.adapter_slots_per_server) == 0) {
        penalty += settings_.no_place_penalty;
    } else if (server.listing.weights.adapters.size() >= request.adapter_slots_per_server) {
        penalty += settings_.displacement_penalty;
    }
    if (server.loads_blocked_until > now) {
        penalty += settings_.blocked_load_penalty;
    }
    return penalty;
}

duration server_selector::spread_cost(const backend& server, std::uint64_t request_key) const {
    constexpr std::uint64_t steps = 256;
    const std::uint64_t step = rendezvous_weight(request_key, server.name_hash) % steps;
    return settings_.spread * step / steps;
}

const backend* server_selector::find_home(const std::vector<backend*>& candidates, const adapter_ref& ref) {
    const std::uint64_t key = stable_hash(ref.model + "/" + ref.adapter);
    const backend* home = nullptr;
    std::uint64_t home_weight = 0;
    for (const backend* server : candidates) {
        const std::uint64_t weight = rendezvous_weight(key, server->name_hash);
        if (home == nullptr || weight > home_weight) {
            home = server;
            home_weight = weight;
        }
    }
    return home;
}

std::optional<server_choice> server_selector::pick(backend_directory& directory,
                                                   const version_registry& versions,
                                                   const selection_request& request, time_point now) const {
    std::optional<server_choice> best;
    duration best_cost{};
    const auto candidates = directory.usable_servers(request.service);
    const backend* home = request.needs_weights() ? find_home(candidates, request.weights) : nullptr;
    const std::uint64_t request_key = stable_hash(request.id.text());
    for (const backend* server : candidates) {
        if (server->is_paused(now) || request.excluded.contains(server->listing.name)) {
            continue;
        }
        const bool is_base_missing =
            request.needs_weights() && !server->listing.weights.models.contains(request.weights.model);
        if (is_base_missing) {
            continue;
        }
        const auto wait =
            request.wait_for_room ? request.wait_for_room(*server) : std::optional{duration::zero()};
        if (!wait) {
            continue;
        }
        server_choice choice{server->listing.name, !holds(*server, versions, request, now),
                             !is_local_(server->listing.zone), estimate_(*server, request, now)};
        duration cost = choice.estimate + *wait + spread_cost(*server, request_key);
        if (choice.needs_load) {
            const bool is_warm =
                server->cached_adapters.contains(request.weights) && !is_outdated(*server, versions, request);
            const duration load = is_warm ? settings_.warm_load : settings_.cold_load;
            choice.estimate += load;
            cost += load + load_penalty(*server, request, is_warm, now);
        }
        if (choice.needs_load && server != home && !server->cached_adapters.contains(request.weights)) {
            cost += settings_.other_home;
        }
        if (choice.is_remote) {
            cost +=
                request.needs_weights() ? settings_.remote_engine_penalty : settings_.remote_plain_penalty;
        }
        if (server->is_avoided(now) || server->avoided_by_others() >= min_avoiding_gateways) {
            cost += avoided_penalty;
        }
        const bool is_held_back = has_allowance_ && !has_allowance_(*server, now);
        if (server->full_until > now || is_held_back) {
            cost += settings_.full_penalty;
        }
        if (!best || cost < best_cost) {
            best = choice;
            best_cost = cost;
        }
    }
    return best;
}

void server_selector::record_sent_prompt(backend& server, const selection_request& request, time_point now) {
    for (const prompt_part& part : request.prompt_parts) {
        server.sent_prompt_parts[{request.weights, part.id}] = now;
    }
    while (server.sent_prompt_parts.size() > max_prompt_parts_per_server) {
        remove_oldest_prompt_part(server);
    }
}

} // namespace lovageledge
