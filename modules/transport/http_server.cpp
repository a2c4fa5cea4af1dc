#include "lovageledge/transport/http_server.hpp"

#include "lovageledge/transport/connection_refusal.hpp"
#include "lovageledge/transport/handshake_filter.hpp"
#include "lovageledge/transport/log_exception.hpp"
#include "lovageledge/transport/socket_output.hpp"
#include "lovageledge/transport/write_limit.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <limits>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>
#include <sys/resource.h>

namespace lovageledge {
namespace {

/** Limits on the input that is read and discarded after a request was refused before it was fully read. */
constexpr std::size_t discard_buffer_bytes = std::size_t{4} * 1024;
constexpr std::size_t discard_limit_bytes = std::size_t{16} * 1024 * 1024;
constexpr auto discard_timeout = std::chrono::seconds{2};
/** Largest chunk size line or trailers of a request, beside what the limit on headers allows. */
constexpr std::size_t framing_bytes = std::size_t{16} * 1024;
/** Pause after a failed accept. The usual cause, that no descriptors are left, lasts for a while. */
constexpr auto accept_failure_pause = std::chrono::milliseconds{50};
/** First size of a connection's input buffer. It holds the requests of most callers, and an idle connection
    keeps no more. */
constexpr std::size_t idle_buffer_bytes = std::size_t{4} * 1024;
/** Most bytes that are read at a time. */
constexpr std::size_t read_buffer_bytes = std::size_t{16} * 1024;
/** Accounted for an open connection: its coroutines, its registration, its input buffer and the allocator's
    overhead. */
constexpr std::size_t connection_bytes = std::size_t{8} * 1024;
/** Accounted for a field of a parsed head beside its bytes: the list node and the allocator's overhead. */
constexpr std::size_t field_bytes = 96;
/** Bytes that the kernel may hold in one direction for a large request or response: above the product of
    bandwidth and delay of a link of 10 Mbit/s with 12 ms one way. */
constexpr std::uint32_t large_socket_buffer_bytes = 64 * 1024;
/** Accounted for a request that is being served: its connection to a server with what the kernel holds
    there. */
constexpr std::size_t server_side_bytes = std::size_t{64} * 1024;
/** Smaller responses on a connection are taken to have left the kernel when the next request arrives. */
constexpr std::size_t small_response_bytes = std::size_t{4} * 1024;
/** Time in which others must have given way to a new connection. */
constexpr auto place_timeout = std::chrono::milliseconds{200};
constexpr auto longest_place_check = std::chrono::milliseconds{50};
/** Intervals at which the kernel is asked whether a caller has taken its responses. */
constexpr auto first_taken_check = std::chrono::milliseconds{1};
constexpr auto longest_taken_check = std::chrono::milliseconds{100};
/** A response may take longer than write_timeout by its size at this rate, in bytes per second. */
constexpr std::size_t min_reading_rate = std::size_t{400} * 1000;
/** Descriptors that are left for files, or half of all if there are few. */
constexpr int file_descriptors = 200;
/** Retry-After in seconds for a request that there is no memory for. */
constexpr const char* retry_after_no_memory = "1";

template <int Level, int Name>
using int_option = asio::detail::socket_option::integer<Level, Name>;

time_point steady_now() {
    return std::chrono::steady_clock::now();
}

int find_descriptor_limit() {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur > std::numeric_limits<int>::max()) {
        return std::numeric_limits<int>::max();
    }
    const int all = static_cast<int>(limit.rlim_cur);
    return all - std::min(file_descriptors, all / 2);
}

void reset(beast::tcp_stream& stream) {
    boost::system::error_code ignored;
    stream.socket().set_option(asio::socket_base::linger{true, 0}, ignored);
    stream.socket().close(ignored);
}

/** @returns the memory that a request takes, before the bytes in the buffer are parsed
    @param lines of the head that were received */
std::size_t request_bytes(const http::request_parser<http::string_body>& parser,
                          const beast::flat_buffer& buffer, std::size_t lines) {
    // A body without an announced length grows by doubling, one with a length takes memory as it arrives.
    const std::string& body = parser.get().body();
    return buffer.capacity() + lines * field_bytes + (parser.chunked() ? body.capacity() : body.size()) +
           buffer.size();
}

std::size_t parsed_head_bytes(const http::request_parser<http::string_body>& parser) {
    return field_bytes * static_cast<std::size_t>(std::distance(parser.get().begin(), parser.get().end()));
}

std::size_t count_lines(boost::asio::const_buffer bytes) {
    const auto* begin = static_cast<const char*>(bytes.data());
    return static_cast<std::size_t>(std::count(begin, begin + bytes.size(), '\n'));
}

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

/** @returns the time in which a caller must have taken a part of a response of this size */
duration write_time(const http_limits& limits, std::size_t bytes) {
    return limits.write_timeout + std::chrono::milliseconds{bytes * 1000 / min_reading_rate};
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

bool http_exchange::reserve_stream() {
    return hooks_ == nullptr || hooks_->reserve_stream();
}

void http_exchange::begin_write(std::size_t bytes) {
    if (hooks_ != nullptr) {
        hooks_->on_sending(bytes);
    }
}

bool http_exchange::handle_write_result(boost::system::error_code code) {
    if (hooks_ != nullptr) {
        hooks_->on_sent(code != beast::error::timeout);
    }
    if (code) {
        abort();
    }
    return !code;
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
    const bool may_have_body = request_->method() != http::verb::head &&
                               response.result() != http::status::no_content &&
                               response.result() != http::status::not_modified;
    if (may_have_body) {
        response.prepare_payload();
    } else {
        response.body().clear();
    }
    begin_write(response.body().size());
    const write_limit limit{stream_, write_time(limits_, response.body().size())};
    boost::system::error_code code;
    co_await http::async_write(stream_, response, asio::redirect_error(asio::use_awaitable, code));
    co_return handle_write_result(limit.translated(code));
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
    begin_write(0);
    const write_limit limit{stream_, write_time(limits_, 0)};
    boost::system::error_code code;
    co_await http::async_write_header(stream_, serializer, asio::redirect_error(asio::use_awaitable, code));
    co_return handle_write_result(limit.translated(code));
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
    begin_write(bytes.size());
    const write_limit limit{stream_, write_time(limits_, bytes.size())};
    boost::system::error_code code;
    if (remaining_length_) {
        *remaining_length_ -= std::min<std::uint64_t>(*remaining_length_, bytes.size());
        co_await asio::async_write(stream_, asio::buffer(bytes.data(), bytes.size()),
                                   asio::redirect_error(asio::use_awaitable, code));
    } else {
        co_await asio::async_write(stream_, http::make_chunk(asio::buffer(bytes.data(), bytes.size())),
                                   asio::redirect_error(asio::use_awaitable, code));
    }
    co_return handle_write_result(limit.translated(code));
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
    begin_write(0);
    const write_limit limit{stream_, write_time(limits_, 0)};
    boost::system::error_code code;
    co_await asio::async_write(stream_, http::make_chunk_last(),
                               asio::redirect_error(asio::use_awaitable, code));
    is_body_complete_ = !code;
    co_return handle_write_result(limit.translated(code));
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
    stream_.expires_never();
    watch_input();
}

void http_exchange::watch_input() {
    const std::weak_ptr<std::function<void()>> weak_callback = close_callback_;
    stream_.socket().async_wait(asio::socket_base::wait_read,
                                [weak_callback, this](boost::system::error_code) {
                                    const auto callback = weak_callback.lock();
                                    if (!callback) {
                                        return; // The response was started; "this" may have been destroyed.
                                    }
                                    switch (pending_input()) {
                                    case socket_input::none:
                                        watch_input();
                                        return;
                                    case socket_input::bytes:
                                        return;
                                    case socket_input::ended:
                                    case socket_input::failed:
                                        (*callback)();
                                    }
                                });
}

bool http_exchange::has_caller_left() {
    const socket_input input = is_aborted_ ? socket_input::failed : pending_input();
    return input == socket_input::ended || input == socket_input::failed;
}

http_server::http_server(asio::io_context& context, http_limits limits, handler on_request)
    : context_{context}, limits_{std::move(limits)}, on_request_{std::move(on_request)},
      acceptor_{asio::make_strand(context)}, descriptor_limit_{find_descriptor_limit()} {
    apply_limits();
}

void http_server::set_limits(const http_limits& limits) {
    limits_ = limits;
    apply_limits();
}

void http_server::apply_limits() {
    const std::scoped_lock lock{open_->mutex};
    const std::size_t memory =
        limits_.memory ? limits_.memory->capacity() : std::numeric_limits<std::size_t>::max();
    open_->policy.set_limits({limits_.connections, memory, limits_.address_share});
    if (!limits_.memory) {
        return;
    }
    limits_.memory->set_victim_chooser([open = open_](const memory_share& requesting) -> memory_share* {
        const std::scoped_lock inner_lock{open->mutex};
        const auto found = open->shares.find(&requesting);
        const auto own = found == open->shares.end() ? std::nullopt : std::optional{found->second};
        const time_point now = steady_now();
        while (const auto chosen = open->policy.choose_for_memory(own, now)) {
            connection& caller = *open->connections.at(*chosen);
            open->policy.ask_to_leave(*chosen);
            if (open->policy.confirm_leaving(*chosen, unsent_bytes(caller.stream().socket()) > 0, now)) {
                return &caller.memory();
            }
        }
        return static_cast<memory_share*>(nullptr);
    });
}

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
    if (!code && limits_.socket_buffer_bytes > 0) {
        // Accepted sockets inherit the sizes. The one of the receive buffer bounds the window from the start.
        const int bytes = static_cast<int>(limits_.socket_buffer_bytes);
        acceptor_.set_option(asio::socket_base::receive_buffer_size{bytes}, code);
        acceptor_.set_option(asio::socket_base::send_buffer_size{bytes}, code);
    }
    if (!code) {
        acceptor_.listen(asio::socket_base::max_listen_connections, code);
    }
    if (code) {
        why = {"http.listen", address, code.message()};
        acceptor_.close(code);
        return false;
    }
    open_->is_accepting = true;
    asio::co_spawn(acceptor_.get_executor(), accept_loop(), log_exception("http.accept"));
    return true;
}

void http_server::drop_new_handshakes() {
    asio::post(acceptor_.get_executor(), [this] {
        const auto code = lovageledge::drop_new_handshakes(acceptor_);
        open_->has_held_off_handshakes = true;
        if (code) {
            spdlog::info("http.listen: new connections are not held off before the close: {}",
                         code.message());
        }
    });
}

void http_server::accept_rest() {
    if (open_->is_accepting_rest.exchange(true)) {
        return;
    }
    asio::post(acceptor_.get_executor(), [this] {
        boost::system::error_code ignored;
        acceptor_.cancel(ignored);
    });
}

void http_server::stop_accepting() {
    asio::post(acceptor_.get_executor(), [this] {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
    });
}

void http_server::reset_connections() {
    const std::scoped_lock lock{open_->mutex};
    for (const auto& [id, caller] : open_->connections) {
        asio::post(caller->stream().get_executor(), [open = open_, id = id] {
            const std::scoped_lock inner_lock{open->mutex};
            const auto entry = open->connections.find(id);
            if (entry != open->connections.end()) {
                reset(entry->second->stream());
            }
        });
    }
}

http_server::place::~place() {
    if (open_ != nullptr) {
        const std::scoped_lock lock{open_->mutex};
        open_->policy.close(id_);
    }
}

http_server::connection::connection(std::shared_ptr<connection_register> open, asio::ip::tcp::socket socket,
                                    place own_place, const http_limits& limits)
    : open_{std::move(open)}, limits_{limits}, stream_{std::move(socket)},
      buffer_{limits.header_bytes + framing_bytes}, memory_{limits.memory, memory_use::connection,
                                                            [this] { drop("memory"); }},
      hooks_{[this](std::size_t bytes) { on_sending(bytes); }, [this](bool is_taken) { on_sent(is_taken); },
             [this] { return hold_bytes(memory_.counted() + limits_.socket_buffer_bytes); }},
      place_{std::move(own_place)}, opened_at_{steady_now()} {
    ++open_->count;
    const std::scoped_lock lock{open_->mutex};
    open_->connections.emplace(id(), this);
    open_->shares.emplace(&memory_, id());
    open_->policy.set_stage(id(), connection_stage::silent, steady_now());
}

http_server::connection::~connection() {
    const std::scoped_lock lock{open_->mutex};
    open_->policy.close(id());
    open_->shares.erase(&memory_);
    open_->connections.erase(id());
    --open_->count;
}

asio::awaitable<void> http_server::connection::read_some(std::size_t max_bytes, time_point limit,
                                                         boost::system::error_code& code) {
    const std::size_t size = co_await reader_.read_some(buffer_.prepare(max_bytes), limit, code);
    buffer_.commit(size);
    read_bytes_ += size;
}

bool http_server::connection::has_input() {
    return buffer_.size() > 0 || peek_input(stream_.socket()) == socket_input::bytes;
}

void http_server::connection::begin_request() {
    ++begun_requests_;
    read_bytes_ = buffer_.size();
}

void http_server::connection::report_unanswered(const char* cause) {
    unanswered_request request;
    request.cause = cause;
    request.connection_age = steady_now() - opened_at_;
    request.former_requests = begun_requests_ - 1;
    request.read_bytes = read_bytes_;
    request.unread_bytes = unread_bytes(stream_.socket());
    if (limits_.on_unanswered && request.read_bytes + request.unread_bytes > 0) {
        limits_.on_unanswered(request);
    }
}

void http_server::connection::set_stage(connection_stage stage) {
    stage_ = stage;
    const std::scoped_lock lock{open_->mutex};
    open_->policy.set_stage(id(), stage, steady_now());
}

bool http_server::connection::hold_bytes(std::size_t bytes) {
    if (memory_.is_cut() || !memory_.resize(bytes)) {
        return false;
    }
    const std::scoped_lock lock{open_->mutex};
    open_->policy.set_held(id(), memory_.counted());
    return true;
}

std::size_t http_server::connection::idle_bytes() const {
    const std::size_t most = has_large_send_buffer_ ? large_socket_buffer_bytes : limits_.socket_buffer_bytes;
    return connection_bytes + std::min(sent_bytes_, most);
}

bool http_server::connection::hold(std::size_t request_bytes) {
    const std::size_t receive_bytes =
        has_large_receive_buffer_ ? large_socket_buffer_bytes : limits_.socket_buffer_bytes;
    return hold_bytes(idle_bytes() + request_bytes + receive_bytes);
}

void http_server::connection::enlarge_receive_buffer() {
    if (limits_.socket_buffer_bytes == 0 || std::exchange(has_large_receive_buffer_, true)) {
        return;
    }
    boost::system::error_code ignored;
    const int bytes = static_cast<int>(large_socket_buffer_bytes);
    stream_.socket().set_option(asio::socket_base::receive_buffer_size{bytes}, ignored);
    // The window stays within the size that the socket was accepted with until this is raised.
    stream_.socket().set_option(int_option<IPPROTO_TCP, TCP_WINDOW_CLAMP>{bytes}, ignored);
}

void http_server::connection::on_sending(std::size_t bytes) {
    sent_bytes_ += bytes;
    set_stage(connection_stage::sending);
    const bool needs_large_buffer = limits_.socket_buffer_bytes > 0 && bytes > limits_.socket_buffer_bytes;
    if (needs_large_buffer && !std::exchange(has_large_send_buffer_, true)) {
        boost::system::error_code ignored;
        stream_.socket().set_option(
            asio::socket_base::send_buffer_size{static_cast<int>(large_socket_buffer_bytes)}, ignored);
    }
}

void http_server::connection::on_sent(bool is_taken) {
    set_stage(connection_stage::serving);
    if (!is_taken && limits_.on_closed) {
        limits_.on_closed("reading");
    }
}

bool http_server::connection::has_taken_responses() {
    const bool is_in_doubt = sent_bytes_ >= small_response_bytes || stage_ == connection_stage::sending;
    if (is_in_doubt && unsent_bytes(stream_.socket()) > 0) {
        return false;
    }
    sent_bytes_ = 0;
    return true;
}

void http_server::connection::mark_dropped(const char* cause) {
    drop_cause_ = cause;
    ++open_->dropped;
    open_->policy.leave(id());
    if (limits_.on_closed) {
        limits_.on_closed(cause);
    }
}

void http_server::connection::end_waiting() {
    // Closing a socket without a reset leaves what it has not sent to the kernel, for minutes.
    if (stage_ == connection_stage::sending || unsent_bytes(stream_.socket()) > 0) {
        reset(stream_);
    } else {
        stream_.cancel();
    }
}

void http_server::connection::drop(const char* cause) {
    {
        const std::scoped_lock lock{open_->mutex};
        if (is_dropped()) {
            return;
        }
        mark_dropped(cause);
        open_->policy.set_held(id(), 0);
    }
    end_waiting();
}

void http_server::connection::give_way(const char* cause) {
    const bool has_unsent = unsent_bytes(stream_.socket()) > 0;
    if (!is_dropped() && open_->policy.confirm_leaving(id(), has_unsent, steady_now())) {
        mark_dropped(cause);
        end_waiting();
    }
}

bool http_server::connection::revive() {
    if (memory_.is_cut() || !stream_.socket().is_open()) {
        return false;
    }
    const std::scoped_lock lock{open_->mutex};
    drop_cause_ = nullptr;
    is_last_request_ = true;
    open_->policy.stay(id(), steady_now());
    return true;
}

bool http_server::drop_one(const std::string& address, const char* cause) {
    const std::scoped_lock lock{open_->mutex};
    const auto chosen = open_->policy.choose_for_connection(address, steady_now());
    if (!chosen) {
        return false;
    }
    open_->policy.ask_to_leave(*chosen);
    asio::post(open_->connections.at(*chosen)->stream().get_executor(), [open = open_, id = *chosen, cause] {
        const std::scoped_lock inner_lock{open->mutex};
        const auto found = open->connections.find(id);
        if (found != open->connections.end()) {
            found->second->give_way(cause);
        }
    });
    return true;
}

std::optional<http_server::place> http_server::take_place(const std::string& address, bool has_made_room) {
    const std::scoped_lock lock{open_->mutex};
    const bool is_full =
        has_made_room ? open_->policy.is_out_of_places_for(address) : open_->policy.is_full_for(address);
    if (is_full) {
        return std::nullopt;
    }
    const std::uint64_t id = open_->next_id++;
    open_->policy.open(id, address, steady_now());
    // It can't be chosen before its connection exists.
    open_->policy.set_stage(id, connection_stage::serving, steady_now());
    return place{open_, id};
}

asio::awaitable<void> http_server::serve_when_there_is_place(asio::ip::tcp::socket socket,
                                                             std::string address, occupancy::seat waiting) {
    const time_point deadline = steady_now() + place_timeout;
    asio::steady_timer timer{socket.get_executor()};
    duration pause{};
    bool has_asked = false;
    std::optional<place> own_place;
    while (!own_place && !has_passed(deadline)) {
        if (open_->leaving() < waiting_.count()) {
            has_asked = drop_one(address, "connections") || has_asked;
            // Half of the room is for those that others give way to.
            if (!has_asked && waiting_.count() > max_waiting / 2) {
                break;
            }
        }
        timer.expires_after(pause);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        pause = std::clamp<duration>(pause * 2, first_taken_check, longest_place_check);
        own_place = take_place(address, has_asked);
    }
    waiting = {};
    if (!own_place) {
        refuse_connection(std::move(socket), "connections");
        co_return;
    }
    co_await serve_connection(std::move(socket), std::move(*own_place));
}

void http_server::refuse_connection(asio::ip::tcp::socket socket, const char* cause) {
    if (limits_.on_closed) {
        limits_.on_closed(cause);
    }
    const bool is_told = send_refusal(socket);
    const bool may_stay = is_told && socket.native_handle() < descriptor_limit_;
    if (occupancy::seat refused = may_stay ? refused_.try_enter() : occupancy::seat{}) {
        const auto executor = socket.get_executor();
        asio::co_spawn(executor, discard_input(std::move(socket), std::move(refused)),
                       log_exception("http.refuse"));
        return;
    }
    if (is_told && discard_pending(socket)) {
        return;
    }
    const std::size_t unread = unread_bytes(socket);
    if (limits_.on_unanswered && unread > 0) {
        limits_.on_unanswered({cause, duration::zero(), 0, 0, unread});
    }
}

boost::system::error_code http_server::accept_waiting() {
    boost::system::error_code code;
    acceptor_.non_blocking(true, code);
    while (!code) {
        asio::ip::tcp::endpoint peer;
        asio::ip::tcp::socket socket{asio::make_strand(context_)};
        acceptor_.accept(socket, peer, code);
        if (!code) {
            admit(std::move(socket), peer);
        }
    }
    return code == asio::error::would_block ? boost::system::error_code{} : code;
}

asio::awaitable<void> http_server::accept_loop() {
    const std::shared_ptr<connection_register> open = open_;
    while (acceptor_.is_open()) {
        boost::system::error_code code;
        if (open->is_accepting_rest) {
            code = accept_waiting();
            if (!code) {
                acceptor_.close(code);
                break;
            }
        } else {
            asio::ip::tcp::endpoint peer;
            asio::ip::tcp::socket socket = co_await acceptor_.async_accept(
                asio::make_strand(context_), peer, asio::redirect_error(asio::use_awaitable, code));
            if (code == asio::error::operation_aborted && !open->is_accepting_rest) {
                break; // The server may have been destroyed.
            }
            if (!code) {
                admit(std::move(socket), peer);
            }
        }
        const bool has_failed = code && code != asio::error::operation_aborted && acceptor_.is_open();
        if (has_failed) {
            drop_one({}, "descriptors");
            asio::steady_timer timer{co_await asio::this_coro::executor, accept_failure_pause};
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
        }
    }
    open->is_accepting = false;
}

void http_server::admit(asio::ip::tcp::socket socket, const asio::ip::tcp::endpoint& peer) {
    std::string address = peer.address().to_string();
    if (socket.native_handle() >= descriptor_limit_ && !drop_one(address, "descriptors")) {
        refuse_connection(std::move(socket), "descriptors");
        return;
    }
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    const auto executor = socket.get_executor();
    if (std::optional<place> own_place = take_place(address, false)) {
        asio::co_spawn(executor, serve_connection(std::move(socket), std::move(*own_place)),
                       log_exception("http.serve"));
    } else if (occupancy::seat waiting = waiting_.try_enter()) {
        asio::co_spawn(executor,
                       serve_when_there_is_place(std::move(socket), std::move(address), std::move(waiting)),
                       log_exception("http.serve"));
    } else {
        refuse_connection(std::move(socket), "connections");
    }
}

asio::awaitable<void> http_server::serve_connection(asio::ip::tcp::socket socket, place own_place) {
    connection caller{open_, std::move(socket), std::move(own_place), limits_};
    while (co_await serve_request(caller)) {
    }
    caller.set_ending();
    if (caller.is_dropped() || !caller.stream().socket().is_open() || caller.has_taken_responses()) {
        co_return;
    }
    // What a closed socket has not sent would be held by the kernel for minutes.
    boost::system::error_code ignored;
    caller.stream().socket().shutdown(asio::socket_base::shutdown_send, ignored);
    co_await wait_until_taken(caller);
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

asio::awaitable<void> http_server::discard_input(asio::ip::tcp::socket socket,
                                                 [[maybe_unused]] occupancy::seat refused) {
    beast::tcp_stream stream{std::move(socket)};
    co_await discard_input(stream);
}

void http_server::close_idle_connections(duration min_age) {
    is_closing_ = true;
    const time_point opened_until = steady_now() - min_age;
    const std::scoped_lock lock{open_->mutex};
    for (const auto& [id, caller] : open_->connections) {
        if (!open_->policy.is_idle(id) || caller->opened_at() > opened_until) {
            continue;
        }
        asio::post(caller->stream().get_executor(), [open = open_, id = id] {
            const std::scoped_lock inner_lock{open->mutex};
            const auto found = open->connections.find(id);
            if (found != open->connections.end() && open->policy.is_idle(id)) {
                // A request that has arrived is still read and served.
                found->second->stream().cancel();
            }
        });
    }
}

bool http_server::is_drained() const {
    const std::scoped_lock lock{open_->mutex};
    // A connection that was accepted has a place, or waits for one, before it is registered.
    const bool are_all_registered =
        waiting_.count() == 0 && open_->policy.size() == open_->connections.size();
    return !open_->is_accepting && are_all_registered &&
           std::all_of(open_->connections.begin(), open_->connections.end(),
                       [](const auto& item) { return item.second->is_ending(); });
}

asio::awaitable<bool> http_server::wait_until_taken(connection& caller) {
    const time_point deadline = steady_now() + limits_.write_timeout;
    asio::steady_timer timer{caller.stream().get_executor()};
    duration pause = first_taken_check;
    while (!caller.has_taken_responses()) {
        if (has_passed(deadline)) {
            caller.drop("reading");
        }
        if (caller.is_dropped() || !caller.stream().socket().is_open()) {
            co_return false;
        }
        timer.expires_after(pause);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        pause = std::min<duration>(pause * 2, longest_taken_check);
    }
    co_return true;
}

asio::awaitable<bool> http_server::wait_for_request(connection& caller) {
    if (caller.buffer().capacity() > idle_buffer_bytes) {
        caller.buffer().shrink_to_fit();
    }
    const time_point began = steady_now();
    boost::system::error_code code;
    do {
        // The limit may have grown meanwhile, and callers rely on the one in force.
        co_await caller.read_some(idle_buffer_bytes, began + limits_.idle_timeout, code);
    } while (code == beast::error::timeout && !has_passed(began + limits_.idle_timeout));
    const bool is_closed_here = code == beast::error::timeout || code == asio::error::operation_aborted;
    if (is_closed_here) {
        caller.report_unanswered(caller.close_cause(is_closing_ ? "stopping" : "idle"));
    }
    co_return !code;
}

asio::awaitable<boost::system::error_code>
http_server::read_more(connection& caller, http::request_parser<http::string_body>& parser,
                       time_point limit) {
    const std::size_t room = std::min(caller.buffer().max_size() - caller.buffer().size(), read_buffer_bytes);
    if (room == 0) {
        co_return http::error::buffer_overflow;
    }
    boost::system::error_code code;
    co_await caller.read_some(room, limit, code);
    if (code == asio::error::eof) {
        code = {};
        if (parser.got_some()) {
            parser.put_eof(code);
        } else {
            code = http::error::end_of_stream;
        }
    }
    co_return code;
}

asio::awaitable<boost::system::error_code>
http_server::read_request(connection& caller, http::request_parser<http::string_body>& parser) {
    const time_point deadline = steady_now() + limits_.request_timeout;
    boost::system::error_code code;
    bool is_late = false;
    std::size_t lines = count_lines(caller.buffer().data());
    while (!code && !parser.is_done()) {
        // Memory is accounted before it is spent: a parsed head takes up to 20 times its bytes.
        const std::uint64_t dropped_before = open_->dropped;
        if (!caller.hold(request_bytes(parser, caller.buffer(), lines))) {
            co_return asio::error::no_memory;
        }
        if (open_->dropped != dropped_before) {
            // What was given up is freed in the handlers that are queued now.
            co_await asio::post(caller.stream().get_executor(), asio::use_awaitable);
            if (caller.is_dropped()) {
                co_return asio::error::no_memory;
            }
        }
        if (caller.buffer().size() > 0) {
            caller.buffer().consume(parser.put(caller.buffer().data(), code));
            code = code == http::error::need_more ? boost::system::error_code{} : code;
        }
        if (code || parser.is_done()) {
            continue;
        }
        if (is_late) {
            co_return beast::error::timeout;
        }
        if (caller.is_dropped()) {
            co_return asio::error::operation_aborted;
        }
        const bool is_large =
            parser.is_header_done() && (parser.get().body().size() > limits_.socket_buffer_bytes ||
                                        parser.content_length().value_or(0) > limits_.socket_buffer_bytes);
        if (is_large) {
            caller.enlarge_receive_buffer();
        }
        const std::size_t unread_size = caller.buffer().size();
        code = co_await read_more(caller, parser, deadline);
        if (!parser.is_header_done()) {
            lines += count_lines(caller.buffer().data() + unread_size);
        }
        is_late = !code && has_passed(deadline);
    }
    co_return code;
}

asio::awaitable<void> http_server::refuse_unread(connection& caller, boost::system::error_code code,
                                                 bool has_no_room,
                                                 [[maybe_unused]] occupancy::seat discarding) {
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
    caller.begin_request();
    if (!caller.hold_idle()) {
        caller.report_unanswered(caller.close_cause("memory"));
        co_return false;
    }
    if (caller.buffer().size() > 0) {
        // A pipelined request: the caller may not be reading.
        caller.set_stage(connection_stage::sending);
    } else {
        const bool has_request = co_await wait_for_request(caller);
        if (!has_request) {
            co_return false;
        }
    }
    const bool has_begun = !caller.is_dropped() || caller.revive();
    if (!has_begun && caller.memory().is_cut() && caller.stream().socket().is_open()) {
        if (occupancy::seat discarding = discarding_.try_enter()) {
            co_await refuse_unread(caller, {}, true, std::move(discarding));
            co_return false;
        }
    }
    if (!has_begun || (!caller.has_taken_responses() && !co_await wait_until_taken(caller))) {
        caller.report_unanswered(caller.close_cause("reset"));
        co_return false;
    }
    caller.set_stage(connection_stage::receiving);
    std::optional<http::request_parser<http::string_body>> parser{std::in_place};
    parser->eager(true);
    parser->header_limit(limits_.header_bytes);
    parser->body_limit(limits_.body_bytes);
    const boost::system::error_code code = co_await read_request(caller, *parser);
    if (code == http::error::end_of_stream) {
        co_return false;
    }
    if (!caller.stream().socket().is_open()) {
        caller.report_unanswered(caller.close_cause("reset"));
        co_return false;
    }
    if (code) {
        parser.reset(); // Frees the body while the caller is still sending.
        const bool has_no_room = caller.memory().is_cut();
        occupancy::seat discarding = has_no_room            ? discarding_.try_enter()
                                     : !caller.is_dropped() ? discarding_.enter()
                                                            : occupancy::seat{};
        if (!discarding) {
            caller.report_unanswered(caller.close_cause("memory"));
            reset(caller.stream());
            co_return false;
        }
        caller.hold_idle();
        co_await refuse_unread(caller, code, has_no_room, std::move(discarding));
        co_return false;
    }
    if (caller.is_dropped() && !caller.revive()) {
        caller.report_unanswered(caller.close_cause("reset"));
        co_return false;
    }
    if (!caller.hold(request_bytes(*parser, caller.buffer(), 0) + parsed_head_bytes(*parser) +
                     server_side_bytes)) {
        parser.reset();
        co_await refuse_unread(caller, {}, true, discarding_.enter());
        co_return false;
    }
    caller.memory().set_complete();
    caller.set_stage(connection_stage::serving);
    http_exchange exchange{caller.stream(), parser->release(), limits_, &caller.hooks()};
    if (is_closing_ || caller.is_last_request()) {
        exchange.close_after_response();
    }
    co_await on_request_(exchange);
    if (!exchange.has_responded() && !exchange.is_aborted()) {
        co_await exchange.respond(500,
                                  R"({"error":{"step":"http","reason":"no answer","outcome":"unknown"}})");
    }
    caller.memory().set_arriving();
    caller.set_stage(connection_stage::kept);
    // A response that did not announce the close allows another request, which may have arrived already.
    const bool may_close = is_closing_ || caller.is_dropped();
    const bool is_kept = exchange.keeps_alive() && caller.stream().socket().is_open();
    co_return is_kept && (!may_close || caller.has_input());
}

} // namespace lovageledge
