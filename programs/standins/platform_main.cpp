#include "standin.hpp"

#include <CLI/CLI.hpp>
#include <deque>
#include <map>

// The platform's object API: versions, conditional updates, watches, a lagging instance list, and faults.

namespace lovageledge::standins {
namespace {

constexpr auto default_watch_time = std::chrono::seconds{10};
constexpr auto watch_poll = std::chrono::milliseconds{5};
constexpr std::size_t object_limit_bytes = std::size_t{1024} * 1024;

struct stored_object {
    std::uint64_t version = 0;
    std::string data;
};

struct platform_faults {
    bool is_down = false;
    std::chrono::milliseconds delay{1};
    /** Answers that are lost after the change took effect. */
    int lost_answers = 0;
    /** Reads see the state of this long ago. */
    std::chrono::milliseconds stale{0};
};

class platform_standin {
public:
    platform_standin(asio::io_context& context, std::chrono::milliseconds list_lag)
        : list_lag_{list_lag}, server_{context, {}, [this](http_exchange& exchange) {
                                           return handle(exchange);
                                       }} {}

    http_server& server() { return server_; }

private:
    asio::awaitable<void> handle(http_exchange& exchange) {
        const std::string path = exchange.path();
        if (path.starts_with("/control/")) {
            co_await handle_control(exchange, path);
            co_return;
        }
        const int generation = generation_;
        if (!faults_.is_down) {
            co_await pause_for(faults_.delay);
        }
        if (faults_.is_down || generation != generation_) {
            exchange.abort();
            co_return;
        }
        if (path == "/instances") {
            ++counts_["list"];
            co_await respond_json(exchange, 200, lagging_list());
        } else if (path.starts_with("/objects/")) {
            co_await handle_object(exchange, path.substr(9));
        } else {
            co_await respond_json(exchange, 404, reason("no such path"));
        }
    }

    asio::awaitable<void> handle_object(http_exchange& exchange, const std::string& name) {
        const std::string version_text = exchange.query_parameter("if_version");
        const std::uint64_t version = version_text.empty() ? 0 : std::stoull(version_text);
        if (exchange.method() == http::verb::get && !exchange.query_parameter("watch").empty()) {
            co_await watch(exchange, name, version);
        } else if (exchange.method() == http::verb::get) {
            ++counts_["get"];
            co_await answer_object(exchange, name);
        } else if (exchange.method() == http::verb::put || exchange.method() == http::verb::delete_) {
            co_await change(exchange, name, version);
        } else {
            co_await respond_json(exchange, 405, reason("no such method"));
        }
    }

    asio::awaitable<void> change(http_exchange& exchange, const std::string& name, std::uint64_t version) {
        ++counts_["put"];
        if (exchange.body().size() > object_limit_bytes) {
            co_await respond_json(exchange, 413, reason("an object holds up to a megabyte"));
            co_return;
        }
        const auto stored = objects_.find(name);
        const std::uint64_t current = stored == objects_.end() ? 0 : stored->second.version;
        json outcome{{"version", current}};
        unsigned status = 409;
        if (current == version) {
            status = 200;
            outcome["version"] = ++next_version_;
            if (exchange.method() == http::verb::put) {
                objects_[name] = {next_version_, exchange.body()};
            } else {
                objects_.erase(name);
            }
        }
        if (faults_.lost_answers > 0) {
            --faults_.lost_answers;
            exchange.abort();
            co_return;
        }
        co_await respond_json(exchange, status, outcome);
    }

    asio::awaitable<void> answer_object(http_exchange& exchange, const std::string& name) {
        const auto stored = objects_.find(name);
        if (stored == objects_.end()) {
            co_await respond_json(exchange, 404, reason("no such object"));
            co_return;
        }
        const json answer = {{"version", stored->second.version}, {"data", stored->second.data}};
        co_await respond_json(exchange, 200, answer);
    }

    asio::awaitable<void> watch(http_exchange& exchange, const std::string& name, std::uint64_t version) {
        ++counts_["watch"];
        const auto until = std::chrono::steady_clock::now() + default_watch_time;
        const int generation = generation_;
        while (std::chrono::steady_clock::now() < until && generation == generation_) {
            const auto stored = objects_.find(name);
            if (stored != objects_.end() && stored->second.version != version) {
                break;
            }
            co_await pause_for(watch_poll);
        }
        if (generation != generation_) {
            exchange.abort();
            co_return;
        }
        co_await answer_object(exchange, name);
    }

    json lagging_list() {
        const auto now = std::chrono::steady_clock::now();
        while (lists_.size() > 1 && now - lists_[1].first >= list_lag_) {
            lists_.pop_front();
        }
        return lists_.empty() ? json::array() : lists_.front().second;
    }

    asio::awaitable<void> handle_control(http_exchange& exchange, const std::string& path) {
        const json body = parse_body(exchange);
        if (path == "/control/faults") {
            const bool was_down = faults_.is_down;
            faults_.is_down = body.value("down", faults_.is_down);
            faults_.delay = std::chrono::milliseconds{body.value("delay_ms", faults_.delay.count())};
            faults_.lost_answers = body.value("lost_answers", faults_.lost_answers);
            if (faults_.is_down && !was_down) {
                ++generation_;
            }
        } else if (path == "/control/instances") {
            lists_.emplace_back(std::chrono::steady_clock::now(), body.value("instances", json::array()));
        }
        const json answer = {{"counts", counts_}, {"objects", objects_.size()}};
        co_await respond_json(exchange, 200, answer);
    }

    std::map<std::string, stored_object> objects_;
    std::uint64_t next_version_ = 0;
    std::deque<std::pair<std::chrono::steady_clock::time_point, json>> lists_;
    std::chrono::milliseconds list_lag_;
    platform_faults faults_;
    int generation_ = 0;
    std::map<std::string, std::uint64_t> counts_;
    http_server server_;
};

} // namespace
} // namespace lovageledge::standins

int main(int argc, char** argv) {
    using namespace lovageledge::standins;
    CLI::App app{"Stand-in for the platform's object API"};
    std::string address = "127.0.0.1:7000";
    int list_lag_ms = 1000;
    app.add_option("--listen", address, "IP:PORT");
    app.add_option("--list-lag-ms", list_lag_ms, "age of the instance list");
    CLI11_PARSE(app, argc, argv);
    boost::asio::io_context context{1};
    platform_standin platform{context, std::chrono::milliseconds{list_lag_ms}};
    return run_standin("platform", address, context, platform.server());
}
