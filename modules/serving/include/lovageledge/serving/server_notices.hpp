#pragma once

#include "lovageledge/base/base.hpp"

#include <cstdint>
#include <map>

namespace lovageledge {

/** What a server has announced about itself in its responses to this instance. */
struct server_notice {
    /** The server is shutting down. Holds for the rest of this start. */
    bool is_leaving = false;
    /** The server wants no requests from this instance before this time. */
    time_point paused_until{};
};

/** Spreads the requests that wait for the end of a pause over some time after it.
    @param wait time until the pause ends
    @returns the time until this request may be sent, at most a quarter longer */
duration spread_return(duration wait, const request_id& id);

/**
    Remembers the notices of backend servers for as long as the server's start may last.

    The platform's list may drop a server and list the same start again, for example after an outage of its
    store; the notice still holds then. A new start of the server has no notice. Not thread-safe.
*/
class server_notices {
public:
    /** Records that a start of a server is leaving. @returns true if that was not known */
    bool on_leaving(const server_name& server, std::uint64_t started_at, time_point now);
    /** Records a pause; a shorter one than the known pause changes nothing.
        @returns true if the pause is longer than the known one */
    bool on_pause(const server_name& server, std::uint64_t started_at, time_point until, time_point now);
    /** @returns the notice of a start, empty if there is none */
    server_notice of(const server_name& server, std::uint64_t started_at) const;

private:
    struct entry {
        std::uint64_t started_at = 0;
        time_point changed_at{};
        server_notice notice;
    };

    entry& entry_of(const server_name& server, std::uint64_t started_at, time_point now);

    std::map<server_name, entry> entries_;
};

} // namespace lovageledge
