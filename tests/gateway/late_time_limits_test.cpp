#include "lovageledge/transport/forwarding_connection.hpp"
#include "lovageledge/transport/http_connection.hpp"

#include "scripted_server.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;

/** Responses that arrive in time while the process is busy, so that their time limit has passed when it
 * looks. */
class late_time_limits_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(late_time_limits_test);
    CPPUNIT_TEST(response_of_a_server_that_waits_to_be_read_is_not_given_up);
    CPPUNIT_TEST(response_of_the_store_that_waits_to_be_read_is_not_given_up);
    CPPUNIT_TEST(stream_that_waits_to_be_read_is_not_given_up);
    CPPUNIT_TEST(rest_of_a_stream_that_waits_to_be_read_is_not_given_up);
    CPPUNIT_TEST(silent_server_is_given_up);
    CPPUNIT_TEST_SUITE_END();

    static constexpr auto limit = milliseconds{250};
    static constexpr auto busy_time = milliseconds{300};
    static constexpr std::string_view response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    static constexpr std::size_t body_bytes = 2;

    asio::io_context context_;
    time_point began_;

    /** Begins the measured time, and occupies the thread from shortly before the limit on, by two handlers
       that come due before it, so that the limit waits behind the second one. */
    void begin_and_occupy() {
        began_ = std::chrono::steady_clock::now();
        for (const auto from : {limit - milliseconds{100}, limit - milliseconds{50}}) {
            const auto timer = std::make_shared<asio::steady_timer>(context_, began_ + from);
            timer->async_wait([timer](boost::system::error_code) { std::this_thread::sleep_for(busy_time); });
        }
    }

    /** A server that responds while the thread is occupied by the second handler.
        @param bytes_in_time of the response that it sends at once */
    scripted_server::script respond_late(std::size_t bytes_in_time = 0) const {
        return [this, bytes_in_time](blocking_connection& connection, int) {
            connection.read_message();
            connection.write(std::string{response}.substr(0, bytes_in_time));
            std::this_thread::sleep_until(began_ + limit + busy_time);
            connection.write(std::string{response}.substr(bytes_in_time));
            connection.read_message();
        };
    }

    template <typename Exchange>
    void run(Exchange exchange) {
        asio::co_spawn(context_, exchange, [](const std::exception_ptr& thrown) {
            if (thrown) {
                std::rethrow_exception(thrown);
            }
        });
        context_.run_for(std::chrono::seconds{3});
    }

    void check_late_stream(std::size_t bytes_in_time) {
        scripted_server server{respond_late(bytes_in_time)};
        http_connection connection{context_.get_executor()};
        std::string body;
        run([&]() -> asio::awaitable<void> {
            error why;
            const bool is_open = co_await connection.open(server.address(), std::chrono::seconds{1}, why);
            CPPUNIT_ASSERT_MESSAGE(why.text(), is_open);
            begin_and_occupy();
            bool may_have_sent = false;
            http_request request;
            const auto answer = co_await connection.exchange_stream(
                std::move(request),
                [&](std::string_view bytes) -> asio::awaitable<bool> {
                    body += bytes;
                    co_return true;
                },
                [] { return duration{limit}; }, why, may_have_sent);
            CPPUNIT_ASSERT_MESSAGE(why.text(), answer.has_value());
            connection.close();
        });
        CPPUNIT_ASSERT_EQUAL(std::string{"ok"}, body);
    }

public:
    // A server was given up, and counted as failed, while its response lay in the gateway's socket.
    void response_of_a_server_that_waits_to_be_read_is_not_given_up() {
        scripted_server server{respond_late()};
        const auto connection = std::make_shared<forwarding_connection>(context_.get_executor());
        unsigned status = 0;
        std::string body;
        run([&]() -> asio::awaitable<void> {
            error why;
            const bool is_open = co_await connection->open(server.address(), std::chrono::seconds{1}, why);
            CPPUNIT_ASSERT_MESSAGE(why.text(), is_open);
            begin_and_occupy();
            connection->send("GET / HTTP/1.1\r\n\r\n", std::make_shared<const std::string>());
            const auto head = co_await connection->read_head(began_ + limit, why);
            CPPUNIT_ASSERT_MESSAGE(why.text(), head.has_value());
            status = head->status;
            const auto part = co_await connection->read_some(time_point::max(), why);
            body = part.value_or("");
            connection->abort();
        });
        CPPUNIT_ASSERT_EQUAL(200U, status);
        CPPUNIT_ASSERT_EQUAL(std::string{"ok"}, body);
    }

    // A list of the store was given up, and read again, while the first one lay in the socket.
    void response_of_the_store_that_waits_to_be_read_is_not_given_up() {
        scripted_server server{respond_late()};
        http_connection connection{context_.get_executor()};
        unsigned status = 0;
        run([&]() -> asio::awaitable<void> {
            error why;
            const bool is_open = co_await connection.open(server.address(), std::chrono::seconds{1}, why);
            CPPUNIT_ASSERT_MESSAGE(why.text(), is_open);
            begin_and_occupy();
            bool may_have_sent = false;
            http_request request;
            const auto answer = co_await connection.exchange(std::move(request), limit, why, may_have_sent);
            CPPUNIT_ASSERT_MESSAGE(why.text(), answer.has_value());
            status = answer->status;
            connection.close();
        });
        CPPUNIT_ASSERT_EQUAL(200U, status);
    }

    // An engine's stream was given up, and its request ended as unknown, while it lay in the socket.
    void stream_that_waits_to_be_read_is_not_given_up() { check_late_stream(0); }
    void rest_of_a_stream_that_waits_to_be_read_is_not_given_up() {
        check_late_stream(response.size() - body_bytes);
    }

    void silent_server_is_given_up() {
        scripted_server server{[](blocking_connection& connection, int) {
            while (!connection.read_message().empty()) {
            }
        }};
        const auto connection = std::make_shared<forwarding_connection>(context_.get_executor());
        bool has_ended = false;
        run([&]() -> asio::awaitable<void> {
            error why;
            co_await connection->open(server.address(), std::chrono::seconds{1}, why);
            began_ = std::chrono::steady_clock::now();
            connection->send("GET / HTTP/1.1\r\n\r\n", std::make_shared<const std::string>());
            const auto head = co_await connection->read_head(began_ + limit, why);
            CPPUNIT_ASSERT(!head);
            CPPUNIT_ASSERT(std::chrono::steady_clock::now() - began_ < 2 * limit);
            CPPUNIT_ASSERT(connection->is_aborted());
            has_ended = true;
        });
        CPPUNIT_ASSERT(has_ended);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(late_time_limits_test);

} // namespace
} // namespace lovageledge
