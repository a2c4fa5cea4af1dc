#include "lovageledge/serving/adapter_planner.hpp"

#include <algorithm>

namespace lovageledge {
namespace {

/** Delay after a refused order or a missing response, so that the same order is not sent again at once. */
constexpr auto refusal_backoff = std::chrono::milliseconds{300};
/** Delay after a conflict. An order that waits for running requests blocks all others until they end. */
constexpr auto conflict_backoff = std::chrono::milliseconds{150};
/** A load that the server no longer reports after this time has failed and may be ordered again. */
constexpr auto load_timeout = std::chrono::seconds{4};
/** Maximum delay before a server's report shows the effect of an order. */
constexpr auto max_report_lag = std::chrono::milliseconds{500};
/** Minimum time between two base model loads ordered from the same server. */
constexpr auto model_load_retry_interval = std::chrono::seconds{8};

} // namespace

std::size_t adapter_planner::server_plan::used_slots() const {
    const auto loads_into_a_free_slot =
        std::count_if(loads_in_progress.begin(), loads_in_progress.end(), [this](const auto& load) {
            return !load.first.is_base() && !weights.adapters.contains(load.first);
        });
    return weights.adapters.size() + static_cast<std::size_t>(loads_into_a_free_slot);
}

bool adapter_planner::is_busy() const {
    return std::any_of(servers_.begin(), servers_.end(), [](const auto& entry) {
        return !entry.second.loads_in_progress.empty() || !entry.second.load_requests.empty();
    });
}

void adapter_planner::on_load_requested(const server_name& server, const adapter_ref& ref, time_point now) {
    server_plan& plan = servers_[server];
    plan.load_requests.try_emplace(ref, now, now).first->second.second = now;
    plan.last_used[ref] = now;
}

bool adapter_planner::on_use_refused(const server_name& server, const adapter_ref& ref, time_point now) {
    server_plan& plan = servers_[server];
    const bool is_explained =
        plan.loads_in_progress.contains(ref) || now - plan.last_accepted_at < max_report_lag;
    if (!is_explained) {
        plan.needs_report = true;
    }
    return !is_explained;
}

void adapter_planner::on_used(const server_name& server, const adapter_ref& ref, time_point now) {
    servers_[server].last_used[ref] = now;
}

adapter_planner::server_plan*
adapter_planner::find_plan(const backend& server, const route_table& routes,
                           const std::function<bool(const backend&)>& is_managed, time_point now) {
    const service_spec* service = routes.find_service(server.listing.service);
    const bool may_order = service != nullptr && service->engine && server.is_listed && is_managed(server);
    if (!may_order) {
        return nullptr;
    }
    server_plan& plan = servers_[server.listing.name];
    if (plan.started_at != server.listing.started_at) {
        auto load_requests = std::move(plan.load_requests);
        plan = {};
        plan.load_requests = std::move(load_requests);
        plan.started_at = server.listing.started_at;
        // Reports may not show the latest orders of a previous holder yet.
        plan.last_accepted_at = now;
    }
    return &plan;
}

std::vector<weights_order> adapter_planner::next_orders(const backend_directory& directory,
                                                        const route_table& routes,
                                                        const version_registry& versions,
                                                        const std::function<bool(const backend&)>& is_managed,
                                                        time_point now) {
    std::vector<weights_order> orders;
    for (const auto& [name, server] : directory.servers()) {
        server_plan* plan = find_plan(server, routes, is_managed, now);
        if (plan == nullptr || plan->needs_report) {
            continue;
        }
        const engine_spec& engine = *routes.find_service(server.listing.service)->engine;
        auto order = plan_server(*plan, server, engine, versions, now);
        if (order) {
            plan->is_awaiting_response = true;
            plan->last_sent_at = now;
            orders.push_back(std::move(*order));
        }
    }
    return orders;
}

std::vector<server_name>
adapter_planner::next_report_requests(const backend_directory& directory, const route_table& routes,
                                      const std::function<bool(const backend&)>& is_managed, time_point now) {
    std::vector<server_name> names;
    for (const auto& [name, server] : directory.servers()) {
        server_plan* plan = find_plan(server, routes, is_managed, now);
        const bool is_due = plan != nullptr && plan->needs_report && !plan->is_awaiting_response &&
                            now >= plan->retry_at && now - plan->last_accepted_at >= max_report_lag;
        if (is_due) {
            plan->is_awaiting_response = true;
            names.push_back(name);
        }
    }
    return names;
}

std::optional<weights_order> adapter_planner::plan_server(server_plan& plan, const backend& server,
                                                          const engine_spec& engine,
                                                          const version_registry& versions, time_point now) {
    std::erase_if(plan.load_requests, [&](const auto& request) {
        return request.second.second + settings_.load_request_lifetime < now;
    });
    if (plan.is_awaiting_response || server.is_leaving || now < plan.retry_at) {
        return std::nullopt;
    }
    if (auto order = plan_check(plan, server, now)) {
        return order;
    }
    if (server.listing.weights.models.empty()) {
        return plan_model(plan, server, engine, now);
    }
    return plan_load(plan, server, engine, versions, now);
}

weights_order adapter_planner::make_order(const server_plan& plan, const backend& server,
                                          order_operation operation, const adapter_ref& ref) const {
    weights_order order;
    order.server = server.listing.name;
    order.started_at = server.listing.started_at;
    order.operation = operation;
    order.weights = ref;
    order.expected_sequence = plan.order_sequence;
    return order;
}

std::optional<weights_order> adapter_planner::plan_model(server_plan& plan, const backend& server,
                                                         const engine_spec& engine, time_point now) {
    const bool is_loading =
        !plan.loads_in_progress.empty() ||
        (plan.model_ordered_at != time_point{} && now < plan.model_ordered_at + model_load_retry_interval);
    if (is_loading || now < next_model_load_ || engine.models.empty()) {
        return std::nullopt;
    }
    const model_spec& first_model = engine.models.front();
    if (plan.weights.models.empty() && first_model.weights_mb > engine.weights_mb) {
        return std::nullopt;
    }
    // A model that the server has loaded may be missing in the directory after a refused request. There is
    // no room for another one.
    const std::string& model =
        plan.weights.models.empty() ? first_model.name : plan.weights.models.begin()->first;
    plan.model_ordered_at = now;
    const double pause_s = engine.loads_per_second > 0.0 ? 1.0 / engine.loads_per_second : 1.0;
    next_model_load_ = now + std::chrono::duration_cast<duration>(std::chrono::duration<double>{pause_s});
    return make_order(plan, server, order_operation::load, {model, ""});
}

std::optional<weights_order> adapter_planner::plan_check(server_plan& plan, const backend& server,
                                                         time_point now) const {
    for (auto& [ref, load] : plan.loads_in_progress) {
        if (now < load.check_at) {
            continue;
        }
        load.check_at = now + (ref.is_base() ? settings_.model_check_interval : settings_.check_interval);
        weights_order order = make_order(plan, server, order_operation::load, ref);
        order.version = load.version;
        order.is_check = true;
        return order;
    }
    return std::nullopt;
}

std::optional<adapter_ref> adapter_planner::pick_victim(const server_plan& plan, const backend& server,
                                                        time_point now) const {
    std::optional<adapter_ref> victim;
    time_point oldest{};
    for (const auto& [ref, version] : plan.weights.adapters) {
        if (plan.load_requests.contains(ref) || plan.loads_in_progress.contains(ref) ||
            is_used_(server, ref)) {
            continue;
        }
        const auto used = plan.last_used.find(ref);
        const time_point last = used == plan.last_used.end() ? time_point{} : used->second;
        if (last != time_point{} && last + settings_.recent_use > now) {
            continue;
        }
        if (!victim || last < oldest) {
            victim = ref;
            oldest = last;
        }
    }
    return victim;
}

std::optional<adapter_ref> adapter_planner::oldest_load_request(const server_plan& plan,
                                                                const backend& server,
                                                                const version_registry& versions) const {
    std::optional<adapter_ref> oldest;
    time_point oldest_time{};
    for (const auto& [ref, request] : plan.load_requests) {
        const auto held = plan.weights.version_of(ref);
        // Gateways ask for a newer version as soon as their requests need it, which is not the same time at
        // each of them.
        const auto newest = versions.newest(ref);
        const bool is_outdated = held && newest && *held < *newest;
        // A repeated load of an adapter that the directory lacks, such as after a refused request, makes the
        // server load it or confirm that it is loaded.
        const bool is_usable = held && !is_outdated && server.listing.weights.version_of(ref);
        // Replacing a version in use would block all other orders until the requests on the old one end.
        const bool needs_no_order = ref.is_base() || is_usable || plan.loads_in_progress.contains(ref) ||
                                    (is_outdated && is_used_(server, ref));
        const bool is_model_loaded = server.listing.weights.models.contains(ref.model);
        if (!needs_no_order && is_model_loaded && (!oldest || request.first < oldest_time)) {
            oldest = ref;
            oldest_time = request.first;
        }
    }
    return oldest;
}

std::optional<weights_order> adapter_planner::plan_load(server_plan& plan, const backend& server,
                                                        const engine_spec& engine,
                                                        const version_registry& versions,
                                                        time_point now) const {
    if (plan.loads_in_progress.size() >= settings_.loads_per_server) {
        return std::nullopt;
    }
    const auto ref = oldest_load_request(plan, server, versions);
    if (!ref) {
        return std::nullopt;
    }
    if (plan.weights.adapters.contains(*ref) || plan.used_slots() < engine.adapter_slots) {
        weights_order order = make_order(plan, server, order_operation::load, *ref);
        order.version = versions.newest(*ref);
        return order;
    }
    const auto victim = pick_victim(plan, server, now);
    return victim ? std::optional{make_order(plan, server, order_operation::unload, *victim)} : std::nullopt;
}

bool adapter_planner::on_outcome(backend_directory& directory, const weights_order& order,
                                 order_outcome outcome, time_point now) {
    const auto found = servers_.find(order.server);
    if (found == servers_.end() || found->second.started_at != order.started_at) {
        return false;
    }
    server_plan& plan = found->second;
    plan.is_awaiting_response = false;
    if (outcome == order_outcome::unknown) {
        // The order may be executed later, but never after a newer one, because of its expected sequence.
        plan.needs_report = true;
        plan.last_accepted_at = std::max(plan.last_accepted_at, plan.last_sent_at);
        return false;
    }
    if (order.is_check && order.weights.is_base() && outcome == order_outcome::conflict) {
        return false; // The server is still executing the load.
    }
    if (outcome == order_outcome::conflict) {
        // Either the sequence differs or an earlier order waits for running requests. Only a report can
        // tell which.
        plan.needs_report = true;
        plan.retry_at = now + conflict_backoff;
        return false;
    }
    if (outcome == order_outcome::refused || outcome == order_outcome::fenced) {
        plan.retry_at = now + refusal_backoff;
        plan.needs_report = true;
        plan.loads_in_progress.erase(order.weights);
        return false;
    }
    if (order.is_check && outcome == order_outcome::accepted) {
        return false; // The load is still in progress.
    }
    // The platform may have dropped the server's entry since the order was sent.
    backend* server = directory.find(order.server);
    if (server != nullptr && server->listing.started_at != order.started_at) {
        server = nullptr;
    }
    const bool is_unload = order.operation == order_operation::unload;
    const bool was_executed = outcome == order_outcome::accepted || (is_unload && !order.weights.is_base());
    if (was_executed) {
        plan.order_sequence = order.expected_sequence.value_or(plan.order_sequence) + 1;
        plan.last_accepted_at = now;
    }
    if (server != nullptr) {
        server->order_sequence = plan.order_sequence;
    }
    if (order.weights.is_base()) {
        return on_model_outcome(plan, server, order, outcome, now);
    }
    return is_unload ? on_unload_outcome(plan, server, order, outcome)
                     : on_load_outcome(plan, server, order, outcome, now);
}

bool adapter_planner::on_unload_outcome(server_plan& plan, backend* server, const weights_order& order,
                                        order_outcome outcome) const {
    if (outcome == order_outcome::accepted) {
        plan.needs_report = true; // The unload waits for running requests and keeps its slot until then.
    } else {
        plan.weights.adapters.erase(order.weights);
    }
    if (server != nullptr) {
        server->listing.weights.adapters.erase(order.weights);
    }
    return server != nullptr;
}

bool adapter_planner::on_load_outcome(server_plan& plan, backend* server, const weights_order& order,
                                      order_outcome outcome, time_point now) const {
    if (outcome == order_outcome::accepted) {
        const bool is_warm = server != nullptr && server->cached_adapters.contains(order.weights) &&
                             !plan.weights.adapters.contains(order.weights);
        const duration load_time = is_warm ? settings_.warm_load_time : settings_.load_time;
        plan.loads_in_progress[order.weights] = {now + load_time, now, order.version};
        return false;
    }
    plan.loads_in_progress.erase(order.weights);
    plan.load_requests.erase(order.weights);
    plan.last_used[order.weights] = now; // The requests that waited for the load are sent now.
    plan.weights.adapters[order.weights] = order.version.value_or(1);
    if (server == nullptr) {
        return false;
    }
    server->listing.weights.adapters[order.weights] = order.version.value_or(1);
    server->weights_reported_at = now;
    server->update_cached_adapters(now);
    return true;
}

bool adapter_planner::on_model_outcome(server_plan& plan, backend* server, const weights_order& order,
                                       order_outcome outcome, time_point now) const {
    if (outcome != order_outcome::holds) {
        plan.loads_in_progress[order.weights] = {now + settings_.model_check_interval, now, order.version};
        return false;
    }
    plan.loads_in_progress.erase(order.weights);
    plan.weights.models.try_emplace(order.weights.model, order.version.value_or(1));
    if (server == nullptr) {
        return false;
    }
    server->listing.weights.models.try_emplace(order.weights.model, order.version.value_or(1));
    server->weights_reported_at = now;
    return true;
}

void adapter_planner::on_report_failed(const server_name& name, time_point now) {
    const auto found = servers_.find(name);
    if (found != servers_.end()) {
        found->second.is_awaiting_response = false;
        found->second.retry_at = now + refusal_backoff;
    }
}

void adapter_planner::on_report(backend_directory& directory, const server_name& name,
                                std::uint64_t started_at, std::uint64_t sequence, const held_weights& weights,
                                const std::set<adapter_ref>& loads_in_progress, time_point now) {
    const auto found = servers_.find(name);
    if (found == servers_.end() || found->second.started_at != started_at) {
        return;
    }
    server_plan& plan = found->second;
    plan.is_awaiting_response = false;
    // The report was requested long enough after the last order to include it, so its sequence is valid
    // even if it is lower than the known one.
    if (backend* server = directory.find(name); server != nullptr) {
        server->order_sequence.reset();
    }
    directory.on_weights_reported(name, started_at, sequence, weights, now);
    plan.needs_report = false;
    plan.order_sequence = sequence;
    plan.weights = weights;
    std::erase_if(plan.loads_in_progress, [&](const auto& entry) {
        return !loads_in_progress.contains(entry.first) && now - entry.second.started > load_timeout;
    });
    for (const adapter_ref& ref : loads_in_progress) {
        plan.loads_in_progress.try_emplace(ref,
                                           load_state{now + settings_.check_interval, now, std::nullopt});
    }
}

} // namespace lovageledge
