#include "lovageledge/serving/traffic_configuration.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace lovageledge {
namespace {

route_rule make_route(std::string name, std::string host, std::string prefix) {
    route_rule route;
    route.name = std::move(name);
    route.host = std::move(host);
    route.path_prefix = std::move(prefix);
    route.services.push_back({pool_name{"pool"}, 1});
    return route;
}

class traffic_configuration_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(traffic_configuration_test);
    CPPUNIT_TEST(longest_prefix_of_the_host_wins);
    CPPUNIT_TEST(host_is_matched_in_any_case_and_without_port);
    CPPUNIT_TEST(prefix_with_trailing_slash_matches_whole_segments_only);
    CPPUNIT_TEST(weights_split_the_traffic);
    CPPUNIT_TEST_SUITE_END();

    route_table make_table() {
        traffic_configuration configuration;
        configuration.routes = {make_route("short", "a.example", "/x/"),
                                make_route("long", "a.example", "/x/y/"),
                                make_route("other", "b.example", "/x/y/z/")};
        return route_table{configuration};
    }

    void longest_prefix_of_the_host_wins() {
        const auto table = make_table();
        CPPUNIT_ASSERT_EQUAL(std::string{"long"}, table.match("a.example", "/x/y/z/1")->name);
        CPPUNIT_ASSERT_EQUAL(std::string{"short"}, table.match("a.example", "/x/z")->name);
        CPPUNIT_ASSERT(table.match("c.example", "/x/") == nullptr);
    }

    void host_is_matched_in_any_case_and_without_port() {
        const auto table = make_table();
        CPPUNIT_ASSERT_EQUAL(std::string{"short"}, table.match("A.Example:8080", "/x/")->name);
    }

    void prefix_with_trailing_slash_matches_whole_segments_only() {
        const auto table = make_table();
        CPPUNIT_ASSERT(table.match("a.example", "/xx/") == nullptr);
        CPPUNIT_ASSERT(table.match("a.example", "/x") == nullptr);
    }

    void weights_split_the_traffic() {
        route_rule route = make_route("split", "a.example", "/");
        route.services = {{pool_name{"most"}, 90}, {pool_name{"few"}, 10}};
        int few = 0;
        for (int i = 0; i < 2000; ++i) {
            few += route_table::pick_service(route, std::to_string(i)).text() == "few" ? 1 : 0;
        }
        CPPUNIT_ASSERT(few > 120 && few < 280);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(traffic_configuration_test);

} // namespace
} // namespace lovageledge
