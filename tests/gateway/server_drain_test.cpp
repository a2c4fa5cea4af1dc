#include "lovageledge/transport/server_drain.hpp"

#include "scripted_server.hpp"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <thread>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** The close of a server at the end of its process, with callers that connect until then. */
class server_drain_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(server_drain_test);
    CPPUNIT_TEST(requests_that_wait_in_the_listen_queue_are_answered);
    CPPUNIT_TEST(whole_listen_queue_is_accepted_before_the_listener_closes);
    CPPUNIT_TEST(request_that_follows_its_connection_is_answered);
    CPPUNIT_TEST(request_that_is_being_served_is_answered);
    CPPUNIT_TEST(kept_connection_is_closed_between_requests);
    CPPUNIT_TEST(callers_that_connect_during_the_close_are_answered);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context context_;
    asio::io_context caller_context_;
    std::unique_ptr<http_server> server_;
    std::vector<std::thread> threads_;

    static asio::awaitable<void> answer(http_exchange& exchange) { co_await exchange.respond(200, "whole"); }

    void start(int threads = 1, http_server::handler handler = answer) {
        server_ = std::make_unique<http_server>(context_, http_limits{}, std::move(handler));
        error why;
        CPPUNIT_ASSERT_MESSAGE(why.text(), server_->listen("127.0.0.1:0", why));
        for (int i = 0; i < threads; ++i) {
            threads_.emplace_back([this] { context_.run(); });
        }
    }

    asio::awaitable<void> drain() {
        server_drain closing{*server_};
        asio::steady_timer timer{co_await asio::this_coro::executor};
        while (!closing.advance(steady_clock::now())) {
            timer.expires_after(milliseconds{5});
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    std::future<void> begin_drain() { return asio::co_spawn(context_, drain(), asio::use_future); }

    static void assert_drained(const std::future<void>& drained) {
        CPPUNIT_ASSERT(drained.wait_for(std::chrono::seconds{5}) == std::future_status::ready);
    }

    static std::string request() { return "GET / HTTP/1.1\r\nHost: test\r\n\r\n"; }

    static void assert_answered(blocking_connection& caller) {
        const std::string response = caller.read_message();
        CPPUNIT_ASSERT_MESSAGE("\"" + response + "\"", response.rfind("HTTP/1.1 200", 0) == 0);
    }

public:
    void tearDown() override {
        context_.stop();
        for (std::thread& thread : threads_) {
            thread.join();
        }
    }

    void requests_that_wait_in_the_listen_queue_are_answered() {
        start();
        constexpr int callers = 20;
        std::promise<void> suspended;
        std::promise<void> sent;
        asio::post(context_, [&] {
            suspended.set_value();
            sent.get_future().wait();
        });
        suspended.get_future().wait();
        const std::future<void> drained = begin_drain();
        std::vector<blocking_connection> connections;
        for (int i = 0; i < callers; ++i) {
            connections.push_back(connect_to(caller_context_, server_->port()));
            connections.back().write(request());
        }
        sent.set_value();
        for (blocking_connection& caller : connections) {
            assert_answered(caller);
        }
        assert_drained(drained);
        CPPUNIT_ASSERT(!server_->is_accepting());
    }

    void whole_listen_queue_is_accepted_before_the_listener_closes() {
        start();
        constexpr int callers = 20;
        std::promise<void> suspended;
        std::promise<void> sent;
        asio::post(context_, [&] {
            suspended.set_value();
            sent.get_future().wait();
        });
        suspended.get_future().wait();
        std::vector<blocking_connection> connections;
        for (int i = 0; i < callers; ++i) {
            connections.push_back(connect_to(caller_context_, server_->port()));
            connections.back().write(request());
        }
        // Comes before the listener is looked at again.
        server_->accept_rest();
        sent.set_value();
        for (blocking_connection& caller : connections) {
            assert_answered(caller);
        }
        CPPUNIT_ASSERT(!server_->is_accepting());
    }

    void request_that_follows_its_connection_is_answered() {
        start();
        blocking_connection caller = connect_to(caller_context_, server_->port());
        const std::future<void> drained = begin_drain();
        std::this_thread::sleep_for(milliseconds{60});
        caller.write(request());
        assert_answered(caller);
        assert_drained(drained);
    }

    void request_that_is_being_served_is_answered() {
        std::promise<void> arrived;
        start(1, [&](http_exchange& exchange) -> asio::awaitable<void> {
            arrived.set_value();
            asio::steady_timer timer{context_, milliseconds{400}};
            co_await timer.async_wait(asio::use_awaitable);
            co_await exchange.respond(200, "whole");
        });
        blocking_connection caller = connect_to(caller_context_, server_->port());
        caller.write(request());
        arrived.get_future().wait();
        const std::future<void> drained = begin_drain();
        assert_answered(caller);
        assert_drained(drained);
    }

    void kept_connection_is_closed_between_requests() {
        start();
        blocking_connection caller = connect_to(caller_context_, server_->port());
        caller.write(request());
        assert_answered(caller);
        assert_drained(begin_drain());
        CPPUNIT_ASSERT_EQUAL(std::string{}, caller.read_message());
    }

    // A handshake that completed between the last accept and the close of the listener was reset.
    void callers_that_connect_during_the_close_are_answered() {
        start(2);
        std::atomic<int> answered{0};
        std::atomic<int> unanswered{0};
        const auto ask_until_refused = [&](std::uint16_t port) {
            asio::io_context own_context;
            for (;;) {
                asio::ip::tcp::socket socket{own_context};
                boost::system::error_code code;
                socket.connect({asio::ip::address_v4::loopback(), port}, code);
                if (code) {
                    return;
                }
                const time_point connected = steady_clock::now();
                blocking_connection caller{std::move(socket)};
                caller.write(request());
                const bool is_prompt = steady_clock::now() - connected < milliseconds{50};
                const bool has_response = !caller.read_message().empty();
                answered += has_response ? 1 : 0;
                unanswered += !has_response && is_prompt ? 1 : 0;
            }
        };
        std::vector<std::thread> callers;
        callers.reserve(4);
        for (int i = 0; i < 4; ++i) {
            callers.emplace_back(ask_until_refused, server_->port());
        }
        std::this_thread::sleep_for(milliseconds{100});
        assert_drained(begin_drain());
        for (std::thread& caller : callers) {
            caller.join();
        }
        CPPUNIT_ASSERT_EQUAL(0, unanswered.load());
        CPPUNIT_ASSERT(answered > 0);
    }
};

} // namespace
} // namespace lovageledge

CPPUNIT_TEST_SUITE_REGISTRATION(lovageledge::server_drain_test);
