#pragma once

#include "lovageledge/coordination/membership.hpp"
#include "lovageledge/coordination/platform_calls.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lovageledge {

/** What happened to the ownership of a server; the instance passes it on to its server_owner. */
struct ownership_event {
    enum class kind : std::uint8_t {
        /** This instance owns the server from now on. */
        began,
        /** Stop admitting, finish what runs, order nothing new; the record is about to name a successor. */
        handing_over,
        /** No successor is there after all: admit again. */
        resumed,
        /** Another instance owns it. */
        lost,
        /** The record holds these intents under our epoch; it also confirms the ownership. */
        recorded,
        /** The former holders have changed. */
        former_holders_changed,
    };
    kind what = kind::began;
    server_name server;
    std::uint64_t epoch = 0;
    std::vector<protocol::Holder> former;
    std::set<adapter_key> intents;
    start_id server_start;
    /** For recorded: the greatest confirmation ticket that was asked for before the write began. */
    std::uint64_t ticket = 0;
};

/**
    Decides which servers this instance owns, and keeps their records in the platform.

    A record changes only by conditional update, so that at most one instance holds an epoch. There are no
    renewals: a record is written when an owner changes, when an owner records which adapters it may evict,
    and when a former holder is drained. Not thread-safe; the shard's lock guards it.
*/
class ownership_manager {
public:
    ownership_manager(const instance_identity& self, const coordination_settings& settings,
                      const event_log& log, const membership& members, platform_calls& calls);

    /** Timed work: who should own what, retries of records, former holders that are gone. */
    void on_tick(const configuration& config, time_point now, command_list& out);

    /** Wants intents recorded. Precondition: the server is owned. */
    void record_intents(const server_name& server, const std::set<adapter_key>& intents,
                        const start_id& server_start, time_point now, command_list& out);
    /** Wants the record to confirm that we own the server still. @param ticket grows with each wish; a
        recorded event that carries it comes from a write that began after this call */
    void confirm_ownership(const server_name& server, const start_id& server_start, std::uint64_t ticket,
                           time_point now, command_list& out);
    /** A peer announces an epoch of a server. */
    void on_announced(const server_name& server, const instance_name& owner, std::uint64_t epoch,
                      time_point now);
    /** A former holder has ended all its work on a server; it is answered. */
    void on_drained(const instance_name& from, const start_id& start, const protocol::Drained& drained,
                    time_point now, command_list& out);
    void on_drained_ack(const protocol::DrainedAck& ack);
    /** A former owner names us its successor. */
    void on_handover(const protocol::Handover& handover, time_point now, command_list& out);
    /** Our own work on a server that we do not own any more has ended; or no order is open any more on one
        that we hand over. */
    void set_drained(const server_name& server, bool is_drained, bool has_open_order);
    /** This instance stops: all servers are handed over. */
    void set_draining() {
        is_draining_ = true;
        candidates_.clear();
    }

    /** @returns true if this instance owns nothing and all its drains are acknowledged */
    bool has_released_all_servers() const;
    /** @returns true if the server is owned and not being handed over */
    bool is_owner(const server_name& server) const;
    /** @returns events since the last call */
    std::vector<ownership_event> take_events();

private:
    enum class phase : std::uint8_t { none, reading, taking, owning, stopping, handing_over };
    struct entry {
        phase step = phase::none;
        std::uint64_t version = 0;
        protocol::OwnershipRecord record;
        /** The content on its way to the platform, while a write is open. */
        std::optional<protocol::OwnershipRecord> pending;
        int former_in_record = 0;
        bool is_call_open = false;
        bool needs_read_back = false;
        time_point next_try{};
        time_point owned_since{};
        duration take_backoff{};
        std::optional<std::set<adapter_key>> wanted_intents;
        start_id wanted_start;
        std::uint64_t wanted_ticket = 0;
        std::uint64_t pending_ticket = 0;
        std::uint64_t recorded_ticket = 0;
        std::set<std::pair<std::string, std::string>> drained;
        std::map<std::pair<std::string, std::string>, time_point> gone_since;
        bool has_open_order = false;
        /** Set while we were owner and are not acknowledged as drained. */
        std::optional<std::uint64_t> held_epoch;
        bool is_drained = false;
        time_point drained_sent{};
        /** Owner and epoch that were announced last. */
        instance_name announced_owner;
        std::uint64_t announced_epoch = 0;
        time_point announced_at{};
    };

    void read(const server_name& server, entry& item, command_list& out);
    void on_read(const server_name& server, const platform_response& answer, time_point now,
                 command_list& out);
    void write(const server_name& server, entry& item, protocol::OwnershipRecord record, command_list& out);
    void on_write(const server_name& server, const platform_response& answer, time_point now,
                  command_list& out);
    void on_written(const server_name& server, entry& item, time_point now, command_list& out);
    static void remind_owner(const server_name& server, const protocol::Holder& owner, command_list& out);
    void announce_successor(const server_name& server, entry& item, command_list& out);
    void adopt(const server_name& server, entry& item, time_point now);
    void lose(const server_name& server, entry& item, time_point now);
    void consider_taking(const server_name& server, entry& item, time_point now, command_list& out);
    void maintain(const server_name& server, entry& item, time_point now, command_list& out);
    void write_wishes(const server_name& server, entry& item, time_point now, command_list& out);
    void begin_handover(const server_name& server, entry& item);
    void write_successor(const server_name& server, entry& item, time_point now, command_list& out);
    void report_drained(const server_name& server, entry& item, time_point now, command_list& out);
    bool drop_finished_holders(entry& item, protocol::OwnershipRecord& record, time_point now) const;
    instance_name desired_owner(const backend_server& server);
    duration retry_pause(const server_name& server) const;
    bool is_self(const protocol::Holder& holder) const;
    protocol::Holder self_holder(std::uint64_t epoch) const;

    const instance_identity& self_;
    const coordination_settings& settings_;
    const event_log& log_;
    const membership& members_;
    platform_calls& calls_;
    std::map<server_name, entry> entries_;
    std::map<server_name, backend_server> declared_;
    revision_number declared_revision_ = 0;
    /** An instance that may own servers, with the hash of its name. */
    struct candidate {
        std::uint64_t hash = 0;
        instance_name name;
    };
    /** By the servers' region; renewed with each rebalance. */
    std::map<region_name, std::vector<candidate>> candidates_;
    std::vector<ownership_event> events_;
    std::optional<time_point> started_;
    time_point last_rebalance_{};
    bool is_draining_ = false;
    bool is_platform_up_ = false;
};

} // namespace lovageledge
