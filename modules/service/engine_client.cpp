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
constexpr auto confirm_pause = std::chrono::milliseconds{500};
/** Shorter than any server keeps an idle connection, so that a request rarely meets a closed one. */
constexpr auto idle_limit = std::chrono::seconds{10};

enum class stream_end : std::uint8_t { none, done, cancelled };

std::string wire_id(const attempt_id& id) {
    return id.request.text() + "." + std::to_string(id.attempt);
}

} // namespace

/** Cuts an event stream into tokens. */
class engine_client::token_reader {
public:
    /** @returns the tokens that are complete with these bytes */
    std::vector<std::string> read(std::string_view bytes) {
        std::vector<std::string> tokens;
        pending_ += bytes;
        std::size_t start = 0;
        for (std::size_t end = pending_.find('\n'); end != std::string::npos;
             end = pending_.find('\n', start)) {
            read_line(std::string_view{pending_}.substr(start, end - start), tokens);
            start = end + 1;
        }
        pending_.erase(0, start);
        return tokens;
    }

    stream_end end() const { return end_; }

private:
    void read_line(std::string_view line, std::vector<std::string>& tokens) {
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
                             duration stream_silence, listeners actions)
    : strand_{asio::make_strand(context)}, server_{std::move(server)}, credit_window_{credit_window},
      stream_silence_{stream_silence}, listeners_{std::move(actions)}, order_connection_{strand_} {}

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

void engine_client::extend(const attempt_id& id, std::uint32_t tokens) {
    asio::post(strand_, [self = shared_from_this(), id, tokens] {
        const auto state = self->dispatches_.find(id);
        if (state != self->dispatches_.end()) {
            state->second->credit += tokens;
            state->second->credit_signal.cancel();
        }
    });
}

asio::awaitable<std::optional<engine_client::engine_status>>
engine_client::read_status(http_connection& connection, error& why) {
    bool has_sent = false;
    http_request request;
    request.target = "/status";
    const auto answer = co_await connection.exchange(std::move(request), status_timeout, why, has_sent);
    if (!answer) {
        co_return std::nullopt;
    }
    const json body = json::parse(answer->body, nullptr, false);
    if (!answer->is_success() || !body.is_object()) {
        why = {"engine.status", connection.address(), "status " + std::to_string(answer->status)};
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
    error why;
    if (command.is_new_connection || address_ != command.address) {
        order_connection_.close();
    }
    address_ = command.address;
    const bool is_open =
        order_connection_.is_open() || co_await order_connection_.open(address_, connect_timeout, why);
    std::optional<engine_status> status;
    if (is_open) {
        status = co_await read_status(order_connection_, why);
    }
    if (!status) {
        listeners_.on_unreachable();
        co_return;
    }
    listeners_.on_status(status->start, status->loaded, status->is_leaving);
}

asio::awaitable<std::optional<http_response>> engine_client::send_order(std::string target, std::string body,
                                                                        bool& is_sent) {
    is_sent = false;
    if (!order_connection_.is_open()) {
        co_return std::nullopt;
    }
    error why;
    http_request request{
        http::verb::post, std::move(target), std::move(body), {{"Content-Type", "application/json"}}};
    co_return co_await order_connection_.exchange(std::move(request), order_timeout, why, is_sent);
}

asio::awaitable<void> engine_client::run_load(order_load command) {
    const json body{
        {"lora_name", command.key.text()}, {"lora_path", command.weights_path}, {"fencing", command.fencing}};
    bool is_sent = false;
    const auto answer = co_await send_order("/v1/load_lora_adapter", body.dump(), is_sent);
    if (!answer) {
        listeners_.on_load(command.key, order_result::no_answer);
        co_return;
    }
    const bool is_present = answer->body.find("already loaded") != std::string::npos;
    const bool is_full = answer->body.find("no slot") != std::string::npos;
    listeners_.on_load(command.key, answer->is_success() ? order_result::done
                                    : is_present         ? order_result::already_loaded
                                    : is_full            ? order_result::no_slot
                                                         : order_result::refused);
}

asio::awaitable<void> engine_client::run_unload(order_unload command) {
    const json body{{"lora_name", command.key.text()}, {"fencing", command.fencing}};
    bool is_sent = false;
    const auto answer = co_await send_order("/v1/unload_lora_adapter", body.dump(), is_sent);
    if (!answer) {
        listeners_.on_unload(command.key, order_result::no_answer);
        co_return;
    }
    // An adapter that is not there (404) is as good as unloaded.
    const bool is_gone = answer->is_success() || answer->status == 404;
    listeners_.on_unload(command.key, is_gone ? order_result::done : order_result::refused);
}

asio::awaitable<std::shared_ptr<http_connection>> engine_client::connect_to_start(const std::string& address,
                                                                                  const start_id& start,
                                                                                  bool is_reusable,
                                                                                  error& why) {
    const time_point now = std::chrono::steady_clock::now();
    while (!idle_.empty() && (now - idle_.front().since > idle_limit || idle_.front().start != start)) {
        idle_.front().connection->close();
        idle_.pop_front();
    }
    while (is_reusable && !idle_.empty()) {
        auto connection = std::move(idle_.back().connection);
        idle_.pop_back();
        if (connection->is_reusable()) {
            co_return connection;
        }
    }
    auto connection = std::make_shared<http_connection>(strand_);
    if (!co_await connection->open(address, connect_timeout, why)) {
        co_return nullptr;
    }
    const auto status = co_await read_status(*connection, why);
    if (!status) {
        co_return nullptr;
    }
    if (status->start != start) {
        why = {"engine.connect", address, "the engine has restarted"};
        connection->close();
        co_return nullptr;
    }
    co_return connection;
}

asio::awaitable<void> engine_client::run_dispatch(dispatch_request command) {
    const auto state = dispatches_.at(command.id);
    std::uint32_t tokens = 0;
    request_result result;
    error why;
    // A request that must not run twice gets a connection that was just verified.
    state->connection =
        co_await connect_to_start(command.address, command.start, command.spec.idempotent(), why);
    const bool is_late = std::chrono::steady_clock::now() - command.decided >= dispatch_age_limit;
    if (is_late && state->connection) {
        why = {"engine.dispatch", command.address, "too late after it was decided"};
    }
    if (!state->connection || state->is_cancelled || is_late) {
        result = {protocol::NOT_RUN, why, std::chrono::milliseconds{0}, false};
    } else {
        result = co_await stream_answer(command, state, tokens);
    }
    if (state->connection && state->connection->is_open()) {
        idle_.push_back({std::move(state->connection), command.start, std::chrono::steady_clock::now()});
    }
    dispatches_.erase(command.id);
    listeners_.on_ended(command.id, result, tokens);
}

asio::awaitable<request_result> engine_client::stream_answer(const dispatch_request& command,
                                                             const std::shared_ptr<dispatch_state>& state,
                                                             std::uint32_t& tokens) {
    const auto& spec = command.spec;
    const json body{{"model", spec.adapter()},
                    {"prompt", spec.prompt()},
                    {"max_tokens", spec.max_tokens()},
                    {"priority", spec.importance()},
                    {"stream", true}};
    http_request request{http::verb::post,
                         "/v1/completions",
                         body.dump(),
                         {{"Content-Type", "application/json"}, {"X-Request-Id", wire_id(command.id)}}};
    token_reader reader;
    const auto on_bytes = [&](std::string_view bytes) -> asio::awaitable<bool> {
        std::vector<std::string> fresh = reader.read(bytes);
        if (!fresh.empty()) {
            const auto count = static_cast<std::uint32_t>(fresh.size());
            state->credit -= count;
            listeners_.on_progress(command.id, tokens, std::move(fresh));
            tokens += count;
        }
        while (state->credit <= 0 && !state->is_cancelled) {
            boost::system::error_code code;
            state->credit_signal.expires_after(std::chrono::hours{24});
            co_await state->credit_signal.async_wait(asio::redirect_error(asio::use_awaitable, code));
        }
        co_return true;
    };
    const duration first_limit =
        std::max<duration>(std::chrono::milliseconds{spec.remaining_ms()}, stream_silence_);
    const auto next_timeout = [&] { return tokens == 0 ? first_limit : stream_silence_; };
    error why;
    bool has_sent = false;
    const auto answer = co_await state->connection->exchange_stream(std::move(request), on_bytes,
                                                                    next_timeout, why, has_sent);
    const auto none = std::chrono::milliseconds{0};
    if (!answer || (answer->is_success() && reader.end() == stream_end::none)) {
        co_return request_result{
            protocol::UNKNOWN, {"engine.connection", command.address, why.reason}, none, false};
    }
    if (answer->is_success()) {
        const bool is_done = reader.end() == stream_end::done;
        co_return request_result{is_done ? protocol::DONE : protocol::FAILED,
                                 {"engine.stream", command.address, is_done ? "" : "cancelled"},
                                 none,
                                 false};
    }
    // The engine refuses before it runs anything with 4xx and 503; any other status may come after.
    const bool is_refusal = (answer->status >= 400 && answer->status < 500) || answer->status == 503;
    co_return request_result{
        is_refusal ? protocol::NOT_RUN : protocol::FAILED,
        {"engine.answer", command.address, "status " + std::to_string(answer->status) + " " + answer->body},
        none,
        false};
}

asio::awaitable<bool> engine_client::send_cancel(http_connection& connection, attempt_id id) {
    error why;
    bool has_sent = false;
    const json body{{"request_id", wire_id(id)}};
    http_request request{http::verb::post, "/v1/cancel", body.dump(), {}};
    const auto answer = co_await connection.exchange(std::move(request), cancel_timeout, why, has_sent);
    co_return answer && answer->is_success();
}

asio::awaitable<bool> engine_client::confirm_not_running(confirm_dispatch_ended command) {
    error why;
    http_connection connection{strand_};
    if (!co_await connection.open(command.address, connect_timeout, why)) {
        co_return false;
    }
    const auto status = co_await read_status(connection, why);
    if (!status) {
        co_return false;
    }
    if (status->start != command.start) {
        co_return true; // A restarted engine runs nothing of its former start.
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
        co_return; // Not sent yet; it won't be.
    }
    error why;
    http_connection connection{strand_};
    bool is_cancelled = co_await connection.open(address_, connect_timeout, why);
    if (is_cancelled) {
        is_cancelled = co_await send_cancel(connection, id);
    }
    if (!is_cancelled && state->connection) {
        state->connection->close(); // The end is unknown then, and confirmed separately.
    }
}

asio::awaitable<void> engine_client::run_confirm(confirm_dispatch_ended command) {
    while (true) {
        if (co_await confirm_not_running(command)) {
            listeners_.on_released(command.id);
            co_return;
        }
        asio::steady_timer timer{strand_};
        timer.expires_after(confirm_pause);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace lovageledge
