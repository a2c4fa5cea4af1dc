#pragma once

#include "lovageledge/serving/backend_directory.hpp"
#include "lovageledge/serving/traffic_configuration.hpp"
#include "lovageledge/serving/version_registry.hpp"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lovageledge {

/** A part of a prompt that other requests may share. */
struct prompt_part {
    std::string id;
    std::uint32_t tokens = 0;
};

/** What the choice of a server needs to know of a request. */
struct selection_request {
    request_id id;
    pool_name service;
    request_kind kind = request_kind::unsafe;
    /** Empty for plain services. */
    adapter_ref weights;
    /** Places for adapters on each server of the service. */
    std::uint32_t adapter_slots_per_server = 0;
    /** Recent requests for the adapter at all gateways, estimated from this one's. @see demand_meter */
    double demand = 0.0;
    std::uint32_t prompt_tokens = 0;
    std::vector<prompt_part> prompt_parts;
    /** Servers that refused or failed this request. */
    std::set<server_name> excluded;

    bool needs_weights() const { return !weights.model.empty(); }
};

/** A chosen server, with the inputs that decided it. */
struct server_choice {
    server_name server;
    /** The adapter has to be loaded there first. */
    bool needs_load = false;
    bool is_remote = false;
    /** Estimated time until the first byte of the answer. */
    duration estimate{};
};

/** Weights of the choice; all times are estimates that answers correct. */
struct selector_settings {
    /** Prompt tokens that an engine reads per millisecond; from the engines' data sheet. */
    double prefill_tokens_per_ms = 38.4;
    /** Time for an adapter that the server has not held before. */
    duration cold_load = std::chrono::milliseconds{280};
    /** Time for an adapter that the server held recently. */
    duration warm_load = std::chrono::milliseconds{60};
    /** Wait that is accepted before a rare adapter is fetched from the store once more: each fetch is billed,
       at the price of some ten requests' bytes to another region. It is shared by the adapter's recent
       requests. */
    duration fetch_penalty = std::chrono::milliseconds{3500};
    /** Recent requests for an adapter that halve the wait which is accepted before it is fetched again. */
    std::uint32_t fetch_shared_by = 7;
    /** Added where a load evicts another adapter, which may soon be wanted again. */
    duration displacement_penalty = std::chrono::milliseconds{50};
    /** Added where no place can be freed, since requests use all adapters there. */
    duration no_place_penalty = std::chrono::milliseconds{500};
    /** Added where the server refused a request as full lately. */
    duration full_penalty = std::chrono::milliseconds{300};
    /** Added where a load was not done in time lately. */
    duration blocked_load_penalty = std::chrono::milliseconds{300};
    /** Wait that is accepted before work goes to another region: its bytes are billed. */
    duration remote_engine_penalty = std::chrono::milliseconds{120};
    duration remote_plain_penalty = std::chrono::milliseconds{60};
    /** Time of a plain service's request, for the length of a queue. */
    duration plain_work = std::chrono::milliseconds{40};
    /** Added for each request that an engine reported as waiting. */
    duration engine_waiting = std::chrono::milliseconds{40};
    /** Added for each stream that is in flight at an engine: its tokens share the batch. */
    duration engine_running = std::chrono::milliseconds{3};
    /** Prompts that take less than this to read let the streams beside them go on in time. */
    duration pause_free_reading = std::chrono::milliseconds{350};
    /** Weight of the time beyond it, for each stream that runs there. */
    std::uint32_t pause_weight_percent = 20;
    /** A prompt part that was sent at most this long ago counts as kept. */
    duration part_kept = std::chrono::seconds{20};
    /** A load report counts for this long. */
    duration report_valid = std::chrono::milliseconds{500};
    /** Added to a first load anywhere but at the adapter's home, which all gateways agree on: two of them
       that need an adapter at the same time would fetch it twice. */
    duration other_home = std::chrono::milliseconds{500};
    /** Servers whose costs differ by less than this share the work at random: gateways that know the same
       load would otherwise all choose the same server. */
    duration spread = std::chrono::milliseconds{20};
};

/**
    Chooses the server for a request: the one with the earliest estimated first byte.

    The load pattern it answers: popularity is skewed and shifts, each engine has few places for adapters, and
    a long prompt ahead in an engine's queue costs more than the request's own work. So an estimate counts
    prompts that wait, the part of the prompt that is not kept there, a load of the adapter, and the path.
    Not thread-safe.
*/
class server_selector {
public:
    /** Estimates the time to the first byte; tests and baselines replace it. */
    using estimate_function = std::function<duration(const backend&, const selection_request&, time_point)>;

    /** @param is_local tells whether a data centre belongs to this instance's region */
    server_selector(selector_settings settings, std::function<bool(const data_centre_name&)> is_local);

    void set_estimate_function(estimate_function estimate) { estimate_ = std::move(estimate); }

    /** Picks among the usable servers of the request's service.
        @returns nothing if no server may take it */
    std::optional<server_choice> pick(backend_directory& directory, const version_registry& versions,
                                      const selection_request& work, time_point now) const;

    /** @returns true if the server holds what the request names, in a version that may serve */
    static bool holds(const backend& server, const version_registry& versions, const selection_request& work,
                      time_point now);
    /** @returns true if a newer version was announced than the one that the server held last */
    static bool is_outdated(const backend& server, const version_registry& versions,
                            const selection_request& work);
    /** @returns the server where an adapter is loaded first, by rendezvous hashing; nullptr without servers
     */
    static const backend* find_home(const std::vector<backend*>& candidates, const adapter_ref& ref);
    /** Notes that a prompt was sent, so that later ones with the same parts follow it. */
    static void record_sent_prompt(backend& server, const selection_request& work, time_point now);

    /** @returns prompt tokens that the server is not believed to keep */
    std::uint32_t uncached_tokens(const backend& server, const selection_request& work, time_point now) const;

private:
    /** @returns what a load of the adapter there costs, beyond the time that it takes */
    duration load_penalty(const backend& server, const selection_request& work, bool is_warm,
                          time_point now) const;
    duration estimate_engine(const backend& server, const selection_request& work, time_point now) const;
    duration estimate_plain(const backend& server, time_point now) const;
    /** @returns a part of the spread that differs from request to request */
    duration spread_of(const backend& server, std::uint64_t request_key) const;

    selector_settings settings_;
    std::function<bool(const data_centre_name&)> is_local_;
    estimate_function estimate_;
};

} // namespace lovageledge
