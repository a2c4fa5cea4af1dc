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

/** The server chosen for a request, with the properties that determined the choice. */
struct route {
    server_name server;
    instance_name owner;
    bool is_loaded = false;
    bool is_remote = false;
    duration cost{};
};

/**
    The directory of servers as reported by their owners, and the choice of a server for each request.

    The cost of a server is its owner's wait estimate, plus the work that this instance has sent there since
    the last report, plus the time of a load if the adapter is not loaded there, plus a penalty if the
    server is in another region. A request goes to the cheapest of the servers that have its adapter loaded
    and the adapter's preferred servers, so that a hot adapter is loaded on a further server once its queue
    costs more than a load. The penalty for another region grows with each request that is sent there, so
    that an adapter in steady use is soon loaded in this region. Preferred servers are determined by
    rendezvous hashing, in this instance's region and in the others.

    Not thread-safe; guarded by the shard's lock.
*/
class router {
public:
    /** Returns the cost of a candidate server, without the penalty for another region. Tests and baselines
        replace it.
        @param sent_since_report requests that this instance sent to the server since its last report */
    using cost_function =
        std::function<duration(const backend_server&, const server_load&, std::uint32_t sent_since_report,
                               bool is_loaded, bool is_remote)>;

    router(const instance_identity& self, const coordination_settings& settings);

    /** Sets the configuration whose servers and adapters are used. */
    void set_configuration(const configuration_ptr& config);
    /** Replaces the cost function. */
    void set_cost_function(cost_function cost) { cost_ = std::move(cost); }

    /** Sets the estimated time that a load requested now waits for a grant from the load budget. */
    void set_load_backlog(duration backlog) { load_backlog_ = backlog; }

    /** Handles an owner's report of a server. Reports with an older epoch than the known one are ignored.
        @returns true if the report was accepted */
    bool on_report(const instance_name& owner, const protocol::ServerReport& report);
    /** Handles the failure, restart or suspicion of a peer: its servers are not routable until they are
        reported again. */
    void on_owner_lost(const instance_name& owner);
    /** Handles a peer's reply that it does not own a server: the server is not routable until it is
        reported again. */
    void on_not_owner(const server_name& server, const instance_name& owner);
    /** Excludes a server permanently for the given start of its engine. */
    void set_leaving(const server_name& server, const start_id& start);
    /** Undoes set_leaving(), for tests that disable the sticky_leaving safeguard. */
    void clear_leaving(const server_name& server) { leaving_.erase(server); }
    /** Sets the servers that the platform's list shows as leaving. They are excluded only while they are in
        this set, as a lagging list may refer to an earlier start of the engine. */
    void set_listed_leaving(std::set<server_name> servers) { listed_leaving_ = std::move(servers); }
    /** @returns true if the server is leaving, in the start that its owner reported last */
    bool is_leaving(const server_name& server) const;
    /** @returns the leaving servers with the engine starts that are leaving, to be reported to peers */
    const std::map<server_name, start_id>& leaving() const { return leaving_; }

    /** Chooses a server for a request. @param excluded servers that already refused the request
        @returns std::nullopt if no server is routable */
    std::optional<route> pick(const protocol::RequestSpec& spec, const std::set<server_name>& excluded);

    /** The last report of a server. */
    struct server_view {
        instance_name owner;
        std::uint64_t epoch = 0;
        server_load load;
        std::set<adapter_key> adapters;
        /** Requests that this instance has sent to the server since the report. */
        std::uint32_t sent_since_report = 0;
    };
    /** @returns the last report of a server, or nullptr if there was none */
    const server_view* find(const server_name& server) const;
    /** @returns the last reports of all servers */
    const std::map<server_name, server_view>& servers() const { return views_; }

private:
    /** A server of a pool, with the hash of its name. */
    struct pool_member {
        std::uint64_t hash = 0;
        const backend_server* server = nullptr;
    };
    struct preferred_list {
        std::vector<server_name> servers;
        /** Number of successive requests for the adapter that were sent to another region. */
        std::uint32_t remote_picks = 0;
    };

    preferred_list& preferred_servers(const adapter_key& key, const pool_name& pool);
    /** Replaces best by the given server if that one is routable and cheaper. */
    void consider(const server_name& server, const adapter_key& key, const std::set<server_name>& excluded,
                  std::uint32_t remote_picks, std::optional<route>& best) const;
    void remove_from_index(const server_name& server, const server_view& view);

    const instance_identity& self_;
    const coordination_settings& settings_;
    configuration_ptr config_;
    std::map<pool_name, std::vector<pool_member>> pool_members_;
    cost_function cost_;
    duration load_backlog_{};
    std::map<server_name, server_view> views_;
    /** The servers that have each adapter loaded. */
    std::unordered_map<adapter_key, std::set<server_name>> servers_by_adapter_;
    std::unordered_map<adapter_key, preferred_list> preferred_;
    std::map<server_name, start_id> leaving_;
    std::set<server_name> listed_leaving_;
};

} // namespace lovageledge
