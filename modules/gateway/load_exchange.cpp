#include "lovageledge/gateway/load_exchange.hpp"

#include "weights_message.hpp"

namespace lovageledge {
namespace {

/** Crashes of a request from which on the other gateways are told; most single ones are lost answers. */
constexpr std::uint32_t told_crashes = 2;
/** What a silent source has told is forgotten after this long; a few of its messages. */
constexpr auto work_valid = std::chrono::seconds{2};
/** A summary that has not changed is told again after this long, since messages may be dropped. */
constexpr auto repeat_interval = std::chrono::seconds{1};

/** Reads the sums that single gateways and holders tell alike. */
template <class Message>
peer_server_work to_sums(const Message& message) {
    peer_server_work work;
    work.in_flight = message.in_flight();
    work.streaming = message.streaming();
    work.pending_tokens = message.pending_tokens();
    work.avoided_by = message.avoided_by();
    return work;
}

/** Sums from another data centre are kept under its name, whichever gateway holds its orders. */
instance_name source_of(const data_centre_name& data_centre) {
    return instance_name{"data-centre " + data_centre.text()};
}

const instance_name& holder_source() {
    static const instance_name source{"holder"};
    return source;
}

} // namespace

load_exchange::load_exchange(gateway_state& state, peer_directory& peers,
                             std::function<void(const server_name&, const adapter_ref&)> on_used)
    : state_{state}, peers_{peers}, on_used_{std::move(on_used)} {}

void load_exchange::note_use(const server_name& server, const adapter_ref& ref) {
    recently_used_[server].insert(ref);
    const backend* entry = state_.directory.find(server);
    if (entry != nullptr && entry->listing.zone != state_.settings.data_centre) {
        recently_used_elsewhere_[entry->listing.zone][server].insert(ref);
    }
}

bool load_exchange::add_work(const backend& server, protocol::ServerWork& work, bool with_neighbours) const {
    std::uint32_t in_flight = server.in_flight;
    std::uint32_t streaming = server.streaming;
    std::uint32_t avoided_by = server.is_avoided(state_.now()) ? 1 : 0;
    std::uint64_t pending_tokens = server.pending_tokens;
    std::set<adapter_ref> in_use;
    for (const auto& [ref, count] : server.adapters_in_use) {
        in_use.insert(ref);
    }
    if (with_neighbours) {
        for (const auto& [source, told] : server.peer_work) {
            const peer_gateway* peer = peers_.find(source);
            if (peer == nullptr || peer->data_centre != state_.settings.data_centre) {
                continue;
            }
            in_flight += told.in_flight;
            streaming += told.streaming;
            avoided_by += told.avoided_by;
            pending_tokens += told.pending_tokens;
            in_use.insert(told.in_use.begin(), told.in_use.end());
        }
    }
    work.set_server(server.listing.name.text());
    work.set_in_flight(in_flight);
    work.set_streaming(streaming);
    work.set_avoided_by(avoided_by);
    work.set_pending_tokens(pending_tokens);
    for (const adapter_ref& ref : in_use) {
        *work.add_in_use() = to_message(ref);
    }
    return in_flight > 0 || avoided_by > 0;
}

void load_exchange::add_all_work(const server_filter& is_meant, bool with_neighbours,
                                 const used_adapters& used, reported_work& told, work_list& list) const {
    told.clear();
    for (const auto& [name, server] : state_.directory.servers()) {
        if (!is_meant(server)) {
            continue;
        }
        const auto used_there = used.find(name);
        protocol::ServerWork work;
        const bool is_busy = add_work(server, work, with_neighbours);
        if (!is_busy && used_there == used.end()) {
            continue;
        }
        if (used_there != used.end()) {
            for (const adapter_ref& ref : used_there->second) {
                *work.add_recently_used() = to_message(ref);
            }
        }
        told.record(name, to_sums(work));
        *list.Add() = std::move(work);
    }
}

void load_exchange::add_totals(const server_filter& is_meant, totals_list& totals) const {
    for (const auto& [name, server] : state_.directory.servers()) {
        const std::uint32_t in_flight = server.total_in_flight();
        const std::uint32_t avoided_by =
            server.avoided_by_others() + (server.is_avoided(state_.now()) ? 1 : 0);
        if ((in_flight == 0 && avoided_by == 0) || !is_meant(server)) {
            continue;
        }
        protocol::ServerTotals& entry = *totals.Add();
        entry.set_server(name.text());
        entry.set_in_flight(in_flight);
        entry.set_avoided_by(avoided_by);
        entry.set_streaming(server.total_streaming());
        entry.set_pending_tokens(server.total_pending_tokens());
        entry.set_used_places(static_cast<std::uint32_t>(server.used_places()));
    }
}

void load_exchange::add_fingerprints(fingerprint_list& reports) const {
    for (const auto& [fingerprint, crashes] : state_.crashing.counts(state_.now())) {
        if (crashes >= told_crashes) {
            protocol::FingerprintReport& report = *reports.Add();
            report.set_fingerprint(fingerprint);
            report.set_crashes(crashes);
        }
    }
}

void load_exchange::send_beat(std::uint64_t fence, const std::vector<store_position>& positions) {
    protocol::Envelope message;
    protocol::DataCentreBeat& beat = *message.mutable_data_centre_beat();
    beat.set_fence(fence);
    add_totals([](const backend&) { return true; }, *beat.mutable_totals());
    for (const store_position& position : positions) {
        protocol::StorePosition& entry = *beat.add_positions();
        entry.set_kind(position.kind);
        entry.set_revision(position.revision);
    }
    add_fingerprints(*beat.mutable_fingerprints());
    peers_.send_to_data_centre(message);
    recently_used_.clear();
}

void load_exchange::tell_holder(const data_centre_name& data_centre, const instance_name& holder) {
    protocol::Envelope message;
    protocol::DataCentreWork& summary = *message.mutable_data_centre_work();
    summary.set_data_centre(state_.settings.data_centre.text());
    reported_work& told = told_elsewhere_[data_centre];
    auto& used = recently_used_elsewhere_[data_centre];
    const auto is_meant = [&](const backend& server) { return server.listing.zone == data_centre; };
    add_all_work(is_meant, true, used, told, *summary.mutable_work());
    used.clear();
    const auto is_ours = [this](const backend& server) {
        return server.listing.zone == state_.settings.data_centre;
    };
    add_totals(is_ours, *summary.mutable_totals());
    add_fingerprints(*summary.mutable_fingerprints());
    std::string bytes = summary.SerializeAsString();
    last_summary& last = last_summaries_[data_centre];
    const bool is_news = bytes != last.bytes || state_.now() - last.sent > repeat_interval;
    if (is_news) {
        last = {std::move(bytes), state_.now()};
        peers_.send(holder, message);
    }
}

void load_exchange::send_state(const instance_name& to, bool is_stopping) {
    protocol::Envelope message;
    protocol::GatewayState& own = *message.mutable_gateway_state();
    own.set_data_centre(state_.settings.data_centre.text());
    own.set_stopping(is_stopping);
    add_fingerprints(*own.mutable_fingerprints());
    add_all_work([](const backend&) { return true; }, false, recently_used_, told_holder_,
                 *own.mutable_work());
    recently_used_.clear();
    recently_used_elsewhere_.clear();
    peers_.send(to, message);
}

void load_exchange::forget_others() {
    for (const auto& [source, time] : heard_) {
        state_.directory.clear_peer_work(source);
    }
    heard_.clear();
    told_holder_.clear();
    told_elsewhere_.clear();
    last_summaries_.clear();
}

void load_exchange::take_fingerprints(const fingerprint_list& reports) {
    for (const protocol::FingerprintReport& report : reports) {
        state_.crashing.on_report(report.fingerprint(), report.crashes(), state_.now());
    }
}

void load_exchange::begin_source(const instance_name& source) {
    state_.directory.clear_peer_work(source);
    heard_[source] = state_.now();
}

void load_exchange::forget_silent() {
    const time_point oldest = state_.now() - work_valid;
    std::erase_if(heard_, [&](const auto& entry) {
        const bool is_silent = entry.second < oldest;
        if (is_silent) {
            state_.directory.clear_peer_work(entry.first);
        }
        return is_silent;
    });
}

void load_exchange::take_work(const instance_name& source, const work_list& work) {
    for (const protocol::ServerWork& item : work) {
        backend* server = state_.directory.find(server_name{item.server()});
        if (server == nullptr) {
            continue;
        }
        peer_server_work& told = server->peer_work[source];
        told = to_sums(item);
        for (const auto& ref : item.in_use()) {
            told.in_use.insert(to_ref(ref));
            on_used_(server->listing.name, to_ref(ref));
        }
        for (const auto& ref : item.recently_used()) {
            on_used_(server->listing.name, to_ref(ref));
        }
    }
}

void load_exchange::take_totals(const instance_name& source, const totals_list& totals,
                                const reported_work& told) {
    for (const protocol::ServerTotals& item : totals) {
        backend* server = state_.directory.find(server_name{item.server()});
        if (server == nullptr) {
            continue;
        }
        peer_server_work sum = to_sums(item);
        sum.used_places = item.used_places();
        server->peer_work[source] = told.work_of_others(server->listing.name, sum);
    }
}

void load_exchange::on_beat(const protocol::DataCentreBeat& beat) {
    begin_source(holder_source());
    take_totals(holder_source(), beat.totals(), told_holder_);
    take_fingerprints(beat.fingerprints());
}

void load_exchange::on_state(const instance_name& from, const protocol::GatewayState& state) {
    begin_source(from);
    take_work(from, state.work());
    take_fingerprints(state.fingerprints());
    for (const protocol::ServerWork& item : state.work()) {
        const server_name name{item.server()};
        const backend* server = state_.directory.find(name);
        if (server == nullptr || server->listing.zone == state_.settings.data_centre) {
            continue;
        }
        for (const auto& ref : item.recently_used()) {
            recently_used_elsewhere_[server->listing.zone][name].insert(to_ref(ref));
        }
    }
}

void load_exchange::on_work(const protocol::DataCentreWork& work) {
    const data_centre_name data_centre{work.data_centre()};
    const instance_name source = source_of(data_centre);
    begin_source(source);
    take_work(source, work.work());
    take_totals(source, work.totals(), told_elsewhere_[data_centre]);
    take_fingerprints(work.fingerprints());
}

} // namespace lovageledge
