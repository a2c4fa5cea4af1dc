#pragma once

#include "lovageledge/base/base.hpp"

#include <cstdint>
#include <vector>

namespace lovageledge {

/** How an entry chooses a server. */
enum class placement_policy : std::uint8_t {
    /** The least cost, see router. */
    cost,
    /** The fewest requests under way, over all servers of the pool: a baseline to compare with. */
    least_outstanding,
};

/** How an instance decides; read from its INI file, the defaults suit the sizes of today. */
struct coordination_settings {
    /** Between two heartbeats to a peer. */
    duration heartbeat_interval = std::chrono::milliseconds{250};
    /** Without a heartbeat for this long, a peer is suspected. */
    duration suspect_after = std::chrono::milliseconds{2000};
    /** After its start an instance listens this long before it takes servers. */
    duration settle_time = std::chrono::milliseconds{1000};
    /** Between two looks at who should own which server. */
    duration rebalance_interval = std::chrono::milliseconds{500};
    /** A former holder that is known to be gone is forgotten after this; longer than any request lives. */
    duration request_life_limit = std::chrono::seconds{120};
    /** After an order without an answer, its adapter stays unused on that server this long. */
    duration uncertain_hold = std::chrono::seconds{10};

    /** Attempts of one request over all servers. */
    std::uint32_t attempt_limit = 4;
    /** Time that a request waits for any server to be routable. */
    duration unrouted_limit = std::chrono::seconds{3};
    /** Wait for an owner to confirm a cancel before the outcome counts as unknown. */
    duration cancel_grace = std::chrono::milliseconds{500};
    /** Wait for the platform to answer a claim. */
    duration claim_limit = std::chrono::milliseconds{1500};
    /** Tokens in flight to a caller that reads slowly. */
    std::uint32_t credit_window = 256;

    placement_policy placement = placement_policy::cost;
    /** Requests that wait at one server. */
    std::uint32_t queue_limit = 256;
    /** Requests of at least this many tokens are long. */
    std::uint32_t long_tokens = 400;
    /** Share of a server's batch that long requests may fill. */
    double long_share = 0.5;
    /** How strongly short and important requests go first; 0 is first come, first served. */
    double length_weight = 4.0;
    /** Adapters per server whose eviction is recorded ahead of need. */
    std::uint32_t standby_intents = 3;
    /** An adapter used more recently than this is not evicted. */
    duration eviction_idle = std::chrono::milliseconds{250};
    /** Backoff after a failed load, doubled each time up to the limit. */
    duration load_backoff = std::chrono::milliseconds{500};
    duration load_backoff_limit = std::chrono::seconds{30};
    /** Time that a load takes on an idle store, for estimates. */
    duration load_time = std::chrono::milliseconds{250};
    /** Added to the estimate of a server in another region. */
    duration remote_penalty = std::chrono::milliseconds{150};
    /** Crashes of lone runs or of different servers before a fingerprint is quarantined. */
    std::uint32_t crash_limit = 2;
    /** Times that one load budget grant stays open without a release. */
    duration grant_limit = std::chrono::seconds{10};
    /** Instances per data centre that watch the platform for a new configuration. */
    std::uint32_t watchers_per_data_centre = 2;

    /** Mechanisms that a test switches off to see which checks notice; all on in service. */
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

/** Who an instance is; from its settings. */
struct instance_identity {
    instance_name name;
    start_id start;
    region_name region;
    data_centre_name data_centre;
    /** IP number and port that peers connect to. */
    std::string peer_address;
};

} // namespace lovageledge
