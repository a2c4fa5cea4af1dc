#include "standin.hpp"

#include <cstdio>

namespace lovageledge::standins {

int run_standin(const std::string& name, const std::string& address, asio::io_context& context,
                http_server& server) {
    error failure;
    if (!server.listen(address, failure)) {
        std::fprintf(stderr, "%s: %s\n", name.c_str(), failure.text().c_str());
        return 1;
    }
    asio::signal_set signals{context, SIGINT, SIGTERM};
    signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
    std::printf("%s: listening on %s\n", name.c_str(), address.c_str());
    std::fflush(stdout);
    context.run();
    return 0;
}

asio::awaitable<void> respond_json(http_exchange& exchange, unsigned status, const json& body) {
    co_await exchange.respond(status, body.dump());
}

json reason_body(const std::string& text) {
    return {{"reason", text}};
}

json parse_body(const http_exchange& exchange) {
    json body = json::parse(exchange.body(), nullptr, false);
    return body.is_object() ? body : json::object();
}

asio::awaitable<void> sleep_for(duration time) {
    asio::steady_timer timer{co_await asio::this_coro::executor};
    timer.expires_after(time);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace lovageledge::standins
