#include "lovageledge/serving/serving.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class server_selector_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(server_selector_test);
    CPPUNIT_TEST(loaded_server_in_another_region_is_preferred_to_a_fetch);
    CPPUNIT_TEST(popular_adapter_is_loaded_again_if_its_server_is_busy);
    CPPUNIT_TEST(rare_adapter_waits_for_its_server);
    CPPUNIT_TEST(all_gateways_choose_the_same_home_for_a_first_load);
    CPPUNIT_TEST(cached_prompt_parts_attract_requests);
    CPPUNIT_TEST(required_version_excludes_servers_with_an_older_one);
    CPPUNIT_TEST(request_that_may_begin_after_the_limit_needs_the_new_version);
    CPPUNIT_TEST(server_without_base_model_or_excluded_is_not_chosen);
    CPPUNIT_TEST(failing_server_is_chosen_last);
    CPPUNIT_TEST(server_that_starts_no_response_is_avoided);
    CPPUNIT_TEST(server_avoided_by_two_other_gateways_is_avoided);
    CPPUNIT_TEST(requests_are_spread_over_equal_servers);
    CPPUNIT_TEST(spread_never_outweighs_a_longer_queue);
    CPPUNIT_TEST(plain_service_prefers_the_shorter_queue);
    CPPUNIT_TEST(server_without_allowance_is_treated_as_full);
    CPPUNIT_TEST_SUITE_END();

    const time_point now_{seconds{100}};
    const adapter_ref adapter_{"base", "a1"};
    backend_directory directory_;
    version_registry versions_;
    server_selector selector_{selector_settings{},
                              [](const data_centre_name& name) { return name.text() == "here"; }};

    backend& add(const std::string& name, const std::string& zone, bool holds_adapter) {
        server_listing entry;
        entry.name = server_name{name};
        entry.service = pool_name{"pool"};
        entry.zone = data_centre_name{zone};
        entry.slots = 4;
        entry.weights.models["base"] = 1;
        if (holds_adapter) {
            entry.weights.adapters[adapter_] = 1;
        }
        directory_.on_listed(entry, now_);
        return *directory_.find(server_name{name});
    }

    selection_request make_request() const {
        selection_request request;
        request.service = pool_name{"pool"};
        request.weights = adapter_;
        request.adapter_slots_per_server = 9;
        request.prompt_tokens = 1000;
        return request;
    }

    std::string pick(const selection_request& request) {
        const auto choice = selector_.pick(directory_, versions_, request, now_);
        return choice ? choice->server.text() : "";
    }

    void loaded_server_in_another_region_is_preferred_to_a_fetch() {
        add("near", "here", false);
        add("far", "there", true);
        CPPUNIT_ASSERT_EQUAL(std::string{"far"}, pick(make_request()));
    }

    // The most popular adapter gets a fifth of all requests: too many prompts for a single server to read.
    void popular_adapter_is_loaded_again_if_its_server_is_busy() {
        add("other", "here", false);
        add("holder", "here", true).pending_tokens = 50'000;
        selection_request request = make_request();
        request.demand = 84.0; // The estimate for seven gateways with 12 recent requests each.
        CPPUNIT_ASSERT_EQUAL(std::string{"other"}, pick(request));
    }

    void rare_adapter_waits_for_its_server() {
        add("other", "here", false);
        add("holder", "here", true).pending_tokens = 50'000;
        CPPUNIT_ASSERT_EQUAL(std::string{"holder"}, pick(make_request()));
    }

    void all_gateways_choose_the_same_home_for_a_first_load() {
        for (int i = 0; i < 9; ++i) {
            add("s" + std::to_string(i), i % 3 == 0 ? "here" : "there", false);
        }
        const server_selector remote_selector{
            selector_settings{}, [](const data_centre_name& name) { return name.text() == "there"; }};
        for (int i = 0; i < 50; ++i) {
            selection_request request = make_request();
            request.weights.adapter = "b" + std::to_string(i);
            CPPUNIT_ASSERT_EQUAL(pick(request),
                                 remote_selector.pick(directory_, versions_, request, now_)->server.text());
        }
    }

    void cached_prompt_parts_attract_requests() {
        add("first", "here", true);
        backend& second = add("second", "here", true);
        selection_request request = make_request();
        request.prompt_tokens = 9000;
        request.prompt_parts = {{"p1", 2500}, {"p2", 3800}, {"own", 2700}};
        server_selector::record_sent_prompt(second, request, now_);
        request.prompt_parts.back().id = "another";
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2700}, selector_.uncached_tokens(second, request, now_));
        CPPUNIT_ASSERT_EQUAL(std::string{"second"}, pick(request));
    }

    void required_version_excludes_servers_with_an_older_one() {
        backend& loaded = add("holder", "here", true);
        versions_.on_announced(adapter_, 2, now_);
        CPPUNIT_ASSERT(server_selector::holds(loaded, versions_, make_request(), now_));
        CPPUNIT_ASSERT(!server_selector::holds(loaded, versions_, make_request(), now_ + seconds{5}));
        loaded.listing.weights.adapters[adapter_] = 2;
        CPPUNIT_ASSERT(server_selector::holds(loaded, versions_, make_request(), now_ + seconds{5}));
    }

    // It was sent 2.1 s after the announcement and began 3 s later, after the limit of 5 s.
    void request_that_may_begin_after_the_limit_needs_the_new_version() {
        backend& loaded = add("holder", "here", true);
        versions_.on_announced(adapter_, 2, now_);
        selection_request request = make_request();
        request.longest_wait = seconds{6};
        CPPUNIT_ASSERT(!server_selector::holds(loaded, versions_, request, now_));
        request.longest_wait = seconds{3};
        CPPUNIT_ASSERT(server_selector::holds(loaded, versions_, request, now_));
        CPPUNIT_ASSERT(!server_selector::holds(loaded, versions_, request, now_ + milliseconds{2100}));
    }

    void server_without_base_model_or_excluded_is_not_chosen() {
        add("empty", "here", false).listing.weights.models.clear();
        CPPUNIT_ASSERT_EQUAL(std::string{}, pick(make_request()));
        add("good", "here", true);
        selection_request request = make_request();
        request.excluded.insert(server_name{"good"});
        CPPUNIT_ASSERT_EQUAL(std::string{}, pick(request));
    }

    void failing_server_is_chosen_last() {
        add("failing", "here", true).avoid_until = now_ + milliseconds{500};
        add("far", "there", true);
        CPPUNIT_ASSERT_EQUAL(std::string{"far"}, pick(make_request()));
    }

    // A hanging server passes its health check and accepts connections but never starts a response.
    void server_that_starts_no_response_is_avoided() {
        add("hanging", "here", true);
        add("far", "there", true);
        directory_.on_sent(server_name{"hanging"}, now_ - seconds{3});
        CPPUNIT_ASSERT_EQUAL(std::string{"far"}, pick(make_request()));
        directory_.on_response_started(server_name{"hanging"}, 0, now_);
        CPPUNIT_ASSERT_EQUAL(std::string{"hanging"}, pick(make_request()));
    }

    void server_avoided_by_two_other_gateways_is_avoided() {
        add("hanging", "here", true).peer_work[instance_name{"holder"}].avoided_by = 1;
        add("far", "there", true);
        CPPUNIT_ASSERT_EQUAL(std::string{"hanging"}, pick(make_request()));
        directory_.find(server_name{"hanging"})->peer_work[instance_name{"holder"}].avoided_by = 2;
        CPPUNIT_ASSERT_EQUAL(std::string{"far"}, pick(make_request()));
    }

    // Gateways that receive the same load report at the same time must not all choose the same server.
    void requests_are_spread_over_equal_servers() {
        constexpr int requests = 300;
        constexpr int servers = 3;
        std::map<std::string, int> chosen;
        for (int i = 0; i < servers; ++i) {
            add("s" + std::to_string(i), "here", true);
        }
        for (int i = 0; i < requests; ++i) {
            selection_request request = make_request();
            request.id = request_id{"request-" + std::to_string(i)};
            ++chosen[pick(request)];
        }
        for (const auto& [server, count] : chosen) {
            CPPUNIT_ASSERT(count > requests / servers / 2);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{servers}, chosen.size());
    }

    void spread_never_outweighs_a_longer_queue() {
        add("busy", "here", true).pending_tokens = 2000;
        add("idle", "here", true);
        for (int i = 0; i < 100; ++i) {
            selection_request request = make_request();
            request.id = request_id{"request-" + std::to_string(i)};
            CPPUNIT_ASSERT_EQUAL(std::string{"idle"}, pick(request));
        }
    }

    void server_without_allowance_is_treated_as_full() {
        add("limited", "here", true);
        add("far", "there", true);
        selector_.set_allowance_function(
            [](const backend& server, time_point) { return server.listing.name.text() != "limited"; });
        CPPUNIT_ASSERT_EQUAL(std::string{"far"}, pick(make_request()));
        directory_.find(server_name{"far"})->pending_tokens = 50'000;
        CPPUNIT_ASSERT_EQUAL(std::string{"limited"}, pick(make_request()));
    }

    void plain_service_prefers_the_shorter_queue() {
        add("busy", "here", false).in_flight = 12;
        add("idle", "here", false);
        selection_request request;
        request.service = pool_name{"pool"};
        CPPUNIT_ASSERT_EQUAL(std::string{"idle"}, pick(request));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_selector_test);

} // namespace
} // namespace lovageledge
