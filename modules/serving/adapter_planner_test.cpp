#include "lovageledge/serving/adapter_planner.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Uses one server with two adapter slots. The tests supply the outcomes of its orders and its reports. */
class adapter_planner_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(adapter_planner_test);
    CPPUNIT_TEST(no_order_before_the_server_has_reported);
    CPPUNIT_TEST(report_is_requested_only_after_its_lag);
    CPPUNIT_TEST(load_request_causes_a_load_and_a_check);
    CPPUNIT_TEST(full_server_evicts_the_least_recently_used);
    CPPUNIT_TEST(adapter_in_use_is_never_evicted);
    CPPUNIT_TEST(loaded_adapter_is_kept_for_the_waiting_request);
    CPPUNIT_TEST(recent_use_that_is_reported_late_prevents_eviction);
    CPPUNIT_TEST(waiting_eviction_frees_no_slot);
    CPPUNIT_TEST(refused_use_requires_a_report);
    CPPUNIT_TEST(used_slots_include_loads_in_progress);
    CPPUNIT_TEST(lost_response_requires_a_report_before_the_next_order);
    CPPUNIT_TEST(report_is_due_soon_after_an_order_that_was_not_answered);
    CPPUNIT_TEST(every_order_carries_the_sequence_it_was_decided_on);
    CPPUNIT_TEST(report_with_a_lower_sequence_is_accepted);
    CPPUNIT_TEST(restarted_server_loads_its_base_model_and_is_checked);
    CPPUNIT_TEST(conflict_of_a_base_model_check_needs_no_report);
    CPPUNIT_TEST(outdated_version_in_use_is_not_replaced_in_place);
    CPPUNIT_TEST(own_load_is_recorded_as_cached);
    CPPUNIT_TEST(refused_adapter_keeps_its_place);
    CPPUNIT_TEST(refused_adapter_is_loaded_again_in_its_place);
    CPPUNIT_TEST(late_entry_frees_no_place);
    CPPUNIT_TEST(message_with_the_known_sequence_frees_no_place);
    CPPUNIT_TEST(message_with_a_higher_sequence_changes_no_expected_sequence);
    CPPUNIT_TEST(waiting_eviction_keeps_its_place_when_an_entry_omits_it);
    CPPUNIT_TEST(refused_check_keeps_the_load_in_progress);
    CPPUNIT_TEST(refused_base_model_is_not_replaced_by_another_one);
    CPPUNIT_TEST(relisted_server_gets_orders);
    CPPUNIT_TEST(outcome_for_an_unlisted_server_ends_the_wait_for_it);
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
        list_server({"base"});
    }

private:
    void list_server(const std::vector<std::string>& models, std::uint64_t started_at = 1) {
        server_listing entry;
        entry.name = name_;
        entry.service = pool_name{"pool"};
        entry.started_at = started_at;
        for (const std::string& model : models) {
            entry.weights.models[model] = 1;
        }
        directory_.on_listed(entry, now_);
    }

    static bool is_managed(const backend&) { return true; }

    std::vector<weights_order> orders() {
        return planner_.next_orders(directory_, *routes_, versions_, is_managed, now_);
    }
    std::vector<server_name> report_requests() {
        return planner_.next_report_requests(directory_, *routes_, is_managed, now_);
    }

    void report(std::uint64_t sequence, const std::vector<std::string>& adapters) {
        held_weights weights;
        weights.models["base"] = 1;
        for (const std::string& adapter : adapters) {
            weights.adapters[ref(adapter)] = 1;
        }
        planner_.on_report(directory_, name_, 1, sequence, weights, {}, now_);
    }

    /** Waits until the planner requests the server's first report, and passes the report to it. */
    void receive_first_report(std::uint64_t sequence = 0, const std::vector<std::string>& adapters = {}) {
        report_requests();
        now_ += seconds{1};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report_requests().size());
        report(sequence, adapters);
    }

    void no_order_before_the_server_has_reported() {
        planner_.on_load_requested(name_, ref("a1"), now_);
        CPPUNIT_ASSERT(orders().empty());
        receive_first_report();
        planner_.on_load_requested(name_, ref("a1"), now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders().size());
    }

    // A report that a new holder requests at once would miss the last loads of the previous holder.
    void report_is_requested_only_after_its_lag() {
        CPPUNIT_ASSERT(report_requests().empty());
        now_ += milliseconds{400};
        CPPUNIT_ASSERT(report_requests().empty());
        now_ += milliseconds{200};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report_requests().size());
    }

    void load_request_causes_a_load_and_a_check() {
        receive_first_report(4);
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
        receive_first_report(0, {"a1", "a2"});
        planner_.on_used(name_, ref("a1"), now_ - seconds{1});
        planner_.on_used(name_, ref("a2"), now_ - seconds{2});
        planner_.on_load_requested(name_, ref("a3"), now_);
        const auto evict = orders();
        CPPUNIT_ASSERT(evict.at(0).operation == order_operation::unload);
        CPPUNIT_ASSERT(evict[0].weights == ref("a2"));
    }

    void adapter_in_use_is_never_evicted() {
        receive_first_report(0, {"a1", "a2"});
        directory_.find(name_)->adapters_in_use[ref("a1")] = 1;
        directory_.find(name_)->peer_work[instance_name{"peer"}].in_use.insert(ref("a2"));
        planner_.on_load_requested(name_, ref("a3"), now_);
        CPPUNIT_ASSERT(orders().empty());
    }

    // When many rare adapters were requested at once, each was evicted for the next right after its load.
    void loaded_adapter_is_kept_for_the_waiting_request() {
        receive_first_report(3, {"a1"});
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

    // A use elsewhere is reported late: first in a gateway's state, then in its data centre's summary.
    void recent_use_that_is_reported_late_prevents_eviction() {
        receive_first_report(3, {"a1", "a2"});
        planner_.on_used(name_, ref("a1"), now_);
        planner_.on_used(name_, ref("a2"), now_);
        now_ += milliseconds{500};
        planner_.on_load_requested(name_, ref("a3"), now_);
        CPPUNIT_ASSERT(orders().empty());
        now_ += milliseconds{200};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders().size());
    }

    // A request that the holder does not know of yet uses the adapter, so the engine unloads it later.
    void waiting_eviction_frees_no_slot() {
        receive_first_report(3, {"a1", "a2"});
        planner_.on_load_requested(name_, ref("a3"), now_);
        const auto evict = orders();
        CPPUNIT_ASSERT(evict.at(0).operation == order_operation::unload);
        planner_.on_outcome(directory_, evict[0], order_outcome::accepted, now_);
        CPPUNIT_ASSERT(orders().empty());
        now_ += seconds{1};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report_requests().size());
        report(4, {"a1", "a2"});
        const auto next = orders();
        CPPUNIT_ASSERT(next.empty() || next[0].operation == order_operation::unload);
    }

    // Without the report the holder would announce the adapter as loaded again, and the server would refuse
    // further requests.
    void refused_use_requires_a_report() {
        receive_first_report(3, {"a1"});
        now_ += seconds{1};
        CPPUNIT_ASSERT(planner_.on_use_refused(name_, ref("a1"), now_));
        CPPUNIT_ASSERT(orders().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report_requests().size());
        report(3, {});
        planner_.on_load_requested(name_, ref("a1"), now_);
        const auto load = orders();
        CPPUNIT_ASSERT(load.at(0).operation == order_operation::load);
        planner_.on_outcome(directory_, load[0], order_outcome::accepted, now_);
        CPPUNIT_ASSERT(!planner_.on_use_refused(name_, ref("a1"), now_));
    }

    void used_slots_include_loads_in_progress() {
        receive_first_report(0, {"a1"});
        planner_.on_load_requested(name_, ref("a2"), now_);
        planner_.on_outcome(directory_, orders().at(0), order_outcome::accepted, now_);
        directory_.find(name_)->adapters_in_use[ref("a1")] = 1;
        planner_.on_load_requested(name_, ref("a3"), now_);
        CPPUNIT_ASSERT(orders().empty());
    }

    void lost_response_requires_a_report_before_the_next_order() {
        receive_first_report();
        planner_.on_load_requested(name_, ref("a1"), now_);
        planner_.on_outcome(directory_, orders().at(0), order_outcome::unknown, now_);
        now_ += milliseconds{400};
        CPPUNIT_ASSERT(orders().empty());
        CPPUNIT_ASSERT(report_requests().empty());
        now_ += milliseconds{200};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report_requests().size());
        report(0, {});
        planner_.on_load_requested(name_, ref("a1"), now_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, *orders().at(0).expected_sequence);
    }

    // Reports lag behind the server, not behind the time limit of an order.
    void report_is_due_soon_after_an_order_that_was_not_answered() {
        receive_first_report();
        planner_.on_load_requested(name_, ref("a1"), now_);
        const auto order = orders().at(0);
        now_ += milliseconds{500};
        planner_.on_outcome(directory_, order, order_outcome::unknown, now_);
        CPPUNIT_ASSERT(orders().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report_requests().size());
    }

    // An order or a check that is executed late must be refused because the sequence has changed.
    void every_order_carries_the_sequence_it_was_decided_on() {
        receive_first_report(3);
        planner_.on_load_requested(name_, ref("a1"), now_);
        const auto load = orders();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, load.at(0).expected_sequence.value());
        planner_.on_outcome(directory_, load[0], order_outcome::accepted, now_);
        now_ += milliseconds{300};
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, orders().at(0).expected_sequence.value());
    }

    void report_with_a_lower_sequence_is_accepted() {
        receive_first_report(9);
        planner_.on_load_requested(name_, ref("a1"), now_);
        planner_.on_outcome(directory_, orders().at(0), order_outcome::conflict, now_);
        now_ += seconds{1};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report_requests().size());
        report(8, {});
        planner_.on_load_requested(name_, ref("a1"), now_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, orders().at(0).expected_sequence.value());
    }

    /** Restarts the server, lets it accept the load of its base model and returns the orders after that. */
    std::vector<weights_order> restart_and_order_base_model() {
        list_server({}, 2);
        report_requests();
        now_ += seconds{1};
        report_requests();
        planner_.on_report(directory_, name_, 2, 0, {}, {}, now_);
        auto order = orders();
        CPPUNIT_ASSERT(order.at(0).weights.is_base());
        planner_.on_outcome(directory_, order[0], order_outcome::accepted, now_);
        CPPUNIT_ASSERT(orders().empty());
        now_ += seconds{1};
        return orders();
    }

    void restarted_server_loads_its_base_model_and_is_checked() {
        const auto check = restart_and_order_base_model();
        CPPUNIT_ASSERT(check.at(0).is_check);
        CPPUNIT_ASSERT(planner_.on_outcome(directory_, check[0], order_outcome::holds, now_));
        CPPUNIT_ASSERT(directory_.find(name_)->listing.weights.models.contains("base"));
    }

    void conflict_of_a_base_model_check_needs_no_report() {
        const auto check = restart_and_order_base_model();
        planner_.on_outcome(directory_, check.at(0), order_outcome::conflict, now_);
        now_ += seconds{1};
        CPPUNIT_ASSERT(report_requests().empty());
        CPPUNIT_ASSERT(orders().at(0).is_check);
    }

    void outdated_version_in_use_is_not_replaced_in_place() {
        receive_first_report(0, {"a1"});
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

    void own_load_is_recorded_as_cached() {
        load_request_causes_a_load_and_a_check();
        CPPUNIT_ASSERT(directory_.find(name_)->cached_adapters.contains(ref("a1")));
    }

    /** Loads an adapter and marks it as in use, as well as another one that the server holds already. */
    void fill_places() {
        receive_first_report(3, {"a1"});
        directory_.find(name_)->adapters_in_use[ref("a1")] = 1;
        directory_.find(name_)->adapters_in_use[ref("a2")] = 1;
        planner_.on_load_requested(name_, ref("a2"), now_);
        planner_.on_outcome(directory_, orders().at(0), order_outcome::accepted, now_);
        now_ += milliseconds{300};
        planner_.on_outcome(directory_, orders().at(0), order_outcome::holds, now_);
    }

    /** Requests one more adapter than the server has places for. */
    std::vector<weights_order> orders_for_one_more_adapter() {
        planner_.on_load_requested(name_, ref("a3"), now_);
        return orders();
    }

    // The server may have refused the request because of the adapter's version.
    void refused_adapter_keeps_its_place() {
        fill_places();
        directory_.on_adapter_missing(name_, ref("a1"));
        CPPUNIT_ASSERT(!planner_.on_use_refused(name_, ref("a1"), now_));
        CPPUNIT_ASSERT(orders_for_one_more_adapter().empty());
    }

    void refused_adapter_is_loaded_again_in_its_place() {
        fill_places();
        directory_.on_adapter_missing(name_, ref("a1"));
        planner_.on_load_requested(name_, ref("a1"), now_);
        planner_.on_use_refused(name_, ref("a1"), now_);
        const auto load = orders();
        CPPUNIT_ASSERT(load.at(0).weights == ref("a1"));
        CPPUNIT_ASSERT(planner_.on_outcome(directory_, load[0], order_outcome::holds, now_));
        CPPUNIT_ASSERT(directory_.find(name_)->listing.weights.version_of(ref("a1")));
        CPPUNIT_ASSERT(orders_for_one_more_adapter().empty());
    }

    // The platform's store may deliver an entry from before the last loads.
    void late_entry_frees_no_place() {
        fill_places();
        now_ += seconds{5};
        list_server({"base"});
        CPPUNIT_ASSERT(orders_for_one_more_adapter().empty());
    }

    // A former holder may publish weights that it read before the last load had completed.
    void message_with_the_known_sequence_frees_no_place() {
        fill_places();
        held_weights weights;
        weights.models["base"] = 1;
        weights.adapters[ref("a1")] = 1;
        directory_.on_weights_reported(name_, 1, 4, weights, now_);
        CPPUNIT_ASSERT(orders_for_one_more_adapter().empty());
    }

    // The message omits loads in progress, so an order with its sequence would be decided on too few places.
    void message_with_a_higher_sequence_changes_no_expected_sequence() {
        receive_first_report(3, {"a1"});
        held_weights weights;
        weights.models["base"] = 1;
        weights.adapters[ref("a1")] = 1;
        directory_.on_weights_reported(name_, 1, 4, weights, now_);
        const auto load = orders_for_one_more_adapter();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, load.at(0).expected_sequence.value());
        planner_.on_outcome(directory_, load[0], order_outcome::accepted, now_);
        now_ += milliseconds{300};
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, orders().at(0).expected_sequence.value());
    }

    void waiting_eviction_keeps_its_place_when_an_entry_omits_it() {
        receive_first_report(3, {"a1", "a2"});
        planner_.on_outcome(directory_, orders_for_one_more_adapter().at(0), order_outcome::accepted, now_);
        now_ += seconds{1};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report_requests().size());
        report(4, {"a1", "a2"});
        directory_.find(name_)->adapters_in_use[ref("a1")] = 1;
        directory_.find(name_)->adapters_in_use[ref("a2")] = 1;
        now_ += seconds{5};
        list_server({"base"});
        CPPUNIT_ASSERT(orders_for_one_more_adapter().empty());
    }

    void refused_check_keeps_the_load_in_progress() {
        receive_first_report(3, {"a1"});
        directory_.find(name_)->adapters_in_use[ref("a1")] = 1;
        planner_.on_load_requested(name_, ref("a2"), now_);
        planner_.on_outcome(directory_, orders().at(0), order_outcome::accepted, now_);
        now_ += milliseconds{300};
        const auto check = orders();
        CPPUNIT_ASSERT(check.at(0).is_check);
        planner_.on_outcome(directory_, check[0], order_outcome::refused, now_);
        CPPUNIT_ASSERT(orders_for_one_more_adapter().empty());
        now_ += seconds{1};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report_requests().size());
        held_weights weights;
        weights.models["base"] = 1;
        weights.adapters[ref("a1")] = 1;
        planner_.on_report(directory_, name_, 1, 4, weights, {ref("a2")}, now_);
        CPPUNIT_ASSERT(orders_for_one_more_adapter().empty());
    }

    void refused_base_model_is_not_replaced_by_another_one() {
        receive_first_report();
        held_weights weights;
        weights.models["other"] = 1;
        planner_.on_report(directory_, name_, 1, 0, weights, {}, now_);
        directory_.find(name_)->listing.weights.models = weights.models;
        directory_.on_adapter_missing(name_, {"other", ""});
        const auto order = orders();
        CPPUNIT_ASSERT(order.empty() || order[0].weights.model == "other");
    }

    // The platform drops the entries of live servers while its store is down.
    void relisted_server_gets_orders() {
        receive_first_report(3, {"a1"});
        directory_.on_unlisted(name_);
        list_server({"base"});
        report_requests();
        now_ += seconds{1};
        if (!report_requests().empty()) {
            report(3, {"a1"});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders_for_one_more_adapter().size());
    }

    void outcome_for_an_unlisted_server_ends_the_wait_for_it() {
        receive_first_report(3, {"a1"});
        const auto load = orders_for_one_more_adapter();
        directory_.on_unlisted(name_);
        planner_.on_outcome(directory_, load.at(0), order_outcome::accepted, now_);
        list_server({"base"});
        now_ += seconds{1};
        const auto check = orders();
        CPPUNIT_ASSERT(check.at(0).is_check);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, check[0].expected_sequence.value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(adapter_planner_test);

} // namespace
} // namespace lovageledge
