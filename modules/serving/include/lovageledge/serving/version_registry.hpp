#pragma once

#include "lovageledge/serving/backend_directory.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace lovageledge {

/**
    The newest announced version of each adapter and model, and when this instance learned of it.

    An older version may still be used for a while after a newer one was announced, so that a replacement can
    be loaded without a gap in service. Not thread-safe.
*/
class version_registry {
public:
    /** Sets how long an older version may be used after a newer one was learned. */
    void set_grace(duration grace) { grace_ = grace; }

    /** Takes an announcement. @returns true if the version is newer than what was known */
    bool on_announced(const adapter_ref& ref, std::uint64_t version, time_point now);

    /** @returns the newest announced version, or nothing if none was announced */
    std::optional<std::uint64_t> newest(const adapter_ref& ref) const;
    /** @returns the version that requests must run on, or nothing while any version may serve */
    std::optional<std::uint64_t> required(const adapter_ref& ref, time_point now) const;

private:
    struct announcement {
        std::uint64_t version = 0;
        time_point learned{};
    };
    duration grace_ = std::chrono::milliseconds{2500};
    std::map<adapter_ref, announcement> announcements_;
};

} // namespace lovageledge
