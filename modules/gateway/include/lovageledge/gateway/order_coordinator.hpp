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
    Orders to backend servers, and the messages between gateways that they need.

    Each data centre's servers take their orders from one gateway, the holder of the order domain. Who holds
   it stands in the platform's store as a conditional update with a fencing token; nothing has to be renewed.
   The holder's beat reaches its data centre's gateways several times a second; if it stops, another takes the
   domain over, and servers refuse the former holder's token. The holder also passes on what it has read from
   the store. Used on the gateway's one thread.
*/
class order_coordinator {
public:
    order_coordinator(asio::io_context& context, gateway_state& state);
    order_coordinator(const order_coordinator&) = delete;
    order_coordinator& operator=(const order_coordinator&) = delete;
    ~order_coordinator() = default;

    /** Listens for peers and starts the timed work. @returns false with the reason if it can't listen */
    bool start(error& why);
    /** A planned stop began: others are better candidates for the order domain from now on. */
    void begin_stop();
    /** Hands the order domain back, at the end of a planned stop. */
    asio::awaitable<void> finish_stop();

    /** Takes a record of the system's own from the store. */
    void on_record(const stored_record& record);
    void on_record_removed(const std::string& name);
    /** All records were read for the first time: missing ones may be written now. */
    void on_records_complete();

    /** Asks for weights on a server; the holder of its orders loads them if it can.
        @param was_refused the server has just refused a request since it lacks them */
    void want(const server_name& server, const adapter_ref& ref, bool was_refused = false);
    /** A request was sent to a server that holds its weights. */
    void note_use(const server_name& server, const adapter_ref& ref);
    /** Waits until a server holds the weights, or a time has passed. @returns true if they are held */
    asio::awaitable<bool> wait_for(server_name server, adapter_ref ref, duration limit);
    /** Something about the servers changed: orders may be due. */
    void on_servers_changed();
    /** @returns true if this gateway is the holder and its data centre relies on what it reads */
    bool relays_store_updates() const;
    /** As the holder: passes on what was read from the store. */
    void share_update(const store_update& update);

    /** @returns gateways that are known, this one included */
    std::size_t instances() const { return peers_.all().size() + 1; }

private:
    struct order_domain {
        instance_name holder;
        std::string start;
        std::uint64_t fence = 0;
        std::uint64_t revision = 0;
        /** When the holder was first found missing. */
        std::optional<time_point> missing_since;
    };
    struct load_waiter {
        adapter_ref ref;
        std::shared_ptr<asio::steady_timer> timer;
    };

    asio::awaitable<void> register_self();
    asio::awaitable<void> beat_loop();
    asio::awaitable<void> plan_loop();
    asio::awaitable<void> take_domain(std::string holder);
    asio::awaitable<void> give_order(weights_order order, std::string address, order_authority authority);
    asio::awaitable<void> read_server(server_name server, std::string address);
    void plan_now();
    void check_domain();
    bool holds_domain() const;
    bool is_holder_alive() const;
    void apply_domain(const std::string& json, std::uint64_t revision);
    void publish_weights(const backend& server);
    void wake_waiters(const server_name& server);

    void beat();
    bool is_from_holder(const protocol::Envelope& message) const;
    void on_message(const protocol::Envelope& message);
    void on_beat(const instance_name& from, const protocol::DataCentreBeat& beat);
    void on_store_update(const protocol::StoreUpdate& update);
    void note_want(const backend& server, const adapter_ref& ref, bool was_refused);
    void on_peer_wants(const protocol::WeightsWanted& message);
    void on_peer_weights(const protocol::WeightsHeld& message);
    void log_order(const weights_order& order, const order_result& result, const order_authority& authority);

    asio::io_context& context_;
    gateway_state& state_;
    peer_directory peers_;
    load_exchange exchange_;
    adapter_planner planner_;
    order_domain domain_;
    /** Holders of the other data centres' domains. */
    std::map<data_centre_name, instance_name> remote_holders_;
    std::map<std::string, std::uint64_t> record_revisions_;
    std::multimap<server_name, load_waiter> waiters_;
    asio::steady_timer plan_timer_;
    time_point started_{};
    time_point last_tick_{};
    time_point remote_told_{};
    bool are_records_complete_ = false;
    bool is_taking_ = false;
    bool is_stopping_ = false;
    /** No orders are given any more. */
    bool is_stopped_ = false;
};

} // namespace lovageledge
