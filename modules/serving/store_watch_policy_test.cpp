#include "lovageledge/serving/serving.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class store_watch_policy_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_watch_policy_test);
    CPPUNIT_TEST(gateway_relies_on_a_holder_that_is_heard);
    CPPUNIT_TEST(silent_holder_is_not_relied_on);
    CPPUNIT_TEST(holder_without_the_store_is_not_relied_on);
    CPPUNIT_TEST(missed_update_is_read_from_the_store);
    CPPUNIT_TEST(update_with_a_gap_before_it_is_not_applied);
    CPPUNIT_TEST(own_work_is_not_counted_twice);
    CPPUNIT_TEST(totals_older_than_own_word_never_fall_below_zero);
    CPPUNIT_TEST_SUITE_END();

    const time_point now_{seconds{100}};
    const duration valid_ = milliseconds{600};
    store_watch_policy feed_{valid_};

    void gateway_relies_on_a_holder_that_is_heard() {
        CPPUNIT_ASSERT(!feed_.covered_until("servers", 7, now_));
        feed_.on_positions({{"servers", 7}}, now_);
        CPPUNIT_ASSERT(feed_.covered_until("servers", 7, now_) == now_ + valid_);
        CPPUNIT_ASSERT(!feed_.covered_until("config", 7, now_));
    }

    void silent_holder_is_not_relied_on() {
        feed_.on_positions({{"servers", 7}}, now_);
        CPPUNIT_ASSERT(!feed_.covered_until("servers", 7, now_ + valid_));
    }

    void holder_without_the_store_is_not_relied_on() {
        feed_.on_positions({{"servers", 7}}, now_);
        feed_.on_positions({}, now_ + milliseconds{150});
        CPPUNIT_ASSERT(!feed_.covered_until("servers", 7, now_ + milliseconds{151}));
    }

    void missed_update_is_read_from_the_store() {
        feed_.on_positions({{"servers", 9}}, now_);
        CPPUNIT_ASSERT(!feed_.covered_until("servers", 7, now_));
        CPPUNIT_ASSERT(feed_.covered_until("servers", 12, now_));
    }

    void update_with_a_gap_before_it_is_not_applied() {
        const store_update update{"servers", 10, 14, "[]"};
        CPPUNIT_ASSERT(store_watch_policy::action_for(update, 9) == store_watch_policy::update_action::gap);
        CPPUNIT_ASSERT(store_watch_policy::action_for(update, 10) ==
                       store_watch_policy::update_action::apply);
        CPPUNIT_ASSERT(store_watch_policy::action_for(update, 12) ==
                       store_watch_policy::update_action::apply);
        CPPUNIT_ASSERT(store_watch_policy::action_for(update, 14) ==
                       store_watch_policy::update_action::known);
    }

    void own_work_is_not_counted_twice() {
        reported_work told;
        told.record(server_name{"s1"}, {2, 1, 3000, 0, {}, 0});
        peer_server_work totals;
        totals.in_flight = 5;
        totals.streaming = 4;
        totals.pending_tokens = 9000;
        totals.used_places = 3;
        const peer_server_work others = told.others(server_name{"s1"}, totals);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, others.in_flight);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, others.streaming);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6000}, others.pending_tokens);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, others.used_places);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{5}, told.others(server_name{"s2"}, totals).in_flight);
    }

    void totals_older_than_own_word_never_fall_below_zero() {
        reported_work told;
        told.record(server_name{"s1"}, {4, 1, 9000, 1, {}, 0});
        peer_server_work totals;
        totals.in_flight = 1;
        const peer_server_work others = told.others(server_name{"s1"}, totals);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, others.in_flight);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, others.pending_tokens);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_watch_policy_test);

} // namespace
} // namespace lovageledge
