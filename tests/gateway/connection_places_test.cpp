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
    CPPUNIT_TEST(response_on_its_way_is_not_cut_for_a_new_connection);
    CPPUNIT_TEST(connections_that_gave_way_with_a_request_do_not_exceed_the_limit);
    CPPUNIT_TEST(new_connection_without_a_place_is_refused_as_not_run);
    CPPUNIT_TEST(refused_connections_are_few_at_a_time);
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

    // The kept connection that had waited longest was reset with most of its response in the kernel.
    void response_on_its_way_is_not_cut_for_a_new_connection() {
        const std::string large(40'000, 'r');
        http_limits limits;
        limits.connections = 2;
        limits.socket_buffer_bytes = std::uint32_t{16} * 1024;
        start(limits, 1, [&](http_exchange& exchange) -> asio::awaitable<void> {
            std::string body = exchange.path() == "/large" ? large : "whole";
            co_await exchange.respond(200, std::move(body));
        });
        asio::ip::tcp::socket socket{caller_context_};
        socket.open(asio::ip::tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size{4096});
        socket.connect({asio::ip::address_v4::loopback(), server_->port()});
        blocking_connection slow{std::move(socket)};
        slow.write("GET /large HTTP/1.1\r\nHost: test\r\n\r\n");
        std::this_thread::sleep_for(milliseconds{50}); // Until the kernel has all of the response.
        blocking_connection kept = connect_and_ask_once();
        blocking_connection other = connect_and_ask_once();
        const std::string response = slow.read_message();
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} bytes", response.size()), response.size() > large.size());
        CPPUNIT_ASSERT_EQUAL(std::string{}, kept.read_all());
    }

    // Each connection whose request arrived as it gave way was one more than the limit from then on.
    void connections_that_gave_way_with_a_request_do_not_exceed_the_limit() {
        constexpr std::uint32_t limit = 4;
        std::promise<void> chosen;
        std::promise<void> sent;
        std::once_flag is_first;
        std::atomic<std::uint32_t> most{0};
        http_limits limits;
        limits.connections = limit;
        limits.on_closed = [&](const char*) {
            std::call_once(is_first, [&] {
                chosen.set_value();
                sent.get_future().wait();
            });
        };
        start(limits, 1, [&](http_exchange& exchange) -> asio::awaitable<void> {
            most = std::max<std::uint32_t>(most, server_->connections());
            co_await exchange.respond(200, "whole");
        });
        std::vector<blocking_connection> callers;
        for (std::uint32_t i = 0; i < limit; ++i) {
            callers.push_back(connect_and_ask_once());
        }
        std::this_thread::sleep_for(milliseconds{50}); // Until all wait for their next request.
        callers.push_back(connect());
        chosen.get_future().wait();
        for (std::uint32_t i = 1; i < limit; ++i) {
            callers.push_back(connect());
        }
        for (blocking_connection& caller : callers) {
            caller.write(request());
        }
        sent.set_value();
        for (blocking_connection& caller : callers) {
            assert_status(caller, 200);
        }
        CPPUNIT_ASSERT_EQUAL(limit, most.load());
        CPPUNIT_ASSERT(unanswered_.empty());
    }

    /** Starts a server with one place, which a request takes until the end. */
    blocking_connection start_full() {
        http_limits limits;
        limits.connections = 1;
        std::promise<void> begun;
        start(limits, 1, [&](http_exchange& exchange) -> asio::awaitable<void> {
            begun.set_value();
            asio::steady_timer timer{co_await asio::this_coro::executor, std::chrono::seconds{60}};
            co_await timer.async_wait(asio::use_awaitable);
            co_await exchange.respond(200, "whole");
        });
        blocking_connection busy = connect();
        busy.write(request());
        begun.get_future().wait();
        return busy;
    }

    // New connections were closed without a word, and a request on them found a reset.
    void new_connection_without_a_place_is_refused_as_not_run() {
        const blocking_connection busy = start_full();
        for (const std::size_t size : {std::size_t{4}, std::size_t{1000} * 1000}) {
            for (const int delay_ms : {0, 50}) {
                blocking_connection caller = connect();
                std::this_thread::sleep_for(milliseconds{delay_ms});
                caller.write(request(std::string(size, 'b')));
                const std::string response = caller.read_message();
                const std::string text = fmt::format("{} bytes: \"{}\"", size, response);
                CPPUNIT_ASSERT_MESSAGE(text, response.rfind("HTTP/1.1 503", 0) == 0);
                CPPUNIT_ASSERT_MESSAGE(text, response.find("Retry-After: ") != std::string::npos);
                CPPUNIT_ASSERT_MESSAGE(text, response.find("Connection: close") != std::string::npos);
                CPPUNIT_ASSERT_MESSAGE(text, response.find("not_run") != std::string::npos);
                caller.close();
            }
        }
        const std::scoped_lock lock{mutex_};
        CPPUNIT_ASSERT(unanswered_.empty());
    }

    void refused_connections_are_few_at_a_time() {
        constexpr int callers = 100;
        constexpr std::ptrdiff_t most_held = 8;
        const blocking_connection busy = start_full();
        const auto descriptors = [] {
            return std::distance(std::filesystem::directory_iterator{"/proc/self/fd"}, {});
        };
        const std::ptrdiff_t before = descriptors();
        std::vector<blocking_connection> silent;
        silent.reserve(callers);
        for (int i = 0; i < callers; ++i) {
            silent.push_back(connect());
        }
        for (blocking_connection& caller : silent) {
            assert_status(caller, 503);
        }
        std::this_thread::sleep_for(milliseconds{50}); // Until the others are closed.
        const std::ptrdiff_t held = descriptors() - before - callers;
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} held", held), held <= most_held);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_places_test);

} // namespace
} // namespace lovageledge
