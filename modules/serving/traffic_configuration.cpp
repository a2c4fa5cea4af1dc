#include "lovageledge/serving/traffic_configuration.hpp"

#include <algorithm>
#include <cctype>

namespace lovageledge {
namespace {

std::string normalize_host(std::string_view host) {
    std::string name{host.substr(0, host.rfind(':'))};
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return name;
}

} // namespace

route_table::route_table(traffic_configuration configuration) : configuration_{std::move(configuration)} {
    for (const route_rule& route : configuration_.routes) {
        routes_by_host_[normalize_host(route.host)].push_back(&route);
    }
    for (auto& [host, routes] : routes_by_host_) {
        std::stable_sort(routes.begin(), routes.end(), [](const route_rule* left, const route_rule* right) {
            return left->path_prefix.size() > right->path_prefix.size();
        });
    }
}

const route_rule* route_table::match(std::string_view host, std::string_view path) const {
    const auto routes = routes_by_host_.find(normalize_host(host));
    if (routes == routes_by_host_.end()) {
        return nullptr;
    }
    for (const route_rule* route : routes->second) {
        if (path.substr(0, route->path_prefix.size()) == route->path_prefix) {
            return route;
        }
    }
    return nullptr;
}

const pool_name& route_table::pick_service(const route_rule& route, std::string_view key) {
    std::uint64_t total = 0;
    for (const weighted_service& entry : route.services) {
        total += entry.weight;
    }
    if (total == 0) {
        return route.services.front().service;
    }
    std::uint64_t point = stable_hash(key) % total;
    for (const weighted_service& entry : route.services) {
        if (point < entry.weight) {
            return entry.service;
        }
        point -= entry.weight;
    }
    return route.services.back().service;
}

const service_spec* route_table::find_service(const pool_name& name) const {
    const auto& services = configuration_.services;
    const auto found = std::find_if(services.begin(), services.end(),
                                    [&](const service_spec& service) { return service.name == name; });
    return found == services.end() ? nullptr : &*found;
}

std::optional<duration> route_table::shortest_latency_target(const pool_name& service) const {
    std::optional<duration> shortest;
    for (const route_rule& route : configuration_.routes) {
        const bool is_used =
            std::any_of(route.services.begin(), route.services.end(),
                        [&](const weighted_service& entry) { return entry.service == service; });
        if (is_used && route.latency_target > duration::zero()) {
            shortest = std::min(shortest.value_or(route.latency_target), route.latency_target);
        }
    }
    return shortest;
}

} // namespace lovageledge
