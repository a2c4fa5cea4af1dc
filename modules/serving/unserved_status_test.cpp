#include "lovageledge/serving/serving.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace lovageledge {
namespace {

class unserved_status_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(unserved_status_test);
    CPPUNIT_TEST(untouched_request_is_refused_as_not_run);
    CPPUNIT_TEST(earlier_attempt_that_may_have_run_forbids_the_promise);
    CPPUNIT_TEST_SUITE_END();

    void untouched_request_is_refused_as_not_run() {
        CPPUNIT_ASSERT(choose_unserved_status({0, false}) == unserved_status::unavailable);
        CPPUNIT_ASSERT(choose_unserved_status({0, true}) == unserved_status::unavailable);
    }

    void earlier_attempt_that_may_have_run_forbids_the_promise() {
        // The first server fell silent, a second one was full: the request may still have run at the first.
        CPPUNIT_ASSERT(choose_unserved_status({1, false}) == unserved_status::bad_gateway);
        CPPUNIT_ASSERT(choose_unserved_status({1, true}) == unserved_status::gateway_timeout);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unserved_status_test);

} // namespace
} // namespace lovageledge
