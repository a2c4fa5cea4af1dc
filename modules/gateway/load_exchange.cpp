#include "lovageledge/gateway/load_exchange.hpp"

#include "weights_message.hpp"

#include <spdlog/fmt/fmt.h>

namespace lovageledge {
namespace {

/** Reports of a source that sends nothing for this long, several report intervals, are discarded. */
constexpr auto work_lifetime = std::chrono::seconds{2};
/** Interval of urgent reports; the first one to a peer is lost if no connection to it is open. */
constexpr auto urgent_report_interval = std::chrono::milliseconds{300};
/** An unchanged summary is resent after this long, since messages may be dropped. */
constexpr auto resend_interval = std::chrono::seconds{1};

/** Reads the fields that ServerWork and ServerTotals have in common. */
template <class Message>
peer_server_work to_peer_work(const Message& message) {
    peer_server_work work;
    work.in_flight = message.in_flight();
    work.streaming = message.streaming();
    work.pending_tokens = message.pending_tokens();
    work.avoided_by = message.avoided_by();
    work.committed_tokens = message.committed_tokens();
    for (int rank = 0; rank < std::min<int>(waiting_ranks, message.wanted_tokens_size()); ++rank) {
        work.wanted_tokens[static_cast<std::size_t>(rank)] = message.wanted_tokens(rank);
    }
    return work;
}

/** Fills in the tokens that wait for room; nothing if there are none. @returns true if there are some */
template <class Message>
bool set_wanted_tokens(const tokens_by_rank& tokens, Message& message) {
    const bool has_some =
        std::any_of(tokens.begin(), tokens.end(), [](std::uint64_t count) { return count > 0; });
    if (has_some) {
        message.mutable_wanted_tokens()->Add(tokens.begin(), tokens.end());
    }
    return has_some;
}

/** Adds tokens rank by rank. */
void add_tokens(tokens_by_rank& sum, const tokens_by_rank& tokens) {
    for (std::size_t rank = 0; rank < waiting_ranks; ++rank) {
        sum[rank] += tokens[rank];
    }
}

/** Source under which another data centre's work is stored, independent of which gateway is its holder. */
instance_name data_centre_source(const data_centre_name& data_centre) {
    return instance_name{"data-centre " + data_centre.text()};
}

/** Source under which the totals from this data centre's holder are stored. */
const instance_name& holder_source() {
    static const instance_name source{"holder"};
    return source;
}

/** Older entries of records have expired. */
constexpr auto max_stored_age = std::chrono::milliseconds{std::chrono::hours{24}};

crash_suspect to_suspect(std::uint64_t digest, bool is_prompt_part) {
    return {digest, is_prompt_part ? suspect_kind::prompt_part : suspect_kind::request};
}

/** Fills in all but the sighting's time. */
void fill(const crash_sighting& sighting, protocol::CrashSighting& entry) {
    const auto ran_for = std::chrono::duration_cast<std::chrono::milliseconds>(sighting.ran_for);
    entry.set_suspect(sighting.suspect.digest);
    entry.set_prompt_part(sighting.suspect.kind == suspect_kind::prompt_part);
    entry.set_server_start(sighting.server_start.digest);
    entry.set_ended(sighting.has_ended);
    entry.set_ran_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(0, ran_for.count())));
}

/** @returns the Unix time in seconds */
std::int64_t unix_seconds() {
    return std::chrono::duration_cast<std::chrono::seconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

load_exchange::load_exchange(gateway_state& state, peer_directory& peers,
                             std::function<void(const server_name&, const adapter_ref&)> on_used)
    : state_{state}, peers_{peers}, on_used_{std::move(on_used)},
      usage_{state.caps, state.settings.name, state.settings.start}, speeds_{state}, pace_{state} {}

void load_exchange::record_use(const server_name& server, const adapter_ref& ref) {
    recently_used_[server].insert(ref);
    const backend* entry = state_.directory.find(server);
    if (entry != nullptr && entry->listing.zone != state_.settings.data_centre) {
        recently_used_remote_[entry->listing.zone][server].insert(ref);
    }
}

bool load_exchange::fill_server_work(const backend& server, protocol::ServerWork& work,
                                     bool include_local_peers) const {
    std::uint32_t in_flight = server.in_flight;
    std::uint32_t streaming = server.streaming;
    std::uint32_t avoided_by = server.is_avoided(state_.now()) ? 1 : 0;
    std::uint64_t pending_tokens = server.pending_tokens;
    std::uint64_t committed_tokens = server.committed_tokens;
    tokens_by_rank wanted_tokens = state_.scheduler.wanted_tokens(server.listing.name);
    std::set<adapter_ref> in_use;
    for (const auto& [ref, count] : server.adapters_in_use) {
        in_use.insert(ref);
    }
    if (include_local_peers) {
        for (const auto& [source, reported] : server.peer_work) {
            const peer_gateway* peer = peers_.find(source);
            if (peer == nullptr || peer->data_centre != state_.settings.data_centre) {
                continue;
            }
            in_flight += reported.in_flight;
            streaming += reported.streaming;
            avoided_by += reported.avoided_by;
            pending_tokens += reported.pending_tokens;
            committed_tokens += reported.committed_tokens;
            add_tokens(wanted_tokens, reported.wanted_tokens);
            in_use.insert(reported.in_use.begin(), reported.in_use.end());
        }
    }
    work.set_server(server.listing.name.text());
    work.set_in_flight(in_flight);
    work.set_streaming(streaming);
    work.set_avoided_by(avoided_by);
    work.set_pending_tokens(pending_tokens);
    work.set_committed_tokens(committed_tokens);
    const bool is_wanted = set_wanted_tokens(wanted_tokens, work);
    for (const adapter_ref& ref : in_use) {
        *work.add_in_use() = to_message(ref);
    }
    return in_flight > 0 || avoided_by > 0 || is_wanted;
}

void load_exchange::append_server_work(const server_filter& is_included, bool include_local_peers,
                                       const used_adapters& recent_use, reported_work& reported,
                                       work_list& list) const {
    reported.clear();
    for (const auto& [name, server] : state_.directory.servers()) {
        if (!is_included(server)) {
            continue;
        }
        const auto used_on_server = recent_use.find(name);
        protocol::ServerWork work;
        const bool is_busy = fill_server_work(server, work, include_local_peers);
        if (!is_busy && used_on_server == recent_use.end()) {
            continue;
        }
        if (used_on_server != recent_use.end()) {
            for (const adapter_ref& ref : used_on_server->second) {
                *work.add_recently_used() = to_message(ref);
            }
        }
        reported.record(name, to_peer_work(work));
        *list.Add() = std::move(work);
    }
}

void load_exchange::append_totals(const server_filter& is_included, totals_list& totals) const {
    for (const auto& [name, server] : state_.directory.servers()) {
        const std::uint32_t in_flight = server.total_in_flight();
        const std::uint32_t avoided_by =
            server.avoided_by_others() + (server.is_avoided(state_.now()) ? 1 : 0);
        protocol::ServerTotals entry;
        tokens_by_rank wanted_tokens = state_.scheduler.wanted_tokens(name);
        add_tokens(wanted_tokens, server.peers_wanted_tokens());
        const bool is_wanted = set_wanted_tokens(wanted_tokens, entry);
        if ((in_flight == 0 && avoided_by == 0 && !is_wanted) || !is_included(server)) {
            continue;
        }
        entry.set_server(name.text());
        entry.set_in_flight(in_flight);
        entry.set_avoided_by(avoided_by);
        entry.set_streaming(server.total_streaming());
        entry.set_pending_tokens(server.total_pending_tokens());
        entry.set_committed_tokens(server.total_committed_tokens());
        entry.set_used_places(static_cast<std::uint32_t>(server.used_places()));
        *totals.Add() = std::move(entry);
    }
}

void load_exchange::append_crashes(crash_registry::report_scope scope, crash_list& crashes) const {
    const time_point now = state_.now();
    for (const crash_sighting& sighting : state_.crashes.reports(scope, now)) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - sighting.seen_at);
        protocol::CrashSighting& entry = *crashes.Add();
        fill(sighting, entry);
        entry.set_age_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(0, age.count())));
    }
}

void load_exchange::append_successes(success_scope scope, success_list& successes) const {
    const time_point now = state_.now();
    for (const suspect_success& success : state_.crashes.success_reports(scope, now)) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - success.last_at);
        protocol::SuspectSuccess& entry = *successes.Add();
        entry.set_suspect(success.suspect.digest);
        entry.set_prompt_part(success.suspect.kind == suspect_kind::prompt_part);
        entry.set_recent_runs(success.recent_runs);
        entry.set_age_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(0, age.count())));
    }
}

void load_exchange::send_urgent_crashes(const std::map<data_centre_name, instance_name>& remote_holders) {
    if (state_.now() - last_urgent_report_ < urgent_report_interval) {
        return;
    }
    protocol::Envelope message;
    append_crashes(crash_registry::report_scope::urgent, *message.mutable_crash_report()->mutable_crashes());
    if (message.crash_report().crashes().empty()) {
        return;
    }
    append_successes(success_scope::gateway, *message.mutable_crash_report()->mutable_successes());
    last_urgent_report_ = state_.now();
    peers_.send_to_data_centre(message);
    for (const auto& [data_centre, holder] : remote_holders) {
        peers_.send(holder, message);
    }
}

void load_exchange::send_refused_requests(const instance_name& to) {
    protocol::Envelope message;
    append_crashes(crash_registry::report_scope::standing,
                   *message.mutable_crash_report()->mutable_crashes());
    if (!message.crash_report().crashes().empty()) {
        peers_.send(to, message);
    }
}

protocol::CrashRecord load_exchange::refused_requests() const {
    const time_point now = state_.now();
    protocol::CrashRecord record;
    for (const crash_sighting& sighting : state_.crashes.refused_sightings()) {
        protocol::CrashSighting& entry = *record.add_crashes();
        fill(sighting, entry);
        const auto age = std::chrono::duration_cast<std::chrono::seconds>(now - sighting.seen_at);
        entry.set_seen_at_s(unix_seconds() - age.count());
    }
    return record;
}

void load_exchange::on_crash_record(const protocol::CrashRecord& record) {
    crash_list crashes = record.crashes();
    for (protocol::CrashSighting& entry : crashes) {
        const auto age = std::chrono::seconds{std::max<std::int64_t>(0, unix_seconds() - entry.seen_at_s())};
        entry.set_age_ms(static_cast<std::uint32_t>(
            std::min<std::int64_t>(std::chrono::milliseconds{age}.count(), max_stored_age.count())));
    }
    apply_crashes(instance_name{"store"}, crashes);
}

bool load_exchange::is_same_state(const protocol::CrashRecord& left, const protocol::CrashRecord& right) {
    return std::equal(left.crashes().begin(), left.crashes().end(), right.crashes().begin(),
                      right.crashes().end(), [](const auto& one, const auto& other) {
                          return one.suspect() == other.suspect() &&
                                 one.server_start() == other.server_start() && one.ended() == other.ended();
                      });
}

void load_exchange::send_data_centre_beat(const heartbeat& own,
                                          const std::vector<store_position>& positions) {
    protocol::Envelope message;
    protocol::DataCentreBeat& beat = *message.mutable_data_centre_beat();
    beat.set_data_centre(state_.settings.data_centre.text());
    beat.set_fence(own.fence);
    beat.set_sent_at_ns(own.sent_at.time_since_epoch().count());
    beat.set_unconfirmed(!own.is_entitled);
    append_totals([](const backend&) { return true; }, *beat.mutable_totals());
    for (const store_position& position : positions) {
        protocol::StorePosition& entry = *beat.add_positions();
        entry.set_kind(position.kind);
        entry.set_revision(position.revision);
        entry.set_age_ms(static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(position.age).count()));
    }
    append_crashes(crash_registry::report_scope::standing, *beat.mutable_crashes());
    append_successes(success_scope::deployment, *beat.mutable_successes());
    usage_.fill(beat, peers_.all().size() + 1, state_.now_with_suspension());
    speeds_.fill(speed_scope::deployment, state_.settings.data_centre.text(), beat);
    peers_.send_to_data_centre(message);
    recently_used_.clear();
    beat_relay_.on_sent(state_.now());
}

void load_exchange::send_summaries(const std::map<data_centre_name, instance_name>& remote_holders) {
    for (const auto& [data_centre, holder] : remote_holders) {
        send_data_centre_work(data_centre, holder);
    }
    summary_relay_.on_sent(state_.now());
}

void load_exchange::send_data_centre_work(const data_centre_name& data_centre, const instance_name& holder) {
    protocol::Envelope message;
    protocol::DataCentreWork& summary = *message.mutable_data_centre_work();
    summary.set_data_centre(state_.settings.data_centre.text());
    reported_work& reported = reported_to_remote_[data_centre];
    auto& recent_use = recently_used_remote_[data_centre];
    const auto is_included = [&](const backend& server) { return server.listing.zone == data_centre; };
    append_server_work(is_included, true, recent_use, reported, *summary.mutable_work());
    recent_use.clear();
    const auto is_in_own_data_centre = [this](const backend& server) {
        return server.listing.zone == state_.settings.data_centre;
    };
    append_totals(is_in_own_data_centre, *summary.mutable_totals());
    append_crashes(crash_registry::report_scope::recent, *summary.mutable_crashes());
    append_successes(success_scope::data_centre, *summary.mutable_successes());
    usage_.fill(data_centre, summary, state_.now_with_suspension());
    std::string bytes = summary.SerializeAsString();
    last_summary& last = last_summaries_[data_centre];
    const bool should_send = bytes != last.bytes || state_.now() - last.sent > resend_interval;
    // Speeds fade all the time, so they are not compared with the last summary.
    const bool has_speeds = speeds_.fill(speed_scope::data_centre, data_centre.text(), summary);
    if (should_send || has_speeds) {
        last = {std::move(bytes), state_.now()};
        peers_.send(holder, message);
    }
}

void load_exchange::confirm_heartbeat(const instance_name& holder, const protocol::DataCentreBeat& beat,
                                      bool is_stopping) {
    protocol::Envelope message;
    protocol::GatewayState& own = *message.mutable_gateway_state();
    own.set_data_centre(state_.settings.data_centre.text());
    own.set_stopping(is_stopping);
    own.set_confirmed_fence(beat.fence());
    own.set_heartbeat_sent_at_ns(beat.sent_at_ns());
    append_crashes(crash_registry::report_scope::standing, *own.mutable_crashes());
    append_successes(success_scope::gateway, *own.mutable_successes());
    append_server_work([](const backend&) { return true; }, false, recently_used_, reported_to_holder_,
                       *own.mutable_work());
    speeds_.fill(speed_scope::gateway, holder.text(), own);
    recently_used_.clear();
    recently_used_remote_.clear();
    usage_.fill(own, state_.now_with_suspension());
    peers_.send(holder, message);
}

void load_exchange::clear_peer_state() {
    for (const auto& [source, time] : last_message_times_) {
        state_.directory.clear_peer_work(source);
    }
    last_message_times_.clear();
    reported_to_holder_.clear();
    reported_to_remote_.clear();
    last_summaries_.clear();
    usage_.on_holder_changed();
}

void load_exchange::apply_crashes(const instance_name& from, const crash_list& crashes) {
    const time_point now = state_.now();
    const std::uint64_t known = state_.crashes.told_repetitions();
    for (const protocol::CrashSighting& entry : crashes) {
        crash_sighting sighting;
        sighting.suspect = to_suspect(entry.suspect(), entry.prompt_part());
        sighting.server_start = {entry.server_start()};
        sighting.seen_at = now - std::chrono::milliseconds{entry.age_ms()};
        sighting.ran_for = std::chrono::milliseconds{entry.ran_ms()};
        if (state_.crashes.on_report(sighting, now)) {
            state_.log.write(
                event::fingerprint_quarantined,
                fmt::format("fingerprint={:016x} kind={} server_start={:016x} source={} crashes={}",
                            entry.suspect(), to_text(sighting.suspect.kind), entry.server_start(),
                            from.text(), state_.crashes.crashes(sighting.suspect)));
        }
    }
    const peer_gateway* peer = peers_.find(from);
    if (peer != nullptr && state_.crashes.told_repetitions() > known) {
        const bool is_local = peer->data_centre == state_.settings.data_centre;
        (is_local ? summary_relay_ : beat_relay_).on_news();
    }
}

void load_exchange::apply_successes(success_scope scope, const instance_name& source,
                                    const success_list& successes) {
    const time_point now = state_.now();
    for (const protocol::SuspectSuccess& entry : successes) {
        const crash_suspect suspect = to_suspect(entry.suspect(), entry.prompt_part());
        const time_point last_at = now - std::chrono::milliseconds{entry.age_ms()};
        state_.crashes.on_success_report(scope, source.text(), {suspect, entry.recent_runs(), last_at}, now);
    }
}

void load_exchange::reset_source(const instance_name& source) {
    state_.directory.clear_peer_work(source);
    last_message_times_[source] = state_.now();
}

void load_exchange::tick() {
    expire_silent_peers();
    state_.report_caps();
}

void load_exchange::expire_silent_peers() {
    speeds_.update();
    pace_.update(peers_.all().size() + 1);
    const time_point oldest = state_.now() - work_lifetime;
    std::erase_if(last_message_times_, [&](const auto& entry) {
        const bool is_silent = entry.second < oldest;
        if (is_silent) {
            state_.directory.clear_peer_work(entry.first);
        }
        return is_silent;
    });
}

void load_exchange::apply_work(const instance_name& source, const work_list& work) {
    for (const protocol::ServerWork& item : work) {
        backend* server = state_.directory.find(server_name{item.server()});
        if (server == nullptr) {
            continue;
        }
        peer_server_work& reported = server->peer_work[source];
        reported = to_peer_work(item);
        for (const auto& ref : item.in_use()) {
            reported.in_use.insert(to_ref(ref));
            on_used_(server->listing.name, to_ref(ref));
        }
        for (const auto& ref : item.recently_used()) {
            on_used_(server->listing.name, to_ref(ref));
        }
    }
}

void load_exchange::apply_totals(const instance_name& source, const totals_list& totals,
                                 const reported_work& reported) {
    for (const protocol::ServerTotals& item : totals) {
        backend* server = state_.directory.find(server_name{item.server()});
        if (server == nullptr) {
            continue;
        }
        peer_server_work sum = to_peer_work(item);
        sum.used_places = item.used_places();
        server->peer_work[source] = reported.work_of_others(server->listing.name, sum);
    }
}

void load_exchange::on_data_centre_beat(const instance_name& from, const protocol::DataCentreBeat& beat,
                                        duration delay) {
    usage_.on_beat(beat, delay, state_.now_with_suspension());
    reset_source(holder_source());
    apply_totals(holder_source(), beat.totals(), reported_to_holder_);
    apply_successes(success_scope::deployment, holder_source(), beat.successes());
    speeds_.apply(speed_scope::deployment, holder_source().text(), beat);
    apply_crashes(from, beat.crashes());
    state_.scheduler.on_reports();
}

void load_exchange::on_gateway_state(const instance_name& from, const protocol::GatewayState& state) {
    usage_.on_state(from, state, state_.now_with_suspension());
    reset_source(from);
    apply_work(from, state.work());
    apply_successes(success_scope::gateway, from, state.successes());
    speeds_.apply(speed_scope::gateway, from.text(), state);
    apply_crashes(from, state.crashes());
    state_.scheduler.on_reports();
    for (const protocol::ServerWork& item : state.work()) {
        const server_name name{item.server()};
        const backend* server = state_.directory.find(name);
        if (server == nullptr || server->listing.zone == state_.settings.data_centre) {
            continue;
        }
        for (const auto& ref : item.recently_used()) {
            recently_used_remote_[server->listing.zone][name].insert(to_ref(ref));
        }
    }
}

void load_exchange::on_data_centre_work(const instance_name& from, const protocol::DataCentreWork& work) {
    const data_centre_name data_centre{work.data_centre()};
    const instance_name source = data_centre_source(data_centre);
    usage_.on_work(work, state_.now_with_suspension());
    reset_source(source);
    apply_work(source, work.work());
    apply_totals(source, work.totals(), reported_to_remote_[data_centre]);
    apply_successes(success_scope::data_centre, source, work.successes());
    speeds_.apply(speed_scope::data_centre, source.text(), work);
    apply_crashes(from, work.crashes());
    state_.scheduler.on_reports();
}

void load_exchange::on_crash_report(const instance_name& from, const protocol::CrashReport& report) {
    const peer_gateway* peer = peers_.find(from);
    // The runs of other data centres' gateways are part of what their holder tells.
    if (peer != nullptr && peer->data_centre == state_.settings.data_centre) {
        apply_successes(success_scope::gateway, from, report.successes());
    }
    apply_crashes(from, report.crashes());
}

} // namespace lovageledge
