#pragma once

#include "lovageledge/base/base.hpp"

#include <cstdint>
#include <optional>

namespace lovageledge {

/** How much a client account may use per second, summed over all gateways. */
struct usage_cap {
    /** What a request's cost is counted in. */
    enum class unit : std::uint8_t { requests, tokens };

    unit counted = unit::requests;
    /** Cost per second; 0 means no limit. */
    double rate_per_second = 0.0;
    /** Cost that may be used at once beyond the rate. */
    double burst = 0.0;
    /** Cost of a request that does not state its size, if tokens are counted. */
    std::uint64_t tokens_without_size = 0;

    /** @returns true if the cap limits anything */
    bool is_limited() const { return rate_per_second > 0.0; }
    /** @param tokens the request's prompt tokens plus its maximum output tokens, if it states them
        @returns the request's cost in the counted unit */
    std::uint64_t cost_of(std::optional<std::uint64_t> tokens) const {
        return counted == unit::requests ? 1 : tokens.value_or(tokens_without_size);
    }
    bool operator==(const usage_cap&) const = default;
};

/** A client account of the configuration, without its keys. */
struct client_account {
    account_name name;
    /** Takes precedence over the route's priority if set; 0 is the highest. */
    std::optional<std::uint32_t> priority;
    usage_cap cap;
};

} // namespace lovageledge
