#pragma once

#include "lovageledge/base/base.hpp"

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovageledge {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/** A header field of a request or an answer. */
struct http_header {
    std::string name;
    std::string value;
};

/** A request to a server. */
struct http_request {
    http::verb method = http::verb::get;
    std::string target = "/";
    std::string body;
    std::vector<http_header> headers;
};

/** A whole answer. */
struct http_response {
    unsigned status = 0;
    std::string body;

    bool is_success() const { return status >= 200 && status < 300; }
};

/** @returns the endpoint of "IP:PORT", or nothing if the text is malformed. Thread-safe. */
std::optional<asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

/**
    One client connection that is kept open between requests.

    Use it from one coroutine at a time, on the executor that it was made with. A failed exchange closes it.
*/
class http_connection {
public:
    explicit http_connection(const asio::any_io_executor& executor) : stream_{executor} {}

    /** Opens the connection. @returns false with the reason if it can't be opened in time */
    asio::awaitable<bool> open(std::string address, duration timeout, error& why);
    bool is_open() const { return stream_.socket().is_open(); }
    /** @returns true if an idle connection can be used again: open, and the peer has not closed it */
    bool is_reusable();
    /** Closes without waiting; bytes that are not sent yet are dropped. */
    void close();

    /** Sends a request and reads the whole answer. @returns nothing with the reason on failure.
        @param has_sent set to true once any byte may have left: the peer may have acted on the request */
    asio::awaitable<std::optional<http_response>> exchange(http_request request, duration timeout, error& why,
                                                           bool& has_sent);

    /** Sends a request and hands the body's bytes to a listener as they come.
        @param on_bytes returns false to stop reading; the connection is closed then
        @param next_timeout asked before each read
        @returns the status and, for other than 200, the body; nothing on failure */
    asio::awaitable<std::optional<http_response>>
    exchange_stream(http_request request, std::function<asio::awaitable<bool>(std::string_view)> on_bytes,
                    std::function<duration()> next_timeout, error& why, bool& has_sent);

    const std::string& address() const { return address_; }

private:
    http::request<http::string_body> make_request(http_request request) const;
    asio::awaitable<bool> send(http_request request, duration timeout, error& why, bool& has_sent);
    void fail(const char* step, const boost::system::error_code& code, error& why);

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::string address_;
};

} // namespace lovageledge
