#include "lovageledge/serving/serving.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <iostream>
#include <memory>
#include <numbers>
#include <queue>
#include <random>
#include <string>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t servers = 140;
constexpr std::size_t gateways = 71;
constexpr std::size_t data_centres = 6;
constexpr double usual_tokens_per_ms = 38.1;

/** A deployment whose servers read prompts one after the other, each at its own speed. */
struct load_case {
    double slow = 0.55;
    double fast = 1.2;
    /** Whether gateways use and exchange what they learn. */
    bool is_learning = true;
    /** Demand by the capacity of all servers, in the mean. */
    double mean_load = 0.75;
};

struct load_result {
    /** Busy time of the busiest server by the mean. */
    double busiest = 0.0;
    /** Mean wait from sending until the first event. */
    double mean_wait_ms = 0.0;
    /** Largest number of servers at any time that a gateway took for faster or slower than the middle. */
    std::size_t most_different = 0;
};

/** Replays demand that varies as a sine, out of phase between the data centres, in steps of 1 ms. */
class load_simulation {
public:
    explicit load_simulation(load_case given) : case_{given} {
        for (std::size_t s = 0; s < servers; ++s) {
            engine& server = engines_[s];
            server.speed = s % 4 == 0 ? case_.slow : case_.fast;
            server.data_centre = (s / 4) % data_centres;
            capacity_ += server.speed * usual_tokens_per_ms;
        }
        for (std::size_t g = 0; g < gateways; ++g) {
            list_servers(g);
        }
    }

    load_result run(milliseconds length, milliseconds warm_up) {
        load_result result;
        double total_wait = 0.0;
        std::size_t counted = 0;
        for (; now_ < start_ + length; now_ += milliseconds{1}) {
            finish_requests();
            const auto elapsed = now_ - start_;
            if (elapsed % milliseconds{133} == duration::zero()) {
                exchange_work();
            }
            if (case_.is_learning && elapsed % seconds{1} == duration::zero()) {
                exchange_speeds(result);
            }
            const bool is_counted = elapsed >= warm_up;
            for (std::size_t d = 0; d < data_centres; ++d) {
                std::poisson_distribution<int> arrivals{demand(d)};
                for (int i = arrivals(random_); i > 0; --i) {
                    const double wait = send(d, is_counted);
                    total_wait += is_counted ? wait : 0.0;
                    counted += is_counted ? 1 : 0;
                }
            }
        }
        double busy = 0.0;
        double busiest = 0.0;
        for (const engine& server : engines_) {
            busy += server.busy_ms;
            busiest = std::max(busiest, server.busy_ms);
        }
        result.busiest = busiest / (busy / servers);
        result.mean_wait_ms = total_wait / static_cast<double>(counted);
        return result;
    }

private:
    struct engine {
        double speed = 1.0;
        std::size_t data_centre = 0;
        time_point free_at{};
        double busy_ms = 0.0;
    };
    struct work {
        std::uint32_t in_flight = 0;
        std::uint32_t streaming = 0;
        std::uint64_t pending_tokens = 0;
    };
    using work_table = std::array<work, servers>;
    struct gateway {
        backend_directory directory;
        server_speed speeds;
        std::array<backend*, servers> backends{};
        /** Own work at the times of the last exchanges, the latest last. */
        std::deque<work_table> history;
    };
    struct running_request {
        time_point next_at{};
        std::uint64_t observation = 0;
        std::size_t gateway = 0;
        std::size_t server = 0;
        std::uint32_t tokens = 0;
        bool has_started = false;
        bool operator<(const running_request& other) const { return next_at > other.next_at; }
    };

    static std::size_t data_centre_of(std::size_t g) { return g % data_centres; }
    /** Two data centres to a region. */
    static std::string zone_of(std::size_t data_centre) { return "dc-" + std::to_string(data_centre); }

    void list_servers(std::size_t g) {
        gateway& own = gateways_[g];
        for (std::size_t s = 0; s < servers; ++s) {
            server_listing listing;
            listing.name = server_name{"engine-" + std::to_string(s)};
            listing.service = pool_name{"pool"};
            listing.zone = data_centre_name{zone_of(engines_[s].data_centre)};
            listing.weights.models["base"] = 1;
            own.directory.on_listed(listing, now_);
        }
        for (std::size_t s = 0; s < servers; ++s) {
            own.backends[s] = own.directory.find(server_name{"engine-" + std::to_string(s)});
        }
    }

    /** @returns the requests per ms that arrive in a data centre */
    double demand(std::size_t data_centre) const {
        constexpr double period_ms = 15'000.0;
        const double elapsed_ms = std::chrono::duration<double, std::milli>(now_ - start_).count();
        const double phase = 2.0 * std::numbers::pi *
                             (elapsed_ms / period_ms + static_cast<double>(data_centre) / data_centres);
        const double mean = case_.mean_load * capacity_ / mean_tokens / data_centres;
        return mean * (1.0 + 0.55 * std::sin(phase));
    }

    /** @returns the wait until the first event in ms */
    double send(std::size_t data_centre, bool is_counted) {
        const std::size_t in_data_centre = (gateways - data_centre + data_centres - 1) / data_centres;
        const std::size_t g = data_centre + data_centres * (random_() % in_data_centre);
        gateway& own = gateways_[g];
        selection_request request;
        request.id = request_id{std::to_string(random_())};
        request.service = pool_name{"pool"};
        request.weights = {"base", ""};
        request.prompt_tokens = random_() % 4 == 0 ? 6'100 : 900;
        const auto choice = selectors_[data_centre / 2].pick(own.directory, versions_, request, now_);
        const std::size_t s = std::stoul(choice->server.text().substr(std::string{"engine-"}.size()));
        engine& server = engines_[s];
        // Parts of prompts that other gateways have sent there are cached, which this one does not know.
        const double uncached = std::uniform_real_distribution<double>{0.6, 1.0}(random_);
        const double reading_ms = request.prompt_tokens * uncached / (usual_tokens_per_ms * server.speed);
        server.free_at =
            std::max(server.free_at, now_) +
            std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{reading_ms});
        server.busy_ms += is_counted ? reading_ms : 0.0;
        backend& entry = *own.backends[s];
        ++entry.in_flight;
        entry.pending_tokens += request.prompt_tokens;
        const bool is_local = server.data_centre / 2 == data_centre / 2;
        const std::uint64_t observation = own.speeds.on_sent(entry, true, is_local, now_);
        const duration path = milliseconds{is_local ? 2 : 20};
        running_.push({server.free_at + path, observation, g, s, request.prompt_tokens, false});
        return std::chrono::duration<double, std::milli>(server.free_at + path - now_).count();
    }

    void finish_requests() {
        while (!running_.empty() && running_.top().next_at <= now_) {
            running_request request = running_.top();
            running_.pop();
            gateway& own = gateways_[request.gateway];
            backend& entry = *own.backends[request.server];
            if (request.has_started) {
                --entry.in_flight;
                --entry.streaming;
                continue;
            }
            ++entry.streaming;
            entry.pending_tokens -= request.tokens;
            own.speeds.on_response(request.observation, now_);
            request.has_started = true;
            request.next_at += milliseconds{600};
            running_.push(request);
        }
    }

    /** Lets the gateways know the work of their own data centre 133 to 266 ms late, and that of the others
        266 to 400 ms late. */
    void exchange_work() {
        constexpr std::size_t kept = 3;
        for (gateway& own : gateways_) {
            work_table table;
            for (std::size_t s = 0; s < servers; ++s) {
                const backend& entry = *own.backends[s];
                table[s] = {entry.in_flight, entry.streaming, entry.pending_tokens};
            }
            own.history.push_back(table);
            if (own.history.size() > kept) {
                own.history.pop_front();
            }
        }
        if (gateways_.front().history.size() < kept) {
            return;
        }
        std::array<std::array<work_table, data_centres>, 2> sums{};
        for (std::size_t g = 0; g < gateways; ++g) {
            for (std::size_t age = 0; age < 2; ++age) {
                add(gateways_[g].history[kept - 2 - age], sums[age][data_centre_of(g)]);
            }
        }
        for (std::size_t g = 0; g < gateways; ++g) {
            work_table others = sums[0][data_centre_of(g)];
            for (std::size_t s = 0; s < servers; ++s) {
                const work& reported = gateways_[g].history[kept - 2][s];
                others[s].in_flight -= reported.in_flight;
                others[s].streaming -= reported.streaming;
                others[s].pending_tokens -= reported.pending_tokens;
            }
            for (std::size_t d = 0; d < data_centres; ++d) {
                if (d != data_centre_of(g)) {
                    add(sums[1][d], others);
                }
            }
            for (std::size_t s = 0; s < servers; ++s) {
                peer_server_work& known = gateways_[g].backends[s]->peer_work[instance_name{"holder"}];
                known.in_flight = others[s].in_flight;
                known.streaming = others[s].streaming;
                known.pending_tokens = others[s].pending_tokens;
            }
            gateways_[g].speeds.sample_work(gateways_[g].directory, now_);
        }
    }

    static void add(const work_table& added, work_table& sum) {
        for (std::size_t s = 0; s < servers; ++s) {
            sum[s].in_flight += added[s].in_flight;
            sum[s].streaming += added[s].streaming;
            sum[s].pending_tokens += added[s].pending_tokens;
        }
    }

    /** The first gateway of each data centre is its holder. */
    void exchange_speeds(load_result& result) {
        for (std::size_t g = data_centres; g < gateways; ++g) {
            gateways_[data_centre_of(g)].speeds.on_report(
                speed_scope::gateway, std::to_string(g),
                gateways_[g].speeds.reports(speed_scope::gateway, now_), now_);
        }
        for (std::size_t from = 0; from < data_centres; ++from) {
            const auto reports = gateways_[from].speeds.reports(speed_scope::data_centre, now_);
            for (std::size_t to = 0; to < data_centres; ++to) {
                if (to != from) {
                    gateways_[to].speeds.on_report(speed_scope::data_centre, std::to_string(from), reports,
                                                   now_);
                }
            }
        }
        std::array<std::vector<speed_report>, data_centres> told;
        for (std::size_t d = 0; d < data_centres; ++d) {
            told[d] = gateways_[d].speeds.reports(speed_scope::deployment, now_);
        }
        for (std::size_t g = 0; g < gateways; ++g) {
            gateway& own = gateways_[g];
            if (g >= data_centres) {
                own.speeds.on_report(speed_scope::deployment, "holder", told[data_centre_of(g)], now_);
            }
            own.speeds.update(own.directory, now_);
            const auto different =
                std::count_if(own.backends.begin(), own.backends.end(),
                              [](const backend* server) { return server->speed.response != 1.0; });
            result.most_different = std::max(result.most_different, static_cast<std::size_t>(different));
        }
    }

    static server_selector make_selector(std::size_t region) {
        return {selector_settings{}, [region](const data_centre_name& name) {
                    return name.text() == zone_of(2 * region) || name.text() == zone_of(2 * region + 1);
                }};
    }

    static constexpr double mean_tokens = (6'100.0 + 3.0 * 900.0) / 4.0 * 0.8;

    load_case case_;
    const time_point start_{seconds{100}};
    time_point now_ = start_;
    double capacity_ = 0.0;
    std::array<engine, servers> engines_;
    std::array<gateway, gateways> gateways_;
    std::array<server_selector, 3> selectors_{make_selector(0), make_selector(1), make_selector(2)};
    version_registry versions_;
    std::priority_queue<running_request> running_;
    std::mt19937_64 random_{11};
};

load_result play(const load_case& given, seconds length, seconds warm_up) {
    return std::make_unique<load_simulation>(given)->run(length, warm_up);
}

class server_speed_load_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(server_speed_load_test);
    CPPUNIT_TEST(work_follows_the_speed_of_servers);
    CPPUNIT_TEST(equal_servers_are_never_taken_for_different_ones);
    CPPUNIT_TEST_SUITE_END();

    // Two periods of the demand are counted; in shorter runs a single queue of 2 s weighs too much. Without
    // learning, the busiest server had 1.28 times the mean work and requests waited for 676 ms; with it 1.19
    // times and 579 ms.
    void work_follows_the_speed_of_servers() {
        const load_result result = play({}, seconds{40}, seconds{10});
        describe(result);
        CPPUNIT_ASSERT(result.busiest < 1.25);
        CPPUNIT_ASSERT(result.mean_wait_ms < 640.0);
        // A quarter of the servers is slow; few others may be taken for different.
        CPPUNIT_ASSERT(result.most_different >= servers / 4);
        CPPUNIT_ASSERT(result.most_different < servers / 3);
    }

    // Unequal demand makes the waits at equal servers differ.
    void equal_servers_are_never_taken_for_different_ones() {
        load_case equal;
        equal.slow = 1.0;
        equal.fast = 1.0;
        const load_result result = play(equal, seconds{20}, seconds{5});
        describe(result);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, result.most_different);
    }

    static void describe(const load_result& result) {
        std::cout << " (busiest " << result.busiest << ", wait " << result.mean_wait_ms << " ms, different "
                  << result.most_different << ")";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_speed_load_test);

} // namespace
} // namespace lovageledge
