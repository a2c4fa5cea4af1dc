#include "lovageledge/transport/http_connection.hpp"

#include "lovageledge/transport/keep_alive.hpp"
#include "lovageledge/transport/response_check.hpp"
#include "lovageledge/transport/socket_output.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace lovageledge {
namespace {

constexpr std::size_t read_buffer_bytes = std::size_t{16} * 1024;
constexpr int max_interim_responses = 16;

std::vector<http_header> copy_headers(const http::fields& fields) {
    std::vector<http_header> headers;
    for (const auto& field : fields) {
        headers.push_back({std::string{field.name_string()}, std::string{field.value()}});
    }
    return headers;
}

} // namespace

std::optional<std::string_view> http_response::header(std::string_view name) const {
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const http_header& header) {
        return beast::iequals(header.name, beast::string_view{name.data(), name.size()});
    });
    return found == headers.end() ? std::nullopt : std::optional<std::string_view>{found->value};
}

bool has_passed(time_point deadline) {
    return std::chrono::steady_clock::now() >= deadline;
}

std::optional<asio::ip::tcp::endpoint> parse_endpoint(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    boost::system::error_code code;
    const auto ip = asio::ip::make_address(std::string{text.substr(0, colon)}, code);
    std::uint16_t port = 0;
    const std::string_view digits = text.substr(colon + 1);
    const auto [end, parse_error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (code || parse_error != std::errc{} || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint{ip, port};
}

void http_connection::close_with_error(const char* step, const boost::system::error_code& code, error& why) {
    why = {step, address_, code.message()};
    close();
}

void http_connection::close() {
    boost::system::error_code ignored;
    // Lingering for zero seconds resets the connection, so that data in the send buffer is never delivered.
    stream_.socket().set_option(asio::socket_base::linger{true, 0}, ignored);
    stream_.socket().close(ignored);
    buffer_.clear();
}

bool http_connection::is_reusable() {
    if (!is_open()) {
        return false;
    }
    boost::system::error_code code;
    stream_.socket().non_blocking(true, code);
    char byte = 0;
    stream_.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, code);
    // An idle connection has no pending response: any data, end of file or error makes it unusable.
    if (code != asio::error::would_block) {
        close();
        return false;
    }
    return true;
}

asio::awaitable<bool> http_connection::open(std::string address, duration timeout, error& why) {
    close();
    address_ = std::move(address);
    const auto endpoint = parse_endpoint(address_);
    if (!endpoint) {
        why = {"http.connect", address_, "malformed address"};
        co_return false;
    }
    stream_.expires_after(timeout);
    boost::system::error_code code;
    co_await stream_.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, code));
    if (code) {
        close_with_error("http.connect", code, why);
        co_return false;
    }
    stream_.socket().set_option(asio::ip::tcp::no_delay{true}, code);
    co_return true;
}

void http_connection::limit_lost_peer(duration limit) {
    set_keep_alive(stream_.socket(), limit);
}

http::request<http::string_body> http_connection::make_request(http_request request) const {
    http::request<http::string_body> message{request.method, request.target, 11, std::move(request.body)};
    message.set(http::field::host, address_);
    for (const http_header& header : request.headers) {
        message.set(header.name, header.value);
    }
    message.prepare_payload();
    return message;
}

asio::awaitable<bool> http_connection::send(http_request request, duration timeout, error& why,
                                            bool& may_have_sent) {
    const auto message = make_request(std::move(request));
    stream_.expires_after(timeout);
    boost::system::error_code code;
    may_have_sent = true;
    co_await http::async_write(stream_, message, asio::redirect_error(asio::use_awaitable, code));
    if (code) {
        close_with_error("http.write", code, why);
    }
    co_return !code;
}

template <typename Body>
asio::awaitable<boost::system::error_code> http_connection::read_some(http::response_parser<Body>& parser,
                                                                      time_point deadline) {
    boost::system::error_code code;
    limit_.start(deadline);
    co_await http::async_read_some(stream_, buffer_, parser, asio::redirect_error(asio::use_awaitable, code));
    limit_.stop();
    code = limit_.translated(code);
    co_return code == http::error::need_buffer ? boost::system::error_code{} : code;
}

template <typename Body>
asio::awaitable<bool> http_connection::read_head(std::optional<http::response_parser<Body>>& parser,
                                                 http::verb method, time_point deadline, error& why) {
    stream_.expires_never();
    for (int skipped = 0; skipped <= max_interim_responses; ++skipped) {
        parser.emplace();
        parser->body_limit(max_body_bytes_);
        parser->skip(method == http::verb::head);
        boost::system::error_code code;
        while (!code && !parser->is_header_done()) {
            code = co_await read_some(*parser, deadline);
        }
        if (code) {
            close_with_error("http.read", code, why);
            co_return false;
        }
        if (const char* reason = find_malformed(parser->get()); reason != nullptr) {
            why = {"http.read", address_, reason};
            close();
            co_return false;
        }
        if (parser->get().result_int() >= 200) {
            co_return true;
        }
    }
    why = {"http.read", address_, "too many interim responses"};
    close();
    co_return false;
}

template <typename Body>
asio::awaitable<bool> http_connection::finish(const http::response_parser<Body>& parser, time_point deadline,
                                              error& why) {
    if (parser.need_eof()) {
        const auto code = co_await wait_until_acknowledged(
            stream_.socket(), deadline, [] { return std::optional{boost::system::error_code{}}; });
        if (code) {
            close_with_error("http.write", code, why);
            co_return false;
        }
    }
    // Bytes behind the response would be taken for the next one.
    if (!parser.keep_alive() || buffer_.size() > 0) {
        close();
    }
    co_return true;
}

asio::awaitable<std::optional<http_response>>
http_connection::exchange(http_request request, duration timeout, error& why, bool& may_have_sent) {
    const time_point deadline = std::chrono::steady_clock::now() + timeout;
    const http::verb method = request.method;
    if (!co_await send(std::move(request), timeout, why, may_have_sent)) {
        co_return std::nullopt;
    }
    std::optional<http::response_parser<http::string_body>> parser;
    if (!co_await read_head(parser, method, deadline, why)) {
        co_return std::nullopt;
    }
    parser->eager(true);
    boost::system::error_code code;
    while (!code && !parser->is_done()) {
        code = co_await read_some(*parser, deadline);
        if (!code && !parser->is_done() && has_passed(deadline)) {
            code = beast::error::timeout;
        }
    }
    if (code) {
        close_with_error("http.read", code, why);
        co_return std::nullopt;
    }
    const bool is_whole = co_await finish(*parser, deadline, why);
    if (!is_whole) {
        co_return std::nullopt;
    }
    co_return http_response{parser->get().result_int(), std::move(parser->get().body()),
                            copy_headers(parser->get())};
}

asio::awaitable<std::optional<http_response>>
http_connection::exchange_stream(http_request request,
                                 std::function<asio::awaitable<bool>(std::string_view)> on_bytes,
                                 std::function<duration()> next_timeout, error& why, bool& may_have_sent) {
    const duration head_timeout = next_timeout();
    const time_point head_deadline = std::chrono::steady_clock::now() + head_timeout;
    const http::verb method = request.method;
    if (!co_await send(std::move(request), head_timeout, why, may_have_sent)) {
        co_return std::nullopt;
    }
    std::optional<http::response_parser<http::buffer_body>> parser;
    if (!co_await read_head(parser, method, head_deadline, why)) {
        co_return std::nullopt;
    }
    http_response response{parser->get().result_int(), "", copy_headers(parser->get())};
    std::array<char, read_buffer_bytes> read_buffer{};
    while (!parser->is_done()) {
        parser->get().body().data = read_buffer.data();
        parser->get().body().size = read_buffer.size();
        const time_point deadline = std::chrono::steady_clock::now() + next_timeout();
        const boost::system::error_code code = co_await read_some(*parser, deadline);
        if (code) {
            close_with_error("http.read", code, why);
            co_return std::nullopt;
        }
        const std::string_view bytes{read_buffer.data(), read_buffer.size() - parser->get().body().size};
        if (bytes.empty()) {
            continue;
        }
        if (!response.is_success()) {
            response.body += bytes;
        } else if (!co_await on_bytes(bytes)) {
            close();
            why = {"http.read", address_, "stopped by the reader"};
            co_return std::nullopt;
        }
    }
    const time_point deadline = std::chrono::steady_clock::now() + next_timeout();
    const bool is_whole = co_await finish(*parser, deadline, why);
    co_return is_whole ? std::optional{std::move(response)} : std::nullopt;
}

} // namespace lovageledge
