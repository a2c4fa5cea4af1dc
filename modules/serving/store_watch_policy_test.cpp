#include "lovageledge/serving/serving.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class store_watch_policy_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_watch_policy_test);
    CPPUNIT_TEST(gateway_relies_on_a_live_holder);
    CPPUNIT_TEST(silent_holder_is_not_relied_on);
    CPPUNIT_TEST(holder_without_store_access_is_not_relied_on);
    CPPUNIT_TEST(missed_update_is_read_from_the_store);
    CPPUNIT_TEST(update_with_a_gap_before_it_is_not_applied);
    CPPUNIT_TEST(own_work_is_not_counted_twice);
    CPPUNIT_TEST(difference_from_older_totals_is_never_negative);
    CPPUNIT_TEST(listed_kind_waits_a_second_for_the_holder);
    CPPUNIT_TEST(holder_that_has_read_more_is_not_waited_for);
    CPPUNIT_TEST(old_reading_of_one_kind_is_not_relied_on);
    CPPUNIT_TEST(dead_watch_is_noticed_within_the_change_limit);
    CPPUNIT_TEST(queued_messages_are_noticed);
    CPPUNIT_TEST(clock_drift_is_not_taken_for_a_queue);
    CPPUNIT_TEST_SUITE_END();

    void listed_kind_waits_a_second_for_the_holder() {
        const time_point listed{std::chrono::seconds{50}};
        store_watch_policy policy{milliseconds{600}};
        CPPUNIT_ASSERT(policy.suspended_until("k", 5, listed, listed) == listed + milliseconds{1000});
        CPPUNIT_ASSERT(!policy.suspended_until("k", 5, listed, listed + milliseconds{1000}));
        CPPUNIT_ASSERT(!policy.suspended_until("k", 5, std::nullopt, listed));
        policy.on_positions({{"k", 5}}, listed + milliseconds{900});
        CPPUNIT_ASSERT(policy.suspended_until("k", 5, listed, listed + milliseconds{1100}) ==
                       listed + milliseconds{1500});
    }

    void holder_that_has_read_more_is_not_waited_for() {
        const time_point listed{std::chrono::seconds{50}};
        store_watch_policy policy{milliseconds{600}};
        policy.on_positions({{"k", 6}}, listed);
        CPPUNIT_ASSERT(!policy.suspended_until("k", 5, listed, listed + milliseconds{100}));
    }

    void old_reading_of_one_kind_is_not_relied_on() {
        store_watch_policy policy{milliseconds{900}, [](const std::string&) { return milliseconds{2000}; }};
        policy.on_positions({{"config", 7, milliseconds{1600}}, {"servers", 7, milliseconds{100}}}, now_);
        CPPUNIT_ASSERT(policy.covered_until("config", 7, now_) == now_ + milliseconds{400});
        CPPUNIT_ASSERT(policy.covered_until("servers", 7, now_) == now_ + milliseconds{900});
        policy.on_positions({{"config", 7, milliseconds{2000}}, {"servers", 7, milliseconds{100}}}, now_);
        CPPUNIT_ASSERT(!policy.covered_until("config", 7, now_));
    }

    void dead_watch_is_noticed_within_the_change_limit() {
        for (const int limit_ms : {2500, 4000, 5000, 20'000}) {
            for (const int pause_ms : {0, 500}) {
                const reading_limits limits{milliseconds{limit_ms}, milliseconds{pause_ms}};
                const watch_timing timing = choose_watch_timing(limits);
                CPPUNIT_ASSERT(timing.wait >= milliseconds{500});
                CPPUNIT_ASSERT(timing.margin >= milliseconds{400});
                CPPUNIT_ASSERT(limits.pause + timing.wait + timing.margin + limits.failure_pause <
                               limits.change_limit);
            }
        }
    }

    void queued_messages_are_noticed() {
        message_delay delay;
        const duration offset = std::chrono::hours{5};
        CPPUNIT_ASSERT(delay.on_message(now_ + offset, now_) == duration::zero());
        CPPUNIT_ASSERT(delay.on_message(now_ + offset + seconds{1}, now_ + seconds{1} + milliseconds{700}) ==
                       milliseconds{700});
        CPPUNIT_ASSERT(delay.on_message(now_ + offset + seconds{2}, now_ + seconds{2}) == duration::zero());
    }

    void clock_drift_is_not_taken_for_a_queue() {
        message_delay delay;
        duration largest{};
        for (int second = 0; second < 3600; ++second) {
            const auto drift = std::chrono::microseconds{50 * second};
            largest =
                std::max(largest, delay.on_message(now_ + seconds{second}, now_ + seconds{second} + drift));
        }
        CPPUNIT_ASSERT(largest < milliseconds{50});
    }

    const time_point now_{seconds{100}};
    const duration validity_ = milliseconds{600};
    store_watch_policy policy_{validity_};

    void gateway_relies_on_a_live_holder() {
        CPPUNIT_ASSERT(!policy_.covered_until("servers", 7, now_));
        policy_.on_positions({{"servers", 7}}, now_);
        CPPUNIT_ASSERT(policy_.covered_until("servers", 7, now_) == now_ + validity_);
        CPPUNIT_ASSERT(!policy_.covered_until("config", 7, now_));
    }

    void silent_holder_is_not_relied_on() {
        policy_.on_positions({{"servers", 7}}, now_);
        CPPUNIT_ASSERT(!policy_.covered_until("servers", 7, now_ + validity_));
    }

    void holder_without_store_access_is_not_relied_on() {
        policy_.on_positions({{"servers", 7}}, now_);
        policy_.on_positions({}, now_ + milliseconds{150});
        CPPUNIT_ASSERT(!policy_.covered_until("servers", 7, now_ + milliseconds{151}));
    }

    void missed_update_is_read_from_the_store() {
        policy_.on_positions({{"servers", 9}}, now_);
        CPPUNIT_ASSERT(!policy_.covered_until("servers", 7, now_));
        CPPUNIT_ASSERT(policy_.covered_until("servers", 12, now_));
    }

    void update_with_a_gap_before_it_is_not_applied() {
        const store_update update{"servers", 10, 14, "[]"};
        CPPUNIT_ASSERT(store_watch_policy::action_for(update, 9) ==
                       store_watch_policy::update_action::resync);
        CPPUNIT_ASSERT(store_watch_policy::action_for(update, 10) ==
                       store_watch_policy::update_action::apply);
        CPPUNIT_ASSERT(store_watch_policy::action_for(update, 12) ==
                       store_watch_policy::update_action::apply);
        CPPUNIT_ASSERT(store_watch_policy::action_for(update, 14) == store_watch_policy::update_action::skip);
    }

    void own_work_is_not_counted_twice() {
        reported_work reported;
        reported.record(server_name{"s1"}, {2, 1, 3000, 0, {}, 0});
        peer_server_work totals;
        totals.in_flight = 5;
        totals.streaming = 4;
        totals.pending_tokens = 9000;
        totals.used_places = 3;
        const peer_server_work others = reported.work_of_others(server_name{"s1"}, totals);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, others.in_flight);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, others.streaming);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6000}, others.pending_tokens);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, others.used_places);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{5}, reported.work_of_others(server_name{"s2"}, totals).in_flight);
    }

    void difference_from_older_totals_is_never_negative() {
        reported_work reported;
        reported.record(server_name{"s1"}, {4, 1, 9000, 1, {}, 0});
        peer_server_work totals;
        totals.in_flight = 1;
        const peer_server_work others = reported.work_of_others(server_name{"s1"}, totals);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, others.in_flight);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, others.pending_tokens);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_watch_policy_test);

} // namespace
} // namespace lovageledge
