#include "cluster_simulation.hpp"
#include "history.hpp"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace lovageledge::bench {
namespace {

/** Guards against a checker that accepts everything: each guarantee gets a history that violates it. */
class history_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(history_test);
    CPPUNIT_TEST(accepts_a_correct_history);
    CPPUNIT_TEST(catches_a_wrong_adapter);
    CPPUNIT_TEST(catches_an_eviction_in_use);
    CPPUNIT_TEST(catches_an_incomplete_response);
    CPPUNIT_TEST(catches_a_response_from_two_runs);
    CPPUNIT_TEST(catches_a_run_after_not_run);
    CPPUNIT_TEST(catches_a_second_run);
    CPPUNIT_TEST(catches_work_for_a_leaving_server);
    CPPUNIT_TEST(catches_an_abort_by_a_planned_stop);
    CPPUNIT_TEST(catches_a_reverted_configuration);
    CPPUNIT_TEST(catches_two_sheets_of_one_revision);
    CPPUNIT_TEST(guarantees_hold_under_random_faults);
    CPPUNIT_TEST_SUITE_END();

    history history_;

public:
    void setUp() override {
        history_ = history{};
        history_.on_accepted("r", "a@v1", 2, "k", false);
    }

private:
    void expect_violation(guarantee which) {
        const auto found = history_.check();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
        CPPUNIT_ASSERT(found[0].which == which);
    }

    void accepts_a_correct_history() {
        history_.on_execution("r", "a@v1", "s");
        history_.on_tokens("r", {"a@v1#0~1", "a@v1#1~1"});
        history_.on_finished("r", {"done", ""});
        CPPUNIT_ASSERT(history_.check().empty());
    }

    void catches_a_wrong_adapter() {
        history_.on_execution("r", "b@v1", "s");
        expect_violation(guarantee::correct_adapter);
    }

    void catches_an_eviction_in_use() {
        history_.on_eviction_in_use("s", "a@v1", "r");
        expect_violation(guarantee::no_eviction_in_use);
    }

    void catches_an_incomplete_response() {
        history_.on_tokens("r", {"a@v1#0~1"});
        history_.on_finished("r", {"done", ""});
        expect_violation(guarantee::complete_response);
    }

    void catches_a_response_from_two_runs() {
        history_.on_tokens("r", {"a@v1#0~1", "a@v1#1~2"});
        expect_violation(guarantee::complete_response);
    }

    void catches_a_run_after_not_run() {
        history_.on_execution("r", "a@v1", "s");
        history_.on_finished("r", {"not_run", ""});
        expect_violation(guarantee::not_run_is_truthful);
    }

    void catches_a_second_run() {
        history_.on_accepted("again", "a@v1", 2, "k", false);
        history_.on_execution("r", "a@v1", "s");
        history_.on_execution("again", "a@v1", "s");
        expect_violation(guarantee::at_most_once);
    }

    void catches_work_for_a_leaving_server() {
        history_.on_late_work("s", "r");
        expect_violation(guarantee::no_work_for_leaving_server);
    }

    void catches_an_abort_by_a_planned_stop() {
        history_.on_aborted_by_stop("r", "i");
        expect_violation(guarantee::planned_stop_aborts_nothing);
    }

    void catches_a_reverted_configuration() {
        history_.on_revision("i", 2, "x");
        history_.on_revision("i", 1, "y");
        expect_violation(guarantee::monotonic_configuration);
    }

    void catches_two_sheets_of_one_revision() {
        history_.on_revision("i", 1, "x");
        history_.on_revision("j", 1, "y");
        expect_violation(guarantee::monotonic_configuration);
    }

    void guarantees_hold_under_random_faults() {
        const bool holds = rc::check("no guarantee is violated", [](std::uint64_t seed,
                                                                    const std::vector<std::uint16_t>& draws) {
            simulation_options options;
            options.seed = seed;
            options.has_fencing = seed % 2 == 0;
            for (std::size_t i = 0; i < std::min<std::size_t>(draws.size(), 4); ++i) {
                options.plan.push_back({static_cast<fault>(draws[i] % fault_count),
                                        static_cast<fault_point>(draws[i] / fault_count % fault_point_count),
                                        1 + draws[i] % 13U});
            }
            cluster_simulation simulation{options};
            simulation.run();
            const auto found = simulation.recorded_history().check();
            RC_ASSERT(found.empty());
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(history_test);

} // namespace
} // namespace lovageledge::bench
