#pragma once

#include "lovageledge/base/base.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace lovageledge {

/** Measures the mean time between the events of a stream. Not thread-safe. */
class stream_timing {
public:
    /** Processes received bytes of the stream. */
    void on_events(std::string_view bytes, time_point now);
    /** @returns the mean time between events; nothing for a short stream, on which a single pause would have
        too much weight */
    std::optional<duration> mean_interval() const;

private:
    /** Events after those of the first received bytes, whose time is the start. */
    std::uint32_t events_ = 0;
    std::optional<time_point> first_at_;
    time_point last_at_{};
    char last_byte_ = 0;
};

} // namespace lovageledge
