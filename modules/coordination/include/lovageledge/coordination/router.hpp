#pragma once

#include "lovageledge/coordination/command.hpp"
#include "lovageledge/coordination/server_load.hpp"
#include "lovageledge/coordination/settings.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovageledge {

/** Where a request is sent, with the inputs that decided it. */
struct route {
    server_name server;
    instance_name owner;
    bool is_loaded = false;
    bool is_remote = false;
    duration cost{};
};

/**
    The directory of servers as their owners report them, and the choice among them.

    A server costs its owner's wait estimate, the work this instance sent there since the report, a load if
    the adapter is not there, and a penalty in another region. A request goes to the cheapest among the
    servers that hold its adapter and the adapter's preferred servers, so that a hot adapter spreads when the
    queue before it costs more than another load. The penalty for another region grows with each request
    that went there, so that an adapter in steady use is soon loaded at home. Preferred servers follow
   rendezvous hashing, in the caller's region first.

    Not thread-safe; the shard's lock guards it.
*/
class router {
public:
    /** Picks a server out of an adapter's candidates; tests and baselines replace it. */
    using cost_function = std::function<duration(const backend_server&, const server_load&,
                                                 std::uint32_t sent, bool is_loaded, bool is_remote)>;

    router(const instance_identity& self, const coordination_settings& settings);

    /** Takes over the servers and adapters of a configuration. */
    void set_configuration(const configuration_ptr& config);
    /** Replaces the cost of a candidate. */
    void set_cost_function(cost_function cost) { cost_ = std::move(cost); }

    /** Sets how long a load that is asked for now waits for the weight store. */
    void set_load_backlog(duration backlog) { load_backlog_ = backlog; }

    /** An owner reports one of its servers. Older epochs than the known one are ignored.
        @returns true if the report was taken */
    bool on_report(const instance_name& owner, const protocol::ServerReport& report);
    /** A peer is gone or suspected: its servers are not routable until someone reports them. */
    void on_owner_lost(const instance_name& owner);
    /** An owner no longer owns a server. */
    void on_not_owner(const server_name& server, const instance_name& owner);
    /** Nothing new goes to this server ever again in the given start of its engine. */
    void set_leaving(const server_name& server, const start_id& start);
    /** Forgets that a server leaves; only a test without the sticky safeguard calls it. */
    void clear_leaving(const server_name& server) { leaving_.erase(server); }
    /** Nothing new goes to these servers for as long as the list names them. A lagging list may mean an
        earlier start of the engine, so this leaves no trace once the list has caught up. */
    void set_listed_leaving(std::set<server_name> servers) { listed_leaving_ = std::move(servers); }
    /** @returns true if the server, in its reported start, leaves */
    bool is_leaving(const server_name& server) const;
    /** @returns the starts of leaving servers, for peers */
    const std::map<server_name, start_id>& leaving() const { return leaving_; }

    /** Chooses where a request goes. @param excluded servers that refused it
        @returns nothing if no server is routable */
    std::optional<route> pick(const protocol::RequestSpec& spec, const std::set<server_name>& excluded);

    struct server_view {
        instance_name owner;
        std::uint64_t epoch = 0;
        server_load load;
        std::set<adapter_key> adapters;
        /** Requests that this instance sent since the report. */
        std::uint32_t sent = 0;
    };
    /** @returns what is known of a server, or nullptr */
    const server_view* find(const server_name& server) const;
    /** @returns all servers that anyone has reported */
    const std::map<server_name, server_view>& servers() const { return views_; }

private:
    /** A server of a pool, with the hash of its name. */
    struct pool_member {
        std::uint64_t hash = 0;
        const backend_server* server = nullptr;
    };
    struct candidate_list {
        std::vector<server_name> servers;
        /** Requests for the adapter that went to another region since one was served in this region. */
        std::uint32_t remote_picks = 0;
    };

    candidate_list& preferred_servers(const adapter_key& key, const pool_name& pool);
    void consider(const server_name& server, const adapter_key& key, const std::set<server_name>& excluded,
                  std::uint32_t remote_picks, std::optional<route>& best) const;
    void unindex(const server_name& server, const server_view& view);

    const instance_identity& self_;
    const coordination_settings& settings_;
    configuration_ptr config_;
    std::map<pool_name, std::vector<pool_member>> pool_members_;
    cost_function cost_;
    duration load_backlog_{};
    std::map<server_name, server_view> views_;
    std::unordered_map<adapter_key, std::set<server_name>> holders_;
    std::unordered_map<adapter_key, candidate_list> preferred_;
    std::map<server_name, start_id> leaving_;
    std::set<server_name> listed_leaving_;
};

} // namespace lovageledge
