#pragma once

#include "lovageledge/coordination/command.hpp"
#include "lovageledge/coordination/server_load.hpp"
#include "lovageledge/coordination/settings.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovageledge {

/** What a server owner asks the rest of its instance to do after an event. */
struct owner_actions {
    /** Eviction intents to record in the platform; no value if the recorded ones suffice. */
    std::optional<std::set<adapter_key>> intents;
    /** Asks for a write that confirms the ownership. The adapters found on the server may be used only after
        such a write, begun after this request, has succeeded. */
    std::optional<std::uint64_t> confirmation_ticket;
    /** Loads to request from the load budget, with their weights. */
    std::vector<std::pair<adapter_key, std::uint32_t>> budget_requests;
    /** Loads that have ended or are no longer needed. */
    std::vector<adapter_key> budget_releases;
};

/**
    Schedules one backend server while this instance owns it: queues requests, admits them to the engine, and
    decides which adapters are loaded and evicted.

    At most one order to the engine is open at a time, so that no admission overtakes an eviction in transit.
    An eviction is ordered only for an adapter that no request uses and whose eviction intent is in the
    platform's ownership record. A successor reads the record and does not use such an adapter while this
    instance may be alive. This does not depend on clocks, nor on the engine checking fencing numbers; see
    docs/DESIGN.md.

    Not thread-safe; guarded by the lock of its shard.
*/
class server_owner {
public:
    /** @param server as declared in the sheet
        @param has_fencing true if the engine rejects outdated fencing numbers
        @param self the owning instance, kept by reference
        @param settings kept by reference
        @param log kept by reference */
    server_owner(backend_server server, bool has_fencing, const instance_identity& self,
                 const coordination_settings& settings, const event_log& log);

    /** Starts ownership.
        @param epoch epoch of the ownership record
        @param former_holders former owners that have not drained yet */
    void begin(std::uint64_t epoch, std::vector<protocol::Holder> former_holders, time_point now,
               command_list& out);
    /** Replaces the former holders after some have drained or are gone. */
    void set_former_holders(std::vector<protocol::Holder> former_holders, time_point now);

    /** Stops admission and gives up the right to evict: waiting requests are refused as not run, running
        requests continue.
        @param reason reason given in the refusals */
    void stop_admission(const std::string& reason, command_list& out);
    /** Resumes admission after stop_admission(). */
    void resume_admission();
    /** @returns true if admission has stopped, no request may still run and no order is open; remains true
        until begin() or resume_admission() */
    bool is_drained() const {
        return !is_admitting_ && running_.empty() && possibly_running_.empty() && !has_open_order();
    }
    /** @returns true if an order awaits its answer, or got none and may still take effect on the engine */
    bool has_open_order() const { return open_order_.has_value() || !uncertain_until_.empty(); }

    /** Handles an attempt of a request, submitted by its entry instance. An attempt that is already
        waiting or running is ignored. */
    void on_submit(const instance_name& from, const protocol::Submit& submit, const configuration& config,
                   time_point now, command_list& out);
    /** Cancels an attempt for its entry instance: a waiting one is refused as not run, a running one is
        cancelled on the engine. */
    void on_cancel(const attempt_id& id, command_list& out);
    /** Handles flow control: the caller has consumed tokens. */
    void on_credit(const attempt_id& id, std::uint32_t tokens, command_list& out);

    /** Handles tokens from the engine.
        @param offset position of the first one in the response */
    void on_progress(const attempt_id& id, std::uint32_t offset, std::vector<std::string> tokens,
                     time_point now, command_list& out);
    /** Handles the end of the engine's response.
        @param tokens number of tokens produced */
    void on_ended(const attempt_id& id, const request_result& result, std::uint32_t tokens,
                  const configuration& config, time_point now, command_list& out);

    /** Handles the engine's confirmation that a request whose response broke off no longer runs. */
    void on_released(const attempt_id& id, const configuration& config, time_point now, command_list& out);

    /** Handles a status report: the order connection is open.
        @param start the engine's current start
        @param loaded the adapters in the engine's slots */
    void on_status(const start_id& start, const std::vector<adapter_key>& loaded, const configuration& config,
                   time_point now, command_list& out);
    /** Handles an order connection that was lost or could not be opened. */
    void on_unreachable(time_point now, command_list& out);

    enum class order_result : std::uint8_t { done, refused, already_loaded, no_slot, no_answer };
    /** Handles the answer to a load order; ignored unless that order is open. */
    void on_load_answer(const adapter_key& key, order_result result, const configuration& config,
                        time_point now, command_list& out);
    /** Handles the answer to an unload order; ignored unless that order is open. */
    void on_unload_answer(const adapter_key& key, order_result result, const configuration& config,
                          time_point now, command_list& out);
    /** Handles a grant from the load budget. */
    void on_budget_grant(const adapter_key& key, const configuration& config, time_point now,
                         command_list& out);
    /** Handles a completed write of the ownership record under this instance's epoch, which also confirms the
        ownership.
        @param intents eviction intents in the record
        @param recorded_start engine start in the record
        @param ticket greatest confirmation ticket requested before the write began */
    void on_recorded(const std::set<adapter_key>& intents, const start_id& recorded_start,
                     std::uint64_t ticket, const configuration& config, time_point now, command_list& out);
    /** Marks the server as leaving: no request is admitted for this engine start any more. */
    void set_leaving(const start_id& start, command_list& out);

    /** Runs periodic work: deadlines, probes, load backoff and repeated budget requests. */
    void on_tick(const configuration& config, time_point now, command_list& out);

    /** @returns the actions requested since the last call */
    owner_actions take_actions();
    /** A request that ran when the engine crashed. */
    struct crashed_request {
        std::string fingerprint;
        /** The engine's run that ended. */
        start_id engine_start;
    };
    /** @returns the requests that ran when the engine crashed, since the last call */
    std::vector<crashed_request> take_crashed_requests();
    /** @returns fingerprints of suspects that completed normally, since the last call */
    std::vector<std::string> take_cleared_fingerprints();
    /** Sets the fingerprints that are suspected of crashing engines: their requests run one at a time,
        with no other request on the server. */
    void set_suspects(const std::set<std::string>& suspects) { suspects_ = suspects; }

    /** @returns the load that is reported to the entry instances */
    server_load load() const;
    /** @returns the adapters that requests may use now */
    std::vector<adapter_key> usable_adapters() const { return slots_.usable(); }
    const backend_server& server() const { return server_; }
    std::uint64_t epoch() const { return epoch_; }
    const start_id& server_start() const { return start_; }

private:
    struct waiting_request {
        instance_name from;
        attempt_id id;
        adapter_key key;
        protocol::RequestSpec spec;
        time_point arrived;
        time_point deadline;
        /** Added to the arrival time; the request with the smallest sum is admitted first. */
        duration priority_delay{};
    };
    struct running_request {
        instance_name from;
        adapter_key key;
        std::string fingerprint;
        std::uint32_t expected_tokens = 0;
        std::uint32_t sent_tokens = 0;
        time_point started;
        time_point last_token;
        bool is_exclusive = false;
        bool is_cancelled = false;
        /** False once the engine has restarted: the slot table no longer counts this use. */
        bool holds_slot = true;
    };
    enum class load_phase : std::uint8_t { requesting_budget, granted, ordered, backing_off };
    struct load_request {
        load_phase phase = load_phase::requesting_budget;
        /** When the adapter was first requested; the oldest request is loaded first. */
        time_point requested_at;
        time_point phase_since;
        std::uint32_t failures = 0;
    };
    struct open_order {
        adapter_key key;
        bool is_load = false;
        time_point since;
    };

    void refuse(const waiting_request& request, const std::string& reason, command_list& out);
    void send(const instance_name& to, protocol::Envelope message, command_list& out) const;
    void schedule(const configuration& config, time_point now, command_list& out);
    void admit_waiting(time_point now, command_list& out);
    bool may_admit(const waiting_request& request) const;
    void admit(const std::deque<waiting_request>::iterator& request, time_point now, command_list& out);
    void update_load_requests(time_point now);
    void order_next_load(const configuration& config, time_point now, command_list& out);
    void update_eviction_intents(time_point now);
    void mark_uncertain(const adapter_key& key, time_point now);
    void update_blocked_adapters(time_point now);
    void add_unconfirmed_adapters(time_point now);
    void increment_generation();
    bool is_held_after_pause(time_point now) const;
    bool has_exclusive_request() const;
    std::uint32_t long_request_count() const;
    std::set<adapter_key> waiting_adapters() const;
    duration estimated_wait() const;
    duration estimated_load() const;
    duration priority_delay_of(const protocol::RequestSpec& spec) const;

    backend_server server_;
    bool has_fencing_;
    const instance_identity& self_;
    const coordination_settings& settings_;
    const event_log& log_;

    std::uint64_t epoch_ = 0;
    std::vector<protocol::Holder> former_holders_;
    /** True once the engine has executed an order of this owner, so that it rejects older fencing numbers. */
    bool has_fenced_engine_ = false;
    bool is_admitting_ = false;
    bool may_evict_ = false;
    bool is_reachable_ = false;
    std::optional<start_id> leaving_start_;
    start_id start_;
    /** Adapters from a status report that may not be used before a record write confirms the ownership. */
    std::vector<adapter_key> unconfirmed_adapters_;
    std::uint64_t confirmation_ticket_ = 0;

    slot_table slots_;
    std::uint64_t generation_ = 0;
    std::deque<waiting_request> waiting_;
    std::map<attempt_id, running_request> running_;
    /** Requests whose response broke off. The engine may still run them, so their adapters stay in use. */
    std::map<attempt_id, adapter_key> possibly_running_;
    std::unordered_map<adapter_key, load_request> load_requests_;
    std::optional<open_order> open_order_;
    /** Adapters whose unload order got no answer; they are not used before the given time. */
    std::map<adapter_key, time_point> uncertain_until_;
    std::set<std::string> suspects_;
    /** End of the last exclusive run; other requests are admitted for a while before the next one. */
    time_point last_exclusive_end_{};
    /** Fingerprints of requests whose connection broke, with the time. */
    std::vector<std::pair<std::string, time_point>> recent_disconnects_;
    std::vector<crashed_request> crashed_requests_;
    std::vector<std::string> cleared_fingerprints_;
    owner_actions actions_;
    /** Intents that were requested and are not recorded yet. */
    std::optional<std::set<adapter_key>> pending_intents_;
    time_point last_probe_{};
    time_point last_tick_{};
    /** After a pause of the process, nothing is admitted or ordered until peers have had time to report what
        changed. */
    time_point pause_hold_until_{};
    duration mean_token_time_ = std::chrono::milliseconds{10};
    /** Mean token limit of requests that are not long. */
    duration::rep mean_short_tokens_ = 32;
    /** Mean time from the request for an adapter to the end of its load. */
    duration mean_load_delay_{0};
    duration mean_first_token_time_ = std::chrono::milliseconds{20};
};

} // namespace lovageledge
