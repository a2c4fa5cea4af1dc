#pragma once

#include "lovageledge/coordination/command.hpp"
#include "lovageledge/coordination/settings.hpp"

#include <map>
#include <string>
#include <vector>

namespace lovageledge {

/** Identifies a load of an adapter onto a server that needs a grant from the load budget. */
struct load_request {
    instance_name owner;
    server_name server;
    adapter_key key;

    auto operator<=>(const load_request&) const = default; // NOLINT(modernize-use-nullptr)
};

/**
    Limits the rate and the number of concurrent loads from the weight store, over all servers.

    One live instance grants all loads. An instance that takes over this role starts without tokens, so that
    the rate is exceeded only while two instances disagree on which peers are alive. Among waiting requests
    the one with the greatest weight, which is the importance of the requests that need the adapter, is
    granted first.

    Not thread-safe; guarded by the shard's lock.
*/
class load_budget {
public:
    explicit load_budget(const coordination_settings& settings) : settings_{settings} {}

    /** Handles an owner's request for a load; a repeated request renews the earlier one. */
    void on_request(const load_request& request, std::uint32_t weight, time_point now);
    /** Handles the end of a load, or the withdrawal of its request. */
    void on_release(const load_request& request);
    /** Grants as many waiting loads as the limits allow. @param limits of the weight store
        @returns the loads that may start now */
    std::vector<load_request> take_grants(const weight_store_limits& limits, time_point now);
    /** Discards all state; to be called while another instance holds the budget. */
    void reset();

    std::size_t in_flight() const { return granted_.size(); }
    /** @returns the estimated time until a load that is requested now may start */
    duration backlog(const weight_store_limits& limits) const;

private:
    struct waiting_request {
        std::uint32_t weight = 0;
        time_point requested_at;
        time_point renewed_at;
    };

    const coordination_settings& settings_;
    std::map<load_request, waiting_request> waiting_;
    std::map<load_request, time_point> granted_;
    /** Token bucket of loads that may start. */
    double tokens_ = 0.0;
    time_point refilled_at_{};
};

} // namespace lovageledge
