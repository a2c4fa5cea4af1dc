#pragma once

#include "lovageledge/serving/crash_suspect.hpp"

#include <deque>
#include <set>
#include <vector>

namespace lovageledge {

/** A response whose end only its connection's end tells. */
struct closed_response {
    std::vector<crash_suspect> suspects;
    server_start_id server_start;
    time_point closed_at{};
    /** Time from sending the request to the end of the connection. */
    duration ran_for{};
};

/**
    Responses that ended with their connection and may have been cut by the end of their server.

    Such a response is complete if its server turns out to live: something arrives later on a connection that
    was open before. Not thread-safe.
*/
class closed_responses {
public:
    /** Adds a response; the oldest one is dropped if there are many. */
    void add(closed_response response);
    /** Records that something arrived from a server.
        @param connected_at when the connection on which it came was opened
        @returns the responses that are complete */
    std::vector<closed_response> on_received(const server_start_id& server_start, time_point connected_at,
                                             time_point now);
    /** Records that another response of a server broke off.
        @returns the responses that were cut at the same time */
    std::vector<closed_response> on_broken(const server_start_id& server_start, time_point now);
    /** Records which server starts the platform lists, all of which lived decision_delay ago.
        @returns the responses that are complete; the others that are due are dropped */
    std::vector<closed_response> on_listed(const std::set<server_start_id>& listed, time_point now);

    bool empty() const { return responses_.empty(); }

private:
    template <class Condition>
    std::vector<closed_response> take(Condition is_taken);

    std::deque<closed_response> responses_;
};

} // namespace lovageledge
