#include "lovageledge/serving/message_delay.hpp"

#include <algorithm>
#include <utility>

namespace lovageledge {
namespace {

constexpr auto period = std::chrono::minutes{5};

} // namespace

duration message_delay::on_message(time_point sent_at, time_point received_at) {
    const duration difference = received_at - sent_at;
    if (current_ && received_at >= period_end_) {
        previous_ = std::exchange(current_, std::nullopt);
    }
    if (!current_) {
        period_end_ = received_at + period;
    }
    current_ = std::min(current_.value_or(difference), difference);
    return difference - std::min(*current_, previous_.value_or(*current_));
}

} // namespace lovageledge
