#include "lovageledge/service/admin_api.hpp"

#include "lovageledge/service/instance.hpp"

#include <nlohmann/json.hpp>

namespace lovageledge {
namespace {

using nlohmann::json;

constexpr auto apply_poll = std::chrono::milliseconds{5};
constexpr auto apply_limit = std::chrono::seconds{15};
constexpr std::size_t history_limit = 100;

std::string reason_body(const std::string& reason) {
    const json body{{"error", reason}};
    return body.dump();
}

json record_json(const protocol::RevisionRecord& record) {
    return json::parse(to_json(record), nullptr, false);
}

const char* status_name(publication_status status) {
    switch (status) {
    case publication_status::in_force:
        return "in_force";
    case publication_status::invalid:
        return "invalid";
    case publication_status::conflict:
        return "conflict";
    case publication_status::unavailable:
        return "unavailable";
    case publication_status::unknown:
        break;
    }
    return "unknown";
}

unsigned http_status(publication_status status) {
    switch (status) {
    case publication_status::in_force:
        return 200;
    case publication_status::invalid:
        return 400;
    case publication_status::conflict:
        return 409;
    case publication_status::unavailable:
        return 503;
    case publication_status::unknown:
        break;
    }
    return 504;
}

std::string publication_body(const finish_publication& end) {
    const json body{
        {"status", status_name(end.status)}, {"reason", end.reason}, {"in_force", record_json(end.in_force)}};
    return body.dump();
}

std::int64_t unix_seconds() {
    return std::chrono::duration_cast<std::chrono::seconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::uint64_t number_of(const std::string& text) {
    return std::strtoull(text.c_str(), nullptr, 10);
}

} // namespace

asio::awaitable<void> admin_api::handle(http_exchange& exchange) {
    const std::string field = exchange.header("Authorization");
    constexpr std::string_view scheme = "Bearer ";
    const bool is_operator = field.starts_with(scheme) && sha256_hex(field.substr(scheme.size())) ==
                                                              instance_.settings().admin_token_digest;
    if (!is_operator) {
        co_await exchange.respond(401, reason_body("the operators' token is needed"));
        co_return;
    }
    const std::string path = exchange.path();
    if (path == "/admin/status") {
        co_await exchange.respond(200, status_text());
    } else if (path == "/admin/sheet" && exchange.method() == http::verb::post) {
        co_await apply(exchange);
    } else if (path == "/admin/sheet") {
        co_await exchange.respond(200, instance_.decisions().current_sheet(), "text/csv");
    } else if (path == "/admin/history") {
        co_await show_history(exchange);
    } else if (path == "/admin/explain") {
        co_await explain(exchange);
    } else if (path == "/admin/why") {
        const json lines = instance_.log().find(exchange.query_parameter("request"));
        co_await exchange.respond(200, lines.dump());
    } else if (path == "/admin/drain" && exchange.method() == http::verb::post) {
        instance_.stop();
        co_await exchange.respond(202, "{}");
    } else {
        co_await exchange.respond(404, reason_body("no such path"));
    }
}

void admin_api::on_published(finish_publication command) {
    const std::scoped_lock lock{mutex_};
    finished_[command.apply_id] = std::move(command);
}

asio::awaitable<void> admin_api::apply(http_exchange& exchange) {
    publication_request request;
    request.apply_id = exchange.query_parameter("apply_id");
    request.based_on = number_of(exchange.query_parameter("based_on"));
    request.author = exchange.query_parameter("author");
    request.reason = exchange.query_parameter("reason");
    request.accepted_at = unix_seconds();
    request.sheet = exchange.body();
    const bool is_complete = !request.apply_id.empty() && !request.author.empty() && !request.reason.empty();
    if (!is_complete) {
        co_await exchange.respond(400, reason_body("apply_id, author and reason are needed"));
        co_return;
    }
    const std::string id = request.apply_id;
    const time_point began = instance_.clock().now();
    instance_.execute(instance_.decisions().publish_sheet(std::move(request), began));
    asio::steady_timer timer{co_await asio::this_coro::executor};
    std::optional<finish_publication> end;
    while (!end && instance_.clock().now() - began < apply_limit) {
        timer.expires_after(apply_poll);
        co_await timer.async_wait(asio::use_awaitable);
        const std::scoped_lock lock{mutex_};
        const auto found = finished_.find(id);
        if (found != finished_.end()) {
            end = std::move(found->second);
            finished_.erase(found);
        }
    }
    if (!end) {
        end = finish_publication{id, publication_status::unknown, "no end within the time limit", {}};
    }
    co_await exchange.respond(http_status(end->status), publication_body(*end));
}

asio::awaitable<std::optional<protocol::RevisionRecord>> admin_api::read_record(const std::string& kind,
                                                                                const std::string& name) {
    call_platform call{0, platform_operation::get, kind, name, 0, ""};
    const platform_response answer = co_await instance_.platform().call(std::move(call));
    protocol::RevisionRecord record;
    if (answer.status != platform_status::ok || !from_json(answer.data, record)) {
        co_return std::nullopt;
    }
    co_return record;
}

asio::awaitable<std::optional<std::string>> admin_api::read_sheet(const protocol::RevisionRecord& record) {
    std::string sheet;
    for (std::uint32_t index = 0; index < record.parts(); ++index) {
        call_platform call{
            0, platform_operation::get, "sheet", sheet_part_object_name(record.apply_id(), index), 0, ""};
        const platform_response answer = co_await instance_.platform().call(std::move(call));
        if (answer.status != platform_status::ok) {
            co_return std::nullopt;
        }
        sheet += answer.data;
    }
    co_return sheet;
}

asio::awaitable<void> admin_api::show_history(http_exchange& exchange) {
    json history = json::array();
    auto record = co_await read_record("configuration", "head");
    while (record && history.size() < history_limit) {
        history.push_back(record_json(*record));
        if (record->previous().empty()) {
            break;
        }
        record = co_await read_record("revision", record->previous());
    }
    co_await exchange.respond(200, history.dump());
}

asio::awaitable<void> admin_api::explain(http_exchange& exchange) {
    const std::uint64_t wanted = number_of(exchange.query_parameter("revision"));
    auto record = co_await read_record("configuration", "head");
    while (record && record->revision() > wanted && !record->previous().empty()) {
        record = co_await read_record("revision", record->previous());
    }
    if (!record || record->revision() != wanted) {
        co_await exchange.respond(404, reason_body("no such revision, or the platform does not answer"));
        co_return;
    }
    const auto sheet = co_await read_sheet(*record);
    std::string before;
    if (!record->previous().empty()) {
        const auto previous = co_await read_record("revision", record->previous());
        // No co_await in a conditional expression: GCC 12 destroys its temporaries twice.
        std::optional<std::string> previous_sheet;
        if (previous) {
            previous_sheet = co_await read_sheet(*previous);
        }
        before = previous_sheet.value_or("");
    }
    json body = record_json(*record);
    body["diff"] = diff_sheets(before, sheet.value_or(""));
    co_await exchange.respond(200, body.dump());
}

std::string admin_api::status_text() const {
    const node_status status = instance_.decisions().status();
    json body{{"instance", status.name.text()}, {"start", status.start.text()},
              {"revision", status.revision},    {"ready", status.is_ready},
              {"draining", status.is_draining}, {"requests", status.requests}};
    body["peers"] = json::array();
    for (const node_status::peer& peer : status.peers) {
        body["peers"].push_back({{"name", peer.name.text()},
                                 {"start", peer.start.text()},
                                 {"suspected", peer.is_suspected},
                                 {"draining", peer.is_draining},
                                 {"revision", peer.revision}});
    }
    body["servers"] = json::array();
    for (const node_status::server& server : status.servers) {
        std::vector<std::string> adapters;
        for (const adapter_key& key : server.adapters) {
            adapters.push_back(key.text());
        }
        body["servers"].push_back({{"name", server.name.text()},
                                   {"owner", server.owner.text()},
                                   {"epoch", server.epoch},
                                   {"ready", server.is_ready},
                                   {"leaving", server.is_leaving},
                                   {"running", server.running},
                                   {"waiting", server.waiting},
                                   {"adapters", adapters}});
    }
    return body.dump();
}

} // namespace lovageledge
