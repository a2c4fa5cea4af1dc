#include "lovageledge/gateway/gateway_settings.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <spdlog/fmt/fmt.h>

namespace lovageledge {
namespace {

const std::string valid_settings = "[instance]\n"
                                   "name = front-1\n"
                                   "data_centre = ahd-a\n"
                                   "region = ahd\n"
                                   "caller_address = 127.0.0.1:1\n"
                                   "readiness_address = 127.0.0.1:2\n"
                                   "peer_address = 127.0.0.1:3\n"
                                   "[platform]\n"
                                   "address = 127.0.0.1:4\n"
                                   "[bounds]\n"
                                   "retry_ratio = 0.2\n"
                                   "retry_extra = 54\n"
                                   "[data_centres]\n"
                                   "ahd-a = ahd\n"
                                   "ahd-b = ahd\n"
                                   "srt-a = srt\n";

class gateway_settings_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_settings_test);
    CPPUNIT_TEST(reads_valid_settings);
    CPPUNIT_TEST(reports_line_and_field_of_an_error);
    CPPUNIT_TEST(rejects_unknown_fields);
    CPPUNIT_TEST(reads_the_limits_of_order_holders);
    CPPUNIT_TEST(reports_a_flag_that_is_neither_true_nor_false);
    CPPUNIT_TEST(reads_the_memory_of_the_process);
    CPPUNIT_TEST(reads_the_accounting_of_usage_caps);
    CPPUNIT_TEST(reports_line_and_field_of_an_invalid_accounting_of_usage_caps);
    CPPUNIT_TEST(reads_the_limit_of_strict_revocation);
    CPPUNIT_TEST(reads_the_limits_on_callers);
    CPPUNIT_TEST(waiting_is_bounded_only_if_set);
    CPPUNIT_TEST(servers_are_not_held_back_by_default);
    CPPUNIT_TEST_SUITE_END();

    std::vector<std::string> errors_;

    // Deployments whose settings do not ask for it must behave as before.
    void servers_are_not_held_back_by_default() {
        CPPUNIT_ASSERT(!parse_gateway_settings(valid_settings, errors_)->pace.enabled);
        const std::string given = valid_settings + "[pace]\nenabled = true\ninitial_requests = 9\n";
        const auto settings = parse_gateway_settings(given, errors_);
        CPPUNIT_ASSERT(settings && settings->pace.enabled);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{9}, settings->pace.initial_requests);
    }

    void reads_valid_settings() {
        const auto settings =
            parse_gateway_settings(valid_settings + "[policy]\nother_home_ms = 7\n", errors_);
        CPPUNIT_ASSERT(settings);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, settings->local_data_centres.size());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(54.0, settings->retries.extra, 1e-9);
        CPPUNIT_ASSERT(settings->selector.other_home == std::chrono::milliseconds{7});
    }

    void reports_line_and_field_of_an_error() {
        CPPUNIT_ASSERT(!parse_gateway_settings(
            valid_settings + "[log]\nlevel = info\n[limits]\nconnections = x\n", errors_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, errors_.size());
        CPPUNIT_ASSERT(errors_.front().rfind("line 20, [limits] connections", 0) == 0);
    }

    void reads_the_memory_of_the_process() {
        const auto settings = parse_gateway_settings(valid_settings + "[limits]\nmemory_mb = 260\n", errors_);
        CPPUNIT_ASSERT(settings);
        CPPUNIT_ASSERT_EQUAL(std::size_t{150'000'000}, settings->message_memory());
        CPPUNIT_ASSERT(!parse_gateway_settings(valid_settings + "[limits]\nmemory_mb = 0\n", errors_));
        CPPUNIT_ASSERT(errors_.front().rfind("line 18, [limits] memory_mb", 0) == 0);
    }

    void reads_the_accounting_of_usage_caps() {
        const auto defaults = parse_gateway_settings(valid_settings, errors_);
        CPPUNIT_ASSERT(defaults);
        CPPUNIT_ASSERT(defaults->caps.window == std::chrono::seconds{8});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, defaults->caps.slack, 1e-9);
        const auto settings = parse_gateway_settings(
            valid_settings + "[caps]\nwindow_s = 8.5\ntolerance = 0.2\nslack = 110000\n", errors_);
        CPPUNIT_ASSERT(settings);
        CPPUNIT_ASSERT(settings->caps.window == std::chrono::milliseconds{8500});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.2, settings->caps.tolerance, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(110'000.0, settings->caps.slack, 1e-9);
    }

    void reports_line_and_field_of_an_invalid_accounting_of_usage_caps() {
        for (const std::string line : {"window_s = 0", "window_s = nan", "tolerance = -0.1",
                                       "tolerance = 1.5", "slack = many", "slack = 1e30"}) {
            const std::string settings = fmt::format("{}[caps]\n{}\n", valid_settings, line);
            CPPUNIT_ASSERT(!parse_gateway_settings(settings, errors_));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(line, std::size_t{1}, errors_.size());
            const std::string expected = "line 18, [caps] " + line.substr(0, line.find(' '));
            CPPUNIT_ASSERT_MESSAGE(errors_.front(), errors_.front().rfind(expected, 0) == 0);
        }
    }

    void reads_the_limits_on_callers() {
        const std::string limits = valid_settings + "[limits]\n";
        const auto settings = parse_gateway_settings(
            limits + "address_share_percent = 50\nunread_response_ms = 700\n", errors_);
        CPPUNIT_ASSERT(settings);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, settings->address_share, 1e-9);
        CPPUNIT_ASSERT(settings->unread_response == std::chrono::milliseconds{700});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{16 * 1024}, settings->socket_buffer_bytes());
        CPPUNIT_ASSERT(!parse_gateway_settings(limits + "address_share_percent = 101\n", errors_));
        CPPUNIT_ASSERT(errors_.front().rfind("line 18, [limits] address_share_percent", 0) == 0);
        CPPUNIT_ASSERT(!parse_gateway_settings(limits + "unread_response_ms = 0\n", errors_));
        CPPUNIT_ASSERT(errors_.front().rfind("line 18, [limits] unread_response_ms", 0) == 0);
    }

    // Deployments without the setting must not change their behaviour.
    void waiting_is_bounded_only_if_set() {
        CPPUNIT_ASSERT(!parse_gateway_settings(valid_settings, errors_)->is_waiting_bounded);
        CPPUNIT_ASSERT(parse_gateway_settings(valid_settings + "[waiting]\nbounded = true\n", errors_)
                           ->is_waiting_bounded);
        CPPUNIT_ASSERT(!parse_gateway_settings(valid_settings + "[waiting]\nbounded = 1\n", errors_));
        CPPUNIT_ASSERT(errors_.front() == "line 18, [waiting] bounded: expected true or false");
    }

    void rejects_unknown_fields() {
        CPPUNIT_ASSERT(!parse_gateway_settings(valid_settings + "[policy]\nspeed = 1\n", errors_));
    }

    /** @returns valid settings with more lines in section [bounds] */
    static std::string settings_with_bounds(const std::string& lines) {
        std::string text = valid_settings;
        return text.insert(text.find("retry_extra"), lines);
    }

    void reads_the_limits_of_order_holders() {
        const auto settings = parse_gateway_settings(
            settings_with_bounds("order_lease_ms = 4500\nservers_check_fences = false\n") +
                "[limits]\nlink_mbps = 10.0\n",
            errors_);
        CPPUNIT_ASSERT(settings);
        CPPUNIT_ASSERT(settings->succession.order_lease == std::chrono::milliseconds{4500});
        CPPUNIT_ASSERT(!settings->succession.servers_check_fences);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, settings->link_mbps, 1e-9);
    }

    void reads_the_limit_of_strict_revocation() {
        const auto usual = parse_gateway_settings(valid_settings, errors_);
        CPPUNIT_ASSERT(usual && !usual->is_revocation_strict);
        CPPUNIT_ASSERT(usual->revocation_limit == std::chrono::seconds{5});
        const auto strict = parse_gateway_settings(
            settings_with_bounds("revocation_strict = true\nrevocation_limit_ms = 2000\n"), errors_);
        CPPUNIT_ASSERT(strict && strict->is_revocation_strict);
        // The configuration must be read more often than the keys become too old.
        CPPUNIT_ASSERT(strict->configuration_reading_limit() == std::chrono::seconds{2});
        CPPUNIT_ASSERT(!parse_gateway_settings(settings_with_bounds("revocation_limit_ms = 0\n"), errors_));
        CPPUNIT_ASSERT(errors_.front().rfind("line 12, [bounds] revocation_limit_ms", 0) == 0);
    }

    void reports_a_flag_that_is_neither_true_nor_false() {
        CPPUNIT_ASSERT(
            !parse_gateway_settings(settings_with_bounds("servers_check_fences = yes\n"), errors_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, errors_.size());
        CPPUNIT_ASSERT(errors_.front() == "line 12, [bounds] servers_check_fences: expected true or false");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_settings_test);

} // namespace
} // namespace lovageledge
