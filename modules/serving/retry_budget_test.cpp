#include "lovageledge/serving/serving.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class retry_budget_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(retry_budget_test);
    CPPUNIT_TEST(instances_together_stay_within_the_budget);
    CPPUNIT_TEST(budget_is_restored_after_the_window);
    CPPUNIT_TEST(demand_decays_with_its_half_life);
    CPPUNIT_TEST_SUITE_END();

    const pool_name pool_{"pool"};
    const time_point now_{seconds{100}};

    static std::size_t spend_all(retry_budget& budget, const pool_name& pool, time_point now) {
        std::size_t spent = 0;
        while (budget.try_spend(pool, now)) {
            ++spent;
        }
        return spent;
    }

    void instances_together_stay_within_the_budget() {
        constexpr std::size_t instances = 7;
        constexpr std::size_t requests = 40;
        std::size_t spent = 0;
        for (std::size_t i = 0; i < instances; ++i) {
            retry_budget budget;
            budget.set_allowance({0.2, 54.0, seconds{10}});
            budget.set_instances(instances);
            for (std::size_t r = 0; r < requests; ++r) {
                budget.on_request(pool_, now_);
            }
            spent += spend_all(budget, pool_, now_);
        }
        CPPUNIT_ASSERT(spent <= static_cast<std::size_t>(0.2 * instances * requests + 54.0));
        CPPUNIT_ASSERT(spent > 0);
    }

    void budget_is_restored_after_the_window() {
        retry_budget budget;
        budget.set_allowance({0.2, 10.0, seconds{10}});
        const std::size_t first = spend_all(budget, pool_, now_);
        CPPUNIT_ASSERT(!budget.try_spend(pool_, now_ + seconds{9}));
        CPPUNIT_ASSERT_EQUAL(first, spend_all(budget, pool_, now_ + seconds{11}));
    }

    void demand_decays_with_its_half_life() {
        demand_meter meter{seconds{5}};
        const adapter_ref ref{"base", "a1"};
        meter.on_request(ref, now_);
        meter.on_request(ref, now_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, meter.recent_requests(ref, now_ + seconds{5}), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, meter.recent_requests({"base", "a2"}, now_), 1e-9);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_budget_test);

} // namespace
} // namespace lovageledge
