#include "lovageledge/base/memory_budget.hpp"

#include <cassert>
#include <utility>

namespace lovageledge {

const char* to_text(memory_use use) {
    switch (use) {
    case memory_use::request:
        return "request";
    case memory_use::response:
        return "response";
    case memory_use::connection:
        return "connection";
    }
    return "";
}

bool memory_budget::make_room(memory_share& requesting, std::size_t bytes) {
    while (held_ + bytes > capacity_) {
        if (memory_share* victim = choose_victim_ ? choose_victim_(requesting) : nullptr) {
            victim->give_up();
            if (victim == &requesting) {
                return false;
            }
            continue;
        }
        // The requesting message is given up unless another one is larger than it would become.
        memory_share* largest = &requesting;
        std::size_t largest_size = requesting.counted_ + bytes;
        for (memory_share* share : shares_) {
            if (!share->is_complete_ && share->counted_ > largest_size) {
                largest = share;
                largest_size = share->counted_;
            }
        }
        largest->give_up();
        if (largest == &requesting) {
            return false;
        }
    }
    return true;
}

memory_share::memory_share(std::shared_ptr<memory_budget> budget, memory_use use,
                           std::function<void()> on_cut)
    : budget_{std::move(budget)}, use_{use}, on_cut_{std::move(on_cut)} {}

memory_share::~memory_share() {
    if (budget_ != nullptr) {
        budget_->held_ -= counted_;
        budget_->shares_.erase(this);
    }
}

bool memory_share::resize(std::size_t bytes) {
    assert(!is_cut_);
    if (budget_ == nullptr) {
        return true;
    }
    const bool is_counted = use_ == memory_use::connection || bytes > memory_budget::free_bytes;
    const std::size_t counted = is_counted ? bytes : 0;
    if (counted > counted_ && !budget_->make_room(*this, counted - counted_)) {
        return false;
    }
    budget_->held_ += counted - counted_;
    counted_ = counted;
    if (counted_ > 0) {
        budget_->shares_.insert(this);
    }
    return true;
}

void memory_share::give_up() {
    is_cut_ = true;
    budget_->held_ -= counted_;
    budget_->shares_.erase(this);
    if (budget_->on_cut_) {
        budget_->on_cut_(use_, std::exchange(counted_, 0));
    }
    counted_ = 0;
    if (on_cut_) {
        on_cut_();
    }
}

} // namespace lovageledge
