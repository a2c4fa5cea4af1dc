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

/** The state of an instance as shown to operators. */
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
    Makes all decisions of one instance. Has no sockets, threads or timers of its own.

    Each method takes an event and the current time and returns the resulting commands. The enclosing
    program executes them and reports the results through further calls: a daemon executes them over the
    network, a test with fakes and a simulated clock. State is divided into shards with separate locks: one
    per backend server, one per group of requests, one for the directory of servers, one for the quarantine
    and one for control.

    Thread-safe, except that on_tick() must not be called concurrently with itself.
*/
class node {
public:
    /** @param identity of this instance @param settings that control its decisions @param log receives all
        events */
    node(instance_identity identity, coordination_settings settings, event_log log);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /** Adds a peer from the settings, so that the instance finds its peers while the platform is down. */
    command_list add_peer(const instance_name& name, const std::string& address);

    /** Accepts a caller's request. Preconditions: it is authorised, its id is new, and is_ready() is
        true. */
    command_list accept(incoming_request incoming, time_point now);
    /** Handles the delivery of tokens to the caller. */
    command_list on_tokens_delivered(const request_id& id, std::uint32_t tokens, time_point now);
    /** Handles a disconnect of the caller. */
    command_list on_caller_disconnected(const request_id& id, time_point now);
    /** Handles the end of a call to a plain service. */
    command_list on_plain_service_ended(const request_id& id, const request_result& result, time_point now);

    /** Handles a message from a peer. */
    command_list on_peer_message(const protocol::Envelope& message, time_point now);
    /** Handles the response to a call_platform command. Every call must get exactly one response. */
    command_list on_platform_response(std::uint64_t call, const platform_response& response, time_point now);

    /** Handles tokens of a dispatched request. @param offset position of the first one in the response */
    command_list on_dispatch_progress(const server_name& server, const attempt_id& id, std::uint32_t offset,
                                      std::vector<std::string> tokens, time_point now);
    /** Handles the end of a dispatched request. @param tokens number of tokens of the whole response */
    command_list on_dispatch_ended(const server_name& server, const attempt_id& id,
                                   const request_result& result, std::uint32_t tokens, time_point now);
    /** Handles an engine's confirmation that it no longer runs a request whose response stream broke
        off. */
    command_list on_dispatch_end_confirmed(const server_name& server, const attempt_id& id, time_point now);
    /** Handles a server's status from its order connection, both requested and unsolicited. */
    command_list on_server_status(const server_name& server, const start_id& start,
                                  const std::vector<adapter_key>& loaded, bool is_leaving, time_point now);
    /** Handles the loss of a server's order connection, or the failure to open one. */
    command_list on_server_unreachable(const server_name& server, time_point now);
    /** Handles an engine's response to order_load. */
    command_list on_load_answer(const server_name& server, const adapter_key& key,
                                server_owner::order_result result, time_point now);
    /** Handles an engine's response to order_unload. */
    command_list on_unload_answer(const server_name& server, const adapter_key& key,
                                  server_owner::order_result result, time_point now);

    /** Starts to put an operator's sheet in force; the result is reported by a finish_publication
        command. */
    command_list publish_sheet(publication_request request, time_point now);

    /** Handles timeouts and periodic work. To be called every 20 to 50 ms. */
    command_list on_tick(time_point now);

    /** Starts a planned shutdown: servers are handed over to peers, requests that were accepted earlier
        continue. */
    command_list begin_drain(time_point now);
    /** @returns true if all servers are handed over, all requests finished and all unused claims removed */
    bool is_drained() const;
    /** Ends the requests that are still open when the process ends, see request_table::cut_all().
        @returns their number */
    std::size_t cut_requests(time_point now);
    /** @returns true if requests can be accepted, i.e. a configuration is in force and no drain has
        begun */
    bool is_ready() const;

    /** @returns the configuration in force, or nullptr */
    configuration_ptr current_configuration() const { return std::atomic_load(&configuration_); }
    /** @returns the sheet in force */
    std::string current_sheet() const;
    node_status status() const;
    const instance_identity& identity() const { return identity_; }

    /** Replaces the cost function of the router; for baselines and experiments. */
    void set_cost_function(router::cost_function cost);

private:
    struct owner_shard;
    struct request_shard;
    static constexpr std::size_t request_shard_count = 16;

    request_shard& shard_of(const request_id& id);
    std::shared_ptr<owner_shard> find_owner(const server_name& server) const;
    std::shared_ptr<owner_shard> find_or_create_owner(const backend_server& server, bool has_fencing);
    /** Calls a function with the owner of a server under its lock, then processes the owner's outputs. Does
        nothing if the server has no owner shard here or no configuration is in force. */
    template <class Event>
    void with_owner(const server_name& server, time_point now, command_list& out, Event&& callback);
    void process_owner_actions(const server_name& server, const start_id& server_start, owner_actions actions,
                               time_point now, command_list& out);
    void update_quarantine(const std::vector<server_owner::crashed_request>& crashed,
                           const std::vector<std::string>& cleared, time_point now);
    void apply_ownership_events(time_point now, command_list& out);
    void apply_ownership_event(const ownership_event& change, const configuration& config, time_point now,
                               command_list& out);
    void apply_configuration();
    void update_leaving_servers(time_point now, command_list& out);
    void on_instance_list(const platform_response& response, time_point now, command_list& out);
    void list_instances(time_point now, command_list& out);

    void handle_peer_message(const protocol::Envelope& message, time_point now, command_list& out);
    void on_heartbeat(const instance_name& from, const start_id& start, const protocol::Heartbeat& heartbeat,
                      time_point now, command_list& out);
    void on_submit(const instance_name& from, const protocol::Submit& submit, time_point now,
                   command_list& out);
    void handle_owner_loss(const instance_name& owner, time_point now, command_list& out);
    void send_heartbeats(time_point now, command_list& out);
    protocol::Heartbeat make_heartbeat(time_point now);
    void tick_owners(time_point now, command_list& out);
    void tick_budget(time_point now, command_list& out);
    /** Sends a message to the instance that holds the load budget. */
    void send_to_budget_holder(protocol::Envelope message, command_list& out) const;
    /** Sets the sender fields of all messages, and handles those that are addressed to this instance as
        well as the commands that follow from them. @returns the commands for the enclosing program */
    command_list deliver_local_messages(command_list commands, time_point now);

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
    /** Servers that the platform's list shows as leaving. */
    std::set<server_name> listed_leaving_;
    /** Engine starts of these servers at the time when they first appeared in the list as leaving. */
    std::map<server_name, start_id> listed_leaving_starts_;
    time_point next_list_at_{};
    bool is_list_pending_ = false;
    time_point next_heartbeat_at_{};
    std::uint64_t heartbeat_sequence_ = 0;
    /** Generation of each server's adapter list that was last sent to peers. */
    std::map<server_name, std::uint64_t> reported_generations_;

    mutable std::mutex router_mutex_;
    router router_;

    mutable std::mutex quarantine_mutex_;
    quarantine quarantine_;
    /** Quarantine generation that was last sent to peers. */
    std::uint64_t reported_quarantine_generation_ = 0;

    mutable std::shared_mutex owners_mutex_;
    std::map<server_name, std::shared_ptr<owner_shard>> owners_;

    std::array<std::unique_ptr<request_shard>, request_shard_count> request_shards_;
    configuration_ptr configuration_;
    std::atomic<bool> is_draining_{false};
};

} // namespace lovageledge
