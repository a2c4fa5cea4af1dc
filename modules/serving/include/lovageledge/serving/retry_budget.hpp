#pragma once

#include "lovageledge/base/base.hpp"

#include <cstdint>
#include <deque>
#include <map>

namespace lovageledge {

/** How many repeats all instances together may send to a service. */
struct retry_allowance {
    /** Repeats per request. */
    double ratio = 0.2;
    /** Repeats beyond the ratio in one window, over all instances. */
    double extra = 0.0;
    duration window = std::chrono::seconds{10};
};

/**
    This instance's part of the retry budget that all instances share.

    The instances do not ask each other: each spends the ratio of its own requests, and an equal part of the
    extra repeats. Answers load that makes servers fail: without a bound each failure would bring more work.
    Not thread-safe.
*/
class retry_budget {
public:
    void set_allowance(retry_allowance allowance) { allowance_ = allowance; }
    /** @param instances all instances that may send work, this one included; at least 1 */
    void set_instances(std::size_t instances) { instances_ = instances == 0 ? 1 : instances; }

    /** A request for the service has arrived from a caller. */
    void on_request(const pool_name& service, time_point now);
    /** Takes one repeat from the budget. @returns false if none is left in the current window */
    bool try_spend(const pool_name& service, time_point now);

private:
    struct service_window {
        std::deque<time_point> requests;
        std::deque<time_point> repeats;
    };
    void forget_old(service_window& window, time_point now) const;

    retry_allowance allowance_;
    std::size_t instances_ = 1;
    std::map<pool_name, service_window> windows_;
};

} // namespace lovageledge
