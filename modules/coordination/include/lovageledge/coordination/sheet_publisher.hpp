#pragma once

#include "lovageledge/coordination/platform_calls.hpp"
#include "lovageledge/coordination/settings.hpp"

#include <map>
#include <string>

namespace lovageledge {

/**
    Puts an operator's sheet in force, by one conditional update of the platform's head object.

    The sheet's parts and its revision record are written first, under names that carry the apply id, so that
    nobody ever sees half a sheet and racing operators never write the same object. The loser of a race gets
    the revision that won. After a lost answer the head is read back and compared by apply id. Not
    thread-safe; the shard's lock guards it.
*/
class sheet_publisher {
public:
    /** Called with the parts of a sheet that came into force here. */
    using published_listener =
        std::function<void(const protocol::RevisionRecord&, const std::vector<std::string>& parts)>;

    sheet_publisher(const coordination_settings& settings, platform_calls& calls,
                    published_listener on_published)
        : settings_{settings}, calls_{calls}, on_published_{std::move(on_published)} {}

    /** Starts to publish; the end comes as finish_publication. Publishing the same apply id again is safe.
        @param base_sheet the sheet of the revision that it is based on, to count changed lines */
    void publish(publication_request request, const std::string& base_sheet, time_point now,
                 command_list& out);
    /** Timed work: read back after lost answers. */
    void on_tick(time_point now, command_list& out);

private:
    enum class phase : std::uint8_t { reading_head, writing_parts, writing_record, writing_head };
    struct publication {
        publication_request request;
        protocol::RevisionRecord record;
        std::vector<std::string> parts;
        phase step = phase::reading_head;
        std::size_t next_part = 0;
        std::uint64_t head_version = 0;
        time_point began;
        time_point next_try = time_point::max();
    };

    void read_head(const std::string& id, command_list& out);
    void on_head(const std::string& id, const platform_response& answer, time_point now, command_list& out);
    void write_next(const std::string& id, command_list& out);
    void on_write(const std::string& id, const platform_response& answer, time_point now, command_list& out);
    void finish(const std::string& id, publication_status status, std::string reason,
                const protocol::RevisionRecord& in_force, command_list& out);

    const coordination_settings& settings_;
    platform_calls& calls_;
    published_listener on_published_;
    std::map<std::string, publication> publications_;
};

} // namespace lovageledge
