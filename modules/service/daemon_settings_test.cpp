#include "lovageledge/service/service.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace lovageledge {
namespace {

const std::string valid_settings = "[instance]\n"
                                   "name = entry-0\n"
                                   "region = ahd\n"
                                   "data_centre = ahd-1\n"
                                   "peer_address = 127.0.0.1:1\n"
                                   "caller_address = 127.0.0.1:2\n"
                                   "admin_address = 127.0.0.1:3\n"
                                   "admin_token_sha256 = 00\n"
                                   "[platform]\n"
                                   "address = 127.0.0.1:4\n";

class daemon_settings_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(daemon_settings_test);
    CPPUNIT_TEST(reads_valid_settings);
    CPPUNIT_TEST(reports_line_and_field_of_every_error);
    CPPUNIT_TEST(rejects_unknown_fields);
    CPPUNIT_TEST(gives_every_start_its_own_id);
    CPPUNIT_TEST_SUITE_END();

    std::vector<std::string> errors_;

    void reads_valid_settings() {
        const auto settings = parse_settings(valid_settings + "[policy]\nlong_share_percent = 25\n", errors_);
        CPPUNIT_ASSERT(settings);
        CPPUNIT_ASSERT_EQUAL(std::string{"entry-0"}, settings->identity.name.text());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, settings->coordination.long_share, 1e-9);
    }

    void reports_line_and_field_of_every_error() {
        CPPUNIT_ASSERT(
            !parse_settings(valid_settings + "[limits]\nbody_bytes = 5\nconnections = many\n", errors_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, errors_.size());
        CPPUNIT_ASSERT_EQUAL(
            std::string{"line 12, [limits] body_bytes: expected a whole number from 1024 to 67108864"},
            errors_[0]);
        CPPUNIT_ASSERT_EQUAL(
            std::string{"line 13, [limits] connections: expected a whole number from 1 to 65536"},
            errors_[1]);
    }

    void rejects_unknown_fields() {
        CPPUNIT_ASSERT(!parse_settings(valid_settings + "[limits]\nspeed = 5\n", errors_));
        CPPUNIT_ASSERT(errors_[0].find("line 12, [limits] speed") == 0);
    }

    void gives_every_start_its_own_id() {
        const auto first = parse_settings(valid_settings, errors_);
        const auto second = parse_settings(valid_settings, errors_);
        CPPUNIT_ASSERT(first->identity.start != second->identity.start);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(daemon_settings_test);

} // namespace
} // namespace lovageledge
