#include "lovageledge/transport/http_server.hpp"

#include "scripted_server.hpp"

#include <algorithm>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <future>
#include <mutex>
#include <spdlog/fmt/fmt.h>
#include <thread>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;

/** A server whose connections are all taken. */
class connection_places_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(connection_places_test);
    CPPUNIT_TEST(refusals_and_connections_that_give_way_with_several_threads);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context context_;
    asio::io_context caller_context_;
    std::unique_ptr<http_server> server_;
    std::vector<std::thread> threads_;
    std::mutex mutex_;
    std::vector<unanswered_request> unanswered_;

    static asio::awaitable<void> answer(http_exchange& exchange) { co_await exchange.respond(200, "whole"); }

    void start(http_limits limits, int threads = 1, http_server::handler handler = answer) {
        limits.on_unanswered = [this](const unanswered_request& request) {
            const std::scoped_lock lock{mutex_};
            unanswered_.push_back(request);
        };
        server_ = std::make_unique<http_server>(context_, limits, std::move(handler));
        error why;
        CPPUNIT_ASSERT_MESSAGE(why.text(), server_->listen("127.0.0.1:0", why));
        for (int i = 0; i < threads; ++i) {
            threads_.emplace_back([this] { context_.run(); });
        }
    }

    static std::string request(const std::string& body = "body") {
        return fmt::format("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: {}\r\n\r\n{}", body.size(),
                           body);
    }

    blocking_connection connect() { return connect_to(caller_context_, server_->port()); }

    /** Opens a connection and leaves it waiting for its second request. */
    blocking_connection connect_and_ask_once() {
        blocking_connection caller = connect();
        caller.write(request());
        assert_status(caller, 200);
        return caller;
    }

    static void assert_status(blocking_connection& caller, int status) {
        const std::string response = caller.read_message();
        CPPUNIT_ASSERT_MESSAGE("\"" + response + "\"",
                               response.rfind(fmt::format("HTTP/1.1 {}", status), 0) == 0);
    }

public:
    void tearDown() override {
        context_.stop();
        for (std::thread& thread : threads_) {
            thread.join();
        }
    }

    // Data races between the threads of a server, which the thread sanitizer reports.
    void refusals_and_connections_that_give_way_with_several_threads() {
        constexpr int threads = 4;
        constexpr int callers = 16;
        constexpr int rounds = 40;
        http_limits limits;
        limits.connections = 8;
        start(limits, threads);
        std::atomic<int> refused{0};
        std::vector<std::thread> senders;
        senders.reserve(callers);
        for (int i = 0; i < callers; ++i) {
            senders.emplace_back([this, i, &refused] {
                asio::io_context own_context;
                const bool is_malformed = i % 2 == 0;
                for (int round = 0; round < rounds; ++round) {
                    blocking_connection caller = connect_to(own_context, server_->port());
                    caller.write(is_malformed ? "malformed\r\n\r\n" : request().substr(0, 20));
                    if (is_malformed) {
                        refused += caller.read_message().rfind("HTTP/1.1 400", 0) == 0 ? 1 : 0;
                    }
                    std::this_thread::sleep_for(milliseconds{1});
                }
            });
        }
        for (std::thread& sender : senders) {
            sender.join();
        }
        CPPUNIT_ASSERT(refused > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_places_test);

} // namespace
} // namespace lovageledge
