#include "lovageledge/serving/store_watch_policy.hpp"

#include <algorithm>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;

/** How long a gateway that has listed a kind waits for the holder before it watches the kind itself. */
constexpr auto holder_wait = milliseconds{1000};
/** Part of a change limit that a watch, its failure and the next watch may take; the rest is for opening a
    connection and reading. */
constexpr double watch_share = 0.9;
/** Part of that time during which the watch waits; the rest is for the response. */
constexpr double wait_share = 0.6;
constexpr auto min_watch_time = milliseconds{200};
/** Part of a change limit up to which a holder's reading is relied on. */
constexpr double relied_share = 0.5;

} // namespace

watch_timing choose_watch_timing(const reading_limits& limits) {
    const auto time = std::chrono::duration_cast<milliseconds>(limits.change_limit * watch_share -
                                                               limits.pause - limits.failure_pause);
    const watch_timing longest;
    watch_timing timing;
    timing.wait =
        std::clamp(std::chrono::duration_cast<milliseconds>(time * wait_share), min_watch_time, longest.wait);
    timing.margin = std::clamp(time - timing.wait, min_watch_time, longest.margin);
    return timing;
}

duration max_relied_age(duration change_limit) {
    return std::chrono::duration_cast<duration>(change_limit * relied_share);
}

void store_watch_policy::on_positions(const std::vector<store_position>& positions, time_point now) {
    positions_.clear();
    for (const store_position& position : positions) {
        const duration remaining = max_age_(position.kind) - position.age;
        positions_[position.kind] = {position.revision, now + std::min(validity_, remaining)};
    }
}

const store_watch_policy::holder_reading* store_watch_policy::find_valid(const std::string& kind,
                                                                         time_point now) const {
    const auto position = positions_.find(kind);
    return position != positions_.end() && now < position->second.valid_until ? &position->second : nullptr;
}

std::optional<time_point> store_watch_policy::covered_until(const std::string& kind, std::uint64_t revision,
                                                            time_point now) const {
    const holder_reading* reading = find_valid(kind, now);
    return reading != nullptr && reading->revision <= revision ? std::optional{reading->valid_until}
                                                               : std::nullopt;
}

std::optional<time_point> store_watch_policy::suspended_until(const std::string& kind, std::uint64_t revision,
                                                              std::optional<time_point> listed_at,
                                                              time_point now) const {
    const auto covered = covered_until(kind, revision, now);
    const bool waits_for_holder = !covered && listed_at && now < *listed_at + holder_wait;
    // If the holder has read more than this gateway, only a watch makes up for the difference.
    const bool is_behind = find_valid(kind, now) != nullptr;
    return waits_for_holder && !is_behind ? std::optional{*listed_at + holder_wait} : covered;
}

store_watch_policy::update_action store_watch_policy::action_for(const store_update& update,
                                                                 std::uint64_t revision) {
    if (update.revision <= revision) {
        return update_action::skip;
    }
    return update.after_revision <= revision ? update_action::apply : update_action::resync;
}

} // namespace lovageledge
