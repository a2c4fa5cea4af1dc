#include "standin.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>

// Stand-in for the store of adapter weights. It limits the rate at which loads start, and slows down all
// loads that start while more than a given number are in flight.

namespace lovageledge::standins {
namespace {

class weight_store_standin {
public:
    weight_store_standin(asio::io_context& context, double loads_per_second, int full_speed_loads,
                         std::chrono::milliseconds load_time)
        : loads_per_second_{loads_per_second}, full_speed_loads_{full_speed_loads}, load_time_{load_time},
          server_{context, {}, [this](http_exchange& exchange) { return handle(exchange); }} {}

    http_server& server() { return server_; }

private:
    asio::awaitable<void> handle(http_exchange& exchange) {
        if (exchange.path().starts_with("/control/")) {
            const json response = {
                {"loads", loads_}, {"most_in_flight", most_in_flight_}, {"delayed", delayed_}};
            co_await respond_json(exchange, 200, response);
            co_return;
        }
        ++loads_;
        const auto arrival = std::chrono::steady_clock::now();
        const auto start_interval =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(1.0 / loads_per_second_));
        // Token bucket that holds one second's worth of loads; further loads are delayed until their start
        // time.
        const auto burst_start = arrival - std::chrono::seconds{1};
        next_start_ = std::max(next_start_, burst_start) + start_interval;
        if (next_start_ > arrival) {
            ++delayed_;
            co_await sleep_for(next_start_ - arrival);
        }
        ++in_flight_;
        most_in_flight_ = std::max(most_in_flight_, in_flight_);
        const double slowdown = std::max(1.0, static_cast<double>(in_flight_) / full_speed_loads_);
        co_await sleep_for(std::chrono::duration_cast<duration>(load_time_ * slowdown));
        --in_flight_;
        const json response = {{"weights", exchange.path()}};
        co_await respond_json(exchange, 200, response);
    }

    double loads_per_second_;
    int full_speed_loads_;
    std::chrono::milliseconds load_time_;
    std::chrono::steady_clock::time_point next_start_{};
    int in_flight_ = 0;
    int most_in_flight_ = 0;
    std::uint64_t loads_ = 0;
    std::uint64_t delayed_ = 0;
    http_server server_;
};

} // namespace
} // namespace lovageledge::standins

int main(int argc, char** argv) {
    using namespace lovageledge::standins;
    CLI::App app{"Stand-in for the store of adapter weights"};
    std::string address = "127.0.0.1:7100";
    double loads_per_second = 2.0;
    int full_speed_loads = 8;
    int load_time_ms = 250;
    app.add_option("--listen", address, "IP:PORT to listen on");
    app.add_option("--rate", loads_per_second, "maximum rate of loads, per second");
    app.add_option("--parallel", full_speed_loads,
                   "number of concurrent loads up to which each runs at full speed");
    app.add_option("--load-ms", load_time_ms, "duration of one load at full speed, in milliseconds");
    CLI11_PARSE(app, argc, argv);
    boost::asio::io_context context{1};
    weight_store_standin store{context, loads_per_second, full_speed_loads,
                               std::chrono::milliseconds{load_time_ms}};
    return run_standin("weight store", address, context, store.server());
}
