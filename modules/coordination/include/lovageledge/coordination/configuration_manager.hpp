#pragma once

#include "lovageledge/coordination/membership.hpp"
#include "lovageledge/coordination/platform_calls.hpp"

#include <map>
#include <string>
#include <vector>

namespace lovageledge {

/**
    Holds the newest configuration in force at this instance, and distributes it to peers.

    A few instances per data centre watch the platform's head object. The others learn of a new revision
    from their peers' heartbeats and fetch the sheet from one of them. A revision is adopted only if it is
    greater than the one in force and its digest matches, so that a delayed read, watch or peer message
    never brings back an older configuration.

    Not thread-safe; guarded by the shard's lock.
*/
class configuration_manager {
public:
    configuration_manager(const instance_identity& self, const coordination_settings& settings,
                          const event_log& log, const membership& members, platform_calls& calls);

    /** @returns the configuration in force, or nullptr if none was adopted yet */
    const configuration_ptr& current() const { return current_; }
    /** @returns the sheet of the configuration in force */
    const std::string& sheet() const { return sheet_; }

    /** Adopts a configuration if it is newer than the one in force and valid.
        @param parts of the sheet, in order @param source where it came from, for the log
        @returns true if it was adopted */
    bool adopt_if_newer(revision_number revision, const std::string& digest,
                        const std::vector<std::string>& parts, const std::string& source);

    /** Starts a watch or a fetch from a peer when one is due. */
    void on_tick(time_point now, command_list& out);
    /** Handles a peer's request for the sheet; sends it in parts if the revision in force is at least the
        requested one. */
    void on_fetch(const instance_name& from, const protocol::ConfigurationFetch& fetch,
                  command_list& out) const;
    /** Handles a part of a sheet from a peer. @returns true if it completed a configuration that was
        adopted */
    bool on_part(const instance_name& from, const protocol::ConfigurationPart& part);

    /** @returns true if a configuration was adopted since the last call */
    bool take_adopted();

private:
    struct incoming_sheet {
        revision_number revision = 0;
        std::map<std::uint32_t, std::string> parts;
    };

    void watch(command_list& out);
    void on_head(const platform_response& response, time_point now, command_list& out);
    /** Reads the part after those in parts, or adopts the sheet if it is complete. */
    void read_next_part(const protocol::RevisionRecord& head, const std::vector<std::string>& parts,
                        command_list& out);
    void fetch_from_peer(time_point now, command_list& out);

    const instance_identity& self_;
    const coordination_settings& settings_;
    const event_log& log_;
    const membership& members_;
    platform_calls& calls_;
    configuration_ptr current_;
    std::string sheet_;
    std::string digest_;
    /** Version of the head object that a watch compares with; 0 makes the next watch return at once. */
    std::uint64_t head_version_ = 0;
    bool is_watch_pending_ = false;
    time_point next_watch_at_{};
    time_point next_fetch_at_{};
    std::uint32_t fetch_attempts_ = 0;
    std::map<instance_name, incoming_sheet> incoming_sheets_;
    bool has_adopted_ = false;
};

} // namespace lovageledge
