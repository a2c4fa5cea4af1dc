#include "lovageledge/serving/serving.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace lovageledge {
namespace {

class event_framer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(event_framer_test);
    CPPUNIT_TEST(forwards_complete_events_only);
    CPPUNIT_TEST(resumed_run_drops_the_incomplete_event);
    CPPUNIT_TEST(run_that_starts_again_is_rejected);
    CPPUNIT_TEST(run_that_leaves_events_out_is_rejected);
    CPPUNIT_TEST(last_event_may_have_a_smaller_step);
    CPPUNIT_TEST(ids_that_are_no_numbers_must_differ);
    CPPUNIT_TEST(run_without_further_events_is_complete);
    CPPUNIT_TEST(stream_is_not_resumed_after_an_id_with_control_characters);
    CPPUNIT_TEST_SUITE_END();

    event_framer framer_;

    void break_after(const std::string& events) {
        framer_.begin_run();
        CPPUNIT_ASSERT(framer_.append(events));
        framer_.begin_run();
    }

    void forwards_complete_events_only() {
        framer_.begin_run();
        CPPUNIT_ASSERT_EQUAL(std::string{"id: 1\ndata: a\n\n"},
                             *framer_.append("id: 1\ndata: a\n\nid: 2\nda"));
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, framer_.last_id());
        CPPUNIT_ASSERT_EQUAL(std::string{"id: 2\ndata: b\n\n"}, *framer_.append("ta: b\n\n"));
        framer_.append("id: 3\n");
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, framer_.last_id());
        CPPUNIT_ASSERT_EQUAL(std::string{"id: 3\n"}, *framer_.finish());
    }

    void resumed_run_drops_the_incomplete_event() {
        break_after("id: 1\n\nid: 2\nda");
        CPPUNIT_ASSERT_EQUAL(std::string{"id: 2\n\n"}, *framer_.append("id: 2\n\n"));
    }

    void run_that_starts_again_is_rejected() {
        break_after("id: 1\n\nid: 2\n\n");
        CPPUNIT_ASSERT(!framer_.append("id: 1\n\nid: 2\n\nid: 3\n\n"));
        CPPUNIT_ASSERT(!framer_.last_reason().empty());
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, framer_.last_id());
    }

    void run_that_leaves_events_out_is_rejected() {
        break_after("id: 4\n\nid: 8\n\n");
        CPPUNIT_ASSERT(!framer_.append("id: 16\n\n"));
    }

    void last_event_may_have_a_smaller_step() {
        break_after("id: 4\n\nid: 8\n\n");
        CPPUNIT_ASSERT(framer_.append("id: 10\n\n"));
    }

    void ids_that_are_no_numbers_must_differ() {
        break_after("id: a\n\nid: b\n\n");
        CPPUNIT_ASSERT(!framer_.append("id: b\n\n"));
        framer_.begin_run();
        CPPUNIT_ASSERT(framer_.append("id: c\n\n"));
    }

    void run_without_further_events_is_complete() {
        break_after("id: 1\n\n");
        CPPUNIT_ASSERT_EQUAL(std::string{}, *framer_.finish());
    }

    // The last id is sent in a header of the request that resumes the stream.
    void stream_is_not_resumed_after_an_id_with_control_characters() {
        const std::vector<std::string> ids{"2\rX-Hold: 1", std::string{"2\0", 2}, "2\x01", "2\x7f", "\r2"};
        for (const std::string& id : ids) {
            event_framer framer;
            framer.begin_run();
            const std::string events = "id: 1\n\nid: " + id + "\n\n";
            CPPUNIT_ASSERT_EQUAL_MESSAGE(id, events, framer.append(events).value_or(""));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(id, std::string{}, framer.last_id());
            framer.append("id: 3\n\n");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(id, std::string{"3"}, framer.last_id());
        }
        break_after("id: 1\n\n");
        CPPUNIT_ASSERT(!framer_.append("id: 2\x01\n\n"));
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, framer_.last_id());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_framer_test);

} // namespace
} // namespace lovageledge
