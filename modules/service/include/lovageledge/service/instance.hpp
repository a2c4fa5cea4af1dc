#pragma once

#include "lovageledge/service/admin_api.hpp"
#include "lovageledge/service/caller_api.hpp"
#include "lovageledge/service/caller_stream.hpp"
#include "lovageledge/service/daemon_settings.hpp"
#include "lovageledge/service/decision_log.hpp"
#include "lovageledge/service/engine_client.hpp"
#include "lovageledge/service/metrics.hpp"
#include "lovageledge/service/platform_client.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

namespace lovageledge {

/**
    One instance on the network: executes the commands of a node and reports the results back to it.

    Construct it, call start(), then run the context on the number of threads given in the settings.
    Thread-safe.
*/
class instance {
public:
    instance(asio::io_context& context, daemon_settings settings);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    /** Opens all listening sockets and starts the ticks. @returns false with the reason if a socket fails */
    bool start(error& failure);
    /** Begins the planned stop, which ends by stopping the context. Further calls have no effect. */
    void stop();

    /** Executes commands of the node. */
    void execute(command_list commands);
    /** Tells the node that the caller of a request has disconnected. */
    void abandon_request(const request_id& id);

    node& local_node() { return node_; }
    const daemon_settings& settings() const { return settings_; }
    const runtime_clock& clock() const { return clock_; }
    caller_stream_registry& caller_streams() { return caller_streams_; }
    metrics& instance_metrics() { return metrics_; }
    const decision_log& log() const { return log_; }
    platform_client& platform() { return *platform_; }
    admin_api& admin_interface() { return admin_; }
    /** @returns all metrics in the Prometheus text format */
    std::string metrics_text() const;

private:
    /** @returns the client of a backend server, created on first use */
    std::shared_ptr<engine_client> engine_client_for(const server_name& server);
    void execute_command(send_to_peer& command);
    void execute_command(call_platform& command);
    void execute_command(dispatch_request& command);
    void execute_command(cancel_dispatch& command);
    void execute_command(confirm_dispatch_ended& command);
    void execute_command(extend_credit& command);
    void execute_command(order_load& command);
    void execute_command(order_unload& command);
    void execute_command(probe_server& command);
    void execute_command(connect_peer& command);
    void execute_command(deliver_tokens& command);
    void execute_command(finish_request& command);
    void execute_command(call_plain_service& command);
    void execute_command(finish_publication& command);
    asio::awaitable<void> tick_loop();
    /** Waits until all work is handed over or finished, for at most the drain limit; stops the context. */
    asio::awaitable<void> drain();
    time_point now() const { return clock_.now(); }

    asio::io_context& context_;
    daemon_settings settings_;
    runtime_clock clock_;
    decision_log log_;
    metrics metrics_;
    node node_;
    caller_stream_registry caller_streams_;
    std::shared_ptr<platform_client> platform_;
    peer_socket peers_;
    caller_api caller_api_;
    admin_api admin_;
    http_server caller_server_;
    http_server admin_server_;
    /** Guards engine_clients_ and dispatch_servers_. */
    mutable std::mutex engine_clients_mutex_;
    std::map<server_name, std::shared_ptr<engine_client>> engine_clients_;
    /** The backend server of each running dispatch. */
    std::map<attempt_id, server_name> dispatch_servers_;
    std::atomic<bool> is_stopping_{false};
};

} // namespace lovageledge
