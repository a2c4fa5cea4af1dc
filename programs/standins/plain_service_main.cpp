#include "standin.hpp"

#include <CLI/CLI.hpp>
#include <map>

// Stand-in for a plain service. It counts the calls that it has run for each request body, so that a test can
// detect calls that ran more than once. POST /control/faults sets how many responses to drop after the call
// ran.

namespace lovageledge::standins {
namespace {

class plain_service_standin {
public:
    plain_service_standin(asio::io_context& context, std::chrono::milliseconds work_time)
        : work_time_{work_time}, server_{context, {}, [this](http_exchange& exchange) {
                                             return handle(exchange);
                                         }} {}

    http_server& server() { return server_; }

private:
    asio::awaitable<void> handle(http_exchange& exchange) {
        const std::string path = exchange.path();
        if (path == "/control/log") {
            const json response = {{"runs", runs_}};
            co_await respond_json(exchange, 200, response);
            co_return;
        }
        if (path == "/control/faults") {
            lost_answers_ = parse_body(exchange).value("lost_answers", 0);
            co_await respond_json(exchange, 200, json::object());
            co_return;
        }
        const int count = ++runs_[exchange.body()];
        co_await sleep_for(work_time_);
        if (lost_answers_ > 0) {
            --lost_answers_;
            exchange.abort();
            co_return;
        }
        const json response = {{"path", path}, {"runs", count}};
        co_await respond_json(exchange, 200, response);
    }

    std::chrono::milliseconds work_time_;
    int lost_answers_ = 0;
    std::map<std::string, int> runs_;
    http_server server_;
};

} // namespace
} // namespace lovageledge::standins

int main(int argc, char** argv) {
    using namespace lovageledge::standins;
    CLI::App app{"Stand-in for a plain service"};
    std::string address = "127.0.0.1:7200";
    int work_ms = 5;
    app.add_option("--listen", address, "IP:PORT to listen on");
    app.add_option("--work-ms", work_ms, "duration of one call, in milliseconds");
    CLI11_PARSE(app, argc, argv);
    boost::asio::io_context context{1};
    plain_service_standin service{context, std::chrono::milliseconds{work_ms}};
    return run_standin("plain service", address, context, service.server());
}
