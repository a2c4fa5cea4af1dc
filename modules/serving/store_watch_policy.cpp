#include "lovageledge/serving/store_watch_policy.hpp"

namespace lovageledge {
namespace {

/** How long a gateway that has listed a kind waits for the holder before it watches the kind itself. */
constexpr auto holder_wait = std::chrono::milliseconds{1000};

} // namespace

void store_watch_policy::on_positions(const std::vector<store_position>& positions, time_point now) {
    received_at_ = now;
    positions_.clear();
    for (const store_position& position : positions) {
        positions_[position.kind] = position.revision;
    }
}

std::optional<time_point> store_watch_policy::covered_until(const std::string& kind, std::uint64_t revision,
                                                            time_point now) const {
    const auto position = positions_.find(kind);
    const bool is_covered =
        position != positions_.end() && position->second <= revision && now < received_at_ + validity_;
    return is_covered ? std::optional{received_at_ + validity_} : std::nullopt;
}

std::optional<time_point> store_watch_policy::suspended_until(const std::string& kind, std::uint64_t revision,
                                                              std::optional<time_point> listed_at,
                                                              time_point now) const {
    const auto covered = covered_until(kind, revision, now);
    const bool waits_for_holder = !covered && listed_at && now < *listed_at + holder_wait;
    // If the holder has read more than this gateway, only a watch makes up for the difference.
    const bool is_behind = positions_.contains(kind) && now < received_at_ + validity_;
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
