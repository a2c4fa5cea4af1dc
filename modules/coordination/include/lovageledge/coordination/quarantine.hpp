#pragma once

#include "lovageledge/base/base.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lovageledge {

/**
    Requests that may crash the engine that runs them, by fingerprint of adapter, version and prompt.

    Every request that ran when an engine crashed is suspected and runs alone from then on. A suspect that
    ends in good order is cleared; one that reaches the crash limit is refused everywhere. A fingerprint
    thus takes down at most that many servers, beside copies that ran already when the first one crashed.
    Not thread-safe; the shard's lock guards it.
*/
class quarantine {
public:
    /** @param crash_limit crashes that condemn a fingerprint; at least 1 */
    explicit quarantine(std::uint32_t crash_limit) : crash_limit_{crash_limit} {}

    /** An engine crashed while the fingerprint ran there. @returns true if it is condemned from now on */
    bool on_crash(const std::string& fingerprint, time_point now);
    /** A suspect ended in good order. */
    void on_cleared(const std::string& fingerprint, time_point now);
    /** A peer counted crashes; the greater count holds. */
    void on_report(const std::string& fingerprint, std::uint32_t crashes, time_point now);
    /** Forgets fingerprints whose last crash is long ago. */
    void on_tick(time_point now);

    /** @returns true if requests with this fingerprint are refused */
    bool is_quarantined(const std::string& fingerprint) const;
    /** @returns fingerprints that must run alone */
    std::set<std::string> suspects() const;
    /** @returns the counts that peers are told: condemned fingerprints and recent suspects */
    std::map<std::string, std::uint32_t> counts(time_point now) const;
    /** Grows with each change. */
    std::uint64_t generation() const { return generation_; }

private:
    struct record {
        std::uint32_t crashes = 0;
        time_point last_crash;
    };

    std::uint32_t crash_limit_;
    std::map<std::string, record> records_;
    std::map<std::string, time_point> cleared_;
    std::uint64_t generation_ = 0;
};

} // namespace lovageledge
