#include "lovageledge/coordination/coordination.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace lovageledge {
namespace {

class load_budget_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(load_budget_test);
    CPPUNIT_TEST(limits_the_load_rate);
    CPPUNIT_TEST(limits_the_loads_in_flight);
    CPPUNIT_TEST(grants_the_greatest_weight_first);
    CPPUNIT_TEST(starts_without_tokens_after_a_reset);
    CPPUNIT_TEST_SUITE_END();

    coordination_settings settings_;
    load_budget budget_{settings_};
    weight_store_limits limits_{2.0, 8};
    time_point now_{std::chrono::seconds{100}};

    static load_request request(int number) {
        return {instance_name{"i"}, server_name{"s"}, adapter_key{"a" + std::to_string(number)}};
    }

    /** Advances the time in ticks of 25 ms, with many waiting requests.
        @param is_released true if each grant is released at once @returns the number of grants */
    std::size_t run(std::chrono::milliseconds run_time, bool is_released) {
        std::size_t grants = 0;
        for (auto elapsed = std::chrono::milliseconds{0}; elapsed < run_time;
             elapsed += std::chrono::milliseconds{25}) {
            now_ += std::chrono::milliseconds{25};
            for (int i = 0; i < 100; ++i) {
                budget_.on_request(request(static_cast<int>(grants) * 1000 + i), 1, now_);
            }
            for (const load_request& granted : budget_.take_grants(limits_, now_)) {
                ++grants;
                if (is_released) {
                    budget_.on_release(granted);
                }
            }
        }
        return grants;
    }

    void limits_the_load_rate() {
        const std::size_t grants = run(std::chrono::seconds{10}, true);
        CPPUNIT_ASSERT(grants >= 19 && grants <= 20);
    }

    void limits_the_loads_in_flight() {
        limits_.loads_per_second = 100;
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, run(std::chrono::seconds{1}, false));
    }

    void grants_the_greatest_weight_first() {
        budget_.take_grants(limits_, now_);
        budget_.on_request(request(1), 5, now_);
        budget_.on_request(request(2), 50, now_);
        now_ += std::chrono::milliseconds{500};
        const auto grants = budget_.take_grants(limits_, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, grants.size());
        CPPUNIT_ASSERT(grants[0].key == request(2).key);
    }

    void starts_without_tokens_after_a_reset() {
        budget_.take_grants(limits_, now_);
        now_ += std::chrono::seconds{10};
        budget_.reset();
        budget_.on_request(request(1), 1, now_);
        CPPUNIT_ASSERT(budget_.take_grants(limits_, now_).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_budget_test);

} // namespace
} // namespace lovageledge
