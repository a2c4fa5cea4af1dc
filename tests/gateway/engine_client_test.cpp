#include "lovageledge/service/engine_client.hpp"

#include "scripted_server.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;

/** Statuses of an engine that can't be used. */
class engine_client_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(engine_client_test);
    CPPUNIT_TEST(status_with_fields_of_other_types_does_not_stop_the_probes);
    CPPUNIT_TEST(late_second_response_is_not_taken_for_the_next_status);
    CPPUNIT_TEST_SUITE_END();

    static std::string status(const std::string& body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    /** Probes an engine twice. @returns the starts that it reported; "none" for a probe that failed */
    static std::vector<std::string> probe_twice(const scripted_server& server) {
        asio::io_context context;
        std::vector<std::string> seen;
        engine_client::callbacks handlers;
        handlers.on_status = [&](const start_id& start, const std::vector<adapter_key>&, bool) {
            seen.push_back(start.text());
        };
        handlers.on_unreachable = [&] { seen.emplace_back("none"); };
        const auto engine = std::make_shared<engine_client>(context, server_name{"engine"}, 8U,
                                                            std::chrono::seconds{1}, std::move(handlers));
        for (int i = 0; i < 2; ++i) {
            engine->probe({server_name{"engine"}, server.address(), false});
            context.restart();
            context.run_for(milliseconds{200});
            std::this_thread::sleep_for(milliseconds{100}); // A late response arrives.
        }
        return seen;
    }

public:
    // The exception ended the loop over the orders: the engine was never probed again.
    void status_with_fields_of_other_types_does_not_stop_the_probes() {
        for (const char* odd : {R"({"start_id":5})", R"({"start_id":"a","leaving":"no"})",
                                R"({"start_id":"a","loaded":"x"})", R"({"start_id":"a","loaded":[1]})"}) {
            std::atomic<int> statuses{0};
            const scripted_server server{[&](blocking_connection& connection, int) {
                while (!connection.read_message().empty()) {
                    connection.write(status(++statuses == 1 ? odd : R"({"start_id":"a"})"));
                }
            }};
            CPPUNIT_ASSERT((std::vector<std::string>{"none", "a"}) == probe_twice(server));
        }
    }

    // A repeated status of the engine was taken for the current one.
    void late_second_response_is_not_taken_for_the_next_status() {
        const scripted_server server{[](blocking_connection& connection, int number) {
            while (!connection.read_message().empty()) {
                connection.write(status(R"({"start_id":")" + std::to_string(number) + R"("})"));
                std::this_thread::sleep_for(milliseconds{50});
                connection.write(status(R"({"start_id":"late"})"));
            }
        }};
        CPPUNIT_ASSERT((std::vector<std::string>{"1", "2"}) == probe_twice(server));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_client_test);

} // namespace
} // namespace lovageledge
