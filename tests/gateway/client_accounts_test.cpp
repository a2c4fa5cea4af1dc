#include "lovageledge/gateway/gateway.hpp"

#include "lovageledge/platform/wire_decoder.hpp"
#include "scripted_server.hpp"

#include <algorithm>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>
#include <sstream>
#include <thread>

namespace lovageledge {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/** A whole gateway with client accounts, with real connections; the backend server is scripted. */
class client_accounts_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(client_accounts_test);
    CPPUNIT_TEST(requests_without_a_single_known_key_get_401);
    CPPUNIT_TEST(unknown_path_gets_404_without_a_key);
    CPPUNIT_TEST(nothing_is_refused_for_its_key_before_the_configuration_is_known);
    CPPUNIT_TEST(server_gets_the_account_and_never_the_callers_headers);
    CPPUNIT_TEST(public_route_takes_the_account_from_a_known_key_only);
    CPPUNIT_TEST(without_accounts_the_callers_headers_are_forwarded);
    CPPUNIT_TEST(key_is_checked_for_each_request_of_a_connection);
    CPPUNIT_TEST(accepted_request_is_completed_after_its_key_is_removed);
    CPPUNIT_TEST(older_configuration_that_comes_late_brings_no_key_back);
    CPPUNIT_TEST(malformed_account_leaves_the_configuration_in_force);
    CPPUNIT_TEST(removed_key_is_used_during_an_outage_unless_revocation_is_strict);
    CPPUNIT_TEST(account_sets_the_priority);
    CPPUNIT_TEST(keys_are_never_logged);
    CPPUNIT_TEST_SUITE_END();

    /** How the server answers. */
    enum class behaviour { run, break_off };

    std::mutex mutex_;
    std::vector<std::string> received_;
    std::atomic<behaviour> behaviour_{behaviour::run};
    std::atomic<bool> holds_answers_{false};
    /** Age of the last reading of the configuration; negative if there is none. Used on the gateway's thread.
     */
    milliseconds configuration_age_{0};
    asio::io_context caller_context_;
    std::unique_ptr<scripted_server> server_;
    std::unique_ptr<asio::io_context> context_;
    std::unique_ptr<gateway> gateway_;
    std::thread thread_;

    static constexpr std::uint16_t caller_port = 20941;

    static std::string id_of(const std::string& message) {
        const std::string name = "X-Request-Id: ";
        const std::size_t start = message.find(name) + name.size();
        return message.substr(start, message.find('\r', start) - start);
    }

    void serve(blocking_connection& connection) {
        for (std::string request; !(request = connection.read_message()).empty();) {
            {
                const std::lock_guard lock{mutex_};
                received_.push_back(request);
            }
            while (holds_answers_) {
                std::this_thread::sleep_for(milliseconds{5});
            }
            const std::string id = "X-Request-Id: " + id_of(request) + "\r\n";
            if (behaviour_ == behaviour::break_off) {
                connection.reset();
                return;
            }
            connection.write("HTTP/1.1 200 OK\r\n" + id + "X-Response-Seal: s\r\nContent-Length: 0\r\n\r\n");
        }
    }

    static json route(const std::string& path, bool is_public) {
        return {{"name", path},       {"host", "test"},     {"path_prefix", path},      {"service", "pool"},
                {"kind", "unsafe"},   {"timeout_ms", 2000}, {"target_latency_ms", 500}, {"priority", 5},
                {"public", is_public}};
    }

    static json configuration(std::uint64_t version, const json& accounts) {
        return {{"version", version},
                {"routes", {route("/private/", false), route("/public/", true)}},
                {"services", json::parse(R"([{"name":"pool","engine":{"slots":4,"adapter_slots":4}}])")},
                {"tenants", accounts}};
    }

    static json account(const std::string& name, const std::string& key) {
        return {{"name", name}, {"api_keys", json::array({key})}};
    }

    static json two_accounts() { return {account("first", "key-1"), account("second", "key-2")}; }

    /** Applies a configuration as the reader of the store does. */
    void apply(const json& spec) {
        run_on_gateway([&] {
            error why;
            auto decoded = platform::decode_configuration(json::parse(spec.dump()), why);
            if (decoded) {
                gateway_->on_configuration(std::move(*decoded), "store");
            } else {
                gateway_->on_rejected_entry("configuration", why.text());
            }
        });
    }

    void run_on_gateway(const std::function<void()>& function) {
        std::atomic<bool> is_done{false};
        asio::post(*context_, [&] {
            function();
            is_done = true;
        });
        while (!is_done) {
            std::this_thread::sleep_for(milliseconds{1});
        }
    }

    void start(bool is_strict = false) {
        server_ = std::make_unique<scripted_server>(
            [this](blocking_connection& connection, int) { serve(connection); });
        gateway_settings settings;
        settings.name = instance_name{"gateway"};
        settings.data_centre = data_centre_name{"here"};
        settings.caller_address = fmt::format("127.0.0.1:{}", caller_port);
        settings.readiness_address = "127.0.0.1:20942";
        settings.peer_address = "127.0.0.1:20943";
        settings.retries.extra = 100;
        settings.is_revocation_strict = is_strict;
        platform_port port;
        port.store.configuration_age = [this]() -> std::optional<duration> {
            return configuration_age_ < milliseconds{0} ? std::nullopt
                                                        : std::optional<duration>{configuration_age_};
        };
        context_ = std::make_unique<asio::io_context>();
        gateway_ = std::make_unique<gateway>(*context_, settings, platform::make_wire_codec(), port);
        error why;
        CPPUNIT_ASSERT_MESSAGE(why.text(), gateway_->start(why));
        server_listing entry;
        entry.name = server_name{"server"};
        entry.service = pool_name{"pool"};
        entry.address = server_->address();
        entry.zone = settings.data_centre;
        entry.slots = 4;
        entry.started_at = 1;
        entry.weights.models["base"] = 1;
        gateway_->on_server(entry);
        gateway_->on_records_complete();
        thread_ = std::thread{[this] { context_->run(); }};
    }

    static std::string make_request(const std::string& path, const std::string& id,
                                    const std::string& headers) {
        return fmt::format("POST {} HTTP/1.1\r\nHost: test\r\nX-Request-Id: {}\r\nX-Model: base\r\n{}"
                           "Content-Length: 0\r\n\r\n",
                           path, id, headers);
    }

    static std::string bearer(const std::string& key) { return "Authorization: Bearer " + key + "\r\n"; }

    std::string request(const std::string& path, const std::string& headers, const std::string& id = "1") {
        blocking_connection caller = connect_to(caller_context_, caller_port);
        caller.write(make_request(path, id, headers + "Connection: close\r\n"));
        return caller.read_all();
    }

    int status_of(const std::string& path, const std::string& headers, const std::string& id = "1") {
        const std::string answer = request(path, headers, id);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.size() > 12);
        return std::stoi(answer.substr(9, 3));
    }

    std::vector<std::string> received() {
        const std::lock_guard lock{mutex_};
        return received_;
    }

    /** @returns the lines of the last request that the server received whose lower-case text starts with a
     * name */
    std::vector<std::string> received_lines(const std::string& lower_name) {
        std::vector<std::string> found;
        std::istringstream lines{received().back()};
        for (std::string line; std::getline(lines, line);) {
            std::string lower = line;
            std::transform(lower.begin(), lower.end(), lower.begin(),
                           [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
            if (lower.rfind(lower_name + ":", 0) == 0) {
                found.push_back(line.substr(0, line.find('\r')));
            }
        }
        return found;
    }

public:
    void tearDown() override {
        holds_answers_ = false;
        if (context_) {
            context_->stop();
            thread_.join();
        }
        gateway_.reset();
        context_.reset();
        server_.reset();
        received_.clear();
        behaviour_ = behaviour::run;
        configuration_age_ = milliseconds{0};
    }

    void requests_without_a_single_known_key_get_401() {
        start();
        apply(configuration(1, two_accounts()));
        const std::vector<std::string> faults{
            "",
            bearer("unknown"),
            bearer("key-1") + bearer("key-1"),
            bearer("key-1") + bearer("key-2"),
            bearer("key-1") + "authorization: Basic a2V5LTE=\r\n",
            "Authorization: Basic a2V5LTE=\r\n",
            "Authorization: key-1\r\n",
            "Authorization: Bearer\r\n",
            "Authorization: Bearer \r\n",
            "Authorization:\r\n",
            bearer("key-1,key-2"),
            bearer("KEY-1"),
            bearer("key-1 key-1"),
            "X-Tenant: first\r\n",
            "Proxy-Authorization: Bearer key-1\r\n",
            bearer(std::string(16000, 'k')),
        };
        for (const std::string& headers : faults) {
            const std::string answer = request("/private/x", headers);
            CPPUNIT_ASSERT_MESSAGE(headers.substr(0, 80) + answer, answer.rfind("HTTP/1.1 401", 0) == 0);
            CPPUNIT_ASSERT_MESSAGE(answer, answer.find("WWW-Authenticate: Bearer\r\n") != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(answer, answer.find("key-") == std::string::npos);
        }
        CPPUNIT_ASSERT(received().empty());
        CPPUNIT_ASSERT_EQUAL(200, status_of("/private/x", bearer("key-1")));
        CPPUNIT_ASSERT_EQUAL(200, status_of("/private/x", "AUTHORIZATION: bearer key-2\r\n"));
    }

    void unknown_path_gets_404_without_a_key() {
        start();
        apply(configuration(1, two_accounts()));
        CPPUNIT_ASSERT_EQUAL(404, status_of("/nowhere", ""));
        CPPUNIT_ASSERT_EQUAL(404, status_of("/nowhere", bearer("unknown")));
    }

    void nothing_is_refused_for_its_key_before_the_configuration_is_known() {
        start();
        for (const char* path : {"/private/x", "/public/x", "/nowhere"}) {
            const std::string answer = request(path, bearer("unknown"));
            CPPUNIT_ASSERT_MESSAGE(answer, answer.rfind("HTTP/1.1 503", 0) == 0);
            CPPUNIT_ASSERT_MESSAGE(answer, answer.find("Retry-After: ") != std::string::npos);
        }
    }

    void server_gets_the_account_and_never_the_callers_headers() {
        start();
        apply(configuration(1, two_accounts()));
        CPPUNIT_ASSERT_EQUAL(200, status_of("/private/x", "x-tenant: second\r\n" + bearer("key-1") +
                                                              "X-TENANT: third\r\nX-Tenant: \r\n"));
        CPPUNIT_ASSERT(received_lines("x-tenant") == std::vector<std::string>{"X-Tenant: first"});
        CPPUNIT_ASSERT(received_lines("authorization").empty());
        CPPUNIT_ASSERT(received().back().find("key-1") == std::string::npos);
    }

    void public_route_takes_the_account_from_a_known_key_only() {
        start();
        apply(configuration(1, two_accounts()));
        const std::string forged = "X-Tenant: first\r\nx-tenant: second\r\n";
        for (const std::string& headers :
             {std::string{}, forged, forged + bearer("unknown"), forged + "aUTHORIZATION: Basic eA==\r\n",
              forged + bearer("key-1") + bearer("key-1")}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(headers, 200, status_of("/public/x", headers));
            CPPUNIT_ASSERT_MESSAGE(headers, received_lines("x-tenant").empty());
            CPPUNIT_ASSERT_MESSAGE(headers, received_lines("authorization").empty());
        }
        CPPUNIT_ASSERT_EQUAL(200, status_of("/public/x", forged + bearer("key-2")));
        CPPUNIT_ASSERT(received_lines("x-tenant") == std::vector<std::string>{"X-Tenant: second"});
        CPPUNIT_ASSERT(received_lines("authorization").empty());
    }

    void without_accounts_the_callers_headers_are_forwarded() {
        start();
        apply(configuration(1, nullptr));
        CPPUNIT_ASSERT_EQUAL(200, status_of("/private/x", "X-Tenant: own\r\nAuthorization: Basic eA==\r\n"));
        CPPUNIT_ASSERT(received_lines("x-tenant") == std::vector<std::string>{"X-Tenant: own"});
        CPPUNIT_ASSERT(received_lines("authorization") ==
                       std::vector<std::string>{"Authorization: Basic eA=="});
        CPPUNIT_ASSERT_EQUAL(200, status_of("/private/x", ""));
        CPPUNIT_ASSERT(received_lines("x-tenant").empty());
    }

    void key_is_checked_for_each_request_of_a_connection() {
        start();
        apply(configuration(1, two_accounts()));
        blocking_connection caller = connect_to(caller_context_, caller_port);
        caller.write(make_request("/private/x", "1", bearer("key-1")));
        CPPUNIT_ASSERT(caller.read_message().rfind("HTTP/1.1 200", 0) == 0);
        apply(configuration(2, json::array({account("first", "key-1b"), account("second", "key-2")})));
        caller.write(make_request("/private/x", "2", bearer("key-1")));
        CPPUNIT_ASSERT(caller.read_message().rfind("HTTP/1.1 401", 0) == 0);
        caller.write(make_request("/private/x", "3", bearer("key-1b")));
        CPPUNIT_ASSERT(caller.read_message().rfind("HTTP/1.1 200", 0) == 0);
    }

    void accepted_request_is_completed_after_its_key_is_removed() {
        start();
        apply(configuration(1, two_accounts()));
        holds_answers_ = true;
        int status = 0;
        std::thread caller{[&] { status = status_of("/private/x", bearer("key-1")); }};
        while (received().empty()) {
            std::this_thread::sleep_for(milliseconds{5});
        }
        apply(configuration(2, json::array({account("second", "key-2")})));
        holds_answers_ = false;
        caller.join();
        CPPUNIT_ASSERT_EQUAL(200, status);
        CPPUNIT_ASSERT_EQUAL(401, status_of("/private/x", bearer("key-1")));
    }

    void older_configuration_that_comes_late_brings_no_key_back() {
        start();
        apply(configuration(2, json::array({account("second", "key-2")})));
        apply(configuration(1, two_accounts()));
        CPPUNIT_ASSERT_EQUAL(401, status_of("/private/x", bearer("key-1")));
        CPPUNIT_ASSERT_EQUAL(200, status_of("/private/x", bearer("key-2")));
    }

    void malformed_account_leaves_the_configuration_in_force() {
        start();
        apply(configuration(1, two_accounts()));
        json faulty = account("third", "key-3");
        faulty["priority"] = "high";
        apply(configuration(2, json::array({account("second", "key-2"), faulty})));
        CPPUNIT_ASSERT_EQUAL(200, status_of("/private/x", bearer("key-1")));
        CPPUNIT_ASSERT_EQUAL(401, status_of("/private/x", bearer("key-3")));
    }

    // The store is away, so that the gateway can't know whether a key has been removed.
    void removed_key_is_used_during_an_outage_unless_revocation_is_strict() {
        for (const bool is_strict : {false, true}) {
            start(is_strict);
            apply(configuration(1, two_accounts()));
            CPPUNIT_ASSERT_EQUAL(200, status_of("/private/x", bearer("key-1")));
            const std::size_t received_before = received().size();
            run_on_gateway([&] { configuration_age_ = milliseconds{5001}; });
            const std::string answer = request("/private/x", bearer("key-1"));
            CPPUNIT_ASSERT_MESSAGE(answer, answer.rfind(is_strict ? "HTTP/1.1 503" : "HTTP/1.1 200", 0) == 0);
            if (is_strict) {
                CPPUNIT_ASSERT_EQUAL(received_before, received().size());
                CPPUNIT_ASSERT_MESSAGE(answer, answer.find("Retry-After: ") != std::string::npos);
                CPPUNIT_ASSERT_EQUAL(503, status_of("/private/x", bearer("unknown")));
                CPPUNIT_ASSERT_EQUAL(200, status_of("/public/x", ""));
                run_on_gateway([&] { configuration_age_ = milliseconds{-1}; });
                CPPUNIT_ASSERT_EQUAL(503, status_of("/private/x", bearer("key-1")));
                run_on_gateway([&] { configuration_age_ = milliseconds{4000}; });
                CPPUNIT_ASSERT_EQUAL(200, status_of("/private/x", bearer("key-1")));
            }
            tearDown();
        }
    }

    void account_sets_the_priority() {
        start();
        json urgent = account("first", "key-1");
        urgent["priority"] = 0;
        apply(configuration(1, json::array({urgent, account("second", "key-2")})));
        CPPUNIT_ASSERT_EQUAL(200, status_of("/private/x", bearer("key-1")));
        CPPUNIT_ASSERT(received_lines("x-request-priority") ==
                       std::vector<std::string>{"X-Request-Priority: 0"});
        CPPUNIT_ASSERT_EQUAL(200, status_of("/private/x", bearer("key-2")));
        CPPUNIT_ASSERT(received_lines("x-request-priority") ==
                       std::vector<std::string>{"X-Request-Priority: 5"});
    }

    void keys_are_never_logged() {
        std::ostringstream log;
        const auto former = spdlog::default_logger();
        const auto sink = std::make_shared<spdlog::sinks::ostream_sink_mt>(log, true);
        const auto logger = std::make_shared<spdlog::logger>("test", sink);
        logger->set_level(spdlog::level::trace);
        spdlog::set_default_logger(logger);
        start();
        apply(configuration(1, json::array({account("first", "secret-1"), account("second", "secret-2")})));
        json faulty = account("first", "secret-3");
        faulty["api_keys"].push_back(7);
        apply(configuration(2, json::array({faulty})));
        apply(configuration(3, json::array({account("a", "secret-4"), account("b", "secret-4")})));
        request("/private/x", bearer("secret-1"));
        request("/private/x", bearer("secret-5"));
        request("/private/x", bearer("secret-1") + bearer("secret-2"));
        request("/public/x", bearer("secret-6"));
        behaviour_ = behaviour::break_off;
        request("/private/y", bearer("secret-2"));
        tearDown();
        spdlog::set_default_logger(former);
        CPPUNIT_ASSERT_MESSAGE(log.str(), log.str().find("request_finished") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(log.str(), log.str().find("api_keys") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(log.str(), log.str().find("secret") == std::string::npos);
    }
};

} // namespace
} // namespace lovageledge

CPPUNIT_TEST_SUITE_REGISTRATION(lovageledge::client_accounts_test);
