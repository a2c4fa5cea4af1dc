#include "standin.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>

// The store of adapter weights: a limited rate of loads, slower beyond a number in flight.

namespace lovageledge::standins {
namespace {

class weight_store_standin {
public:
    weight_store_standin(asio::io_context& context, double rate, int parallel,
                         std::chrono::milliseconds load_time)
        : rate_{rate}, parallel_{parallel}, load_time_{load_time}, server_{context,
                                                                           {},
                                                                           [this](http_exchange& exchange) {
                                                                               return handle(exchange);
                                                                           }} {}

    http_server& server() { return server_; }

private:
    asio::awaitable<void> handle(http_exchange& exchange) {
        if (exchange.path().starts_with("/control/")) {
            const json answer = {
                {"loads", loads_}, {"most_in_flight", most_in_flight_}, {"delayed", delayed_}};
            co_await respond_json(exchange, 200, answer);
            co_return;
        }
        ++loads_;
        const auto now = std::chrono::steady_clock::now();
        const auto interval =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(1.0 / rate_));
        // A burst of one second's loads passes; beyond it a load waits for its turn.
        const auto earliest = now - std::chrono::seconds{1};
        next_turn_ = std::max(next_turn_, earliest) + interval;
        if (next_turn_ > now) {
            ++delayed_;
            co_await pause_for(next_turn_ - now);
        }
        ++in_flight_;
        most_in_flight_ = std::max(most_in_flight_, in_flight_);
        const double stretch = std::max(1.0, static_cast<double>(in_flight_) / parallel_);
        co_await pause_for(std::chrono::duration_cast<duration>(load_time_ * stretch));
        --in_flight_;
        const json answer = {{"weights", exchange.path()}};
        co_await respond_json(exchange, 200, answer);
    }

    double rate_;
    int parallel_;
    std::chrono::milliseconds load_time_;
    std::chrono::steady_clock::time_point next_turn_{};
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
    double rate = 2.0;
    int parallel = 8;
    int load_ms = 250;
    app.add_option("--listen", address, "IP:PORT");
    app.add_option("--rate", rate, "loads per second");
    app.add_option("--parallel", parallel, "loads in flight at full speed");
    app.add_option("--load-ms", load_ms, "time of one load");
    CLI11_PARSE(app, argc, argv);
    boost::asio::io_context context{1};
    weight_store_standin store{context, rate, parallel, std::chrono::milliseconds{load_ms}};
    return run_standin("weight store", address, context, store.server());
}
