#include "lovageledge/coordination/coordination.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace lovageledge {
namespace {

class membership_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(membership_test);
    CPPUNIT_TEST(odd_entries_of_the_instance_list_are_left_out);
    CPPUNIT_TEST_SUITE_END();

    void odd_entries_of_the_instance_list_are_left_out() {
        const auto list = parse_instance_list(R"([{"name":"a","address":"127.0.0.1:1","state":"leaving"},
            {"name":7}, 5, null, [[[]]], {"name":"b","address":{}}, {"name":"c","kind":"backend"}])");
        CPPUNIT_ASSERT(list);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, list->size());
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, (*list)[0].name);
        CPPUNIT_ASSERT((*list)[0].is_leaving);
        CPPUNIT_ASSERT((*list)[1].is_backend);
        CPPUNIT_ASSERT(!parse_instance_list("{}"));
        CPPUNIT_ASSERT(!parse_instance_list("[{"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_test);

} // namespace
} // namespace lovageledge
