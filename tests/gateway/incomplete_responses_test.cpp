#include "lovageledge/transport/forwarding_connection.hpp"

#include "scripted_server.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;

/** Responses that end with their connection, while the request may still be on its way to the server. */
class incomplete_responses_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(incomplete_responses_test);
    CPPUNIT_TEST(response_is_not_complete_if_its_connection_is_reset_while_the_request_is_written);
    CPPUNIT_TEST(response_is_not_complete_if_it_ends_orderly_and_a_reset_follows);
    CPPUNIT_TEST(response_is_complete_if_the_server_reads_the_rest_of_the_request);
    CPPUNIT_TEST(response_is_not_complete_if_the_server_never_takes_the_rest_of_the_request);
    CPPUNIT_TEST(response_with_a_length_is_complete_though_the_request_was_not_taken);
    CPPUNIT_TEST(statuses_that_http_does_not_have_are_no_response);
    CPPUNIT_TEST(contradictory_framing_is_no_response);
    CPPUNIT_TEST(header_fields_hold_no_control_characters);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t upload_bytes = std::size_t{3} * 1024 * 1024;
    static constexpr std::size_t read_part_bytes = std::size_t{200} * 1024;
    static constexpr std::size_t body_bytes = 100;
    static constexpr const char* head_without_length = "HTTP/1.1 200 OK\r\n\r\n";

    /** What a caller of the connection learns of a response. */
    struct observation {
        std::optional<response_head> head;
        std::string body;
        bool is_complete = false;
        bool keeps_alive = false;
        bool has_misbehaved = false;
        error why;
    };

    static asio::awaitable<void> exchange(const scripted_server& server, std::size_t request_bytes,
                                          duration limit, observation& seen) {
        const auto connection = std::make_shared<forwarding_connection>(co_await asio::this_coro::executor);
        const bool is_open = co_await connection->open(server.address(), limit, seen.why);
        if (!is_open) {
            co_return;
        }
        const time_point deadline = std::chrono::steady_clock::now() + limit;
        connection->send("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: " + std::to_string(request_bytes) +
                             "\r\n\r\n",
                         std::make_shared<const std::string>(request_bytes, 'u'));
        seen.head = co_await connection->read_head(deadline, seen.why);
        bool is_broken = !seen.head;
        while (!is_broken && !seen.is_complete) {
            const auto part = co_await connection->read_some(deadline, seen.why);
            seen.body += part.value_or("");
            is_broken = !part;
            seen.is_complete = part && part->empty();
        }
        seen.keeps_alive = connection->keeps_alive();
        seen.has_misbehaved = connection->has_misbehaved();
        connection->abort();
    }

    /** Sends a request to a server. @returns what is seen of its response */
    static observation observe(const scripted_server& server, std::size_t request_bytes = upload_bytes,
                               duration limit = std::chrono::seconds{5}) {
        asio::io_context context;
        observation seen;
        asio::co_spawn(context, exchange(server, request_bytes, limit, seen), asio::detached);
        context.run();
        return seen;
    }

    static std::string body() { return std::string(body_bytes, 'b'); }

    /** The response of a server that answers each request at once. */
    static observation observe_response(const std::string& response) {
        const scripted_server server{[&](blocking_connection& connection, int) {
            connection.read_message();
            connection.write(response);
            connection.read_message();
        }};
        return observe(server, 0, milliseconds{400});
    }

public:
    // A part of a body was taken for a whole one: only the writing side was told of the reset.
    void response_is_not_complete_if_its_connection_is_reset_while_the_request_is_written() {
        for (const std::size_t read_bytes : {std::size_t{0}, read_part_bytes}) {
            for (const int delay_ms : {0, 1, 20, 100}) {
                const scripted_server server{[&](blocking_connection& connection, int) {
                    connection.read_bytes(read_bytes);
                    connection.write(head_without_length + body());
                    std::this_thread::sleep_for(milliseconds{delay_ms});
                    connection.reset();
                }};
                const observation seen = observe(server);
                CPPUNIT_ASSERT(!seen.is_complete);
                CPPUNIT_ASSERT(!seen.keeps_alive);
            }
        }
    }

    // The end of the stream arrives first; the server's kernel resets once more of the request arrives.
    void response_is_not_complete_if_it_ends_orderly_and_a_reset_follows() {
        const scripted_server server{[&](blocking_connection& connection, int) {
            connection.write(head_without_length + body());
            connection.end_sending();
            std::this_thread::sleep_for(milliseconds{100});
            connection.reset();
        }};
        CPPUNIT_ASSERT(!observe(server).is_complete);
    }

    void response_is_complete_if_the_server_reads_the_rest_of_the_request() {
        std::size_t received = 0;
        auto server = std::make_unique<scripted_server>([&](blocking_connection& connection, int) {
            connection.write(head_without_length + body());
            connection.end_sending();
            std::this_thread::sleep_for(milliseconds{50});
            received = connection.read_message().size();
        });
        const observation seen = observe(*server);
        server.reset(); // Waits for the script.
        CPPUNIT_ASSERT_MESSAGE(seen.why.text(), seen.is_complete);
        CPPUNIT_ASSERT_EQUAL(body(), seen.body);
        CPPUNIT_ASSERT(received > upload_bytes);
    }

    void response_is_not_complete_if_the_server_never_takes_the_rest_of_the_request() {
        const scripted_server server{[&](blocking_connection& connection, int) {
            connection.write(head_without_length + body());
            connection.end_sending();
            std::this_thread::sleep_for(milliseconds{600});
        }};
        CPPUNIT_ASSERT(!observe(server, upload_bytes, milliseconds{300}).is_complete);
    }

    void response_with_a_length_is_complete_though_the_request_was_not_taken() {
        const scripted_server server{[&](blocking_connection& connection, int) {
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + body());
            std::this_thread::sleep_for(milliseconds{50});
            connection.reset();
        }};
        const observation seen = observe(server);
        CPPUNIT_ASSERT_MESSAGE(seen.why.text(), seen.is_complete);
        CPPUNIT_ASSERT(!seen.keeps_alive);
    }

    // The status 000 of a server in trouble reached callers as an answer.
    void statuses_that_http_does_not_have_are_no_response() {
        for (const char* status : {"000", "001", "099", "101", "600", "999"}) {
            const observation seen =
                observe_response(std::string{"HTTP/1.1 "} + status + " Odd\r\nContent-Length: 2\r\n\r\nok");
            CPPUNIT_ASSERT_MESSAGE(status, !seen.head);
            CPPUNIT_ASSERT_MESSAGE(status, seen.has_misbehaved);
            CPPUNIT_ASSERT_MESSAGE(seen.why.text(),
                                   seen.why.reason.find("HTTP") != std::string::npos ||
                                       seen.why.reason.find("protocol") != std::string::npos);
        }
        for (const char* status : {"200", "299", "404", "599"}) {
            const observation seen =
                observe_response(std::string{"HTTP/1.1 "} + status + " Odd\r\nContent-Length: 2\r\n\r\nok");
            CPPUNIT_ASSERT_MESSAGE(status, seen.is_complete);
        }
    }

    void header_fields_hold_no_control_characters() {
        for (const std::string& field :
             {std::string{"X-A: a\rX-Hold: b"}, std::string{"X-A: a\nX-Hold: b"}, std::string{"X-A: a\0b", 8},
              std::string{"X-A: a\x01"}, std::string{"X-A: a\x7f"}, std::string{"X-A: a\r\n\tfolded"},
              std::string{"X A: a"}, std::string{"X-A\r: a"}}) {
            const observation seen =
                observe_response("HTTP/1.1 200 OK\r\n" + field + "\r\nContent-Length: 2\r\n\r\nok");
            for (const http_header& header : seen.head ? seen.head->headers : std::vector<http_header>{}) {
                const bool is_text = std::none_of(header.value.begin(), header.value.end(),
                                                  [](unsigned char c) { return c < 0x20 || c == 0x7f; });
                CPPUNIT_ASSERT_MESSAGE(field, is_text);
                CPPUNIT_ASSERT_MESSAGE(field, header.name != "X-Hold");
            }
        }
    }

    // What such a body is depends on which of its fields is believed.
    void contradictory_framing_is_no_response() {
        for (const char* fields :
             {"Content-Length: 2\r\nContent-Length: 3\r\n", "Content-Length: 2, 3\r\n",
              "Content-Length: -2\r\n", "Content-Length: +2\r\n", "Content-Length: 2x\r\n",
              "Content-Length:\r\n", "Content-Length: 99999999999999999999999\r\n",
              "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
              "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n", "Transfer-Encoding: gzip\r\n",
              "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: chunked, gzip\r\n",
              "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"}) {
            const observation seen =
                observe_response(std::string{"HTTP/1.1 200 OK\r\n"} + fields + "\r\n2\r\nok\r\n0\r\n\r\n");
            CPPUNIT_ASSERT_MESSAGE(fields, !seen.head);
            CPPUNIT_ASSERT_MESSAGE(fields, seen.has_misbehaved);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(incomplete_responses_test);

} // namespace
} // namespace lovageledge
