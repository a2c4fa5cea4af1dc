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

/** The tokens and the end of one request, on their way to its caller. */
class caller_stream : public std::enable_shared_from_this<caller_stream> {
public:
    /** What a wait brought. */
    struct batch {
        std::vector<std::string> tokens;
        std::optional<request_result> result;
    };

    /** @param executor of the caller's connection */
    explicit caller_stream(const asio::any_io_executor& executor) : signal_{executor} {}
    caller_stream(const caller_stream&) = delete;
    caller_stream& operator=(const caller_stream&) = delete;
    ~caller_stream() = default;

    /** Adds tokens. Thread-safe. */
    void push(std::vector<std::string> tokens);
    /** Sets the end. Thread-safe. */
    void finish(request_result result);
    /** Waits for tokens or the end. Call it on the stream's executor. */
    asio::awaitable<batch> next();

private:
    void notify();

    asio::steady_timer signal_;
    std::mutex mutex_;
    batch pending_;
};

/** Finds the caller's stream of a request. Thread-safe. */
class caller_stream_registry {
public:
    std::shared_ptr<caller_stream> add(const request_id& id, const asio::any_io_executor& executor);
    std::shared_ptr<caller_stream> find(const request_id& id) const;
    void remove(const request_id& id);
    /** @returns requests whose callers have not got their whole answer */
    std::size_t size() const;

private:
    mutable std::mutex mutex_;
    std::unordered_map<request_id, std::shared_ptr<caller_stream>> streams_;
};

} // namespace lovageledge
