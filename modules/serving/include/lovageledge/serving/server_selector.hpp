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

/** A part of a prompt that other requests may have in common. */
struct prompt_part {
    std::string id;
    std::uint32_t tokens = 0;
};

/** The properties of a request that the choice of a server depends on. */
struct selection_request {
    request_id id;
    pool_name service;
    request_kind kind = request_kind::unsafe;
    /** The required adapter or base model; empty for plain services. */
    adapter_ref weights;
    /** Adapter slots of each server of the service. */
    std::uint32_t adapter_slots_per_server = 0;
    /** Time until the request's deadline: it begins to run until then or not at all. */
    duration longest_wait{};
    /** Recent requests for the adapter at all gateways, estimated from this one's. @see demand_meter */
    double demand = 0.0;
    std::uint32_t prompt_tokens = 0;
    std::vector<prompt_part> prompt_parts;
    /** Servers that must not be chosen, because they refused this request or failed it. */
    std::set<server_name> excluded;
    /** If set, returns how long the request would wait for room on a server, which adds to the server's cost;
        nothing if the server must not be chosen. */
    std::function<std::optional<duration>(const backend&)> wait_for_room;

    bool needs_weights() const { return !weights.model.empty(); }
};

/** The chosen server and the inputs to the decision. */
struct server_choice {
    server_name server;
    /** The adapter must be loaded on the server first. */
    bool needs_load = false;
    /** The server is in another region. */
    bool is_remote = false;
    /** Estimated time until the first byte of the response. */
    duration estimate{};
};

/** Cost parameters for the choice of a server. The times are estimates; the servers' actual load comes from
    the reports in their responses. */
struct selector_settings {
    /** Prompt tokens that an engine reads per millisecond, according to the engines' data sheet. */
    double prefill_tokens_per_ms = 38.4;
    /** Load time of an adapter that the server has not had loaded before. */
    duration cold_load = std::chrono::milliseconds{280};
    /** Load time of an adapter that the server had loaded recently. */
    duration warm_load = std::chrono::milliseconds{60};
    /** Longest extra wait that is accepted to avoid fetching a rare adapter from the weight store once
        more: each fetch is billed and costs about as much as transferring ten requests to another region.
        For a frequently requested adapter the wait is divided among its recent requests, see
        fetch_shared_by. */
    duration fetch_penalty = std::chrono::milliseconds{3500};
    /** Number of recent requests for an adapter that halves fetch_penalty. */
    std::uint32_t fetch_shared_by = 7;
    /** Added if the load evicts another adapter, which may soon be needed again. */
    duration displacement_penalty = std::chrono::milliseconds{50};
    /** Added if no slot can be freed because requests use all adapters on the server. */
    duration no_place_penalty = std::chrono::milliseconds{500};
    /** Added if the server recently refused a request as full. */
    duration full_penalty = std::chrono::milliseconds{300};
    /** Added if a load on the server recently did not complete in time. */
    duration blocked_load_penalty = std::chrono::milliseconds{300};
    /** Extra wait that is accepted to avoid traffic to another region, which is billed. */
    duration remote_engine_penalty = std::chrono::milliseconds{120};
    duration remote_plain_penalty = std::chrono::milliseconds{60};
    /** Assumed duration of a request to a plain service, used to estimate the wait in its queue. */
    duration plain_service_time = std::chrono::milliseconds{40};
    /** Added for each request that an engine reported as waiting. */
    duration engine_waiting = std::chrono::milliseconds{40};
    /** Added for each request in flight on an engine, because all of them share the batch. */
    duration engine_running = std::chrono::milliseconds{3};
    /** Prompts that take no longer than this to read do not delay the running streams noticeably. */
    duration pause_free_reading = std::chrono::milliseconds{350};
    /** Percentage of the reading time beyond pause_free_reading that is added for each running stream. */
    std::uint32_t pause_weight_percent = 20;
    /** A prompt part counts as cached by the engine for this long after it was sent. */
    duration prompt_part_lifetime = std::chrono::seconds{20};
    /** How long a server's load report is valid. */
    duration load_report_lifetime = std::chrono::milliseconds{500};
    /** Added to a first load on a server other than the adapter's home, which is the same for all gateways.
        Without it, two gateways that need an adapter at the same time would fetch it twice. */
    duration other_home = std::chrono::milliseconds{500};
    /** Requests are distributed randomly among servers whose costs differ by less than this. Otherwise
        gateways with the same load information would all choose the same server. */
    duration spread = std::chrono::milliseconds{20};
};

/**
    Chooses the server with the lowest cost for a request. The cost is the estimated time to the first byte
    plus the penalties of selector_settings.

    It is designed for adapters with skewed, shifting popularity and engines with few adapter slots, where a
    long prompt ahead in an engine's queue costs more than the request itself. The estimate therefore
    includes the waiting prompts, the uncached part of the prompt and the load of the adapter; a penalty
    accounts for the network path. Not thread-safe.
*/
class server_selector {
public:
    /** Estimates the time to the first byte without adapter loads. Tests and baselines replace it. */
    using estimate_function = std::function<duration(const backend&, const selection_request&, time_point)>;

    /** @param is_local tells whether a data centre belongs to this instance's region */
    server_selector(selector_settings settings, std::function<bool(const data_centre_name&)> is_local);

    void set_estimate_function(estimate_function estimate) { estimate_ = std::move(estimate); }

    /** Sets what tells whether a server may get a request now. A server that may not is treated as full.
        @see server_pace */
    void set_allowance_function(std::function<bool(const backend&, time_point)> has_allowance) {
        has_allowance_ = std::move(has_allowance);
    }

    /** Picks one of the usable servers of the request's service.
        @returns nothing if no server can run the request */
    std::optional<server_choice> pick(backend_directory& directory, const version_registry& versions,
                                      const selection_request& request, time_point now) const;

    /** @returns true if the server has loaded the required weights in a version that requests may run on */
    static bool holds(const backend& server, const version_registry& versions,
                      const selection_request& request, time_point now);
    /** @returns true if a newer version was announced than the loaded one. If no version is loaded, every
        announced version counts as newer. */
    static bool is_outdated(const backend& server, const version_registry& versions,
                            const selection_request& request);
    /** @returns the adapter's home, which is the server chosen by rendezvous hashing for its first load;
        nullptr if there are no candidates */
    static const backend* find_home(const std::vector<backend*>& candidates, const adapter_ref& ref);
    /** Records the parts of a sent prompt, so that later prompts with the same parts prefer the server. */
    static void record_sent_prompt(backend& server, const selection_request& request, time_point now);

    /** @returns the number of prompt tokens that the server has probably not cached */
    std::uint32_t uncached_tokens(const backend& server, const selection_request& request,
                                  time_point now) const;

private:
    /** @returns the cost of loading the adapter on the server, in addition to the load time */
    duration load_penalty(const backend& server, const selection_request& request, bool is_warm,
                          time_point now) const;
    duration estimate_engine(const backend& server, const selection_request& request, time_point now) const;
    duration estimate_plain_service(const backend& server, time_point now) const;
    /** @returns the factor of a plain server's service time: the reported one while the report is fresh,
        otherwise the learned one */
    double plain_pace(const backend& server, time_point now) const;
    /** @returns a pseudo-random share of selector_settings::spread for this request and server */
    duration spread_cost(const backend& server, std::uint64_t request_key) const;

    selector_settings settings_;
    std::function<bool(const data_centre_name&)> is_local_;
    estimate_function estimate_;
    std::function<bool(const backend&, time_point)> has_allowance_;
};

} // namespace lovageledge
