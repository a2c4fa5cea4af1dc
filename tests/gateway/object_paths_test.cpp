#include "lovageledge/platform/object_store.hpp"
#include "lovageledge/service/platform_client.hpp"

#include "scripted_server.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <mutex>
#include <spdlog/fmt/fmt.h>

namespace lovageledge {
namespace {

/** Names of any characters in the paths of calls to a store. */
class object_paths_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(object_paths_test);
    CPPUNIT_TEST(names_are_encoded_in_paths);
    CPPUNIT_TEST(names_are_encoded_in_paths_of_instances);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char* odd_name = "a b/c?d#e%f&g+h\r\ni\u00e9";
    static constexpr const char* encoded_name = "a%20b%2Fc%3Fd%23e%25f%26g%2Bh%0D%0Ai%C3%A9";

    /** Runs a call to a store. @returns the target of each request that the store got */
    template <typename Call>
    static std::vector<std::string> targets_of(Call call) {
        std::vector<std::string> targets;
        std::mutex mutex; // Each connection has a thread.
        {
            const scripted_server server{[&](blocking_connection& connection, int) {
                for (std::string request; !(request = connection.read_message()).empty();) {
                    const std::string line = request.substr(0, request.find("\r\n"));
                    const std::scoped_lock lock{mutex};
                    targets.push_back(line.substr(line.find(' ') + 1, line.rfind(' ') - line.find(' ') - 1));
                    connection.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                }
            }};
            asio::io_context context;
            call(context, server.address());
            context.run();
        }
        return targets;
    }

    static platform_response ignore(std::uint64_t /*call*/, const platform_response& response) {
        return response;
    }

public:
    void names_are_encoded_in_paths() {
        const auto call_all = [](platform::object_store& store) -> asio::awaitable<void> {
            error why;
            co_await store.read("kind", odd_name, why);
            co_await store.write("kind", odd_name, {}, store_revision{store_era{}, 1});
        };
        std::unique_ptr<platform::object_store> store;
        const auto targets = targets_of([&](asio::io_context& context, const std::string& address) {
            store = std::make_unique<platform::object_store>(context.get_executor(), address,
                                                             std::make_shared<platform::era_monitor>());
            asio::co_spawn(context, call_all(*store), asio::detached);
            context.run();
            store.reset();
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, targets.size());
        for (const std::string& target : targets) {
            CPPUNIT_ASSERT_EQUAL(std::string{"/objects/kind/"} + encoded_name, target);
        }
    }

    void names_are_encoded_in_paths_of_instances() {
        const auto targets = targets_of([](asio::io_context& context, const std::string& address) {
            const auto client = std::make_shared<platform_client>(context, address, ignore);
            for (const auto operation : {platform_operation::get, platform_operation::put,
                                         platform_operation::watch, platform_operation::remove}) {
                client->start({1, operation, "ownership", odd_name, 3, ""});
            }
            context.run();
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, targets.size());
        const std::string path = std::string{"/objects/ownership/"} + encoded_name;
        for (const std::string& target : targets) {
            CPPUNIT_ASSERT_EQUAL(path, target.substr(0, target.find('?')));
        }
    }
};

} // namespace
} // namespace lovageledge

CPPUNIT_TEST_SUITE_REGISTRATION(lovageledge::object_paths_test);
