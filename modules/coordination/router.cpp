#include "lovageledge/coordination/router.hpp"

#include <algorithm>

namespace lovageledge {
namespace {

/** Number of an adapter's preferred servers in each of two groups: this instance's region and all others. */
constexpr std::size_t preferred_per_group = 2;
/** The cache of preferred servers is cleared when it holds more adapters than this. */
constexpr std::size_t preferred_cache_limit = 50'000;
/** Assumed length of a request in tokens, to estimate work that is not in a server's report yet. */
constexpr std::uint32_t typical_tokens = 64;
/** Assumed time that an engine takes per token. */
constexpr auto typical_token_time = std::chrono::milliseconds{10};

} // namespace

router::router(const instance_identity& self, const coordination_settings& settings)
    : self_{self}, settings_{settings} {
    if (settings_.placement == placement_policy::least_outstanding) {
        cost_ = [](const backend_server&, const server_load& load, std::uint32_t sent_since_report, bool,
                   bool) {
            return duration{std::chrono::milliseconds{load.running + load.waiting + sent_since_report}};
        };
        return;
    }
    cost_ = [this](const backend_server& server, const server_load& load, std::uint32_t sent_since_report,
                   bool is_loaded, bool /*is_remote*/) {
        const bool fits = load.waiting == 0 && load.running + sent_since_report < server.batch;
        const auto batch = static_cast<duration::rep>(std::max(server.batch, 1U));
        duration cost = load.wait_estimate;
        // The estimate does not include work sent since the report yet.
        cost += fits ? duration{typical_token_time} * sent_since_report / batch
                     : duration{typical_token_time} * typical_tokens * sent_since_report / batch;
        cost += duration{typical_token_time} * load.running / batch;
        if (!is_loaded) {
            cost += std::max(settings_.load_time, load.load_estimate) + load_backlog_;
        }
        return cost;
    };
}

void router::set_configuration(const configuration_ptr& config) {
    config_ = config;
    preferred_.clear();
    pool_members_.clear();
    for (const auto& [name, server] : config_->servers) {
        pool_members_[server.pool].push_back({stable_hash(name.text()), &server});
    }
}

bool router::on_report(const instance_name& owner, const protocol::ServerReport& report) {
    const server_name name{report.server()};
    server_view& view = views_[name];
    const bool is_older = report.epoch() < view.epoch ||
                          (report.epoch() == view.epoch && view.owner != owner && !view.owner.is_empty());
    if (is_older) {
        return false;
    }
    const bool is_same_list = view.owner == owner && view.load.generation == report.generation();
    if (!report.has_adapters() && !is_same_list) {
        remove_from_index(name, view);
        view.adapters.clear();
    }
    view.owner = owner;
    view.epoch = report.epoch();
    view.load = {start_id{report.start()},
                 report.running(),
                 report.waiting(),
                 std::chrono::microseconds{report.wait_estimate_us()},
                 std::chrono::microseconds{report.load_estimate_us()},
                 report.ready(),
                 report.generation()};
    view.sent_since_report = 0;
    if (report.has_adapters()) {
        remove_from_index(name, view);
        view.adapters.clear();
        for (const std::string& key : report.adapters()) {
            view.adapters.insert(adapter_key{key});
            servers_by_adapter_[adapter_key{key}].insert(name);
        }
    }
    return true;
}

void router::remove_from_index(const server_name& server, const server_view& view) {
    for (const adapter_key& key : view.adapters) {
        const auto loaded_servers = servers_by_adapter_.find(key);
        if (loaded_servers == servers_by_adapter_.end()) {
            continue;
        }
        loaded_servers->second.erase(server);
        if (loaded_servers->second.empty()) {
            servers_by_adapter_.erase(loaded_servers);
        }
    }
}

void router::on_owner_lost(const instance_name& owner) {
    for (auto& [name, view] : views_) {
        if (view.owner == owner) {
            view.load.is_ready = false;
        }
    }
}

void router::on_not_owner(const server_name& server, const instance_name& owner) {
    const auto view = views_.find(server);
    if (view != views_.end() && view->second.owner == owner) {
        view->second.load.is_ready = false;
    }
}

void router::set_leaving(const server_name& server, const start_id& start) {
    leaving_[server] = start;
}

bool router::is_leaving(const server_name& server) const {
    if (listed_leaving_.contains(server)) {
        return true;
    }
    const auto entry = leaving_.find(server);
    const server_view* view = find(server);
    return entry != leaving_.end() && (view == nullptr || view->load.start == entry->second);
}

const router::server_view* router::find(const server_name& server) const {
    const auto view = views_.find(server);
    return view == views_.end() ? nullptr : &view->second;
}

router::preferred_list& router::preferred_servers(const adapter_key& key, const pool_name& pool) {
    if (preferred_.size() > preferred_cache_limit) {
        preferred_.clear();
    }
    auto [entry, is_new] = preferred_.try_emplace(key);
    if (!is_new) {
        return entry->second;
    }
    std::vector<std::pair<std::uint64_t, const backend_server*>> local;
    std::vector<std::pair<std::uint64_t, const backend_server*>> remote;
    const std::uint64_t key_hash = stable_hash(key.text());
    for (const pool_member& member : pool_members_[pool]) {
        auto& group = member.server->region == self_.region ? local : remote;
        group.emplace_back(rendezvous_weight(key_hash, member.hash), member.server);
    }
    for (auto* group : {&local, &remote}) {
        const auto count = static_cast<std::ptrdiff_t>(std::min(preferred_per_group, group->size()));
        std::partial_sort(group->begin(), group->begin() + count, group->end(), std::greater<>{});
        for (auto item = group->begin(); item != group->begin() + count; ++item) {
            entry->second.servers.push_back(item->second->name);
        }
    }
    return entry->second;
}

void router::consider(const server_name& server, const adapter_key& key,
                      const std::set<server_name>& excluded, std::uint32_t remote_picks,
                      std::optional<route>& best) const {
    const server_view* view = find(server);
    const auto declared = config_->servers.find(server);
    const bool is_candidate = view != nullptr && declared != config_->servers.end() && view->load.is_ready &&
                              !excluded.contains(server) && !is_leaving(server);
    if (!is_candidate) {
        return;
    }
    const bool is_loaded = view->adapters.contains(key);
    const bool is_remote = declared->second.region != self_.region;
    duration cost = cost_(declared->second, view->load, view->sent_since_report, is_loaded, is_remote);
    if (is_remote && settings_.placement == placement_policy::cost) {
        cost += settings_.remote_penalty * (1 + remote_picks);
    }
    if (!best || cost < best->cost) {
        best = route{server, view->owner, is_loaded, is_remote, cost};
    }
}

std::optional<route> router::pick(const protocol::RequestSpec& spec, const std::set<server_name>& excluded) {
    const adapter_key key{spec.adapter()};
    const auto declared = config_->adapters.find(key);
    if (declared == config_->adapters.end()) {
        return std::nullopt;
    }
    preferred_list& preferred = preferred_servers(key, declared->second.pool);
    std::optional<route> best;
    const auto loaded_servers = servers_by_adapter_.find(key);
    if (loaded_servers != servers_by_adapter_.end()) {
        for (const server_name& server : loaded_servers->second) {
            consider(server, key, excluded, preferred.remote_picks, best);
        }
    }
    for (const server_name& server : preferred.servers) {
        consider(server, key, excluded, preferred.remote_picks, best);
    }
    const bool is_baseline = settings_.placement == placement_policy::least_outstanding;
    if (!best || is_baseline) {
        // No candidate is routable, or the policy considers all servers: try the whole pool.
        for (const auto& [name, server] : config_->servers) {
            if (server.pool == declared->second.pool) {
                consider(name, key, excluded, preferred.remote_picks, best);
            }
        }
    }
    if (best) {
        ++views_.at(best->server).sent_since_report;
        preferred.remote_picks = best->is_remote ? preferred.remote_picks + 1 : 0;
    }
    return best;
}

} // namespace lovageledge
