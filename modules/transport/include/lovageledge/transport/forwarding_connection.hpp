#pragma once

#include "lovageledge/transport/http_connection.hpp"

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovageledge {

/** Status line and headers of an HTTP response. */
struct response_head {
    unsigned status = 0;
    std::vector<http_header> headers;
    /** Empty if the response has no Content-Length. */
    std::optional<std::uint64_t> content_length;
    bool is_chunked = false;

    bool is_success() const { return status >= 200 && status < 300; }
    /** @returns true if another head, the one of the final response, follows */
    bool is_interim() const { return status >= 100 && status < 200; }
    /** @returns false if HTTP ends the response with its head, whatever the headers say */
    bool may_have_body() const { return !is_interim() && status != 204 && status != 304; }
    /** @returns the value of the first header with this name, or nothing. @param name case-insensitive */
    std::optional<std::string_view> header(std::string_view name) const;
};

/**
    A connection to a backend server that forwards requests and responses without changing their bodies.

    The request is written while the response is read, since a server may respond before it has read a long
    request body. Use it from one coroutine at a time; abort() may be called by others on the same thread.
*/
class forwarding_connection : public std::enable_shared_from_this<forwarding_connection> {
public:
    explicit forwarding_connection(const asio::any_io_executor& executor) : stream_{executor} {}

    /** Opens the connection. @param address "IP:PORT"
        @returns false and sets why if the connection can't be opened within the timeout */
    asio::awaitable<bool> open(const std::string& address, duration timeout, error& why);
    /** @returns true if an idle connection can take another request: it is open, has not exceeded its idle
        limit, and the server has sent no unexpected data */
    bool is_reusable(time_point now);

    /** Starts to write a request and returns at once.
        @param head request line and headers, including the empty line
        @param body not nullptr; must not change any more */
    void send(std::string head, std::shared_ptr<const std::string> body);
    /** Reads the status line and headers of the next response.
        @param extend asked for a later deadline when the one in force has passed; may be empty
        @returns nothing and sets why on failure, also if the deadline has passed while the server keeps
        sending */
    asio::awaitable<std::optional<response_head>> read_head(time_point deadline, error& why,
                                                            read_limit::extension extend = {});
    /** Reads the next part of the body. A body that ends with its connection is complete once the server has
        taken the whole request too: one that ends before may have been cut.
        @param extend asked for a later deadline when the one in force has passed; may be empty
        @returns an empty view at the end of the body, nothing on failure as for read_head(); the view stays
        valid until the next call */
    asio::awaitable<std::optional<std::string_view>> read_some(time_point deadline, error& why,
                                                               read_limit::extension extend = {});

    /** Closes the connection with a TCP reset, so that the server drops the request and unsent bytes are
        discarded. */
    void abort();
    bool is_aborted() const { return is_aborted_; }
    /** @returns true if the last failure shows that the server goes on running: it sent bytes that are no
        response, or kept sending beyond the deadline */
    bool has_misbehaved() const { return has_misbehaved_; }
    /** @returns true if another request may be sent on this connection: the last response was read to its
        end, and HTTP keep-alive is in effect */
    bool keeps_alive() const;
    /** Sets the time from which the connection has been idle. */
    void set_idle_since(time_point now) { idle_since_ = now; }
    time_point idle_since() const { return idle_since_; }
    void set_opened_at(time_point now) { opened_at_ = now; }
    /** @returns when the connection was opened, on the gateway's clock */
    time_point opened_at() const { return opened_at_; }
    /** @returns the number of requests that were sent on this connection */
    std::uint32_t sent_requests() const { return sent_requests_; }

private:
    void abort_with_error(const char* step, const boost::system::error_code& code, error& why);
    /** As abort_with_error(), at a deadline that the server has not kept though it is sending. */
    void abort_at_deadline(error& why);
    /** As abort_with_error(), for a head that HTTP does not allow. */
    void abort_malformed(const char* reason, error& why);
    /** Waits until the server has taken the request. @returns false and sets why if it does not */
    asio::awaitable<bool> wait_until_request_taken(time_point deadline, error& why);
    void update_idle_limit(const response_head& head);

    /** Maximum size of the status line and headers of a response. */
    static constexpr std::uint32_t max_head_bytes = 64 * 1024;
    static constexpr std::size_t read_buffer_bytes = std::size_t{8} * 1024;

    beast::tcp_stream stream_;
    read_limit limit_{stream_.socket()};
    /** Holds what the parser can't process yet: a head, a chunk's size line or the trailers must fit. */
    beast::flat_buffer buffer_{max_head_bytes + read_buffer_bytes};
    std::optional<http::response_parser<http::buffer_body>> parser_;
    std::array<char, read_buffer_bytes> read_buffer_{};
    std::string address_;
    std::string request_head_;
    /** Set while the request is being written. */
    std::shared_ptr<const std::string> request_body_;
    time_point idle_since_{};
    time_point opened_at_{};
    duration idle_limit_{};
    std::uint32_t sent_requests_ = 0;
    /** How writing the request has failed. Reading is not told of the same failure. */
    boost::system::error_code write_failure_;
    bool is_writing_ = false;
    bool is_aborted_ = false;
    bool has_misbehaved_ = false;
};

} // namespace lovageledge
