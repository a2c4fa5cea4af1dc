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

/**
    Which peers are alive, by their heartbeats, the platform's lagging list and the other peers' words.

    A suspicion moves work, never a promise: what is safe to do after a takeover is decided by records and
    by has_terminated(), which asks for proof. Not thread-safe; the shard's lock guards it.
*/
class membership {
public:
    struct peer {
        start_id start;
        std::string address;
        region_name region;
        data_centre_name data_centre;
        std::uint64_t revision = 0;
        bool is_draining = false;
        bool is_suspected = false;
        time_point last_heard;
        std::set<instance_name> suspects;
    };
    /** What a heartbeat changed. */
    enum class change : std::uint8_t { none, joined, returned, restarted };

    membership(const instance_identity& self, const coordination_settings& settings)
        : self_{self}, settings_{settings} {}

    /** A peer's heartbeat. One of an older start is ignored. */
    change on_heartbeat(const instance_name& from, const start_id& start,
                        const protocol::Heartbeat& heartbeat, time_point now);
    /** The platform's list, however old. */
    void on_list(const std::vector<listed_instance>& list, time_point now);
    /** @returns peers that are suspected from now on */
    std::vector<instance_name> take_new_suspects(time_point now);

    /** @returns true for this instance and for peers that were heard lately */
    bool is_live(const instance_name& name) const;
    /** @returns true if more than half of the live instances, the given one left out, suspect it */
    bool is_suspected_by_majority(const instance_name& name) const;
    /** @returns true if this start of an instance is known to have ended: a later start of it was heard, or
        the platform's list has dropped it and nobody hears it */
    bool has_terminated(const instance_name& name, const start_id& start, time_point now) const;

    /** @returns live instances that take work, in a region or, if none is there, anywhere */
    std::vector<instance_name> owner_candidates(const region_name& region) const;
    /** @returns the live instances of this data centre that watch the platform */
    bool is_watcher() const;
    /** @returns the live instance that hands out the load budget */
    instance_name budget_holder() const;
    /** @returns peers that this instance suspects */
    std::vector<instance_name> suspects() const;
    const std::map<instance_name, peer>& peers() const { return peers_; }
    void set_draining() { is_draining_ = true; }

private:
    const instance_identity& self_;
    const coordination_settings& settings_;
    std::map<instance_name, peer> peers_;
    std::map<instance_name, time_point> missing_since_;
    std::map<instance_name, std::set<start_id>> former_starts_;
    bool is_draining_ = false;
};

} // namespace lovageledge
