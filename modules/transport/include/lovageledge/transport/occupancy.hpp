#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <utility>

namespace lovageledge {

/** Counts who does something at the same time, up to a limit. Thread-safe. */
class occupancy {
public:
    /** A counted presence, until it is destroyed, which may be after the occupancy. */
    class seat {
    public:
        seat() = default;
        explicit seat(std::shared_ptr<std::atomic<std::uint32_t>> count) : count_{std::move(count)} {}
        seat(seat&& other) noexcept = default;
        seat& operator=(seat&& other) noexcept {
            std::swap(count_, other.count_);
            return *this;
        }
        seat(const seat&) = delete;
        seat& operator=(const seat&) = delete;
        ~seat() {
            if (count_ != nullptr) {
                --*count_;
            }
        }

        /** @returns false if the limit was reached */
        explicit operator bool() const { return count_ != nullptr; }

    private:
        std::shared_ptr<std::atomic<std::uint32_t>> count_;
    };

    explicit occupancy(std::uint32_t limit) : limit_{limit} {}

    /** @returns a seat, or an empty one if the limit is reached */
    seat try_enter() {
        std::uint32_t count = *count_;
        do {
            if (count >= limit_) {
                return {};
            }
        } while (!count_->compare_exchange_weak(count, count + 1));
        return seat{count_};
    }
    /** Counts one more, also beyond the limit. */
    seat enter() {
        ++*count_;
        return seat{count_};
    }

    std::uint32_t count() const { return *count_; }

private:
    std::uint32_t limit_;
    std::shared_ptr<std::atomic<std::uint32_t>> count_ = std::make_shared<std::atomic<std::uint32_t>>(0);
};

} // namespace lovageledge
