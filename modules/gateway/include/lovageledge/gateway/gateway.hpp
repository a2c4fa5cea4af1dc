#pragma once

#include "lovageledge/gateway/connection_pool.hpp"
#include "lovageledge/gateway/gateway_state.hpp"
#include "lovageledge/gateway/loop_monitor.hpp"
#include "lovageledge/gateway/order_coordinator.hpp"
#include "lovageledge/gateway/request_handler.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lovageledge {

/**
    A gateway instance: an HTTP reverse proxy that forwards callers' requests to backend servers.

    The platform's adapter reports changes in the store through the on_ functions. The context must be run by
    a single thread, and all functions must be called on it: an instance has a quarter of a core, so more
    threads would only add context switches.
*/
class gateway {
public:
    gateway(asio::io_context& context, gateway_settings settings, wire_codec codec, platform_port platform);
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;
    ~gateway() = default;

    /** Listens on all configured addresses. One that is in use is tried again for as long as a former process
        may take to stop; metrics are not waited for. Blocks meanwhile.
        @returns false and sets failure if one can't be bound */
    bool start(error& failure);
    /** Begins a graceful shutdown: new requests are still served for a while, and those in progress may
        finish within the stop limit. A second call does nothing.
        @param on_stopped called once, when the process may exit */
    void stop(std::function<void()> on_stopped);

    /** Puts a version of the configuration in force; it is ignored unless newer than the current one.
        @param source who has read it, for the log */
    void on_configuration(traffic_configuration configuration, std::string_view source = "store");
    /** Adds or updates a backend server after its entry in the store has changed. */
    void on_server(server_listing listing);
    void on_server_removed(const server_name& name);
    /** Removes all servers that are missing from a complete listing of the store. */
    void on_server_list(const std::set<server_name>& listed);
    /** Called when a new version of a model or an adapter is announced. */
    void on_version(const adapter_ref& ref, std::uint64_t version);
    /** Called with the gateways' own records in the store. @see order_coordinator */
    void on_record(const stored_record& record) { coordinator_.on_record(record); }
    void on_record_removed(const std::string& name) { coordinator_.on_record_removed(name); }
    void on_records_listed(const std::set<std::string>& names, store_revision revision) {
        coordinator_.on_records_listed(names, revision);
    }
    void on_store_era(store_era era) { coordinator_.on_store_era(era); }
    void on_records_complete() { coordinator_.on_records_complete(); }
    /** Called after changes were read from the store. The holder of the order domain relays them to its
        peers. */
    void on_store_read(const store_update& update) { coordinator_.relay_store_update(update); }
    /** @returns true if other gateways rely on the store updates that this one relays */
    bool relays_store_updates() const { return coordinator_.relays_store_updates(); }
    /** @returns true if the limits allow this gateway to rely on store updates that the holder relays */
    bool may_rely_on_holder() const { return coordinator_.may_rely_on_holder(); }
    /** Logs an entry of the store that can't be used. */
    void on_rejected_entry(const std::string& entry, const std::string& reason);

    /** @returns true if the load balancer may send callers here */
    bool is_ready() const;
    decision_log& log() { return state_.log; }

private:
    asio::awaitable<void> serve(http_exchange& exchange);
    asio::awaitable<void> serve_readiness(http_exchange& exchange);
    asio::awaitable<void> serve_metrics(http_exchange& exchange);
    /** Calls a function that listens on an address, repeatedly while the address is in use. */
    bool listen(const std::function<bool(error&)>& try_listen, error& failure) const;
    void start_metrics();
    asio::awaitable<void> retry_metrics();
    /** Ends the coordination with other gateways, or gives it up at the limit. */
    asio::awaitable<void> finish_coordination(time_point limit);
    asio::awaitable<void> wait_until(time_point limit, std::function<bool()> is_done,
                                     duration check_interval = std::chrono::milliseconds{50});
    /** Ends the requests that have no response yet with an error response. */
    void end_requests();
    /** Answers what has arrived, closes the callers' connections and accepts no more. */
    asio::awaitable<void> drain_callers(time_point limit);
    asio::awaitable<void> stop_when_idle(time_point stop_began, std::function<void()> on_stopped);
    void drop_server(const server_name& name);

    asio::io_context& context_;
    gateway_state state_;
    /** Why entries of the store could not be used, as last logged. */
    std::map<std::string, std::string> rejected_entries_;
    order_coordinator coordinator_;
    connection_pool pool_;
    /** The requests in progress. */
    std::set<std::shared_ptr<request_handler>> handlers_;
    http_server caller_server_;
    http_server readiness_server_;
    http_server metrics_server_;
    loop_monitor loop_monitor_{context_, state_};
    bool has_server_list_ = false;
};

} // namespace lovageledge
