#include "lovageledge/transport/percent_encoding.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <spdlog/fmt/fmt.h>

namespace lovageledge {
namespace {

class percent_encoding_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(percent_encoding_test);
    CPPUNIT_TEST(every_byte_but_unreserved_characters_is_escaped);
    CPPUNIT_TEST(text_is_encoded_byte_by_byte);
    CPPUNIT_TEST_SUITE_END();

public:
    void every_byte_but_unreserved_characters_is_escaped() {
        const std::string_view unreserved =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
        for (unsigned byte = 0; byte < 256; ++byte) {
            const std::string text(1, static_cast<char>(byte));
            const bool is_unreserved = unreserved.find(text) != std::string_view::npos;
            CPPUNIT_ASSERT_EQUAL(is_unreserved ? text : fmt::format("%{:02X}", byte), percent_encoded(text));
        }
    }

    void text_is_encoded_byte_by_byte() {
        CPPUNIT_ASSERT_EQUAL(std::string{}, percent_encoded(""));
        CPPUNIT_ASSERT_EQUAL(std::string{"%2541%C3%A9%FF"}, percent_encoded("%41\u00e9\xff"));
    }
};

} // namespace
} // namespace lovageledge

CPPUNIT_TEST_SUITE_REGISTRATION(lovageledge::percent_encoding_test);
