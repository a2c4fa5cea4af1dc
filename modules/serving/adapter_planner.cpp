#include "lovageledge/serving/adapter_planner.hpp"

#include <algorithm>

namespace lovageledge {
namespace {

/** Pause after a server refused an order, so that a refusal is not answered by the same order at once. */
constexpr auto refused_pause = std::chrono::milliseconds{300};
/** Pause after a conflict: an order that waits for runs to end keeps others out. */
constexpr auto conflict_pause = std::chrono::milliseconds{150};
/** A load that is not there after this long is ordered again. */
constexpr auto load_limit = std::chrono::seconds{4};
/** A report may be this old. */
constexpr auto report_lag = std::chrono::milliseconds{500};
/** Pause before the same server is told again to load a base model. */
constexpr auto model_load_limit = std::chrono::seconds{8};

} // namespace

bool adapter_planner::is_busy() const {
    return std::any_of(servers_.begin(), servers_.end(), [](const auto& entry) {
        return !entry.second.coming.empty() || !entry.second.wants.empty();
    });
}

void adapter_planner::on_load_requested(const server_name& server, const adapter_ref& ref, time_point now) {
    server_plan& plan = servers_[server];
    plan.wants.try_emplace(ref, now, now).first->second.second = now;
    plan.last_used[ref] = now;
}

bool adapter_planner::on_use_refused(const server_name& server, const adapter_ref& ref, time_point now) {
    server_plan& plan = servers_[server];
    const bool is_explained = plan.coming.contains(ref) || now - plan.last_accepted < report_lag;
    if (!is_explained) {
        plan.needs_report = true;
    }
    return !is_explained;
}

void adapter_planner::on_used(const server_name& server, const adapter_ref& ref, time_point now) {
    servers_[server].last_used[ref] = now;
}

adapter_planner::server_plan* adapter_planner::find_plan(const backend& server, const route_table& routes,
                                                         const std::function<bool(const backend&)>& is_ours,
                                                         time_point now) {
    const service_spec* service = routes.find_service(server.listing.service);
    const bool may_order = service != nullptr && service->engine && server.is_listed && is_ours(server);
    if (!may_order) {
        return nullptr;
    }
    server_plan& plan = servers_[server.listing.name];
    if (plan.started_at != server.listing.started_at) {
        auto wants = std::move(plan.wants);
        plan = {};
        plan.wants = std::move(wants);
        plan.started_at = server.listing.started_at;
        // Reports lag behind orders that a former holder gave.
        plan.last_accepted = now;
    }
    return &plan;
}

std::vector<weights_order> adapter_planner::next_orders(const backend_directory& directory,
                                                        const route_table& routes,
                                                        const version_registry& versions,
                                                        const std::function<bool(const backend&)>& is_ours,
                                                        time_point now) {
    std::vector<weights_order> orders;
    for (const auto& [name, server] : directory.servers()) {
        server_plan* plan = find_plan(server, routes, is_ours, now);
        if (plan == nullptr || plan->needs_report || !server.order_sequence) {
            continue;
        }
        const engine_spec& engine = *routes.find_service(server.listing.service)->engine;
        auto order = plan_server(*plan, server, engine, versions, now);
        if (order) {
            plan->has_open_order = true;
            orders.push_back(std::move(*order));
        }
    }
    return orders;
}

std::vector<server_name>
adapter_planner::next_report_requests(const backend_directory& directory, const route_table& routes,
                                      const std::function<bool(const backend&)>& is_ours, time_point now) {
    std::vector<server_name> reads;
    for (const auto& [name, server] : directory.servers()) {
        server_plan* plan = find_plan(server, routes, is_ours, now);
        const bool is_due = plan != nullptr && plan->needs_report && !plan->has_open_order &&
                            now >= plan->retry_at && now - plan->last_accepted >= report_lag;
        if (is_due) {
            plan->has_open_order = true;
            reads.push_back(name);
        }
    }
    return reads;
}

std::optional<weights_order> adapter_planner::plan_server(server_plan& plan, const backend& server,
                                                          const engine_spec& engine,
                                                          const version_registry& versions, time_point now) {
    std::erase_if(plan.wants,
                  [&](const auto& want) { return want.second.second + settings_.want_valid < now; });
    if (plan.has_open_order || server.is_leaving || now < plan.retry_at) {
        return std::nullopt;
    }
    if (auto order = plan_check(plan, server, now)) {
        return order;
    }
    if (server.listing.weights.models.empty()) {
        return plan_model(plan, server, engine, now);
    }
    return plan_want(plan, server, engine, versions, now);
}

weights_order adapter_planner::make_order(const backend& server, order_operation operation,
                                          const adapter_ref& ref) const {
    weights_order order;
    order.server = server.listing.name;
    order.started_at = server.listing.started_at;
    order.operation = operation;
    order.weights = ref;
    order.expected_sequence = server.order_sequence;
    return order;
}

std::optional<weights_order> adapter_planner::plan_model(server_plan& plan, const backend& server,
                                                         const engine_spec& engine, time_point now) {
    const bool is_under_way = !plan.coming.empty() || (plan.model_ordered != time_point{} &&
                                                       now < plan.model_ordered + model_load_limit);
    if (is_under_way || now < next_model_load_ || engine.models.empty()) {
        return std::nullopt;
    }
    const model_spec& model = engine.models.front();
    if (model.weights_mb > engine.weights_mb) {
        return std::nullopt;
    }
    plan.model_ordered = now;
    const double pause_s = engine.loads_per_second > 0.0 ? 1.0 / engine.loads_per_second : 1.0;
    next_model_load_ = now + std::chrono::duration_cast<duration>(std::chrono::duration<double>{pause_s});
    return make_order(server, order_operation::load, {model.name, ""});
}

std::optional<weights_order> adapter_planner::plan_check(server_plan& plan, const backend& server,
                                                         time_point now) const {
    for (auto& [ref, load] : plan.coming) {
        if (now < load.check_at) {
            continue;
        }
        load.check_at = now + (ref.is_base() ? settings_.model_check_interval : settings_.check_interval);
        weights_order order = make_order(server, order_operation::load, ref);
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
    for (const auto& [ref, version] : server.listing.weights.adapters) {
        if (plan.wants.contains(ref) || plan.coming.contains(ref) || is_used_(server, ref)) {
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

std::optional<adapter_ref> adapter_planner::oldest_want(const server_plan& plan, const backend& server,
                                                        const version_registry& versions,
                                                        time_point now) const {
    std::optional<adapter_ref> oldest;
    time_point oldest_time{};
    for (const auto& [ref, want] : plan.wants) {
        const auto held = server.listing.weights.version_of(ref);
        const auto required = versions.required(ref, now);
        const bool is_outdated = held && required && *held < *required;
        // A replacement waits for the runs of the old version, and keeps all other orders out meanwhile.
        const bool is_settled = ref.is_base() || (held && !is_outdated) || plan.coming.contains(ref) ||
                                (is_outdated && is_used_(server, ref));
        const bool is_model_there = server.listing.weights.models.contains(ref.model);
        if (!is_settled && is_model_there && (!oldest || want.first < oldest_time)) {
            oldest = ref;
            oldest_time = want.first;
        }
    }
    return oldest;
}

std::optional<weights_order> adapter_planner::plan_want(server_plan& plan, const backend& server,
                                                        const engine_spec& engine,
                                                        const version_registry& versions,
                                                        time_point now) const {
    if (plan.coming.size() >= settings_.loads_per_server) {
        return std::nullopt;
    }
    const auto ref = oldest_want(plan, server, versions, now);
    if (!ref) {
        return std::nullopt;
    }
    const auto& held = server.listing.weights.adapters;
    std::size_t places = held.size();
    for (const auto& [coming_ref, load] : plan.coming) {
        places += held.contains(coming_ref) ? 0 : 1;
    }
    if (held.contains(*ref) || places < engine.adapter_slots) {
        weights_order order = make_order(server, order_operation::load, *ref);
        order.version = versions.newest(*ref);
        return order;
    }
    const auto victim = pick_victim(plan, server, now);
    return victim ? std::optional{make_order(server, order_operation::unload, *victim)} : std::nullopt;
}

bool adapter_planner::on_outcome(backend_directory& directory, const weights_order& order,
                                 order_outcome outcome, time_point now) {
    backend* server = directory.find(order.server);
    const auto found = servers_.find(order.server);
    if (server == nullptr || found == servers_.end() || server->listing.started_at != order.started_at ||
        found->second.started_at != order.started_at) {
        return false;
    }
    server_plan& plan = found->second;
    plan.has_open_order = false;
    server_listing& listing = server->listing;
    const bool is_load = order.operation == order_operation::load;
    if (outcome == order_outcome::unknown) {
        plan.retry_at = now + refused_pause;
        // It may be carried out later; the count that it expects makes sure that nothing newer came before.
        plan.needs_report = true;
        plan.last_accepted = now;
        return false;
    }
    if (order.is_check && order.weights.is_base() && outcome == order_outcome::conflict) {
        return false; // The server is busy with the load.
    }
    if (outcome == order_outcome::conflict) {
        // Either the count differs, or an order waits for runs to end; only a report can tell.
        plan.needs_report = true;
        plan.retry_at = now + conflict_pause;
        return false;
    }
    if (outcome == order_outcome::refused || outcome == order_outcome::fenced) {
        plan.retry_at = now + refused_pause;
        plan.needs_report = true;
        plan.coming.erase(order.weights);
        return false;
    }
    if (order.is_check && outcome == order_outcome::accepted) {
        return false; // The load is still on its way.
    }
    if (outcome == order_outcome::accepted) {
        server->order_sequence = server->order_sequence.value_or(0) + 1;
        plan.last_accepted = now;
    }
    if (order.weights.is_base()) {
        return on_model_outcome(plan, *server, order, outcome, now);
    }
    if (!is_load) {
        listing.weights.adapters.erase(order.weights);
        if (outcome == order_outcome::accepted) {
            plan.needs_report = true; // It waits for runs to end, and keeps its place until then.
        } else {
            server->order_sequence = server->order_sequence.value_or(0) + 1;
            plan.last_accepted = now;
        }
        return true;
    }
    if (outcome == order_outcome::holds) {
        plan.coming.erase(order.weights);
        plan.wants.erase(order.weights);
        plan.last_used[order.weights] = now; // The requests that wait for it are on their way.
        listing.weights.adapters[order.weights] = order.version.value_or(1);
        server->weights_told = now;
        server->remember_weights(now);
        return true;
    }
    const bool is_warm =
        server->held_before.contains(order.weights) && !listing.weights.adapters.contains(order.weights);
    const duration load_time = is_warm ? settings_.warm_load_time : settings_.load_time;
    plan.coming[order.weights] = {now + load_time, now, order.version};
    return false;
}

bool adapter_planner::on_model_outcome(server_plan& plan, backend& server, const weights_order& order,
                                       order_outcome outcome, time_point now) const {
    if (outcome != order_outcome::holds) {
        plan.coming[order.weights] = {now + settings_.model_check_interval, now, order.version};
        return false;
    }
    plan.coming.erase(order.weights);
    server.listing.weights.models.try_emplace(order.weights.model, order.version.value_or(1));
    server.weights_told = now;
    return true;
}

void adapter_planner::on_report_failed(const server_name& name, time_point now) {
    const auto found = servers_.find(name);
    if (found != servers_.end()) {
        found->second.has_open_order = false;
        found->second.retry_at = now + refused_pause;
    }
}

void adapter_planner::on_report(backend_directory& directory, const server_name& name,
                                std::uint64_t started_at, std::uint64_t sequence, const held_weights& weights,
                                const std::set<adapter_ref>& coming, time_point now) {
    const auto found = servers_.find(name);
    if (found == servers_.end() || found->second.started_at != started_at) {
        return;
    }
    server_plan& plan = found->second;
    plan.has_open_order = false;
    // It was read long enough after the last order to know of it, so that its count holds even if it is
    // lower.
    if (backend* server = directory.find(name); server != nullptr) {
        server->order_sequence.reset();
    }
    plan.needs_report = !directory.on_weights_reported(name, started_at, sequence, weights, now);
    std::erase_if(plan.coming, [&](const auto& entry) {
        return !coming.contains(entry.first) && now - entry.second.since > load_limit;
    });
    for (const adapter_ref& ref : coming) {
        plan.coming.try_emplace(ref, incoming_load{now + settings_.check_interval, now, std::nullopt});
    }
}

} // namespace lovageledge
