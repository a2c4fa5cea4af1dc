#pragma once

#include "lovageledge/coordination/membership.hpp"
#include "lovageledge/coordination/platform_calls.hpp"

#include <map>
#include <string>
#include <vector>

namespace lovageledge {

/**
    Keeps the newest configuration in force at this instance, and spreads it.

    A few instances per data centre watch the platform's head object; the others see the new revision in
    their peers' heartbeats and fetch the sheet from them. A revision is adopted only if it is greater than
    the one in force and its digest fits, so no late read, watch or peer can take an instance back.
    Not thread-safe; the shard's lock guards it.
*/
class configuration_manager {
public:
    configuration_manager(const instance_identity& self, const coordination_settings& settings,
                          const event_log& log, const membership& members, platform_calls& calls);

    /** @returns the configuration in force, or nullptr before the first */
    const configuration_ptr& current() const { return current_; }
    /** @returns the sheet of the configuration in force */
    const std::string& sheet() const { return sheet_; }

    /** Offers a configuration. @returns true if it is in force now */
    bool offer(revision_number revision, const std::string& digest, const std::vector<std::string>& parts,
               const std::string& source);

    /** Timed work: watch, fetch from peers. */
    void on_tick(time_point now, command_list& out);
    /** A peer asks for the sheet; it is sent in parts if it is at least as new as asked for. */
    void on_fetch(const instance_name& from, const protocol::ConfigurationFetch& fetch,
                  command_list& out) const;
    /** A part of the sheet arrives from a peer. @returns true if a configuration came into force */
    bool on_part(const instance_name& from, const protocol::ConfigurationPart& part);

    /** @returns true if a configuration came into force since the last call */
    bool take_adopted();

private:
    struct incoming_sheet {
        revision_number revision = 0;
        std::map<std::uint32_t, std::string> parts;
    };

    void watch(command_list& out);
    void on_head(const platform_response& answer, time_point now, command_list& out);
    void read_part(const protocol::RevisionRecord& head, const std::vector<std::string>& parts,
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
    std::uint64_t head_version_ = 0;
    bool is_watching_ = false;
    time_point next_watch_{};
    time_point next_fetch_{};
    std::uint32_t fetch_attempts_ = 0;
    std::map<instance_name, incoming_sheet> incoming_;
    bool has_adopted_ = false;
};

} // namespace lovageledge
