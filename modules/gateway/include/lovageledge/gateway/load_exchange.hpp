#pragma once

#include "lovageledge/gateway/crash_relay.hpp"
#include "lovageledge/gateway/gateway_state.hpp"
#include "lovageledge/gateway/pace_monitor.hpp"
#include "lovageledge/gateway/peer_directory.hpp"
#include "lovageledge/gateway/speed_exchange.hpp"
#include "lovageledge/gateway/usage_exchange.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace lovageledge {

/**
    Exchanges the load that each gateway puts on the backend servers.

    The holder of a data centre's order domain broadcasts a heartbeat with the total work of all gateways at
    each server, and each gateway replies with its own work. Holders exchange summaries of whole data centres.
    Thus a gateway sends and receives one message per interval, and only holders send messages between data
    centres, whose links are billed. Must only be used on the gateway's thread.
*/
class load_exchange {
public:
    /** @param on_used called for each adapter that another gateway reports as used on a server */
    load_exchange(gateway_state& state, peer_directory& peers,
                  std::function<void(const server_name&, const adapter_ref&)> on_used);

    /** Records that this gateway sent a request to a server that holds its weights. */
    void record_use(const server_name& server, const adapter_ref& ref);

    /** What peers need to know of the holder to confirm its heartbeat. */
    struct heartbeat {
        /** Fencing token of the order domain. */
        std::uint64_t fence = 0;
        time_point sent_at{};
        /** @see order_succession::is_entitled() */
        bool is_entitled = true;
    };

    /** Broadcasts the heartbeat to this data centre's gateways. Precondition: this gateway is the holder.
        @param positions revisions up to which this gateway has read the store, without the kinds that it
        can't read */
    void send_data_centre_beat(const heartbeat& own, const std::vector<store_position>& positions);
    /** Sends each of the other holders a summary of the work at both data centres' servers; an unchanged
        summary is only resent once per resend interval. Precondition: this gateway is the holder. */
    void send_summaries(const std::map<data_centre_name, instance_name>& remote_holders);
    /** Confirms the holder's heartbeat, and sends it this gateway's own work. */
    void confirm_heartbeat(const instance_name& holder, const protocol::DataCentreBeat& beat,
                           bool is_stopping);
    /** Discards all that peers have reported, as when the holder changes. */
    void clear_peer_state();

    /** Discards the reports of sources that have not been heard from for a while, and updates the metrics of
        usage caps. Called several times a second. */
    void tick();

    /** Tells this data centre's gateways and the other holders of own sightings that can't wait for the next
        heartbeats, which a holder that has failed does not send. Called periodically. */
    void send_urgent_crashes(const std::map<data_centre_name, instance_name>& remote_holders);
    /** @returns true if the next heartbeat can't wait, since it tells of another data centre's crashes */
    bool is_beat_urgent() const { return beat_relay_.is_due(state_.now(), state_.settings.state_interval); }
    /** @returns true if the summaries can't wait, since they tell of this data centre's crashes */
    bool are_summaries_urgent() const {
        return summary_relay_.is_due(state_.now(), state_.settings.state_interval);
    }

    /** Handles the heartbeat of this data centre's holder. @param delay how much longer it took than others
     */
    void on_data_centre_beat(const instance_name& from, const protocol::DataCentreBeat& beat, duration delay);
    /** Handles a peer's report of its own work. */
    void on_gateway_state(const instance_name& from, const protocol::GatewayState& state);
    /** Handles the summary of another data centre's holder. */
    void on_data_centre_work(const instance_name& from, const protocol::DataCentreWork& work);
    /** Handles a peer's urgent sightings. */
    void on_crash_report(const instance_name& from, const protocol::CrashReport& report);
    /** Sends what is known of refused requests to a gateway that has just started. */
    void send_refused_requests(const instance_name& to);
    /** @returns the refused requests, for the store */
    protocol::CrashRecord refused_requests() const;
    /** @returns true if two records tell the same. Their times may differ by the clocks' steps. */
    static bool is_same_state(const protocol::CrashRecord& left, const protocol::CrashRecord& right);
    /** Merges refused requests from the store. */
    void on_crash_record(const protocol::CrashRecord& record);

private:
    using work_list = google::protobuf::RepeatedPtrField<protocol::ServerWork>;
    using totals_list = google::protobuf::RepeatedPtrField<protocol::ServerTotals>;
    using crash_list = google::protobuf::RepeatedPtrField<protocol::CrashSighting>;
    using success_list = google::protobuf::RepeatedPtrField<protocol::SuspectSuccess>;

    using server_filter = std::function<bool(const backend&)>;
    using used_adapters = std::map<server_name, std::set<adapter_ref>>;

    void send_data_centre_work(const data_centre_name& data_centre, const instance_name& holder);
    /** Appends the work at each busy or recently used server, and records in reported what was appended. */
    void append_server_work(const server_filter& is_included, bool include_local_peers,
                            const used_adapters& recent_use, reported_work& reported, work_list& list) const;
    /** Fills in the work at one server. @param include_local_peers adds the work that local peers reported
        @returns false if the server has no requests in flight and nobody avoids it */
    bool fill_server_work(const backend& server, protocol::ServerWork& work, bool include_local_peers) const;
    void append_totals(const server_filter& is_included, totals_list& totals) const;
    void append_crashes(crash_registry::report_scope scope, crash_list& crashes) const;
    void append_successes(success_scope scope, success_list& successes) const;
    /** Discards the previous report of a source and records the time of its new one. */
    void reset_source(const instance_name& source);
    void apply_work(const instance_name& source, const work_list& work);
    /** Stores totals minus the own share that they include. @param reported own work as last reported */
    void apply_totals(const instance_name& source, const totals_list& totals, const reported_work& reported);
    void apply_crashes(const instance_name& from, const crash_list& crashes);
    /** @param source whose runs they are, a gateway or a data centre */
    void apply_successes(success_scope scope, const instance_name& source, const success_list& successes);

    void expire_silent_peers();

    gateway_state& state_;
    peer_directory& peers_;
    std::function<void(const server_name&, const adapter_ref&)> on_used_;
    usage_exchange usage_;
    /** Adapters used since the last report. */
    used_adapters recently_used_;
    /** The same at other data centres' servers; on the holder, this includes the uses by its peers. */
    std::map<data_centre_name, used_adapters> recently_used_remote_;
    /** Work that this gateway last reported to its holder. */
    reported_work reported_to_holder_;
    /** Work at each other data centre's servers that was last reported to its holder. */
    std::map<data_centre_name, reported_work> reported_to_remote_;
    speed_exchange speeds_;
    pace_monitor pace_;
    struct last_summary {
        std::string bytes;
        time_point sent{};
    };
    std::map<data_centre_name, last_summary> last_summaries_;
    time_point last_urgent_report_{};
    crash_relay beat_relay_;
    crash_relay summary_relay_;
    /** When each source last reported its work. */
    std::map<instance_name, time_point> last_message_times_;
};

} // namespace lovageledge
