#include "lovageledge/service/caller_api.hpp"

#include "lovageledge/service/instance.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace lovageledge {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t key_limit_bytes = 200;
constexpr auto plain_connect_timeout = milliseconds{1000};

json error_body(const error& why, const std::string& outcome, const std::string& request) {
    return {{"error",
             {{"step", why.step},
              {"peer", why.peer},
              {"reason", why.reason},
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

std::string event_line(const json& body) {
    return "data: " + body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
}

unsigned status_of(const request_result& result) {
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

std::string fingerprint_of(const std::string& target, const std::string& body) {
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

asio::awaitable<void> caller_api::refuse(http_exchange& exchange, unsigned status, std::string step,
                                         std::string reason) {
    const error why{std::move(step), "", std::move(reason)};
    const std::string body =
        error_body(why, "not_run", "").dump(-1, ' ', false, json::error_handler_t::replace);
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
        const bool is_ready = instance_.decisions().is_ready();
        co_await exchange.respond(is_ready ? 200 : 503, is_ready ? "ready\n" : "not ready\n", "text/plain");
    } else if (path == "/metrics") {
        co_await exchange.respond(200, instance_.metrics_text(), "text/plain");
    } else if (path == "/v1/completions" && exchange.method() == http::verb::post) {
        co_await complete(exchange);
    } else if (path.starts_with("/services/")) {
        co_await call_service(exchange);
    } else {
        co_await refuse(exchange, 404, "http.route", "no such path");
    }
}

const calling_service* caller_api::authenticate(const http_exchange& exchange,
                                                const configuration& config) const {
    const std::string field = exchange.header("Authorization");
    constexpr std::string_view scheme = "Bearer ";
    if (!field.starts_with(scheme)) {
        return nullptr;
    }
    return config.find_service_by_token(field.substr(scheme.size()));
}

duration caller_api::deadline_of(const http_exchange& exchange) const {
    const std::string field = exchange.header("X-Deadline-Ms");
    std::int64_t value = 0;
    const auto [end, problem] = std::from_chars(field.data(), field.data() + field.size(), value);
    const duration longest = instance_.settings().coordination.request_life_limit;
    if (field.empty() || problem != std::errc{} || value <= 0) {
        return std::min(instance_.settings().default_deadline, longest);
    }
    return std::min<duration>(milliseconds{value}, longest);
}

std::optional<incoming_request> caller_api::make_ticket(const http_exchange& exchange,
                                                        const configuration& config, bool& wants_stream,
                                                        refusal& no) const {
    const calling_service* service = authenticate(exchange, config);
    if (service == nullptr) {
        no = {401, {"entry.authenticate", "", "unknown token"}};
        return std::nullopt;
    }
    const json body = json::parse(exchange.body(), nullptr, false);
    const bool is_valid = body.is_object() && body.contains("model") && body["model"].is_string() &&
                          body.contains("prompt") && body["prompt"].is_string() &&
                          (!body.contains("max_tokens") || body["max_tokens"].is_number_unsigned()) &&
                          (!body.contains("stream") || body["stream"].is_boolean());
    if (!is_valid) {
        no = {400,
              {"entry.parse", "",
               "expected JSON with model and prompt as texts, max_tokens as a number, stream as true or "
               "false"}};
        return std::nullopt;
    }
    const adapter_key key{body["model"].get<std::string>()};
    const auto declared = config.adapters.find(key);
    if (declared == config.adapters.end()) {
        const std::string name = key.text().substr(0, key.text().find('@'));
        no = {404,
              {"entry.adapter", "", "no adapter " + name + " in this version; the model is NAME@VERSION"}};
        return std::nullopt;
    }
    if (!may_call(*service, declared->second.pool.text())) {
        no = {403,
              {"entry.authorise", "",
               "service " + service->name.text() + " may not call pool " + declared->second.pool.text()}};
        return std::nullopt;
    }
    const std::uint64_t tokens = body.value("max_tokens", std::uint64_t{16});
    if (tokens == 0 || tokens > instance_.settings().max_tokens_limit) {
        no = {400, {"entry.parse", "", "max_tokens is out of bounds"}};
        return std::nullopt;
    }
    incoming_request ticket;
    ticket.idempotency_key = exchange.header("Idempotency-Key");
    if (ticket.idempotency_key.size() > key_limit_bytes) {
        no = {400, {"entry.parse", "", "the Idempotency-Key is too long"}};
        return std::nullopt;
    }
    wants_stream = body.value("stream", false);
    ticket.deadline = instance_.clock().now() + deadline_of(exchange);
    ticket.spec.set_id(random_identifier());
    ticket.spec.set_service(service->name.text());
    ticket.spec.set_adapter(key.text());
    ticket.spec.set_prompt(body["prompt"].get<std::string>());
    ticket.spec.set_max_tokens(static_cast<std::uint32_t>(tokens));
    ticket.spec.set_importance(service->importance);
    ticket.spec.set_idempotent(ticket.idempotency_key.empty());
    ticket.spec.set_fingerprint(fingerprint_of(key.text(), ticket.spec.prompt()));
    return ticket;
}

asio::awaitable<void> caller_api::complete(http_exchange& exchange) {
    const time_point began = instance_.clock().now();
    const configuration_ptr config = instance_.decisions().current_configuration();
    if (!config) {
        co_await refuse(exchange, 503, "entry.configuration", "no configuration is in force here yet");
        co_return;
    }
    bool wants_stream = false;
    refusal no;
    auto ticket = make_ticket(exchange, *config, wants_stream, no);
    if (!ticket) {
        instance_.measurements().count("requests_rejected_total");
        co_await refuse(exchange, no.status, no.why.step, no.why.reason);
        co_return;
    }
    const request_id id{ticket->spec.id()};
    const auto stream = instance_.callers().add(id, co_await asio::this_coro::executor);
    instance_.execute(instance_.decisions().accept(std::move(*ticket), began));
    exchange.on_close([this, id] { instance_.leave(id); });
    co_await send_stream(exchange, id, wants_stream, began);
    instance_.callers().remove(id);
}

asio::awaitable<void> caller_api::send_stream(http_exchange& exchange, const request_id& id,
                                              bool wants_stream, time_point began) {
    const auto stream = instance_.callers().find(id);
    std::string whole;
    std::size_t count = 0;
    bool is_open = true;
    while (true) {
        const caller_stream::batch batch = co_await stream->next();
        if (count == 0 && !batch.tokens.empty()) {
            instance_.measurements().observe("first_token_seconds", instance_.clock().now() - began);
        }
        count += batch.tokens.size();
        std::string lines;
        for (const std::string& token : batch.tokens) {
            if (wants_stream) {
                lines += event_line(chunk_body(id, token));
            } else {
                whole += token;
            }
        }
        if (!lines.empty() && is_open && !exchange.has_responded()) {
            std::vector<http_header> headers;
            headers.push_back({"X-Request-Id", id.text()});
            is_open = co_await exchange.begin_stream("text/event-stream", std::move(headers));
        }
        if (!lines.empty() && is_open) {
            is_open = co_await exchange.write(lines);
        }
        const auto taken = static_cast<std::uint32_t>(batch.tokens.size());
        instance_.execute(is_open
                              ? instance_.decisions().on_tokens_delivered(id, taken, instance_.clock().now())
                              : instance_.decisions().on_caller_disconnected(id, instance_.clock().now()));
        if (!is_open) {
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
            co_await exchange.respond(200, completion_body(id, whole, count), "application/json",
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
        // The stream has begun: say so in it, then break it, so that it never looks whole.
        co_await exchange.write(event_line(body));
        exchange.abort();
        co_return;
    }
    std::vector<http_header> headers;
    headers.push_back({"X-Request-Id", id.text()});
    headers.push_back({"X-Ledge-Outcome", outcome});
    if (result.outcome == protocol::NOT_RUN) {
        headers.push_back({"Retry-After", "1"});
    }
    co_await exchange.respond(status_of(result), body.dump(-1, ' ', false, json::error_handler_t::replace),
                              "application/json", std::move(headers));
}

asio::awaitable<void> caller_api::call_service(http_exchange& exchange) {
    const configuration_ptr config = instance_.decisions().current_configuration();
    const std::string rest = exchange.path().substr(std::string_view{"/services/"}.size());
    const std::string name = rest.substr(0, rest.find('/'));
    if (!config) {
        co_await refuse(exchange, 503, "entry.configuration", "no configuration is in force here yet");
        co_return;
    }
    const calling_service* service = authenticate(exchange, *config);
    const auto plain = config->plain_services.find(name);
    if (service == nullptr) {
        co_await refuse(exchange, 401, "entry.authenticate", "unknown token");
        co_return;
    }
    if (plain == config->plain_services.end()) {
        co_await refuse(exchange, 404, "entry.service", "no plain service " + name);
        co_return;
    }
    if (!may_call(*service, name)) {
        co_await refuse(exchange, 403, "entry.authorise",
                        "service " + service->name.text() + " may not call " + name);
        co_return;
    }
    const time_point now = instance_.clock().now();
    incoming_request ticket;
    ticket.idempotency_key = exchange.header("Idempotency-Key");
    ticket.deadline = now + deadline_of(exchange);
    ticket.plain_service_address = plain->second.address;
    ticket.spec.set_id(random_identifier());
    ticket.spec.set_service(service->name.text());
    ticket.spec.set_importance(service->importance);
    ticket.spec.set_idempotent(plain->second.is_repeatable && ticket.idempotency_key.empty());
    const request_id id{ticket.spec.id()};
    {
        const std::scoped_lock lock{plain_mutex_};
        plain_call& call = plain_calls_[id];
        const std::size_t slash = rest.find('/');
        call.request = {
            exchange.method(), slash == std::string::npos ? "/" : rest.substr(slash), exchange.body(), {}};
        call.timeout = deadline_of(exchange);
    }
    const auto stream = instance_.callers().add(id, co_await asio::this_coro::executor);
    instance_.execute(instance_.decisions().accept(std::move(ticket), now));
    const caller_stream::batch batch = co_await stream->next();
    instance_.callers().remove(id);
    http_response answer;
    {
        const std::scoped_lock lock{plain_mutex_};
        answer = std::move(plain_calls_[id].answer);
        plain_calls_.erase(id);
    }
    if (batch.result->outcome != protocol::DONE || batch.result->is_duplicate) {
        co_await report_failure(exchange, id, *batch.result);
        co_return;
    }
    std::vector<http_header> headers;
    headers.push_back({"X-Request-Id", id.text()});
    headers.push_back({"X-Ledge-Outcome", "done"});
    co_await exchange.respond(answer.status, answer.body, "application/json", std::move(headers));
}

asio::awaitable<void> caller_api::run_plain(call_plain_service command) {
    http_request request;
    duration timeout{};
    {
        const std::scoped_lock lock{plain_mutex_};
        request = plain_calls_[command.request].request;
        timeout = plain_calls_[command.request].timeout;
    }
    request_result result{protocol::NOT_RUN, {}, milliseconds{1000}, false};
    error why;
    bool has_sent = false;
    http_connection connection{co_await asio::this_coro::executor};
    if (co_await connection.open(command.address, plain_connect_timeout, why)) {
        auto answer = co_await connection.exchange(std::move(request), timeout, why, has_sent);
        result.outcome = answer ? protocol::DONE : protocol::UNKNOWN;
        if (answer) {
            const std::scoped_lock lock{plain_mutex_};
            plain_calls_[command.request].answer = std::move(*answer);
        }
    }
    result.why = why;
    instance_.execute(
        instance_.decisions().on_plain_service_ended(command.request, result, instance_.clock().now()));
}

} // namespace lovageledge
