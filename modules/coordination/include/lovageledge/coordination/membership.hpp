#pragma once

#include "lovageledge/coordination/command.hpp"
#include "lovageledge/coordination/settings.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lovageledge {

/** An instance or backend server in the platform's list. */
struct listed_instance {
    std::string name;
    std::string address;
    bool is_leaving = false;
    bool is_backend = false;
};

/** Reads the platform's list of instances. Entries that other writers have left and that can't be used are
    left out. Thread-safe. @returns nothing if the text is no list */
std::optional<std::vector<listed_instance>> parse_instance_list(const std::string& text);

/**
    Tracks which peers are alive, based on their heartbeats, the platform's instance list, which may lag
    behind, and the suspicions that other peers report.

    A suspicion only causes work to move to other instances; it does not prove that a peer has stopped. What
    is safe after a takeover is decided by the ownership records and by has_terminated(), which requires
    proof. Not thread-safe; guarded by the shard's lock.
*/
class membership {
public:
    struct peer {
        start_id start;
        std::string address;
        region_name region;
        data_centre_name data_centre;
        /** Revision of the configuration in force at the peer. */
        std::uint64_t revision = 0;
        bool is_draining = false;
        bool is_suspected = false;
        time_point last_heard;
        /** Instances that the peer suspects. */
        std::set<instance_name> suspects;
    };
    /** How a heartbeat changed the state of its sender. */
    enum class change : std::uint8_t { none, joined, returned, restarted };

    membership(const instance_identity& self, const coordination_settings& settings)
        : self_{self}, settings_{settings} {}

    /** Handles a peer's heartbeat. A heartbeat from an earlier start of the peer is ignored. */
    change on_heartbeat(const instance_name& from, const start_id& start,
                        const protocol::Heartbeat& heartbeat, time_point now);
    /** Handles the platform's instance list, which may be out of date. */
    void on_list(const std::vector<listed_instance>& list, time_point now);
    /** Marks peers as suspected that sent no heartbeat for suspect_after.
        @returns the peers that became suspected with this call */
    std::vector<instance_name> suspect_silent_peers(time_point now);

    /** @returns true for this instance and for known peers that are not suspected */
    bool is_live(const instance_name& name) const;
    /** @returns true if more than half of the live instances, not counting the given one, suspect it */
    bool is_suspected_by_majority(const instance_name& name) const;
    /** @returns true if this start of an instance is known to have terminated: another start of the
        instance has sent a heartbeat, or the instance is missing from the platform's list and sends no
        heartbeats */
    bool has_terminated(const instance_name& name, const start_id& start, time_point now) const;

    /** @returns the live instances in a region that may own servers, i.e. are not draining; those of all
        regions if the region has none */
    std::vector<instance_name> owner_candidates(const region_name& region) const;
    /** @returns true if this instance is one of those in its data centre that watch the platform for new
        configurations */
    bool is_configuration_watcher() const;
    /** @returns the live instance that grants loads from the load budget */
    instance_name budget_holder() const;
    /** @returns the peers that this instance suspects */
    std::vector<instance_name> suspects() const;
    const std::map<instance_name, peer>& peers() const { return peers_; }
    void set_draining() { is_draining_ = true; }

private:
    const instance_identity& self_;
    const coordination_settings& settings_;
    std::map<instance_name, peer> peers_;
    /** Since when each peer has been missing from the platform's list. */
    std::map<instance_name, time_point> unlisted_since_;
    std::map<instance_name, std::set<start_id>> former_starts_;
    bool is_draining_ = false;
};

} // namespace lovageledge
