#include "lovageledge/serving/backend_directory.hpp"

#include <algorithm>

namespace lovageledge {
namespace {

/** First pause after a failure; short, since most failures are single lost connections. */
constexpr auto first_avoidance = std::chrono::milliseconds{250};
/** Longest pause; below the three check-ins after which the platform drops a silent server. */
constexpr auto longest_avoidance = std::chrono::milliseconds{2000};
constexpr std::uint32_t doublings_limit = 3;
/** Adapters that an engine keeps in its host's memory, about; the platform does not tell the number. */
constexpr std::size_t remembered_adapters = 50;
/** What a holder told goes before the platform's entry for this long: entries lag by a check-in and more. */
constexpr auto holder_word_valid = std::chrono::seconds{4};
/** A server that begins no answer for this long, while it has requests, is taken to hang; well beyond the
    latency targets of the services, and far below their callers' deadlines. */
constexpr auto stall_limit = std::chrono::milliseconds{1500};
/** Pause after a full server refused a request; about the time of a few of its requests. */
constexpr auto refused_avoidance = std::chrono::milliseconds{100};

} // namespace

std::optional<std::uint64_t> held_weights::version_of(const adapter_ref& ref) const {
    if (ref.is_base()) {
        const auto model = models.find(ref.model);
        return model == models.end() ? std::nullopt : std::optional{model->second};
    }
    const auto adapter = adapters.find(ref);
    return adapter == adapters.end() ? std::nullopt : std::optional{adapter->second};
}

bool backend::is_avoided(time_point now) const {
    return avoid_until > now || (unanswered > 0 && now - last_progress > stall_limit);
}

std::uint32_t backend::avoided_by_others() const {
    std::uint32_t total = 0;
    for (const auto& [peer, work] : peer_work) {
        total += work.avoided_by;
    }
    return total;
}

std::uint32_t backend::total_in_flight() const {
    std::uint32_t total = in_flight;
    for (const auto& [peer, work] : peer_work) {
        total += work.in_flight;
    }
    return total;
}

std::uint32_t backend::total_streaming() const {
    std::uint32_t total = streaming;
    for (const auto& [peer, work] : peer_work) {
        total += work.streaming;
    }
    return total;
}

std::uint64_t backend::total_pending_tokens() const {
    std::uint64_t total = pending_tokens;
    for (const auto& [peer, work] : peer_work) {
        total += work.pending_tokens;
    }
    return total;
}

bool backend::peers_use(const adapter_ref& ref) const {
    return std::any_of(peer_work.begin(), peer_work.end(),
                       [&](const auto& entry) { return entry.second.in_use.contains(ref); });
}

std::size_t backend::used_places() const {
    std::size_t used = 0;
    for (const auto& [ref, version] : listing.weights.adapters) {
        used += is_in_use(ref) ? 1 : 0;
    }
    for (const auto& [peer, work] : peer_work) {
        used = std::max<std::size_t>(used, work.used_places);
    }
    return used;
}

std::size_t backend::available_places(std::size_t places) const {
    const std::size_t used = used_places();
    return places > used ? places - used : 0;
}

void backend::remember_weights(time_point now) {
    for (const auto& [ref, version] : listing.weights.adapters) {
        held_before[ref] = now;
    }
    while (held_before.size() > remembered_adapters) {
        held_before.erase(
            std::min_element(held_before.begin(), held_before.end(),
                             [](const auto& left, const auto& right) { return left.second < right.second; }));
    }
}

void backend_directory::clear_peer_work(const instance_name& peer) {
    for (auto& [name, server] : servers_) {
        server.peer_work.erase(peer);
    }
}

bool backend_directory::on_listed(server_listing listing, time_point now) {
    const auto known = servers_.find(listing.name);
    const bool is_new_start =
        known == servers_.end() || known->second.listing.started_at < listing.started_at;
    if (is_new_start) {
        backend fresh;
        fresh.is_leaving = listing.is_leaving;
        fresh.load_reported_at = now;
        fresh.name_hash = stable_hash(listing.name.text());
        fresh.listing = std::move(listing);
        fresh.remember_weights(now);
        servers_.insert_or_assign(fresh.listing.name, std::move(fresh));
        return true;
    }
    backend& server = known->second;
    if (server.listing.started_at > listing.started_at) {
        return false;
    }
    const bool was_usable = server.is_listed && !server.is_leaving;
    server.is_listed = true;
    server.is_leaving = server.is_leaving || listing.is_leaving;
    if (server.order_sequence && now - server.weights_told < holder_word_valid) {
        // The entry may have been written before orders whose outcome is known here. A base model that it
        // names has been loaded, since base models are not unloaded, and no further entry would tell of it.
        held_weights told = server.listing.weights;
        told.models.merge(listing.weights.models);
        listing.weights = std::move(told);
    }
    server.listing = std::move(listing);
    server.remember_weights(now);
    return was_usable != (server.is_listed && !server.is_leaving);
}

bool backend_directory::on_unlisted(const server_name& name) {
    backend* server = find(name);
    if (server == nullptr || !server->is_listed) {
        return false;
    }
    server->is_listed = false;
    if (server->in_flight == 0) {
        servers_.erase(name);
    }
    return true;
}

std::vector<server_name> backend_directory::retain(const std::set<server_name>& listed) {
    std::vector<server_name> dropped;
    for (const auto& [name, server] : servers_) {
        if (server.is_listed && !listed.contains(name)) {
            dropped.push_back(name);
        }
    }
    for (const server_name& name : dropped) {
        on_unlisted(name);
    }
    return dropped;
}

void backend_directory::on_leaving(const server_name& name, std::uint64_t started_at) {
    backend* server = find(name);
    if (server != nullptr && server->listing.started_at == started_at) {
        server->is_leaving = true;
    }
}

bool backend_directory::on_weights_reported(const server_name& name, std::uint64_t started_at,
                                            std::uint64_t sequence, held_weights weights, time_point now) {
    backend* server = find(name);
    const bool is_current = server != nullptr && server->listing.started_at == started_at &&
                            server->order_sequence.value_or(0) <= sequence;
    if (!is_current) {
        return false;
    }
    server->order_sequence = sequence;
    server->weights_told = now;
    server->listing.weights = std::move(weights);
    server->remember_weights(now);
    return true;
}

void backend_directory::on_adapter_missing(const server_name& name, const adapter_ref& ref) {
    backend* server = find(name);
    if (server == nullptr) {
        return;
    }
    if (ref.is_base()) {
        server->listing.weights.models.erase(ref.model);
    } else {
        server->listing.weights.adapters.erase(ref);
    }
}

void backend_directory::on_sent(const server_name& name, time_point now) {
    backend* server = find(name);
    if (server != nullptr && server->unanswered++ == 0) {
        server->last_progress = now;
    }
}

void backend_directory::on_response_started(const server_name& name, std::uint64_t started_at,
                                            time_point now) {
    backend* server = find(name);
    if (server != nullptr && server->listing.started_at == started_at && server->unanswered > 0) {
        --server->unanswered;
        server->last_progress = now;
    }
}

void backend_directory::on_success(const server_name& name) {
    backend* server = find(name);
    if (server != nullptr) {
        server->consecutive_failures = 0;
        server->avoid_until = {};
    }
}

void backend_directory::on_refused(const server_name& name, time_point now) {
    backend* server = find(name);
    if (server != nullptr) {
        server->full_until = now + refused_avoidance;
    }
}

std::uint32_t backend_directory::on_failure(const server_name& name, time_point now) {
    backend* server = find(name);
    if (server == nullptr) {
        return 0;
    }
    const std::uint32_t doublings = std::min(server->consecutive_failures, doublings_limit);
    server->avoid_until = now + std::min<duration>(first_avoidance * (1U << doublings), longest_avoidance);
    return ++server->consecutive_failures;
}

backend* backend_directory::find(const server_name& name) {
    const auto server = servers_.find(name);
    return server == servers_.end() ? nullptr : &server->second;
}

const backend* backend_directory::find(const server_name& name) const {
    const auto server = servers_.find(name);
    return server == servers_.end() ? nullptr : &server->second;
}

std::vector<backend*> backend_directory::usable(const pool_name& service) {
    std::vector<backend*> found;
    for (auto& [name, server] : servers_) {
        if (server.is_listed && !server.is_leaving && server.listing.service == service) {
            found.push_back(&server);
        }
    }
    return found;
}

} // namespace lovageledge
