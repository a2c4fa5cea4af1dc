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

/** What an owner wants from the rest of its instance after an event. */
struct owner_actions {
    /** Intents to record; empty optional if the recorded ones suffice. */
    std::optional<std::set<adapter_key>> intents;
    /** The adapters found on the server may be used only after a write that began after this wish has
        confirmed our ownership. */
    std::optional<std::uint64_t> confirmation_ticket;
    /** Loads to ask the budget for, with their weight. */
    std::vector<std::pair<adapter_key, std::uint32_t>> budget_requests;
    /** Loads that ended or are no longer wanted. */
    std::vector<adapter_key> budget_releases;
};

/**
    Runs one backend server for as long as this instance owns it: the queue, which request runs next, and
    which adapters are loaded and evicted.

    Orders to the engine are serial, so that no admission passes an eviction on the wire. An eviction is
    ordered only for an adapter that no request uses and whose intent the platform's record holds; a
    successor reads the record and never uses such an adapter while this instance may be alive. That holds
    without any clock, whether the engine checks fencing numbers or not. docs/DESIGN.md tells why.

    Not thread-safe; the shard's lock guards it.
*/
class server_owner {
public:
    /** @param server what the sheet declares @param fencing true if the engine refuses old fencing numbers
        @param self the instance that owns it @param settings kept by reference */
    server_owner(backend_server server, bool fencing, const instance_identity& self,
                 const coordination_settings& settings, const event_log& log);

    /** Starts ownership. @param epoch of the record @param former holders that are not drained */
    void begin(std::uint64_t epoch, std::vector<protocol::Holder> former, time_point now, command_list& out);
    /** Replaces the former holders, when some are drained or gone. */
    void set_former_holders(std::vector<protocol::Holder> former, time_point now);

    /** Stops admission and gives up every right to evict: waiting requests are refused as not run, running
       ones go on. @param reason for the refusals */
    void stop_admission(const std::string& reason, command_list& out);
    /** Takes admission up again after stop_admission(). */
    void resume_admission();
    /** @returns true if admission has stopped, no request runs and no order is open; it stays so until
     * begin() */
    bool is_drained() const {
        return !is_admitting_ && running_.empty() && lingering_.empty() && !has_open_order();
    }
    /** @returns true if an order to the engine has no answer yet, or got none and may still arrive there */
    bool has_open_order() const { return open_order_.has_value() || !uncertain_until_.empty(); }

    /** A request arrives from its entry. A repeated attempt is ignored. */
    void on_submit(const instance_name& from, const protocol::Submit& submit, const configuration& config,
                   time_point now, command_list& out);
    /** Its entry gives an attempt up; a waiting one is confirmed as not run, a running one is cancelled. */
    void on_cancel(const attempt_id& id, command_list& out);
    /** The caller took tokens. */
    void on_credit(const attempt_id& id, std::uint32_t tokens, command_list& out);

    /** The engine produced tokens. @param offset of the first */
    void on_progress(const attempt_id& id, std::uint32_t offset, std::vector<std::string> tokens,
                     time_point now, command_list& out);
    /** The engine's answer ended. */
    void on_ended(const attempt_id& id, const request_result& result, std::uint32_t tokens,
                  const configuration& config, time_point now, command_list& out);

    /** The engine confirmed that a request whose answer broke off does not run any more. */
    void on_released(const attempt_id& id, const configuration& config, time_point now, command_list& out);

    /** The order connection is open and the engine told its state. */
    void on_status(const start_id& start, const std::vector<adapter_key>& loaded, const configuration& config,
                   time_point now, command_list& out);
    /** The order connection is lost or could not be opened. */
    void on_unreachable(time_point now, command_list& out);

    enum class order_result : std::uint8_t { done, refused, already_loaded, no_slot, no_answer };
    /** A load order was answered. */
    void on_load_answer(const adapter_key& key, order_result result, const configuration& config,
                        time_point now, command_list& out);
    /** An unload order was answered. */
    void on_unload_answer(const adapter_key& key, order_result result, const configuration& config,
                          time_point now, command_list& out);
    /** The budget allows a load. */
    void on_budget_grant(const adapter_key& key, const configuration& config, time_point now,
                         command_list& out);
    /** The record holds these intents under our epoch. @param recorded_for the engine start that stands in
        the record @param ticket the last confirmation ticket that was asked for before the write began */
    void on_recorded(const std::set<adapter_key>& intents, const start_id& recorded_for, std::uint64_t ticket,
                     const configuration& config, time_point now, command_list& out);
    /** The server leaves: nothing new is admitted for this engine start. */
    void set_leaving(const start_id& start, command_list& out);

    /** Timed work: deadlines, backoff, repeated budget requests. */
    void on_tick(const configuration& config, time_point now, command_list& out);

    /** @returns what the event before left to do; each wish is reported once */
    owner_actions take_actions();
    /** @returns fingerprints that ran when the engine crashed; each is reported once */
    std::vector<std::string> take_crashed_fingerprints();
    /** @returns fingerprints of suspects that ended in good order; each is reported once */
    std::vector<std::string> take_cleared_fingerprints();
    /** Fingerprints that may crash an engine: each runs alone. */
    void set_suspects(const std::set<std::string>& suspects) { suspects_ = suspects; }

    /** @returns the load as entries are told it */
    server_load load() const;
    /** @returns the adapters that requests can use now */
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
        duration rank{};
    };
    struct running_request {
        instance_name from;
        adapter_key key;
        std::string fingerprint;
        std::uint32_t expected_tokens = 0;
        std::uint32_t sent_tokens = 0;
        time_point started;
        time_point last_token;
        bool is_alone = false;
        bool is_cancelled = false;
        /** False if the engine restarted since: its slot is not counted any more. */
        bool holds_slot = true;
    };
    enum class load_step : std::uint8_t { asking, granted, ordered, backing_off };
    struct wanted_load {
        load_step step = load_step::asking;
        /** When the adapter was first wanted; the oldest goes first. */
        time_point wanted;
        time_point since;
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
    void want_loads(time_point now);
    void order_next_load(const configuration& config, time_point now, command_list& out);
    void refresh_intents(time_point now);
    void mark_uncertain(const adapter_key& key, time_point now);
    void update_poisoned(time_point now);
    void adopt_unconfirmed(time_point now);
    void touch_generation();
    bool is_held_after_pause(time_point now) const;
    bool has_lone_run() const;
    std::uint32_t long_running() const;
    std::set<adapter_key> waiting_adapters() const;
    duration estimated_wait() const;
    duration estimated_load() const;
    duration rank_of(const protocol::RequestSpec& spec) const;

    backend_server server_;
    bool has_fencing_;
    const instance_identity& self_;
    const coordination_settings& settings_;
    const event_log& log_;

    std::uint64_t epoch_ = 0;
    std::vector<protocol::Holder> former_;
    bool is_fenced_ = false;
    bool is_admitting_ = false;
    bool may_evict_ = false;
    bool is_reachable_ = false;
    std::optional<start_id> leaving_start_;
    start_id start_;
    /** Adapters seen in a status that no record has confirmed yet. */
    std::vector<adapter_key> unconfirmed_;
    std::uint64_t confirmation_ticket_ = 0;

    slot_table slots_;
    std::uint64_t generation_ = 0;
    std::deque<waiting_request> waiting_;
    std::map<attempt_id, running_request> running_;
    /** Requests whose answer broke off; the engine may run them still, so they go on using their adapter. */
    std::map<attempt_id, adapter_key> lingering_;
    std::unordered_map<adapter_key, wanted_load> loads_;
    std::optional<open_order> open_order_;
    std::map<adapter_key, time_point> uncertain_until_;
    std::set<std::string> suspects_;
    /** Others get their turn between two lone runs. */
    time_point last_lone_run_{};
    std::vector<std::pair<std::string, time_point>> broken_;
    std::vector<std::string> crashed_;
    std::vector<std::string> cleared_;
    owner_actions wishes_;
    std::optional<std::set<adapter_key>> asked_intents_;
    time_point last_probe_{};
    time_point last_tick_{};
    /** After a pause nothing is admitted until peers had time to tell what changed meanwhile. */
    time_point hold_until_{};
    duration token_time_ = std::chrono::milliseconds{10};
    /** Mean length of requests that are not long. */
    duration::rep short_tokens_ = 32;
    /** Mean time from a wish to its adapter's first use. */
    duration load_delay_;
    duration first_token_time_ = std::chrono::milliseconds{20};
};

} // namespace lovageledge
