#pragma once

#include "lovageledge/gateway/gateway_state.hpp"
#include "lovageledge/gateway/peer_directory.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace lovageledge {

/**
    What the gateways tell each other of their work at the backend servers.

    Each data centre's holder sends a beat with all gateways' work at each server; its gateways answer with
    their own. Holders exchange the work of whole data centres. So a gateway sends and receives one message an
    interval, and only holders talk across data centres, whose paths are billed. Used on the gateway's one
    thread.
*/
class load_exchange {
public:
    /** @param on_used called for each adapter that another gateway has used on a server */
    load_exchange(gateway_state& state, peer_directory& peers,
                  std::function<void(const server_name&, const adapter_ref&)> on_used);

    /** A request of this gateway was sent to a server that holds its weights. */
    void note_use(const server_name& server, const adapter_ref& ref);

    /** As the holder: sends the beat to this data centre's gateways.
        @param positions up to where this gateway has read the store; empty if it can't */
    void send_beat(std::uint64_t fence, const std::vector<store_position>& positions);
    /** As the holder: tells another data centre's holder of work at its servers and at ours. Work that has
        not changed is not told again. */
    void tell_holder(const data_centre_name& data_centre, const instance_name& holder);
    /** Sends this gateway's own work. */
    void send_state(const instance_name& to, bool is_stopping);
    /** Forgets what others have told, as when the holder changes. */
    void forget_others();

    /** Forgets what sources told that are silent now. */
    void forget_silent();

    void on_beat(const protocol::DataCentreBeat& beat);
    void on_state(const instance_name& from, const protocol::GatewayState& state);
    void on_work(const protocol::DataCentreWork& work);

private:
    using work_list = google::protobuf::RepeatedPtrField<protocol::ServerWork>;
    using totals_list = google::protobuf::RepeatedPtrField<protocol::ServerTotals>;
    using fingerprint_list = google::protobuf::RepeatedPtrField<protocol::FingerprintReport>;

    using server_filter = std::function<bool(const backend&)>;
    using used_adapters = std::map<server_name, std::set<adapter_ref>>;

    void add_all_work(const server_filter& is_meant, bool with_neighbours, const used_adapters& used,
                      reported_work& told, work_list& list) const;
    bool add_work(const backend& server, protocol::ServerWork& work, bool with_neighbours) const;
    void add_totals(const server_filter& is_meant, totals_list& totals) const;
    void add_fingerprints(fingerprint_list& reports) const;
    void begin_source(const instance_name& source);
    void take_work(const instance_name& source, const work_list& work);
    void take_totals(const instance_name& source, const totals_list& totals, const reported_work& told);
    void take_fingerprints(const fingerprint_list& reports);

    gateway_state& state_;
    peer_directory& peers_;
    std::function<void(const server_name&, const adapter_ref&)> on_used_;
    /** Adapters used since they were last told, also by the gateways for which this one speaks. */
    used_adapters recently_used_;
    std::map<data_centre_name, used_adapters> recently_used_elsewhere_;
    /** What this gateway last told its holder. */
    reported_work told_holder_;
    /** What this data centre's gateways were last said to do at the servers of another. */
    std::map<data_centre_name, reported_work> told_elsewhere_;
    struct last_summary {
        std::string bytes;
        time_point sent{};
    };
    std::map<data_centre_name, last_summary> last_summaries_;
    /** When each source has last told its work. */
    std::map<instance_name, time_point> heard_;
};

} // namespace lovageledge
