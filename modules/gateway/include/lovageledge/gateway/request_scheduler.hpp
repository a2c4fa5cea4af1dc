#pragma once

#include "lovageledge/serving/serving.hpp"
#include "lovageledge/transport/transport.hpp"

#include <functional>
#include <map>
#include <memory>

namespace lovageledge {

struct gateway_state;

/**
    Lets requests that need weights wait until request_placement sends or refuses them.

    It adds the timers, the metrics and the log to the decisions. Without the setting `[waiting] bounded` it
    does nothing. Must only be used on the gateway's thread.
*/
class request_scheduler {
public:
    /** @param state must outlive this object; its directory, selector and versions are used */
    explicit request_scheduler(gateway_state& state);

    /** @returns true if the requests of a service's engines are bounded and this is one of them */
    bool is_responsible_for(const selection_request& work) const;

    /** Waits until the request may be sent or is refused.
        @param work must outlive the call
        @param may_wait returns false when the request is given up; the outcome is then `wait` */
    asio::awaitable<placement> wait_for_place(selection_request& work, placement_terms terms,
                                              std::function<bool()> may_wait);
    /** Adds a request that is about to be sent to the server's work. */
    void on_sent(backend& server, const placement_terms& terms, const request_size& size);
    /** Records that a request on the server has begun its response. */
    void on_progress(const server_name& server);
    /** Removes a request from the work of a server.
        @param started_at the server's start to which the request was sent
        @param run_time from sending the request to the end of the response, if it was completed */
    void on_ended(const server_name& server, std::uint64_t started_at, const request_size& size,
                  std::optional<duration> run_time);
    /** Records that other gateways have reported their work. */
    void on_reports();
    /** Ends the wait of a request, if it waits, after may_wait has become false. */
    void give_up(const selection_request& work);
    /** @returns the tokens that wait for room on a server at this gateway or were sent to it recently */
    tokens_by_rank wanted_tokens(const server_name& server) const;

private:
    struct waiter {
        const selection_request* work = nullptr;
        std::shared_ptr<asio::steady_timer> timer;
    };
    /** Requests that have waited, since the last line of the log. */
    struct wait_summary {
        std::uint64_t sent = 0;
        std::uint64_t refused = 0;
        duration predicted{};
        duration observed{};
    };

    /** Repeats the decision on a request until it is not to wait any longer. */
    asio::awaitable<placement> decide_until_placed(waiting_ticket ticket, selection_request& work,
                                                   std::function<bool()> may_wait);
    /** Wakes the first request that waits for a server, if there is room for it. */
    void wake_first(const server_name& server);
    void record_end(const placement& result, const std::optional<duration>& predicted, time_point began);
    void log_summary();

    gateway_state& state_;
    request_placement placement_;
    std::map<waiting_ticket, waiter> waiters_;
    wait_summary summary_;
    time_point last_logged_{};
};

} // namespace lovageledge
