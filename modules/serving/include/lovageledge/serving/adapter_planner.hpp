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

/** An order to a backend server to load or unload weights, with the state that it was decided on. */
struct weights_order {
    server_name server;
    std::uint64_t started_at = 0;
    order_operation operation = order_operation::load;
    adapter_ref weights;
    std::optional<std::uint64_t> version;
    /** Number of orders that the server must have accepted before this one to execute it. */
    std::optional<std::uint64_t> expected_sequence;
    /** The order repeats an earlier load to find out whether the load has completed. */
    bool is_check = false;
};

/** A server's response to an order. */
enum class order_outcome {
    /** The server is executing the order. */
    accepted,
    /** The weights are already in the requested state. */
    holds,
    /** The server has accepted another number of orders than expected, or is executing another order. */
    conflict,
    /** The server has seen a newer fencing token. */
    fenced,
    /** Refused for another reason; the order will not be executed. */
    refused,
    /** No response; the order may be executed at any later time. */
    unknown,
};

/** Intervals and limits of the planner. */
struct planner_settings {
    /** Expected load time of an adapter. The first check whether it is loaded is sent after this time. */
    duration load_time = std::chrono::milliseconds{260};
    /** Expected load time of an adapter that the server had loaded recently. */
    duration warm_load_time = std::chrono::milliseconds{40};
    /** Interval between further checks of an adapter's load. */
    duration check_interval = std::chrono::milliseconds{30};
    /** Interval between checks of a base model's load. */
    duration model_check_interval = std::chrono::milliseconds{300};
    /** Maximum number of concurrent loads on one server, given by the engines. */
    std::size_t loads_per_server = 4;
    /** A load request that is not repeated expires after this time. */
    duration load_request_lifetime = std::chrono::milliseconds{1500};
    /** An adapter used within this time is not evicted. Another gateway's request may still be using it
        without this gateway knowing, and an eviction that waits for the request blocks all other orders to
        the server. Covers the delay of reports from other data centres: a gateway's state followed by its
        data centre's summary. */
    duration recent_use = std::chrono::milliseconds{600};
};

/**
    Plans which adapters the servers of a data centre load. Adapters are loaded on demand, and the least
    recently used ones are evicted.

    It is designed for thousands of adapters with skewed, shifting popularity and a few adapter slots per
    server, where a first load takes a quarter of a second and a repeated load a tenth of that.

    One gateway per data centre, the holder, runs the planner. The planner only makes decisions: its owner
    sends the orders and passes their outcomes back. At most one order or report request per server is
    unanswered at any time. Not thread-safe.
*/
class adapter_planner {
public:
    explicit adapter_planner(planner_settings settings) : settings_{settings} {}

    /** Looks in the known in-flight requests of all instances.
        @returns true if a request uses the adapter on the server */
    using usage_function = std::function<bool(const backend&, const adapter_ref&)>;
    void set_usage_function(usage_function is_used) { is_used_ = std::move(is_used); }

    /** Discards all state. Call this when this instance becomes the holder. */
    void reset() { servers_.clear(); }

    /** @returns true if loads are in progress or requested, so that orders may be due soon */
    bool is_busy() const;

    /** Requests the load of an adapter that a request needs on a server. */
    void on_load_requested(const server_name& server, const adapter_ref& ref, time_point now);
    /** Processes a server's refusal of a request for an adapter that should be loaded there.
        @returns true if the server must report its weights before its next order; false if recent orders
        explain the refusal */
    bool on_use_refused(const server_name& server, const adapter_ref& ref, time_point now);
    /** Records that a request was sent to a server that has the adapter loaded. */
    void on_used(const server_name& server, const adapter_ref& ref, time_point now);

    /** Decides on the next orders. The owner must send all of them, in the returned order.
        @param is_managed returns true if a server belongs to the planner's data centre */
    std::vector<weights_order> next_orders(const backend_directory& directory, const route_table& routes,
                                           const version_registry& versions,
                                           const std::function<bool(const backend&)>& is_managed,
                                           time_point now);

    /** @returns the servers that must report their weights before they get orders. The owner must request a
        report from each of them.
        @param is_managed see next_orders() */
    std::vector<server_name> next_report_requests(const backend_directory& directory,
                                                  const route_table& routes,
                                                  const std::function<bool(const backend&)>& is_managed,
                                                  time_point now);

    /** Processes the outcome of an order. @returns true if the known weights of the server have changed */
    bool on_outcome(backend_directory& directory, const weights_order& order, order_outcome outcome,
                    time_point now);
    /** Processes the failure of a report request. */
    void on_report_failed(const server_name& server, time_point now);
    /** Processes a server's report.
        @param sequence the number of orders that the server has accepted
        @param loads_in_progress the weights that the server is loading */
    void on_report(backend_directory& directory, const server_name& server, std::uint64_t started_at,
                   std::uint64_t sequence, const held_weights& weights,
                   const std::set<adapter_ref>& loads_in_progress, time_point now);

private:
    struct load_state {
        time_point check_at{};
        time_point started{};
        std::optional<std::uint64_t> version;
    };
    /** What the planner knows of one start of a server.

        The sequence, the weights and the loads in progress describe the same state. They change only with the
        server's own reports and responses, unlike the directory, which also takes over entries of the
        platform, messages of other gateways and refused requests. With the expected sequence in each order,
        no order can therefore be accepted by a server that has more adapters than counted here. */
    struct server_plan {
        std::uint64_t started_at = 0;
        /** Number of orders that the server has accepted. */
        std::uint64_t order_sequence = 0;
        /** The weights that the server has loaded, including those whose unload waits for requests. */
        held_weights weights;
        std::map<adapter_ref, load_state> loads_in_progress;
        /** An order or a report request is unanswered. */
        bool is_awaiting_response = false;
        /** The server must report its weights before its next order. */
        bool needs_report = true;
        /** When the last order was accepted, or may have been. Reports lag behind it. */
        time_point last_accepted_at{};
        /** When the order without an answer was sent. */
        time_point last_sent_at{};
        /** When the load of each adapter was first and last requested. */
        std::map<adapter_ref, std::pair<time_point, time_point>> load_requests;
        std::map<adapter_ref, time_point> last_used;
        time_point model_ordered_at{};
        /** No orders or report requests are sent before this time. */
        time_point retry_at{};

        /** @returns the number of adapter slots that are taken by loaded adapters and loads in progress */
        std::size_t used_slots() const;
    };

    server_plan* find_plan(const backend& server, const route_table& routes,
                           const std::function<bool(const backend&)>& is_managed, time_point now);
    std::optional<weights_order> plan_server(server_plan& plan, const backend& server,
                                             const engine_spec& engine, const version_registry& versions,
                                             time_point now);
    std::optional<weights_order> plan_check(server_plan& plan, const backend& server, time_point now) const;
    std::optional<adapter_ref> oldest_load_request(const server_plan& plan, const backend& server,
                                                   const version_registry& versions) const;
    std::optional<weights_order> plan_model(server_plan& plan, const backend& server,
                                            const engine_spec& engine, time_point now);
    std::optional<weights_order> plan_load(server_plan& plan, const backend& server,
                                           const engine_spec& engine, const version_registry& versions,
                                           time_point now) const;
    std::optional<adapter_ref> pick_victim(const server_plan& plan, const backend& server,
                                           time_point now) const;
    bool on_model_outcome(server_plan& plan, backend* server, const weights_order& order,
                          order_outcome outcome, time_point now) const;
    bool on_unload_outcome(server_plan& plan, backend* server, const weights_order& order,
                           order_outcome outcome) const;
    bool on_load_outcome(server_plan& plan, backend* server, const weights_order& order,
                         order_outcome outcome, time_point now) const;
    weights_order make_order(const server_plan& plan, const backend& server, order_operation operation,
                             const adapter_ref& ref) const;

    planner_settings settings_;
    usage_function is_used_ = [](const backend&, const adapter_ref&) { return false; };
    std::map<server_name, server_plan> servers_;
    time_point next_model_load_{};
};

} // namespace lovageledge
