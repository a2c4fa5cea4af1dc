#include "lovageledge/transport/http_connection.hpp"

#include <array>
#include <charconv>

namespace lovageledge {
namespace {

constexpr std::size_t answer_limit_bytes = std::size_t{64} * 1024 * 1024;
constexpr std::size_t read_block_bytes = std::size_t{16} * 1024;

} // namespace

std::optional<asio::ip::tcp::endpoint> parse_endpoint(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    boost::system::error_code code;
    const auto ip = asio::ip::make_address(std::string{text.substr(0, colon)}, code);
    std::uint16_t port = 0;
    const std::string_view digits = text.substr(colon + 1);
    const auto [end, problem] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (code || problem != std::errc{} || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint{ip, port};
}

void http_connection::fail(const char* step, const boost::system::error_code& code, error& why) {
    why = {step, address_, code.message()};
    close();
}

void http_connection::close() {
    boost::system::error_code ignored;
    // A reset instead of a graceful close: nothing that is still in the send buffer arrives later.
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
    // Nothing to read is the only good sign: an idle connection has no answer to come.
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
        fail("http.connect", code, why);
        co_return false;
    }
    stream_.socket().set_option(asio::ip::tcp::no_delay{true}, code);
    co_return true;
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
                                            bool& has_sent) {
    const auto message = make_request(std::move(request));
    stream_.expires_after(timeout);
    boost::system::error_code code;
    has_sent = true;
    co_await http::async_write(stream_, message, asio::redirect_error(asio::use_awaitable, code));
    if (code) {
        fail("http.write", code, why);
    }
    co_return !code;
}

asio::awaitable<std::optional<http_response>>
http_connection::exchange(http_request request, duration timeout, error& why, bool& has_sent) {
    if (!co_await send(std::move(request), timeout, why, has_sent)) {
        co_return std::nullopt;
    }
    boost::system::error_code code;
    http::response_parser<http::string_body> parser;
    parser.body_limit(answer_limit_bytes);
    co_await http::async_read(stream_, buffer_, parser, asio::redirect_error(asio::use_awaitable, code));
    if (code) {
        fail("http.read", code, why);
        co_return std::nullopt;
    }
    const bool is_kept = parser.get().keep_alive();
    http_response answer{parser.get().result_int(), std::move(parser.get().body())};
    if (!is_kept) {
        close();
    }
    co_return answer;
}

asio::awaitable<std::optional<http_response>>
http_connection::exchange_stream(http_request request,
                                 std::function<asio::awaitable<bool>(std::string_view)> on_bytes,
                                 std::function<duration()> next_timeout, error& why, bool& has_sent) {
    if (!co_await send(std::move(request), next_timeout(), why, has_sent)) {
        co_return std::nullopt;
    }
    boost::system::error_code code;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(answer_limit_bytes);
    co_await http::async_read_header(stream_, buffer_, parser,
                                     asio::redirect_error(asio::use_awaitable, code));
    if (code) {
        fail("http.read", code, why);
        co_return std::nullopt;
    }
    http_response answer{parser.get().result_int(), ""};
    std::array<char, read_block_bytes> block{};
    while (!parser.is_done()) {
        parser.get().body().data = block.data();
        parser.get().body().size = block.size();
        stream_.expires_after(next_timeout());
        co_await http::async_read_some(stream_, buffer_, parser,
                                       asio::redirect_error(asio::use_awaitable, code));
        if (code == http::error::need_buffer) {
            code = {};
        }
        if (code) {
            fail("http.read", code, why);
            co_return std::nullopt;
        }
        const std::string_view bytes{block.data(), block.size() - parser.get().body().size};
        if (bytes.empty()) {
            continue;
        }
        if (!answer.is_success()) {
            answer.body += bytes;
        } else if (!co_await on_bytes(bytes)) {
            close();
            why = {"http.read", address_, "stopped by the reader"};
            co_return std::nullopt;
        }
    }
    if (!parser.get().keep_alive()) {
        close();
    }
    co_return answer;
}

} // namespace lovageledge
