#include "lovageledge/serving/serving.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace lovageledge {
namespace {

class unserved_status_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(unserved_status_test);
    CPPUNIT_TEST(request_that_cannot_have_run_is_unavailable);
    CPPUNIT_TEST(request_that_may_have_run_is_never_unavailable);
    CPPUNIT_TEST_SUITE_END();

    void request_that_cannot_have_run_is_unavailable() {
        CPPUNIT_ASSERT(choose_unserved_status({0, false}) == unserved_status::unavailable);
        CPPUNIT_ASSERT(choose_unserved_status({0, true}) == unserved_status::unavailable);
    }

    void request_that_may_have_run_is_never_unavailable() {
        // The first server stopped responding and the second was full. The first may have run the request.
        CPPUNIT_ASSERT(choose_unserved_status({1, false}) == unserved_status::bad_gateway);
        CPPUNIT_ASSERT(choose_unserved_status({1, true}) == unserved_status::gateway_timeout);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unserved_status_test);

} // namespace
} // namespace lovageledge
