#pragma once

#include "lovageledge/transport/http_connection.hpp"

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovageledge {

/** The beginning of an answer. */
struct response_head {
    unsigned status = 0;
    std::vector<http_header> headers;
    /** Nothing if the length is not told. */
    std::optional<std::uint64_t> content_length;
    bool is_chunked = false;

    /** @returns a header's value, or nothing. @param name in any case */
    std::optional<std::string_view> header(std::string_view name) const;
};

/**
    A connection to a backend server on which requests are passed on byte by byte.

    The request is written while the answer is read, since a server may answer before it has read a long body.
    Use it from one coroutine at a time; abort() may be called from others on the same thread.
*/
class forwarding_connection : public std::enable_shared_from_this<forwarding_connection> {
public:
    explicit forwarding_connection(const asio::any_io_executor& executor) : stream_{executor} {}

    /** Opens the connection. @returns false with the reason if it can't be opened in time */
    asio::awaitable<bool> open(const std::string& address, duration timeout, error& why);
    /** @returns true if a kept connection is open and the server has sent nothing unasked */
    bool is_reusable(time_point now);

    /** Starts to write a request. @param head request line and headers, with the empty line */
    void send(std::string head, std::string body);
    /** Reads the beginning of the next answer. @returns nothing with the reason on failure */
    asio::awaitable<std::optional<response_head>> read_head(time_point limit, error& why);
    /** Reads a part of the body. @returns an empty view at the end of the body, nothing on failure; the bytes
        stay valid until the next call */
    asio::awaitable<std::optional<std::string_view>> read_some(time_point limit, error& why);

    /** Closes with a reset: the server drops the request, and unsent bytes never arrive. */
    void abort();
    bool is_aborted() const { return is_aborted_; }
    /** @returns true if another request may follow the answer that was read to its end */
    bool keeps_alive() const;
    /** Notes that the connection is idle from now on. */
    void set_idle_since(time_point now) { idle_since_ = now; }
    time_point idle_since() const { return idle_since_; }
    /** @returns true once any byte of the current answer was received */
    bool has_received() const { return has_received_; }

private:
    void fail(const char* step, const boost::system::error_code& code, error& why);
    void note_keep_alive(const response_head& head);

    static constexpr std::size_t block_bytes = std::size_t{8} * 1024;

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::buffer_body>> parser_;
    std::array<char, block_bytes> block_{};
    std::string address_;
    std::string outgoing_head_;
    std::string outgoing_body_;
    time_point idle_since_{};
    duration idle_limit_{};
    bool is_writing_ = false;
    bool is_aborted_ = false;
    bool has_received_ = false;
};

} // namespace lovageledge
