#pragma once

#include "lovageledge/base/base.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lovageledge {

/**
    Tracks requests that may crash the engine that runs them, by a fingerprint of adapter, version and
    prompt.

    Every request that was running when an engine crashed becomes a suspect and is run alone from then on. A
    suspect that ends without a crash is cleared; one that reaches the crash limit is quarantined, i.e.
    refused everywhere. A fingerprint thus crashes at most crash_limit servers, not counting copies that
    were already running when the first server crashed.

    Not thread-safe; guarded by the shard's lock.
*/
class quarantine {
public:
    /** @param crash_limit number of crashes after which a fingerprint is quarantined; at least 1 */
    explicit quarantine(std::uint32_t crash_limit) : crash_limit_{crash_limit} {}

    /** Records the crash of an engine that was running the fingerprint.
        @param engine_start the engine's run that has ended; it counts once, however often it is reported
        @returns true if this crash quarantined the fingerprint */
    bool on_crash(const std::string& fingerprint, const start_id& engine_start, time_point now);
    /** Clears a suspect that ended without a crash; no effect on a quarantined fingerprint. */
    void on_cleared(const std::string& fingerprint, time_point now);
    /** Merges the crashes that a peer knows of. Fewer than the limit are ignored for a while after the
        fingerprint was cleared. */
    void on_report(const std::string& fingerprint, const std::set<start_id>& engine_starts, time_point now);
    /** Discards expired records. */
    void on_tick(time_point now);

    /** @returns true if requests with this fingerprint are refused */
    bool is_quarantined(const std::string& fingerprint) const;
    /** @returns the fingerprints that must run alone */
    std::set<std::string> suspects() const;
    /** @returns the crashes to report to peers: those of quarantined fingerprints and recent suspects, with
        the engines' starts */
    std::map<std::string, std::set<start_id>> crashes(time_point now) const;
    /** @returns a counter that increases with each change */
    std::uint64_t generation() const { return generation_; }

private:
    struct record {
        /** At most crash_limit_, which is all that matters. */
        std::set<start_id> engine_starts;
        time_point last_crash;
    };
    bool has_reached_limit(const record& entry) const { return entry.engine_starts.size() >= crash_limit_; }
    /** @returns true if the crash is new */
    bool add(record& entry, const start_id& engine_start, time_point now);

    std::uint32_t crash_limit_;
    std::map<std::string, record> records_;
    /** When each fingerprint was cleared. */
    std::map<std::string, time_point> cleared_;
    std::uint64_t generation_ = 0;
};

} // namespace lovageledge
