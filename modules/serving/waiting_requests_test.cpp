#include "lovageledge/serving/serving.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class waiting_requests_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(waiting_requests_test);
    CPPUNIT_TEST(more_important_request_goes_first);
    CPPUNIT_TEST(request_that_waited_for_half_of_its_time_moves_up_by_one_rank);
    CPPUNIT_TEST(late_request_goes_after_those_that_can_be_in_time);
    CPPUNIT_TEST(account_that_was_served_least_goes_first);
    CPPUNIT_TEST(caller_that_returns_as_told_goes_first);
    CPPUNIT_TEST(request_waits_for_several_engines_at_once);
    CPPUNIT_TEST_SUITE_END();

    const time_point now_{seconds{100}};
    const server_name engine_{"e1"};
    waiting_requests queue_;

    waiting_request make(std::uint32_t rank, const std::string& account = "") const {
        waiting_request request;
        request.rank = rank;
        request.account = account_name{account};
        request.arrived = now_;
        request.target = now_ + seconds{1};
        request.deadline = now_ + seconds{5};
        request.servers = {engine_};
        request.unread_tokens = 100;
        return request;
    }

    void more_important_request_goes_first() {
        queue_.add(make(2));
        const waiting_ticket important = queue_.add(make(1));
        CPPUNIT_ASSERT(queue_.first_at(engine_, now_) == important);
        CPPUNIT_ASSERT(queue_.is_first_at(engine_, important, now_));
        queue_.remove(important);
        CPPUNIT_ASSERT(queue_.first_at(engine_, now_) != important);
    }

    // Otherwise a rank with more demand than the engines can serve would starve all others.
    void request_that_waited_for_half_of_its_time_moves_up_by_one_rank() {
        const waiting_ticket old = queue_.add(make(2));
        waiting_request fresh = make(1);
        fresh.arrived += seconds{3};
        fresh.target = fresh.deadline = now_ + seconds{9};
        queue_.add(fresh);
        CPPUNIT_ASSERT(queue_.first_at(engine_, now_) != old);
        waiting_request* request = queue_.find(old);
        request->target = now_ + seconds{8};
        CPPUNIT_ASSERT(queue_.first_at(engine_, now_ + milliseconds{2500}) == old);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, queue_.tokens_at(engine_, now_ + milliseconds{2500}).at(1));
    }

    void late_request_goes_after_those_that_can_be_in_time() {
        waiting_request late = make(1);
        late.reading = milliseconds{1500};
        late.deadline = now_ + seconds{2};
        queue_.add(late);
        const waiting_ticket punctual = queue_.add(make(1));
        CPPUNIT_ASSERT(queue_.first_at(engine_, now_) == punctual);
    }

    // The larger account has been served more, but less relative to what it may use.
    void account_that_was_served_least_goes_first() {
        waiting_request large = make(1, "large");
        large.account_weight = 1000.0;
        queue_.add(make(1, "small"));
        const waiting_ticket first = queue_.add(large);
        queue_.on_served(account_name{"large"}, 5000, now_);
        queue_.on_served(account_name{"small"}, 1000, now_);
        CPPUNIT_ASSERT(queue_.first_at(engine_, now_) == first);
    }

    void caller_that_returns_as_told_goes_first() {
        queue_.on_refused(7, now_);
        CPPUNIT_ASSERT(!queue_.take_returned(7, now_ - seconds{1}));
        CPPUNIT_ASSERT(!queue_.take_returned(8, now_));
        queue_.add(make(1));
        waiting_request returned = make(1);
        returned.has_returned = queue_.take_returned(7, now_);
        CPPUNIT_ASSERT(returned.has_returned);
        CPPUNIT_ASSERT(!queue_.take_returned(7, now_));
        const waiting_ticket ticket = queue_.add(returned);
        CPPUNIT_ASSERT(queue_.first_at(engine_, now_) == ticket);
    }

    void request_waits_for_several_engines_at_once() {
        const server_name other{"e2"};
        const waiting_ticket ticket = queue_.add(make(1));
        queue_.set_servers(ticket, {engine_, other});
        CPPUNIT_ASSERT(queue_.first_at(other, now_) == ticket);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, queue_.tokens_at(engine_, now_).at(1));
        // It will go to one of the two only.
        const waiting_ticket next = queue_.add(make(2));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{50}, queue_.tokens_ahead(engine_, next, now_));
        queue_.set_servers(ticket, {other});
        CPPUNIT_ASSERT(queue_.first_at(engine_, now_) == next);
        queue_.remove(ticket);
        CPPUNIT_ASSERT(!queue_.first_at(other, now_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue_.by_server().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(waiting_requests_test);

} // namespace
} // namespace lovageledge
