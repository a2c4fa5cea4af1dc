#include "lovageledge/serving/version_registry.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class version_registry_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(version_registry_test);
    CPPUNIT_TEST(newer_version_does_not_lift_the_requirement_of_the_one_before);
    CPPUNIT_TEST(late_copy_of_an_older_version_changes_nothing);
    CPPUNIT_TEST(no_version_is_required_later_than_its_own_announcement_demands);
    CPPUNIT_TEST(versions_in_quick_succession_take_bounded_memory);
    CPPUNIT_TEST_SUITE_END();

    const time_point start_{seconds{100}};
    const adapter_ref adapter_{"base", "a1"};
    version_registry versions_;

    std::optional<std::uint64_t> required_at(time_point now, duration longest_wait = milliseconds{1500}) {
        return versions_.required(adapter_, now, longest_wait);
    }

public:
    // Requests ran on version 1 for seconds after version 3 was announced, though version 2 was long due.
    void newer_version_does_not_lift_the_requirement_of_the_one_before() {
        versions_.on_announced(adapter_, 2, start_);
        CPPUNIT_ASSERT(!required_at(start_));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, required_at(start_ + seconds{8}).value());
        versions_.on_announced(adapter_, 3, start_ + seconds{8});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, required_at(start_ + seconds{8}).value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, required_at(start_ + seconds{11}).value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, versions_.newest(adapter_).value());
    }

    void late_copy_of_an_older_version_changes_nothing() {
        versions_.on_announced(adapter_, 3, start_);
        CPPUNIT_ASSERT(!versions_.on_announced(adapter_, 2, start_ + seconds{4}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, required_at(start_ + seconds{4}).value());
    }

    // A former announcement was due sooner alone than beside the ones that followed it.
    void no_version_is_required_later_than_its_own_announcement_demands() {
        const bool holds =
            rc::check("each announcement is judged by itself", [](std::vector<std::uint16_t> gaps_ms) {
                const adapter_ref ref{"base", "a1"};
                version_registry all;
                time_point now{seconds{100}};
                std::vector<std::pair<std::uint64_t, time_point>> announced;
                for (std::size_t i = 0; i < gaps_ms.size(); ++i) {
                    now += milliseconds{gaps_ms[i] % 7000};
                    announced.emplace_back(i + 1, now);
                    all.on_announced(ref, i + 1, now);
                    for (const duration wait : {duration::zero(), duration{milliseconds{1500}}}) {
                        for (const auto& [version, learned_at] : announced) {
                            version_registry alone;
                            alone.on_announced(ref, version, learned_at);
                            RC_ASSERT(alone.required(ref, now, wait).value_or(0) <=
                                      all.required(ref, now, wait).value_or(0));
                        }
                    }
                }
            });
        CPPUNIT_ASSERT(holds);
    }

    void versions_in_quick_succession_take_bounded_memory() {
        constexpr std::size_t most_kept = 10;
        for (std::uint64_t version = 1; version <= 100'000; ++version) {
            versions_.on_announced(adapter_, version, start_ + milliseconds{version});
            CPPUNIT_ASSERT(versions_.kept_announcements(adapter_) <= most_kept);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{100'000}, versions_.newest(adapter_).value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(version_registry_test);

} // namespace
} // namespace lovageledge
