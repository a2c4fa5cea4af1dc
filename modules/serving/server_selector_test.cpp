#include "lovageledge/serving/serving.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class server_selector_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(server_selector_test);
    CPPUNIT_TEST(holder_in_another_region_goes_before_a_fetch);
    CPPUNIT_TEST(hot_adapter_gets_a_copy_when_its_holder_is_busy);
    CPPUNIT_TEST(rare_adapter_waits_for_its_holder);
    CPPUNIT_TEST(all_gateways_load_an_adapter_first_at_one_home);
    CPPUNIT_TEST(kept_prompt_parts_draw_requests);
    CPPUNIT_TEST(required_version_excludes_older_holders);
    CPPUNIT_TEST(server_without_base_model_or_excluded_is_not_chosen);
    CPPUNIT_TEST(failing_server_is_last);
    CPPUNIT_TEST(server_that_answers_nothing_is_avoided);
    CPPUNIT_TEST(server_that_others_avoid_is_avoided);
    CPPUNIT_TEST(equal_servers_share_the_work);
    CPPUNIT_TEST(spread_never_outweighs_a_longer_queue);
    CPPUNIT_TEST(plain_service_prefers_the_shorter_queue);
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

    selection_request work() const {
        selection_request item;
        item.service = pool_name{"pool"};
        item.weights = adapter_;
        item.adapter_slots_per_server = 9;
        item.prompt_tokens = 1000;
        return item;
    }

    std::string pick(const selection_request& item) {
        const auto choice = selector_.pick(directory_, versions_, item, now_);
        return choice ? choice->server.text() : "";
    }

    void holder_in_another_region_goes_before_a_fetch() {
        add("near", "here", false);
        add("far", "there", true);
        CPPUNIT_ASSERT_EQUAL(std::string{"far"}, pick(work()));
    }

    // The busiest adapter has a fifth of all requests: one server can't read all their prompts.
    void hot_adapter_gets_a_copy_when_its_holder_is_busy() {
        add("other", "here", false);
        add("holder", "here", true).pending_tokens = 50'000;
        selection_request item = work();
        item.demand = 84.0; // Of all gateways; seven of them see 12 each.
        CPPUNIT_ASSERT_EQUAL(std::string{"other"}, pick(item));
    }

    void rare_adapter_waits_for_its_holder() {
        add("other", "here", false);
        add("holder", "here", true).pending_tokens = 50'000;
        CPPUNIT_ASSERT_EQUAL(std::string{"holder"}, pick(work()));
    }

    void all_gateways_load_an_adapter_first_at_one_home() {
        for (int i = 0; i < 9; ++i) {
            add("s" + std::to_string(i), i % 3 == 0 ? "here" : "there", false);
        }
        const server_selector elsewhere{selector_settings{},
                                        [](const data_centre_name& name) { return name.text() == "there"; }};
        for (int i = 0; i < 50; ++i) {
            selection_request item = work();
            item.weights.adapter = "b" + std::to_string(i);
            CPPUNIT_ASSERT_EQUAL(pick(item),
                                 elsewhere.pick(directory_, versions_, item, now_)->server.text());
        }
    }

    void kept_prompt_parts_draw_requests() {
        add("first", "here", true);
        backend& second = add("second", "here", true);
        selection_request item = work();
        item.prompt_tokens = 9000;
        item.prompt_parts = {{"p1", 2500}, {"p2", 3800}, {"own", 2700}};
        server_selector::record_sent_prompt(second, item, now_);
        item.prompt_parts.back().id = "another";
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2700}, selector_.uncached_tokens(second, item, now_));
        CPPUNIT_ASSERT_EQUAL(std::string{"second"}, pick(item));
    }

    void required_version_excludes_older_holders() {
        backend& holder = add("holder", "here", true);
        versions_.on_announced(adapter_, 2, now_);
        CPPUNIT_ASSERT(server_selector::holds(holder, versions_, work(), now_));
        CPPUNIT_ASSERT(!server_selector::holds(holder, versions_, work(), now_ + seconds{5}));
        holder.listing.weights.adapters[adapter_] = 2;
        CPPUNIT_ASSERT(server_selector::holds(holder, versions_, work(), now_ + seconds{5}));
    }

    void server_without_base_model_or_excluded_is_not_chosen() {
        add("empty", "here", false).listing.weights.models.clear();
        CPPUNIT_ASSERT_EQUAL(std::string{}, pick(work()));
        add("good", "here", true);
        selection_request item = work();
        item.excluded.insert(server_name{"good"});
        CPPUNIT_ASSERT_EQUAL(std::string{}, pick(item));
    }

    void failing_server_is_last() {
        add("failing", "here", true).avoid_until = now_ + milliseconds{500};
        add("far", "there", true);
        CPPUNIT_ASSERT_EQUAL(std::string{"far"}, pick(work()));
    }

    // Its health check is good and it takes connections, but no answer ever begins.
    void server_that_answers_nothing_is_avoided() {
        add("hanging", "here", true);
        add("far", "there", true);
        directory_.on_sent(server_name{"hanging"}, now_ - seconds{3});
        CPPUNIT_ASSERT_EQUAL(std::string{"far"}, pick(work()));
        directory_.on_response_started(server_name{"hanging"}, 0, now_);
        CPPUNIT_ASSERT_EQUAL(std::string{"hanging"}, pick(work()));
    }

    void server_that_others_avoid_is_avoided() {
        add("hanging", "here", true).peer_work[instance_name{"holder"}].avoided_by = 1;
        add("far", "there", true);
        CPPUNIT_ASSERT_EQUAL(std::string{"hanging"}, pick(work()));
        directory_.find(server_name{"hanging"})->peer_work[instance_name{"holder"}].avoided_by = 2;
        CPPUNIT_ASSERT_EQUAL(std::string{"far"}, pick(work()));
    }

    // Many gateways hear the same load at the same moment.
    void equal_servers_share_the_work() {
        constexpr int requests = 300;
        constexpr int servers = 3;
        std::map<std::string, int> chosen;
        for (int i = 0; i < servers; ++i) {
            add("s" + std::to_string(i), "here", true);
        }
        for (int i = 0; i < requests; ++i) {
            selection_request item = work();
            item.id = request_id{"request-" + std::to_string(i)};
            ++chosen[pick(item)];
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
            selection_request item = work();
            item.id = request_id{"request-" + std::to_string(i)};
            CPPUNIT_ASSERT_EQUAL(std::string{"idle"}, pick(item));
        }
    }

    void plain_service_prefers_the_shorter_queue() {
        add("busy", "here", false).in_flight = 12;
        add("idle", "here", false);
        selection_request item;
        item.service = pool_name{"pool"};
        CPPUNIT_ASSERT_EQUAL(std::string{"idle"}, pick(item));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_selector_test);

} // namespace
} // namespace lovageledge
