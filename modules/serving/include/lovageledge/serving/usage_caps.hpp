#pragma once

#include "lovageledge/base/base.hpp"
#include "lovageledge/serving/usage_cap.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace lovageledge {

/** How usage caps are accounted, the same on all gateways. */
struct cap_settings {
    /** Length of the sliding windows for which the bound holds. */
    duration window = std::chrono::seconds{8};
    /** Fraction of a cap by which the usage of a window may exceed it. */
    double tolerance = 0.1;
    /** Cost by which the usage of a window may exceed the cap beyond the tolerance, in the cap's own unit. */
    double slack = 0.0;

    /** @returns the cost by which the usage of a window may exceed rate x window + burst */
    double allowed_excess(const usage_cap& cap) const;
    /** @returns how far below zero the level may stay. The rest of the allowed excess is left for what is
       admitted before all gateways know of a surge. */
    double spare(const usage_cap& cap) const;
    /** @returns the time constant with which an account's demand is averaged */
    duration demand_time(const usage_cap& cap) const;
};

/** Outcome of a request's check against its account's cap. */
struct cap_decision {
    bool is_admitted = false;
    /** When a refused request is expected to be admitted; zero if it is admitted. */
    duration retry_after{};
};

/** Counters of one account's usage at one source, a gateway or a data centre. They only increase while the
    source runs and knows the account. */
struct usage_counters {
    std::uint64_t admitted = 0;
    /** Part of admitted that was given back. */
    std::uint64_t returned = 0;
    /** Cost of all requests, admitted or not. */
    std::uint64_t asked = 0;
    /** Part of admitted without returned that the former holder's level includes. */
    std::uint64_t counted = 0;

    std::uint64_t net() const { return admitted - std::min(admitted, returned); }
    bool operator==(const usage_counters&) const = default;
};

/** An account's usage over all gateways, as known to a holder. */
struct account_level {
    /** Level of the token bucket; below zero if more was admitted than the cap allows. */
    double level = 0.0;
    /** Cost that callers ask for per second, admitted or not. */
    double demand = 0.0;
};

/** How many of the registered gateways the holder hears, itself included. */
struct heard_gateways {
    std::size_t heard = 1;
    std::size_t registered = 1;

    /** @returns the share of a cap that the gateways in contact with each other may use; the others go on
       with theirs. @param tolerance compensates for a few gateways that have ended */
    double share(double tolerance) const;
};

/** State of an account's cap, for logs and metrics. */
struct cap_status {
    /** Sums of this gateway's own requests. */
    std::uint64_t admitted = 0;
    std::uint64_t returned = 0;
    std::uint64_t refused = 0;
    double level = 0.0;
    double demand = 0.0;
    double rate = 0.0;
    bool is_in_contact = false;
};

/**
    Admits the requests of client accounts within their usage caps over all gateways.

    Each gateway keeps a replica of each account's token bucket. The holder of the data centre tells the level
    and the demand of all gateways; what this gateway admits is subtracted at once. A request is admitted with
   a probability at which the admitted sum returns the level to its target. Without contact to the holder, a
    gateway spends its equal share of the cap; that usage is not reported, since the others reserve the share.
    Time points must come from a clock that also runs while the machine is suspended. Not thread-safe.
*/
class usage_caps {
public:
    /** Without messages of the holder for this long, a gateway is out of contact. The same time decides when
        others count it as not heard. */
    static constexpr duration contact_limit = std::chrono::seconds{1};

    explicit usage_caps(cap_settings settings = {}) : settings_{settings} {}

    /** Called when an account's cap begins or stops refusing, at most once per account and second. */
    using refusal_listener = std::function<void(const account_name&, bool is_refusing, const cap_status&)>;
    void set_on_refusing(refusal_listener listener) { on_refusing_ = std::move(listener); }

    /** Adopts the accounts of a configuration. The level of a known account is limited to its new burst; a
       new account starts at level 0. */
    void set_accounts(const std::vector<client_account>& accounts, time_point now);
    /** Decides on a request, and counts its cost if it is admitted. Requests of unknown accounts and of
        accounts without a limit are admitted.
        @param request_hash digest of the request's id, which differs for each attempt of a caller */
    cap_decision admit(const account_name& account, std::uint64_t cost, std::uint64_t request_hash,
                       time_point now);
    /** Gives back the cost of an admitted request that is known not to have run and will not be sent again.
     */
    void give_back(const account_name& account, std::uint64_t cost, time_point now);

    // For the exchange with other gateways

    /** @returns true if any account has a limit */
    bool has_limits() const { return !accounts_.empty(); }
    const cap_settings& settings() const { return settings_; }
    /** @returns the caps of all limited accounts */
    std::map<account_name, usage_cap> caps() const;
    /** @returns the usage to report: what was admitted in contact with the holder, and all that was asked for
     */
    std::map<account_name, usage_counters> counters() const;
    /** Records that the present counters are being reported to the holder. */
    void on_reported();
    /** Notes that a holder counts usage. If it is another than before, it counts what the former one's last
       level did not include.
        @param term identifies the run of the holder's counters */
    void on_term(std::uint64_t term);
    /** Applies what the holder tells. An account that it leaves out has not changed.
        @param levels as known to the holder; they can include this gateway's last report to it
        @param told_at when the holder told it, on this gateway's clock; at most now */
    void on_told(std::uint64_t term, const std::map<account_name, account_level>& levels,
                 const heard_gateways& gateways, time_point told_at, time_point now);
    /** @returns the time spent in contact with holders */
    duration contact_time() const { return contact_time_; }
    /** Sets the number of registered gateways, as known from the store. */
    void set_registered(std::size_t gateways);
    /** @returns true if the holder was heard recently */
    bool is_in_contact(time_point now) const;
    /** @returns the levels that the holder told last, from which a new holder starts */
    std::map<account_name, account_level> told_levels() const;
    /** @returns the state of each limited account */
    std::map<account_name, cap_status> status(time_point now) const;
    /** Reports that accounts have stopped refusing. Called periodically. */
    void tick(time_point now);

private:
    /** Own usage within a short time. */
    struct spending {
        time_point begin{};
        double cost = 0.0;
    };
    struct account_state {
        usage_cap cap;
        /** Level as told, before own usage since. */
        account_level told;
        time_point told_at{};
        /** The holder has told this account's level. */
        bool is_told = false;
        usage_counters own;
        /** Own net usage and demand at the last report, and as included in the told level. */
        std::uint64_t reported_net = 0;
        std::uint64_t reported_asked = 0;
        std::uint64_t included_net = 0;
        std::uint64_t included_asked = 0;
        /** Own net usage that the former holder's level included. */
        std::uint64_t former_net = 0;
        /** Own usage in and out of contact, of the last window. */
        std::deque<spending> recent;
        /** Cost that was lately admitted out of contact, and when that was last done. */
        std::uint64_t isolated_cost = 0;
        time_point isolated_at{};
        bool was_in_contact = false;
        /** What this gateway may spend in a window out of contact, at least, by its usage before. */
        double usual_spending = 0.0;
        /** What this gateway admits per second, on average while it is in contact. */
        double usual_rate = 0.0;
        time_point usual_at{};
        /** Metrics; unlike own, they include the usage out of contact. */
        std::uint64_t total_admitted = 0;
        std::uint64_t total_returned = 0;
        std::uint64_t total_refused = 0;
        time_point limited_since{};
        /** Admission probability when the contact was last known to exist. */
        double last_probability = 1.0;
        bool is_refusing = false;
        std::optional<time_point> last_refusal;
        std::optional<time_point> last_notice;
    };

    /** @returns true if the holder has told the account's level recently */
    bool is_shared(const account_state& account, time_point now) const;
    double effective_rate(const account_state& account) const;
    double capacity(const account_state& account) const;
    /** @returns the cost per second that may be admitted by all gateways */
    double admissible_rate(const account_state& account, time_point now) const;
    double level_of(const account_state& account, time_point now) const;
    double demand_of(const account_state& account) const;
    /** @returns the probability with which requests are admitted in contact with the holder */
    double shared_probability(const account_state& account, time_point now) const;
    /** Takes note of whether the holder is heard. */
    void note_contact(account_state& account, bool in_contact, time_point now) const;
    static void average_usage(account_state& account, std::uint64_t cost, time_point now);
    /** @returns what is left of this gateway's equal share in the current window */
    double share_left(account_state& account, time_point now) const;
    void record_spending(account_state& account, std::uint64_t cost, time_point now) const;
    void drop_old_spending(account_state& account, time_point now) const;
    duration retry_delay(account_state& account, std::uint64_t cost, std::uint64_t hash, bool in_contact,
                         time_point now) const;
    cap_status status_of(const account_state& account, time_point now) const;
    void notice(const account_name& name, account_state& account, bool is_refusing, time_point now);

    cap_settings settings_;
    refusal_listener on_refusing_;
    std::map<account_name, account_state> accounts_;
    /** Assumed while the registered gateways are not known: the largest deployment, so that the shares of all
        gateways together stay within the cap. */
    static constexpr std::size_t max_gateways = 300;
    heard_gateways gateways_{1, max_gateways};
    std::uint64_t term_ = 0;
    std::optional<time_point> last_contact_;
    duration contact_time_{};
    /** When this gateway began to admit requests; its earlier usage is not known. */
    std::optional<time_point> began_at_;
};

} // namespace lovageledge
