#pragma once

#include "lovageledge/serving/usage_caps.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace lovageledge {

/** Usage counters of a source: a gateway, or a data centre as counted by its holder. */
struct usage_report {
    /** Identifies the run of the counters, which begin at 0. */
    std::uint64_t start = 0;
    /** Grows with each report of the run. */
    std::uint64_t sequence = 0;
    /** Time that the counters cover: for a gateway, that of its contact with a holder. */
    duration counted_for{};
    /** Gateways that the source speaks for; 0 while their usage is not part of the counters. */
    std::size_t heard = 1;
    /** Accounts without change may be left out. */
    std::map<account_name, usage_counters> accounts;
};

/**
    Adds up the usage of all gateways for the holder of a data centre's order domain.

    It counts the increases of the counters of the data centre's gateways and of the other data centres, and
    keeps the level of each account's token bucket and the demand. While a source is not heard, the share that
    is reserved for it covers its usage; only the usage before that is counted when it is heard again.
    Time points must come from a clock that also runs while the machine is suspended. Not thread-safe.
*/
class usage_totals {
public:
    /** Time from the beginning of a term until levels are told. All sources have reported and the demand is
       known by then. */
    static constexpr duration settling_time = std::chrono::seconds{1};

    explicit usage_totals(cap_settings settings = {}) : settings_{settings} {}

    /** Begins a term as the holder.
        @param term identifies it @param levels as told by the former holder */
    void begin(std::uint64_t term, const std::map<account_name, account_level>& levels, time_point now);
    void end() { began_at_.reset(); }
    bool is_counting() const { return began_at_.has_value(); }
    std::uint64_t term() const { return term_; }
    /** @returns true if the levels are known well enough to be told */
    bool is_settled(time_point now) const { return began_at_ && now - *began_at_ >= settling_time; }

    /** Adopts the caps of the configuration. New accounts start at level 0. */
    void set_caps(const std::map<account_name, usage_cap>& caps);
    /** Counts the report of a gateway of this data centre, including the holder. */
    void on_gateway_report(const instance_name& gateway, const usage_report& report, time_point now);
    /** Counts the report of another data centre's holder. */
    void on_data_centre_report(const data_centre_name& data_centre, const usage_report& report,
                               time_point now);
    /** Lets levels rise and demand decline. Called at least several times a second. */
    void advance(time_point now, std::size_t registered);

    /** @returns the level and demand of each account as of the last advance or report */
    const std::map<account_name, account_level>& levels() const { return levels_; }
    /** @returns the gateways that were heard within usage_caps::contact_limit */
    const heard_gateways& gateways() const { return gateways_; }
    /** @returns the report of this data centre for the other holders. Precondition: is_counting() */
    usage_report data_centre_report(time_point now) const;

private:
    struct source {
        std::uint64_t start = 0;
        /** Run before, whose late reports are ignored. */
        std::uint64_t former_start = 0;
        std::uint64_t sequence = 0;
        duration counted_for{};
        time_point heard_at{};
        std::size_t heard = 0;
        std::map<account_name, usage_counters> last;
        /** Cost asked for per second. */
        std::map<account_name, double> demand;
    };

    /** Where a source's counters are counted from at its first report of an account. */
    enum class first_base : std::uint8_t { counted_before, zero, present };

    /** @param known the source, or nullptr if it is new @returns false if the report is late or repeated */
    static bool is_newer(const source* known, const usage_report& report);
    /** @returns the part of a source's usage that counts after a time for which nothing was known of it */
    double counted_part(duration unknown_for) const;
    template <class Name>
    void apply(std::map<Name, source>& sources, const Name& name, const usage_report& report, bool is_local,
               time_point now);
    /** Updates the average demand of an account at a source. @param interval in which it was asked for */
    void average_demand(source& from, const account_name& account, double asked, duration interval);
    /** Adds the demand at the sources that are heard to the accounts'. */
    template <class Name>
    void add_demand(const std::map<Name, source>& sources, time_point now);
    std::size_t heard_locally(time_point now) const;

    cap_settings settings_;
    std::uint64_t term_ = 0;
    std::optional<time_point> began_at_;
    time_point advanced_at_{};
    std::map<account_name, usage_cap> caps_;
    std::map<account_name, account_level> levels_;
    std::map<instance_name, source> local_;
    std::map<data_centre_name, source> remote_;
    /** Counters of this data centre since the term began. */
    std::map<account_name, usage_counters> data_centre_;
    heard_gateways gateways_;
};

} // namespace lovageledge
