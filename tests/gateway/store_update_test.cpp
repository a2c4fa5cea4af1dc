#include "lovageledge/platform/platform_session.hpp"

#include "scripted_server.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <spdlog/fmt/fmt.h>
#include <thread>

namespace lovageledge {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/** Changes that a holder relays to a gateway whose own store connection does not answer any more. */
class store_update_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_update_test);
    CPPUNIT_TEST(relayed_configuration_is_adopted_while_a_watch_is_stuck);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint16_t caller_port = 20931;

    static json configuration(std::uint64_t version, const std::vector<std::string>& paths) {
        json routes = json::array();
        for (const std::string& path : paths) {
            routes.push_back({{"name", path},
                              {"host", "test"},
                              {"path_prefix", path},
                              {"service", "pool"},
                              {"kind", "safe"},
                              {"timeout_ms", 1000},
                              {"target_latency_ms", 100}});
        }
        return {{"version", version}, {"routes", routes}, {"services", json::array({{{"name", "pool"}}})}};
    }

    static std::string list_answer(const std::string& request) {
        json items = json::array();
        if (request.find("/objects/config ") != std::string::npos ||
            request.find("/objects/config?") != std::string::npos) {
            items.push_back(
                {{"metadata", {{"name", "main"}, {"revision", 5}}}, {"spec", configuration(1, {"/old/"})}});
        }
        const std::string body = json{{"items", items}, {"as_of", 5}, {"more_pages", false}}.dump();
        return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
    }

    static int status_of(const std::string& path) {
        asio::io_context context;
        blocking_connection caller = connect_to(context, caller_port);
        caller.write("GET " + path +
                     " HTTP/1.1\r\nHost: test\r\nX-Request-Id: 1\r\nConnection: close\r\n\r\n");
        return std::stoi(caller.read_all().substr(9, 3));
    }

    void relayed_configuration_is_adopted_while_a_watch_is_stuck() {
        std::atomic<int> stuck_watches{0};
        scripted_server store{[&](blocking_connection& connection, int) {
            for (std::string request; !(request = connection.read_message()).empty();) {
                if (request.find("watch=") != std::string::npos) {
                    ++stuck_watches;
                } else if (request.rfind("GET", 0) == 0) {
                    connection.write(list_answer(request));
                }
            }
        }};
        asio::io_context context;
        gateway_settings settings;
        settings.name = instance_name{"gateway"};
        settings.data_centre = data_centre_name{"here"};
        settings.caller_address = fmt::format("127.0.0.1:{}", caller_port);
        settings.readiness_address = "127.0.0.1:20932";
        settings.peer_address = "127.0.0.1:20933";
        platform::platform_session session{context, store.address()};
        const platform_port port = session.port();
        gateway target{context, settings, platform::make_wire_codec(), session.port()};
        error why;
        CPPUNIT_ASSERT(target.start(why));
        session.start(target);
        std::thread thread{[&] { context.run(); }};
        for (int i = 0; i < 200 && stuck_watches < 4; ++i) {
            std::this_thread::sleep_for(milliseconds{10});
        }
        platform::stored_object change;
        change.name = "main";
        change.revision = 9;
        change.spec = configuration(2, {"/old/", "/new/"});
        asio::post(context, [&] { port.store.apply({"config", 5, 9, platform::encode_changes({change})}); });
        std::this_thread::sleep_for(milliseconds{100});
        const int status = status_of("/new/x");
        context.stop();
        thread.join();
        CPPUNIT_ASSERT_EQUAL(503, status);
    }
};

} // namespace
} // namespace lovageledge

CPPUNIT_TEST_SUITE_REGISTRATION(lovageledge::store_update_test);
