#pragma once

#include "lovageledge/coordination/coordination.hpp"
#include "lovageledge/transport/transport.hpp"

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace lovageledge {

/** Client of the platform's object API with a pool of persistent connections. Thread-safe. */
class platform_client : public std::enable_shared_from_this<platform_client> {
public:
    using response_handler = std::function<void(std::uint64_t call_id, const platform_response&)>;

    /** @param on_response called once for each start(), on the client's strand */
    platform_client(asio::io_context& context, std::string address, response_handler on_response);
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;
    ~platform_client() = default;

    /** Starts a call; its response goes to on_response. */
    void start(call_platform command);
    /** Makes a call and returns its response, from a coroutine on any executor; on_response is not called. */
    asio::awaitable<platform_response> call(call_platform command);

    /** @returns the number of calls made so far */
    std::uint64_t calls() const { return calls_; }

private:
    asio::awaitable<platform_response> run_call(call_platform command);
    static http_request make_request(const call_platform& command);
    static platform_response parse_response(const call_platform& command, const http_response& response);

    asio::strand<asio::io_context::executor_type> strand_;
    std::string address_;
    response_handler on_response_;
    std::deque<std::shared_ptr<http_connection>> idle_connections_;
    std::atomic<std::uint64_t> calls_{0};
};

} // namespace lovageledge
