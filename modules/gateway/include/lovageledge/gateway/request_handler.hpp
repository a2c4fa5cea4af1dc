#pragma once

#include "lovageledge/gateway/attempt_observer.hpp"
#include "lovageledge/gateway/connection_pool.hpp"
#include "lovageledge/gateway/gateway_state.hpp"
#include "lovageledge/gateway/message_heads.hpp"
#include "lovageledge/gateway/order_coordinator.hpp"

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace lovageledge {

/**
    Handles one request: matches its route, selects a server, and forwards the response, with retries.

    Each attempt either yields a response, or is known not to have run the request, or may have run it. A
    request that was not run may be retried at another server; one that may have run is only retried if its
    route is idempotent. Must only be used on the gateway's thread.
*/
class request_handler : public std::enable_shared_from_this<request_handler> {
public:
    request_handler(gateway_state& state, order_coordinator& coordinator, connection_pool& pool,
                    http_exchange& exchange);

    /** Serves the request. Afterwards the exchange has a response or is aborted. If a step throws, the caller
        gets an error response that tells whether the request may have run. */
    asio::awaitable<void> run();
    /** Ends a request that has no response yet with an error response, because the process is about to
        exit. */
    void end_for_stop();

private:
    enum class attempt_outcome {
        /** The caller has received the response or has disconnected. */
        finished,
        /** The server states that it did not run the request and never will. */
        not_run,
        /** Not run, because the server does not hold the adapter in the required version. */
        weights_missing,
        /** The request was not sent to the server. */
        not_sent,
        /** The server may have run the request; the caller has received nothing. */
        unknown,
        /** The stream ended early, after the caller had received a part of it. */
        stream_interrupted,
        /** The server answered with a 5xx status; it is forwarded unless a retry succeeds. */
        failed,
    };

    /** @returns true if a response certainly belongs to the request that was last sent on a connection */
    bool is_response_to(const forwarding_connection& connection, const response_attributes& attributes) const;
    asio::awaitable<void> serve();
    asio::awaitable<void> finish_after_exception(std::string reason);
    /** Asks for the decision on the request; decision_, route_ and deadline_ are set then. */
    void decide_admission();
    /** Precondition: the decision is a refusal. */
    asio::awaitable<void> refuse_admission();
    /** Derives the work item from the admitted request. */
    void prepare_work();
    asio::awaitable<void> run_attempts();
    asio::awaitable<std::optional<server_choice>> select_server();
    /** Picks a server; a request for an engine waits until there is room, if the settings bound that.
        @returns nothing if no server can run it, or if it is refused and last_error_ and retry_after_ are set
     */
    asio::awaitable<placement> find_place();
    placement_terms make_placement_terms() const;
    /** Waits until a server's pause ends, if all servers have asked for one and the wait is short enough.
        @returns false if the request must be refused; last_error_ and retry_after_ are set then */
    asio::awaitable<bool> wait_for_pause_end();
    asio::awaitable<attempt_outcome> run_attempt(const server_choice& choice);
    /** Takes this request off the server's counts. @param started_at start of the server that was sent to */
    void end_attempt(const server_name& name, std::uint64_t started_at);
    asio::awaitable<attempt_outcome> exchange_with_server(backend& server,
                                                          std::shared_ptr<forwarding_connection> connection);
    asio::awaitable<std::shared_ptr<forwarding_connection>> connect(const backend& server);
    /** Reads the head of the response to this attempt, skipping late or repeated responses to earlier
        requests. */
    asio::awaitable<std::optional<response_head>>
    read_matching_head(const std::shared_ptr<forwarding_connection>& connection,
                       const server_listing& listing, time_point limit, response_attributes& attributes);
    /** @returns false if a response of this size is too long or there is no memory for it */
    static bool has_room(memory_share& memory, std::size_t bytes);
    /** @returns why has_room() has failed */
    static std::string too_long_reason(const memory_share& memory);
    /** Records that a server responds as it should, which ends a period of failures. */
    void end_failures(const server_name& name);
    /** Processes what a response says about its server, whichever request it belongs to. */
    void process_notices(const server_listing& listing, const response_attributes& attributes);
    asio::awaitable<attempt_outcome>
    forward_buffered(const std::shared_ptr<forwarding_connection>& connection, const server_listing& listing,
                     response_head head);
    asio::awaitable<attempt_outcome> forward_stream(const std::shared_ptr<forwarding_connection>& connection,
                                                    const server_listing& listing, response_head head);
    /** Decides what follows after a server's stream broke off or did not continue the caller's stream. */
    asio::awaitable<attempt_outcome>
    on_stream_broken(const std::shared_ptr<forwarding_connection>& connection, const std::string& reason,
                     bool is_resumable);
    asio::awaitable<attempt_outcome> abort_stream();
    attempt_outcome on_not_run_response(const server_name& server, const response_head& head,
                                        const response_attributes& attributes);

    /** @returns the head of this request for a server */
    std::string make_forwarded_head(const backend& server) const;
    /** Decides whether to retry; if so, spends from the retry budget and logs it. */
    bool try_retry(attempt_outcome result, const server_choice& last_choice);
    /** Spends a retry for a stream whose server is silent. @returns false if no other server could go on with
        it, so that giving this one up would only end the stream */
    bool reserve_resumption();
    /** @returns when the caller must have a response at the latest */
    time_point answer_limit() const { return std::min(deadline_, state_.answer_until); }
    bool has_time_left() const {
        return state_.now() < answer_limit() && !is_caller_gone_ && !is_ended_by_stop_;
    }
    void on_caller_gone();
    void on_stream_started();
    void release_pending_tokens();
    /** @returns true if the request, or a part of its prompt, has crashed too many servers; last_error_ and
        retry_after_ are set then */
    bool is_quarantined();
    /** Records that the current attempt has succeeded, as far as its answer tells. */
    void record_success(const server_listing& listing);
    /** Records that the answer to the current attempt broke off, or did not come within its limit. */
    void record_broken_answer(const server_listing& listing);
    void log_routed(const server_choice& choice) const;
    asio::awaitable<void> finish_unserved();
    asio::awaitable<void> refuse(unsigned status, std::string_view reason,
                                 std::optional<duration> retry_after, std::vector<http_header> headers = {});
    void log_finished(unsigned status, std::string_view outcome);

    gateway_state& state_;
    order_coordinator& coordinator_;
    connection_pool& pool_;
    http_exchange& exchange_;
    std::shared_ptr<const route_table> routes_;
    /** What was decided and found when the request arrived. */
    request_decision decision_;
    const route_rule* route_ = nullptr;
    request_attributes attributes_;
    selection_request work_;
    std::string path_;
    time_point started_{};
    time_point deadline_{};
    std::uint32_t attempts_ = 0;
    /** Attempts that may have run the request. */
    std::uint32_t possible_runs_ = 0;
    /** This request is counted in gateway_state::requests_in_progress. */
    bool is_in_progress_ = false;
    /** The current attempt was sent, and possible_runs_ does not include it yet. */
    bool is_attempt_open_ = false;
    /** Prompt tokens of this request that count as pending at the current server. */
    std::uint32_t pending_tokens_ = 0;
    server_name current_server_;
    /** When the current attempt was sent. */
    time_point sent_at_{};
    duration expected_time_{};
    attempt_observer observer_{state_};
    /** The request has waited for the load of an adapter on any server. */
    bool has_waited_for_load_ = false;
    stream_timing stream_events_;
    /** How the end of the current answer's body is told. */
    body_framing framing_ = body_framing::none;
    /** Bytes of the current answer's body so far. */
    std::uint64_t received_bytes_ = 0;
    /** True while the current server counts this request as streaming. */
    bool is_counted_streaming_ = false;
    /** Servers that refused this request because they did not hold the adapter. */
    std::set<server_name> servers_lacking_weights_;
    std::shared_ptr<forwarding_connection> connection_;
    /** Connections on which this request was sent. It is not sent on one of them again, because a repeated
        response to the earlier attempt would carry the same request id. */
    std::vector<std::shared_ptr<forwarding_connection>> used_connections_;
    event_framer framer_;
    std::optional<std::string> resume_after_;
    bool has_stream_started_ = false;
    bool is_caller_gone_ = false;
    /** What was seen of the caller when it was taken to be gone. */
    socket_input caller_input_ = socket_input::none;
    bool is_ended_by_stop_ = false;
    /** The next retry was spent by reserve_resumption(). */
    bool has_reserved_retry_ = false;
    std::optional<response_head> error_response_head_;
    std::string error_response_body_;
    std::unique_ptr<memory_share> error_response_memory_;
    std::string last_error_;
    /** When the caller should return, if that is known better than retry_after_transient. */
    std::optional<duration> retry_after_;
};

} // namespace lovageledge
