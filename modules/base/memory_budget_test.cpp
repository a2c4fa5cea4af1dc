#include "lovageledge/base/memory_budget.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <rapidcheck.h>
#include <vector>

namespace lovageledge {
namespace {

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = 1024 * kib;

class memory_budget_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(memory_budget_test);
    CPPUNIT_TEST(many_messages_without_end_never_exceed_the_budget);
    CPPUNIT_TEST(largest_message_is_given_up_first);
    CPPUNIT_TEST(complete_message_is_not_given_up);
    CPPUNIT_TEST(small_message_is_accepted_while_the_budget_is_used_up);
    CPPUNIT_TEST(memory_of_finished_messages_is_returned);
    CPPUNIT_TEST(shares_add_up_whatever_happens);
    CPPUNIT_TEST_SUITE_END();

    std::size_t cuts_ = 0;
    std::shared_ptr<memory_budget> budget_ =
        std::make_shared<memory_budget>(8 * mib, [this](memory_use, std::size_t) { ++cuts_; });

    std::unique_ptr<memory_share> open(std::function<void()> on_cut = {}) {
        return std::make_unique<memory_share>(budget_, memory_use::response, std::move(on_cut));
    }

public:
    // 40 answers without end, each within its own limit, took the memory of the process together.
    void many_messages_without_end_never_exceed_the_budget() {
        std::vector<std::unique_ptr<memory_share>> messages(40);
        for (auto& message : messages) {
            message = open();
        }
        for (std::size_t size = kib; size <= 8 * mib; size += 64 * kib) {
            for (const auto& message : messages) {
                if (!message->is_cut()) {
                    message->resize(size);
                }
                CPPUNIT_ASSERT(budget_->held() <= budget_->capacity());
            }
        }
        CPPUNIT_ASSERT(cuts_ >= 38);
    }

    void largest_message_is_given_up_first() {
        bool is_large_cut = false;
        const auto large = open([&] { is_large_cut = true; });
        const auto small = open();
        CPPUNIT_ASSERT(large->resize(6 * mib));
        CPPUNIT_ASSERT(small->resize(2 * mib));
        CPPUNIT_ASSERT(small->resize(3 * mib));
        CPPUNIT_ASSERT(is_large_cut && large->is_cut() && !small->is_cut());
        CPPUNIT_ASSERT_EQUAL(3 * mib, budget_->held());
    }

    void complete_message_is_not_given_up() {
        const auto complete = open();
        CPPUNIT_ASSERT(complete->resize(7 * mib));
        complete->set_complete();
        const auto arriving = open();
        CPPUNIT_ASSERT(!arriving->resize(2 * mib));
        CPPUNIT_ASSERT(arriving->is_cut() && !complete->is_cut());
    }

    void small_message_is_accepted_while_the_budget_is_used_up() {
        const auto complete = open();
        CPPUNIT_ASSERT(complete->resize(8 * mib));
        complete->set_complete();
        CPPUNIT_ASSERT(open()->resize(memory_budget::free_bytes));
    }

    void memory_of_finished_messages_is_returned() {
        for (int i = 0; i < 100; ++i) {
            const auto message = open();
            CPPUNIT_ASSERT(message->resize(mib));
            message->set_complete();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget_->held());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cuts_);
    }

    void shares_add_up_whatever_happens() {
        const bool holds =
            rc::check("held() is the sum of the messages", [](const std::vector<std::uint32_t>& steps) {
                const auto budget = std::make_shared<memory_budget>(4 * mib);
                std::vector<std::unique_ptr<memory_share>> messages;
                std::vector<std::size_t> sizes;
                for (const std::uint32_t step : steps) {
                    const std::size_t index = step % 16;
                    if (index >= messages.size()) {
                        messages.push_back(
                            std::make_unique<memory_share>(budget, memory_use::request, nullptr));
                        sizes.push_back(0);
                        continue;
                    }
                    const std::size_t size = (step / 16) % (6 * mib);
                    if (messages[index]->is_cut()) {
                        messages[index] =
                            std::make_unique<memory_share>(budget, memory_use::request, nullptr);
                        sizes[index] = 0;
                    } else if (messages[index]->resize(size)) {
                        sizes[index] = size;
                    }
                    std::size_t sum = 0;
                    for (std::size_t i = 0; i < messages.size(); ++i) {
                        const bool is_counted =
                            !messages[i]->is_cut() && sizes[i] > memory_budget::free_bytes;
                        sum += is_counted ? sizes[i] : 0;
                    }
                    RC_ASSERT(budget->held() == sum);
                    RC_ASSERT(sum <= budget->capacity());
                }
            });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(memory_budget_test);

} // namespace
} // namespace lovageledge
