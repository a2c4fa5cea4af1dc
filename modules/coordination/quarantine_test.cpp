#include "lovageledge/coordination/coordination.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace lovageledge {
namespace {

class quarantine_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(quarantine_test);
    CPPUNIT_TEST(quarantines_at_the_crash_limit);
    CPPUNIT_TEST(ignores_low_peer_counts_after_clearing);
    CPPUNIT_TEST(crashes_that_different_instances_saw_add_up);
    CPPUNIT_TEST(crash_that_is_reported_again_counts_once);
    CPPUNIT_TEST(forgets_after_an_hour);
    CPPUNIT_TEST_SUITE_END();

    quarantine quarantine_{2};
    time_point now_{std::chrono::hours{10}};

    const start_id first_{"start-1"};
    const start_id second_{"start-2"};

    void quarantines_at_the_crash_limit() {
        CPPUNIT_ASSERT(!quarantine_.on_crash("x", first_, now_));
        CPPUNIT_ASSERT(quarantine_.suspects().contains("x"));
        CPPUNIT_ASSERT(quarantine_.on_crash("x", second_, now_));
        CPPUNIT_ASSERT(quarantine_.is_quarantined("x"));
    }

    void ignores_low_peer_counts_after_clearing() {
        quarantine_.on_crash("x", first_, now_);
        quarantine_.on_cleared("x", now_);
        CPPUNIT_ASSERT(quarantine_.suspects().empty());
        quarantine_.on_report("x", {first_}, now_);
        CPPUNIT_ASSERT(quarantine_.suspects().empty());
    }

    void crashes_that_different_instances_saw_add_up() {
        quarantine peer{2};
        peer.on_crash("x", first_, now_);
        quarantine_.on_crash("x", second_, now_); // Both crash before either instance hears of the other.
        quarantine_.on_report("x", peer.crashes(now_).at("x"), now_);
        CPPUNIT_ASSERT(quarantine_.is_quarantined("x"));
        peer.on_report("x", quarantine_.crashes(now_).at("x"), now_);
        CPPUNIT_ASSERT(peer.is_quarantined("x"));
    }

    void crash_that_is_reported_again_counts_once() {
        quarantine_.on_report("x", {first_}, now_);
        quarantine_.on_report("x", {first_}, now_);
        CPPUNIT_ASSERT(!quarantine_.on_crash("x", first_, now_));
        CPPUNIT_ASSERT(!quarantine_.is_quarantined("x"));
        CPPUNIT_ASSERT(quarantine_.on_crash("x", second_, now_));
    }

    void forgets_after_an_hour() {
        quarantine_.on_crash("x", first_, now_);
        quarantine_.on_tick(now_ + std::chrono::minutes{61});
        CPPUNIT_ASSERT(quarantine_.suspects().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quarantine_test);

} // namespace
} // namespace lovageledge
