#include "lovageledge/service/decision_log.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <regex>
#include <set>

namespace lovageledge {
namespace {

/** Checks that docs/EVENTS.md lists exactly the event numbers and names of the enumeration `event`. */
class events_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(events_test);
    CPPUNIT_TEST(documented_events_match_enumeration);
    CPPUNIT_TEST_SUITE_END();

    void documented_events_match_enumeration() {
        std::set<std::string> documented;
        std::ifstream documentation{LEDGE_SOURCE_FOLDER "/docs/EVENTS.md"};
        const std::regex table_row{R"(^\| (\d+) \| (\w+) \|.*)"};
        std::smatch match;
        for (std::string line; std::getline(documentation, line);) {
            if (std::regex_match(line, match, table_row)) {
                documented.insert(match[1].str() + " " + match[2].str());
            }
        }
        std::set<std::string> declared;
        std::ifstream header{LEDGE_SOURCE_FOLDER "/modules/base/include/lovageledge/base/event_log.hpp"};
        const std::regex enumerator{R"(^\s+(\w+) = (\d+),)"};
        for (std::string line; std::getline(header, line);) {
            if (std::regex_search(line, match, enumerator)) {
                declared.insert(match[2].str() + " " + match[1].str());
                const auto number = static_cast<event>(std::stoi(match[2].str()));
                CPPUNIT_ASSERT_EQUAL(match[1].str(), event_name(number));
            }
        }
        CPPUNIT_ASSERT(!declared.empty());
        CPPUNIT_ASSERT(documented == declared);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(events_test);

} // namespace
} // namespace lovageledge
