#pragma once

#include "lovageledge/transport/transport.hpp"

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace lovageledge::standins {

using nlohmann::json;

/** Runs a stand-in server until SIGINT or SIGTERM.
    @param name shown in messages @param address "IP:PORT" to listen on
    @returns the exit status of the process: 1 if the address can't be listened on */
int run_standin(const std::string& name, const std::string& address, asio::io_context& context,
                http_server& server);

/** Sends a JSON document as the whole response. */
asio::awaitable<void> respond_json(http_exchange& exchange, unsigned status, const json& body);

/** @returns the JSON body of an error response: {"reason": text} */
json reason_body(const std::string& text);

/** @returns the request's body, or an empty object if it is not a JSON object */
json parse_body(const http_exchange& exchange);

/** Suspends the calling coroutine; its executor goes on with other work. */
asio::awaitable<void> sleep_for(duration time);

} // namespace lovageledge::standins
