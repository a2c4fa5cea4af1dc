#pragma once

#include "lovageledge/coordination/coordination.hpp"
#include "lovageledge/transport/transport.hpp"

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace lovageledge {

/** Calls to the platform's object API, over a few kept connections. Thread-safe. */
class platform_client : public std::enable_shared_from_this<platform_client> {
public:
    using listener = std::function<void(std::uint64_t call, const platform_response&)>;

    /** @param on_answer runs once for each call, on the link's strand */
    platform_client(asio::io_context& context, std::string address, listener on_answer);
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;
    ~platform_client() = default;

    /** Starts a call. */
    void start(call_platform command);
    /** Makes a call from a coroutine on any executor. */
    asio::awaitable<platform_response> call(call_platform command);

    /** @returns calls since the start */
    std::uint64_t calls() const { return calls_; }

private:
    asio::awaitable<platform_response> run(call_platform command);
    static http_request make_request(const call_platform& command);
    static platform_response read_answer(const call_platform& command, const http_response& answer);

    asio::strand<asio::io_context::executor_type> strand_;
    std::string address_;
    listener on_answer_;
    std::deque<std::shared_ptr<http_connection>> idle_;
    std::atomic<std::uint64_t> calls_{0};
};

} // namespace lovageledge
