#include "lovageledge/base/runtime_clock.hpp"

#include <cassert>
#include <ctime>

namespace lovageledge {

time_point runtime_clock::now() const {
    if (is_paused_.load()) {
        return time_point{duration{paused_at_.load()}};
    }
    return std::chrono::steady_clock::now();
}

time_point runtime_clock::now_with_suspension() const {
    timespec time{};
    if (is_paused_.load() || clock_gettime(CLOCK_BOOTTIME, &time) != 0) {
        return now();
    }
    return time_point{std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec}};
}

void runtime_clock::pause() {
    paused_at_.store(now().time_since_epoch().count());
    is_paused_.store(true);
}

void runtime_clock::advance(duration step) {
    assert(is_paused_.load());
    assert(step >= duration::zero());
    paused_at_.fetch_add(step.count());
}

} // namespace lovageledge
