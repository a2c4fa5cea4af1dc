#pragma once

#include "lovageledge/coordination/coordination.hpp"
#include "lovageledge/transport/transport.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lovageledge {

/**
    HTTP client for one model engine.

    Probes and load and unload orders share one connection and run one at a time. Every connection belongs to
    the engine start that reported its status over it, so that nothing meant for one start of the engine
    reaches another. All public methods are thread-safe.
*/
class engine_client : public std::enable_shared_from_this<engine_client> {
public:
    using order_result = server_owner::order_result;
    /** Called on the client's strand. on_unreachable: a probe failed. on_ended: a dispatch ended, for any
        reason. on_end_confirmed: the engine no longer runs a request that confirm() was called for. */
    struct callbacks {
        std::function<void(const start_id&, const std::vector<adapter_key>&, bool is_leaving)> on_status;
        std::function<void()> on_unreachable;
        std::function<void(const adapter_key&, order_result)> on_load;
        std::function<void(const adapter_key&, order_result)> on_unload;
        std::function<void(const attempt_id&, std::uint32_t offset, std::vector<std::string>)> on_progress;
        std::function<void(const attempt_id&, const request_result&, std::uint32_t tokens)> on_ended;
        std::function<void(const attempt_id&)> on_end_confirmed;
    };

    /** @param credit_window number of tokens that a stream may be ahead of its caller
        @param stream_silence a stream without tokens for this long ends if its request's deadline has
        passed; without any sign of the engine's machine it ends at once */
    engine_client(asio::io_context& context, server_name server, std::uint32_t credit_window,
                  duration stream_silence, callbacks handlers);
    engine_client(const engine_client&) = delete;
    engine_client& operator=(const engine_client&) = delete;
    ~engine_client() = default;

    /** Reads the engine's status over the order connection, which is opened first if necessary. The probe is
        dropped if another one is queued already, unless the command asks for a new connection. */
    void probe(probe_server command);
    void load(order_load command);
    void unload(order_unload command);
    /** Runs a request. Reports it as not run if the engine has restarted or the decision is too old. */
    void dispatch(dispatch_request command);
    /** Cancels a dispatched request; its end is still reported with on_ended. */
    void cancel(const attempt_id& id);
    /** Asks the engine to cancel a request until it confirms that, or has restarted. */
    void confirm(const confirm_dispatch_ended& command);
    /** Allows a dispatched request to read this many more tokens. */
    void add_credit(const attempt_id& id, std::uint32_t tokens);

private:
    struct dispatch_state {
        explicit dispatch_state(const asio::any_io_executor& executor) : credit_signal{executor} {}
        /** Cancelled to wake a stream that waits for credit. */
        asio::steady_timer credit_signal;
        /** Tokens that may still be read; negative if one read returned more than that. */
        std::int64_t credit = 0;
        bool is_cancelled = false;
        std::shared_ptr<http_connection> connection;
    };
    struct idle_connection {
        std::shared_ptr<http_connection> connection;
        start_id start;
        time_point idle_since;
    };
    struct engine_status {
        start_id start;
        std::vector<adapter_key> loaded;
        bool is_leaving = false;
    };
    class token_stream_parser;
    using order = std::function<asio::awaitable<void>()>;

    void enqueue(order next);
    asio::awaitable<void> run_orders();
    asio::awaitable<void> run_probe(probe_server command);
    asio::awaitable<void> run_load(order_load command);
    asio::awaitable<void> run_unload(order_unload command);
    asio::awaitable<std::optional<engine_status>> read_status(http_connection& connection, error& failure);
    /** @param is_sent set to true once any byte may have left
        @returns the response, or nothing if there is none */
    asio::awaitable<std::optional<http_response>> send_order(std::string target, std::string body,
                                                             bool& is_sent);
    /** @param allow_reuse if false, always opens a connection and verifies the engine's start id over it
        @returns a connection to this start of the engine, or nullptr with the reason */
    asio::awaitable<std::shared_ptr<http_connection>>
    acquire_connection(const std::string& address, const start_id& start, bool allow_reuse, error& failure);
    asio::awaitable<void> run_dispatch(dispatch_request command);
    /** @param tokens counts the tokens that have been read */
    asio::awaitable<request_result> stream_response(const dispatch_request& command,
                                                    const std::shared_ptr<dispatch_state>& state,
                                                    std::uint32_t& tokens);
    /** @returns true if the engine acknowledged the cancellation */
    static asio::awaitable<bool> send_cancel(http_connection& connection, attempt_id id);
    /** @returns true if the engine, over a new connection, confirms that it does not run the request */
    asio::awaitable<bool> confirm_not_running(confirm_dispatch_ended command);
    asio::awaitable<void> run_cancel(attempt_id id);
    asio::awaitable<void> run_confirm(confirm_dispatch_ended command);

    asio::strand<asio::io_context::executor_type> strand_;
    server_name server_;
    std::uint32_t credit_window_;
    duration stream_silence_;
    callbacks callbacks_;
    http_connection order_connection_;
    std::string address_;
    std::deque<order> orders_;
    bool is_running_orders_ = false;
    bool is_probe_queued_ = false;
    std::map<attempt_id, std::shared_ptr<dispatch_state>> dispatches_;
    std::deque<idle_connection> idle_connections_;
};

} // namespace lovageledge
