#include "lovageledge/serving/server_pace.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <string>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t gateways = 82;
constexpr std::size_t servers = 12;

/** Gateways that send as much as they may to servers that answer requests one after the other. */
class restart_simulation {
public:
    /** @param service_time time that a server needs for a request, by the time since the start */
    explicit restart_simulation(std::function<milliseconds(duration)> service_time)
        : service_time_{std::move(service_time)} {
        for (std::size_t g = 0; g < gateways; ++g) {
            paces_.emplace_back(pace_settings{true}, "gateway-" + std::to_string(g));
            paces_.back().set_gateways(gateways);
            for (std::size_t s = 0; s < servers; ++s) {
                paces_.back().on_started(name(s), pool_name{"pool"}, 2 * servers, start_);
            }
        }
    }

    struct result {
        std::size_t most_in_flight = 0;
        std::size_t answered = 0;
        std::size_t still_limited = 0;
    };

    /** Plays a part of the time, and counts in it. */
    result run(milliseconds length) {
        result counted;
        for (const time_point end = now_ + length; now_ < end; now_ += milliseconds{5}) {
            for (std::size_t s = 0; s < servers; ++s) {
                server& target = servers_[s];
                while (!target.queue.empty() && target.queue.front().answered_at <= now_) {
                    const request done = target.queue.front();
                    target.queue.pop_front();
                    paces_[done.gateway].on_answered(name(s), now_ - done.sent_at, milliseconds{100}, true,
                                                     now_);
                    ++counted.answered;
                }
                for (std::size_t g = 0; g < gateways; ++g) {
                    // Each gateway has at most this many requests for a server.
                    for (int i = 0; i < 4 && own(target, g) < 4 && paces_[g].allowance(name(s), now_) > 0;
                         ++i) {
                        send(target, s, g);
                    }
                }
                counted.most_in_flight = std::max(counted.most_in_flight, target.queue.size());
            }
        }
        for (const server_pace& pace : paces_) {
            counted.still_limited += pace.limited_servers();
        }
        return counted;
    }

private:
    struct request {
        std::size_t gateway = 0;
        time_point sent_at{};
        time_point answered_at{};
    };
    struct server {
        std::deque<request> queue;
        time_point free_at{};
    };

    static server_name name(std::size_t s) { return server_name{"server-" + std::to_string(s)}; }

    static std::ptrdiff_t own(const server& target, std::size_t g) {
        return std::count_if(target.queue.begin(), target.queue.end(),
                             [g](const request& sent) { return sent.gateway == g; });
    }

    void send(server& target, std::size_t s, std::size_t g) {
        target.free_at = std::max(target.free_at, now_) + service_time_(now_ - start_);
        target.queue.push_back({g, now_, target.free_at});
        paces_[g].on_sent(name(s), now_);
    }

    std::function<milliseconds(duration)> service_time_;
    const time_point start_{seconds{100}};
    time_point now_ = start_;
    std::vector<server_pace> paces_;
    std::array<server, servers> servers_;
};

class server_pace_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(server_pace_test);
    CPPUNIT_TEST(nothing_is_limited_unless_enabled);
    CPPUNIT_TEST(limit_grows_with_answers_and_is_lifted);
    CPPUNIT_TEST(late_answers_halve_the_limit_once_a_round_trip);
    CPPUNIT_TEST(first_answers_of_a_start_are_not_late);
    CPPUNIT_TEST(answers_that_waited_for_an_adapter_change_nothing);
    CPPUNIT_TEST(failure_at_half_the_former_load_slows_the_growth);
    CPPUNIT_TEST(requests_that_were_not_run_free_their_places);
    CPPUNIT_TEST(service_that_is_new_as_a_whole_is_not_limited);
    CPPUNIT_TEST(new_start_begins_again);
    CPPUNIT_TEST(servers_that_return_together_are_neither_flooded_nor_idle);
    CPPUNIT_TEST(server_that_is_slow_at_first_is_found_out_and_used_later);
    CPPUNIT_TEST_SUITE_END();

    const server_name server_{"s"};
    const pool_name service_{"pool"};
    time_point now_{seconds{100}};
    server_pace pace_{pace_settings{true, 2}, "gateway"};

    void start() { pace_.on_started(server_, service_, 10, now_); }

    void answer(milliseconds delay, bool was_expected = true) {
        pace_.on_sent(server_, now_);
        pace_.on_answered(server_, delay, milliseconds{100}, was_expected, now_);
    }

    void nothing_is_limited_unless_enabled() {
        server_pace disabled{pace_settings{}, "gateway"};
        disabled.on_started(server_, service_, 10, now_);
        disabled.on_recovered(server_, now_);
        CPPUNIT_ASSERT_EQUAL(server_pace::unlimited, disabled.allowance(server_, now_));
    }

    void limit_grows_with_answers_and_is_lifted() {
        CPPUNIT_ASSERT_EQUAL(server_pace::unlimited, pace_.allowance(server_, now_));
        start();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, pace_.allowance(server_, now_));
        pace_.on_sent(server_, now_);
        pace_.on_sent(server_, now_);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, pace_.allowance(server_, now_));
        pace_.on_answered(server_, milliseconds{100}, milliseconds{100}, true, now_);
        pace_.on_answered(server_, milliseconds{100}, milliseconds{100}, true, now_);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{4}, pace_.allowance(server_, now_));
        now_ += seconds{6};
        answer(milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(server_pace::unlimited, pace_.allowance(server_, now_));
        const auto changes = pace_.take_changes();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes.size());
        CPPUNIT_ASSERT(changes.front().reason == pace_reason::started);
        CPPUNIT_ASSERT(!changes.back().reason);
    }

    void late_answers_halve_the_limit_once_a_round_trip() {
        start();
        for (int i = 0; i < 14; ++i) {
            answer(milliseconds{100});
        }
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{16}, pace_.allowance(server_, now_));
        for (int i = 0; i < 5; ++i) {
            answer(milliseconds{900});
        }
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{8}, pace_.allowance(server_, now_));
        now_ += seconds{1};
        answer(milliseconds{900});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{4}, pace_.allowance(server_, now_));
    }

    // Prompts that the former start had cached are read again.
    void first_answers_of_a_start_are_not_late() {
        start();
        answer(milliseconds{900});
        answer(milliseconds{900});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, pace_.allowance(server_, now_));
    }

    void answers_that_waited_for_an_adapter_change_nothing() {
        start();
        for (int i = 0; i < 10; ++i) {
            answer(milliseconds{3000}, false);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, pace_.allowance(server_, now_));
    }

    void failure_at_half_the_former_load_slows_the_growth() {
        start();
        for (int i = 0; i < 14; ++i) {
            answer(milliseconds{100});
        }
        pace_.on_sent(server_, now_);
        pace_.on_failed(server_, now_);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, pace_.allowance(server_, now_));
        for (int i = 0; i < 6; ++i) {
            answer(milliseconds{100});
        }
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{8}, pace_.allowance(server_, now_));
        now_ += seconds{1};
        pace_.on_sent(server_, now_);
        pace_.on_failed(server_, now_);
        for (int i = 0; i < 4; ++i) {
            answer(milliseconds{100});
        }
        // From 4 on, half of what it failed at, the limit grows by 2 in a round trip.
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{4}, pace_.allowance(server_, now_));
    }

    void requests_that_were_not_run_free_their_places() {
        start();
        pace_.on_sent(server_, now_);
        pace_.on_sent(server_, now_);
        pace_.on_withdrawn(server_);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, pace_.allowance(server_, now_));
        pace_.on_withdrawn(server_);
        pace_.on_withdrawn(server_);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, pace_.allowance(server_, now_));
    }

    void service_that_is_new_as_a_whole_is_not_limited() {
        for (int i = 0; i < 10; ++i) {
            pace_.on_started(server_name{"s" + std::to_string(i)}, service_, 10, now_);
            now_ += milliseconds{400};
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pace_.limited_servers());
        now_ += seconds{6};
        pace_.on_started(server_name{"s0"}, service_, 10, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pace_.limited_servers());
    }

    void new_start_begins_again() {
        start();
        for (int i = 0; i < 14; ++i) {
            answer(milliseconds{100});
        }
        start();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, pace_.allowance(server_, now_));
    }

    // Without limits, 82 gateways with 4 requests each would put 328 on each server at once.
    void servers_that_return_together_are_neither_flooded_nor_idle() {
        restart_simulation simulation{[](duration) { return milliseconds{10}; }};
        const auto first = simulation.run(milliseconds{50});
        CPPUNIT_ASSERT(first.most_in_flight <= 40);
        const auto second = simulation.run(seconds{2});
        // 100 answers a second and server are possible, of which 7 in 10 are asked for in 2 s.
        CPPUNIT_ASSERT(second.answered >= std::size_t{140} * servers);
        CPPUNIT_ASSERT(second.most_in_flight <= 164);
    }

    void server_that_is_slow_at_first_is_found_out_and_used_later() {
        restart_simulation simulation{[](duration since_start) {
            return since_start < seconds{3} ? milliseconds{60} : milliseconds{5};
        }};
        const auto slow = simulation.run(seconds{3});
        CPPUNIT_ASSERT(slow.most_in_flight <= 82);
        simulation.run(seconds{5});
        const auto well = simulation.run(seconds{2});
        CPPUNIT_ASSERT(well.answered >= std::size_t{280} * servers);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_pace_test);

} // namespace
} // namespace lovageledge
