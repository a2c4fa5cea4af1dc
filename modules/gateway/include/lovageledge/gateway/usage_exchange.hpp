#pragma once

#include "lovageledge/protocol/protocol.hpp"
#include "lovageledge/serving/usage_totals.hpp"

#include <map>
#include <string>

namespace lovageledge {

/**
    Fills and reads the parts of the messages between gateways that concern usage caps.

    A gateway reports its usage in reply to each heartbeat; the holder adds up the reports of its data centre
   and of the other data centres' holders and tells the levels in its heartbeats. Sends nothing itself. Time
   points must come from a clock that also runs while the machine is suspended. Not thread-safe.
*/
class usage_exchange {
public:
    /** @param caps this gateway's caps; must outlive the exchange
        @param start identifies this run of the gateway */
    usage_exchange(usage_caps& caps, instance_name name, const start_id& start);

    /** Adds the levels to a heartbeat. Precondition: this gateway is the holder.
        @param registered number of registered gateways, including this one */
    void fill(protocol::DataCentreBeat& beat, std::size_t registered, time_point now);
    /** Adds this data centre's usage to the summary for another one. Precondition: this gateway is the
     * holder. */
    void fill(const data_centre_name& to, protocol::DataCentreWork& work, time_point now);
    /** Adds this gateway's usage to the reply to a heartbeat. */
    void fill(protocol::GatewayState& state, time_point now);

    /** Handles a heartbeat of this data centre's holder.
        @param delay how much longer it took than others, at least 0 */
    void on_beat(const protocol::DataCentreBeat& beat, duration delay, time_point now);
    /** Handles the report of a gateway of this data centre. */
    void on_state(const instance_name& from, const protocol::GatewayState& state, time_point now);
    /** Handles the summary of another data centre's holder. */
    void on_work(const protocol::DataCentreWork& work, time_point now);
    /** Ends the term as the holder, if there is one. Called when the holder of the order domain changes. */
    void on_holder_changed();

private:
    /** What was last sent of each account, and when. */
    template <class Content>
    using sent_accounts = std::map<account_name, std::pair<Content, time_point>>;

    /** Appends the accounts that have changed or are due to be repeated. */
    static void append(const std::map<account_name, usage_counters>& accounts,
                       sent_accounts<usage_counters>& sent, protocol::UsageReport& message, time_point now);
    void begin_term(time_point now);
    /** Counts this gateway's own usage. */
    void count_own(time_point now);

    usage_caps& caps_;
    instance_name name_;
    std::string start_;
    usage_totals totals_;
    std::uint64_t terms_ = 0;
    std::uint64_t sequence_ = 0;
    /** The holder's term and last message. */
    std::uint64_t heard_term_ = 0;
    std::uint64_t heard_sequence_ = 0;
    sent_accounts<usage_counters> reported_;
    std::map<data_centre_name, sent_accounts<usage_counters>> summarised_;
    sent_accounts<bool> told_;
};

} // namespace lovageledge
