#include "lovageledge/serving/adapter_planner.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** One server with two places for adapters, orders and outcomes by hand. */
class adapter_planner_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(adapter_planner_test);
    CPPUNIT_TEST(no_order_before_the_server_has_reported);
    CPPUNIT_TEST(report_is_read_only_after_its_lag);
    CPPUNIT_TEST(want_leads_to_a_load_and_a_check);
    CPPUNIT_TEST(full_server_evicts_the_least_recently_used);
    CPPUNIT_TEST(adapter_in_use_is_never_evicted);
    CPPUNIT_TEST(loaded_adapter_is_kept_for_the_request_that_waits);
    CPPUNIT_TEST(use_that_other_data_centres_tell_late_is_respected);
    CPPUNIT_TEST(eviction_that_waits_frees_no_place);
    CPPUNIT_TEST(refused_use_is_checked_by_a_report);
    CPPUNIT_TEST(places_include_loads_on_their_way);
    CPPUNIT_TEST(lost_answer_means_a_report_before_the_next_order);
    CPPUNIT_TEST(every_order_carries_the_count_it_was_decided_on);
    CPPUNIT_TEST(report_with_a_lower_count_is_trusted);
    CPPUNIT_TEST(restarted_server_gets_its_base_model_and_is_checked);
    CPPUNIT_TEST(check_of_a_base_model_needs_no_report);
    CPPUNIT_TEST(outdated_version_in_use_is_not_replaced_in_place);
    CPPUNIT_TEST(own_load_is_remembered_as_held);
    CPPUNIT_TEST_SUITE_END();

    const server_name name_{"s1"};
    time_point now_{seconds{100}};
    backend_directory directory_;
    version_registry versions_;
    adapter_planner planner_{planner_settings{}};
    std::optional<route_table> routes_;

    adapter_ref ref(const std::string& adapter) const { return {"base", adapter}; }

public:
    void setUp() override {
        traffic_configuration configuration;
        service_spec service;
        service.name = pool_name{"pool"};
        service.engine = engine_spec{};
        service.engine->adapter_slots = 2;
        service.engine->weights_mb = 100;
        service.engine->loads_per_second = 2;
        service.engine->models.push_back({"base", 90, seconds{2}, 1});
        configuration.services.push_back(service);
        routes_.emplace(configuration);
        planner_.set_usage_function(
            [](const backend& server, const adapter_ref& used) { return server.is_in_use(used); });
        list({"base"});
    }

private:
    void list(const std::vector<std::string>& models, std::uint64_t started_at = 1) {
        server_listing entry;
        entry.name = name_;
        entry.service = pool_name{"pool"};
        entry.started_at = started_at;
        for (const std::string& model : models) {
            entry.weights.models[model] = 1;
        }
        directory_.on_listed(entry, now_);
    }

    static bool is_ours(const backend&) { return true; }

    std::vector<weights_order> orders() {
        return planner_.next_orders(directory_, *routes_, versions_, is_ours, now_);
    }
    std::vector<server_name> reads() {
        return planner_.next_report_requests(directory_, *routes_, is_ours, now_);
    }

    void report(std::uint64_t sequence, const std::vector<std::string>& adapters) {
        held_weights weights;
        weights.models["base"] = 1;
        for (const std::string& adapter : adapters) {
            weights.adapters[ref(adapter)] = 1;
        }
        planner_.on_report(directory_, name_, 1, sequence, weights, {}, now_);
    }

    /** Reads the report as the caller would. */
    void begin(std::uint64_t sequence = 0, const std::vector<std::string>& adapters = {}) {
        reads();
        now_ += seconds{1};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reads().size());
        report(sequence, adapters);
    }

    void no_order_before_the_server_has_reported() {
        planner_.on_load_requested(name_, ref("a1"), now_);
        CPPUNIT_ASSERT(orders().empty());
        begin();
        planner_.on_load_requested(name_, ref("a1"), now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders().size());
    }

    // A new holder that reads at once would miss the loads that the former one ordered just before.
    void report_is_read_only_after_its_lag() {
        CPPUNIT_ASSERT(reads().empty());
        now_ += milliseconds{400};
        CPPUNIT_ASSERT(reads().empty());
        now_ += milliseconds{200};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reads().size());
    }

    void want_leads_to_a_load_and_a_check() {
        begin(4);
        planner_.on_load_requested(name_, ref("a1"), now_);
        const auto load = orders();
        CPPUNIT_ASSERT(load.at(0).operation == order_operation::load);
        CPPUNIT_ASSERT(!planner_.on_outcome(directory_, load[0], order_outcome::accepted, now_));
        CPPUNIT_ASSERT(orders().empty());
        now_ += milliseconds{300};
        const auto check = orders();
        CPPUNIT_ASSERT(check.at(0).is_check);
        CPPUNIT_ASSERT(planner_.on_outcome(directory_, check[0], order_outcome::holds, now_));
        CPPUNIT_ASSERT(directory_.find(name_)->listing.weights.version_of(ref("a1")));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, *directory_.find(name_)->order_sequence);
    }

    void full_server_evicts_the_least_recently_used() {
        begin(0, {"a1", "a2"});
        planner_.on_used(name_, ref("a1"), now_ - seconds{1});
        planner_.on_used(name_, ref("a2"), now_ - seconds{2});
        planner_.on_load_requested(name_, ref("a3"), now_);
        const auto evict = orders();
        CPPUNIT_ASSERT(evict.at(0).operation == order_operation::unload);
        CPPUNIT_ASSERT(evict[0].weights == ref("a2"));
    }

    void adapter_in_use_is_never_evicted() {
        begin(0, {"a1", "a2"});
        directory_.find(name_)->adapters_in_use[ref("a1")] = 1;
        directory_.find(name_)->peer_work[instance_name{"peer"}].in_use.insert(ref("a2"));
        planner_.on_load_requested(name_, ref("a3"), now_);
        CPPUNIT_ASSERT(orders().empty());
    }

    // Many rare adapters at once: each was evicted for the next as soon as it was there.
    void loaded_adapter_is_kept_for_the_request_that_waits() {
        begin(3, {"a1"});
        directory_.find(name_)->adapters_in_use[ref("a1")] = 1;
        planner_.on_load_requested(name_, ref("a2"), now_);
        const auto load = orders();
        planner_.on_outcome(directory_, load.at(0), order_outcome::accepted, now_);
        now_ += milliseconds{700};
        const auto check = orders();
        CPPUNIT_ASSERT(check.at(0).is_check);
        planner_.on_outcome(directory_, check[0], order_outcome::holds, now_);
        planner_.on_load_requested(name_, ref("a3"), now_);
        CPPUNIT_ASSERT(orders().empty());
    }

    // The state of a gateway and the summary of its data centre come one after the other.
    void use_that_other_data_centres_tell_late_is_respected() {
        begin(3, {"a1", "a2"});
        planner_.on_used(name_, ref("a1"), now_);
        planner_.on_used(name_, ref("a2"), now_);
        now_ += milliseconds{500};
        planner_.on_load_requested(name_, ref("a3"), now_);
        CPPUNIT_ASSERT(orders().empty());
        now_ += milliseconds{200};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders().size());
    }

    // A request that this holder has not heard of yet uses the adapter: the engine unloads it later.
    void eviction_that_waits_frees_no_place() {
        begin(3, {"a1", "a2"});
        planner_.on_load_requested(name_, ref("a3"), now_);
        const auto evict = orders();
        CPPUNIT_ASSERT(evict.at(0).operation == order_operation::unload);
        planner_.on_outcome(directory_, evict[0], order_outcome::accepted, now_);
        CPPUNIT_ASSERT(orders().empty());
        now_ += seconds{1};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reads().size());
        report(4, {"a1", "a2"});
        const auto next = orders();
        CPPUNIT_ASSERT(next.empty() || next[0].operation == order_operation::unload);
    }

    // Otherwise the holder would say again that the adapter is there, and requests would go there in vain.
    void refused_use_is_checked_by_a_report() {
        begin(3, {"a1"});
        now_ += seconds{1};
        CPPUNIT_ASSERT(planner_.on_use_refused(name_, ref("a1"), now_));
        CPPUNIT_ASSERT(orders().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reads().size());
        report(3, {});
        planner_.on_load_requested(name_, ref("a1"), now_);
        const auto load = orders();
        CPPUNIT_ASSERT(load.at(0).operation == order_operation::load);
        planner_.on_outcome(directory_, load[0], order_outcome::accepted, now_);
        CPPUNIT_ASSERT(!planner_.on_use_refused(name_, ref("a1"), now_));
    }

    void places_include_loads_on_their_way() {
        begin(0, {"a1"});
        planner_.on_load_requested(name_, ref("a2"), now_);
        planner_.on_outcome(directory_, orders().at(0), order_outcome::accepted, now_);
        directory_.find(name_)->adapters_in_use[ref("a1")] = 1;
        planner_.on_load_requested(name_, ref("a3"), now_);
        CPPUNIT_ASSERT(orders().empty());
    }

    void lost_answer_means_a_report_before_the_next_order() {
        begin();
        planner_.on_load_requested(name_, ref("a1"), now_);
        planner_.on_outcome(directory_, orders().at(0), order_outcome::unknown, now_);
        now_ += milliseconds{400};
        CPPUNIT_ASSERT(orders().empty());
        CPPUNIT_ASSERT(reads().empty());
        now_ += milliseconds{200};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reads().size());
        report(0, {});
        planner_.on_load_requested(name_, ref("a1"), now_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, *orders().at(0).expected_sequence);
    }

    // An order that is carried out late must find another count: this holds for checks as well.
    void every_order_carries_the_count_it_was_decided_on() {
        begin(3);
        planner_.on_load_requested(name_, ref("a1"), now_);
        const auto load = orders();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, load.at(0).expected_sequence.value());
        planner_.on_outcome(directory_, load[0], order_outcome::accepted, now_);
        now_ += milliseconds{300};
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, orders().at(0).expected_sequence.value());
    }

    void report_with_a_lower_count_is_trusted() {
        begin(9);
        planner_.on_load_requested(name_, ref("a1"), now_);
        planner_.on_outcome(directory_, orders().at(0), order_outcome::conflict, now_);
        now_ += seconds{1};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reads().size());
        report(8, {});
        planner_.on_load_requested(name_, ref("a1"), now_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, orders().at(0).expected_sequence.value());
    }

    std::vector<weights_order> order_base_model() {
        list({}, 2);
        reads();
        now_ += seconds{1};
        reads();
        planner_.on_report(directory_, name_, 2, 0, {}, {}, now_);
        auto order = orders();
        CPPUNIT_ASSERT(order.at(0).weights.is_base());
        planner_.on_outcome(directory_, order[0], order_outcome::accepted, now_);
        CPPUNIT_ASSERT(orders().empty());
        now_ += seconds{1};
        return orders();
    }

    void restarted_server_gets_its_base_model_and_is_checked() {
        const auto check = order_base_model();
        CPPUNIT_ASSERT(check.at(0).is_check);
        CPPUNIT_ASSERT(planner_.on_outcome(directory_, check[0], order_outcome::holds, now_));
        CPPUNIT_ASSERT(directory_.find(name_)->listing.weights.models.contains("base"));
    }

    void check_of_a_base_model_needs_no_report() {
        const auto check = order_base_model();
        planner_.on_outcome(directory_, check.at(0), order_outcome::conflict, now_);
        now_ += seconds{1};
        CPPUNIT_ASSERT(reads().empty());
        CPPUNIT_ASSERT(orders().at(0).is_check);
    }

    void outdated_version_in_use_is_not_replaced_in_place() {
        begin(0, {"a1"});
        versions_.on_announced(ref("a1"), 2, now_);
        now_ += seconds{5};
        directory_.find(name_)->adapters_in_use[ref("a1")] = 1;
        planner_.on_load_requested(name_, ref("a1"), now_);
        CPPUNIT_ASSERT(orders().empty());
        directory_.find(name_)->adapters_in_use.clear();
        planner_.on_load_requested(name_, ref("a1"), now_);
        const auto order = orders();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, order.at(0).version.value());
        CPPUNIT_ASSERT(order[0].operation == order_operation::load);
    }

    void own_load_is_remembered_as_held() {
        want_leads_to_a_load_and_a_check();
        CPPUNIT_ASSERT(directory_.find(name_)->held_before.contains(ref("a1")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(adapter_planner_test);

} // namespace
} // namespace lovageledge
