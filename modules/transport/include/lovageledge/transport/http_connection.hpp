#pragma once

#include "lovageledge/base/base.hpp"
#include "lovageledge/transport/read_limit.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovageledge {

/** A header field of an HTTP request or response. */
struct http_header {
    std::string name;
    std::string value;
};

/** An HTTP request. The connection adds the Host header. */
struct http_request {
    http::verb method = http::verb::get;
    std::string target = "/";
    std::string body;
    std::vector<http_header> headers;
};

/** Status, complete body and header fields of an HTTP response. */
struct http_response {
    unsigned status = 0;
    std::string body;
    std::vector<http_header> headers{};

    bool is_success() const { return status >= 200 && status < 300; }
    /** @returns the value of the first header field with this name, in any case, or nothing if there is none
     */
    std::optional<std::string_view> header(std::string_view name) const;
};

/** @returns true if a deadline has passed. The timer of a stream ends only reads that have to wait: a loop
   over reads must ask this too, or a peer that keeps sending holds it for ever. Thread-safe. */
bool has_passed(time_point deadline);

/** Parses an address of the form "IP:PORT". @returns nothing if the text is malformed. Thread-safe. */
std::optional<asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

/**
    A client connection that is kept open between requests.

    Use it from one coroutine at a time, on the executor that was passed to the constructor. A failed exchange
    closes the connection.
*/
class http_connection {
public:
    static constexpr std::size_t default_max_body_bytes = std::size_t{64} * 1024 * 1024;

    /** @param max_body_bytes largest response body; a longer one is a failure */
    explicit http_connection(const asio::any_io_executor& executor,
                             std::size_t max_body_bytes = default_max_body_bytes)
        : stream_{executor}, max_body_bytes_{max_body_bytes} {}

    /** Opens the connection; an open one is closed first. @param address "IP:PORT"
        @returns false and sets why if the connection can't be opened within the timeout */
    asio::awaitable<bool> open(std::string address, duration timeout, error& why);
    /** Ends the exchanges of this open connection once the peer's machine is lost, see set_keep_alive(). */
    void limit_lost_peer(duration limit);
    bool is_open() const { return stream_.socket().is_open(); }
    /** @returns true if an idle connection can be used again: it is open, and the peer has neither closed it
        nor sent unexpected data; otherwise it is closed */
    bool is_reusable();
    /** Closes the connection with a TCP reset; unsent bytes are discarded. */
    void close();

    /** Sends a request and reads the complete response.
        @param timeout limit for the whole exchange
        @param may_have_sent set to true once bytes may have been sent, so that the peer may have acted on the
        request
        @returns nothing and sets why on failure */
    asio::awaitable<std::optional<http_response>> exchange(http_request request, duration timeout, error& why,
                                                           bool& may_have_sent);

    /** Sends a request and passes the body of a successful response to a callback as it arrives.
        @param on_bytes returns false to stop reading, which closes the connection
        @param next_timeout called before the request is sent, for the time until the response headers have
        arrived, and then before each read of the body
        @param may_have_sent as for exchange()
        @returns the status, with the body unless the status is 2xx; nothing and sets why on failure */
    asio::awaitable<std::optional<http_response>>
    exchange_stream(http_request request, std::function<asio::awaitable<bool>(std::string_view)> on_bytes,
                    std::function<duration()> next_timeout, error& why, bool& may_have_sent);

    const std::string& address() const { return address_; }

private:
    http::request<http::string_body> make_request(http_request request) const;
    asio::awaitable<bool> send(http_request request, duration timeout, error& why, bool& may_have_sent);
    void close_with_error(const char* step, const boost::system::error_code& code, error& why);
    /** Reads until the parser has made progress. @returns how that has failed, at the latest at the deadline
     */
    template <typename Body>
    asio::awaitable<boost::system::error_code> read_some(http::response_parser<Body>& parser,
                                                         time_point deadline);
    /** Reads the head of the response to a request with this method, behind its interim ones.
        @returns false and sets why on failure, which closes the connection */
    template <typename Body>
    asio::awaitable<bool> read_head(std::optional<http::response_parser<Body>>& parser, http::verb method,
                                    time_point deadline, error& why);
    /** Closes the connection after a response unless it can take another request. A body that ends with its
        connection is complete once the peer has taken the whole request too.
        @returns false and sets why if the response may have been cut */
    template <typename Body>
    asio::awaitable<bool> finish(const http::response_parser<Body>& parser, time_point deadline, error& why);

    /** Largest head, chunk size line or trailers of a response. */
    static constexpr std::size_t max_buffer_bytes = std::size_t{64} * 1024;

    beast::tcp_stream stream_;
    read_limit limit_{stream_.socket()};
    std::size_t max_body_bytes_;
    beast::flat_buffer buffer_{max_buffer_bytes};
    std::string address_;
};

} // namespace lovageledge
