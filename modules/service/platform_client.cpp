#include "lovageledge/service/platform_client.hpp"

#include "lovageledge/transport/percent_encoding.hpp"

#include <nlohmann/json.hpp>

namespace lovageledge {
namespace {

using nlohmann::json;

constexpr auto connect_timeout = std::chrono::milliseconds{1000};
constexpr auto call_timeout = std::chrono::milliseconds{2000};
/** Longer than the time for which the platform holds a watch open. */
constexpr auto watch_timeout = std::chrono::seconds{30};

} // namespace

platform_client::platform_client(asio::io_context& context, std::string address, response_handler on_response)
    : strand_{asio::make_strand(context)}, address_{std::move(address)}, on_response_{
                                                                             std::move(on_response)} {}

void platform_client::start(call_platform command) {
    asio::co_spawn(
        strand_,
        [self = shared_from_this(), command = std::move(command)]() -> asio::awaitable<void> {
            const std::uint64_t call_id = command.call;
            const platform_response response = co_await self->run_call(command);
            self->on_response_(call_id, response);
        },
        asio::detached);
}

asio::awaitable<platform_response> platform_client::call(call_platform command) {
    co_return co_await asio::co_spawn(strand_, run_call(std::move(command)), asio::use_awaitable);
}

http_request platform_client::make_request(const call_platform& command) {
    const std::string path = "/objects/" + command.kind + "/" + percent_encoded(command.name);
    const std::string version = "if_version=" + std::to_string(command.if_version);
    switch (command.operation) {
    case platform_operation::get:
        return {http::verb::get, path, "", {}};
    case platform_operation::watch:
        return {http::verb::get, path + "?watch=yes&" + version, "", {}};
    case platform_operation::put:
        return {http::verb::put, path + "?" + version, command.data, {}};
    case platform_operation::remove:
        return {http::verb::delete_, path + "?" + version, "", {}};
    case platform_operation::list_instances:
        return {http::verb::get, "/instances", "", {}};
    }
    return {};
}

platform_response platform_client::parse_response(const call_platform& command,
                                                  const http_response& response) {
    if (response.status == 404) {
        return {platform_status::not_found, 0, ""};
    }
    if (response.status == 409) {
        return {platform_status::conflict, 0, ""};
    }
    if (!response.is_success()) {
        return {platform_status::unavailable, 0, ""};
    }
    if (command.operation == platform_operation::list_instances) {
        return {platform_status::ok, 0, response.body};
    }
    const json body = json::parse(response.body, nullptr, false);
    const auto version = body.is_object() ? body.find("version") : body.end();
    const auto data = body.is_object() ? body.find("data") : body.end();
    const bool is_valid = body.is_object() && (version == body.end() || version->is_number_unsigned()) &&
                          (data == body.end() || data->is_string());
    if (!is_valid) {
        return {platform_status::unavailable, 0, ""};
    }
    return {platform_status::ok, version == body.end() ? 0 : version->get<std::uint64_t>(),
            data == body.end() ? std::string{} : data->get<std::string>()};
}

asio::awaitable<platform_response> platform_client::run_call(call_platform command) {
    ++calls_;
    error failure;
    std::shared_ptr<http_connection> connection;
    while (!idle_connections_.empty() && !connection) {
        connection = std::move(idle_connections_.back());
        idle_connections_.pop_back();
        connection = connection->is_reusable() ? connection : nullptr;
    }
    if (!connection) {
        connection = std::make_shared<http_connection>(strand_);
        if (!co_await connection->open(address_, connect_timeout, failure)) {
            co_return platform_response{};
        }
    }
    const bool is_watch = command.operation == platform_operation::watch;
    const duration timeout = is_watch ? duration{watch_timeout} : duration{call_timeout};
    bool has_sent = false;
    const auto response = co_await connection->exchange(make_request(command), timeout, failure, has_sent);
    if (!response) {
        idle_connections_.clear(); // The other connections have probably failed too.
        co_return platform_response{};
    }
    if (connection->is_open()) {
        idle_connections_.push_back(std::move(connection));
    }
    co_return parse_response(command, *response);
}

} // namespace lovageledge
