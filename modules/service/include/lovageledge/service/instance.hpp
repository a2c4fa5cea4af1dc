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
    One instance on the network: it carries out the commands of a node and reports back to it.

    Make it, start() it, run the context on as many threads as the settings say. Thread-safe.
*/
class instance {
public:
    instance(asio::io_context& context, daemon_settings settings);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    /** Opens all listening sockets. @returns false with the reason if one can't be opened */
    bool start(error& why);
    /** Begins the planned stop; the context is stopped at its end. A second call changes nothing. */
    void stop();

    /** Carries out commands. */
    void execute(command_list commands);
    /** Gives up a request whose caller is gone. */
    void leave(const request_id& id);

    node& decisions() { return node_; }
    const daemon_settings& settings() const { return settings_; }
    const runtime_clock& clock() const { return clock_; }
    caller_stream_registry& callers() { return callers_; }
    metrics& measurements() { return metrics_; }
    const decision_log& log() const { return log_; }
    platform_client& platform() { return *platform_; }
    admin_api& administration() { return admin_; }
    std::string metrics_text() const;

private:
    std::shared_ptr<engine_client> link_to(const server_name& server);
    void carry_out(send_to_peer& item);
    void carry_out(call_platform& item);
    void carry_out(dispatch_request& item);
    void carry_out(cancel_dispatch& item);
    void carry_out(confirm_dispatch_ended& item);
    void carry_out(extend_credit& item);
    void carry_out(order_load& item);
    void carry_out(order_unload& item);
    void carry_out(probe_server& item);
    void carry_out(connect_peer& item);
    void carry_out(deliver_tokens& item);
    void carry_out(finish_request& item);
    void carry_out(call_plain_service& item);
    void carry_out(finish_publication& item);
    asio::awaitable<void> tick_loop();
    asio::awaitable<void> drain();
    time_point now() const { return clock_.now(); }

    asio::io_context& context_;
    daemon_settings settings_;
    runtime_clock clock_;
    decision_log log_;
    metrics metrics_;
    node node_;
    caller_stream_registry callers_;
    std::shared_ptr<platform_client> platform_;
    peer_socket peers_;
    caller_api caller_api_;
    admin_api admin_;
    http_server caller_server_;
    http_server admin_server_;
    mutable std::mutex links_mutex_;
    std::map<server_name, std::shared_ptr<engine_client>> links_;
    std::map<attempt_id, server_name> dispatched_;
    std::atomic<bool> is_stopping_{false};
};

} // namespace lovageledge
