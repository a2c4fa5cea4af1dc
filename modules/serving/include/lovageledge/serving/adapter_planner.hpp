#pragma once

#include "lovageledge/serving/backend_directory.hpp"
#include "lovageledge/serving/traffic_configuration.hpp"
#include "lovageledge/serving/version_registry.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lovageledge {

enum class order_operation { load, unload };

/** An order to a backend server, tied to what it was decided on. */
struct weights_order {
    server_name server;
    std::uint64_t started_at = 0;
    order_operation operation = order_operation::load;
    adapter_ref weights;
    std::optional<std::uint64_t> version;
    /** Orders that the server has accepted when this one arrives; another count makes it refuse. */
    std::optional<std::uint64_t> expected_sequence;
    /** It repeats a load that should be done, to learn whether it is. */
    bool is_check = false;
};

/** What a server said to an order. */
enum class order_outcome {
    /** It is being carried out. */
    accepted,
    /** What the order asks for holds already. */
    holds,
    /** The server's count of orders differs, or another order is in progress. */
    conflict,
    /** A newer fencing token was used there. */
    fenced,
    /** Refused for another reason; nothing happens. */
    refused,
    /** No answer: it may be carried out at any later time. */
    unknown,
};

/** Times and limits of the planner. */
struct planner_settings {
    /** Load time of an adapter, before its presence is checked. */
    duration load_time = std::chrono::milliseconds{260};
    /** Load time of one that the server held recently. */
    duration warm_load_time = std::chrono::milliseconds{40};
    /** Pause between checks of a load that is late. */
    duration check_interval = std::chrono::milliseconds{30};
    /** Pause between checks of a base model's load. */
    duration model_check_interval = std::chrono::milliseconds{300};
    /** Loads on their way to one server at a time; the engines' limit. */
    std::size_t loads_per_server = 4;
    /** Wants are forgotten after this long. */
    duration want_valid = std::chrono::milliseconds{1500};
    /** An adapter used less than this long ago is not evicted: the use may still go on, unknown here, and an
       eviction that waits for it keeps all other orders of the server out. The time covers what other data
       centres tell, state and summary together. */
    duration recent_use = std::chrono::milliseconds{600};
};

/**
    Plans which adapters a data centre's servers hold: loads on demand, evictions of the least recently used.

    The load pattern it answers: thousands of adapters with skewed, shifting popularity over a few places per
    server, where a load takes a quarter of a second and a second load of the same adapter a tenth of that.
    One holder per data centre runs it. It decides; the caller sends the orders and returns their outcomes.
    Each server has at most one order without answer. Not thread-safe.
*/
class adapter_planner {
public:
    explicit adapter_planner(planner_settings settings) : settings_{settings} {}

    /** Asked of the in-flight work of all instances. @returns true if a request uses the adapter there */
    using usage_function = std::function<bool(const backend&, const adapter_ref&)>;
    void set_usage_function(usage_function is_used) { is_used_ = std::move(is_used); }

    /** Forgets all, when this instance has become the holder anew. */
    void reset() { servers_.clear(); }

    /** @returns true if loads are on their way or wanted, so that orders may be due soon */
    bool is_busy() const;

    /** A request needs an adapter on a server. */
    void on_load_requested(const server_name& server, const adapter_ref& ref, time_point now);
    /** A server refused a request since it lacks an adapter that it is believed to hold.
        @returns true if the server is asked what it holds before its next order; false if orders that were
        carried out lately explain the refusal */
    bool on_use_refused(const server_name& server, const adapter_ref& ref, time_point now);
    /** A request was sent to a server that holds the adapter. */
    void on_used(const server_name& server, const adapter_ref& ref, time_point now);

    /** Decides the next orders. The caller sends them all, in order.
        @param is_ours tells whether a server belongs to the data centre that is planned here */
    std::vector<weights_order> next_orders(const backend_directory& directory, const route_table& routes,
                                           const version_registry& versions,
                                           const std::function<bool(const backend&)>& is_ours,
                                           time_point now);

    /** Servers that must be asked what they hold, before they get orders. The caller asks them all.
        @param is_ours as for next_orders() */
    std::vector<server_name> next_report_requests(const backend_directory& directory,
                                                  const route_table& routes,
                                                  const std::function<bool(const backend&)>& is_ours,
                                                  time_point now);

    /** Takes the outcome of an order. @returns true if what the server holds has changed by it */
    bool on_outcome(backend_directory& directory, const weights_order& order, order_outcome outcome,
                    time_point now);
    /** A server did not report. */
    void on_report_failed(const server_name& server, time_point now);
    /** Takes what a server reports of itself. @param coming adapters on their way */
    void on_report(backend_directory& directory, const server_name& server, std::uint64_t started_at,
                   std::uint64_t sequence, const held_weights& weights, const std::set<adapter_ref>& coming,
                   time_point now);

private:
    struct incoming_load {
        time_point check_at{};
        time_point since{};
        std::optional<std::uint64_t> version;
    };
    struct server_plan {
        std::uint64_t started_at = 0;
        bool has_open_order = false;
        /** What the server holds has to be read from it before the next order. */
        bool needs_report = true;
        /** When the last order was accepted: reports lag behind it. */
        time_point last_accepted{};
        /** When each adapter was first and last wanted. */
        std::map<adapter_ref, std::pair<time_point, time_point>> wants;
        std::map<adapter_ref, time_point> last_used;
        std::map<adapter_ref, incoming_load> coming;
        time_point model_ordered{};
        time_point retry_at{};
    };

    server_plan* find_plan(const backend& server, const route_table& routes,
                           const std::function<bool(const backend&)>& is_ours, time_point now);
    std::optional<weights_order> plan_server(server_plan& plan, const backend& server,
                                             const engine_spec& engine, const version_registry& versions,
                                             time_point now);
    std::optional<weights_order> plan_check(server_plan& plan, const backend& server, time_point now) const;
    std::optional<adapter_ref> oldest_want(const server_plan& plan, const backend& server,
                                           const version_registry& versions, time_point now) const;
    std::optional<weights_order> plan_model(server_plan& plan, const backend& server,
                                            const engine_spec& engine, time_point now);
    std::optional<weights_order> plan_want(server_plan& plan, const backend& server,
                                           const engine_spec& engine, const version_registry& versions,
                                           time_point now) const;
    std::optional<adapter_ref> pick_victim(const server_plan& plan, const backend& server,
                                           time_point now) const;
    bool on_model_outcome(server_plan& plan, backend& server, const weights_order& order,
                          order_outcome outcome, time_point now) const;
    weights_order make_order(const backend& server, order_operation operation, const adapter_ref& ref) const;

    planner_settings settings_;
    usage_function is_used_ = [](const backend&, const adapter_ref&) { return false; };
    std::map<server_name, server_plan> servers_;
    time_point next_model_load_{};
};

} // namespace lovageledge
