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
    The connections to one model engine.

    Orders go over one connection, one at a time; every connection belongs to the engine start that told its
    status on it, so that nothing meant for one start reaches another. All public methods are thread-safe.
*/
class engine_client : public std::enable_shared_from_this<engine_client> {
public:
    using order_result = server_owner::order_result;
    /** What the link reports; called on its strand. */
    struct listeners {
        std::function<void(const start_id&, const std::vector<adapter_key>&, bool is_leaving)> on_status;
        std::function<void()> on_unreachable;
        std::function<void(const adapter_key&, order_result)> on_load;
        std::function<void(const adapter_key&, order_result)> on_unload;
        std::function<void(const attempt_id&, std::uint32_t offset, std::vector<std::string>)> on_progress;
        std::function<void(const attempt_id&, const request_result&, std::uint32_t tokens)> on_ended;
        std::function<void(const attempt_id&)> on_released;
    };

    /** @param credit_window tokens that a stream may be ahead of its caller
        @param stream_silence a stream without tokens for this long is broken */
    engine_client(asio::io_context& context, server_name server, std::uint32_t credit_window,
                  duration stream_silence, listeners actions);
    engine_client(const engine_client&) = delete;
    engine_client& operator=(const engine_client&) = delete;
    ~engine_client() = default;

    void probe(probe_server command);
    void load(order_load command);
    void unload(order_unload command);
    void dispatch(dispatch_request command);
    void cancel(const attempt_id& id);
    void confirm(const confirm_dispatch_ended& command);
    void extend(const attempt_id& id, std::uint32_t tokens);

private:
    struct dispatch_state {
        explicit dispatch_state(const asio::any_io_executor& executor) : credit_signal{executor} {}
        asio::steady_timer credit_signal;
        std::int64_t credit = 0;
        bool is_cancelled = false;
        std::shared_ptr<http_connection> connection;
    };
    struct idle_connection {
        std::shared_ptr<http_connection> connection;
        start_id start;
        time_point since;
    };
    struct engine_status {
        start_id start;
        std::vector<adapter_key> loaded;
        bool is_leaving = false;
    };
    class token_reader;
    using order = std::function<asio::awaitable<void>()>;

    void enqueue(order next);
    asio::awaitable<void> run_orders();
    asio::awaitable<void> run_probe(probe_server command);
    asio::awaitable<void> run_load(order_load command);
    asio::awaitable<void> run_unload(order_unload command);
    asio::awaitable<std::optional<engine_status>> read_status(http_connection& connection, error& why);
    asio::awaitable<std::optional<http_response>> send_order(std::string target, std::string body,
                                                             bool& is_sent);
    asio::awaitable<std::shared_ptr<http_connection>>
    connect_to_start(const std::string& address, const start_id& start, bool is_reusable, error& why);
    asio::awaitable<void> run_dispatch(dispatch_request command);
    asio::awaitable<request_result> stream_answer(const dispatch_request& command,
                                                  const std::shared_ptr<dispatch_state>& state,
                                                  std::uint32_t& tokens);
    static asio::awaitable<bool> send_cancel(http_connection& connection, attempt_id id);
    /** @returns true once the engine, on a new connection, has told that it does not run the request */
    asio::awaitable<bool> confirm_not_running(confirm_dispatch_ended command);
    asio::awaitable<void> run_cancel(attempt_id id);
    asio::awaitable<void> run_confirm(confirm_dispatch_ended command);

    asio::strand<asio::io_context::executor_type> strand_;
    server_name server_;
    std::uint32_t credit_window_;
    duration stream_silence_;
    listeners listeners_;
    http_connection order_connection_;
    std::string address_;
    std::deque<order> orders_;
    bool is_running_orders_ = false;
    bool is_probe_queued_ = false;
    std::map<attempt_id, std::shared_ptr<dispatch_state>> dispatches_;
    std::deque<idle_connection> idle_;
};

} // namespace lovageledge
