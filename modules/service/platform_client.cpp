#include "lovageledge/service/platform_client.hpp"

#include <nlohmann/json.hpp>

namespace lovageledge {
namespace {

using nlohmann::json;

constexpr auto connect_timeout = std::chrono::milliseconds{1000};
constexpr auto call_timeout = std::chrono::milliseconds{2000};
/** Longer than the platform holds a watch open. */
constexpr auto watch_timeout = std::chrono::seconds{30};

} // namespace

platform_client::platform_client(asio::io_context& context, std::string address, listener on_answer)
    : strand_{asio::make_strand(context)}, address_{std::move(address)}, on_answer_{std::move(on_answer)} {}

void platform_client::start(call_platform command) {
    asio::co_spawn(
        strand_,
        [self = shared_from_this(), command = std::move(command)]() -> asio::awaitable<void> {
            const std::uint64_t number = command.call;
            const platform_response answer = co_await self->run(command);
            self->on_answer_(number, answer);
        },
        asio::detached);
}

asio::awaitable<platform_response> platform_client::call(call_platform command) {
    co_return co_await asio::co_spawn(strand_, run(std::move(command)), asio::use_awaitable);
}

http_request platform_client::make_request(const call_platform& command) {
    const std::string path = "/objects/" + command.kind + "/" + command.name;
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

platform_response platform_client::read_answer(const call_platform& command, const http_response& answer) {
    if (answer.status == 404) {
        return {platform_status::not_found, 0, ""};
    }
    if (answer.status == 409) {
        return {platform_status::conflict, 0, ""};
    }
    if (!answer.is_success()) {
        return {platform_status::unavailable, 0, ""};
    }
    if (command.operation == platform_operation::list_instances) {
        return {platform_status::ok, 0, answer.body};
    }
    const json body = json::parse(answer.body, nullptr, false);
    if (!body.is_object()) {
        return {platform_status::unavailable, 0, ""};
    }
    return {platform_status::ok, body.value("version", std::uint64_t{0}), body.value("data", "")};
}

asio::awaitable<platform_response> platform_client::run(call_platform command) {
    ++calls_;
    error why;
    std::shared_ptr<http_connection> connection;
    while (!idle_.empty() && !connection) {
        connection = std::move(idle_.back());
        idle_.pop_back();
        connection = connection->is_reusable() ? connection : nullptr;
    }
    if (!connection) {
        connection = std::make_shared<http_connection>(strand_);
        if (!co_await connection->open(address_, connect_timeout, why)) {
            co_return platform_response{};
        }
    }
    const bool is_watch = command.operation == platform_operation::watch;
    const duration timeout = is_watch ? duration{watch_timeout} : duration{call_timeout};
    bool has_sent = false;
    const auto answer = co_await connection->exchange(make_request(command), timeout, why, has_sent);
    if (!answer) {
        idle_.clear(); // The others have likely broken with it.
        co_return platform_response{};
    }
    if (connection->is_open()) {
        idle_.push_back(std::move(connection));
    }
    co_return read_answer(command, *answer);
}

} // namespace lovageledge
