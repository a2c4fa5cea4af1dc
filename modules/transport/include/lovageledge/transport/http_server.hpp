#pragma once

#include "lovageledge/transport/caller_connections.hpp"
#include "lovageledge/transport/http_connection.hpp"
#include "lovageledge/transport/limited_reader.hpp"
#include "lovageledge/transport/occupancy.hpp"
#include "lovageledge/transport/socket_input.hpp"
#include "lovageledge/transport/unanswered_request.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace lovageledge {

/** Limits on connections and requests that an HTTP server accepts. */
struct http_limits {
    /** Maximum size of the request line and headers; longer ones are refused with status 431. */
    std::uint32_t header_bytes = 16 * 1024;
    /** Maximum size of a request body; longer ones are refused with status 413. */
    std::uint64_t body_bytes = std::uint64_t{1024} * 1024;
    /** Maximum number of open connections. A further one takes the place of the one that caller_connections
        chooses; if there is none, it is refused with status 503. */
    std::uint32_t connections = 4096;
    /** Time in which a caller must send a complete request; after it, status 408 is returned. */
    duration request_timeout = std::chrono::seconds{10};
    /** Time for which a connection may stay open without a request. */
    duration idle_timeout = std::chrono::seconds{75};
    /** Time in which a caller must accept each part of a response, extended by the part's size at 400 KB/s.
     */
    duration write_timeout = std::chrono::seconds{30};
    /** Fraction of the connections and the memory that one IP address may take while others are connected. */
    double address_share = 1.0;
    /** Bytes that the kernel may hold in each direction of a connection, until a larger request or response
        takes large_socket_buffer_bytes; 0 for the system's default. Takes effect with listen(). */
    std::uint32_t socket_buffer_bytes = 0;
    /** The memory for connections, requests, and responses that are not taken, or nullptr if only their
       number and size limit it. Precondition: the server's context runs on one thread only. */
    std::shared_ptr<memory_budget> memory;
    /** Called with the cause of each connection that is closed for the sake of others: "connections",
        "memory", "descriptors" or "reading" (the response was not taken in time). */
    std::function<void(const char* cause)> on_closed;
    /** Called before a connection is closed without a response to what was received on it. Not called when
       the caller has closed it. */
    std::function<void(const unanswered_request&)> on_unanswered;
};

/** What a connection is told about the response to its request. */
struct response_hooks {
    /** A part is sent from now on; its size in bytes. */
    std::function<void(std::size_t)> on_sending;
    /** The kernel has taken the part; false if the caller has not taken it in time. */
    std::function<void(bool)> on_sent;
    /** Reserves memory for a response that is forwarded as it arrives. @returns false if there is none */
    std::function<bool()> reserve_stream;
};

/** A received request and the functions to respond to it. Use it on its connection's executor only. */
class http_exchange {
public:
    http_exchange(beast::tcp_stream& stream, http::request<http::string_body> request,
                  const http_limits& limits, const response_hooks* hooks = nullptr)
        : stream_{stream}, request_{std::make_shared<http::request<http::string_body>>(std::move(request))},
          limits_{limits}, hooks_{hooks} {}
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    ~http_exchange() = default;

    /** Closes the connection after this exchange and announces it in the response headers. Precondition: no
        part of the response was sent. */
    void close_after_response() { request_->keep_alive(false); }

    http::verb method() const { return request_->method(); }
    /** @returns the path without the query */
    std::string path() const;
    /** @returns the decoded value of a query parameter, or an empty string */
    std::string query_parameter(std::string_view name) const;
    /** @returns the value of a header, or an empty string. @param name case-insensitive */
    std::string header(std::string_view name) const;
    const std::string& body() const { return request_->body(); }
    /** @returns the body, which may be used for longer than the exchange exists */
    std::shared_ptr<const std::string> shared_body() const { return {request_, &request_->body()}; }
    /** @returns the complete request as received */
    const http::request<http::string_body>& request() const { return *request_; }

    /** Sends a complete response. Precondition: no part of a response was sent. @returns false if the caller
        has disconnected */
    asio::awaitable<bool> respond(unsigned status, std::string body,
                                  std::string content_type = "application/json",
                                  std::vector<http_header> headers = {});
    /** Sends the status line and headers of a chunked response with status 200. Precondition: no part of a
        response was sent. @returns false if the caller has disconnected */
    asio::awaitable<bool> begin_stream(std::string content_type, std::vector<http_header> headers);
    /** Reserves the memory for a response that is forwarded as it arrives. @returns false if there is none */
    bool reserve_stream();
    /** Sends the status line and the given headers, unchanged, of a forwarded response. Precondition: no part
        of a response was sent.
        @param length size of the body in bytes, or nothing for a chunked response
        @returns false if the caller has disconnected */
    asio::awaitable<bool> begin_forwarded_response(unsigned status, const std::vector<http_header>& headers,
                                                   std::optional<std::uint64_t> length);
    /** Sends a complete forwarded response with the given headers, unchanged. Precondition: no part of a
        response was sent. @returns false if the caller has disconnected */
    asio::awaitable<bool> send_forwarded_response(unsigned status, const std::vector<http_header>& headers,
                                                  std::string body);
    /** Sends the next part of the body of a streamed or forwarded response. Precondition: its headers were
        sent. @returns false if the caller has disconnected */
    asio::awaitable<bool> write(std::string_view bytes);
    /** Completes a streamed or forwarded response. @returns false if the caller has disconnected or the body
        is shorter than announced */
    asio::awaitable<bool> end_stream();
    /** Resets the connection, so that the caller can't take a truncated response for a complete one. */
    void abort();

    /** Calls a function once if the caller closes its connection before the response is started or, for a
        forwarded response, before it is complete. Data from the caller ends the watch. */
    void on_close(std::function<void()> callback);

    /** @returns true if the caller is known to have closed its connection. Asks the kernel, so that a closure
        is noticed before on_close() reports it, which takes a turn of the executor. */
    bool has_caller_left();
    /** @returns what the kernel holds of the caller's input */
    socket_input pending_input() { return peek_input(stream_.socket()); }
    bool has_responded() const { return has_responded_; }
    bool is_aborted() const { return is_aborted_; }
    /** @returns true if the connection can serve another request after this one */
    bool keeps_alive() const { return !is_aborted_ && is_body_complete_ && request_->keep_alive(); }

private:
    /** Prepares to send a part of a response. @param bytes its size */
    void begin_write(std::size_t bytes);
    bool handle_write_result(boost::system::error_code code);
    /** Waits for input, and calls the function of on_close() if the kernel confirms that there is none to
     * come. */
    void watch_input();
    asio::awaitable<bool> write_response(http::response<http::string_body> response);
    asio::awaitable<bool> write_head(http::response<http::empty_body> response);

    beast::tcp_stream& stream_;
    std::shared_ptr<http::request<http::string_body>> request_;
    const http_limits& limits_;
    /** nullptr, or owned by the connection. */
    const response_hooks* hooks_ = nullptr;
    std::shared_ptr<std::function<void()>> close_callback_;
    /** Bytes that are still to be sent of a body of known length. */
    std::optional<std::uint64_t> remaining_length_;
    bool has_responded_ = false;
    bool is_body_complete_ = true;
    bool is_aborted_ = false;
};

/**
    Accepts HTTP connections and calls a handler coroutine for each request.

    Each connection runs on its own strand; the handler may run on several threads at once.
*/
class http_server {
public:
    using handler = std::function<asio::awaitable<void>(http_exchange&)>;

    http_server(asio::io_context& context, http_limits limits, handler on_request);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server() = default;

    /** Starts to accept connections. @param address "IP:PORT" @returns false and sets why on failure */
    bool listen(const std::string& address, error& why);
    /** Stops accepting connections; open connections are still served. Thread-safe. */
    void stop_accepting();
    /** Resets all open connections, as a restart of the process would. Thread-safe. */
    void reset_connections();
    /** Closes idle connections now and all others after their current response. New connections are still
        accepted and serve one request each. Thread-safe.
        @param min_age connections that were accepted later than this long ago stay open */
    void close_idle_connections(duration min_age = duration::zero());
    /** Has the kernel drop new handshakes, where it can. Those that have begun still complete.
        Thread-safe. */
    void drop_new_handshakes();
    /** @returns true once drop_new_handshakes() has been carried out, as far as it can be. Thread-safe. */
    bool has_held_off_handshakes() const { return open_->has_held_off_handshakes; }
    /** Accepts the connections that the kernel has established, and stops accepting. Thread-safe. */
    void accept_rest();
    /** @returns false once the listener is closed and all accepted connections have their place. Thread-safe.
     */
    bool is_accepting() const { return open_->is_accepting; }
    /** @returns true if no connection is accepted any more and none waits for a request or a response.
        Thread-safe. */
    bool is_drained() const;
    /** Sets the limits for subsequent requests. Precondition: the context runs on one thread only, and this
        is called on that thread. */
    void set_limits(const http_limits& limits);
    /** @returns the number of open connections. Thread-safe. */
    std::uint32_t connections() const { return open_->count; }
    /** @returns the number of connections from which a request is being read or answered. Precondition: as
        for set_limits(). */
    std::size_t busy_connections() const { return open_->count - open_->policy.idle() + waiting_.count(); }
    /** @returns the port that the server listens on */
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
    class connection;
    class place;

    /** The open connections by identifier. Shared with them, since those of a server that is destroyed end
       with its context. */
    struct connection_register {
        std::atomic<std::uint32_t> count{0};
        std::atomic<bool> is_accepting{false};
        std::atomic<bool> has_held_off_handshakes{false};
        /** Set by accept_rest(). */
        std::atomic<bool> is_accepting_rest{false};
        /** Number of times that a connection was given up for the sake of others. */
        std::atomic<std::uint64_t> dropped{0};
        std::mutex mutex;
        std::map<std::uint64_t, connection*> connections;
        std::map<const memory_share*, std::uint64_t> shares;
        caller_connections policy{connection_limits{}};
        std::uint64_t next_id = 0;

        /** @returns the number of connections that are about to be closed */
        std::size_t leaving() {
            const std::scoped_lock lock{mutex};
            return policy.leaving();
        }
    };

    /** The place of a connection among those that the limits allow, until it is destroyed. */
    class place {
    public:
        place(std::shared_ptr<connection_register> open, std::uint64_t id)
            : open_{std::move(open)}, id_{id} {}
        place(place&& other) noexcept = default;
        place& operator=(place&& other) noexcept {
            std::swap(open_, other.open_);
            std::swap(id_, other.id_);
            return *this;
        }
        place(const place&) = delete;
        place& operator=(const place&) = delete;
        ~place();

        std::uint64_t id() const { return id_; }

    private:
        std::shared_ptr<connection_register> open_;
        std::uint64_t id_;
    };

    /** An open connection, registered from its accept until its end, however it ends. */
    class connection {
    public:
        connection(std::shared_ptr<connection_register> open, asio::ip::tcp::socket socket, place own_place,
                   const http_limits& limits);
        connection(const connection&) = delete;
        connection& operator=(const connection&) = delete;
        ~connection();

        std::uint64_t id() const { return place_.id(); }
        time_point opened_at() const { return opened_at_; }
        beast::tcp_stream& stream() { return stream_; }
        /** Received bytes that no request was read from yet. */
        beast::flat_buffer& buffer() { return buffer_; }
        const response_hooks& hooks() const { return hooks_; }
        memory_share& memory() { return memory_; }
        /** Reads into the buffer. @param code as for limited_reader::read_some() */
        asio::awaitable<void> read_some(std::size_t max_bytes, time_point limit,
                                        boost::system::error_code& code);
        /** @returns true if the caller has sent bytes of a further request */
        bool has_input();
        /** Called when all that was received before belongs to requests that are answered. */
        void begin_request();
        /** Reports what was received and gets no response, if anything. @param cause see unanswered_request
         */
        void report_unanswered(const char* cause);
        /** @returns why the connection is closed, for report_unanswered() */
        const char* close_cause(const char* otherwise) const {
            const char* cause = drop_cause_;
            return cause == nullptr ? otherwise : cause;
        }

        void set_stage(connection_stage stage);
        /** Accounts for a request that is being received, with its parsed head and its body.
            @returns false if there is no memory for it */
        bool hold(std::size_t request_bytes);
        /** Accounts for a connection without a request. */
        bool hold_idle() { return hold_bytes(idle_bytes()); }
        /** Lets the kernel receive more at once, for a large body. */
        void enlarge_receive_buffer();
        /** @returns false if responses have not left the kernel yet. Asks it only if that is in doubt. */
        bool has_taken_responses();
        /** Closes this connection for the sake of others. @param cause see http_limits::on_closed */
        void drop(const char* cause);
        /** The first part of drop(). Precondition: the register is locked. */
        void mark_dropped(const char* cause);
        /** The second part of drop(): ends what the connection waits for. */
        void end_waiting();
        /** Closes this connection for the sake of a new one, unless it stays by what the kernel holds of it.
            Precondition: the register is locked. */
        void give_way(const char* cause);
        bool is_dropped() const { return drop_cause_ != nullptr; }
        /** Called when no further request is read. */
        void set_ending() { is_ending_ = true; }
        bool is_ending() const { return is_ending_; }
        /** Keeps a connection for one request that arrived just when it was to be closed for another one.
            @returns false if it has to end */
        bool revive();
        /** @returns true if the connection ends with its current request */
        bool is_last_request() const { return is_last_request_; }

    private:
        bool hold_bytes(std::size_t bytes);
        std::size_t idle_bytes() const;
        void on_sending(std::size_t bytes);
        void on_sent(bool is_taken);

        std::shared_ptr<connection_register> open_;
        const http_limits& limits_;
        beast::tcp_stream stream_;
        beast::flat_buffer buffer_;
        memory_share memory_;
        response_hooks hooks_;
        place place_;
        limited_reader reader_{stream_.socket()};
        time_point opened_at_;
        std::uint64_t begun_requests_ = 0;
        /** Bytes of the current request that were read. */
        std::size_t read_bytes_ = 0;
        /** nullptr unless the connection is closed for the sake of others. */
        std::atomic<const char*> drop_cause_{nullptr};
        std::atomic<bool> is_ending_{false};
        /** Bytes of responses that the caller may not have taken yet. */
        std::size_t sent_bytes_ = 0;
        bool is_last_request_ = false;
        bool has_large_receive_buffer_ = false;
        bool has_large_send_buffer_ = false;
        connection_stage stage_ = connection_stage::silent;
    };

    asio::awaitable<void> accept_loop();
    /** Accepts all connections that wait in the listen queue. @returns why it could not */
    boost::system::error_code accept_waiting();
    /** Serves a connection that was accepted, or refuses it if there is no place for it. */
    void admit(asio::ip::tcp::socket socket, const asio::ip::tcp::endpoint& peer);
    asio::awaitable<void> serve_connection(asio::ip::tcp::socket socket, place own_place);
    /** Serves a new connection when others have given way for it. */
    asio::awaitable<void> serve_when_there_is_place(asio::ip::tcp::socket socket, std::string address,
                                                    occupancy::seat waiting);
    /** @returns the place of a new connection from an address; nothing if the limits allow none
        @param has_made_room true if another one was asked to give way, which frees what memory it holds */
    std::optional<place> take_place(const std::string& address, bool has_made_room);
    asio::awaitable<bool> serve_request(connection& caller);
    asio::awaitable<bool> wait_for_request(connection& caller);
    /** Waits until the caller has taken the responses to its former requests. @returns false if it did not */
    asio::awaitable<bool> wait_until_taken(connection& caller);
    asio::awaitable<boost::system::error_code> read_request(connection& caller,
                                                            http::request_parser<http::string_body>& parser);
    /** Reads more of a request into the connection's buffer. */
    static asio::awaitable<boost::system::error_code>
    read_more(connection& caller, http::request_parser<http::string_body>& parser, time_point limit);
    /** Refuses a request that was not fully read. The caller counts as a discarding one meanwhile. */
    asio::awaitable<void> refuse_unread(connection& caller, boost::system::error_code code, bool has_no_room,
                                        occupancy::seat discarding);
    static asio::awaitable<void> discard_input(beast::tcp_stream& stream);
    /** Refuses a new connection. Only a few are kept until they have sent what they send, and none of them if
        descriptors are short. @param cause see http_limits::on_closed */
    void refuse_connection(asio::ip::tcp::socket socket, const char* cause);
    static asio::awaitable<void> discard_input(asio::ip::tcp::socket socket, occupancy::seat refused);
    /** Asks the connection that the policy chooses to give way to a new one from an address. @returns false
        if there is none */
    bool drop_one(const std::string& address, const char* cause);
    void apply_limits();

    asio::io_context& context_;
    http_limits limits_;
    handler on_request_;
    asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<connection_register> open_ = std::make_shared<connection_register>();
    /** Most refused callers whose input is discarded at a time; others are reset. Bounds what is not
        accounted. */
    static constexpr std::uint32_t max_discarding = 8;
    /** Refused callers whose input is read and discarded, so that they receive the refusal. */
    occupancy discarding_{max_discarding};
    /** Most new connections that wait for others to give way. */
    static constexpr std::uint32_t max_waiting = 32;
    occupancy waiting_{max_waiting};
    /** Refused new connections whose input is discarded; apart from the others, since anyone can cause them.
     */
    occupancy refused_{max_discarding};
    /** Accepted sockets have smaller descriptors while enough are left for files. */
    int descriptor_limit_ = 0;
    /** Set by close_idle_connections(): connections are closed after their current response. */
    std::atomic<bool> is_closing_{false};
};

} // namespace lovageledge
