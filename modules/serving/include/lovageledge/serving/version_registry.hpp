#pragma once

#include "lovageledge/serving/backend_directory.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lovageledge {

/**
    The announced versions of each adapter and base model, and when this instance learned of them.

    An older version may still be used for a grace period after a newer one was announced, so that the new
    version can be loaded without interrupting service. Each version has a grace period of its own, which
   later announcements don't extend. Not thread-safe.
*/
class version_registry {
public:
    /** Sets how long after this instance has learned of a newer version a request may begin to run on an
       older one. Requests are sent to the older one for half of it at most. */
    void set_limit(duration limit) { limit_ = limit; }

    /** Processes an announcement. @returns true if the version is newer than the known one */
    bool on_announced(const adapter_ref& ref, std::uint64_t version, time_point now);

    /** @returns the newest announced version, or nothing if none was announced */
    std::optional<std::uint64_t> newest(const adapter_ref& ref) const;
    /** @param longest_wait time that the request may wait at a server before it begins to run, at most until
        its deadline
        @returns the oldest version that a request sent now may run on, or nothing while any version is
        allowed */
    std::optional<std::uint64_t> required(const adapter_ref& ref, time_point now,
                                          duration longest_wait = duration::zero()) const;
    /** @returns the number of announcements that are kept for an adapter or base model */
    std::size_t kept_announcements(const adapter_ref& ref) const;

private:
    struct announcement {
        std::uint64_t version = 0;
        time_point learned_at{};
    };

    /** @returns how long after an announcement the version is required of every request */
    duration grace_period() const { return limit_ / 2; }
    bool is_due(const announcement& known, time_point now, duration longest_wait) const;

    duration limit_ = std::chrono::milliseconds{5000};
    /** Announcements in ascending order of version and time: the newest that is required of every request,
       and those after it. */
    std::map<adapter_ref, std::vector<announcement>> announcements_;
};

} // namespace lovageledge
