#pragma once

#include "lovageledge/transport/transport.hpp"

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace lovageledge::standins {

using nlohmann::json;

/** Serves a stand-in on its address until SIGTERM or SIGINT. @returns the process's exit status */
int run_standin(const std::string& name, const std::string& address, asio::io_context& context,
                http_server& server);

/** Answers with a JSON document. */
asio::awaitable<void> respond_json(http_exchange& exchange, unsigned status, const json& body);

/** @returns the body of a refusal */
json reason(const std::string& text);

/** @returns the request's body as JSON, or an empty object if it is malformed */
json parse_body(const http_exchange& exchange);

/** Waits on the coroutine's own executor. */
asio::awaitable<void> pause_for(duration time);

} // namespace lovageledge::standins
