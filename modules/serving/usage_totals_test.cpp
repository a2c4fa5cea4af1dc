#include "lovageledge/serving/usage_totals.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class usage_totals_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(usage_totals_test);
    CPPUNIT_TEST(repeated_and_late_reports_do_not_count_twice);
    CPPUNIT_TEST(a_restarted_gateway_counts_from_zero);
    CPPUNIT_TEST(a_new_holder_counts_what_the_former_one_did_not);
    CPPUNIT_TEST(another_holder_of_a_data_centre_counts_from_zero);
    CPPUNIT_TEST(a_silent_source_counts_for_the_time_before_its_share_was_reserved);
    CPPUNIT_TEST(gateways_that_are_not_heard_reduce_the_rate);
    CPPUNIT_TEST(levels_do_not_rise_for_a_time_that_the_holder_was_frozen);
    CPPUNIT_TEST_SUITE_END();

    const account_name account_{"a"};
    const usage_cap cap_{usage_cap::unit::tokens, 1000.0, 1000.0, 1};
    const instance_name gateway_{"g"};
    time_point now_{seconds{100}};
    usage_totals totals_{cap_settings{seconds{8}, 0.1, 0.0}};

    void begin(double level = 1000.0) {
        totals_.set_caps({{account_, cap_}});
        totals_.begin(7, {{account_, {level, 0.0}}}, now_);
    }
    double level() const { return totals_.levels().at(account_).level; }
    usage_report report(std::uint64_t start, std::uint64_t sequence, std::uint64_t admitted,
                        std::uint64_t counted = 0) const {
        return {start, sequence, seconds{1}, 1, {{account_, {admitted, 0, admitted, counted}}}};
    }

    // The network may repeat and reorder messages; each counted twice would refuse requests inside the cap.
    void repeated_and_late_reports_do_not_count_twice() {
        begin();
        totals_.on_gateway_report(gateway_, report(1, 1, 100), now_);
        totals_.on_gateway_report(gateway_, report(1, 3, 300), now_);
        totals_.on_gateway_report(gateway_, report(1, 3, 300), now_);
        totals_.on_gateway_report(gateway_, report(1, 2, 200), now_);
        totals_.on_gateway_report(gateway_, report(1, 4, 300), now_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(700.0, level(), 1e-6);
    }

    void a_restarted_gateway_counts_from_zero() {
        begin();
        totals_.on_gateway_report(gateway_, report(1, 1, 300), now_);
        totals_.on_gateway_report(gateway_, report(2, 1, 100), now_);
        totals_.on_gateway_report(gateway_, report(1, 2, 400), now_); // A late one of the former run.
        totals_.on_gateway_report(gateway_, report(2, 2, 150), now_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(550.0, level(), 1e-6);
    }

    void a_new_holder_counts_what_the_former_one_did_not() {
        begin();
        totals_.on_gateway_report(gateway_, report(1, 900, 50'000, 49'900), now_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(900.0, level(), 1e-6);
        totals_.on_gateway_report(gateway_, report(1, 901, 50'100, 49'900), now_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(800.0, level(), 1e-6);
    }

    void another_holder_of_a_data_centre_counts_from_zero() {
        begin();
        const data_centre_name other{"dc"};
        totals_.on_data_centre_report(other, report(1, 1, 70'000), now_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1000.0, level(), 1e-6);
        totals_.on_data_centre_report(other, report(1, 2, 70'100), now_);
        totals_.on_data_centre_report(other, report(2, 1, 40), now_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(860.0, level(), 1e-6);
    }

    void a_silent_source_counts_for_the_time_before_its_share_was_reserved() {
        begin();
        const data_centre_name other{"dc"};
        usage_report first = report(1, 1, 100);
        totals_.on_data_centre_report(other, first, now_);
        now_ += seconds{5};
        usage_report second = report(1, 2, 600);
        second.counted_for = seconds{6};
        totals_.on_data_centre_report(other, second, now_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(900.0, level(), 1e-6); // One of five seconds.
        now_ += seconds{10};
        usage_report third = report(1, 3, 1600);
        third.counted_for = seconds{16};
        totals_.on_data_centre_report(other, third, now_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(900.0, level(), 1e-6); // In no present window.
    }

    void gateways_that_are_not_heard_reduce_the_rate() {
        begin(-2000.0);
        now_ += milliseconds{1100};
        totals_.on_gateway_report(gateway_, report(1, 1, 0), now_);
        totals_.advance(now_, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, totals_.gateways().heard);
        const double before = level();
        now_ += milliseconds{100};
        totals_.advance(now_, 2);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(before + 55.0, level(), 1e-6);
    }

    void levels_do_not_rise_for_a_time_that_the_holder_was_frozen() {
        begin(-5000.0);
        now_ += seconds{2};
        totals_.on_gateway_report(gateway_, report(1, 1, 0), now_);
        totals_.advance(now_, 1);
        const double before = level();
        now_ += seconds{30};
        totals_.advance(now_, 1);
        CPPUNIT_ASSERT(level() <= before + 1000.0 + 1e-6);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(usage_totals_test);

} // namespace
} // namespace lovageledge
