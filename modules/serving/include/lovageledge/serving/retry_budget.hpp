#pragma once

#include "lovageledge/base/base.hpp"

#include <cstdint>
#include <deque>
#include <map>

namespace lovageledge {

/** How many retries all instances together may send to a service. */
struct retry_allowance {
    /** Retries per request. */
    double ratio = 0.2;
    /** Retries per window beyond the ratio, summed over all instances. */
    double extra = 0.0;
    duration window = std::chrono::seconds{10};
};

/**
    This instance's share of the retry budget of all instances.

    The instances do not coordinate: each may spend the ratio of its own requests plus an equal share of the
    extra retries. The budget prevents retry storms, in which overloaded servers fail requests and the
    retries add to the load. Not thread-safe.
*/
class retry_budget {
public:
    void set_allowance(retry_allowance allowance) { allowance_ = allowance; }
    /** @param instances number of instances that may send requests, including this one; at least 1 */
    void set_instances(std::size_t instances) { instances_ = instances == 0 ? 1 : instances; }
    std::size_t instances() const { return instances_; }

    /** Counts a request from a caller for the service. */
    void on_request(const pool_name& service, time_point now);
    /** Takes one retry from the budget. @returns false if none is left in the current window */
    bool try_spend(const pool_name& service, time_point now);

private:
    struct service_window {
        std::deque<time_point> requests;
        std::deque<time_point> retries;
    };
    void remove_expired(service_window& window, time_point now) const;

    retry_allowance allowance_;
    std::size_t instances_ = 1;
    std::map<pool_name, service_window> windows_;
};

} // namespace lovageledge
