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

    In each data centre a single gateway, the holder of the order domain, sends orders to the servers. The
    holder is recorded in the platform's store by conditional writes, with a fencing token; the record does
    not expire. The holder sends heartbeats to the gateways of its data centre several times a second. When
    they stop, another gateway takes over the order domain, and the servers reject orders with the former
    token. The holder also relays the changes that it reads from the store to its peers. Must only be used on
    the gateway's thread.
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
    /** Announces a graceful shutdown to the peers; from now on they are preferred as holders. */
    void begin_stop();
    /** Sends no more orders, and releases the order domain if this gateway holds it. */
    asio::awaitable<void> finish_stop();

    /** Handles a gateway or order domain record that was read from the store. */
    void on_record(const stored_record& record);
    void on_record_removed(const std::string& name);
    /** Called when all records were read for the first time; from now on, missing ones may be written. */
    void on_records_complete();

    /** Requests that weights be loaded on a server, from the holder of its order domain.
        @param was_refused the server has just refused a request because it does not hold them */
    void request_weights(const server_name& server, const adapter_ref& ref, bool was_refused = false);
    /** Records that a request was sent to a server that holds its weights. */
    void record_use(const server_name& server, const adapter_ref& ref);
    /** Waits until a server holds the weights. @returns false if the limit passed before that. True is also
        returned if the server was removed in the meantime. */
    asio::awaitable<bool> wait_for_weights(server_name server, adapter_ref ref, duration limit);
    /** Issues orders that are due after a change of the servers, their versions or the configuration. */
    void on_servers_changed();
    /** @returns true if this gateway is the holder and its peers rely on the store updates that it relays */
    bool relays_store_updates() const;
    /** Sends changes read from the store to the peers, if this gateway relays store updates. */
    void relay_store_update(const store_update& update);

    /** @returns the number of known gateways, including this one */
    std::size_t instance_count() const { return peers_.all().size() + 1; }

private:
    struct order_domain {
        instance_name holder;
        std::string start;
        std::uint64_t fence = 0;
        std::uint64_t revision = 0;
        /** When the holder was first found to be missing. */
        std::optional<time_point> missing_since;
    };
    struct load_waiter {
        adapter_ref ref;
        std::shared_ptr<asio::steady_timer> timer;
    };

    asio::awaitable<void> register_self();
    asio::awaitable<void> heartbeat_loop();
    asio::awaitable<void> planning_loop();
    /** Writes the order domain record with the next fencing token. @param holder empty to release it */
    asio::awaitable<void> write_domain_record(std::string holder);
    asio::awaitable<void> dispatch_order(weights_order order, std::string address, order_authority authority);
    asio::awaitable<void> read_server_weights(server_name server, std::string address);
    void issue_orders();
    /** Takes over the order domain if its holder is missing and no better candidate has done so. */
    void claim_domain_if_vacant();
    bool holds_domain() const;
    bool is_holder_alive() const;
    void apply_domain_record(const std::string& json, std::uint64_t revision);
    void publish_weights(const backend& server);
    void wake_waiters(const server_name& server);

    void send_heartbeats();
    bool is_from_holder(const protocol::Envelope& message) const;
    void on_message(const protocol::Envelope& message);
    void on_data_centre_beat(const instance_name& from, const protocol::DataCentreBeat& beat);
    void on_store_update(const protocol::StoreUpdate& update);
    void add_weights_request(const backend& server, const adapter_ref& ref, bool was_refused);
    void on_weights_wanted(const protocol::WeightsWanted& message);
    void on_weights_held(const protocol::WeightsHeld& message);
    void log_order(const weights_order& order, const order_result& result, const order_authority& authority);

    asio::io_context& context_;
    gateway_state& state_;
    peer_directory peers_;
    load_exchange exchange_;
    adapter_planner planner_;
    order_domain domain_;
    /** Holders of the other data centres' order domains. */
    std::map<data_centre_name, instance_name> remote_holders_;
    std::map<std::string, std::uint64_t> record_revisions_;
    std::multimap<server_name, load_waiter> waiters_;
    asio::steady_timer plan_timer_;
    /** Start of the current period in which this process ran without a stall. */
    time_point observing_since_{};
    time_point last_tick_{};
    time_point last_remote_summary_{};
    bool are_records_complete_ = false;
    bool is_writing_domain_ = false;
    bool is_stopping_ = false;
    /** No more orders are sent. */
    bool is_stopped_ = false;
};

} // namespace lovageledge
