#pragma once

#include "lovageledge/coordination/platform_calls.hpp"
#include "lovageledge/coordination/settings.hpp"

#include <map>
#include <string>

namespace lovageledge {

/**
    Puts an operator's sheet in force by a conditional update of the platform's head object.

    The sheet's parts and its revision record are written first, under names that contain the apply id.
    Readers therefore never see an incomplete sheet, and concurrent operators never write the same object.
    If two publications race, the loser is told which revision won. After a write without a response, the
    head object is read back and its apply id compared.

    Not thread-safe; guarded by the shard's lock.
*/
class sheet_publisher {
public:
    /** Invoked with the revision record and the parts of a sheet that this publisher put in force. */
    using published_listener =
        std::function<void(const protocol::RevisionRecord&, const std::vector<std::string>& parts)>;

    sheet_publisher(const coordination_settings& settings, platform_calls& calls,
                    published_listener on_published)
        : settings_{settings}, calls_{calls}, on_published_{std::move(on_published)} {}

    /** Starts a publication; its result is reported by a finish_publication command. Publishing the same
        apply id again is idempotent.
        @param base_sheet the sheet of the revision that the new one is based on, to count the changed
        lines */
    void publish(publication_request request, const std::string& base_sheet, time_point now,
                 command_list& out);
    /** Retries publications whose last call got no response, and fails those that time out. */
    void on_tick(time_point now, command_list& out);

private:
    enum class publication_phase : std::uint8_t { reading_head, writing_parts, writing_record, writing_head };
    struct publication {
        publication_request request;
        protocol::RevisionRecord record;
        std::vector<std::string> parts;
        publication_phase phase = publication_phase::reading_head;
        std::size_t next_part = 0;
        std::uint64_t head_version = 0;
        time_point started_at;
        time_point retry_at = time_point::max();
    };

    void read_head(const std::string& id, command_list& out);
    void on_head(const std::string& id, const platform_response& response, time_point now, command_list& out);
    void write_next(const std::string& id, command_list& out);
    void on_write(const std::string& id, const platform_response& response, time_point now,
                  command_list& out);
    void finish(const std::string& id, publication_status status, std::string reason,
                const protocol::RevisionRecord& in_force, command_list& out);

    const coordination_settings& settings_;
    platform_calls& calls_;
    published_listener on_published_;
    std::map<std::string, publication> publications_;
};

} // namespace lovageledge
