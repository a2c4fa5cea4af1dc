#pragma once

#include "lovageledge/coordination/configuration_manager.hpp"
#include "lovageledge/coordination/load_budget.hpp"
#include "lovageledge/coordination/membership.hpp"
#include "lovageledge/coordination/ownership_manager.hpp"
#include "lovageledge/coordination/quarantine.hpp"
#include "lovageledge/coordination/request_table.hpp"
#include "lovageledge/coordination/router.hpp"
#include "lovageledge/coordination/server_owner.hpp"
#include "lovageledge/coordination/sheet_publisher.hpp"

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <shared_mutex>

namespace lovageledge {

/** What an instance tells its operators about itself. */
struct node_status {
    struct server {
        server_name name;
        instance_name owner;
        std::uint64_t epoch = 0;
        start_id start;
        bool is_ready = false;
        bool is_leaving = false;
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        std::vector<adapter_key> adapters;
    };
    struct peer {
        instance_name name;
        start_id start;
        bool is_suspected = false;
        bool is_draining = false;
        revision_number revision = 0;
    };
    instance_name name;
    start_id start;
    revision_number revision = 0;
    bool is_ready = false;
    bool is_draining = false;
    std::size_t requests = 0;
    std::vector<peer> peers;
    std::vector<server> servers;
};

/**
    All decisions of one instance, without sockets, threads or timers of its own.

    Each method takes one event and the time, and returns the commands that follow; the caller carries them
    out and reports back. A daemon does so over the network, a test with fakes and a paused clock. State is
    kept in shards under locks of their own: one per backend server, one per group of requests, one for the
    directory, one for control. All methods may be called from any thread; on_tick() from one at a time.
*/
class node {
public:
    /** @param identity who this instance is @param settings how it decides @param log receives each event */
    node(instance_identity identity, coordination_settings settings, event_log log);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /** Adds a peer that the settings name, for a start while the platform is down. */
    command_list add_peer(const instance_name& name, const std::string& address);

    /** A caller's request. Precondition: authorised, its id new, is_ready(). */
    command_list accept(incoming_request ticket, time_point now);
    /** The caller took tokens off the stream. */
    command_list on_tokens_delivered(const request_id& id, std::uint32_t tokens, time_point now);
    /** The caller closed its connection. */
    command_list on_caller_disconnected(const request_id& id, time_point now);
    /** A plain service answered or failed. */
    command_list on_plain_service_ended(const request_id& id, const request_result& result, time_point now);

    /** A message from a peer. */
    command_list on_peer_message(const protocol::Envelope& message, time_point now);
    /** The answer to a call_platform command; every call must be answered once. */
    command_list on_platform_response(std::uint64_t call, const platform_response& answer, time_point now);

    /** Tokens of a dispatched request. @param offset of the first of them in the answer */
    command_list on_dispatch_progress(const server_name& server, const attempt_id& id, std::uint32_t offset,
                                      std::vector<std::string> tokens, time_point now);
    /** The end of a dispatched request. @param tokens of the whole answer */
    command_list on_dispatch_ended(const server_name& server, const attempt_id& id,
                                   const request_result& result, std::uint32_t tokens, time_point now);
    /** An engine confirmed that a request whose answer broke off does not run any more. */
    command_list on_dispatch_end_confirmed(const server_name& server, const attempt_id& id, time_point now);
    /** A new or asked-for status of a server, told on its order connection. */
    command_list on_server_status(const server_name& server, const start_id& start,
                                  const std::vector<adapter_key>& loaded, bool is_leaving, time_point now);
    /** The order connection broke or could not be opened. */
    command_list on_server_unreachable(const server_name& server, time_point now);
    /** An engine's answer to order_load. */
    command_list on_load_answer(const server_name& server, const adapter_key& key,
                                server_owner::order_result result, time_point now);
    /** An engine's answer to order_unload. */
    command_list on_unload_answer(const server_name& server, const adapter_key& key,
                                  server_owner::order_result result, time_point now);

    /** Puts an operator's sheet in force; the end comes as finish_publication. */
    command_list publish_sheet(publication_request request, time_point now);

    /** Timed work. Call it every 20 to 50 ms. */
    command_list on_tick(time_point now);

    /** Starts the planned stop: peers take over the servers, requests that came before go on. */
    command_list begin_drain(time_point now);
    /** @returns true if nothing is left to hand over or to finish */
    bool is_drained() const;
    /** @returns true if requests can be accepted: a configuration is in force and no drain has begun */
    bool is_ready() const;

    /** @returns the configuration in force, or nullptr */
    configuration_ptr current_configuration() const { return std::atomic_load(&configuration_); }
    /** @returns the sheet in force */
    std::string current_sheet() const;
    node_status status() const;
    const instance_identity& identity() const { return identity_; }

    /** Replaces the cost by which a server is chosen; for baselines and experiments. */
    void set_cost_function(router::cost_function cost);

private:
    struct owner_shard;
    struct request_shard;
    static constexpr std::size_t request_shard_count = 16;

    request_shard& shard_of(const request_id& id);
    std::shared_ptr<owner_shard> find_owner(const server_name& server) const;
    std::shared_ptr<owner_shard> make_owner(const backend_server& server, bool has_fencing);
    template <class Event>
    void with_owner(const server_name& server, time_point now, command_list& out, Event&& event_function);
    void carry_out_wishes(const server_name& server, const start_id& server_start, owner_actions wishes,
                          time_point now, command_list& out);
    void note_crashes(const std::vector<std::string>& crashed, const std::vector<std::string>& cleared,
                      time_point now);
    void apply_ownership_events(time_point now, command_list& out);
    void apply_ownership_event(const ownership_event& change, const configuration& config, time_point now,
                               command_list& out);
    void apply_configuration();
    void apply_leaving(time_point now, command_list& out);
    void on_list(const platform_response& answer, time_point now, command_list& out);
    void list_instances(time_point now, command_list& out);

    void handle_peer(const protocol::Envelope& message, time_point now, command_list& out);
    void on_heartbeat(const instance_name& from, const start_id& start, const protocol::Heartbeat& heartbeat,
                      time_point now, command_list& out);
    void on_submit(const instance_name& from, const protocol::Submit& submit, time_point now,
                   command_list& out);
    void lose_owner(const instance_name& owner, time_point now, command_list& out);
    void send_heartbeats(time_point now, command_list& out);
    protocol::Heartbeat make_heartbeat(time_point now);
    void tick_owners(time_point now, command_list& out);
    void tick_budget(time_point now, command_list& out);
    void send_to_budget_holder(protocol::Envelope message, command_list& out) const;
    /** Delivers messages to ourselves and signs the others, until only commands for the shell are left. */
    command_list settle(command_list commands, time_point now);

    instance_identity identity_;
    coordination_settings settings_;
    event_log log_;

    mutable std::mutex control_mutex_;
    membership members_;
    platform_calls control_calls_;
    ownership_manager ownership_;
    configuration_manager configurations_;
    sheet_publisher publisher_;
    load_budget budget_;
    std::map<instance_name, std::string> addresses_;
    std::set<server_name> listed_leaving_;
    /** Engine starts at the time when the list began to name their servers as leaving. */
    std::map<server_name, start_id> listed_starts_;
    time_point next_list_{};
    bool is_listing_ = false;
    time_point next_heartbeat_{};
    std::uint64_t heartbeat_sequence_ = 0;
    std::map<server_name, std::uint64_t> told_generations_;

    mutable std::mutex router_mutex_;
    router router_;

    mutable std::mutex quarantine_mutex_;
    quarantine quarantine_;
    std::uint64_t told_quarantine_ = 0;

    mutable std::shared_mutex owners_mutex_;
    std::map<server_name, std::shared_ptr<owner_shard>> owners_;

    std::array<std::unique_ptr<request_shard>, request_shard_count> request_shards_;
    configuration_ptr configuration_;
    std::atomic<bool> is_draining_{false};
};

} // namespace lovageledge
