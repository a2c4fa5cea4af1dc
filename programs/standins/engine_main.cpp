#include "standin.hpp"

#include <CLI/CLI.hpp>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <set>

// A model engine: OpenAI-style completions over a continuous batch, LoRA load and unload orders, faults.

namespace lovageledge::standins {
namespace {

struct engine_options {
    std::string address = "127.0.0.1:9000";
    std::string weight_store;
    std::uint32_t slots = 16;
    std::uint32_t batch = 16;
    int step_us = 8000;
    int step_per_request_us = 100;
    bool has_fencing = false;
};

struct sequence {
    std::string request;
    std::string model;
    std::uint32_t wanted = 0;
    std::uint32_t produced = 0;
    bool is_cancelled = false;
    bool is_broken = false;
    asio::steady_timer wake;

    explicit sequence(const asio::any_io_executor& executor) : wake{executor} {}
    bool is_finished() const { return produced >= wanted || is_cancelled || is_broken; }
};

class engine_standin {
public:
    engine_standin(asio::io_context& context, engine_options options)
        : context_{context}, options_{std::move(options)}, start_{random_identifier()},
          server_{context, {}, [this](http_exchange& exchange) { return handle(exchange); }} {
        asio::co_spawn(context_, step_loop(), asio::detached);
    }

    http_server& server() { return server_; }

private:
    asio::awaitable<void> handle(http_exchange& exchange) {
        const std::string path = exchange.path();
        if (path.starts_with("/control/")) {
            co_await handle_control(exchange, path);
            co_return;
        }
        if (is_silent_) {
            co_await pause_for(std::chrono::hours{1});
        }
        if (path == "/status") {
            co_await respond_json(exchange, 200, status());
        } else if (path == "/v1/completions") {
            co_await complete(exchange);
        } else if (path == "/v1/cancel") {
            co_await cancel(exchange);
        } else if (path == "/v1/load_lora_adapter") {
            co_await load(exchange);
        } else if (path == "/v1/unload_lora_adapter") {
            co_await unload(exchange);
        } else {
            co_await respond_json(exchange, 404, reason("no such path"));
        }
    }

    json status() const {
        return {{"start_id", start_},
                {"loaded", loaded_},
                {"running", running_.size()},
                {"waiting", waiting_.size()},
                {"leaving", is_leaving_}};
    }

    bool refuses_fencing(const json& body) {
        const std::uint64_t fencing = body.value("fencing", std::uint64_t{0});
        if (options_.has_fencing && fencing < fencing_) {
            return true;
        }
        fencing_ = std::max(fencing_, fencing);
        return false;
    }

    asio::awaitable<void> load(http_exchange& exchange) {
        const json body = parse_body(exchange);
        const std::string name = body.value("lora_name", "");
        const std::string start = start_;
        const auto refusal = [&]() -> std::optional<std::string> {
            return refuses_fencing(body)                                ? std::optional{"old fencing number"}
                   : loaded_.contains(name) || loading_.contains(name)  ? std::optional{"already loaded"}
                   : loaded_.size() + loading_.size() >= options_.slots ? std::optional{"no slot"}
                                                                        : std::nullopt;
        }();
        if (refusal) {
            co_await respond_json(exchange, 409, reason(*refusal));
            co_return;
        }
        loading_.insert(name);
        const bool is_fetched = co_await fetch_weights(body.value("lora_path", ""));
        if (start != start_) {
            exchange.abort();
            co_return;
        }
        loading_.erase(name);
        if (!is_fetched || failing_loads_ > 0) {
            failing_loads_ = std::max(failing_loads_ - 1, 0);
            co_await respond_json(exchange, 500, reason("load failed"));
            co_return;
        }
        loaded_.insert(name);
        ++load_count_;
        if (lost_order_answers_ > 0) {
            --lost_order_answers_;
            exchange.abort();
            co_return;
        }
        const json answer = {{"loaded", name}};
        co_await respond_json(exchange, 200, answer);
    }

    asio::awaitable<bool> fetch_weights(std::string path) {
        if (options_.weight_store.empty()) {
            co_await pause_for(std::chrono::milliseconds{5});
            co_return true;
        }
        error why;
        bool has_sent = false;
        http_connection connection{co_await asio::this_coro::executor};
        if (!co_await connection.open(options_.weight_store, std::chrono::seconds{2}, why)) {
            co_return false;
        }
        http_request request;
        request.target = "/weights/" + path;
        const auto answer =
            co_await connection.exchange(std::move(request), std::chrono::seconds{30}, why, has_sent);
        co_return answer && answer->is_success();
    }

    asio::awaitable<void> unload(http_exchange& exchange) {
        const json body = parse_body(exchange);
        const std::string name = body.value("lora_name", "");
        if (refuses_fencing(body)) {
            co_await respond_json(exchange, 409, reason("old fencing number"));
            co_return;
        }
        const auto breaks = [&](const std::shared_ptr<sequence>& item) {
            if (item->model == name && !item->is_finished()) {
                item->is_broken = true;
                item->wake.cancel();
                violations_.push_back("evicted " + name + " in use by " + item->request);
            }
        };
        std::for_each(running_.begin(), running_.end(), breaks);
        std::for_each(waiting_.begin(), waiting_.end(), breaks);
        const bool was_loaded = loaded_.erase(name) > 0;
        ++unload_count_;
        if (lost_order_answers_ > 0) {
            --lost_order_answers_;
            exchange.abort();
            co_return;
        }
        const json answer = {{"unloaded", name}};
        co_await respond_json(exchange, was_loaded ? 200 : 404, answer);
    }

    asio::awaitable<void> cancel(http_exchange& exchange) {
        const std::string request = parse_body(exchange).value("request_id", "");
        for (auto* queue : {&running_, &waiting_}) {
            for (const auto& item : *queue) {
                if (item->request == request) {
                    item->is_cancelled = true;
                    item->wake.cancel();
                }
            }
            queue->remove_if([&](const auto& item) { return item->request == request; });
        }
        const json answer = {{"cancelled", request}};
        co_await respond_json(exchange, 200, answer);
    }

    asio::awaitable<void> complete(http_exchange& exchange) {
        const json body = parse_body(exchange);
        const std::string prompt = body.value("prompt", "");
        auto item = std::make_shared<sequence>(co_await asio::this_coro::executor);
        item->request = exchange.header("X-Request-Id");
        item->model = body.value("model", "");
        item->wanted = body.value("max_tokens", 16U);
        if (!loaded_.contains(item->model)) {
            co_await respond_json(exchange, 404, reason("adapter is not loaded"));
            co_return;
        }
        runs_.push_back(
            {{"request", item->request}, {"model", item->model}, {"prompt", prompt.substr(0, 64)}});
        waiting_.push_back(item);
        if (!crash_on_.empty() && prompt.find(crash_on_) != std::string::npos) {
            co_await pause_for(std::chrono::milliseconds{50});
            restart();
            exchange.abort();
            co_return;
        }
        co_await exchange.begin_stream("text/event-stream", {});
        co_await stream_tokens(exchange, item);
    }

    asio::awaitable<void> stream_tokens(http_exchange& exchange, const std::shared_ptr<sequence>& item) {
        const std::string start = start_;
        std::uint32_t written = 0;
        bool is_open = true;
        while (is_open && start == start_) {
            while (is_open && written < item->produced) {
                const json chunk{
                    {"choices",
                     {{{"index", 0}, {"text", item->model + "#" + std::to_string(written) + " "}}}}};
                is_open = co_await exchange.write("data: " + chunk.dump() + "\n\n");
                ++written;
            }
            if (item->is_finished()) {
                break;
            }
            item->wake.expires_after(std::chrono::hours{1});
            boost::system::error_code code;
            if (written >= item->produced) {
                co_await item->wake.async_wait(asio::redirect_error(asio::use_awaitable, code));
            }
        }
        if (is_silent_) {
            co_await pause_for(std::chrono::hours{1});
        }
        if (!is_open || start != start_ || item->is_broken) {
            item->is_cancelled = true;
            exchange.abort();
            co_return;
        }
        const json last{
            {"choices",
             {{{"index", 0}, {"text", ""}, {"finish_reason", item->is_cancelled ? "cancelled" : "length"}}}}};
        co_await exchange.write("data: " + last.dump() + "\n\ndata: [DONE]\n\n");
        co_await exchange.end_stream();
    }

    asio::awaitable<void> step_loop() {
        asio::steady_timer timer{context_};
        auto next = std::chrono::steady_clock::now();
        while (true) {
            running_.remove_if([](const auto& item) { return item->is_finished(); });
            while (running_.size() < options_.batch && !waiting_.empty()) {
                running_.push_back(waiting_.front());
                waiting_.pop_front();
            }
            const double cost =
                (options_.step_us + options_.step_per_request_us * static_cast<double>(running_.size())) *
                slow_factor_;
            next = std::max(next, std::chrono::steady_clock::now() - std::chrono::milliseconds{50}) +
                   std::chrono::microseconds{static_cast<int>(running_.empty() ? 1000 : cost)};
            timer.expires_at(next);
            co_await timer.async_wait(asio::use_awaitable);
            ++steps_;
            batch_sum_ += running_.size();
            if (is_silent_) {
                continue;
            }
            for (const auto& item : running_) {
                if (!item->is_finished()) {
                    ++item->produced;
                    item->wake.cancel();
                }
            }
        }
    }

    void restart() {
        start_ = random_identifier();
        for (auto* queue : {&running_, &waiting_}) {
            for (const auto& item : *queue) {
                item->is_broken = true;
                item->wake.cancel();
            }
            queue->clear();
        }
        loaded_.clear();
        loading_.clear();
        fencing_ = 0;
        ++restarts_;
        server_.reset_connections();
    }

    asio::awaitable<void> handle_control(http_exchange& exchange, const std::string& path) {
        const json body = parse_body(exchange);
        if (path == "/control/faults") {
            slow_factor_ = body.value("slow_factor", slow_factor_);
            crash_on_ = body.value("crash_on", crash_on_);
            failing_loads_ = body.value("failing_loads", failing_loads_);
            lost_order_answers_ = body.value("lost_order_answers", lost_order_answers_);
            is_leaving_ = body.value("leaving", is_leaving_);
            is_silent_ = body.value("silent", is_silent_);
            if (body.value("restart", false)) {
                restart();
            }
        }
        const bool wants_log = path == "/control/log";
        const json answer = {{"runs", wants_log ? json(runs_) : json(runs_.size())},
                             {"violations", violations_},
                             {"loads", load_count_},
                             {"unloads", unload_count_},
                             {"restarts", restarts_},
                             {"steps", steps_},
                             {"batch_sum", batch_sum_},
                             {"status", status()}};
        co_await respond_json(exchange, 200, answer);
    }

    asio::io_context& context_;
    engine_options options_;
    std::string start_;
    std::set<std::string> loaded_;
    std::set<std::string> loading_;
    std::list<std::shared_ptr<sequence>> running_;
    std::list<std::shared_ptr<sequence>> waiting_;
    std::uint64_t fencing_ = 0;
    double slow_factor_ = 1.0;
    std::string crash_on_;
    int failing_loads_ = 0;
    int lost_order_answers_ = 0;
    bool is_leaving_ = false;
    bool is_silent_ = false;
    std::vector<json> runs_;
    std::vector<std::string> violations_;
    std::uint64_t load_count_ = 0;
    std::uint64_t unload_count_ = 0;
    std::uint64_t restarts_ = 0;
    std::uint64_t steps_ = 0;
    std::uint64_t batch_sum_ = 0;
    http_server server_;
};

} // namespace
} // namespace lovageledge::standins

int main(int argc, char** argv) {
    using namespace lovageledge::standins;
    CLI::App app{"Stand-in for a model engine"};
    engine_options options;
    app.add_option("--listen", options.address, "IP:PORT");
    app.add_option("--weight-store", options.weight_store, "IP:PORT of the weight store");
    app.add_option("--slots", options.slots, "adapters that fit at the same time");
    app.add_option("--batch", options.batch, "requests that run at the same time");
    app.add_option("--step-us", options.step_us, "time of one step");
    app.add_option("--step-per-request-us", options.step_per_request_us,
                   "further time for each request in the batch");
    app.add_flag("--fencing", options.has_fencing, "refuse orders with an old fencing number");
    CLI11_PARSE(app, argc, argv);
    boost::asio::io_context context{1};
    engine_standin engine{context, options};
    return run_standin("engine", options.address, context, engine.server());
}
