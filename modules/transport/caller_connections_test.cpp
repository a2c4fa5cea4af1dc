#include "lovageledge/transport/caller_connections.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;
using stage = connection_stage;

class caller_connections_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(caller_connections_test);
    CPPUNIT_TEST(oldest_unfinished_request_goes_first);
    CPPUNIT_TEST(request_at_a_server_is_never_chosen);
    CPPUNIT_TEST(waiting_connection_goes_before_one_that_does_not_read);
    CPPUNIT_TEST(response_that_is_being_taken_is_not_cut);
    CPPUNIT_TEST(one_address_gives_way_to_others_beyond_its_share);
    CPPUNIT_TEST(one_address_beyond_its_memory_gives_way);
    CPPUNIT_TEST(single_address_may_take_all);
    CPPUNIT_TEST(closed_connections_leave_nothing);
    CPPUNIT_TEST(connection_whose_response_is_under_way_stays);
    CPPUNIT_TEST(connection_that_leaves_keeps_its_place);
    CPPUNIT_TEST(address_beyond_its_memory_has_places_left);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t memory = 1000;
    caller_connections connections_{{8, memory, 0.75}};

    static time_point at(int ms) { return time_point{} + milliseconds{ms}; }

    void open(std::uint64_t id, const std::string& address, stage state, int ms) {
        connections_.open(id, address, at(ms));
        connections_.set_stage(id, state, at(ms));
    }

public:
    // With the largest first, a caller that withheld the end of small requests held its memory for good.
    void oldest_unfinished_request_goes_first() {
        open(1, "a", stage::kept, 0);
        open(2, "a", stage::receiving, 2);
        open(3, "a", stage::silent, 1);
        CPPUNIT_ASSERT(connections_.choose_for_memory(2, at(10)) == 3);
        connections_.close(3);
        CPPUNIT_ASSERT(connections_.choose_for_memory(2, at(10)) == 2);
        connections_.close(2);
        CPPUNIT_ASSERT(connections_.choose_for_memory(std::nullopt, at(10)) == 1);
    }

    // A connection that is closed with a request at a server loses the request.
    void request_at_a_server_is_never_chosen() {
        open(1, "a", stage::serving, 0);
        CPPUNIT_ASSERT(!connections_.choose_for_memory(std::nullopt, at(100'000)));
        CPPUNIT_ASSERT(!connections_.choose_for_connection("b", at(100'000)));
        open(2, "a", stage::receiving, 1);
        CPPUNIT_ASSERT(connections_.choose_for_connection("b", at(2)) == 2);
    }

    void waiting_connection_goes_before_one_that_does_not_read() {
        open(1, "a", stage::sending, 0);
        open(2, "a", stage::kept, 5000);
        CPPUNIT_ASSERT(connections_.choose_for_memory(std::nullopt, at(6000)) == 2);
        connections_.close(2);
        CPPUNIT_ASSERT(connections_.choose_for_memory(std::nullopt, at(6000)) == 1);
    }

    void response_that_is_being_taken_is_not_cut() {
        open(1, "a", stage::sending, 0);
        CPPUNIT_ASSERT(!connections_.choose_for_memory(std::nullopt, at(100)));
        CPPUNIT_ASSERT(connections_.choose_for_memory(std::nullopt, at(600)) == 1);
    }

    // One caller's connections kept all others out.
    void one_address_gives_way_to_others_beyond_its_share() {
        open(0, "b", stage::receiving, 0);
        for (std::uint64_t id = 1; id <= 6; ++id) {
            CPPUNIT_ASSERT(!connections_.is_full_for("a"));
            open(id, "a", stage::receiving, static_cast<int>(id));
        }
        CPPUNIT_ASSERT(connections_.is_full_for("a") && !connections_.is_full_for("b"));
        CPPUNIT_ASSERT(connections_.choose_for_connection("a", at(10)) == 1);
        CPPUNIT_ASSERT(connections_.choose_for_connection("b", at(10)) == 1);
        for (std::uint64_t id = 1; id <= 6; ++id) {
            connections_.set_stage(id, stage::serving, at(11));
        }
        CPPUNIT_ASSERT(!connections_.choose_for_connection("a", at(12)));
        CPPUNIT_ASSERT(connections_.choose_for_connection("b", at(12)) == 0);
    }

    void one_address_beyond_its_memory_gives_way() {
        open(1, "b", stage::receiving, 0);
        connections_.set_held(1, memory / 5);
        open(2, "a", stage::receiving, 1);
        connections_.set_held(2, memory * 4 / 5);
        CPPUNIT_ASSERT(connections_.choose_for_memory(1, at(2)) == 2);
        CPPUNIT_ASSERT(connections_.choose_for_memory(2, at(2)) == 2);
        connections_.set_held(2, memory / 2);
        CPPUNIT_ASSERT(connections_.choose_for_memory(2, at(2)) == 1);
    }

    // Behind a balancer all callers may have the same address.
    void single_address_may_take_all() {
        for (std::uint64_t id = 1; id <= 7; ++id) {
            open(id, "a", stage::kept, 0);
        }
        CPPUNIT_ASSERT(!connections_.is_full_for("a"));
        open(8, "a", stage::kept, 0);
        CPPUNIT_ASSERT(connections_.is_full_for("a") && connections_.is_full_for("b"));
    }

    void closed_connections_leave_nothing() {
        open(1, "a", stage::kept, 0);
        open(2, "a", stage::silent, 0);
        connections_.set_held(1, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, connections_.idle());
        connections_.close(1);
        connections_.close(1);
        connections_.set_stage(1, stage::kept, at(1));
        connections_.close(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, connections_.size() + connections_.idle());
        CPPUNIT_ASSERT(!connections_.choose_for_memory(std::nullopt, at(1000)));
    }

    void connection_whose_response_is_under_way_stays() {
        open(1, "a", stage::kept, 0);
        open(2, "a", stage::kept, 10);
        CPPUNIT_ASSERT(connections_.choose_for_connection("b", at(20)) == 1);
        connections_.ask_to_leave(1);
        CPPUNIT_ASSERT(!connections_.confirm_leaving(1, true, at(20)));
        CPPUNIT_ASSERT(connections_.is_idle(1));
        CPPUNIT_ASSERT(connections_.choose_for_connection("b", at(20)) == 2);
        connections_.ask_to_leave(2);
        CPPUNIT_ASSERT(!connections_.choose_for_connection("b", at(20)));
        CPPUNIT_ASSERT(connections_.confirm_leaving(2, false, at(20)));
        // The other caller does not take its response.
        CPPUNIT_ASSERT(connections_.choose_for_connection("b", at(600)) == 1);
        connections_.ask_to_leave(1);
        CPPUNIT_ASSERT(connections_.confirm_leaving(1, true, at(600)));
    }

    // The place was given to another connection as well.
    void connection_that_leaves_keeps_its_place() {
        for (std::uint64_t id = 1; id <= 8; ++id) {
            open(id, "a", stage::kept, static_cast<int>(id));
        }
        connections_.ask_to_leave(1);
        CPPUNIT_ASSERT(connections_.is_full_for("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, connections_.idle());
        connections_.set_stage(1, stage::serving, at(20));
        CPPUNIT_ASSERT(!connections_.confirm_leaving(1, false, at(20)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, connections_.leaving());
        connections_.ask_to_leave(2);
        CPPUNIT_ASSERT(connections_.confirm_leaving(2, false, at(20)));
        CPPUNIT_ASSERT(connections_.is_full_for("a"));
        connections_.close(2);
        CPPUNIT_ASSERT(!connections_.is_full_for("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, connections_.leaving());
    }

    // Its connections would give way to a new one of its own without end.
    void address_beyond_its_memory_has_places_left() {
        open(1, "a", stage::kept, 0);
        open(2, "b", stage::kept, 0);
        connections_.set_held(1, memory);
        CPPUNIT_ASSERT(connections_.is_full_for("a"));
        CPPUNIT_ASSERT(!connections_.is_out_of_places_for("a"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_connections_test);

} // namespace
} // namespace lovageledge
