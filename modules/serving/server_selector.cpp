#include "lovageledge/serving/server_selector.hpp"

#include <algorithm>

namespace lovageledge {
namespace {

/** Prompt parts that are remembered for each server; about what an engine's memory keeps. */
constexpr std::size_t remembered_parts = 200;
/** Added to servers that failed lately, so that they are chosen only if nothing else is left. */
constexpr auto avoided_penalty = std::chrono::seconds{5};
/** Other gateways that must avoid a server before it is avoided here: a single one may itself be cut off. */
constexpr std::uint32_t avoiding_gateways = 2;

duration milliseconds_of(double value) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{value});
}

void forget_oldest_part(backend& server) {
    const auto oldest =
        std::min_element(server.prompt_parts.begin(), server.prompt_parts.end(),
                         [](const auto& left, const auto& right) { return left.second < right.second; });
    server.prompt_parts.erase(oldest);
}

} // namespace

server_selector::server_selector(selector_settings settings,
                                 std::function<bool(const data_centre_name&)> is_local)
    : settings_{settings}, is_local_{std::move(is_local)} {
    estimate_ = [this](const backend& server, const selection_request& work, time_point now) {
        return work.needs_weights() ? estimate_engine(server, work, now) : estimate_plain(server, now);
    };
}

std::uint32_t server_selector::uncached_tokens(const backend& server, const selection_request& work,
                                               time_point now) const {
    std::uint32_t kept = 0;
    for (const prompt_part& part : work.prompt_parts) {
        const auto sent = server.prompt_parts.find({work.weights, part.id});
        if (sent == server.prompt_parts.end() || sent->second + settings_.part_kept < now) {
            break;
        }
        kept += part.tokens;
    }
    return work.prompt_tokens > kept ? work.prompt_tokens - kept : 0;
}

duration server_selector::estimate_engine(const backend& server, const selection_request& work,
                                          time_point now) const {
    const double tokens =
        static_cast<double>(server.total_pending_tokens()) + uncached_tokens(server, work, now);
    const duration reading = milliseconds_of(tokens / settings_.prefill_tokens_per_ms);
    duration estimate = reading;
    if (reading > settings_.pause_free_reading) {
        // Streams that run there pause while prompts are read: all of them become late.
        estimate += (reading - settings_.pause_free_reading) * server.total_streaming() *
                    settings_.pause_weight_percent / 100;
    }
    estimate += settings_.engine_running * server.total_in_flight();
    if (server.load_reported_at + settings_.report_valid >= now) {
        estimate += settings_.engine_waiting * server.load.waiting;
    }
    return estimate;
}

duration server_selector::estimate_plain(const backend& server, time_point now) const {
    const bool is_report_valid = server.load_reported_at + settings_.report_valid >= now;
    const std::uint32_t reported = is_report_valid ? server.load.running + server.load.waiting : 0;
    const std::uint32_t busy = std::max(server.total_in_flight(), reported);
    const double pace = is_report_valid ? server.load.pace_percent / 100.0 : 1.0;
    const double rounds = 1.0 + static_cast<double>(busy) / std::max(1U, server.listing.slots);
    return std::chrono::duration_cast<duration>(settings_.plain_work * (rounds * pace));
}

bool server_selector::holds(const backend& server, const version_registry& versions,
                            const selection_request& work, time_point now) {
    if (!work.needs_weights()) {
        return true;
    }
    const auto held = server.listing.weights.version_of(work.weights);
    const auto required = versions.required(work.weights, now);
    return held && (!required || *held >= *required);
}

bool server_selector::is_outdated(const backend& server, const version_registry& versions,
                                  const selection_request& work) {
    const auto held = server.listing.weights.version_of(work.weights);
    const auto newest = versions.newest(work.weights);
    return newest && held.value_or(0) < *newest;
}

duration server_selector::load_penalty(const backend& server, const selection_request& work, bool is_warm,
                                       time_point now) const {
    duration penalty = duration::zero();
    if (!is_warm) {
        const double share = 1.0 + work.demand / settings_.fetch_shared_by;
        penalty = std::chrono::duration_cast<duration>(settings_.fetch_penalty / share);
    }
    if (server.available_places(work.adapter_slots_per_server) == 0) {
        penalty += settings_.no_place_penalty;
    } else if (server.listing.weights.adapters.size() >= work.adapter_slots_per_server) {
        penalty += settings_.displacement_penalty;
    }
    if (server.loads_blocked_until > now) {
        penalty += settings_.blocked_load_penalty;
    }
    return penalty;
}

duration server_selector::spread_of(const backend& server, std::uint64_t request_key) const {
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
                                                   const selection_request& work, time_point now) const {
    std::optional<server_choice> best;
    duration best_cost{};
    const auto candidates = directory.usable(work.service);
    const backend* home = work.needs_weights() ? find_home(candidates, work.weights) : nullptr;
    const std::uint64_t request_key = stable_hash(work.id.text());
    for (const backend* server : candidates) {
        if (work.excluded.contains(server->listing.name)) {
            continue;
        }
        const bool is_base_missing =
            work.needs_weights() && !server->listing.weights.models.contains(work.weights.model);
        if (is_base_missing) {
            continue;
        }
        server_choice choice{server->listing.name, !holds(*server, versions, work, now),
                             !is_local_(server->listing.zone), estimate_(*server, work, now)};
        duration cost = choice.estimate + spread_of(*server, request_key);
        if (choice.needs_load) {
            const bool is_warm =
                server->held_before.contains(work.weights) && !is_outdated(*server, versions, work);
            const duration load = is_warm ? settings_.warm_load : settings_.cold_load;
            choice.estimate += load;
            cost += load + load_penalty(*server, work, is_warm, now);
        }
        if (choice.needs_load && server != home && !server->held_before.contains(work.weights)) {
            cost += settings_.other_home;
        }
        if (choice.is_remote) {
            cost += work.needs_weights() ? settings_.remote_engine_penalty : settings_.remote_plain_penalty;
        }
        if (server->is_avoided(now) || server->avoided_by_others() >= avoiding_gateways) {
            cost += avoided_penalty;
        }
        if (server->full_until > now) {
            cost += settings_.full_penalty;
        }
        if (!best || cost < best_cost) {
            best = choice;
            best_cost = cost;
        }
    }
    return best;
}

void server_selector::record_sent_prompt(backend& server, const selection_request& work, time_point now) {
    for (const prompt_part& part : work.prompt_parts) {
        server.prompt_parts[{work.weights, part.id}] = now;
    }
    while (server.prompt_parts.size() > remembered_parts) {
        forget_oldest_part(server);
    }
}

} // namespace lovageledge
