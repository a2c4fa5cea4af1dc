#include "lovageledge/serving/server_notices.hpp"

#include <algorithm>

namespace lovageledge {
namespace {

/** Bounds the memory in a long life of the process with many servers; the oldest notices are dropped. */
constexpr std::size_t max_entries = 4096;

/** Longest time over which returning requests are spread. */
constexpr auto max_return_spread = std::chrono::milliseconds{500};

} // namespace

duration spread_return(duration wait, const request_id& id) {
    constexpr int steps = 256;
    const duration spread = std::min<duration>(wait / 4, max_return_spread);
    return wait + spread * static_cast<int>(stable_hash(id.text()) % steps) / steps;
}

server_notices::entry& server_notices::entry_of(const server_name& server, std::uint64_t started_at,
                                                time_point now) {
    entry& found = entries_[server];
    if (found.started_at < started_at) {
        found = {};
        found.started_at = started_at;
    }
    found.changed_at = now;
    if (entries_.size() > max_entries) {
        entries_.erase(
            std::min_element(entries_.begin(), entries_.end(), [](const auto& left, const auto& right) {
                return left.second.changed_at < right.second.changed_at;
            }));
    }
    return entries_[server];
}

bool server_notices::on_leaving(const server_name& server, std::uint64_t started_at, time_point now) {
    entry& found = entry_of(server, started_at, now);
    if (found.started_at != started_at || found.notice.is_leaving) {
        return false;
    }
    found.notice.is_leaving = true;
    return true;
}

bool server_notices::on_pause(const server_name& server, std::uint64_t started_at, time_point until,
                              time_point now) {
    entry& found = entry_of(server, started_at, now);
    if (found.started_at != started_at || found.notice.paused_until >= until) {
        return false;
    }
    found.notice.paused_until = until;
    return true;
}

server_notice server_notices::of(const server_name& server, std::uint64_t started_at) const {
    const auto found = entries_.find(server);
    const bool is_same_start = found != entries_.end() && found->second.started_at == started_at;
    return is_same_start ? found->second.notice : server_notice{};
}

} // namespace lovageledge
