#pragma once

#include "lovageledge/serving/crash_suspect.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace lovageledge {

/** Whose runs a number of successful runs covers. */
enum class success_scope : std::uint8_t {
    gateway,
    /** All gateways of one data centre. */
    data_centre,
    deployment,
};

/** Successful runs of the requests with a suspect. */
struct suspect_success {
    crash_suspect suspect;
    /** Recent runs, with a weight that declines with their age. */
    std::uint32_t recent_runs = 0;
    time_point last_at{};
};

/**
    Successful runs by suspect: those of this gateway, and those that other gateways tell of what is
   suspected.

    Numbers add up along the way that messages take: a gateway tells its data centre's holder of its own runs,
    the holder tells the other holders of its data centre's, and its gateways of the whole deployment's. Not
    thread-safe.
*/
class success_registry {
public:
    /** Records a successful run at this gateway. */
    void on_completed(const crash_suspect& suspect, time_point now);
    /** Merges what another gateway tells.
        @param source whose runs they are; its former number is replaced
        @param success its time is on this gateway's clock */
    void on_report(success_scope scope, const std::string& source, const suspect_success& success,
                   time_point now);
    /** Lets the weight of runs decline with their age, and forgets old ones.
        @returns true if it did, which it does once per interval */
    bool age(time_point now);
    /** Forgets what other gateways have told of suspects.
        @param is_suspected returns false for those that are no longer suspected */
    void forget_told(const std::function<bool(const crash_suspect&)>& is_suspected);

    /** @returns when a run last succeeded at any gateway, as far as it is known and not long ago */
    std::optional<time_point> last_success(const crash_suspect& suspect) const;
    /** @returns the weight of the recent runs of all gateways in a scope, as far as it is known */
    std::uint32_t recent_runs(const crash_suspect& suspect, success_scope scope, time_point now) const;

private:
    struct own_runs {
        std::uint32_t recent = 0;
        /** The last run at any gateway. */
        time_point last_at{};
    };
    struct told_runs {
        std::uint32_t recent = 0;
        time_point told_at{};
    };
    struct told_by_others {
        std::map<std::string, told_runs> gateways;
        std::map<std::string, told_runs> data_centres;
        told_runs deployment;
    };
    using own_map = std::unordered_map<std::uint64_t, own_runs>;

    own_map& own(suspect_kind kind) { return kind == suspect_kind::request ? requests_ : parts_; }
    const own_map& own(suspect_kind kind) const { return kind == suspect_kind::request ? requests_ : parts_; }
    void bound(own_map& runs, time_point now) const;
    static void decline(own_map& runs, time_point now);
    static std::uint32_t sum(const std::map<std::string, told_runs>& told, time_point now);

    // Apart, so that requests, most of which come once, don't push out the parts that they share.
    own_map requests_;
    own_map parts_;
    std::map<crash_suspect, told_by_others> told_;
    time_point next_aging_{};
};

} // namespace lovageledge
