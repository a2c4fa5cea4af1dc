#pragma once

#include "lovageledge/coordination/membership.hpp"
#include "lovageledge/coordination/platform_calls.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lovageledge {

/** A change in the ownership of a server, which the instance passes on to the server_owner. */
struct ownership_event {
    enum class kind : std::uint8_t {
        /** This instance owns the server from now on; epoch and former are set. */
        began,
        /** The record is about to name a successor: stop admission, finish running requests and order nothing
            new. */
        handing_over,
        /** The handover was abandoned because no successor is available: resume admission. */
        resumed,
        /** Another instance owns the server, or none does. */
        lost,
        /** The record holds the intents under this instance's epoch, which also confirms the ownership. */
        recorded,
        /** The former holders in the record have changed. */
        former_holders_changed,
    };
    kind type = kind::began;
    server_name server;
    std::uint64_t epoch = 0;
    std::vector<protocol::Holder> former;
    std::set<adapter_key> intents;
    start_id server_start;
    /** For recorded: the greatest confirmation ticket requested before the write began. */
    std::uint64_t ticket = 0;
};

/**
    Decides which servers this instance owns and maintains their ownership records in the platform.

    Records are changed only by conditional updates, so that at most one instance holds an epoch. Ownership
    is not renewed periodically: a record is written when the owner changes, when the owner records which
    adapters it may evict or has its ownership confirmed, and when a former holder has drained or is gone.

    Not thread-safe; guarded by the lock of its shard.
*/
class ownership_manager {
public:
    ownership_manager(const instance_identity& self, const coordination_settings& settings,
                      const event_log& log, const membership& members, platform_calls& calls);

    /** Runs periodic work: rebalancing, retries of record reads and writes, removal of former holders
        that are gone. */
    void on_tick(const configuration& config, time_point now, command_list& out);

    /** Requests that eviction intents be recorded. Ignored unless is_owner(server).
        @param server_start the engine start that the intents are for */
    void record_intents(const server_name& server, const std::set<adapter_key>& intents,
                        const start_id& server_start, time_point now, command_list& out);
    /** Requests a write of the record that confirms the ownership. Ignored unless is_owner(server).
        @param ticket grows with each request; a recorded event with this ticket or a greater one comes from a
        write that began after this call */
    void confirm_ownership(const server_name& server, const start_id& server_start, std::uint64_t ticket,
                           time_point now, command_list& out);
    /** Handles an instance's announcement that it owns a server under an epoch. An instance that announces an
        older epoch than is known is told the later one. */
    void on_announced(const server_name& server, const instance_name& owner, std::uint64_t epoch,
                      time_point now, command_list& out);
    /** Handles a former holder's report that it has ended all its work on a server. The report is
        acknowledged once the record no longer lists the holder; until then the holder repeats it. */
    void on_drained(const instance_name& from, const start_id& start, const protocol::Drained& drained,
                    time_point now, command_list& out);
    /** Handles the acknowledgement of this instance's own report. */
    void on_drained_ack(const protocol::DrainedAck& ack);
    /** Handles a message that the record names this instance as the owner, or that a later epoch is known
        than the one that this instance holds: the record is read. */
    void on_handover(const protocol::Handover& handover, time_point now, command_list& out);
    /** Sets the state of this instance's work on a server that it has handed over, lost or is handing over.
        @param is_drained true if all work there has ended
        @param has_open_order true if an order to the engine is open; the handover waits for its end */
    void set_drained(const server_name& server, bool is_drained, bool has_open_order);
    /** Hands over all servers because this instance stops. */
    void set_draining() {
        is_draining_ = true;
        candidates_.clear();
    }

    /** @returns true if this instance owns no server, has ended its work on all former ones, and the known
        successors have acknowledged that */
    bool has_released_all_servers() const;
    /** @returns true if the server is owned and not being handed over */
    bool is_owner(const server_name& server) const;
    /** @returns events since the last call */
    std::vector<ownership_event> take_events();

private:
    enum class ownership_phase : std::uint8_t {
        none,
        /** Reads the record to see whether the server can be taken over. */
        reading,
        /** Writes a record that names this instance. */
        taking_over,
        owning,
        /** Admission has stopped; the handover waits for the end of an open order. */
        stopping,
        /** Writes a record that names the successor. */
        handing_over
    };
    struct server_state {
        ownership_phase phase = ownership_phase::none;
        std::uint64_t version = 0;
        protocol::OwnershipRecord record;
        /** Record whose write is in progress or to be repeated. */
        std::optional<protocol::OwnershipRecord> pending_record;
        int reported_former_count = 0;
        bool is_call_pending = false;
        bool needs_read_back = false;
        time_point next_attempt_at{};
        time_point owned_since{};
        duration takeover_backoff{};
        std::optional<std::set<adapter_key>> requested_intents;
        start_id requested_start;
        std::uint64_t requested_ticket = 0;
        std::uint64_t pending_ticket = 0;
        std::uint64_t recorded_ticket = 0;
        /** Former holders that reported that they have drained: name and start. */
        std::set<std::pair<std::string, std::string>> drained;
        /** Former holders that are gone, with the time at which that was first seen. */
        std::map<std::pair<std::string, std::string>, time_point> gone_since;
        bool has_open_order = false;
        /** Epoch of this instance's last ownership, until the successor has acknowledged that it drained. */
        std::optional<std::uint64_t> held_epoch;
        bool is_drained = false;
        time_point drained_sent{};
        /** Owner with the greatest epoch announced so far. */
        instance_name announced_owner;
        std::uint64_t announced_epoch = 0;
        time_point announced_at{};

        /** @returns true from the start of this instance's ownership to its end */
        bool holds_record() const {
            return phase == ownership_phase::owning || phase == ownership_phase::stopping ||
                   phase == ownership_phase::handing_over;
        }
    };

    void read(const server_name& server, server_state& state, command_list& out);
    void on_read(const server_name& server, const platform_response& response, time_point now,
                 command_list& out);
    void write(const server_name& server, server_state& state, protocol::OwnershipRecord record,
               command_list& out);
    void on_write(const server_name& server, const platform_response& response, time_point now,
                  command_list& out);
    void on_written(const server_name& server, server_state& state, time_point now, command_list& out);
    static void send_handover(const server_name& server, const instance_name& to, std::uint64_t epoch,
                              command_list& out);
    void notify_successor(const server_name& server, server_state& state, command_list& out);
    void begin_ownership(const server_name& server, server_state& state, time_point now);
    void end_ownership(const server_name& server, server_state& state, time_point now);
    void consider_takeover(const server_name& server, server_state& state, time_point now, command_list& out);
    void maintain_record(const server_name& server, server_state& state, time_point now, command_list& out);
    void write_requested_changes(const server_name& server, server_state& state, time_point now,
                                 command_list& out);
    void begin_handover(const server_name& server, server_state& state);
    void write_successor(const server_name& server, server_state& state, time_point now, command_list& out);
    void report_drained(const server_name& server, server_state& state, time_point now, command_list& out);
    bool remove_finished_holders(server_state& state, protocol::OwnershipRecord& record,
                                 time_point now) const;
    instance_name desired_owner(const backend_server& server);
    duration retry_pause(const server_name& server) const;
    bool is_self(const protocol::Holder& holder) const;
    protocol::Holder self_holder(std::uint64_t epoch) const;

    const instance_identity& self_;
    const coordination_settings& settings_;
    const event_log& log_;
    const membership& members_;
    platform_calls& calls_;
    std::map<server_name, server_state> server_states_;
    std::map<server_name, backend_server> declared_servers_;
    revision_number declared_revision_ = 0;
    /** An instance that may own servers, with the hash of its name. */
    struct candidate {
        std::uint64_t hash = 0;
        instance_name name;
    };
    /** Candidates by the servers' region; cleared at each rebalance. */
    std::map<region_name, std::vector<candidate>> candidates_;
    std::vector<ownership_event> events_;
    std::optional<time_point> first_tick_at_;
    time_point last_rebalance_{};
    bool is_draining_ = false;
    bool is_platform_up_ = false;
};

} // namespace lovageledge
