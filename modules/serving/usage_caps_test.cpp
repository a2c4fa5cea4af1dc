#include "lovageledge/serving/usage_caps.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class usage_caps_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(usage_caps_test);
    CPPUNIT_TEST(accounts_without_limit_are_admitted);
    CPPUNIT_TEST(admitted_cost_lowers_the_level_at_once);
    CPPUNIT_TEST(cost_given_back_is_not_counted);
    CPPUNIT_TEST(a_lowered_cap_limits_the_level_at_once);
    CPPUNIT_TEST(an_account_that_comes_back_starts_anew);
    CPPUNIT_TEST(a_gateway_out_of_contact_spends_its_share);
    CPPUNIT_TEST(suspension_ends_the_contact);
    CPPUNIT_TEST(usage_out_of_contact_is_not_reported);
    CPPUNIT_TEST(usage_out_of_contact_is_not_given_back_to_others);
    CPPUNIT_TEST(retry_after_is_spread);
    CPPUNIT_TEST(refusals_are_logged_at_most_once_a_second);
    CPPUNIT_TEST_SUITE_END();

    const account_name account_{"a"};
    time_point now_{seconds{100}};
    usage_caps caps_{cap_settings{seconds{8}, 0.0, 0.0}};
    std::uint64_t hash_ = 0;

    void adopt(double rate, usage_cap::unit unit = usage_cap::unit::tokens) {
        client_account account;
        account.name = account_;
        account.cap = {unit, rate, rate, 1};
        caps_.set_accounts({account}, now_);
    }
    void tell(double level, double demand = 0.0) {
        caps_.on_told(1, {{account_, {level, demand}}}, {10, 10}, now_, now_);
    }
    bool admit(std::uint64_t cost) { return caps_.admit(account_, cost, ++hash_, now_).is_admitted; }
    double level() const { return caps_.status(now_).at(account_).level; }
    std::uint64_t admit_often(int times, std::uint64_t cost) {
        std::uint64_t sum = 0;
        for (int i = 0; i < times; ++i) {
            sum += admit(cost) ? cost : 0;
        }
        return sum;
    }

    void accounts_without_limit_are_admitted() {
        CPPUNIT_ASSERT(admit(1'000'000));
        adopt(0.0);
        CPPUNIT_ASSERT(admit(1'000'000));
        CPPUNIT_ASSERT(!caps_.has_limits());
    }

    void admitted_cost_lowers_the_level_at_once() {
        adopt(1000.0);
        tell(1000.0);
        CPPUNIT_ASSERT(admit(300));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(700.0, level(), 1e-6);
        // The next level can include what was reported before it, and nothing else.
        caps_.on_reported();
        CPPUNIT_ASSERT(admit(100));
        tell(700.0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(600.0, level(), 1e-6);
    }

    void cost_given_back_is_not_counted() {
        adopt(1000.0);
        tell(1000.0);
        CPPUNIT_ASSERT(admit(300));
        caps_.give_back(account_, 300, now_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1000.0, level(), 1e-6);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, caps_.counters().at(account_).net());
        caps_.give_back(account_, 300, now_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1000.0, level(), 1e-6);
    }

    void a_lowered_cap_limits_the_level_at_once() {
        adopt(1000.0);
        tell(1000.0);
        adopt(100.0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100.0, level(), 1e-6);
    }

    void an_account_that_comes_back_starts_anew() {
        adopt(1000.0);
        tell(1000.0);
        caps_.set_accounts({}, now_);
        adopt(1000.0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, level(), 1e-6);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, caps_.counters().at(account_).admitted);
    }

    void a_gateway_out_of_contact_spends_its_share() {
        adopt(1000.0);
        caps_.set_registered(10);
        now_ += seconds{20};
        // A tenth of 8 s at the rate and the burst: 900.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{900}, admit_often(2000, 1));
        now_ += seconds{7};
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, admit_often(2000, 1));
        now_ += seconds{2};
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{900}, admit_often(2000, 1));
    }

    void suspension_ends_the_contact() {
        adopt(1000.0);
        tell(1000.0);
        CPPUNIT_ASSERT(caps_.status(now_).at(account_).is_in_contact);
        now_ += milliseconds{1001};
        CPPUNIT_ASSERT(!caps_.status(now_).at(account_).is_in_contact);
        tell(1000.0);
        CPPUNIT_ASSERT(caps_.status(now_).at(account_).is_in_contact);
    }

    // The others reserve the share of gateways out of contact; reported as well, it would count twice.
    void usage_out_of_contact_is_not_reported() {
        adopt(1000.0);
        caps_.set_registered(1);
        now_ += seconds{10};
        CPPUNIT_ASSERT(admit(100));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, caps_.counters().at(account_).admitted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, caps_.counters().at(account_).asked);
    }

    void usage_out_of_contact_is_not_given_back_to_others() {
        adopt(1000.0);
        tell(1000.0);
        CPPUNIT_ASSERT(admit(300));
        now_ += seconds{10};
        CPPUNIT_ASSERT(admit(50));
        caps_.give_back(account_, 50, now_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{300}, caps_.counters().at(account_).net());
        caps_.give_back(account_, 300, now_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, caps_.counters().at(account_).net());
    }

    void retry_after_is_spread() {
        adopt(1000.0);
        tell(-4000.0, 8000.0);
        std::set<duration> times;
        for (int i = 0; i < 100; ++i) {
            const cap_decision decision = caps_.admit(account_, 1, ++hash_, now_);
            CPPUNIT_ASSERT(!decision.is_admitted);
            CPPUNIT_ASSERT(decision.retry_after >= milliseconds{100});
            CPPUNIT_ASSERT(decision.retry_after <= seconds{16});
            times.insert(decision.retry_after);
        }
        CPPUNIT_ASSERT(times.size() > 90);
    }

    void refusals_are_logged_at_most_once_a_second() {
        int begun = 0;
        int ended = 0;
        caps_.set_on_refusing([&](const account_name&, bool is_refusing, const cap_status&) {
            ++(is_refusing ? begun : ended);
        });
        adopt(1000.0);
        tell(-4000.0, 8000.0);
        admit_often(100, 1);
        CPPUNIT_ASSERT_EQUAL(1, begun);
        now_ += milliseconds{900};
        caps_.tick(now_);
        CPPUNIT_ASSERT_EQUAL(0, ended);
        now_ += milliseconds{200};
        caps_.tick(now_);
        CPPUNIT_ASSERT_EQUAL(1, ended);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(usage_caps_test);

} // namespace
} // namespace lovageledge
