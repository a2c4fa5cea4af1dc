#include "lovageledge/state/state.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <rapidcheck.h>

namespace lovageledge {
namespace {

class slot_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(slot_table_test);
    CPPUNIT_TEST(evicts_only_recorded_idle_adapters);
    CPPUNIT_TEST(keeps_inherited_adapters);
    CPPUNIT_TEST(never_uses_poisoned_adapters);
    CPPUNIT_TEST(settles_uncertain_slots_by_status);
    CPPUNIT_TEST(never_evicts_in_use_whatever_the_order);
    CPPUNIT_TEST_SUITE_END();

    const adapter_key first_{"first@v1"};
    const time_point now_{std::chrono::seconds{1}};
    slot_table table_{2};

    void load(const adapter_key& key) {
        CPPUNIT_ASSERT(table_.begin_load(key));
        table_.end_load(key, true, now_);
    }

    void evicts_only_recorded_idle_adapters() {
        load(first_);
        CPPUNIT_ASSERT(!table_.begin_unload(first_));
        table_.set_recorded_intents({first_});
        table_.acquire(first_, now_);
        CPPUNIT_ASSERT(!table_.begin_unload(first_));
        table_.release(first_, now_);
        CPPUNIT_ASSERT(table_.begin_unload(first_));
        CPPUNIT_ASSERT(!table_.is_usable(first_));
        table_.end_unload(first_, true);
        CPPUNIT_ASSERT(table_.find(first_) == nullptr);
    }

    void keeps_inherited_adapters() {
        table_.reset({first_}, true, now_);
        table_.set_recorded_intents({first_});
        CPPUNIT_ASSERT(!table_.begin_unload(first_));
        table_.clear_inherited();
        CPPUNIT_ASSERT(table_.begin_unload(first_));
    }

    void never_uses_poisoned_adapters() {
        load(first_);
        table_.set_blocked_adapters({first_});
        CPPUNIT_ASSERT(!table_.is_usable(first_));
        table_.reset({}, false, now_);
        CPPUNIT_ASSERT(!table_.begin_load(first_));
    }

    void settles_uncertain_slots_by_status() {
        load(first_);
        table_.set_uncertain(first_);
        CPPUNIT_ASSERT(!table_.is_usable(first_));
        table_.reconcile({first_});
        CPPUNIT_ASSERT(table_.is_usable(first_));
        table_.set_uncertain(first_);
        table_.reconcile({});
        CPPUNIT_ASSERT(table_.find(first_) == nullptr);
    }

    void never_evicts_in_use_whatever_the_order() {
        const bool holds = rc::check("an adapter in use is never being unloaded",
                                     [](const std::vector<std::uint8_t>& steps) {
                                         slot_table table{3};
                                         std::map<adapter_key, int> uses;
                                         time_point now{};
                                         for (const std::uint8_t step : steps) {
                                             const adapter_key key{"a" + std::to_string(step % 5) + "@v1"};
                                             now += std::chrono::milliseconds{1};
                                             switch (step / 5 % 8) {
                                             case 0:
                                                 table.begin_load(key);
                                                 break;
                                             case 1:
                                                 table.end_load(key, true, now);
                                                 break;
                                             case 2:
                                                 if (table.is_usable(key)) {
                                                     table.acquire(key, now);
                                                     ++uses[key];
                                                 }
                                                 break;
                                             case 3:
                                                 if (uses[key] > 0) {
                                                     table.release(key, now);
                                                     --uses[key];
                                                 }
                                                 break;
                                             case 4:
                                                 table.set_recorded_intents({key});
                                                 break;
                                             case 5:
                                                 if (table.begin_unload(key)) {
                                                     RC_ASSERT(uses[key] == 0);
                                                 }
                                                 break;
                                             case 6:
                                                 table.end_unload(key, true);
                                                 break;
                                             default:
                                                 table.set_blocked_adapters({key});
                                                 break;
                                             }
                                         }
                                     });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slot_table_test);

} // namespace
} // namespace lovageledge
