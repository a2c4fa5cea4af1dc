#pragma once

#include "lovageledge/gateway/gateway_state.hpp"
#include "lovageledge/gateway/load_exchange.hpp"
#include "lovageledge/gateway/peer_directory.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace lovageledge {

/**
    Coordinates the orders to backend servers to load and unload weights, and the peer messages for that.

    In each data centre a single gateway, the holder of the order domain, sends orders to the servers.
    order_succession decides which one, and when it may send; this class exchanges the heartbeats and the
    record in the platform's store for it. The holder also relays the changes that it reads from the store to
    its peers. Must only be used on the gateway's thread.
*/
class order_coordinator {
public:
    order_coordinator(asio::io_context& context, gateway_state& state);
    order_coordinator(const order_coordinator&) = delete;
    order_coordinator& operator=(const order_coordinator&) = delete;
    ~order_coordinator() = default;

    /** Listens for peer messages and starts the periodic tasks.
        @returns false and sets failure if the address can't be bound */
    bool start(error& failure);
    /** Announces a graceful shutdown to the peers, and releases the order domain if one of them can take it
        over. */
    void begin_stop();
    /** Sends no more orders, and releases the order domain if this gateway still holds it. */
    asio::awaitable<void> finish_stop();

    /** Handles a gateway or order domain record that was read from the store. */
    void on_record(const stored_record& record);
    void on_record_removed(const std::string& name);
    /** Removes the records that a complete list lacks, and registers this gateway again if the store has lost
        its registration. @param revision the list is complete up to it */
    void on_records_listed(const std::set<std::string>& names, store_revision revision);
    /** Called with each new era of the store, when the first response states it. */
    void on_store_era(store_era era);
    /** Called when all records were read for the first time; from now on, missing ones may be written. */
    void on_records_complete();

    /** Requests that weights be loaded on a server, from the holder of its order domain.
        @param was_refused the server has just refused a request because it does not hold them */
    void request_weights(const server_name& server, const adapter_ref& ref, bool was_refused = false);
    /** Records that a request was sent to a server that holds its weights. */
    void record_use(const server_name& server, const adapter_ref& ref);
    /** Waits until a server holds the newest version of the weights. @returns false if the limit passed
       before that. True is also returned if the server was removed in the meantime. */
    asio::awaitable<bool> wait_for_weights(server_name server, adapter_ref ref, duration limit);
    /** Issues orders that are due after a change of the servers, their versions or the configuration. */
    void on_servers_changed();
    /** @returns true if this gateway is the holder and its peers rely on the store updates that it relays */
    bool relays_store_updates() const;
    /** @returns true if the limits allow gateways to rely on store updates that the holder relays */
    bool may_rely_on_holder() const;
    /** Sends changes read from the store to the peers, if this gateway relays store updates. */
    void relay_store_update(const store_update& update);

    /** @returns the number of known gateways, including this one */
    std::size_t instance_count() const { return peers_.all().size() + 1; }

private:
    struct load_waiter {
        adapter_ref ref;
        std::shared_ptr<asio::steady_timer> timer;
    };

    asio::awaitable<void> register_self();
    /** Registers this gateway again, unless that is under way. */
    void restore_registration();
    asio::awaitable<void> heartbeat_loop();
    asio::awaitable<void> planning_loop();
    asio::awaitable<void> write_domain_record(order_succession::record_write write);
    asio::awaitable<void> read_domain_record();
    void apply_crash_record(const stored_record& record);
    /** Writes the refused requests to the store if they have changed, if this gateway is the holder. Gateways
        that start later read them before they serve requests. */
    void store_refused_requests();
    asio::awaitable<void> write_crash_record(protocol::CrashRecord record);
    /** Sends no more orders, and releases the domain if all orders are answered within a time limit. */
    asio::awaitable<void> release_domain(duration answer_limit);
    asio::awaitable<void> wait_for_unanswered_orders(duration limit);
    asio::awaitable<void> dispatch_order(weights_order order, std::string address, order_authority authority);
    asio::awaitable<void> read_server_weights(server_name server, std::string address);
    void issue_orders();
    /** Starts the reads and writes of the order domain's record that are due. */
    void maintain_domain();
    /** Starts planning when the former holder has stopped, and logs when orders become possible or not. */
    void update_authority();
    bool holds_domain() const { return succession_.holds_domain(); }
    bool may_order() const { return succession_.may_order(succession_time()); }
    /** @returns the time for order_succession, whose leases also expire while the machine is suspended */
    time_point succession_time() const { return state_.clock.now_with_suspension(); }
    /** @param requested_at when the read or write that returned the record was sent; unset if it comes from
        a watch of the store */
    void apply_domain_record(const stored_record& record, std::optional<time_point> requested_at);
    void on_domain_changed(const order_domain_record& former, bool was_holder);
    std::string domain_record_name() const;
    /** Tells the peers what a server holds: those that wait for weights on it now, all others soon. */
    void publish_weights(const backend& server);
    void send_weights_to_waiting_peers(const backend& server);
    /** Adds a server to the next announcement, and schedules that if necessary. */
    void announce_weights(const server_name& server);
    void send_weights_announcement();
    /** @returns true if the server holds the weights, in the newest announced version */
    bool holds_newest(const backend& server, const adapter_ref& ref) const;
    void wake_waiters(const server_name& server);

    void send_heartbeats();
    void send_beat();
    /** Brings the next heartbeat or summary forward if peers have told of crashes that others must know. */
    void relay_crashes();
    bool is_serving_holder() const { return holds_domain() && !is_stopped_; }
    /** Compares sightings of crashes with the servers that the platform lists. */
    void decide_crash_sightings();
    /** @returns the starts that the platform lists, or nothing while its list can't be read */
    std::optional<server_view> server_view_for_crashes() const;
    bool is_from_holder(const protocol::Envelope& message) const;
    /** @returns true if the heartbeat comes from the holder and must be confirmed */
    bool on_heartbeat(const protocol::Envelope& message);
    void on_message(const protocol::Envelope& message);
    void on_data_centre_beat(const instance_name& from, const protocol::DataCentreBeat& beat);
    void on_store_update(const protocol::StoreUpdate& update);
    void add_weights_request(const backend& server, const adapter_ref& ref, bool was_refused);
    void on_weights_wanted(const instance_name& from, const protocol::WeightsWanted& message);
    void on_weights_held(const protocol::Envelope& envelope, bool is_from_other_data_centre);
    void log_order(const weights_order& order, const order_result& result, const order_authority& authority);

    asio::io_context& context_;
    gateway_state& state_;
    peer_directory peers_;
    load_exchange exchange_;
    adapter_planner planner_;
    order_succession succession_;
    message_delay heartbeat_delay_;
    /** Holders of the other data centres' order domains. */
    std::map<data_centre_name, instance_name> remote_holders_;
    std::map<std::string, store_revision> record_revisions_;
    /** Revision of this gateway's registration; none until it is registered. */
    store_revision registered_at_;
    bool is_registering_ = false;
    /** The start of each known gateway. */
    std::map<std::string, std::string> peer_starts_;
    /** The refused requests that the store has for this data centre. */
    protocol::CrashRecord stored_crashes_;
    time_point crashes_written_at_{};
    bool is_writing_crashes_ = false;
    std::multimap<server_name, load_waiter> waiters_;
    asio::steady_timer plan_timer_;
    asio::steady_timer announcement_timer_;
    /** Servers whose weights have changed since the last announcement. */
    std::set<server_name> unannounced_weights_;
    /** Peers whose requests wait for weights on a server, and when they last asked for them. */
    std::map<server_name, std::map<std::pair<instance_name, adapter_ref>, time_point>>
        peers_waiting_for_weights_;
    time_point last_remote_summary_{};
    std::size_t unanswered_orders_ = 0;
    /** Since when the servers' list has been read without interruption. */
    std::optional<time_point> servers_current_since_;
    bool is_writing_domain_ = false;
    bool is_reading_domain_ = false;
    /** This gateway is the holder, and no earlier holder can still send orders. */
    bool is_planning_ = false;
    /** Whether orders could be sent when this was last logged. */
    bool had_authority_ = false;
    bool is_stopping_ = false;
    /** No more orders are sent. */
    bool is_stopped_ = false;
};

} // namespace lovageledge
