#include "lovageledge/serving/stream_timing.hpp"

namespace lovageledge {
namespace {

constexpr std::uint32_t min_events = 16;

} // namespace

void stream_timing::on_events(std::string_view bytes, time_point now) {
    std::uint32_t ended = 0;
    for (const char byte : bytes) {
        if (byte == '\r') {
            continue; // An event ends with an empty line, whose end may be CR LF.
        }
        ended += byte == '\n' && last_byte_ == '\n' ? 1 : 0;
        last_byte_ = byte;
    }
    if (!first_at_) {
        first_at_ = now;
    } else {
        events_ += ended;
    }
    last_at_ = ended > 0 ? now : last_at_;
}

std::optional<duration> stream_timing::mean_interval() const {
    if (events_ < min_events) {
        return std::nullopt;
    }
    return (last_at_ - *first_at_) / events_;
}

} // namespace lovageledge
