#include "lovageledge/serving/store_watch_policy.hpp"

namespace lovageledge {

void store_watch_policy::on_positions(const std::vector<store_position>& positions, time_point now) {
    told_ = now;
    positions_.clear();
    for (const store_position& position : positions) {
        positions_[position.kind] = position.revision;
    }
}

std::optional<time_point> store_watch_policy::covered_until(const std::string& kind, std::uint64_t revision,
                                                            time_point now) const {
    const auto position = positions_.find(kind);
    const bool is_covered =
        position != positions_.end() && position->second <= revision && now < told_ + valid_;
    return is_covered ? std::optional{told_ + valid_} : std::nullopt;
}

store_watch_policy::update_action store_watch_policy::action_for(const store_update& update,
                                                                 std::uint64_t revision) {
    if (update.revision <= revision) {
        return update_action::known;
    }
    return update.after_revision <= revision ? update_action::apply : update_action::gap;
}

} // namespace lovageledge
