#include "lovageledge/serving/serving.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class request_admission_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_admission_test);
    CPPUNIT_TEST(without_accounts_no_key_is_needed);
    CPPUNIT_TEST(unknown_configuration_is_refused_before_route_and_key);
    CPPUNIT_TEST(unknown_path_is_refused_before_the_key);
    CPPUNIT_TEST(only_known_keys_are_admitted);
    CPPUNIT_TEST(public_route_needs_no_key);
    CPPUNIT_TEST(priority_of_the_account_replaces_the_routes);
    CPPUNIT_TEST(outdated_keys_are_refused_except_on_public_routes);
    CPPUNIT_TEST(capped_request_is_refused_with_a_time_to_return);
    CPPUNIT_TEST(cost_is_that_of_the_stated_tokens);
    CPPUNIT_TEST(request_without_an_account_costs_nothing);
    CPPUNIT_TEST(request_that_is_refused_after_its_cap_costs_nothing);
    CPPUNIT_TEST(cost_that_is_given_back_can_be_spent_again);
    CPPUNIT_TEST(late_request_of_a_stopping_gateway_is_refused);
    CPPUNIT_TEST_SUITE_END();

    const time_point now_{std::chrono::hours{1}};
    crash_registry crashes_{3};
    usage_caps caps_{exact_caps()};
    request_admission admission_{crashes_, caps_};

    /** Without tolerance, a gateway alone can spend exactly what the cap allows in a window. */
    static cap_settings exact_caps() {
        cap_settings settings;
        settings.tolerance = 0.0;
        return settings;
    }

    static route_rule make_route(const std::string& prefix, bool is_public) {
        route_rule route;
        route.name = prefix;
        route.host = "test";
        route.path_prefix = prefix;
        route.timeout = seconds{5};
        route.priority = 3;
        route.is_public = is_public;
        route.services = {{pool_name{"pool"}, 1}};
        return route;
    }

    /** Two accounts; the first one's cap is counted in tokens. */
    static traffic_configuration make_configuration(double rate = 0.0) {
        traffic_configuration configuration;
        configuration.version = 1;
        configuration.routes = {make_route("/private/", false), make_route("/public/", true)};
        account_entry first;
        first.account.name = account_name{"first"};
        first.account.priority = 1;
        first.account.cap = {usage_cap::unit::tokens, rate, rate, 200};
        first.keys = {key_digest{"key-1"}, key_digest{"key-1b"}};
        account_entry second;
        second.account.name = account_name{"second"};
        second.keys = {key_digest{"key-2"}};
        configuration.accounts = client_accounts{{first, second}};
        return configuration;
    }

    static arriving_request make_request(const std::string& key, std::string_view path = "/private/x") {
        arriving_request request;
        request.id = request_id{"1"};
        request.host = "test";
        request.method = "POST";
        request.path = path;
        if (!key.empty()) {
            request.credentials = {caller_credentials::form::key, key};
        }
        return request;
    }

    admission_conditions at(time_point now) const {
        admission_conditions conditions;
        conditions.now = now;
        conditions.now_with_suspension = now;
        conditions.candidate = {"gateway", 1};
        return conditions;
    }

    /** @returns the status of the refusal, or 0 if the request may go on */
    static unsigned status_of(const request_decision& decision) {
        return decision.refusal ? decision.refusal->status : 0;
    }

    void without_accounts_no_key_is_needed() {
        traffic_configuration configuration = make_configuration();
        configuration.accounts = {};
        const route_table table{configuration};
        const auto with_key = admission_.decide(&table, make_request("any"), at(now_));
        CPPUNIT_ASSERT_EQUAL(0U, status_of(with_key));
        CPPUNIT_ASSERT(with_key.account == nullptr);
        admission_conditions outdated = at(now_);
        outdated.are_keys_current = false;
        CPPUNIT_ASSERT_EQUAL(0U, status_of(admission_.decide(&table, make_request(""), outdated)));
    }

    void unknown_configuration_is_refused_before_route_and_key() {
        const auto decision = admission_.decide(nullptr, make_request("", "/nowhere"), at(now_));
        CPPUNIT_ASSERT_EQUAL(503U, status_of(decision));
        CPPUNIT_ASSERT(decision.refusal->retry_after);
    }

    void unknown_path_is_refused_before_the_key() {
        const route_table table{make_configuration()};
        CPPUNIT_ASSERT_EQUAL(404U,
                             status_of(admission_.decide(&table, make_request("", "/nowhere"), at(now_))));
    }

    void only_known_keys_are_admitted() {
        const route_table table{make_configuration()};
        for (const char* key : {"key-1", "key-1b", "key-2"}) {
            const auto decision = admission_.decide(&table, make_request(key), at(now_));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(key, 0U, status_of(decision));
            CPPUNIT_ASSERT(decision.account != nullptr);
        }
        for (const std::string& key :
             {std::string{}, std::string{"key"}, std::string{"KEY-1"}, std::string{"key-1 "},
              std::string(16384, 'k'), std::string{"key-1\0", 6}}) {
            const auto decision = admission_.decide(&table, make_request(key), at(now_));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(key, 401U, status_of(decision));
            CPPUNIT_ASSERT(decision.refusal->cause == refusal_cause::credentials);
            // A constant text, which shows no part of the key.
            CPPUNIT_ASSERT_EQUAL(
                std::string{key.empty() ? "the request has no valid credentials" : "the key is not known"},
                decision.refusal->reason);
        }
        arriving_request malformed = make_request("key-1");
        malformed.credentials.presented = caller_credentials::form::malformed;
        CPPUNIT_ASSERT_EQUAL(401U, status_of(admission_.decide(&table, malformed, at(now_))));
    }

    void public_route_needs_no_key() {
        const route_table table{make_configuration()};
        for (const char* key : {"", "unknown"}) {
            const auto decision = admission_.decide(&table, make_request(key, "/public/x"), at(now_));
            CPPUNIT_ASSERT_EQUAL(0U, status_of(decision));
            CPPUNIT_ASSERT(decision.account == nullptr);
        }
        const auto known = admission_.decide(&table, make_request("key-2", "/public/x"), at(now_));
        CPPUNIT_ASSERT_EQUAL(std::string{"second"}, known.account->name.text());
    }

    void priority_of_the_account_replaces_the_routes() {
        const route_table table{make_configuration()};
        CPPUNIT_ASSERT_EQUAL(1U, admission_.decide(&table, make_request("key-1"), at(now_)).priority);
        CPPUNIT_ASSERT_EQUAL(3U, admission_.decide(&table, make_request("key-2"), at(now_)).priority);
        CPPUNIT_ASSERT_EQUAL(3U, admission_.decide(&table, make_request("", "/public/x"), at(now_)).priority);
    }

    void outdated_keys_are_refused_except_on_public_routes() {
        const route_table table{make_configuration()};
        admission_conditions outdated = at(now_);
        outdated.are_keys_current = false;
        for (const char* key : {"", "unknown", "key-1"}) {
            const auto decision = admission_.decide(&table, make_request(key), outdated);
            CPPUNIT_ASSERT_EQUAL(503U, status_of(decision));
            CPPUNIT_ASSERT(decision.refusal->retry_after);
        }
        CPPUNIT_ASSERT_EQUAL(0U,
                             status_of(admission_.decide(&table, make_request("", "/public/x"), outdated)));
        CPPUNIT_ASSERT_EQUAL(404U,
                             status_of(admission_.decide(&table, make_request("", "/nowhere"), outdated)));
    }

    /** Tokens that a single gateway without contact to others may spend in a window of 8 s at 1,000 per
       second, with a burst of 1,000. */
    static constexpr std::uint64_t window_tokens = 9000;

    /** Adopts the accounts of a configuration with a cap of 1,000 tokens per second.
        @returns a time at which all tokens of a window can be spent */
    time_point adopt_cap(const route_table& table) {
        caps_.set_registered(1);
        caps_.set_accounts(table.accounts().all(), now_);
        return now_ + seconds{20};
    }

    static arriving_request make_large_request(std::uint64_t tokens) {
        arriving_request request = make_request("key-1");
        request.tokens = tokens;
        return request;
    }

    /** Checks that nothing counts as used, by spending all that is left. */
    void assert_unused(const route_table& table, time_point now) {
        CPPUNIT_ASSERT_EQUAL(
            0U, status_of(admission_.decide(&table, make_large_request(window_tokens), at(now))));
    }

    void capped_request_is_refused_with_a_time_to_return() {
        const route_table table{make_configuration(1000.0)};
        const time_point now = adopt_cap(table);
        assert_unused(table, now);
        const auto decision = admission_.decide(&table, make_large_request(1000), at(now));
        CPPUNIT_ASSERT_EQUAL(429U, status_of(decision));
        CPPUNIT_ASSERT(decision.refusal->cause == refusal_cause::cap);
        CPPUNIT_ASSERT(decision.refusal->retry_after >= milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, decision.cost);
        CPPUNIT_ASSERT_EQUAL(0U, status_of(admission_.decide(&table, make_request("key-2"), at(now))));
    }

    void cost_is_that_of_the_stated_tokens() {
        const route_table table{make_configuration(1000.0)};
        const time_point now = adopt_cap(table);
        const auto stated = admission_.decide(&table, make_large_request(window_tokens - 200), at(now));
        CPPUNIT_ASSERT_EQUAL(window_tokens - 200, stated.cost);
        const auto without_size = admission_.decide(&table, make_request("key-1"), at(now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, without_size.cost);
        CPPUNIT_ASSERT_EQUAL(429U, status_of(admission_.decide(&table, make_request("key-1"), at(now))));
    }

    void request_without_an_account_costs_nothing() {
        const route_table table{make_configuration(1000.0)};
        const time_point now = adopt_cap(table);
        for (const char* key : {"", "key"}) {
            for (const char* path : {"/private/x", "/public/x", "/nowhere"}) {
                arriving_request request = make_request(key, path);
                request.tokens = window_tokens;
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, admission_.decide(&table, request, at(now)).cost);
            }
        }
        assert_unused(table, now);
    }

    void request_that_is_refused_after_its_cap_costs_nothing() {
        const route_table table{make_configuration(1000.0)};
        const time_point now = adopt_cap(table);
        const auto suspect = make_request_suspect("test", "POST", "/private/crashing", "");
        for (std::uint64_t i = 1; i <= 3; ++i) {
            crashes_.on_report({suspect, {i}, now - seconds{2 * i}}, now);
        }
        arriving_request crashing = make_large_request(window_tokens);
        crashing.path = "/private/crashing";
        const auto decision = admission_.decide(&table, crashing, at(now));
        CPPUNIT_ASSERT_EQUAL(503U, status_of(decision));
        CPPUNIT_ASSERT(decision.refusal->cause == refusal_cause::crashes);
        assert_unused(table, now);
    }

    void cost_that_is_given_back_can_be_spent_again() {
        const route_table table{make_configuration(1000.0)};
        const time_point now = adopt_cap(table);
        const auto decision = admission_.decide(&table, make_large_request(window_tokens), at(now));
        CPPUNIT_ASSERT_EQUAL(0U, status_of(decision));
        CPPUNIT_ASSERT_EQUAL(429U, status_of(admission_.decide(&table, make_large_request(1000), at(now))));
        admission_.give_back(decision, now);
        assert_unused(table, now);
    }

    void late_request_of_a_stopping_gateway_is_refused() {
        const route_table table{make_configuration(1000.0)};
        const time_point now = adopt_cap(table);
        admission_conditions stopping = at(now);
        stopping.accept_all_until = now - seconds{1};
        stopping.answer_until = now + seconds{2};
        const auto long_request = admission_.decide(&table, make_large_request(window_tokens), stopping);
        CPPUNIT_ASSERT_EQUAL(503U, status_of(long_request));
        arriving_request short_request = make_request("key-1");
        short_request.caller_timeout = seconds{1};
        CPPUNIT_ASSERT_EQUAL(0U, status_of(admission_.decide(&table, short_request, stopping)));
        CPPUNIT_ASSERT_EQUAL(
            0U, status_of(admission_.decide(&table, make_large_request(window_tokens - 200), at(now))));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_admission_test);

} // namespace
} // namespace lovageledge
