#pragma once

#include "lovageledge/serving/backend_directory.hpp"

#include <map>

namespace lovageledge {

/**
    How often each adapter was asked for lately: a count that halves with each half-life.

    A second copy of an adapter that is in demand pays for its load soon; one of a rare adapter never does.
    Not thread-safe.
*/
class demand_meter {
public:
    explicit demand_meter(duration half_life = std::chrono::seconds{5}) : half_life_{half_life} {}

    /** A request for the adapter has come. */
    void on_request(const adapter_ref& ref, time_point now);
    /** @returns the decayed count of requests */
    double recent_requests(const adapter_ref& ref, time_point now) const;

private:
    struct entry {
        double count = 0.0;
        time_point updated{};
    };
    double decayed(const entry& known, time_point now) const;

    duration half_life_;
    std::map<adapter_ref, entry> entries_;
};

} // namespace lovageledge
