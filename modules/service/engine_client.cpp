#include "lovageledge/service/engine_client.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lovageledge {
namespace {

using nlohmann::json;

constexpr auto connect_timeout = std::chrono::milliseconds{1000};
constexpr auto status_timeout = std::chrono::milliseconds{1000};
constexpr auto order_timeout = std::chrono::seconds{20};
constexpr auto cancel_timeout = std::chrono::milliseconds{1000};
constexpr auto confirm_retry_interval = std::chrono::milliseconds{500};
/** Shorter than the idle timeout of any server, so that a reused connection has rarely been closed. */
constexpr auto idle_connection_timeout = std::chrono::seconds{10};

enum class stream_end : std::uint8_t { none, done, cancelled };

std::string engine_request_id(const attempt_id& id) {
    return id.request.text() + "." + std::to_string(id.attempt);
}

/** @returns true if all fields of an engine's status that are given have their type */
bool is_status(const json& body) {
    if (!body.is_object()) {
        return false;
    }
    const json start = body.value("start_id", json(""));
    const json leaving = body.value("leaving", json(false));
    const json loaded = body.value("loaded", json::array());
    return start.is_string() && leaving.is_boolean() && loaded.is_array() &&
           std::all_of(loaded.begin(), loaded.end(), [](const json& key) { return key.is_string(); });
}

} // namespace

/** Extracts the tokens from a stream of server-sent events. */
class engine_client::token_stream_parser {
public:
    /** Adds bytes of the stream. @returns the tokens that they complete */
    std::vector<std::string> feed(std::string_view bytes) {
        std::vector<std::string> tokens;
        pending_ += bytes;
        std::size_t start = 0;
        for (std::size_t end = pending_.find('\n'); end != std::string::npos;
             end = pending_.find('\n', start)) {
            parse_line(std::string_view{pending_}.substr(start, end - start), tokens);
            start = end + 1;
        }
        pending_.erase(0, start);
        return tokens;
    }

    stream_end end() const { return end_; }

private:
    void parse_line(std::string_view line, std::vector<std::string>& tokens) {
        constexpr std::string_view prefix = "data: ";
        if (!line.starts_with(prefix)) {
            return;
        }
        line.remove_prefix(prefix.size());
        if (line == "[DONE]") {
            end_ = is_cancelled_ ? stream_end::cancelled : stream_end::done;
            return;
        }
        const json event = json::parse(line, nullptr, false);
        if (!event.is_object() || !event.contains("choices") || event["choices"].empty()) {
            return;
        }
        const json& choice = event["choices"][0];
        const auto finish = choice.find("finish_reason");
        is_cancelled_ = is_cancelled_ || (finish != choice.end() && *finish == "cancelled");
        std::string text = choice.value("text", "");
        if (!text.empty()) {
            tokens.push_back(std::move(text));
        }
    }

    std::string pending_;
    stream_end end_ = stream_end::none;
    bool is_cancelled_ = false;
};

engine_client::engine_client(asio::io_context& context, server_name server, std::uint32_t credit_window,
                             duration stream_silence, callbacks handlers)
    : strand_{asio::make_strand(context)}, server_{std::move(server)}, credit_window_{credit_window},
      stream_silence_{stream_silence}, callbacks_{std::move(handlers)}, order_connection_{strand_} {}

void engine_client::enqueue(order next) {
    orders_.push_back(std::move(next));
    if (is_running_orders_) {
        return;
    }
    is_running_orders_ = true;
    asio::co_spawn(
        strand_, [self = shared_from_this()] { return self->run_orders(); }, asio::detached);
}

asio::awaitable<void> engine_client::run_orders() {
    while (!orders_.empty()) {
        const order next = std::move(orders_.front());
        orders_.pop_front();
        co_await next();
    }
    is_running_orders_ = false;
}

void engine_client::probe(probe_server command) {
    asio::post(strand_, [self = shared_from_this(), command = std::move(command)]() mutable {
        if (self->is_probe_queued_ && !command.is_new_connection) {
            return;
        }
        self->is_probe_queued_ = true;
        self->enqueue([self, command] { return self->run_probe(command); });
    });
}

void engine_client::load(order_load command) {
    asio::post(strand_, [self = shared_from_this(), command = std::move(command)]() mutable {
        self->enqueue([self, command] { return self->run_load(command); });
    });
}

void engine_client::unload(order_unload command) {
    asio::post(strand_, [self = shared_from_this(), command = std::move(command)]() mutable {
        self->enqueue([self, command] { return self->run_unload(command); });
    });
}

void engine_client::dispatch(dispatch_request command) {
    asio::post(strand_, [self = shared_from_this(), command = std::move(command)]() mutable {
        auto state = std::make_shared<dispatch_state>(self->strand_);
        state->credit = self->credit_window_;
        self->dispatches_.emplace(command.id, std::move(state));
        asio::co_spawn(
            self->strand_, [self, command] { return self->run_dispatch(command); }, asio::detached);
    });
}

void engine_client::cancel(const attempt_id& id) {
    asio::co_spawn(
        strand_, [self = shared_from_this(), id] { return self->run_cancel(id); }, asio::detached);
}

void engine_client::confirm(const confirm_dispatch_ended& command) {
    asio::co_spawn(
        strand_, [self = shared_from_this(), command] { return self->run_confirm(command); }, asio::detached);
}

void engine_client::add_credit(const attempt_id& id, std::uint32_t tokens) {
    asio::post(strand_, [self = shared_from_this(), id, tokens] {
        const auto state = self->dispatches_.find(id);
        if (state != self->dispatches_.end()) {
            state->second->credit += tokens;
            state->second->credit_signal.cancel();
        }
    });
}

asio::awaitable<std::optional<engine_client::engine_status>>
engine_client::read_status(http_connection& connection, error& failure) {
    bool has_sent = false;
    http_request request;
    request.target = "/status";
    const auto response = co_await connection.exchange(std::move(request), status_timeout, failure, has_sent);
    if (!response) {
        co_return std::nullopt;
    }
    const json body = json::parse(response->body, nullptr, false);
    if (!response->is_success() || !is_status(body)) {
        failure = {"engine.status", connection.address(), "status " + std::to_string(response->status)};
        co_return std::nullopt;
    }
    engine_status status;
    status.start = start_id{body.value("start_id", "")};
    status.is_leaving = body.value("leaving", false);
    for (const auto& key : body.value("loaded", std::vector<std::string>{})) {
        status.loaded.emplace_back(key);
    }
    co_return status;
}

asio::awaitable<void> engine_client::run_probe(probe_server command) {
    is_probe_queued_ = false;
    error failure;
    if (command.is_new_connection || address_ != command.address) {
        order_connection_.close();
    }
    address_ = command.address;
    const bool is_open = order_connection_.is_reusable() ||
                         co_await order_connection_.open(address_, connect_timeout, failure);
    std::optional<engine_status> status;
    if (is_open) {
        status = co_await read_status(order_connection_, failure);
    }
    if (!status) {
        callbacks_.on_unreachable();
        co_return;
    }
    callbacks_.on_status(status->start, status->loaded, status->is_leaving);
}

asio::awaitable<std::optional<http_response>> engine_client::send_order(std::string target, std::string body,
                                                                        bool& is_sent) {
    is_sent = false;
    if (!order_connection_.is_reusable()) {
        co_return std::nullopt;
    }
    error failure;
    http_request request{
        http::verb::post, std::move(target), std::move(body), {{"Content-Type", "application/json"}}};
    co_return co_await order_connection_.exchange(std::move(request), order_timeout, failure, is_sent);
}

asio::awaitable<void> engine_client::run_load(order_load command) {
    const json body{
        {"lora_name", command.key.text()}, {"lora_path", command.weights_path}, {"fencing", command.fencing}};
    bool is_sent = false;
    const auto response = co_await send_order("/v1/load_lora_adapter", body.dump(), is_sent);
    if (!response) {
        callbacks_.on_load(command.key, order_result::no_answer);
        co_return;
    }
    const bool is_already_loaded = response->body.find("already loaded") != std::string::npos;
    const bool has_no_slot = response->body.find("no slot") != std::string::npos;
    callbacks_.on_load(command.key, response->is_success() ? order_result::done
                                    : is_already_loaded    ? order_result::already_loaded
                                    : has_no_slot          ? order_result::no_slot
                                                           : order_result::refused);
}

asio::awaitable<void> engine_client::run_unload(order_unload command) {
    const json body{{"lora_name", command.key.text()}, {"fencing", command.fencing}};
    bool is_sent = false;
    const auto response = co_await send_order("/v1/unload_lora_adapter", body.dump(), is_sent);
    if (!response) {
        callbacks_.on_unload(command.key, order_result::no_answer);
        co_return;
    }
    // 404: the adapter is not loaded, which is the requested state.
    const bool is_unloaded = response->is_success() || response->status == 404;
    callbacks_.on_unload(command.key, is_unloaded ? order_result::done : order_result::refused);
}

asio::awaitable<std::shared_ptr<http_connection>>
engine_client::acquire_connection(const std::string& address, const start_id& start, bool allow_reuse,
                                  error& failure) {
    const time_point now = std::chrono::steady_clock::now();
    while (!idle_connections_.empty() &&
           (now - idle_connections_.front().idle_since > idle_connection_timeout ||
            idle_connections_.front().start != start)) {
        idle_connections_.front().connection->close();
        idle_connections_.pop_front();
    }
    while (allow_reuse && !idle_connections_.empty()) {
        auto connection = std::move(idle_connections_.back().connection);
        idle_connections_.pop_back();
        if (connection->is_reusable()) {
            co_return connection;
        }
    }
    auto connection = std::make_shared<http_connection>(strand_);
    if (!co_await connection->open(address, connect_timeout, failure)) {
        co_return nullptr;
    }
    connection->limit_lost_peer(stream_silence_);
    const auto status = co_await read_status(*connection, failure);
    if (!status) {
        co_return nullptr;
    }
    if (status->start != start) {
        failure = {"engine.connect", address, "the engine has restarted"};
        connection->close();
        co_return nullptr;
    }
    co_return connection;
}

asio::awaitable<void> engine_client::run_dispatch(dispatch_request command) {
    const auto state = dispatches_.at(command.id);
    std::uint32_t tokens = 0;
    request_result result;
    error failure;
    // A request that must not run twice gets a new connection, whose engine start has just been verified.
    state->connection =
        co_await acquire_connection(command.address, command.start, command.spec.idempotent(), failure);
    const bool is_late = std::chrono::steady_clock::now() - command.decided >= dispatch_age_limit;
    if (is_late && state->connection) {
        failure = {"engine.dispatch", command.address, "too late after it was decided"};
    }
    if (!state->connection || state->is_cancelled || is_late) {
        result = {protocol::NOT_RUN, failure, std::chrono::milliseconds{0}, false};
    } else {
        result = co_await stream_response(command, state, tokens);
    }
    if (state->connection && state->connection->is_open()) {
        idle_connections_.push_back(
            {std::move(state->connection), command.start, std::chrono::steady_clock::now()});
    }
    dispatches_.erase(command.id);
    callbacks_.on_ended(command.id, result, tokens);
}

asio::awaitable<request_result> engine_client::stream_response(const dispatch_request& command,
                                                               const std::shared_ptr<dispatch_state>& state,
                                                               std::uint32_t& tokens) {
    const auto& spec = command.spec;
    const json body{{"model", spec.adapter()},
                    {"prompt", spec.prompt()},
                    {"max_tokens", spec.max_tokens()},
                    {"priority", spec.importance()},
                    {"stream", true}};
    http_request request{
        http::verb::post,
        "/v1/completions",
        body.dump(),
        {{"Content-Type", "application/json"}, {"X-Request-Id", engine_request_id(command.id)}}};
    token_stream_parser parser;
    const auto on_bytes = [&](std::string_view bytes) -> asio::awaitable<bool> {
        std::vector<std::string> new_tokens = parser.feed(bytes);
        if (!new_tokens.empty()) {
            const auto count = static_cast<std::uint32_t>(new_tokens.size());
            state->credit -= count;
            callbacks_.on_progress(command.id, tokens, std::move(new_tokens));
            tokens += count;
        }
        while (state->credit <= 0 && !state->is_cancelled) {
            boost::system::error_code code;
            state->credit_signal.expires_after(std::chrono::hours{24});
            co_await state->credit_signal.async_wait(asio::redirect_error(asio::use_awaitable, code));
        }
        co_return true;
    };
    // No other engine can go on with a stream, so that before the deadline silence alone does not end it.
    const time_point deadline = command.decided + std::chrono::milliseconds{spec.remaining_ms()};
    const auto next_timeout = [&] {
        return std::max<duration>(deadline - std::chrono::steady_clock::now(), stream_silence_);
    };
    error failure;
    bool has_sent = false;
    const auto response = co_await state->connection->exchange_stream(std::move(request), on_bytes,
                                                                      next_timeout, failure, has_sent);
    const auto no_retry_delay = std::chrono::milliseconds{0};
    if (!response || (response->is_success() && parser.end() == stream_end::none)) {
        co_return request_result{
            protocol::UNKNOWN, {"engine.connection", command.address, failure.reason}, no_retry_delay, false};
    }
    if (response->is_success()) {
        const bool is_done = parser.end() == stream_end::done;
        co_return request_result{is_done ? protocol::DONE : protocol::FAILED,
                                 {"engine.stream", command.address, is_done ? "" : "cancelled"},
                                 no_retry_delay,
                                 false};
    }
    // 4xx and 503 mean that the engine refused before it ran anything; any other error may come after that.
    const bool is_refusal = (response->status >= 400 && response->status < 500) || response->status == 503;
    co_return request_result{is_refusal ? protocol::NOT_RUN : protocol::FAILED,
                             {"engine.answer", command.address,
                              "status " + std::to_string(response->status) + " " + response->body},
                             no_retry_delay,
                             false};
}

asio::awaitable<bool> engine_client::send_cancel(http_connection& connection, attempt_id id) {
    error failure;
    bool has_sent = false;
    const json body{{"request_id", engine_request_id(id)}};
    http_request request{http::verb::post, "/v1/cancel", body.dump(), {}};
    const auto response = co_await connection.exchange(std::move(request), cancel_timeout, failure, has_sent);
    co_return response && response->is_success();
}

asio::awaitable<bool> engine_client::confirm_not_running(confirm_dispatch_ended command) {
    error failure;
    http_connection connection{strand_};
    if (!co_await connection.open(command.address, connect_timeout, failure)) {
        co_return false;
    }
    const auto status = co_await read_status(connection, failure);
    if (!status) {
        co_return false;
    }
    if (status->start != command.start) {
        co_return true; // A restarted engine runs no requests of its previous start.
    }
    co_return co_await send_cancel(connection, command.id);
}

asio::awaitable<void> engine_client::run_cancel(attempt_id id) {
    const auto found = dispatches_.find(id);
    if (found == dispatches_.end()) {
        co_return;
    }
    const auto state = found->second;
    state->is_cancelled = true;
    state->credit_signal.cancel();
    if (!state->connection) {
        co_return; // Not sent yet: run_dispatch() checks is_cancelled first.
    }
    error failure;
    http_connection connection{strand_};
    bool is_cancelled = co_await connection.open(address_, connect_timeout, failure);
    if (is_cancelled) {
        is_cancelled = co_await send_cancel(connection, id);
    }
    if (!is_cancelled && state->connection) {
        state->connection->close(); // The outcome is then unknown and is confirmed separately.
    }
}

asio::awaitable<void> engine_client::run_confirm(confirm_dispatch_ended command) {
    while (true) {
        if (co_await confirm_not_running(command)) {
            callbacks_.on_end_confirmed(command.id);
            co_return;
        }
        asio::steady_timer timer{strand_};
        timer.expires_after(confirm_retry_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace lovageledge
