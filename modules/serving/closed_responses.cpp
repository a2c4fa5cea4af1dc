#include "lovageledge/serving/closed_responses.hpp"

#include <algorithm>
#include <iterator>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t max_responses = 1'000;
/** What arrives sooner may have been sent before the server ended. */
constexpr auto min_life_after_close = milliseconds{100};
/** The connections of a server that ends break within this time of each other. */
constexpr auto max_break_distance = milliseconds{500};
/** The platform has dropped the entry of a server that ended this long ago. */
constexpr auto listing_delay = std::chrono::seconds{8};

} // namespace

void closed_responses::add(closed_response response) {
    responses_.push_back(std::move(response));
    if (responses_.size() > max_responses) {
        responses_.pop_front();
    }
}

template <class Condition>
std::vector<closed_response> closed_responses::take(Condition is_taken) {
    const auto taken =
        std::stable_partition(responses_.begin(), responses_.end(),
                              [&](const closed_response& response) { return !is_taken(response); });
    std::vector<closed_response> result{std::make_move_iterator(taken),
                                        std::make_move_iterator(responses_.end())};
    responses_.erase(taken, responses_.end());
    return result;
}

std::vector<closed_response> closed_responses::on_received(const server_start_id& server_start,
                                                           time_point connected_at, time_point now) {
    return take([&](const closed_response& response) {
        return response.server_start == server_start && connected_at <= response.closed_at &&
               now - response.closed_at > min_life_after_close;
    });
}

std::vector<closed_response> closed_responses::on_broken(const server_start_id& server_start,
                                                         time_point now) {
    return take([&](const closed_response& response) {
        return response.server_start == server_start && now - response.closed_at < max_break_distance;
    });
}

std::vector<closed_response> closed_responses::on_listed(const std::set<server_start_id>& listed,
                                                         time_point now) {
    std::vector<closed_response> due =
        take([&](const closed_response& response) { return now - response.closed_at >= listing_delay; });
    std::erase_if(due,
                  [&](const closed_response& response) { return !listed.contains(response.server_start); });
    return due;
}

} // namespace lovageledge
