#pragma once

#include <cstdint>

namespace lovageledge {

/** The state of a request that ended without a response from a backend server. */
struct unserved_request {
    /** Number of servers that may have run the request, over all attempts. */
    std::uint32_t possible_runs = 0;
    bool is_past_deadline = false;
};

/** The HTTP status that the gateway itself returns for an unserved request. */
enum class unserved_status : unsigned {
    /** The request may have run. */
    bad_gateway = 502,
    /** The request has not run and never will; the caller may retry it. */
    unavailable = 503,
    /** The request may have run, and its deadline has passed. */
    gateway_timeout = 504,
};

/**
    Chooses the status for a request that ended without a response from a backend server.

    The status "unavailable" guarantees that the request has not run. It is returned only if no attempt may
    have run the request, regardless of the last attempt's outcome and of whether the request is idempotent.
    Thread-safe.

    @returns the status that is sent to the caller
*/
unserved_status choose_unserved_status(const unserved_request& request);

/** @returns true if callers take the status as the guarantee that the request has not run and never will, so
    that they send it again. Thread-safe. */
bool guarantees_not_run(unsigned status);

} // namespace lovageledge
