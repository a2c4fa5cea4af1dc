#include "lovageledge/serving/backend_directory.hpp"

#include <algorithm>

namespace lovageledge {
namespace {

/** Backoff after the first failure; short because most failures are single lost connections. */
constexpr auto initial_backoff = std::chrono::milliseconds{250};
/** Maximum backoff; shorter than the three missed check-ins after which the platform drops a server. */
constexpr auto max_backoff = std::chrono::milliseconds{2000};
constexpr std::uint32_t max_backoff_doublings = 3;
/** Approximate number of adapters that an engine keeps in host memory; the platform does not report it. */
constexpr std::size_t max_cached_adapters = 50;
/** How long the holder's report takes precedence over the platform's entry. The entry lags by at least one
    check-in. */
constexpr auto holder_report_lifetime = std::chrono::seconds{4};
/** A server with unanswered requests that starts no response for this long is considered hung. Well above
    the services' latency targets and far below the callers' deadlines. */
constexpr auto stall_timeout = std::chrono::milliseconds{1500};
/** How long a server that refused a request as full is avoided; about the duration of a few requests. */
constexpr auto full_server_backoff = std::chrono::milliseconds{100};

/** How long a server is preferred less after a pause that it asked for. */
constexpr auto backoff_after_pause = std::chrono::milliseconds{300};

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
    return avoid_until > now || (unanswered > 0 && now - last_progress_at > stall_timeout);
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

std::uint64_t backend::total_committed_tokens() const {
    std::uint64_t total = committed_tokens;
    for (const auto& [peer, work] : peer_work) {
        total += work.committed_tokens;
    }
    return total;
}

tokens_by_rank backend::peers_wanted_tokens() const {
    tokens_by_rank total{};
    for (const auto& [peer, work] : peer_work) {
        for (std::size_t rank = 0; rank < waiting_ranks; ++rank) {
            total[rank] += work.wanted_tokens[rank];
        }
    }
    return total;
}

bool backend::is_used_by_peers(const adapter_ref& ref) const {
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

std::size_t backend::available_adapter_slots(std::size_t slot_count) const {
    const std::size_t used = used_places();
    return slot_count > used ? slot_count - used : 0;
}

void backend::update_cached_adapters(time_point now) {
    for (const auto& [ref, version] : listing.weights.adapters) {
        cached_adapters[ref] = now;
    }
    while (cached_adapters.size() > max_cached_adapters) {
        cached_adapters.erase(
            std::min_element(cached_adapters.begin(), cached_adapters.end(),
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
        backend new_server;
        const server_notice notice = notices_.of(listing.name, listing.started_at);
        new_server.is_leaving = listing.is_leaving || notice.is_leaving;
        new_server.paused_until = notice.paused_until;
        new_server.load_reported_at = now;
        new_server.name_hash = stable_hash(listing.name.text());
        new_server.listing = std::move(listing);
        new_server.update_cached_adapters(now);
        servers_.insert_or_assign(new_server.listing.name, std::move(new_server));
        return true;
    }
    backend& server = known->second;
    if (server.listing.started_at > listing.started_at) {
        return false;
    }
    const bool was_usable = server.is_listed && !server.is_leaving;
    server.is_listed = true;
    server.is_leaving = server.is_leaving || listing.is_leaving;
    if (server.order_sequence && now - server.weights_reported_at < holder_report_lifetime) {
        // The entry may predate orders whose outcome is already known, so the known weights are kept. Base
        // models of the entry are added: they are never unloaded, and no later entry would announce them.
        held_weights merged = server.listing.weights;
        merged.models.merge(listing.weights.models);
        listing.weights = std::move(merged);
    }
    server.listing = std::move(listing);
    server.update_cached_adapters(now);
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

bool backend_directory::on_leaving(const server_name& name, std::uint64_t started_at, time_point now) {
    const bool is_new = notices_.on_leaving(name, started_at, now);
    backend* server = find(name);
    if (server != nullptr && server->listing.started_at == started_at) {
        server->is_leaving = true;
    }
    return is_new;
}

bool backend_directory::on_pause_requested(const server_name& name, std::uint64_t started_at,
                                           time_point until, time_point now) {
    const bool is_longer = notices_.on_pause(name, started_at, until, now);
    backend* server = find(name);
    if (is_longer && server != nullptr && server->listing.started_at == started_at) {
        server->paused_until = until;
        server->full_until = until + backoff_after_pause;
    }
    return is_longer;
}

std::optional<time_point> backend_directory::earliest_pause_end(const pool_name& service, time_point now) {
    std::optional<time_point> earliest;
    for (const backend* server : usable_servers(service)) {
        if (!server->is_paused(now)) {
            return std::nullopt;
        }
        earliest = std::min(earliest.value_or(time_point::max()), server->paused_until);
    }
    return earliest;
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
    server->weights_reported_at = now;
    server->listing.weights = std::move(weights);
    server->update_cached_adapters(now);
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
        server->last_progress_at = now;
    }
}

void backend_directory::on_response_started(const server_name& name, std::uint64_t started_at,
                                            time_point now) {
    backend* server = find(name);
    if (server != nullptr && server->listing.started_at == started_at && server->unanswered > 0) {
        --server->unanswered;
        server->last_progress_at = now;
        server->times_overtaken = 0;
    }
}

void backend_directory::on_withdrawn(const server_name& name, std::uint64_t started_at) {
    backend* server = find(name);
    if (server != nullptr && server->listing.started_at == started_at && server->unanswered > 0) {
        --server->unanswered;
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
        server->full_until = std::max(server->full_until, now + full_server_backoff);
    }
}

std::uint32_t backend_directory::on_failure(const server_name& name, time_point now) {
    backend* server = find(name);
    if (server == nullptr) {
        return 0;
    }
    const std::uint32_t doublings = std::min(server->consecutive_failures, max_backoff_doublings);
    server->avoid_until = now + std::min<duration>(initial_backoff * (1U << doublings), max_backoff);
    return ++server->consecutive_failures;
}

void backend_directory::on_overtaken(const server_name& name, time_point now) {
    backend* server = find(name);
    if (server != nullptr) {
        const std::uint32_t doublings = std::min(server->times_overtaken++, max_backoff_doublings);
        const duration backoff = std::min<duration>(initial_backoff * (1U << doublings), max_backoff);
        server->avoid_until = std::max(server->avoid_until, now + backoff);
    }
}

backend* backend_directory::find(const server_name& name) {
    const auto server = servers_.find(name);
    return server == servers_.end() ? nullptr : &server->second;
}

const backend* backend_directory::find(const server_name& name) const {
    const auto server = servers_.find(name);
    return server == servers_.end() ? nullptr : &server->second;
}

std::vector<backend*> backend_directory::usable_servers(const pool_name& service) {
    std::vector<backend*> found;
    for (auto& [name, server] : servers_) {
        if (server.is_listed && !server.is_leaving && server.listing.service == service) {
            found.push_back(&server);
        }
    }
    return found;
}

} // namespace lovageledge
