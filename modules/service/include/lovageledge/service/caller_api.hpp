#pragma once

#include "lovageledge/coordination/coordination.hpp"
#include "lovageledge/transport/transport.hpp"

#include <map>
#include <mutex>
#include <string>

namespace lovageledge {

class instance;

/**
    HTTP API for callers: completions, plain services, health and metrics.

    docs/API.md lists the paths, headers and responses. Thread-safe.
*/
class caller_api {
public:
    explicit caller_api(instance& owner) : instance_{owner} {}
    caller_api(const caller_api&) = delete;
    caller_api& operator=(const caller_api&) = delete;
    ~caller_api() = default;

    /** Handles one request. */
    asio::awaitable<void> handle(http_exchange& exchange);
    /** Calls a plain service for a request that the node has admitted, and reports the result to the node. */
    asio::awaitable<void> run_plain_service_call(call_plain_service command);

private:
    /** A plain-service request and, once it has arrived, the response. */
    struct pending_plain_call {
        http_request request;
        duration timeout{};
        http_response response;
    };
    /** HTTP status and reason for a request that is rejected before it reaches the node. */
    struct rejection {
        unsigned status = 0;
        error failure;
    };

    /** @returns the calling service that the bearer token belongs to, or nullptr */
    const calling_service* authenticate(const http_exchange& exchange, const configuration& config) const;
    /** Validates and authorises a completion request.
        @returns the request for the node, or nothing with the reason in rejected */
    std::optional<incoming_request> read_completion_request(const http_exchange& exchange,
                                                            const configuration& config, bool& wants_stream,
                                                            rejection& rejected) const;
    /** @returns the X-Deadline-Ms header, or the default if it is missing or malformed; never more than the
        request life limit */
    duration request_timeout(const http_exchange& exchange) const;
    asio::awaitable<void> handle_completion(http_exchange& exchange);
    /** Sends tokens to the caller until the request ends or the caller disconnects.
        @param wants_stream if false, the tokens are collected and sent as one response
        @param started_at time at which the request arrived, for the first-token metric */
    asio::awaitable<void> send_stream(http_exchange& exchange, const request_id& id, bool wants_stream,
                                      time_point started_at);
    asio::awaitable<void> handle_plain_service(http_exchange& exchange);
    /** Responds to a request that was not run. Takes step and reason instead of an error because GCC 12
        destroys a braced temporary in a co_await expression twice. */
    static asio::awaitable<void> reject(http_exchange& exchange, unsigned status, std::string step,
                                        std::string reason);
    /** Responds to a request that did not succeed, or is a duplicate. Breaks off a stream that has begun. */
    asio::awaitable<void> report_failure(http_exchange& exchange, const request_id& id,
                                         const request_result& result);

    instance& instance_;
    std::mutex pending_plain_calls_mutex_;
    std::map<request_id, pending_plain_call> pending_plain_calls_;
};

/** @returns the outcome as written in responses and metrics: done, not_run, failed or unknown */
std::string outcome_text(protocol::Outcome outcome);

} // namespace lovageledge
