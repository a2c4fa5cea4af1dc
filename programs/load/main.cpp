#include "lovageledge/transport/transport.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

// Open-loop load generator with Poisson arrivals and Zipf-distributed adapters. It checks the whole text of
// each completion against the one that the engine stand-in generates, prints a summary as JSON, and exits
// with 1 if a text was wrong.

namespace lovageledge {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/** Command-line options. */
struct load_options {
    std::vector<std::string> targets;
    std::string sheet_path;
    std::string token = "demo-token";
    std::string history_path;
    /** Mean arrivals per second. */
    double rate = 50;
    std::uint32_t requests = 1000;
    /** Exponent of the popularity of adapters; 0 makes all equally popular. */
    double zipf = 1.0;
    std::uint32_t tokens = 20;
    double long_share = 0.0;
    std::uint32_t long_tokens = 1000;
    /** Factor on the rate during the swing, a period of raised or lowered load. */
    double swing_factor = 1.0;
    double swing_start_s = 0;
    double swing_length_s = 0;
    /** When the popularity of the adapters is reshuffled; 0 for never. */
    double shuffle_at_s = 0;
    int deadline_ms = 10'000;
    /** Number of adapters of the sheet to call; 0 for all. */
    std::uint32_t adapters = 0;
    std::uint32_t seed = 1;
};

/** The outcome and the latencies of one request. */
struct request_record {
    std::string prompt;
    std::string model;
    /** "done"; "cut" if the connection broke; "no_connection" if it could not be opened; otherwise the
       outcome, or the HTTP status, of the error response. */
    std::string outcome;
    std::string reason;
    bool is_long = false;
    /** True if the response had the expected text and ended with [DONE]. */
    bool is_correct = false;
    /** Time from the start of the run to the sending of the request. */
    double sent_s = 0;
    /** Time to the first bytes of the body, including the opening of the connection; -1 if none came. */
    double first_ms = -1;
    /** Time to the end of the response; 0 if no connection could be opened. */
    double total_ms = 0;
};

class load_generator {
public:
    load_generator(asio::io_context& context, load_options options, std::vector<std::string> models)
        : context_{context}, options_{std::move(options)}, models_{std::move(models)}, random_{
                                                                                           options_.seed} {
        std::vector<double> weights;
        for (std::size_t rank = 1; rank <= models_.size(); ++rank) {
            weights.push_back(1.0 / std::pow(static_cast<double>(rank), options_.zipf));
        }
        popularity_ = std::discrete_distribution<std::size_t>{weights.begin(), weights.end()};
        std::shuffle(models_.begin(), models_.end(), random_);
    }

    /** Sends each request at its arrival time, whether or not earlier ones have ended, and waits until all
       have ended. */
    asio::awaitable<void> send_all() {
        started_at_ = std::chrono::steady_clock::now();
        auto next_arrival = started_at_;
        asio::steady_timer timer{context_};
        bool is_shuffled = false;
        for (std::uint32_t index = 0; index < options_.requests; ++index) {
            const double elapsed_s = seconds_since(started_at_);
            if (options_.shuffle_at_s > 0 && elapsed_s >= options_.shuffle_at_s && !is_shuffled) {
                std::shuffle(models_.begin(), models_.end(), random_);
                is_shuffled = true;
            }
            const bool is_in_swing = elapsed_s >= options_.swing_start_s &&
                                     elapsed_s < options_.swing_start_s + options_.swing_length_s;
            std::exponential_distribution<double> inter_arrival_time_s{
                options_.rate * (is_in_swing ? options_.swing_factor : 1.0)};
            next_arrival += std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(inter_arrival_time_s(random_)));
            timer.expires_at(next_arrival);
            co_await timer.async_wait(asio::use_awaitable);
            asio::co_spawn(context_, send_one(index), asio::detached);
        }
        while (records_.size() < options_.requests) {
            timer.expires_after(milliseconds{50});
            co_await timer.async_wait(asio::use_awaitable);
        }
        is_finished_ = true;
    }

    /** Prints a line to stderr every second until all requests have ended. */
    asio::awaitable<void> show_progress() {
        asio::steady_timer timer{context_};
        while (!is_finished_) {
            timer.expires_after(std::chrono::seconds{1});
            co_await timer.async_wait(asio::use_awaitable);
            std::fprintf(stderr, "%5.0f s  %zu of %u requests ended\n", seconds_since(started_at_),
                         records_.size(), options_.requests);
        }
    }

    json summary() const {
        std::map<std::string, int> outcomes;
        std::map<std::string, int> reasons;
        std::vector<double> first_short;
        std::vector<double> first_long;
        std::vector<double> total_short;
        int correct = 0;
        int wrong = 0;
        double last_end_s = 0;
        for (const request_record& record : records_) {
            ++outcomes[record.outcome];
            if (record.outcome != "done") {
                ++reasons[record.reason];
            }
            const bool is_done = record.outcome == "done";
            correct += is_done && record.is_correct ? 1 : 0;
            wrong += is_done && !record.is_correct ? 1 : 0;
            last_end_s = std::max(last_end_s, record.sent_s + record.total_ms / 1000);
            if (is_done) {
                (record.is_long ? first_long : first_short).push_back(record.first_ms);
                if (!record.is_long) {
                    total_short.push_back(record.total_ms);
                }
            }
        }
        json body;
        body["requests"] = records_.size();
        body["outcomes"] = outcomes;
        body["reasons"] = reasons;
        body["correct"] = correct;
        body["wrong"] = wrong;
        body["seconds"] = last_end_s;
        body["goodput_per_s"] = last_end_s > 0 ? correct / last_end_s : 0.0;
        body["first_token_ms_short"] = percentiles(std::move(first_short));
        body["first_token_ms_long"] = percentiles(std::move(first_long));
        body["total_ms_short"] = percentiles(std::move(total_short));
        return body;
    }

    /** Writes a line of JSON per request to the history file, if one is set. */
    void write_history() const {
        if (options_.history_path.empty()) {
            return;
        }
        std::ofstream file{options_.history_path};
        for (const request_record& record : records_) {
            json line{
                {"prompt", record.prompt}, {"model", record.model},        {"outcome", record.outcome},
                {"reason", record.reason}, {"correct", record.is_correct}, {"long", record.is_long},
                {"sent_s", record.sent_s}, {"first_ms", record.first_ms},  {"total_ms", record.total_ms}};
            file << line.dump() << "\n";
        }
    }

    bool has_wrong_response() const {
        return std::any_of(records_.begin(), records_.end(),
                           [](const auto& record) { return record.outcome == "done" && !record.is_correct; });
    }

private:
    static json percentiles(std::vector<double> samples) {
        if (samples.empty()) {
            return json::object();
        }
        std::sort(samples.begin(), samples.end());
        const auto quantile = [&](double fraction) {
            return samples[std::min(samples.size() - 1, static_cast<std::size_t>(
                                                            fraction * static_cast<double>(samples.size())))];
        };
        json body;
        body["p50"] = quantile(0.5);
        body["p95"] = quantile(0.95);
        body["p99"] = quantile(0.99);
        body["max"] = samples.back();
        body["count"] = samples.size();
        return body;
    }

    static double seconds_since(time_point start) {
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    }

    asio::awaitable<void> send_one(std::uint32_t index) {
        request_record record;
        record.model = models_[popularity_(random_)];
        record.is_long = std::bernoulli_distribution{options_.long_share}(random_);
        record.prompt = "load-" + std::to_string(options_.seed) + "-" + std::to_string(index);
        record.sent_s = seconds_since(started_at_);
        const std::uint32_t tokens = record.is_long ? options_.long_tokens : options_.tokens;
        const std::string& target = options_.targets[index % options_.targets.size()];
        co_await exchange(target, tokens, record);
        records_.push_back(std::move(record));
    }

    /** @returns the text that the engine stand-in generates for a model */
    static std::string expected_completion(const std::string& model, std::uint32_t tokens) {
        std::string text;
        for (std::uint32_t i = 0; i < tokens; ++i) {
            text += model + "#" + std::to_string(i) + " ";
        }
        return text;
    }

    /** Consumes the complete lines of an event stream.
        @param pending bytes received; an incomplete last line stays in it
        @param text receives the completion's text @param is_done set once [DONE] was read */
    static void parse_events(std::string& pending, std::string& text, bool& is_done) {
        std::size_t line_start = 0;
        for (std::size_t end = pending.find('\n'); end != std::string::npos;
             end = pending.find('\n', line_start)) {
            const std::string line = pending.substr(line_start, end - line_start);
            line_start = end + 1;
            if (line == "data: [DONE]") {
                is_done = true;
            } else if (line.starts_with("data: ")) {
                const json event = json::parse(line.substr(6), nullptr, false);
                if (event.is_object() && event.contains("choices")) {
                    text += event["choices"][0].value("text", "");
                }
            }
        }
        pending.erase(0, line_start);
    }

    http_request make_request(const request_record& record, std::uint32_t tokens) const {
        json body;
        body["model"] = record.model;
        body["prompt"] = record.prompt;
        body["max_tokens"] = tokens;
        body["stream"] = true;
        http_request request;
        request.method = http::verb::post;
        request.target = "/v1/completions";
        request.body = body.dump();
        request.headers.push_back({"Authorization", "Bearer " + options_.token});
        request.headers.push_back({"X-Deadline-Ms", std::to_string(options_.deadline_ms)});
        request.headers.push_back({"X-Request-Id", record.prompt});
        return request;
    }

    /** Sends a request and fills in the outcome and the latencies of its record. */
    asio::awaitable<void> exchange(const std::string& target, std::uint32_t tokens, request_record& record) {
        const auto sent_at = std::chrono::steady_clock::now();
        error failure;
        bool has_sent = false;
        auto connection = take_connection(target);
        if (!connection->is_open() && !co_await connection->open(target, std::chrono::seconds{2}, failure)) {
            record.outcome = "no_connection";
            record.reason = failure.text();
            co_return;
        }
        std::string pending;
        std::string text;
        bool is_done = false;
        const auto on_bytes = [&](std::string_view bytes) -> asio::awaitable<bool> {
            if (record.first_ms < 0) {
                record.first_ms = seconds_since(sent_at) * 1000;
            }
            pending += bytes;
            parse_events(pending, text, is_done);
            co_return true;
        };
        // Leaves the instance 5 s beyond the deadline to report the outcome.
        const auto timeout = [this] { return duration{milliseconds{options_.deadline_ms + 5000}}; };
        const auto response = co_await connection->exchange_stream(make_request(record, tokens), on_bytes,
                                                                   timeout, failure, has_sent);
        record.total_ms = seconds_since(sent_at) * 1000;
        if (!response) {
            record.outcome = "cut";
            record.reason = failure.text();
        } else if (response->status != 200) {
            const json body = json::parse(response->body, nullptr, false);
            const json error_object = body.is_object() ? body.value("error", json::object()) : json::object();
            record.outcome = error_object.value("outcome", std::to_string(response->status));
            record.reason = error_object.value("step", "") + ": " + error_object.value("reason", "");
        } else {
            record.outcome = "done";
            record.is_correct = is_done && text == expected_completion(record.model, tokens);
        }
        if (connection->is_open()) {
            idle_connections_[target].push_back(std::move(connection));
        }
    }

    /** @returns an idle connection to the target, or a new one that is not open yet */
    std::shared_ptr<http_connection> take_connection(const std::string& target) {
        auto& idle_connections = idle_connections_[target];
        while (!idle_connections.empty()) {
            auto connection = std::move(idle_connections.back());
            idle_connections.pop_back();
            if (connection->is_reusable()) {
                return connection;
            }
        }
        return std::make_shared<http_connection>(context_.get_executor());
    }

    asio::io_context& context_;
    load_options options_;
    /** The adapters, most popular first. */
    std::vector<std::string> models_;
    std::mt19937 random_;
    /** Distribution of the indexes into models_. */
    std::discrete_distribution<std::size_t> popularity_;
    time_point started_at_;
    std::deque<request_record> records_;
    std::map<std::string, std::vector<std::shared_ptr<http_connection>>> idle_connections_;
    bool is_finished_ = false;
};

/** @returns up to that many adapters of a sheet, as "NAME@VERSION"; all of them if the limit is 0 */
std::vector<std::string> read_models(const std::string& path, std::uint32_t limit) {
    std::vector<std::string> models;
    std::ifstream file{path};
    for (std::string line; std::getline(file, line);) {
        std::istringstream cells{line};
        std::string kind;
        std::string name;
        std::string version;
        std::getline(cells, kind, ',');
        std::getline(cells, name, ',');
        std::getline(cells, version, ',');
        if (kind == "adapter" && (limit == 0 || models.size() < limit)) {
            models.push_back(std::move(name.append("@").append(version)));
        }
    }
    return models;
}

} // namespace
} // namespace lovageledge

int main(int argc, char** argv) {
    using namespace lovageledge;
    CLI::App app{"Sends requests to entry instances, checks every response and reports latencies as JSON"};
    load_options options;
    app.add_option("--target", options.targets, "IP:PORT of an entry instance; repeat for several")
        ->required();
    app.add_option("--sheet", options.sheet_path, "sheet with the adapters to call")->required();
    app.add_option("--token", options.token, "the calling service's token");
    app.add_option("--history", options.history_path, "file to write with a line of JSON per request");
    app.add_option("--rate", options.rate, "mean number of requests per second");
    app.add_option("--requests", options.requests, "total number of requests");
    app.add_option("--zipf", options.zipf, "exponent of the Zipf distribution of the adapters' popularity");
    app.add_option("--adapters", options.adapters,
                   "number of adapters to call, from the top of the sheet; 0 for all");
    app.add_option("--tokens", options.tokens, "max_tokens of a short request");
    app.add_option("--long-share", options.long_share, "fraction of long requests, 0 to 1");
    app.add_option("--long-tokens", options.long_tokens, "max_tokens of a long request");
    app.add_option("--swing-factor", options.swing_factor, "factor on the rate during the load swing");
    app.add_option("--swing-start", options.swing_start_s, "time at which the load swing starts, in seconds");
    app.add_option("--swing-length", options.swing_length_s, "duration of the load swing, in seconds");
    app.add_option("--shuffle-at", options.shuffle_at_s,
                   "time at which the adapters' popularity is reshuffled, in seconds; 0 for never");
    app.add_option("--deadline-ms", options.deadline_ms, "deadline of each request, in milliseconds");
    app.add_option("--seed", options.seed, "seed of the random number generator");
    CLI11_PARSE(app, argc, argv);
    auto models = read_models(options.sheet_path, options.adapters);
    if (models.empty()) {
        std::fprintf(stderr, "%s: the sheet has no adapters or cannot be read\n", options.sheet_path.c_str());
        return 2;
    }
    asio::io_context context{1};
    load_generator generator{context, options, std::move(models)};
    asio::co_spawn(context, generator.send_all(), asio::detached);
    asio::co_spawn(context, generator.show_progress(), asio::detached);
    context.run();
    generator.write_history();
    std::printf("%s\n", generator.summary().dump(2).c_str());
    return generator.has_wrong_response() ? 1 : 0;
}
