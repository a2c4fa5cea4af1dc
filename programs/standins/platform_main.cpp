#include "standin.hpp"

#include <CLI/CLI.hpp>
#include <deque>
#include <map>

// Stand-in for the platform's object API: versioned objects, conditional updates, watches, an instance list
// that is served with a delay, and fault injection through /control/faults.

namespace lovageledge::standins {
namespace {

constexpr auto watch_timeout = std::chrono::seconds{10};
constexpr auto watch_poll_interval = std::chrono::milliseconds{5};
constexpr std::size_t max_object_bytes = std::size_t{1024} * 1024;

struct stored_object {
    std::uint64_t version = 0;
    std::string data;
};

struct platform_faults {
    /** True to reset the connection of every request outside /control/. */
    bool is_down = false;
    /** Time before each request is handled. */
    std::chrono::milliseconds delay{1};
    /** Number of responses to drop after the write has taken effect. */
    int lost_answers = 0;
    /** Age of the state that reads should return. Not used: reads return the current state. */
    std::chrono::milliseconds stale{0};
};

class platform_standin {
public:
    platform_standin(asio::io_context& context, std::chrono::milliseconds instance_list_delay)
        : instance_list_delay_{instance_list_delay}, server_{context, {}, [this](http_exchange& exchange) {
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
        const int outage_count = outage_count_;
        if (!faults_.is_down) {
            co_await sleep_for(faults_.delay);
        }
        if (faults_.is_down || outage_count != outage_count_) {
            exchange.abort();
            co_return;
        }
        if (path == "/instances") {
            ++counts_["list"];
            co_await respond_json(exchange, 200, delayed_instance_list());
        } else if (path.starts_with("/objects/")) {
            co_await handle_object(exchange, path.substr(9));
        } else {
            co_await respond_json(exchange, 404, reason_body("path not found"));
        }
    }

    asio::awaitable<void> handle_object(http_exchange& exchange, const std::string& name) {
        const std::string version_text = exchange.query_parameter("if_version");
        const std::uint64_t expected_version = version_text.empty() ? 0 : std::stoull(version_text);
        if (exchange.method() == http::verb::get && !exchange.query_parameter("watch").empty()) {
            co_await watch(exchange, name, expected_version);
        } else if (exchange.method() == http::verb::get) {
            ++counts_["get"];
            co_await respond_object(exchange, name);
        } else if (exchange.method() == http::verb::put || exchange.method() == http::verb::delete_) {
            co_await write_object(exchange, name, expected_version);
        } else {
            co_await respond_json(exchange, 405, reason_body("method not allowed"));
        }
    }

    /** Writes or deletes an object if it has the expected version (0 if it must not exist), otherwise
       responds with 409 and the current version. */
    asio::awaitable<void> write_object(http_exchange& exchange, const std::string& name,
                                       std::uint64_t expected_version) {
        ++counts_["put"];
        if (exchange.body().size() > max_object_bytes) {
            co_await respond_json(exchange, 413, reason_body("object exceeds the limit of 1 MiB"));
            co_return;
        }
        const auto stored = objects_.find(name);
        const std::uint64_t current_version = stored == objects_.end() ? 0 : stored->second.version;
        json result{{"version", current_version}};
        unsigned status = 409;
        if (current_version == expected_version) {
            status = 200;
            result["version"] = ++last_version_;
            if (exchange.method() == http::verb::put) {
                objects_[name] = {last_version_, exchange.body()};
            } else {
                objects_.erase(name);
            }
        }
        if (faults_.lost_answers > 0) {
            --faults_.lost_answers;
            exchange.abort();
            co_return;
        }
        co_await respond_json(exchange, status, result);
    }

    asio::awaitable<void> respond_object(http_exchange& exchange, const std::string& name) {
        const auto stored = objects_.find(name);
        if (stored == objects_.end()) {
            co_await respond_json(exchange, 404, reason_body("object not found"));
            co_return;
        }
        const json response = {{"version", stored->second.version}, {"data", stored->second.data}};
        co_await respond_json(exchange, 200, response);
    }

    /** Responds with the object once it exists in another version than the given one, or after the timeout.
     */
    asio::awaitable<void> watch(http_exchange& exchange, const std::string& name,
                                std::uint64_t expected_version) {
        ++counts_["watch"];
        const auto deadline = std::chrono::steady_clock::now() + watch_timeout;
        const int outage_count = outage_count_;
        while (std::chrono::steady_clock::now() < deadline && outage_count == outage_count_) {
            const auto stored = objects_.find(name);
            if (stored != objects_.end() && stored->second.version != expected_version) {
                break;
            }
            co_await sleep_for(watch_poll_interval);
        }
        if (outage_count != outage_count_) {
            exchange.abort();
            co_return;
        }
        co_await respond_object(exchange, name);
    }

    json delayed_instance_list() {
        const auto now = std::chrono::steady_clock::now();
        while (instance_lists_.size() > 1 && now - instance_lists_[1].first >= instance_list_delay_) {
            instance_lists_.pop_front();
        }
        return instance_lists_.empty() ? json::array() : instance_lists_.front().second;
    }

    asio::awaitable<void> handle_control(http_exchange& exchange, const std::string& path) {
        const json body = parse_body(exchange);
        if (path == "/control/faults") {
            const bool was_already_down = faults_.is_down;
            faults_.is_down = body.value("down", faults_.is_down);
            faults_.delay = std::chrono::milliseconds{body.value("delay_ms", faults_.delay.count())};
            faults_.lost_answers = body.value("lost_answers", faults_.lost_answers);
            if (faults_.is_down && !was_already_down) {
                ++outage_count_;
            }
        } else if (path == "/control/instances") {
            instance_lists_.emplace_back(std::chrono::steady_clock::now(),
                                         body.value("instances", json::array()));
        }
        const json response = {{"counts", counts_}, {"objects", objects_.size()}};
        co_await respond_json(exchange, 200, response);
    }

    std::map<std::string, stored_object> objects_;
    std::uint64_t last_version_ = 0;
    /** Instance lists with the time at which each was set, oldest first. The first list is served; it is
        removed once the next one is as old as the delay. */
    std::deque<std::pair<std::chrono::steady_clock::time_point, json>> instance_lists_;
    std::chrono::milliseconds instance_list_delay_;
    platform_faults faults_;
    /** Number of outages so far. A request that is in progress when an outage starts is aborted. */
    int outage_count_ = 0;
    /** Number of requests by operation. */
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
    app.add_option("--listen", address, "IP:PORT to listen on");
    app.add_option("--list-lag-ms", list_lag_ms,
                   "delay after which a changed instance list is served, in milliseconds");
    CLI11_PARSE(app, argc, argv);
    boost::asio::io_context context{1};
    platform_standin platform{context, std::chrono::milliseconds{list_lag_ms}};
    return run_standin("platform", address, context, platform.server());
}
