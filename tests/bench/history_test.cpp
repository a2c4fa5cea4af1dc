#include "cluster_simulation.hpp"
#include "history.hpp"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace lovageledge::bench {
namespace {

/** One seeded violation per promise: the checker itself must be able to fail. */
class history_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(history_test);
    CPPUNIT_TEST(accepts_a_right_history);
    CPPUNIT_TEST(catches_a_wrong_adapter);
    CPPUNIT_TEST(catches_an_eviction_in_use);
    CPPUNIT_TEST(catches_a_short_answer);
    CPPUNIT_TEST(catches_a_mixed_answer);
    CPPUNIT_TEST(catches_a_run_after_not_run);
    CPPUNIT_TEST(catches_a_second_run);
    CPPUNIT_TEST(catches_late_work);
    CPPUNIT_TEST(catches_a_cut_by_a_stop);
    CPPUNIT_TEST(catches_a_reverted_configuration);
    CPPUNIT_TEST(catches_two_sheets_of_one_revision);
    CPPUNIT_TEST(holds_under_any_plan_of_faults);
    CPPUNIT_TEST_SUITE_END();

    history history_;

public:
    void setUp() override {
        history_ = history{};
        history_.on_accepted("r", "a@v1", 2, "k", false);
    }

private:
    void expect(promise which) {
        const auto found = history_.check();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
        CPPUNIT_ASSERT(found[0].which == which);
    }

    void accepts_a_right_history() {
        history_.on_execution("r", "a@v1", "s");
        history_.on_tokens("r", {"a@v1#0~1", "a@v1#1~1"});
        history_.on_finished("r", {"done", ""});
        CPPUNIT_ASSERT(history_.check().empty());
    }

    void catches_a_wrong_adapter() {
        history_.on_execution("r", "b@v1", "s");
        expect(promise::right_adapter);
    }

    void catches_an_eviction_in_use() {
        history_.on_eviction_in_use("s", "a@v1", "r");
        expect(promise::no_eviction_in_use);
    }

    void catches_a_short_answer() {
        history_.on_tokens("r", {"a@v1#0~1"});
        history_.on_finished("r", {"done", ""});
        expect(promise::whole_answer);
    }

    void catches_a_mixed_answer() {
        history_.on_tokens("r", {"a@v1#0~1", "a@v1#1~2"});
        expect(promise::whole_answer);
    }

    void catches_a_run_after_not_run() {
        history_.on_execution("r", "a@v1", "s");
        history_.on_finished("r", {"not_run", ""});
        expect(promise::not_run_means_not_run);
    }

    void catches_a_second_run() {
        history_.on_accepted("again", "a@v1", 2, "k", false);
        history_.on_execution("r", "a@v1", "s");
        history_.on_execution("again", "a@v1", "s");
        expect(promise::at_most_once);
    }

    void catches_late_work() {
        history_.on_late_work("s", "r");
        expect(promise::leaving_gets_no_work);
    }

    void catches_a_cut_by_a_stop() {
        history_.on_cut_by_stop("r", "i");
        expect(promise::planned_stop_cuts_nothing);
    }

    void catches_a_reverted_configuration() {
        history_.on_revision("i", 2, "x");
        history_.on_revision("i", 1, "y");
        expect(promise::configuration_never_reverts);
    }

    void catches_two_sheets_of_one_revision() {
        history_.on_revision("i", 1, "x");
        history_.on_revision("j", 1, "y");
        expect(promise::configuration_never_reverts);
    }

    void holds_under_any_plan_of_faults() {
        const bool holds =
            rc::check("no promise breaks", [](std::uint64_t seed, const std::vector<std::uint16_t>& draws) {
                world_options options;
                options.seed = seed;
                options.has_fencing = seed % 2 == 0;
                for (std::size_t i = 0; i < std::min<std::size_t>(draws.size(), 4); ++i) {
                    options.plan.push_back({static_cast<fault>(draws[i] % fault_count),
                                            static_cast<step>(draws[i] / fault_count % step_count),
                                            1 + draws[i] % 13U});
                }
                cluster_simulation run{options};
                run.run();
                const auto found = run.facts().check();
                RC_ASSERT(found.empty());
            });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(history_test);

} // namespace
} // namespace lovageledge::bench
