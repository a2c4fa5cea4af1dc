#pragma once

#include "lovageledge/transport/http_connection.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace lovageledge {

/** Bounds on what a server takes from its callers. */
struct http_limits {
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = std::uint64_t{1024} * 1024;
    std::uint32_t connections = 4096;
    /** Time that a caller has to send a whole request. */
    duration request_timeout = std::chrono::seconds{10};
    /** Time that a connection may stay open without a request. */
    duration idle_timeout = std::chrono::seconds{75};
    /** Time that a caller has to take a part of an answer. */
    duration write_timeout = std::chrono::seconds{30};
};

/** One request and the means to answer it. Use it on its connection's executor only. */
class http_exchange {
public:
    http_exchange(beast::tcp_stream& stream, http::request<http::string_body> request,
                  const http_limits& limits)
        : stream_{stream}, request_{std::move(request)}, limits_{limits} {}
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    ~http_exchange() = default;

    /** Makes this the connection's last request; the answer says so. Call it before the answer begins. */
    void close_after_response() { request_.keep_alive(false); }

    http::verb method() const { return request_.method(); }
    /** @returns the path without the query */
    std::string path() const;
    /** @returns a decoded query parameter, or an empty text */
    std::string query_parameter(std::string_view name) const;
    std::string header(std::string_view name) const;
    const std::string& body() const { return request_.body(); }
    /** @returns the whole request, as it was received */
    const http::request<http::string_body>& request() const { return request_; }

    /** Sends a whole answer. Precondition: nothing was sent. */
    asio::awaitable<bool> respond(unsigned status, std::string body,
                                  std::string content_type = "application/json",
                                  std::vector<http_header> headers = {});
    /** Begins a chunked answer. Precondition: nothing was sent. @returns false if the caller is gone */
    asio::awaitable<bool> begin_stream(std::string content_type, std::vector<http_header> headers);
    /** Begins an answer whose headers are passed on as they are. Precondition: nothing was sent.
        @param length bytes of the body, or nothing for a chunked answer
        @returns false if the caller is gone */
    asio::awaitable<bool> begin_forwarded_response(unsigned status, const std::vector<http_header>& headers,
                                                   std::optional<std::uint64_t> length);
    /** Sends a whole answer whose headers are passed on as they are. Precondition: nothing was sent.
        @returns false if the caller is gone */
    asio::awaitable<bool> send_forwarded_response(unsigned status, const std::vector<http_header>& headers,
                                                  std::string body);
    /** Sends a part of a chunked answer. @returns false if the caller is gone */
    asio::awaitable<bool> write(std::string_view bytes);
    /** Ends a chunked answer in good order. */
    asio::awaitable<bool> end_stream();
    /** Breaks the connection, so that a cut answer never looks whole. */
    void abort();

    /** Runs a function once if the caller closes its connection before the answer has begun to be sent, or,
        for a forwarded answer, before it has ended. */
    void on_close(std::function<void()> function);

    bool has_responded() const { return has_answered_; }
    bool is_aborted() const { return is_aborted_; }
    bool keeps_alive() const { return !is_aborted_ && is_stream_whole_ && request_.keep_alive(); }

private:
    asio::awaitable<bool> finish_write(boost::system::error_code code);
    asio::awaitable<bool> write_whole(http::response<http::string_body> answer);
    asio::awaitable<bool> write_head(http::response<http::empty_body> answer);

    beast::tcp_stream& stream_;
    http::request<http::string_body> request_;
    const http_limits& limits_;
    std::shared_ptr<std::function<void()>> close_listener_;
    /** Bytes of a body of known length that are still to be sent. */
    std::optional<std::uint64_t> remaining_length_;
    bool has_answered_ = false;
    bool is_stream_whole_ = true;
    bool is_aborted_ = false;
};

/**
    Accepts HTTP connections and hands each request to a coroutine.

    Each connection runs on a strand of its own; the handler may run on several threads at once.
*/
class http_server {
public:
    using handler = std::function<asio::awaitable<void>(http_exchange&)>;

    http_server(asio::io_context& context, http_limits limits, handler on_request);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server() = default;

    /** Listens. @param address "IP:PORT" @returns false with the reason if it can't */
    bool listen(const std::string& address, error& why);
    /** Stops accepting; open connections go on. Thread-safe. */
    void stop_accepting();
    /** Resets all open connections, as a restarted process would. Thread-safe. */
    void reset_connections();
    /** Closes connections that wait for a request, and every other one once its answer has ended. New ones
       are still accepted, for one request each. Precondition: as for set_limits(). */
    void close_idle_connections();
    /** Sets the limits for requests that begin from now on. Precondition: called on the thread that runs the
        context, which has only one. */
    void set_limits(const http_limits& limits) { limits_ = limits; }
    std::uint32_t connections() const { return connections_; }
    /** @returns the port that it listens on */
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
    asio::awaitable<void> accept_loop();
    asio::awaitable<void> serve(asio::ip::tcp::socket socket);
    asio::awaitable<bool> serve_one(beast::tcp_stream& stream, beast::flat_buffer& buffer);
    asio::awaitable<bool> wait_for_request(beast::tcp_stream& stream, beast::flat_buffer& buffer);
    static asio::awaitable<void> discard_input(beast::tcp_stream& stream);

    asio::io_context& context_;
    http_limits limits_;
    handler on_request_;
    asio::ip::tcp::acceptor acceptor_;
    std::atomic<std::uint32_t> connections_{0};
    std::mutex streams_mutex_;
    std::map<std::uint64_t, beast::tcp_stream*> streams_;
    std::set<beast::tcp_stream*> idle_streams_;
    std::uint64_t next_stream_ = 0;
    bool is_closing_ = false;
};

} // namespace lovageledge
