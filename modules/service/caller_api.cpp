#include "lovageledge/service/caller_api.hpp"

#include "lovageledge/service/instance.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace lovageledge {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t max_idempotency_key_bytes = 200;
constexpr auto plain_connect_timeout = milliseconds{1000};

json error_body(const error& failure, const std::string& outcome, const std::string& request) {
    return {{"error",
             {{"step", failure.step},
              {"peer", failure.peer},
              {"reason", failure.reason},
              {"outcome", outcome},
              {"request", request}}}};
}

json chunk_body(const request_id& id, const std::string& text) {
    return {{"id", id.text()}, {"object", "text_completion"}, {"choices", {{{"index", 0}, {"text", text}}}}};
}

std::string completion_body(const request_id& id, const std::string& text, std::size_t tokens) {
    const json body{{"id", id.text()},
                    {"object", "text_completion"},
                    {"choices", {{{"index", 0}, {"text", text}, {"finish_reason", "length"}}}},
                    {"usage", {{"completion_tokens", tokens}}}};
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string sse_event(const json& body) {
    return "data: " + body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
}

unsigned http_status_for(const request_result& result) {
    if (result.is_duplicate) {
        return 409;
    }
    switch (result.outcome) {
    case protocol::NOT_RUN:
        return result.why.reason == "queue is full" ? 429 : 503;
    case protocol::FAILED:
        return 502;
    default:
        return 504;
    }
}

std::string request_fingerprint(const std::string& target, const std::string& body) {
    return sha256_hex(target + "\n" + body).substr(0, 32);
}

bool may_call(const calling_service& service, const std::string& target) {
    return service.may_call.contains("*") || service.may_call.contains(target);
}

} // namespace

std::string outcome_text(protocol::Outcome outcome) {
    switch (outcome) {
    case protocol::DONE:
        return "done";
    case protocol::NOT_RUN:
        return "not_run";
    case protocol::FAILED:
        return "failed";
    default:
        return "unknown";
    }
}

asio::awaitable<void> caller_api::reject(http_exchange& exchange, unsigned status, std::string step,
                                         std::string reason) {
    const error failure{std::move(step), "", std::move(reason)};
    const std::string body =
        error_body(failure, "not_run", "").dump(-1, ' ', false, json::error_handler_t::replace);
    std::vector<http_header> headers;
    headers.push_back({"X-Ledge-Outcome", "not_run"});
    if (status == 503) {
        headers.push_back({"Retry-After", "1"});
    }
    co_await exchange.respond(status, body, "application/json", std::move(headers));
}

asio::awaitable<void> caller_api::handle(http_exchange& exchange) {
    const std::string path = exchange.path();
    if (path == "/healthz") {
        co_await exchange.respond(200, "ok\n", "text/plain");
    } else if (path == "/readyz") {
        const bool is_ready = instance_.local_node().is_ready();
        co_await exchange.respond(is_ready ? 200 : 503, is_ready ? "ready\n" : "not ready\n", "text/plain");
    } else if (path == "/metrics") {
        co_await exchange.respond(200, instance_.metrics_text(), "text/plain");
    } else if (path == "/v1/completions" && exchange.method() == http::verb::post) {
        co_await handle_completion(exchange);
    } else if (path.starts_with("/services/")) {
        co_await handle_plain_service(exchange);
    } else {
        co_await reject(exchange, 404, "http.route", "no such path");
    }
}

const calling_service* caller_api::authenticate(const http_exchange& exchange,
                                                const configuration& config) const {
    const std::string authorization = exchange.header("Authorization");
    constexpr std::string_view bearer_prefix = "Bearer ";
    if (!authorization.starts_with(bearer_prefix)) {
        return nullptr;
    }
    return config.find_service_by_token(authorization.substr(bearer_prefix.size()));
}

duration caller_api::request_timeout(const http_exchange& exchange) const {
    const std::string deadline_header = exchange.header("X-Deadline-Ms");
    std::int64_t value = 0;
    const auto [end, problem] =
        std::from_chars(deadline_header.data(), deadline_header.data() + deadline_header.size(), value);
    const duration max_timeout = instance_.settings().coordination.request_life_limit;
    if (deadline_header.empty() || problem != std::errc{} || value <= 0) {
        return std::min(instance_.settings().default_deadline, max_timeout);
    }
    return std::min<duration>(milliseconds{value}, max_timeout);
}

std::optional<incoming_request> caller_api::read_completion_request(const http_exchange& exchange,
                                                                    const configuration& config,
                                                                    bool& wants_stream,
                                                                    rejection& rejected) const {
    const calling_service* service = authenticate(exchange, config);
    if (service == nullptr) {
        rejected = {401, {"entry.authenticate", "", "unknown token"}};
        return std::nullopt;
    }
    const json body = json::parse(exchange.body(), nullptr, false);
    const bool is_valid = body.is_object() && body.contains("model") && body["model"].is_string() &&
                          body.contains("prompt") && body["prompt"].is_string() &&
                          (!body.contains("max_tokens") || body["max_tokens"].is_number_unsigned()) &&
                          (!body.contains("stream") || body["stream"].is_boolean());
    if (!is_valid) {
        rejected = {
            400,
            {"entry.parse", "",
             "expected JSON with model and prompt as texts, max_tokens as a number, stream as true or "
             "false"}};
        return std::nullopt;
    }
    const adapter_key key{body["model"].get<std::string>()};
    const auto declared = config.adapters.find(key);
    if (declared == config.adapters.end()) {
        const std::string name = key.text().substr(0, key.text().find('@'));
        rejected = {
            404, {"entry.adapter", "", "no adapter " + name + " in this version; the model is NAME@VERSION"}};
        return std::nullopt;
    }
    if (!may_call(*service, declared->second.pool.text())) {
        rejected = {
            403,
            {"entry.authorise", "",
             "service " + service->name.text() + " may not call pool " + declared->second.pool.text()}};
        return std::nullopt;
    }
    const std::uint64_t tokens = body.value("max_tokens", std::uint64_t{16});
    if (tokens == 0 || tokens > instance_.settings().max_tokens_limit) {
        rejected = {400, {"entry.parse", "", "max_tokens is out of bounds"}};
        return std::nullopt;
    }
    incoming_request incoming;
    incoming.idempotency_key = exchange.header("Idempotency-Key");
    if (incoming.idempotency_key.size() > max_idempotency_key_bytes) {
        rejected = {400, {"entry.parse", "", "the Idempotency-Key is too long"}};
        return std::nullopt;
    }
    wants_stream = body.value("stream", false);
    incoming.deadline = instance_.clock().now() + request_timeout(exchange);
    incoming.spec.set_id(random_identifier());
    incoming.spec.set_service(service->name.text());
    incoming.spec.set_adapter(key.text());
    incoming.spec.set_prompt(body["prompt"].get<std::string>());
    incoming.spec.set_max_tokens(static_cast<std::uint32_t>(tokens));
    incoming.spec.set_importance(service->importance);
    incoming.spec.set_idempotent(incoming.idempotency_key.empty());
    incoming.spec.set_fingerprint(request_fingerprint(key.text(), incoming.spec.prompt()));
    return incoming;
}

asio::awaitable<void> caller_api::handle_completion(http_exchange& exchange) {
    const time_point started_at = instance_.clock().now();
    const configuration_ptr config = instance_.local_node().current_configuration();
    if (!config) {
        co_await reject(exchange, 503, "entry.configuration", "no configuration is in force here yet");
        co_return;
    }
    bool wants_stream = false;
    rejection rejected;
    auto incoming = read_completion_request(exchange, *config, wants_stream, rejected);
    if (!incoming) {
        instance_.instance_metrics().count("requests_rejected_total");
        co_await reject(exchange, rejected.status, rejected.failure.step, rejected.failure.reason);
        co_return;
    }
    const request_id id{incoming->spec.id()};
    const auto stream = instance_.caller_streams().add(id, co_await asio::this_coro::executor);
    instance_.execute(instance_.local_node().accept(std::move(*incoming), started_at));
    exchange.on_close([this, id] { instance_.abandon_request(id); });
    co_await send_stream(exchange, id, wants_stream, started_at);
    instance_.caller_streams().remove(id);
}

asio::awaitable<void> caller_api::send_stream(http_exchange& exchange, const request_id& id,
                                              bool wants_stream, time_point started_at) {
    const auto stream = instance_.caller_streams().find(id);
    std::string full_text;
    std::size_t token_count = 0;
    bool is_connected = true;
    while (true) {
        const caller_stream::batch batch = co_await stream->next();
        if (token_count == 0 && !batch.tokens.empty()) {
            instance_.instance_metrics().observe("first_token_seconds", instance_.clock().now() - started_at);
        }
        token_count += batch.tokens.size();
        std::string events;
        for (const std::string& token : batch.tokens) {
            if (wants_stream) {
                events += sse_event(chunk_body(id, token));
            } else {
                full_text += token;
            }
        }
        if (!events.empty() && is_connected && !exchange.has_responded()) {
            std::vector<http_header> headers;
            headers.push_back({"X-Request-Id", id.text()});
            is_connected = co_await exchange.begin_stream("text/event-stream", std::move(headers));
        }
        if (!events.empty() && is_connected) {
            is_connected = co_await exchange.write(events);
        }
        const auto delivered_tokens = static_cast<std::uint32_t>(batch.tokens.size());
        instance_.execute(
            is_connected
                ? instance_.local_node().on_tokens_delivered(id, delivered_tokens, instance_.clock().now())
                : instance_.local_node().on_caller_disconnected(id, instance_.clock().now()));
        if (!is_connected) {
            co_return;
        }
        if (!batch.result) {
            continue;
        }
        if (batch.result->outcome != protocol::DONE || batch.result->is_duplicate) {
            co_await report_failure(exchange, id, *batch.result);
        } else if (wants_stream && exchange.has_responded()) {
            co_await exchange.write("data: [DONE]\n\n");
            co_await exchange.end_stream();
        } else {
            std::vector<http_header> headers;
            headers.push_back({"X-Request-Id", id.text()});
            headers.push_back({"X-Ledge-Outcome", "done"});
            co_await exchange.respond(200, completion_body(id, full_text, token_count), "application/json",
                                      std::move(headers));
        }
        co_return;
    }
}

asio::awaitable<void> caller_api::report_failure(http_exchange& exchange, const request_id& id,
                                                 const request_result& result) {
    const std::string outcome = outcome_text(result.outcome);
    const json body = error_body(result.why, outcome, id.text());
    if (exchange.has_responded()) {
        // The stream has begun: write the error as an event, then abort the connection, so that the caller
        // never takes the partial stream for a complete one.
        co_await exchange.write(sse_event(body));
        exchange.abort();
        co_return;
    }
    std::vector<http_header> headers;
    headers.push_back({"X-Request-Id", id.text()});
    headers.push_back({"X-Ledge-Outcome", outcome});
    if (result.outcome == protocol::NOT_RUN) {
        headers.push_back({"Retry-After", "1"});
    }
    co_await exchange.respond(http_status_for(result),
                              body.dump(-1, ' ', false, json::error_handler_t::replace), "application/json",
                              std::move(headers));
}

asio::awaitable<void> caller_api::handle_plain_service(http_exchange& exchange) {
    const configuration_ptr config = instance_.local_node().current_configuration();
    const std::string service_path = exchange.path().substr(std::string_view{"/services/"}.size());
    const std::string name = service_path.substr(0, service_path.find('/'));
    if (!config) {
        co_await reject(exchange, 503, "entry.configuration", "no configuration is in force here yet");
        co_return;
    }
    const calling_service* service = authenticate(exchange, *config);
    const auto found_service = config->plain_services.find(name);
    if (service == nullptr) {
        co_await reject(exchange, 401, "entry.authenticate", "unknown token");
        co_return;
    }
    if (found_service == config->plain_services.end()) {
        co_await reject(exchange, 404, "entry.service", "no plain service " + name);
        co_return;
    }
    if (!may_call(*service, name)) {
        co_await reject(exchange, 403, "entry.authorise",
                        "service " + service->name.text() + " may not call " + name);
        co_return;
    }
    const time_point now = instance_.clock().now();
    incoming_request incoming;
    incoming.idempotency_key = exchange.header("Idempotency-Key");
    incoming.deadline = now + request_timeout(exchange);
    incoming.plain_service_address = found_service->second.address;
    incoming.spec.set_id(random_identifier());
    incoming.spec.set_service(service->name.text());
    incoming.spec.set_importance(service->importance);
    incoming.spec.set_idempotent(found_service->second.is_repeatable && incoming.idempotency_key.empty());
    const request_id id{incoming.spec.id()};
    {
        const std::scoped_lock lock{pending_plain_calls_mutex_};
        pending_plain_call& call = pending_plain_calls_[id];
        const std::size_t slash = service_path.find('/');
        call.request = {exchange.method(),
                        slash == std::string::npos ? "/" : service_path.substr(slash),
                        exchange.body(),
                        {}};
        call.timeout = request_timeout(exchange);
    }
    const auto stream = instance_.caller_streams().add(id, co_await asio::this_coro::executor);
    instance_.execute(instance_.local_node().accept(std::move(incoming), now));
    const caller_stream::batch batch = co_await stream->next();
    instance_.caller_streams().remove(id);
    http_response response;
    {
        const std::scoped_lock lock{pending_plain_calls_mutex_};
        response = std::move(pending_plain_calls_[id].response);
        pending_plain_calls_.erase(id);
    }
    if (batch.result->outcome != protocol::DONE || batch.result->is_duplicate) {
        co_await report_failure(exchange, id, *batch.result);
        co_return;
    }
    std::vector<http_header> headers;
    headers.push_back({"X-Request-Id", id.text()});
    headers.push_back({"X-Ledge-Outcome", "done"});
    co_await exchange.respond(response.status, response.body, "application/json", std::move(headers));
}

asio::awaitable<void> caller_api::run_plain_service_call(call_plain_service command) {
    http_request request;
    duration timeout{};
    {
        const std::scoped_lock lock{pending_plain_calls_mutex_};
        request = pending_plain_calls_[command.request].request;
        timeout = pending_plain_calls_[command.request].timeout;
    }
    request_result result{protocol::NOT_RUN, {}, milliseconds{1000}, false};
    error failure;
    bool has_sent = false;
    http_connection connection{co_await asio::this_coro::executor};
    if (co_await connection.open(command.address, plain_connect_timeout, failure)) {
        auto response = co_await connection.exchange(std::move(request), timeout, failure, has_sent);
        result.outcome = response ? protocol::DONE : protocol::UNKNOWN;
        if (response) {
            const std::scoped_lock lock{pending_plain_calls_mutex_};
            pending_plain_calls_[command.request].response = std::move(*response);
        }
    }
    result.why = failure;
    instance_.execute(
        instance_.local_node().on_plain_service_ended(command.request, result, instance_.clock().now()));
}

} // namespace lovageledge
