#pragma once

#include "lovageledge/coordination/command.hpp"
#include "lovageledge/coordination/settings.hpp"

#include <map>
#include <string>
#include <vector>

namespace lovageledge {

/** A load that asks for its share of the weight store. */
struct load_ticket {
    instance_name owner;
    server_name server;
    adapter_key key;

    auto operator<=>(const load_ticket&) const = default; // NOLINT(modernize-use-nullptr)
};

/**
    Hands out the weight store's load rate over all servers.

    One live instance holds it at a time; a new holder starts without tokens, so that a change of holder
    never doubles the rate for longer than two instances disagree on who is alive. The heaviest request,
    by importance of the waiting requests, goes first. Not thread-safe; the shard's lock guards it.
*/
class load_budget {
public:
    explicit load_budget(const coordination_settings& settings) : settings_{settings} {}

    /** An owner asks for a load; asking again renews the request. */
    void on_request(const load_ticket& ticket, std::uint32_t weight, time_point now);
    /** A load ended or is no longer wanted. */
    void on_release(const load_ticket& ticket);
    /** @returns loads that may start now. @param limits of the store */
    std::vector<load_ticket> take_grants(const weight_store_limits& limits, time_point now);
    /** Forgets everything, when another instance holds the budget. */
    void reset();

    std::size_t in_flight() const { return granted_.size(); }
    /** @returns time until a load that is asked for now may start */
    duration backlog(const weight_store_limits& limits) const;

private:
    struct waiting_ticket {
        std::uint32_t weight = 0;
        time_point asked;
        time_point renewed;
    };

    const coordination_settings& settings_;
    std::map<load_ticket, waiting_ticket> waiting_;
    std::map<load_ticket, time_point> granted_;
    double tokens_ = 0.0;
    time_point refilled_{};
};

} // namespace lovageledge
