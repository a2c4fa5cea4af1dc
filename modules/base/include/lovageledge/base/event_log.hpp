#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

namespace lovageledge {

/** The numbered events of the log. docs/EVENTS.md lists them; a test checks that list and enum agree. */
enum class event : std::uint16_t {
    instance_started = 100,
    instance_stopping = 101,
    instance_stopped = 102,
    peer_suspected = 110,
    peer_returned = 111,
    peer_restarted = 112,
    configuration_adopted = 200,
    configuration_rejected = 201,
    keys_outdated = 202,
    keys_current = 203,
    ownership_taken = 300,
    ownership_lost = 301,
    ownership_handed_over = 302,
    holder_drained = 303,
    server_ready = 310,
    server_lost = 311,
    server_leaving = 312,
    request_routed = 400,
    request_refused = 401,
    request_finished = 402,
    request_retried = 403,
    request_claimed = 404,
    request_duplicate = 405,
    request_cancelled = 406,
    message_given_up = 407,
    connections_closed = 408,
    requests_waiting = 409,
    usage_cap_reached = 410,
    usage_cap_relieved = 411,
    request_unanswered = 412,
    adapter_load_ordered = 500,
    adapter_load_failed = 501,
    adapter_evict_ordered = 502,
    adapter_uncertain = 503,
    evict_intents_recorded = 504,
    load_budget_granted = 510,
    fingerprint_suspected = 600,
    fingerprint_quarantined = 601,
    fingerprint_cleared = 602,
    settings_reloaded = 103,
    event_loop_delayed = 104,
    dependency_lost = 120,
    dependency_regained = 121,
    reading_source_changed = 122,
    backend_listed = 320,
    backend_dropped = 321,
    backend_entry_rejected = 322,
    backend_avoided = 323,
    backend_leaving = 324,
    backend_paused = 325,
    backend_header_malformed = 326,
    backend_speed_changed = 327,
    order_domain_taken = 330,
    order_domain_lost = 331,
    order_authority_gained = 332,
    order_authority_lost = 333,
    version_announced = 505,
};

/** Callback that receives an event and its details as one line of text. Called on the thread that raised the
    event, while the lock that guards the affected state is held. */
using event_log = std::function<void(event, std::string_view)>;

} // namespace lovageledge
