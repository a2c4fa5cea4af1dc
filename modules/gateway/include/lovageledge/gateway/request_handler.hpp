#pragma once

#include "lovageledge/gateway/connection_pool.hpp"
#include "lovageledge/gateway/gateway_state.hpp"
#include "lovageledge/gateway/order_coordinator.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace lovageledge {

/**
    The way of one request: its route, its server, the attempts, and the answer.

    Every attempt ends in one of these: answered, not run, or unknown. What was not run may go to another
   server; what may have run goes on only if its route is idempotent. Used on the gateway's one thread.
*/
class request_handler : public std::enable_shared_from_this<request_handler> {
public:
    request_handler(gateway_state& state, order_coordinator& desk, connection_pool& pool,
                    http_exchange& exchange);

    /** Serves the request. The exchange has an answer afterwards, or is aborted. */
    asio::awaitable<void> run();

private:
    enum class attempt_end {
        /** The caller has the answer, or is gone. */
        finished,
        /** The server states that it did not run the request. */
        not_run,
        /** Not run, since the server does not hold the adapter in the version that must serve. */
        weights_missing,
        /** Nothing was sent to the server. */
        not_sent,
        /** It may have run, and the caller has nothing of it yet. */
        unknown,
        /** It may have run; the caller has a part of the stream. */
        broken_off,
        /** The server's own failure, which the caller may get if nobody does better. */
        failed,
    };

    bool has_clear_framing() const;
    bool prepare();
    asio::awaitable<void> serve_attempts();
    asio::awaitable<std::optional<server_choice>> find_server();
    asio::awaitable<attempt_end> attempt(const server_choice& choice);
    asio::awaitable<attempt_end> converse(backend& server, std::shared_ptr<forwarding_connection> connection);
    asio::awaitable<std::shared_ptr<forwarding_connection>> connect(const backend& server);
    asio::awaitable<std::optional<response_head>>
    read_own_head(const std::shared_ptr<forwarding_connection>& connection, time_point limit,
                  response_attributes& facts);
    asio::awaitable<attempt_end> forward_whole(const std::shared_ptr<forwarding_connection>& connection,
                                               response_head head);
    asio::awaitable<attempt_end> forward_stream(const std::shared_ptr<forwarding_connection>& connection,
                                                response_head head);
    asio::awaitable<attempt_end> on_stream_broken();
    attempt_end on_refused(const server_name& server, const response_head& head,
                           const response_attributes& facts);

    std::string make_head(const backend& server) const;
    std::vector<http_header> forwarded_headers(const response_head& head) const;
    bool may_repeat(attempt_end end, const server_choice& last);
    bool has_time_left() const { return state_.now() < deadline_ && !is_caller_gone_; }
    void on_caller_gone();
    void on_stream_begun();
    void release_pending_tokens();
    std::string make_fingerprint() const;
    void note_broken_run(const server_name& server);
    void log_routed(const server_choice& choice) const;
    asio::awaitable<void> finish_unserved();
    asio::awaitable<void> refuse(unsigned status, std::string_view reason,
                                 std::optional<duration> retry_after);
    void log_finished(unsigned status, std::string_view outcome);

    gateway_state& state_;
    order_coordinator& desk_;
    connection_pool& pool_;
    http_exchange& exchange_;
    std::shared_ptr<const route_table> routes_;
    const route_rule* route_ = nullptr;
    request_attributes facts_;
    selection_request work_;
    std::string path_;
    /** Digest of what a caller would send again; empty for requests without a body. */
    std::string fingerprint_;
    time_point started_{};
    time_point deadline_{};
    std::uint32_t attempts_ = 0;
    /** Servers that may have run the request. */
    std::uint32_t runs_ = 0;
    /** Prompt tokens that count as pending at the present server. */
    std::uint32_t pending_tokens_ = 0;
    server_name present_server_;
    /** The present server counts this request among its streams. */
    bool is_counted_streaming_ = false;
    /** Servers that lacked the adapter. */
    std::set<server_name> lacking_;
    std::shared_ptr<forwarding_connection> connection_;
    event_framer framer_;
    std::optional<std::string> resume_after_;
    bool has_stream_begun_ = false;
    bool is_caller_gone_ = false;
    std::optional<response_head> failed_head_;
    std::string failed_body_;
    std::string last_problem_;
};

} // namespace lovageledge
