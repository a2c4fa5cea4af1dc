#include "lovageledge/gateway/unanswered_requests.hpp"
#include "lovageledge/transport/http_server.hpp"

#include "scripted_server.hpp"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <mutex>
#include <spdlog/fmt/fmt.h>
#include <thread>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;

/** Requests that arrive while a connection is about to be closed, or while the server looks away. */
class unanswered_requests_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(unanswered_requests_test);
    CPPUNIT_TEST(request_that_arrives_before_a_late_idle_timer_is_answered);
    CPPUNIT_TEST(request_on_a_connection_that_gives_way_is_answered);
    CPPUNIT_TEST(request_on_a_connection_without_memory_is_refused_as_not_run);
    CPPUNIT_TEST(raised_idle_limit_holds_for_connections_that_wait);
    CPPUNIT_TEST(request_that_is_complete_when_its_late_time_limit_is_noticed_is_answered);
    CPPUNIT_TEST(request_on_a_connection_that_a_stop_closes_is_answered);
    CPPUNIT_TEST(request_that_arrives_with_the_end_of_a_response_is_answered_during_a_stop);
    CPPUNIT_TEST(request_that_is_not_complete_in_time_gets_408);
    CPPUNIT_TEST(cancelled_wait_is_not_taken_for_the_callers_leaving);
    CPPUNIT_TEST(callers_that_wait_are_not_taken_for_gone_with_several_threads);
    CPPUNIT_TEST(callers_leaving_is_noticed);
    CPPUNIT_TEST(stream_that_there_is_no_memory_for_gets_an_answer);
    CPPUNIT_TEST(part_of_a_request_on_a_connection_that_gives_way_is_reported);
    CPPUNIT_TEST(connection_that_stays_idle_is_closed);
    CPPUNIT_TEST(many_at_once_are_counted_and_few_are_logged);
    CPPUNIT_TEST_SUITE_END();

    static constexpr auto idle_timeout = milliseconds{300};

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

    blocking_connection connect() { return connect_to(caller_context_, server_->port()); }

    static std::string request(const std::string& body = "body") {
        return fmt::format("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: {}\r\n\r\n{}", body.size(),
                           body);
    }

    /** Opens a connection and leaves it waiting for its second request. */
    blocking_connection connect_and_ask_once() {
        blocking_connection caller = connect();
        caller.write(request());
        assert_answered(caller);
        return caller;
    }

    static void assert_answered(blocking_connection& caller) {
        const std::string response = caller.read_message();
        CPPUNIT_ASSERT_MESSAGE("\"" + response + "\"", response.rfind("HTTP/1.1 200", 0) == 0);
    }

    /** Runs a function on the server's thread at a time. */
    void at(time_point time, std::function<void()> function) {
        const auto timer = std::make_shared<asio::steady_timer>(context_, time);
        timer->async_wait([timer, function = std::move(function)](boost::system::error_code) { function(); });
    }

public:
    void tearDown() override {
        context_.stop();
        for (std::thread& thread : threads_) {
            thread.join();
        }
    }

    // A request whose idle timer ended while the process was busy found its connection reset (incident LOST).
    void request_that_arrives_before_a_late_idle_timer_is_answered() {
        http_limits limits;
        limits.idle_timeout = idle_timeout;
        start(limits);
        blocking_connection caller = connect_and_ask_once();
        // The second function and the idle timer are due when the first one ends, so that the server looks
        // for input before the second one only.
        std::promise<void> looks_away;
        std::promise<void> sent;
        const time_point now = std::chrono::steady_clock::now();
        at(now + milliseconds{150}, [] { std::this_thread::sleep_for(idle_timeout); });
        at(now + milliseconds{200}, [&] {
            looks_away.set_value();
            sent.get_future().wait();
        });
        looks_away.get_future().wait();
        caller.write(request());
        std::this_thread::sleep_for(milliseconds{50});
        sent.set_value();
        assert_answered(caller);
    }

    // A kept connection was closed for a new one although its next request had arrived.
    void request_on_a_connection_that_gives_way_is_answered() {
        std::promise<void> chosen;
        std::promise<void> sent;
        http_limits limits;
        limits.connections = 1;
        limits.on_closed = [&](const char*) {
            chosen.set_value();
            sent.get_future().wait();
        };
        start(limits);
        blocking_connection kept = connect_and_ask_once();
        blocking_connection other = connect();
        chosen.get_future().wait();
        kept.write(request());
        std::this_thread::sleep_for(milliseconds{50});
        sent.set_value();
        assert_answered(kept);
        other.write(request());
        assert_answered(other);
    }

    // The next request of a connection that gave way for lack of memory was read and not answered.
    void request_on_a_connection_without_memory_is_refused_as_not_run() {
        std::promise<void> chosen;
        std::promise<void> sent;
        http_limits limits;
        const auto memory = std::make_shared<memory_budget>(std::size_t{200} * 1024);
        limits.memory = memory;
        limits.on_closed = [&](const char*) {
            chosen.set_value();
            sent.get_future().wait();
        };
        start(limits);
        blocking_connection kept = connect_and_ask_once();
        std::this_thread::sleep_for(milliseconds{50}); // Until it waits for its next request.
        asio::post(context_, [&] {
            memory_share other{memory, memory_use::response, [] {}};
            other.resize(memory->capacity());
        });
        chosen.get_future().wait();
        kept.write(request());
        std::this_thread::sleep_for(milliseconds{50});
        sent.set_value();
        const std::string response = kept.read_message();
        CPPUNIT_ASSERT_MESSAGE("\"" + response + "\"", response.rfind("HTTP/1.1 503", 0) == 0);
        CPPUNIT_ASSERT(response.find("Retry-After: ") != std::string::npos);
    }

    // A configuration that raised the idle limit left the connections that waited already at the former one.
    void raised_idle_limit_holds_for_connections_that_wait() {
        http_limits limits;
        limits.idle_timeout = idle_timeout;
        start(limits);
        blocking_connection caller = connect_and_ask_once();
        std::this_thread::sleep_for(milliseconds{50}); // Until it waits for its next request.
        asio::post(context_, [&] {
            http_limits raised = limits;
            raised.idle_timeout = 10 * idle_timeout;
            server_->set_limits(raised);
        });
        std::this_thread::sleep_for(2 * idle_timeout);
        caller.write(request());
        assert_answered(caller);
    }

    // The rest of a request that lay in the socket when its time limit was noticed was not looked at.
    void request_that_is_complete_when_its_late_time_limit_is_noticed_is_answered() {
        http_limits limits;
        limits.request_timeout = milliseconds{200};
        start(limits);
        blocking_connection caller = connect();
        const std::string whole = request();
        caller.write(whole.substr(0, 20));
        std::this_thread::sleep_for(milliseconds{50});
        std::promise<void> looks_away;
        asio::post(context_, [&] {
            looks_away.set_value();
            std::this_thread::sleep_for(2 * limits.request_timeout);
        });
        looks_away.get_future().wait();
        caller.write(whole.substr(20));
        assert_answered(caller);
    }

    // A planned stop closed a kept connection although its next request had arrived.
    void request_on_a_connection_that_a_stop_closes_is_answered() {
        start(http_limits{});
        blocking_connection kept = connect_and_ask_once();
        std::promise<void> sent;
        std::promise<void> stops;
        asio::post(context_, [&] {
            stops.set_value();
            sent.get_future().wait();
            server_->close_idle_connections();
        });
        stops.get_future().wait();
        kept.write(request());
        std::this_thread::sleep_for(milliseconds{50});
        sent.set_value();
        assert_answered(kept);
    }

    // A planned stop that began during a response closed the connection although the next request had
    // arrived.
    void request_that_arrives_with_the_end_of_a_response_is_answered_during_a_stop() {
        std::promise<void> sent;
        bool has_stopped = false;
        start(http_limits{}, 1, [&](http_exchange& exchange) -> asio::awaitable<void> {
            co_await exchange.respond(200, "whole");
            if (!std::exchange(has_stopped, true)) {
                server_->close_idle_connections();
                sent.get_future().wait();
            }
        });
        blocking_connection caller = connect_and_ask_once();
        caller.write(request());
        std::this_thread::sleep_for(milliseconds{50});
        sent.set_value();
        const std::string response = caller.read_message();
        CPPUNIT_ASSERT_MESSAGE("\"" + response + "\"",
                               response.find("Connection: close") != std::string::npos);
    }

    // The connection was closed without the status that http_limits::request_timeout promises.
    void request_that_is_not_complete_in_time_gets_408() {
        http_limits limits;
        limits.request_timeout = milliseconds{200};
        start(limits);
        for (const std::string& part :
             {std::string{"POST / HT"}, request().substr(0, request().size() - 1)}) {
            blocking_connection caller = connect();
            caller.write(part);
            const std::string response = caller.read_message();
            CPPUNIT_ASSERT_MESSAGE("\"" + response + "\"", response.rfind("HTTP/1.1 408", 0) == 0);
        }
    }

    // Any end of the wait for the caller's input counted as its leaving, and the request was dropped.
    void cancelled_wait_is_not_taken_for_the_callers_leaving() {
        asio::ip::tcp::acceptor acceptor{context_, {asio::ip::address_v4::loopback(), 0}};
        blocking_connection caller = connect_to(caller_context_, acceptor.local_endpoint().port());
        beast::tcp_stream stream{acceptor.accept()};
        const http_limits limits;
        http_exchange exchange{stream, {}, limits};
        bool has_left = false;
        exchange.on_close([&] { has_left = true; });
        stream.cancel();
        context_.run_for(milliseconds{50});
        CPPUNIT_ASSERT(!has_left);
        caller.close();
        context_.run_for(milliseconds{50});
        CPPUNIT_ASSERT(has_left);
    }

    // With several threads, input that had been read meanwhile ended the wait for the caller's leaving.
    void callers_that_wait_are_not_taken_for_gone_with_several_threads() {
        constexpr int threads = 4;
        constexpr int callers = 32;
        constexpr auto run_time = std::chrono::seconds{3};
        std::atomic<int> gone{0};
        start(http_limits{}, threads, [&](http_exchange& exchange) -> asio::awaitable<void> {
            exchange.on_close([&] { ++gone; });
            asio::steady_timer timer{co_await asio::this_coro::executor, milliseconds{1}};
            co_await timer.async_wait(asio::use_awaitable);
            co_await exchange.respond(200, "whole");
        });
        const time_point end = std::chrono::steady_clock::now() + run_time;
        std::atomic<int> answered{0};
        std::atomic<int> lost{0};
        std::vector<std::thread> senders;
        senders.reserve(callers);
        for (int i = 0; i < callers; ++i) {
            senders.emplace_back([&] {
                asio::io_context own_context;
                blocking_connection caller = connect_to(own_context, server_->port());
                const std::string whole = request();
                const std::size_t head = whole.find("\r\n\r\n") + 4;
                while (std::chrono::steady_clock::now() < end) {
                    caller.write(whole.substr(0, head));
                    caller.write(whole.substr(head));
                    if (caller.read_message().empty()) {
                        ++lost;
                        return;
                    }
                    ++answered;
                }
            });
        }
        for (std::thread& sender : senders) {
            sender.join();
        }
        CPPUNIT_ASSERT(answered > callers);
        CPPUNIT_ASSERT_EQUAL(0, lost.load());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("of {}", answered.load()), 0, gone.load());
    }

    void callers_leaving_is_noticed() {
        for (const bool resets : {false, true}) {
            std::promise<void> left;
            std::promise<void> begun;
            context_.restart();
            start(http_limits{}, 1, [&](http_exchange& exchange) -> asio::awaitable<void> {
                asio::steady_timer timer{co_await asio::this_coro::executor, std::chrono::seconds{5}};
                exchange.on_close([&] { timer.cancel(); });
                begun.set_value();
                boost::system::error_code code;
                co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
                CPPUNIT_ASSERT(code == asio::error::operation_aborted);
                left.set_value();
            });
            blocking_connection caller = connect();
            caller.write(request());
            begun.get_future().wait();
            resets ? caller.reset() : caller.close();
            const auto status = left.get_future().wait_for(std::chrono::seconds{2});
            CPPUNIT_ASSERT(status == std::future_status::ready);
            tearDown();
            threads_.clear();
        }
    }

    // A server had run the request, and the caller got nothing for lack of memory.
    void stream_that_there_is_no_memory_for_gets_an_answer() {
        http_limits limits;
        limits.socket_buffer_bytes = std::uint32_t{64} * 1024;
        // Enough for the request, but not for the stream's buffer beside it.
        limits.memory = std::make_shared<memory_budget>(std::size_t{200} * 1024);
        start(limits, 1, [](http_exchange& exchange) -> asio::awaitable<void> {
            const bool has_memory = exchange.reserve_stream();
            co_await exchange.respond(has_memory ? 200 : 502, "{}");
        });
        blocking_connection caller = connect();
        caller.write(request());
        const std::string response = caller.read_message();
        CPPUNIT_ASSERT_MESSAGE("\"" + response + "\"", response.rfind("HTTP/1.1 502", 0) == 0);
    }

    void part_of_a_request_on_a_connection_that_gives_way_is_reported() {
        http_limits limits;
        limits.connections = 1;
        start(limits);
        blocking_connection caller = connect_and_ask_once();
        const std::string part = request().substr(0, 20);
        caller.write(part);
        std::this_thread::sleep_for(milliseconds{50});
        blocking_connection other = connect_and_ask_once();
        CPPUNIT_ASSERT_EQUAL(std::string{}, caller.read_all());
        const std::scoped_lock lock{mutex_};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unanswered_.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"connections"}, std::string{unanswered_[0].cause});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, unanswered_[0].former_requests);
        CPPUNIT_ASSERT_EQUAL(part.size(), unanswered_[0].read_bytes + unanswered_[0].unread_bytes);
        CPPUNIT_ASSERT(unanswered_[0].connection_age >= milliseconds{50});
    }

    void connection_that_stays_idle_is_closed() {
        http_limits limits;
        limits.idle_timeout = idle_timeout;
        start(limits);
        blocking_connection caller = connect_and_ask_once();
        const time_point began = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT_EQUAL(std::string{}, caller.read_all());
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - began >= idle_timeout / 2);
        const std::scoped_lock lock{mutex_};
        CPPUNIT_ASSERT(unanswered_.empty());
    }

    void many_at_once_are_counted_and_few_are_logged() {
        constexpr int number = 1000;
        decision_log log;
        metrics counters;
        unanswered_requests unanswered{log, counters};
        const time_point now{std::chrono::seconds{100}};
        for (int i = 0; i < number; ++i) {
            unanswered.add({"idle", milliseconds{1}, 0, 0, 1}, now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, log.find("request_unanswered").size());
        unanswered.add({"memory", milliseconds{1}, 0, 0, 1}, now + std::chrono::seconds{1});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.find("cause=memory").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.find("not_logged=990").size());
        const std::string text = counters.text();
        CPPUNIT_ASSERT_MESSAGE(text, text.find("requests_unanswered_total{cause=\"idle\"} 1000") !=
                                         std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unanswered_requests_test);

} // namespace
} // namespace lovageledge
