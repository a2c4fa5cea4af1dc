#pragma once

#include "lovageledge/base/base.hpp"

#include <cstdint>
#include <vector>

namespace lovageledge {

/** How the instance that accepts a request chooses a server for it. */
enum class placement_policy : std::uint8_t {
    /** The server with the lowest estimated cost; see router. */
    cost,
    /** The server with the fewest outstanding requests, among all servers of the pool; a baseline for
        comparisons. */
    least_outstanding,
};

/** Parameters of an instance's decisions, read from its INI file. */
struct coordination_settings {
    /** Interval between heartbeats to a peer. */
    duration heartbeat_interval = std::chrono::milliseconds{250};
    /** A peer is suspected to have failed after this long without a heartbeat. */
    duration suspect_after = std::chrono::milliseconds{2000};
    /** Time after its start during which an instance only listens to its peers and takes over no
        servers. */
    duration settle_time = std::chrono::milliseconds{1000};
    /** Interval between reassignments of servers to instances. */
    duration rebalance_interval = std::chrono::milliseconds{500};
    /** Time after which a former holder that is known to have terminated is dropped from the ownership
        record. Must be longer than the lifetime of any request. */
    duration request_life_limit = std::chrono::seconds{120};
    /** Time for which an adapter stays unused on a server after a load or unload order to that server got
        no response. */
    duration uncertain_hold = std::chrono::seconds{10};

    /** Maximum number of attempts of a request, over all servers. */
    std::uint32_t attempt_limit = 4;
    /** Maximum time that a request waits until any server is routable. */
    duration unrouted_limit = std::chrono::seconds{3};
    /** Time to wait for an owner to confirm a cancellation before the outcome is reported as unknown. */
    duration cancel_grace = std::chrono::milliseconds{500};
    /** Time to wait for the platform's response to a claim. */
    duration claim_limit = std::chrono::milliseconds{1500};
    /** Flow control window: the maximum number of undelivered tokens of a request. */
    std::uint32_t credit_window = 256;

    placement_policy placement = placement_policy::cost;
    /** Maximum number of requests that wait at one server. */
    std::uint32_t queue_limit = 256;
    /** Requests of at least this many tokens are long. */
    std::uint32_t long_tokens = 400;
    /** Fraction of a server's batch that long requests may occupy. */
    double long_share = 0.5;
    /** How strongly short and important requests are preferred; 0 means first come, first served. */
    double length_weight = 4.0;
    /** Number of adapters per server whose eviction intent is recorded in advance. */
    std::uint32_t standby_intents = 3;
    /** Minimum time since its last use before an adapter may be evicted. */
    duration eviction_idle = std::chrono::milliseconds{250};
    /** Backoff after a failed load; doubles with each failure up to load_backoff_limit. */
    duration load_backoff = std::chrono::milliseconds{500};
    duration load_backoff_limit = std::chrono::seconds{30};
    /** Estimated duration of a load when the weight store is idle. */
    duration load_time = std::chrono::milliseconds{250};
    /** Added to the cost of a server in another region. */
    duration remote_penalty = std::chrono::milliseconds{150};
    /** Number of crashes, each while running alone or on a different server, after which a fingerprint is
        quarantined. */
    std::uint32_t crash_limit = 2;
    /** Time after which a load budget grant that was not released expires. */
    duration grant_limit = std::chrono::seconds{10};
    /** Number of instances per data centre that watch the platform for new configurations. */
    std::uint32_t watchers_per_data_centre = 2;

    /** Safety mechanisms that tests disable one at a time to verify that a check detects it. All are
        enabled in production. */
    struct safeguards {
        bool evict_intents = true;
        bool inherited_hold = true;
        bool adopt_after_confirmation = true;
        bool claims = true;
        bool revision_guard = true;
        bool sticky_leaving = true;
        bool drain = true;
        bool attempt_check = true;
        bool uncertain_hold = true;
        bool unknown_not_retried = true;
        bool quarantine = true;
    } safeguard;
};

/** The identity of an instance, read from its settings. */
struct instance_identity {
    instance_name name;
    start_id start;
    region_name region;
    data_centre_name data_centre;
    /** IP address and port that peers connect to. */
    std::string peer_address;
};

} // namespace lovageledge
