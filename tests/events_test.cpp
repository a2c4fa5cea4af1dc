#include "lovageledge/service/decision_log.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <regex>
#include <set>

namespace lovageledge {
namespace {

/** The catalogue of events and the code must name the same numbers. */
class events_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(events_test);
    CPPUNIT_TEST(catalogue_and_code_agree);
    CPPUNIT_TEST_SUITE_END();

    void catalogue_and_code_agree() {
        std::set<std::string> listed;
        std::ifstream catalogue{LEDGE_SOURCE_FOLDER "/docs/EVENTS.md"};
        const std::regex row{R"(^\| (\d+) \| (\w+) \|.*)"};
        std::smatch match;
        for (std::string line; std::getline(catalogue, line);) {
            if (std::regex_match(line, match, row)) {
                listed.insert(match[1].str() + " " + match[2].str());
            }
        }
        std::set<std::string> declared;
        std::ifstream header{LEDGE_SOURCE_FOLDER "/modules/base/include/lovageledge/base/event_log.hpp"};
        const std::regex constant{R"(^\s+(\w+) = (\d+),)"};
        for (std::string line; std::getline(header, line);) {
            if (std::regex_search(line, match, constant)) {
                declared.insert(match[2].str() + " " + match[1].str());
                const auto number = static_cast<event>(std::stoi(match[2].str()));
                CPPUNIT_ASSERT_EQUAL(match[1].str(), event_name(number));
            }
        }
        CPPUNIT_ASSERT(!declared.empty());
        CPPUNIT_ASSERT(listed == declared);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(events_test);

} // namespace
} // namespace lovageledge
