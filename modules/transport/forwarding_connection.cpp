#include "lovageledge/transport/forwarding_connection.hpp"

#include "lovageledge/transport/keep_alive.hpp"
#include "lovageledge/transport/response_check.hpp"
#include "lovageledge/transport/socket_output.hpp"

#include <charconv>
#include <limits>
#include <netinet/tcp.h>

namespace lovageledge {
namespace {

/** How long an idle connection is reused if the server does not announce a limit in Keep-Alive. */
constexpr auto default_idle_limit = std::chrono::milliseconds{500};
/** Fraction of the server's announced idle limit that is used, since the server starts to count earlier. */
constexpr double idle_limit_fraction = 0.75;
/** Connections to an unreachable server fail after about three seconds, whether they have unacknowledged
    data or are idle. */
constexpr auto lost_peer_limit = std::chrono::milliseconds{2500};

template <int Level, int Name>
using int_option = asio::detail::socket_option::integer<Level, Name>;

/** Bytes that the kernel may hold in each direction: what a link of 10 Mbit/s with 12 ms one way needs. By
    default it holds up to some MB of a response whose caller does not read. */
constexpr int socket_buffer_bytes = 32 * 1024;

void set_socket_options(asio::ip::tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    set_keep_alive(socket, lost_peer_limit);
}

} // namespace

std::optional<std::string_view> response_head::header(std::string_view name) const {
    for (const http_header& header : headers) {
        if (beast::iequals(beast::string_view{header.name}, beast::string_view{name.data(), name.size()})) {
            return header.value;
        }
    }
    return std::nullopt;
}

void forwarding_connection::abort_with_error(const char* step, const boost::system::error_code& code,
                                             error& why) {
    why = {step, address_, code.message()};
    const bool is_malformed = code.category() == http::make_error_code(http::error::bad_chunk).category() &&
                              code != http::error::end_of_stream && code != http::error::partial_message;
    has_misbehaved_ = has_misbehaved_ || is_malformed;
    abort();
}

void forwarding_connection::abort_at_deadline(error& why) {
    has_misbehaved_ = true;
    abort_with_error("http.read", beast::error::timeout, why);
}

void forwarding_connection::abort_malformed(const char* reason, error& why) {
    why = {"http.read", address_, reason};
    has_misbehaved_ = true;
    abort();
}

void forwarding_connection::abort() {
    is_aborted_ = true;
    boost::system::error_code ignored;
    stream_.socket().set_option(asio::socket_base::linger{true, 0}, ignored);
    stream_.socket().close(ignored);
}

asio::awaitable<bool> forwarding_connection::open(const std::string& address, duration timeout, error& why) {
    address_ = address;
    const auto endpoint = parse_endpoint(address_);
    if (!endpoint) {
        why = {"http.connect", address_, "malformed address"};
        co_return false;
    }
    stream_.expires_after(timeout);
    boost::system::error_code code;
    stream_.socket().open(endpoint->protocol(), code);
    if (!code) {
        // The receive buffer's size bounds the window from the start.
        stream_.socket().set_option(asio::socket_base::receive_buffer_size{socket_buffer_bytes}, code);
        stream_.socket().set_option(asio::socket_base::send_buffer_size{socket_buffer_bytes}, code);
    }
    co_await stream_.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, code));
    if (code) {
        abort_with_error("http.connect", code, why);
        co_return false;
    }
    set_socket_options(stream_.socket());
    co_return !is_aborted_;
}

bool forwarding_connection::is_reusable(time_point now) {
    if (is_aborted_ || !stream_.socket().is_open() || now - idle_since_ > idle_limit_) {
        return false;
    }
    boost::system::error_code code;
    stream_.socket().non_blocking(true, code);
    char byte = 0;
    stream_.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, code);
    return code == asio::error::would_block;
}

void forwarding_connection::send(std::string head, std::shared_ptr<const std::string> body) {
    request_head_ = std::move(head);
    request_body_ = std::move(body);
    is_writing_ = true;
    write_failure_.clear();
    ++sent_requests_;
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(request_head_),
                                                    asio::buffer(*request_body_)};
    stream_.expires_never();
    asio::async_write(stream_, buffers,
                      [self = shared_from_this()](boost::system::error_code code, std::size_t) {
                          self->is_writing_ = false;
                          self->request_body_.reset();
                          self->write_failure_ = code;
                          if (code) {
                              // Keeps the receiving side open: a response that arrived before the write
                              // failed can still be read.
                              boost::system::error_code ignored;
                              self->stream_.socket().shutdown(asio::socket_base::shutdown_send, ignored);
                          }
                      });
}

void forwarding_connection::update_idle_limit(const response_head& head) {
    idle_limit_ = default_idle_limit;
    const auto value = head.header("Keep-Alive");
    const std::size_t position = value ? value->find("timeout=") : std::string_view::npos;
    if (position == std::string_view::npos) {
        return;
    }
    const std::string_view digits = value->substr(position + 8);
    std::uint32_t seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    idle_limit_ =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds * idle_limit_fraction});
}

asio::awaitable<std::optional<response_head>>
forwarding_connection::read_head(time_point deadline, error& why, read_limit::extension extend) {
    if (is_aborted_) {
        why = {"http.read", address_, "aborted"};
        co_return std::nullopt;
    }
    if (has_passed(deadline) && extend) {
        deadline = extend().value_or(deadline);
    }
    if (has_passed(deadline)) {
        abort_at_deadline(why);
        co_return std::nullopt;
    }
    parser_.emplace();
    parser_->header_limit(max_head_bytes);
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    parser_->skip(request_head_.starts_with("HEAD "));
    limit_.start(deadline, std::move(extend));
    boost::system::error_code code;
    co_await http::async_read_header(stream_, buffer_, *parser_,
                                     asio::redirect_error(asio::use_awaitable, code));
    limit_.stop();
    code = limit_.translated(code);
    if (code) {
        abort_with_error("http.read", code, why);
        co_return std::nullopt;
    }
    if (const char* reason = find_malformed(parser_->get()); reason != nullptr) {
        abort_malformed(reason, why);
        co_return std::nullopt;
    }
    response_head head;
    head.status = parser_->get().result_int();
    head.is_chunked = parser_->chunked();
    for (const auto& field : parser_->get()) {
        head.headers.push_back({std::string{field.name_string()}, std::string{field.value()}});
    }
    if (parser_->content_length()) {
        head.content_length = *parser_->content_length();
    }
    update_idle_limit(head);
    co_return head;
}

asio::awaitable<std::optional<std::string_view>>
forwarding_connection::read_some(time_point deadline, error& why, read_limit::extension extend) {
    read_limit::extension extend_deadline;
    if (extend) {
        extend_deadline = [&extend, &deadline] {
            const auto later = extend();
            deadline = later.value_or(deadline);
            return later;
        };
    }
    while (!parser_->is_done()) {
        if (has_passed(deadline) && extend_deadline) {
            extend_deadline();
        }
        if (has_passed(deadline)) {
            abort_at_deadline(why);
            co_return std::nullopt;
        }
        parser_->get().body().data = read_buffer_.data();
        parser_->get().body().size = read_buffer_.size();
        limit_.start(deadline, extend_deadline);
        boost::system::error_code code;
        co_await http::async_read_some(stream_, buffer_, *parser_,
                                       asio::redirect_error(asio::use_awaitable, code));
        limit_.stop();
        code = limit_.translated(code);
        if (code == http::error::need_buffer) {
            code = {};
        }
        if (code || is_aborted_) {
            abort_with_error("http.read", code, why);
            co_return std::nullopt;
        }
        const std::size_t size = read_buffer_.size() - parser_->get().body().size;
        if (size > 0) {
            co_return std::string_view{read_buffer_.data(), size};
        }
    }
    const bool ends_with_connection = parser_->need_eof();
    if (ends_with_connection && !co_await wait_until_request_taken(deadline, why)) {
        co_return std::nullopt;
    }
    co_return std::string_view{};
}

asio::awaitable<bool> forwarding_connection::wait_until_request_taken(time_point deadline, error& why) {
    const auto failure = co_await wait_until_acknowledged(stream_.socket(), deadline, [this] {
        return is_writing_ ? std::nullopt : std::optional{write_failure_};
    });
    if (failure || is_aborted_) {
        abort_with_error("http.write", failure ? failure : asio::error::operation_aborted, why);
        co_return false;
    }
    co_return true;
}

bool forwarding_connection::keeps_alive() const {
    return !is_aborted_ && !is_writing_ && !write_failure_ && buffer_.size() == 0 && parser_ &&
           parser_->is_done() && parser_->get().keep_alive();
}

} // namespace lovageledge
