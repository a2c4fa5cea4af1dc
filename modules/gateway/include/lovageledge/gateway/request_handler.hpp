#pragma once

#include "lovageledge/gateway/order_coordinator.hpp"
#include "lovageledge/gateway/server_attempt.hpp"

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
    route is idempotent. While the server of an attempt is silent, a second attempt may run beside it, the
    standby; whichever begins to answer first goes on, and the other one is withdrawn. Must only be used on
    the gateway's thread.
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
    /** Logs a request that the end of the process cuts. */
    void record_cut_by_exit();

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
        /** Another attempt has begun to answer first. */
        withdrawn,
        /** The answer has begun; nothing of it was forwarded. */
        begun,
    };

    asio::awaitable<void> serve();
    /** Serves the request, and ends it with an error response if a step throws. */
    asio::awaitable<void> serve_or_fail();
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
    /** @param framer joins the events of the attempt to those before
        @returns the attempt that follows from a choice, counted but not connected; nullptr if the server is
        gone */
    std::shared_ptr<server_attempt> begin_attempt(const server_choice& choice, event_framer framer);
    /** Runs the steps of an attempt and ends it, also if they throw. */
    asio::awaitable<attempt_outcome> complete(std::shared_ptr<server_attempt> attempt,
                                              asio::awaitable<attempt_outcome> steps);
    void end_attempt(server_attempt& attempt, attempt_outcome result);

    /** Called when the server of an attempt has been silent for as long as its limit. Begins a standby, or
        replaces a silent one, if that may be.
        @returns when to ask again; nothing at the deadline or if the attempt was replaced */
    std::optional<time_point> on_silence(server_attempt& attempt, duration patience);
    /** @returns the server for a second attempt beside the current one; nothing if there must be none or no
        sound server can take it */
    std::optional<server_choice> choose_standby();
    /** Begins a second attempt, in place of the former one if there is one, provided that a server and the
        budget allow it. @param patience limit on silence that has passed, for the log */
    void begin_standby(duration patience);
    /** Runs a standby until its answer has begun or it has ended. If it begins first, the current attempt is
        withdrawn. */
    asio::awaitable<void> run_standby(std::shared_ptr<server_attempt> attempt);
    asio::awaitable<attempt_outcome> run_until_begun(server_attempt& attempt);
    /** Withdraws the current attempt, if it has not ended: its standby goes on. */
    void withdraw_current();
    void withdraw(server_attempt& attempt);
    /** Withdraws the standby, if there is one: the current attempt goes on. */
    void end_standby();
    asio::awaitable<void> wait_for_standby_change();
    /** Continues with the answer of the standby, if there is one, after the current attempt has ended.
        @param result of the current attempt @returns that of the last one */
    asio::awaitable<attempt_outcome> continue_with_standby(attempt_outcome result);

    /** Counts an attempt that was sent as one that may have run the request, unless that was decided. */
    void count_run(server_attempt& attempt);
    asio::awaitable<bool> connect(server_attempt& attempt);
    /** Connects to the server and sends the request. @returns false if it was not sent */
    asio::awaitable<bool> send(server_attempt& attempt);
    asio::awaitable<attempt_outcome> exchange_with_server(server_attempt& attempt);
    /** Reads the head of an attempt's response. @returns false and sets last_error_ if there is none */
    asio::awaitable<bool> read_head(server_attempt& attempt);
    /** Judges an attempt without a response. */
    attempt_outcome on_no_response(server_attempt& attempt);
    /** Counts a run. @returns the outcome if the response can't be forwarded, whatever follows its head */
    std::optional<attempt_outcome> judge_head(server_attempt& attempt);
    /** @returns true if the response is forwarded as it arrives */
    bool is_streamed(const server_attempt& attempt) const;
    /** @returns true if another server can continue the stream after its last complete event */
    bool is_resumable(const response_head& head) const;
    /** Forwards the response whose head has arrived. */
    asio::awaitable<attempt_outcome> deliver(server_attempt& attempt);
    /** @returns false if a response of this size is too long or there is no memory for it */
    static bool has_room(memory_share& memory, std::size_t bytes);
    /** @returns why has_room() has failed */
    static std::string too_long_reason(const memory_share& memory);
    /** Records that a server responds as it should, which ends a period of failures. */
    void end_failures(const server_name& name);
    asio::awaitable<attempt_outcome> forward_buffered(server_attempt& attempt);
    /** @returns true for a standby whose current attempt has not ended */
    bool overlaps_current(const server_attempt& attempt) const;
    /** As on_silence() for a stream. The current attempt does not overlap the stream of its standby for
       longer than a moment. */
    std::optional<time_point> on_stream_silence(server_attempt& attempt);
    /** Reads the next part of a stream. @returns nothing and sets last_error_ if it has broken off */
    asio::awaitable<std::optional<stream_part>> read_stream_part(server_attempt& attempt);
    asio::awaitable<attempt_outcome> forward_stream(server_attempt& attempt);
    /** Counts a stream that broke off as a failure of its server. */
    void on_stream_failed(server_attempt& attempt);
    /** Decides what follows after the current attempt's stream broke off or did not continue the caller's. */
    asio::awaitable<attempt_outcome> on_stream_broken(server_attempt& attempt);
    asio::awaitable<attempt_outcome> abort_stream();
    /** Processes a response that states that the request was not run, and reads it to its end. */
    asio::awaitable<attempt_outcome> on_not_run_response(server_attempt& attempt);
    attempt_outcome process_not_run(const server_attempt& attempt);

    /** @returns the head of this request for a server */
    std::string make_forwarded_head(const backend& server, const server_attempt& attempt) const;
    /** Decides whether to retry; if so, spends from the retry budget and logs it. */
    bool try_retry(attempt_outcome result, const server_name& last_server);
    /** @returns when the caller must have a response at the latest */
    time_point answer_limit() const { return std::min(deadline_, state_.answer_until); }
    bool has_time_left() const {
        return state_.now() < answer_limit() && !is_caller_gone_ && !is_ended_by_stop_;
    }
    void abort_attempts();
    void on_caller_gone();
    /** @returns true if the request, or a part of its prompt, has crashed too many servers; last_error_ and
        retry_after_ are set then */
    bool is_quarantined();
    void log_routed(const server_choice& choice, const server_attempt& attempt) const;
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
    bool has_logged_end_ = false;
    /** This request is counted in gateway_state::requests_in_progress. */
    bool is_in_progress_ = false;
    /** The attempt whose answer is forwarded, or the last one. */
    std::shared_ptr<server_attempt> current_;
    /** A second attempt beside the current one, whose server is silent. */
    std::shared_ptr<server_attempt> standby_;
    bool has_standby_begun_ = false;
    /** Coroutines of run_standby() that have not ended, also those of withdrawn attempts. */
    std::uint32_t running_standbys_ = 0;
    /** Cancelled when a standby has begun or ended. */
    std::optional<asio::steady_timer> standby_changed_;
    /** The request has waited for the load of an adapter on any server. */
    bool has_waited_for_load_ = false;
    /** Servers that refused this request because they did not hold the adapter. */
    std::set<server_name> servers_lacking_weights_;
    /** Connections on which this request was sent. It is not sent on one of them again, because a repeated
        response to the earlier attempt would carry the same request id. */
    std::vector<std::shared_ptr<forwarding_connection>> used_connections_;
    /** Joins the events of the next attempt to those that were forwarded. */
    event_framer framer_;
    bool has_stream_started_ = false;
    bool is_caller_gone_ = false;
    /** What was seen of the caller when it was taken to be gone. */
    socket_input caller_input_ = socket_input::none;
    bool is_ended_by_stop_ = false;
    std::optional<response_head> error_response_head_;
    std::string error_response_body_;
    std::unique_ptr<memory_share> error_response_memory_;
    std::string last_error_;
    /** When the caller should return, if that is known better than retry_after_transient. */
    std::optional<duration> retry_after_;
};

} // namespace lovageledge
