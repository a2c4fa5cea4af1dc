#include "lovageledge/base/log_format.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/ostream_sink.h>
#include <sstream>

namespace lovageledge {
namespace {

class log_format_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(log_format_test);
    CPPUNIT_TEST(message_with_control_characters_is_one_line);
    CPPUNIT_TEST(other_characters_are_unchanged);
    CPPUNIT_TEST_SUITE_END();

    /** @returns the log after one message, without its time */
    static std::string logged(const std::string& message) {
        std::ostringstream output;
        spdlog::logger logger{"test", std::make_shared<spdlog::sinks::ostream_sink_st>(output)};
        logger.set_formatter(make_log_formatter());
        logger.info(message);
        const std::string line = output.str();
        return line.substr(line.find(' ') + 1);
    }

public:
    // The name of an entry in the store could begin a line that looked like another event's.
    void message_with_control_characters_is_one_line() {
        CPPUNIT_ASSERT_EQUAL(std::string{"info entry=a??event=331 b?c?d?\n"},
                             logged(std::string{"entry=a\r\nevent=331 b\tc\x7f"
                                                "d\0",
                                                25}));
    }

    void other_characters_are_unchanged() {
        CPPUNIT_ASSERT_EQUAL(std::string{"info {} %v \"\u00e9\\\xff\"\n"}, logged("{} %v \"\u00e9\\\xff\""));
    }
};

} // namespace
} // namespace lovageledge

CPPUNIT_TEST_SUITE_REGISTRATION(lovageledge::log_format_test);
