#pragma once

#include "lovageledge/serving/backend_directory.hpp"

#include <map>

namespace lovageledge {

/**
    Counts recent requests per adapter, with exponential decay.

    The count decides whether another copy of an adapter is worth its load: a copy of a frequently requested
    adapter soon is, one of a rarely requested adapter never is. Not thread-safe.
*/
class demand_meter {
public:
    explicit demand_meter(duration half_life = std::chrono::seconds{5}) : half_life_{half_life} {}

    /** Counts a request for the adapter. */
    void on_request(const adapter_ref& ref, time_point now);
    /** @returns the decayed number of requests */
    double recent_requests(const adapter_ref& ref, time_point now) const;

private:
    struct entry {
        double count = 0.0;
        time_point updated{};
    };
    double decayed_count(const entry& known, time_point now) const;

    duration half_life_;
    std::map<adapter_ref, entry> entries_;
};

} // namespace lovageledge
