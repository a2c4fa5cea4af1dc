#include "lovageledge/coordination/coordination.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace lovageledge {
namespace {

class quarantine_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(quarantine_test);
    CPPUNIT_TEST(condemns_at_the_limit);
    CPPUNIT_TEST(clears_bystanders);
    CPPUNIT_TEST(takes_the_greater_count_of_peers);
    CPPUNIT_TEST(forgets_after_an_hour);
    CPPUNIT_TEST_SUITE_END();

    quarantine quarantine_{2};
    time_point now_{std::chrono::hours{10}};

    void condemns_at_the_limit() {
        CPPUNIT_ASSERT(!quarantine_.on_crash("x", now_));
        CPPUNIT_ASSERT(quarantine_.suspects().contains("x"));
        CPPUNIT_ASSERT(quarantine_.on_crash("x", now_));
        CPPUNIT_ASSERT(quarantine_.is_quarantined("x"));
    }

    void clears_bystanders() {
        quarantine_.on_crash("x", now_);
        quarantine_.on_cleared("x", now_);
        CPPUNIT_ASSERT(quarantine_.suspects().empty());
        quarantine_.on_report("x", 1, now_);
        CPPUNIT_ASSERT(quarantine_.suspects().empty());
    }

    void takes_the_greater_count_of_peers() {
        quarantine_.on_report("x", 1, now_);
        CPPUNIT_ASSERT(!quarantine_.is_quarantined("x"));
        CPPUNIT_ASSERT(quarantine_.on_crash("x", now_));
        quarantine_.on_report("x", 1, now_);
        CPPUNIT_ASSERT(quarantine_.is_quarantined("x"));
    }

    void forgets_after_an_hour() {
        quarantine_.on_crash("x", now_);
        quarantine_.on_tick(now_ + std::chrono::minutes{61});
        CPPUNIT_ASSERT(quarantine_.suspects().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quarantine_test);

} // namespace
} // namespace lovageledge
