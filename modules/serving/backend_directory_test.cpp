#include "lovageledge/serving/backend_directory.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace lovageledge {
namespace {

using std::chrono::seconds;

class backend_directory_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(backend_directory_test);
    CPPUNIT_TEST(restart_under_the_same_name_resets_the_state);
    CPPUNIT_TEST(entry_of_an_earlier_start_is_ignored);
    CPPUNIT_TEST(announced_leaving_outlasts_the_entry_in_the_list);
    CPPUNIT_TEST(pause_lasts_until_its_end_or_the_next_start);
    CPPUNIT_TEST(earliest_pause_end_is_known_if_all_servers_pause);
    CPPUNIT_TEST(returns_after_a_pause_are_spread);
    CPPUNIT_TEST(leaving_lasts_for_the_rest_of_a_start);
    CPPUNIT_TEST(base_model_in_an_entry_is_kept_while_the_holder_takes_precedence);
    CPPUNIT_TEST(older_report_of_a_holder_is_ignored);
    CPPUNIT_TEST(slots_used_by_peers_are_not_available);
    CPPUNIT_TEST(failures_increase_the_backoff_up_to_a_limit);
    CPPUNIT_TEST_SUITE_END();

    const server_name name_{"s1"};
    const adapter_ref adapter_{"base", "a1"};
    const time_point now_{seconds{100}};
    backend_directory directory_;

    server_listing listing(std::uint64_t started_at) const {
        server_listing entry;
        entry.name = name_;
        entry.service = pool_name{"pool"};
        entry.started_at = started_at;
        return entry;
    }

    void restart_under_the_same_name_resets_the_state() {
        server_listing first = listing(1);
        first.weights.models["base"] = 1;
        first.weights.adapters[adapter_] = 1;
        directory_.on_listed(first, now_);
        directory_.on_weights_reported(name_, 1, 7, first.weights, now_);
        directory_.on_listed(listing(2), now_);
        const backend& server = *directory_.find(name_);
        CPPUNIT_ASSERT(!server.listing.weights.version_of(adapter_));
        CPPUNIT_ASSERT(!server.order_sequence);
        CPPUNIT_ASSERT(server.cached_adapters.empty());
    }

    void entry_of_an_earlier_start_is_ignored() {
        directory_.on_listed(listing(2), now_);
        server_listing old = listing(1);
        old.is_leaving = true;
        CPPUNIT_ASSERT(!directory_.on_listed(old, now_));
        CPPUNIT_ASSERT(!directory_.find(name_)->is_leaving);
    }

    // After an outage of the store, entries that had expired come back.
    void announced_leaving_outlasts_the_entry_in_the_list() {
        directory_.on_listed(listing(1), now_);
        CPPUNIT_ASSERT(directory_.on_leaving(name_, 1, now_));
        CPPUNIT_ASSERT(!directory_.on_leaving(name_, 1, now_));
        CPPUNIT_ASSERT(directory_.usable_servers(pool_name{"pool"}).empty());
        directory_.on_unlisted(name_);
        directory_.on_listed(listing(1), now_);
        CPPUNIT_ASSERT(directory_.usable_servers(pool_name{"pool"}).empty());
        directory_.on_listed(listing(2), now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory_.usable_servers(pool_name{"pool"}).size());
        CPPUNIT_ASSERT(!directory_.on_leaving(name_, 1, now_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory_.usable_servers(pool_name{"pool"}).size());
    }

    void pause_lasts_until_its_end_or_the_next_start() {
        directory_.on_listed(listing(1), now_);
        CPPUNIT_ASSERT(directory_.on_pause_requested(name_, 1, now_ + seconds{5}, now_));
        CPPUNIT_ASSERT(!directory_.on_pause_requested(name_, 1, now_ + seconds{2}, now_));
        directory_.on_unlisted(name_);
        directory_.on_listed(listing(1), now_);
        CPPUNIT_ASSERT(directory_.find(name_)->is_paused(now_ + seconds{4}));
        CPPUNIT_ASSERT(!directory_.find(name_)->is_paused(now_ + seconds{5}));
        directory_.on_listed(listing(2), now_);
        CPPUNIT_ASSERT(!directory_.find(name_)->is_paused(now_));
    }

    void earliest_pause_end_is_known_if_all_servers_pause() {
        server_listing other = listing(1);
        other.name = server_name{"s2"};
        directory_.on_listed(listing(1), now_);
        directory_.on_listed(other, now_);
        directory_.on_pause_requested(name_, 1, now_ + seconds{5}, now_);
        CPPUNIT_ASSERT(!directory_.earliest_pause_end(pool_name{"pool"}, now_));
        directory_.on_pause_requested(other.name, 1, now_ + seconds{3}, now_);
        CPPUNIT_ASSERT(directory_.earliest_pause_end(pool_name{"pool"}, now_) == now_ + seconds{3});
        CPPUNIT_ASSERT(!directory_.earliest_pause_end(pool_name{"pool"}, now_ + seconds{3}));
    }

    void returns_after_a_pause_are_spread() {
        duration earliest = duration::max();
        duration latest{};
        for (int i = 0; i < 100; ++i) {
            const duration wait = spread_return(seconds{1}, request_id{std::to_string(i)});
            earliest = std::min(earliest, wait);
            latest = std::max(latest, wait);
        }
        CPPUNIT_ASSERT(earliest >= seconds{1});
        CPPUNIT_ASSERT(latest <= std::chrono::milliseconds{1250});
        CPPUNIT_ASSERT(latest - earliest > std::chrono::milliseconds{200});
    }

    void leaving_lasts_for_the_rest_of_a_start() {
        server_listing leaving = listing(1);
        leaving.is_leaving = true;
        directory_.on_listed(leaving, now_);
        directory_.on_listed(listing(1), now_);
        CPPUNIT_ASSERT(directory_.usable_servers(pool_name{"pool"}).empty());
        directory_.on_listed(listing(2), now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory_.usable_servers(pool_name{"pool"}).size());
    }

    // A base model that only the platform's entry contained was ignored while the holder's report took
    // precedence: four of nine servers that restarted under high load got no more requests.
    void base_model_in_an_entry_is_kept_while_the_holder_takes_precedence() {
        directory_.on_listed(listing(1), now_);
        directory_.on_weights_reported(name_, 1, 0, {}, now_);
        server_listing loaded = listing(1);
        loaded.weights.models["base"] = 1;
        directory_.on_listed(loaded, now_ + seconds{2});
        CPPUNIT_ASSERT(directory_.find(name_)->listing.weights.models.contains("base"));
    }

    void older_report_of_a_holder_is_ignored() {
        directory_.on_listed(listing(1), now_);
        held_weights newer;
        newer.adapters[adapter_] = 1;
        CPPUNIT_ASSERT(directory_.on_weights_reported(name_, 1, 5, newer, now_));
        CPPUNIT_ASSERT(!directory_.on_weights_reported(name_, 1, 4, {}, now_));
        CPPUNIT_ASSERT(!directory_.on_weights_reported(name_, 2, 9, {}, now_));
        CPPUNIT_ASSERT(directory_.find(name_)->listing.weights.version_of(adapter_));
    }

    void slots_used_by_peers_are_not_available() {
        server_listing entry = listing(1);
        entry.weights.adapters[adapter_] = 1;
        directory_.on_listed(entry, now_);
        backend& server = *directory_.find(name_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.available_adapter_slots(2));
        server.peer_work[instance_name{"peer"}].in_use.insert(adapter_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.available_adapter_slots(2));
        directory_.clear_peer_work(instance_name{"peer"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.available_adapter_slots(2));
    }

    void failures_increase_the_backoff_up_to_a_limit() {
        directory_.on_listed(listing(1), now_);
        directory_.on_failure(name_, now_);
        const duration first = directory_.find(name_)->avoid_until - now_;
        for (int i = 0; i < 20; ++i) {
            directory_.on_failure(name_, now_);
        }
        const duration last = directory_.find(name_)->avoid_until - now_;
        CPPUNIT_ASSERT(first < last);
        CPPUNIT_ASSERT(last <= seconds{2});
        directory_.on_success(name_);
        CPPUNIT_ASSERT(directory_.find(name_)->avoid_until < now_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_directory_test);

} // namespace
} // namespace lovageledge
