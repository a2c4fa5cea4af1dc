#include "standin.hpp"

#include <CLI/CLI.hpp>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <set>

// Stand-in for a model engine: OpenAI-style completions with continuous batching, loading and unloading of
// LoRA adapters, and fault injection through /control/faults.

namespace lovageledge::standins {
namespace {

struct engine_options {
    std::string address = "127.0.0.1:9000";
    /** Empty to load adapters without fetching weights. */
    std::string weight_store_address;
    /** Maximum number of loaded adapters. */
    std::uint32_t slots = 16;
    /** Maximum number of completions that run at the same time. */
    std::uint32_t batch = 16;
    int step_us = 8000;
    int step_per_request_us = 100;
    bool checks_fencing = false;
};

/** One completion in the queue or in the batch. */
struct completion_state {
    std::string request;
    std::string model;
    std::uint32_t max_tokens = 0;
    std::uint32_t generated_tokens = 0;
    bool is_cancelled = false;
    /** Set if the adapter was unloaded or the engine restarted; the connection is then reset. */
    bool is_aborted = false;
    /** Cancelled to wake the response when there are new tokens or the completion has finished. */
    asio::steady_timer token_signal;

    explicit completion_state(const asio::any_io_executor& executor) : token_signal{executor} {}
    bool is_finished() const { return generated_tokens >= max_tokens || is_cancelled || is_aborted; }
};

class engine_standin {
public:
    engine_standin(asio::io_context& context, engine_options options)
        : context_{context}, options_{std::move(options)}, start_id_{random_identifier()},
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
            co_await sleep_for(std::chrono::hours{1});
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
            co_await respond_json(exchange, 404, reason_body("path not found"));
        }
    }

    json status() const {
        return {{"start_id", start_id_},
                {"loaded", loaded_},
                {"running", running_.size()},
                {"waiting", waiting_.size()},
                {"leaving", is_leaving_}};
    }

    /** Remembers the highest fencing token seen.
        @returns true if the tokens are checked and this one is lower than an earlier one */
    bool rejects_fencing_token(const json& body) {
        const std::uint64_t fencing_token = body.value("fencing", std::uint64_t{0});
        if (options_.checks_fencing && fencing_token < highest_fencing_token_) {
            return true;
        }
        highest_fencing_token_ = std::max(highest_fencing_token_, fencing_token);
        return false;
    }

    asio::awaitable<void> load(http_exchange& exchange) {
        const json body = parse_body(exchange);
        const std::string name = body.value("lora_name", "");
        // Changes if the engine restarts while the load runs.
        const std::string initial_start_id = start_id_;
        const auto rejection_reason = [&]() -> std::optional<std::string> {
            return rejects_fencing_token(body)                          ? std::optional{"stale fencing token"}
                   : loaded_.contains(name) || loading_.contains(name)  ? std::optional{"already loaded"}
                   : loaded_.size() + loading_.size() >= options_.slots ? std::optional{"no slot"}
                                                                        : std::nullopt;
        }();
        if (rejection_reason) {
            co_await respond_json(exchange, 409, reason_body(*rejection_reason));
            co_return;
        }
        loading_.insert(name);
        const bool has_weights = co_await fetch_weights(body.value("lora_path", ""));
        if (initial_start_id != start_id_) {
            exchange.abort();
            co_return;
        }
        loading_.erase(name);
        if (!has_weights || failing_loads_ > 0) {
            failing_loads_ = std::max(failing_loads_ - 1, 0);
            co_await respond_json(exchange, 500, reason_body("load failed"));
            co_return;
        }
        loaded_.insert(name);
        ++load_count_;
        if (lost_order_answers_ > 0) {
            --lost_order_answers_;
            exchange.abort();
            co_return;
        }
        const json response = {{"loaded", name}};
        co_await respond_json(exchange, 200, response);
    }

    /** @returns false if the weight store failed or did not respond in time */
    asio::awaitable<bool> fetch_weights(std::string path) {
        if (options_.weight_store_address.empty()) {
            co_await sleep_for(std::chrono::milliseconds{5});
            co_return true;
        }
        error failure;
        bool has_sent = false;
        http_connection connection{co_await asio::this_coro::executor};
        if (!co_await connection.open(options_.weight_store_address, std::chrono::seconds{2}, failure)) {
            co_return false;
        }
        http_request request;
        request.target = "/weights/" + path;
        const auto response =
            co_await connection.exchange(std::move(request), std::chrono::seconds{30}, failure, has_sent);
        co_return response && response->is_success();
    }

    /** Unloads an adapter even if it is in use; completions that use it are aborted and logged. */
    asio::awaitable<void> unload(http_exchange& exchange) {
        const json body = parse_body(exchange);
        const std::string name = body.value("lora_name", "");
        if (rejects_fencing_token(body)) {
            co_await respond_json(exchange, 409, reason_body("stale fencing token"));
            co_return;
        }
        const auto abort_if_in_use = [&](const std::shared_ptr<completion_state>& completion) {
            if (completion->model == name && !completion->is_finished()) {
                completion->is_aborted = true;
                completion->token_signal.cancel();
                violations_.push_back("evicted " + name + " in use by " + completion->request);
            }
        };
        std::for_each(running_.begin(), running_.end(), abort_if_in_use);
        std::for_each(waiting_.begin(), waiting_.end(), abort_if_in_use);
        const bool was_loaded = loaded_.erase(name) > 0;
        ++unload_count_;
        if (lost_order_answers_ > 0) {
            --lost_order_answers_;
            exchange.abort();
            co_return;
        }
        const json response = {{"unloaded", name}};
        co_await respond_json(exchange, was_loaded ? 200 : 404, response);
    }

    asio::awaitable<void> cancel(http_exchange& exchange) {
        const std::string request = parse_body(exchange).value("request_id", "");
        for (auto* queue : {&running_, &waiting_}) {
            for (const auto& completion : *queue) {
                if (completion->request == request) {
                    completion->is_cancelled = true;
                    completion->token_signal.cancel();
                }
            }
            queue->remove_if([&](const auto& completion) { return completion->request == request; });
        }
        const json response = {{"cancelled", request}};
        co_await respond_json(exchange, 200, response);
    }

    asio::awaitable<void> complete(http_exchange& exchange) {
        const json body = parse_body(exchange);
        const std::string prompt = body.value("prompt", "");
        auto completion = std::make_shared<completion_state>(co_await asio::this_coro::executor);
        completion->request = exchange.header("X-Request-Id");
        completion->model = body.value("model", "");
        completion->max_tokens = body.value("max_tokens", 16U);
        if (!loaded_.contains(completion->model)) {
            co_await respond_json(exchange, 404, reason_body("adapter is not loaded"));
            co_return;
        }
        runs_.push_back({{"request", completion->request},
                         {"model", completion->model},
                         {"prompt", prompt.substr(0, 64)}});
        waiting_.push_back(completion);
        if (!crash_on_.empty() && prompt.find(crash_on_) != std::string::npos) {
            co_await sleep_for(std::chrono::milliseconds{50});
            restart();
            exchange.abort();
            co_return;
        }
        co_await exchange.begin_stream("text/event-stream", {});
        co_await stream_tokens(exchange, completion);
    }

    asio::awaitable<void> stream_tokens(http_exchange& exchange,
                                        const std::shared_ptr<completion_state>& completion) {
        const std::string initial_start_id = start_id_;
        std::uint32_t sent_tokens = 0;
        bool is_connected = true;
        while (is_connected && initial_start_id == start_id_) {
            while (is_connected && sent_tokens < completion->generated_tokens) {
                const json chunk{{"choices",
                                  {{{"index", 0},
                                    {"text", completion->model + "#" + std::to_string(sent_tokens) + " "}}}}};
                is_connected = co_await exchange.write("data: " + chunk.dump() + "\n\n");
                ++sent_tokens;
            }
            if (completion->is_finished()) {
                break;
            }
            completion->token_signal.expires_after(std::chrono::hours{1});
            boost::system::error_code code;
            if (sent_tokens >= completion->generated_tokens) {
                co_await completion->token_signal.async_wait(asio::redirect_error(asio::use_awaitable, code));
            }
        }
        if (is_silent_) {
            co_await sleep_for(std::chrono::hours{1});
        }
        if (!is_connected || initial_start_id != start_id_ || completion->is_aborted) {
            completion->is_cancelled = true;
            exchange.abort();
            co_return;
        }
        const json final_chunk{{"choices",
                                {{{"index", 0},
                                  {"text", ""},
                                  {"finish_reason", completion->is_cancelled ? "cancelled" : "length"}}}}};
        co_await exchange.write("data: " + final_chunk.dump() + "\n\ndata: [DONE]\n\n");
        co_await exchange.end_stream();
    }

    /** Generates one token for each running completion per step, as an engine with continuous batching does.
     */
    asio::awaitable<void> step_loop() {
        asio::steady_timer timer{context_};
        auto next_step = std::chrono::steady_clock::now();
        while (true) {
            running_.remove_if([](const auto& completion) { return completion->is_finished(); });
            while (running_.size() < options_.batch && !waiting_.empty()) {
                running_.push_back(waiting_.front());
                waiting_.pop_front();
            }
            const double step_time_us =
                (options_.step_us + options_.step_per_request_us * static_cast<double>(running_.size())) *
                slow_factor_;
            // After a pause of the process, catches up at most 50 ms of missed steps.
            next_step =
                std::max(next_step, std::chrono::steady_clock::now() - std::chrono::milliseconds{50}) +
                std::chrono::microseconds{static_cast<int>(running_.empty() ? 1000 : step_time_us)};
            timer.expires_at(next_step);
            co_await timer.async_wait(asio::use_awaitable);
            ++steps_;
            batch_sum_ += running_.size();
            if (is_silent_) {
                continue;
            }
            for (const auto& completion : running_) {
                if (!completion->is_finished()) {
                    ++completion->generated_tokens;
                    completion->token_signal.cancel();
                }
            }
        }
    }

    /** Behaves like a crash and restart: drops all completions, adapters and connections. */
    void restart() {
        start_id_ = random_identifier();
        for (auto* queue : {&running_, &waiting_}) {
            for (const auto& completion : *queue) {
                completion->is_aborted = true;
                completion->token_signal.cancel();
            }
            queue->clear();
        }
        loaded_.clear();
        loading_.clear();
        highest_fencing_token_ = 0;
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
        const json response = {{"runs", wants_log ? json(runs_) : json(runs_.size())},
                               {"violations", violations_},
                               {"loads", load_count_},
                               {"unloads", unload_count_},
                               {"restarts", restarts_},
                               {"steps", steps_},
                               {"batch_sum", batch_sum_},
                               {"status", status()}};
        co_await respond_json(exchange, 200, response);
    }

    asio::io_context& context_;
    engine_options options_;
    std::string start_id_;
    std::set<std::string> loaded_;
    std::set<std::string> loading_;
    std::list<std::shared_ptr<completion_state>> running_;
    std::list<std::shared_ptr<completion_state>> waiting_;
    std::uint64_t highest_fencing_token_ = 0;
    double slow_factor_ = 1.0;
    /** The engine restarts if a prompt contains this text; empty for never. */
    std::string crash_on_;
    /** Number of loads that are still to fail; a load whose weights could not be fetched counts as one. */
    int failing_loads_ = 0;
    /** Number of responses to load and unload requests to drop after the request took effect. */
    int lost_order_answers_ = 0;
    bool is_leaving_ = false;
    /** True to keep connections open without responding or generating tokens. */
    bool is_silent_ = false;
    /** Every completion that was admitted. */
    std::vector<json> runs_;
    /** Unloads of adapters that a completion was using. */
    std::vector<std::string> violations_;
    std::uint64_t load_count_ = 0;
    std::uint64_t unload_count_ = 0;
    std::uint64_t restarts_ = 0;
    std::uint64_t steps_ = 0;
    /** Sum of the batch sizes of all steps. */
    std::uint64_t batch_sum_ = 0;
    http_server server_;
};

} // namespace
} // namespace lovageledge::standins

int main(int argc, char** argv) {
    using namespace lovageledge::standins;
    CLI::App app{"Stand-in for a model engine"};
    engine_options options;
    app.add_option("--listen", options.address, "IP:PORT to listen on");
    app.add_option("--weight-store", options.weight_store_address,
                   "IP:PORT of the weight store; default: load without fetching weights");
    app.add_option("--slots", options.slots, "maximum number of loaded adapters");
    app.add_option("--batch", options.batch, "maximum number of requests in the batch");
    app.add_option("--step-us", options.step_us, "duration of a step, in microseconds");
    app.add_option("--step-per-request-us", options.step_per_request_us,
                   "additional duration of a step for each request in the batch, in microseconds");
    app.add_flag("--fencing", options.checks_fencing,
                 "reject load and unload requests with a stale fencing token");
    CLI11_PARSE(app, argc, argv);
    boost::asio::io_context context{1};
    engine_standin engine{context, options};
    return run_standin("engine", options.address, context, engine.server());
}
