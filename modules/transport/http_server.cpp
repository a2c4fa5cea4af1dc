#include "lovageledge/transport/http_server.hpp"

#include "lovageledge/transport/log_exception.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

namespace lovageledge {
namespace {

/** Limits on the input that is read and discarded after a request was refused before it was fully read. */
constexpr std::size_t discard_buffer_bytes = std::size_t{16} * 1024;
constexpr std::size_t discard_limit_bytes = std::size_t{16} * 1024 * 1024;
constexpr auto discard_timeout = std::chrono::seconds{2};
/** Largest chunk size line or trailers of a request, beside what the limit on headers allows. */
constexpr std::size_t framing_bytes = std::size_t{16} * 1024;
/** Pause after a failed accept. The usual cause, that no descriptors are left, lasts for a while. */
constexpr auto accept_failure_pause = std::chrono::milliseconds{50};
/** Retry-After in seconds for a request that there is no memory for. */
constexpr const char* retry_after_no_memory = "1";

std::string percent_decoded(std::string_view text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool is_escape = text[i] == '%' && i + 2 < text.size();
        if (is_escape) {
            decoded.push_back(
                static_cast<char>(std::strtol(std::string{text.substr(i + 1, 2)}.c_str(), nullptr, 16)));
            i += 2;
        } else {
            decoded.push_back(text[i] == '+' ? ' ' : text[i]);
        }
    }
    return decoded;
}

} // namespace

std::string http_exchange::path() const {
    const std::string_view target{request_->target().data(), request_->target().size()};
    return std::string{target.substr(0, target.find('?'))};
}

std::string http_exchange::query_parameter(std::string_view name) const {
    const std::string_view target{request_->target().data(), request_->target().size()};
    const std::size_t query_start = target.find('?');
    if (query_start == std::string_view::npos) {
        return {};
    }
    std::string_view query = target.substr(query_start + 1);
    while (!query.empty()) {
        const std::string_view key_value = query.substr(0, query.find('&'));
        const std::size_t equals = key_value.find('=');
        if (equals != std::string_view::npos && key_value.substr(0, equals) == name) {
            return percent_decoded(key_value.substr(equals + 1));
        }
        query.remove_prefix(std::min(query.size(), key_value.size() + 1));
    }
    return {};
}

std::string http_exchange::header(std::string_view name) const {
    const auto field = request_->find(beast::string_view{name.data(), name.size()});
    return field == request_->end() ? std::string{} : std::string{field->value()};
}

asio::awaitable<bool> http_exchange::handle_write_result(boost::system::error_code code) {
    if (code) {
        abort();
    }
    co_return !code;
}

asio::awaitable<bool> http_exchange::respond(unsigned status, std::string body, std::string content_type,
                                             std::vector<http_header> headers) {
    assert(!has_responded_);
    has_responded_ = true;
    close_callback_.reset();
    http::response<http::string_body> response{static_cast<http::status>(status), 11, std::move(body)};
    response.set(http::field::content_type, content_type);
    for (const http_header& header : headers) {
        response.set(header.name, header.value);
    }
    co_return co_await write_response(std::move(response));
}

asio::awaitable<bool> http_exchange::write_response(http::response<http::string_body> response) {
    response.keep_alive(request_->keep_alive());
    response.prepare_payload();
    stream_.expires_after(limits_.write_timeout);
    boost::system::error_code code;
    co_await http::async_write(stream_, response, asio::redirect_error(asio::use_awaitable, code));
    co_return co_await handle_write_result(code);
}

asio::awaitable<bool> http_exchange::begin_stream(std::string content_type,
                                                  std::vector<http_header> headers) {
    assert(!has_responded_);
    has_responded_ = true;
    is_body_complete_ = false;
    close_callback_.reset();
    http::response<http::empty_body> response{http::status::ok, 11};
    response.set(http::field::content_type, content_type);
    for (const http_header& header : headers) {
        response.set(header.name, header.value);
    }
    response.chunked(true);
    co_return co_await write_head(std::move(response));
}

asio::awaitable<bool> http_exchange::write_head(http::response<http::empty_body> response) {
    response.keep_alive(request_->keep_alive());
    http::response_serializer<http::empty_body> serializer{response};
    stream_.expires_after(limits_.write_timeout);
    boost::system::error_code code;
    co_await http::async_write_header(stream_, serializer, asio::redirect_error(asio::use_awaitable, code));
    co_return co_await handle_write_result(code);
}

asio::awaitable<bool> http_exchange::begin_forwarded_response(unsigned status,
                                                              const std::vector<http_header>& headers,
                                                              std::optional<std::uint64_t> length) {
    assert(!has_responded_);
    has_responded_ = true;
    is_body_complete_ = false;
    http::response<http::empty_body> response{static_cast<http::status>(status), 11};
    for (const http_header& header : headers) {
        response.insert(header.name, header.value);
    }
    remaining_length_ = length;
    if (length) {
        response.content_length(*length);
    } else {
        response.chunked(true);
    }
    co_return co_await write_head(std::move(response));
}

asio::awaitable<bool> http_exchange::send_forwarded_response(unsigned status,
                                                             const std::vector<http_header>& headers,
                                                             std::string body) {
    assert(!has_responded_);
    has_responded_ = true;
    close_callback_.reset();
    http::response<http::string_body> response{static_cast<http::status>(status), 11, std::move(body)};
    for (const http_header& header : headers) {
        response.insert(header.name, header.value);
    }
    co_return co_await write_response(std::move(response));
}

asio::awaitable<bool> http_exchange::write(std::string_view bytes) {
    if (is_aborted_) {
        co_return false;
    }
    stream_.expires_after(limits_.write_timeout);
    boost::system::error_code code;
    if (remaining_length_) {
        *remaining_length_ -= std::min<std::uint64_t>(*remaining_length_, bytes.size());
        co_await asio::async_write(stream_, asio::buffer(bytes.data(), bytes.size()),
                                   asio::redirect_error(asio::use_awaitable, code));
    } else {
        co_await asio::async_write(stream_, http::make_chunk(asio::buffer(bytes.data(), bytes.size())),
                                   asio::redirect_error(asio::use_awaitable, code));
    }
    co_return co_await handle_write_result(code);
}

asio::awaitable<bool> http_exchange::end_stream() {
    if (is_aborted_) {
        co_return false;
    }
    close_callback_.reset();
    if (remaining_length_) {
        is_body_complete_ = *remaining_length_ == 0;
        co_return is_body_complete_;
    }
    stream_.expires_after(limits_.write_timeout);
    boost::system::error_code code;
    co_await asio::async_write(stream_, http::make_chunk_last(),
                               asio::redirect_error(asio::use_awaitable, code));
    is_body_complete_ = !code;
    co_return co_await handle_write_result(code);
}

void http_exchange::abort() {
    is_aborted_ = true;
    close_callback_.reset();
    boost::system::error_code ignored;
    stream_.socket().set_option(asio::socket_base::linger{true, 0}, ignored);
    stream_.socket().close(ignored);
}

void http_exchange::on_close(std::function<void()> callback) {
    close_callback_ = std::make_shared<std::function<void()>>(std::move(callback));
    const std::weak_ptr<std::function<void()>> weak_callback = close_callback_;
    stream_.expires_never();
    stream_.socket().async_wait(asio::socket_base::wait_read, [weak_callback,
                                                               this](boost::system::error_code code) {
        const auto locked_callback = weak_callback.lock();
        if (!locked_callback) {
            return; // The response was started; "this" may have been destroyed.
        }
        boost::system::error_code available_error;
        const bool is_closed = code || stream_.socket().available(available_error) == 0 || available_error;
        if (is_closed) {
            (*locked_callback)();
        }
    });
}

bool http_exchange::has_caller_left() {
    if (is_aborted_ || !stream_.socket().is_open()) {
        return true;
    }
    char byte = 0;
    const ssize_t size = ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool is_open = size > 0 || (size < 0 && (errno == EAGAIN || errno == EINTR));
    return !is_open;
}

http_server::http_server(asio::io_context& context, http_limits limits, handler on_request)
    : context_{context}, limits_{std::move(limits)},
      on_request_{std::move(on_request)}, acceptor_{asio::make_strand(context)} {}

bool http_server::listen(const std::string& address, error& why) {
    const auto endpoint = parse_endpoint(address);
    if (!endpoint) {
        why = {"http.listen", address, "malformed address"};
        return false;
    }
    boost::system::error_code code;
    acceptor_.open(endpoint->protocol(), code);
    if (!code) {
        acceptor_.set_option(asio::socket_base::reuse_address{true}, code);
    }
    if (!code) {
        acceptor_.bind(*endpoint, code);
    }
    if (!code) {
        acceptor_.listen(asio::socket_base::max_listen_connections, code);
    }
    if (code) {
        why = {"http.listen", address, code.message()};
        acceptor_.close(code);
        return false;
    }
    asio::co_spawn(acceptor_.get_executor(), accept_loop(), log_exception("http.accept"));
    return true;
}

void http_server::stop_accepting() {
    asio::post(acceptor_.get_executor(), [this] {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
    });
}

void http_server::reset_connections() {
    const std::scoped_lock lock{open_->mutex};
    for (const auto& [stream_id, stream] : open_->streams) {
        asio::post(stream->get_executor(), [this, stream_id = stream_id] {
            const std::scoped_lock inner_lock{open_->mutex};
            const auto entry = open_->streams.find(stream_id);
            if (entry != open_->streams.end()) {
                boost::system::error_code ignored;
                entry->second->socket().set_option(asio::socket_base::linger{true, 0}, ignored);
                entry->second->socket().close(ignored);
            }
        });
    }
}

http_server::connection::connection(std::shared_ptr<connection_register> open, asio::ip::tcp::socket socket,
                                    std::size_t buffer_bytes)
    : open_{std::move(open)}, stream_{std::move(socket)}, buffer_{buffer_bytes} {
    ++open_->count;
    const std::scoped_lock lock{open_->mutex};
    id_ = open_->next_id++;
    open_->streams.emplace(id_, &stream_);
}

http_server::connection::~connection() {
    const std::scoped_lock lock{open_->mutex};
    open_->idle_since.erase(id_);
    open_->streams.erase(id_);
    --open_->count;
}

asio::awaitable<void> http_server::accept_loop() {
    while (acceptor_.is_open()) {
        boost::system::error_code code;
        asio::ip::tcp::socket socket = co_await acceptor_.async_accept(
            asio::make_strand(context_), asio::redirect_error(asio::use_awaitable, code));
        if (code) {
            if (acceptor_.is_open()) {
                close_longest_idle();
                asio::steady_timer timer{co_await asio::this_coro::executor, accept_failure_pause};
                co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
            }
            continue;
        }
        if (open_->count >= limits_.connections && !close_longest_idle()) {
            continue;
        }
        socket.set_option(asio::ip::tcp::no_delay{true}, code);
        const auto executor = socket.get_executor();
        asio::co_spawn(executor, serve_connection(std::move(socket)), log_exception("http.serve"));
    }
}

asio::awaitable<void> http_server::serve_connection(asio::ip::tcp::socket socket) {
    connection caller{open_, std::move(socket), limits_.header_bytes + framing_bytes};
    while (co_await serve_request(caller)) {
    }
}

bool http_server::close_longest_idle() {
    const std::scoped_lock lock{open_->mutex};
    const auto longest =
        std::min_element(open_->idle_since.begin(), open_->idle_since.end(),
                         [](const auto& left, const auto& right) { return left.second < right.second; });
    if (longest == open_->idle_since.end()) {
        return false;
    }
    const std::uint64_t id = longest->first;
    asio::post(open_->streams.at(id)->get_executor(), [open = open_, id] {
        const std::scoped_lock inner_lock{open->mutex};
        const bool still_waits = open->idle_since.erase(id) > 0;
        if (still_waits) {
            open->streams.at(id)->cancel();
        }
    });
    return true;
}

asio::awaitable<void> http_server::discard_input(beast::tcp_stream& stream) {
    // Closing a socket with unread input resets the connection, and the caller might lose the response.
    boost::system::error_code code;
    stream.socket().shutdown(asio::socket_base::shutdown_send, code);
    const time_point deadline = std::chrono::steady_clock::now() + discard_timeout;
    stream.expires_at(deadline);
    std::array<char, discard_buffer_bytes> discard_buffer{};
    for (std::size_t discarded = 0; !code && discarded < discard_limit_bytes && !has_passed(deadline);) {
        discarded += co_await stream.async_read_some(asio::buffer(discard_buffer),
                                                     asio::redirect_error(asio::use_awaitable, code));
    }
}

void http_server::close_idle_connections() {
    is_closing_ = true;
    for (const auto& [id, turn] : open_->idle_since) {
        // A read that has already completed is not cancelled: its request is still served.
        open_->streams.at(id)->cancel();
    }
}

asio::awaitable<bool> http_server::wait_for_request(connection& caller) {
    boost::system::error_code code;
    caller.stream().expires_after(limits_.idle_timeout);
    {
        const std::scoped_lock lock{open_->mutex};
        open_->idle_since[caller.id()] = open_->next_turn++;
    }
    const std::size_t size = co_await caller.stream().async_read_some(
        caller.buffer().prepare(limits_.header_bytes), asio::redirect_error(asio::use_awaitable, code));
    {
        const std::scoped_lock lock{open_->mutex};
        open_->idle_since.erase(caller.id());
    }
    caller.buffer().commit(size);
    co_return !code;
}

asio::awaitable<boost::system::error_code>
http_server::read_request(connection& caller, http::request_parser<http::string_body>& parser,
                          memory_share& memory) {
    const time_point deadline = std::chrono::steady_clock::now() + limits_.request_timeout;
    caller.stream().expires_at(deadline);
    boost::system::error_code code;
    while (!code && !parser.is_done()) {
        co_await http::async_read_some(caller.stream(), caller.buffer(), parser,
                                       asio::redirect_error(asio::use_awaitable, code));
        if (memory.is_cut() || !memory.resize(parser.get().body().size())) {
            co_return asio::error::no_memory;
        }
        if (!code && !parser.is_done() && has_passed(deadline)) {
            code = beast::error::timeout;
        }
    }
    co_return code;
}

asio::awaitable<void> http_server::refuse_unread(connection& caller, boost::system::error_code code,
                                                 bool has_no_room) {
    const bool is_head_too_large = code == http::error::header_limit;
    const unsigned status = has_no_room                       ? 503
                            : is_head_too_large               ? 431
                            : code == http::error::body_limit ? 413
                            : code == beast::error::timeout   ? 408
                                                              : 400;
    http::request<http::string_body> empty_request;
    empty_request.keep_alive(false);
    http_exchange exchange{caller.stream(), std::move(empty_request), limits_};
    const std::string reason = has_no_room ? "no memory for the body" : code.message();
    nlohmann::json body{{"error", {{"step", "http.read"}, {"reason", reason}, {"outcome", "not_run"}}}};
    std::vector<http_header> headers;
    if (has_no_room) {
        headers.push_back({"Retry-After", retry_after_no_memory});
    }
    co_await exchange.respond(status, body.dump(), "application/json", std::move(headers));
    co_await discard_input(caller.stream());
}

asio::awaitable<bool> http_server::serve_request(connection& caller) {
    // The limit on headers may have grown since the connection was accepted.
    caller.buffer().max_size(
        std::max<std::size_t>(caller.buffer().max_size(), limits_.header_bytes + framing_bytes));
    if (caller.buffer().size() == 0) {
        const bool has_request = co_await wait_for_request(caller);
        if (!has_request) {
            co_return false;
        }
    }
    memory_share memory{limits_.memory, memory_use::request, [&] { caller.stream().cancel(); }};
    std::optional<http::request_parser<http::string_body>> parser{std::in_place};
    parser->eager(true);
    parser->header_limit(limits_.header_bytes);
    parser->body_limit(limits_.body_bytes);
    const boost::system::error_code code = co_await read_request(caller, *parser, memory);
    if (code == http::error::end_of_stream || !caller.stream().socket().is_open()) {
        co_return false;
    }
    if (code) {
        parser.reset(); // Frees the body while the caller is still sending.
        co_await refuse_unread(caller, code, memory.is_cut());
        co_return false;
    }
    memory.set_complete();
    http_exchange exchange{caller.stream(), parser->release(), limits_};
    co_await on_request_(exchange);
    if (!exchange.has_responded() && !exchange.is_aborted()) {
        co_await exchange.respond(500,
                                  R"({"error":{"step":"http","reason":"no answer","outcome":"unknown"}})");
    }
    co_return !is_closing_ && exchange.keeps_alive() && caller.stream().socket().is_open();
}

} // namespace lovageledge
