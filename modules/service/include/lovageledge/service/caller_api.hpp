#pragma once

#include "lovageledge/coordination/coordination.hpp"
#include "lovageledge/transport/transport.hpp"

#include <map>
#include <mutex>
#include <string>

namespace lovageledge {

class instance;

/**
    The HTTP interface to callers: completions, plain services, health and metrics.

    docs/API.md lists paths, headers and answers. Thread-safe.
*/
class caller_api {
public:
    explicit caller_api(instance& owner) : instance_{owner} {}
    caller_api(const caller_api&) = delete;
    caller_api& operator=(const caller_api&) = delete;
    ~caller_api() = default;

    /** Answers one request. */
    asio::awaitable<void> handle(http_exchange& exchange);
    /** Makes the call of a plain service that the node has allowed. */
    asio::awaitable<void> run_plain(call_plain_service command);

private:
    struct plain_call {
        http_request request;
        duration timeout;
        http_response answer;
    };
    struct refusal {
        unsigned status = 0;
        error why;
    };

    const calling_service* authenticate(const http_exchange& exchange, const configuration& config) const;
    std::optional<incoming_request> make_ticket(const http_exchange& exchange, const configuration& config,
                                                bool& wants_stream, refusal& no) const;
    duration deadline_of(const http_exchange& exchange) const;
    asio::awaitable<void> complete(http_exchange& exchange);
    asio::awaitable<void> send_stream(http_exchange& exchange, const request_id& id, bool wants_stream,
                                      time_point began);
    asio::awaitable<void> call_service(http_exchange& exchange);
    /** The parts of the refusal come one by one: GCC 12 destroys a braced temporary of a co_await twice. */
    static asio::awaitable<void> refuse(http_exchange& exchange, unsigned status, std::string step,
                                        std::string reason);
    asio::awaitable<void> report_failure(http_exchange& exchange, const request_id& id,
                                         const request_result& result);

    instance& instance_;
    std::mutex plain_mutex_;
    std::map<request_id, plain_call> plain_calls_;
};

/** @returns the outcome as callers are told it: done, not_run, failed or unknown */
std::string outcome_text(protocol::Outcome outcome);

} // namespace lovageledge
