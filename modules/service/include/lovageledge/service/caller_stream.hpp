#pragma once

#include "lovageledge/coordination/coordination.hpp"
#include "lovageledge/transport/transport.hpp"

#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovageledge {

/** Passes the tokens and the result of one request from the node to the coroutine that serves its caller. */
class caller_stream : public std::enable_shared_from_this<caller_stream> {
public:
    /** Tokens that have arrived since the last call of next(), and the result if the request has ended. */
    struct batch {
        std::vector<std::string> tokens;
        std::optional<request_result> result;
    };

    /** @param executor the executor of the caller's connection */
    explicit caller_stream(const asio::any_io_executor& executor) : signal_{executor} {}
    caller_stream(const caller_stream&) = delete;
    caller_stream& operator=(const caller_stream&) = delete;
    ~caller_stream() = default;

    /** Appends tokens. Thread-safe. */
    void push(std::vector<std::string> tokens);
    /** Sets the result. Thread-safe. */
    void finish(request_result result);
    /** Waits for tokens or the result. Call it on the stream's executor. */
    asio::awaitable<batch> next();

private:
    /** Wakes next(). */
    void notify();

    /** Cancelled to wake next(). */
    asio::steady_timer signal_;
    std::mutex mutex_;
    batch pending_;
};

/** The caller streams of the requests that entered at this instance, by request id. Thread-safe. */
class caller_stream_registry {
public:
    std::shared_ptr<caller_stream> add(const request_id& id, const asio::any_io_executor& executor);
    /** @returns the stream, or nullptr if the request has none */
    std::shared_ptr<caller_stream> find(const request_id& id) const;
    void remove(const request_id& id);
    /** @returns the number of requests whose callers have not received their complete response */
    std::size_t size() const;

private:
    mutable std::mutex mutex_;
    std::unordered_map<request_id, std::shared_ptr<caller_stream>> streams_;
};

} // namespace lovageledge
