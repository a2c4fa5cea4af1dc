#include "lovageledge/gateway/order_coordinator.hpp"

#include "weights_message.hpp"

#include <algorithm>
#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>
#include <utility>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;

/** Interval of messages to other data centres, whose links are billed. */
constexpr auto remote_state_interval = milliseconds{250};
/** Planning interval while loads are in progress or requested. */
constexpr auto busy_plan_interval = milliseconds{15};
/** Planning interval otherwise. */
constexpr auto idle_plan_interval = milliseconds{150};
/** Changes of the servers' weights are collected for this long before all peers are told; those that wait for
    them are told at once. */
constexpr auto weights_announcement_interval = milliseconds{60};
/** A peer asks again for weights at the latest after its load_wait, so older questions are void. */
constexpr auto waiting_peer_lifetime = milliseconds{2000};
/** Delay after a failed write of a record. */
constexpr auto write_retry_delay = milliseconds{700};
/** Least time between two writes of the refused requests. */
constexpr auto crashes_write_interval = milliseconds{1000};
/** How long a stopping holder waits for the responses to its orders before it releases the domain: longer
    than the time limits of an order, unless the process is about to exit. */
constexpr auto order_drain_limit = milliseconds{1800};
constexpr auto order_drain_limit_at_exit = milliseconds{250};
constexpr auto order_drain_interval = milliseconds{10};

/** A holder relays store updates if its data centre has at least this many other gateways. */
constexpr std::size_t min_peers_to_relay = 3;
/** With shorter change limits than this, too little time would be left for an own reading after a holder's
    has become too old, so each gateway reads the store itself. */
constexpr auto min_change_limit_to_relay = milliseconds{3500};

const std::string gateway_prefix = "gateway.";
const std::string domain_prefix = "orders.";
const std::string crashes_prefix = "crashes.";

const char* outcome_name(order_outcome outcome) {
    switch (outcome) {
    case order_outcome::accepted:
        return "accepted";
    case order_outcome::holds:
        return "holds";
    case order_outcome::conflict:
        return "conflict";
    case order_outcome::fenced:
        return "fenced";
    case order_outcome::refused:
        return "refused";
    case order_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace

order_coordinator::order_coordinator(asio::io_context& context, gateway_state& state)
    : context_{context}, state_{state}, peers_{state.settings,
                                               [this](protocol::Envelope message) {
                                                   asio::post(context_, [this, message = std::move(message)] {
                                                       on_message(message);
                                                   });
                                               }},
      exchange_{state, peers_,
                [this](const server_name& server, const adapter_ref& ref) {
                    planner_.on_used(server, ref, state_.now());
                }},
      planner_{state.settings.planner}, succession_{{state.settings.name, state.settings.start,
                                                     state.settings.link_mbps, state.settings.peer_address},
                                                    state.settings.data_centre.text(),
                                                    state.settings.succession},
      plan_timer_{context}, announcement_timer_{context} {
    planner_.set_usage_function(
        [](const backend& server, const adapter_ref& ref) { return server.is_in_use(ref); });
}

bool order_coordinator::start(error& failure) {
    if (!peers_.listen(failure)) {
        return false;
    }
    asio::co_spawn(context_, heartbeat_loop(), log_exception("gateway.orders"));
    asio::co_spawn(context_, planning_loop(), log_exception("gateway.orders"));
    return true;
}

void order_coordinator::begin_stop() {
    is_stopping_ = true;
    succession_.begin_stop();
    protocol::Envelope message;
    message.mutable_gateway_state()->set_data_centre(state_.settings.data_centre.text());
    message.mutable_gateway_state()->set_stopping(true);
    peers_.send_to_data_centre(message);
    if (holds_domain() && succession_.has_other_candidate()) {
        asio::co_spawn(context_, release_domain(order_drain_limit), log_exception("gateway.orders"));
    }
}

asio::awaitable<void> order_coordinator::finish_stop() {
    is_stopped_ = true;
    co_await release_domain(order_drain_limit_at_exit);
}

asio::awaitable<void> order_coordinator::release_domain(duration answer_limit) {
    succession_.end();
    co_await wait_for_unanswered_orders(answer_limit);
    const auto release = succession_.release(succession_time());
    // After a release the next holder does not wait, so no order of this one may still be on its way.
    if (release && unanswered_orders_ == 0) {
        co_await write_domain_record(*release);
    }
}

asio::awaitable<void> order_coordinator::wait_for_unanswered_orders(duration limit) {
    asio::steady_timer timer{context_};
    const time_point end = state_.now() + limit;
    while (unanswered_orders_ > 0 && state_.now() < end) {
        timer.expires_after(order_drain_interval);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

// Records in the platform's store

void order_coordinator::on_records_complete() {
    state_.has_read_records = true;
    restore_registration();
}

void order_coordinator::restore_registration() {
    if (!std::exchange(is_registering_, true)) {
        asio::co_spawn(context_, register_self(), log_exception("gateway.orders"));
    }
}

asio::awaitable<void> order_coordinator::register_self() {
    protocol::GatewayRecord record;
    record.set_instance(state_.settings.name.text());
    record.set_start(state_.settings.start.text());
    record.set_peer_address(state_.settings.peer_address);
    record.set_data_centre(state_.settings.data_centre.text());
    record.set_link_mbps(state_.settings.link_mbps);
    const std::string name = gateway_prefix + state_.settings.name.text();
    asio::steady_timer timer{context_};
    while (!is_stopped_) {
        const auto known = record_revisions_.find(name);
        std::optional<store_revision> expected;
        if (known != record_revisions_.end()) {
            expected = known->second;
        }
        const write_result result = co_await state_.platform.write_record(name, to_json(record), expected);
        if (result.record) {
            record_revisions_[name] = result.record->revision;
        }
        if (result.outcome == write_outcome::done && result.record) {
            is_registering_ = false;
            if (std::exchange(registered_at_, result.record->revision).is_none()) {
                succession_.start(succession_time());
            }
            maintain_domain();
            co_return;
        }
        timer.expires_after(write_retry_delay);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void order_coordinator::on_record(const stored_record& record) {
    record_revisions_[record.name] = record.revision;
    if (record.name.rfind(domain_prefix, 0) == 0) {
        apply_domain_record(record, std::nullopt);
        return;
    }
    if (record.name.rfind(crashes_prefix, 0) == 0) {
        apply_crash_record(record);
        return;
    }
    protocol::GatewayRecord gateway;
    const bool is_gateway = record.name.rfind(gateway_prefix, 0) == 0 && from_json(record.json, gateway);
    if (is_gateway) {
        const bool is_former_run_of_copy = instance_name{gateway.instance()} == state_.settings.name &&
                                           start_id{gateway.start()} != state_.settings.start &&
                                           !registered_at_.is_none() &&
                                           record.revision.era() > registered_at_.era();
        if (is_former_run_of_copy) {
            restore_registration();
        }
        peers_.on_registered(gateway);
        const bool is_local_peer = data_centre_name{gateway.data_centre()} == state_.settings.data_centre &&
                                   instance_name{gateway.instance()} != state_.settings.name;
        if (is_local_peer) {
            succession_.on_peer_listed(
                {instance_name{gateway.instance()}, start_id{gateway.start()}, gateway.link_mbps()});
        }
        state_.set_instances(instance_count());
        std::string& known_start = peer_starts_[gateway.instance()];
        const bool has_started = std::exchange(known_start, gateway.start()) != gateway.start();
        if (is_local_peer && has_started && state_.has_read_records) {
            exchange_.send_refused_requests(instance_name{gateway.instance()});
        }
    }
}

void order_coordinator::apply_crash_record(const stored_record& record) {
    protocol::CrashRecord message;
    if (!from_json(record.json, message)) {
        spdlog::warn("record {} of revision {} is malformed", record.name, record.revision.number());
        return;
    }
    if (record.name == crashes_prefix + state_.settings.data_centre.text()) {
        stored_crashes_ = message;
    }
    exchange_.on_crash_record(message);
}

void order_coordinator::store_refused_requests() {
    const bool may_write = holds_domain() && !is_stopped_ && state_.has_read_records &&
                           !is_writing_crashes_ &&
                           state_.now() - crashes_written_at_ >= crashes_write_interval;
    if (!may_write) {
        return;
    }
    const protocol::CrashRecord refused = exchange_.refused_requests();
    if (!load_exchange::is_same_state(refused, stored_crashes_)) {
        is_writing_crashes_ = true;
        asio::co_spawn(context_, write_crash_record(refused), log_exception("gateway.orders"));
    }
}

asio::awaitable<void> order_coordinator::write_crash_record(protocol::CrashRecord record) {
    const std::string name = crashes_prefix + state_.settings.data_centre.text();
    const auto known = record_revisions_.find(name);
    const auto expected = known == record_revisions_.end() ? std::nullopt : std::optional{known->second};
    const write_result result = co_await state_.platform.write_record(name, to_json(record), expected);
    // A write without an answer is repeated, and then finds its own record or another's.
    if (result.record) {
        on_record(*result.record);
    }
    crashes_written_at_ = state_.now();
    is_writing_crashes_ = false;
}

void order_coordinator::on_record_removed(const std::string& name) {
    record_revisions_.erase(name);
    if (name == crashes_prefix + state_.settings.data_centre.text()) {
        stored_crashes_.Clear();
    }
    if (name.rfind(gateway_prefix, 0) == 0) {
        const instance_name peer{name.substr(gateway_prefix.size())};
        peers_.on_unregistered(peer);
        succession_.on_peer_unlisted(peer);
        state_.set_instances(instance_count());
    }
    if (name == domain_record_name()) {
        const order_domain_record former = succession_.record();
        const bool was_holder = holds_domain();
        succession_.on_record_removed();
        on_domain_changed(former, was_holder);
    }
}

void order_coordinator::on_records_listed(const std::set<std::string>& names, store_revision revision) {
    const std::string own_name = gateway_prefix + state_.settings.name.text();
    std::vector<std::string> missing;
    for (const auto& [name, known_revision] : record_revisions_) {
        if (known_revision < revision && !names.contains(name)) {
            missing.push_back(name);
        }
    }
    for (const std::string& name : missing) {
        const bool is_gateway = name.rfind(gateway_prefix, 0) == 0;
        if (!is_gateway) {
            on_record_removed(name);
            continue;
        }
        // A running gateway whose registration the store has lost registers again. Until then it may hold
        // the domain, so its confirmation is still needed.
        record_revisions_.erase(name);
        if (name == own_name && !registered_at_.is_none()) {
            restore_registration();
        }
    }
}

void order_coordinator::on_store_era(store_era era) {
    succession_.on_store_era(era, succession_time());
    update_authority();
}

std::string order_coordinator::domain_record_name() const {
    return domain_prefix + state_.settings.data_centre.text();
}

void order_coordinator::apply_domain_record(const stored_record& stored,
                                            std::optional<time_point> requested_at) {
    protocol::OrderDomainRecord message;
    if (!from_json(stored.json, message)) {
        spdlog::warn("order domain record of revision {} is malformed", stored.revision.number());
        return;
    }
    const data_centre_name data_centre{message.data_centre()};
    if (data_centre != state_.settings.data_centre) {
        instance_name& holder = remote_holders_[data_centre];
        if (holder.text() != message.holder()) {
            holder = instance_name{message.holder()};
            state_.crashes.report_again(state_.now());
        }
        return;
    }
    const order_domain_record record{
        instance_name{message.holder()}, start_id{message.start()}, message.fence(),
        message.predecessor_stopped(),   message.address(),         message.only_machine()};
    const order_domain_record former = succession_.record();
    const bool was_holder = holds_domain();
    if (requested_at) {
        succession_.on_record_confirmed(record, stored.revision, *requested_at, succession_time());
    } else {
        succession_.on_record(record, stored.revision, succession_time());
    }
    on_domain_changed(former, was_holder);
}

void order_coordinator::on_domain_changed(const order_domain_record& former, bool was_holder) {
    const order_domain_record& record = succession_.record();
    if (record == former) {
        return;
    }
    if (record.holder != former.holder || record.start != former.start) {
        exchange_.clear_peer_state();
        heartbeat_delay_.reset();
        state_.crashes.report_again(state_.now());
        state_.store.on_holder_changed();
    }
    is_planning_ = false;
    if (holds_domain()) {
        state_.log.write(event::order_domain_taken,
                         fmt::format("data_centre={} fence={} predecessor_stopped={}",
                                     state_.settings.data_centre.text(), record.fence,
                                     record.has_predecessor_stopped));
    } else if (was_holder) {
        state_.log.write(event::order_domain_lost,
                         fmt::format("data_centre={} fence={} holder={}", state_.settings.data_centre.text(),
                                     record.fence, record.holder.text()));
    }
    update_authority();
    maintain_domain();
}

void order_coordinator::update_authority() {
    const time_point now = succession_time();
    if (!is_planning_ && succession_.has_predecessor_stopped(now)) {
        is_planning_ = true;
        planner_.reset();
        on_servers_changed();
    }
    const bool has_authority = succession_.may_order(now);
    if (has_authority == std::exchange(had_authority_, has_authority)) {
        return;
    }
    const auto age = succession_.confirmation_age(now);
    state_.log.write(has_authority ? event::order_authority_gained : event::order_authority_lost,
                     fmt::format("data_centre={} fence={} holds_domain={} confirmation_age_ms={}",
                                 state_.settings.data_centre.text(), succession_.record().fence,
                                 holds_domain(),
                                 age ? std::chrono::duration_cast<milliseconds>(*age).count() : -1));
}

void order_coordinator::maintain_domain() {
    const time_point now = succession_time();
    succession_.tick(now);
    const auto claim = is_writing_domain_ ? std::nullopt : succession_.next_claim(now);
    if (claim) {
        is_writing_domain_ = true;
        asio::co_spawn(context_, write_domain_record(*claim), log_exception("gateway.orders"));
    }
    if (!is_reading_domain_ && succession_.should_read_record(now)) {
        is_reading_domain_ = true;
        asio::co_spawn(context_, read_domain_record(), log_exception("gateway.orders"));
    }
}

asio::awaitable<void> order_coordinator::write_domain_record(order_succession::record_write write) {
    protocol::OrderDomainRecord message;
    message.set_data_centre(state_.settings.data_centre.text());
    message.set_holder(write.record.holder.text());
    message.set_start(write.record.start.text());
    message.set_fence(write.record.fence);
    message.set_predecessor_stopped(write.record.has_predecessor_stopped);
    message.set_address(write.record.address);
    message.set_only_machine(write.record.is_only_machine);
    const time_point requested_at = succession_time();
    const write_result result = co_await state_.platform.write_record(domain_record_name(), to_json(message),
                                                                      write.required_revision);
    if (result.outcome != write_outcome::done) {
        succession_.on_store_failed(succession_time());
    }
    is_writing_domain_ = false;
    if (result.record) {
        apply_domain_record(*result.record, requested_at);
    }
}

asio::awaitable<void> order_coordinator::read_domain_record() {
    const time_point requested_at = succession_time();
    const auto record = co_await state_.platform.read_record(domain_record_name());
    is_reading_domain_ = false;
    if (record) {
        apply_domain_record(*record, requested_at);
    } else {
        succession_.on_store_failed(succession_time());
    }
    update_authority();
}

// Messages between gateways

void order_coordinator::send_heartbeats() {
    const time_point now = state_.now();
    if (is_serving_holder()) {
        send_beat();
        if (now - last_remote_summary_ >= remote_state_interval) {
            last_remote_summary_ = now;
            exchange_.send_summaries(remote_holders_);
        }
    }
    relay_crashes();
    exchange_.tick();
}

void order_coordinator::send_beat() {
    const time_point sent_at = succession_time();
    exchange_.send_data_centre_beat({succession_.record().fence, sent_at, succession_.is_entitled(sent_at)},
                                    relays_store_updates() ? state_.store.positions()
                                                           : std::vector<store_position>{});
}

void order_coordinator::relay_crashes() {
    if (!is_serving_holder()) {
        return;
    }
    if (exchange_.are_summaries_urgent()) {
        exchange_.send_summaries(remote_holders_);
    }
    if (exchange_.is_beat_urgent()) {
        send_beat();
    }
}

asio::awaitable<void> order_coordinator::heartbeat_loop() {
    asio::steady_timer timer{context_};
    while (true) {
        maintain_domain();
        send_heartbeats();
        update_authority();
        exchange_.send_urgent_crashes(remote_holders_);
        decide_crash_sightings();
        store_refused_requests();
        timer.expires_after(state_.settings.state_interval);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void order_coordinator::decide_crash_sightings() {
    // Before the first list of the servers, none of them could be told from one that has ended.
    const bool is_current = !state_.directory.servers().empty() && state_.store.are_servers_current();
    if (!is_current) {
        servers_current_since_.reset();
    } else if (!servers_current_since_) {
        servers_current_since_ = state_.now();
    }
    state_.crashes.on_tick(state_.now(), [this] { return server_view_for_crashes(); });
}

std::optional<server_view> order_coordinator::server_view_for_crashes() const {
    if (!servers_current_since_) {
        return std::nullopt;
    }
    server_view view;
    view.current_since = *servers_current_since_;
    for (const auto& [name, server] : state_.directory.servers()) {
        if (server.is_listed) {
            view.listed_starts.insert(make_server_start_id(name, server.listing.started_at));
        }
    }
    return view;
}

bool order_coordinator::is_from_holder(const protocol::Envelope& message) const {
    const order_domain_record& record = succession_.record();
    return message.from() == record.holder.text() && message.from_start() == record.start.text();
}

bool order_coordinator::on_heartbeat(const protocol::Envelope& message) {
    const protocol::DataCentreBeat& beat = message.data_centre_beat();
    return beat.data_centre() == state_.settings.data_centre.text() &&
           succession_.on_heartbeat(instance_name{message.from()}, start_id{message.from_start()},
                                    beat.fence(), !beat.unconfirmed(), succession_time());
}

void order_coordinator::on_message(const protocol::Envelope& message) {
    const bool is_holder_heartbeat = message.has_data_centre_beat() && on_heartbeat(message);
    const instance_name from{message.from()};
    const peer_gateway* sender = peers_.find(from);
    if (sender == nullptr) {
        return; // The sender's record has not been read yet.
    }
    if (is_holder_heartbeat) {
        on_data_centre_beat(from, message.data_centre_beat());
    } else if (message.has_gateway_state()) {
        const protocol::GatewayState& state = message.gateway_state();
        succession_.on_peer_stopping(from, state.stopping());
        succession_.on_heartbeat_confirmed(from, state.confirmed_fence(),
                                           time_point{duration{state.heartbeat_sent_at_ns()}});
        exchange_.on_gateway_state(from, state);
    } else if (message.has_data_centre_work()) {
        exchange_.on_data_centre_work(from, message.data_centre_work());
    } else if (message.has_crash_report()) {
        exchange_.on_crash_report(from, message.crash_report());
    } else if (message.has_store_update() && is_from_holder(message)) {
        on_store_update(message.store_update());
    } else if (message.has_weights_wanted()) {
        on_weights_wanted(from, message.weights_wanted());
    } else if (message.has_weights_held()) {
        on_weights_held(message, sender->data_centre != state_.settings.data_centre);
    }
    relay_crashes();
}

void order_coordinator::on_data_centre_beat(const instance_name& from, const protocol::DataCentreBeat& beat) {
    const duration delay =
        heartbeat_delay_.on_message(time_point{duration{beat.sent_at_ns()}}, succession_time());
    exchange_.on_data_centre_beat(from, beat, delay);
    std::vector<store_position> positions;
    for (const protocol::StorePosition& entry : beat.positions()) {
        positions.push_back({entry.kind(), entry.revision(), milliseconds{entry.age_ms()} + delay});
    }
    state_.store.on_holder_positions(positions);
    exchange_.confirm_heartbeat(from, beat, is_stopping_);
}

void order_coordinator::on_store_update(const protocol::StoreUpdate& update) {
    state_.store.apply({update.kind(), update.after_revision(), update.revision(), update.changes()});
}

bool order_coordinator::relays_store_updates() const {
    return holds_domain() && !is_stopped_ && peers_.count_local_peers() >= min_peers_to_relay &&
           may_rely_on_holder();
}

bool order_coordinator::may_rely_on_holder() const {
    return std::min(state_.settings.leaving_limit, state_.settings.configuration_limit) >=
           min_change_limit_to_relay;
}

void order_coordinator::relay_store_update(const store_update& update) {
    if (!relays_store_updates()) {
        return;
    }
    protocol::Envelope message;
    protocol::StoreUpdate& relayed_update = *message.mutable_store_update();
    relayed_update.set_kind(update.kind);
    relayed_update.set_after_revision(update.after_revision);
    relayed_update.set_revision(update.revision);
    relayed_update.set_changes(update.changes);
    peers_.send_to_data_centre(message);
}

void order_coordinator::on_weights_wanted(const instance_name& from, const protocol::WeightsWanted& message) {
    const backend* server = state_.directory.find(server_name{message.server()});
    const bool is_listed_start = server != nullptr && server->listing.started_at == message.started_at();
    if (!is_listed_start || !holds_domain() || is_stopped_) {
        return;
    }
    const adapter_ref ref = to_ref(message.weights());
    peers_waiting_for_weights_[server->listing.name][{from, ref}] = state_.now();
    add_weights_request(*server, ref, message.was_refused());
}

void order_coordinator::add_weights_request(const backend& server, const adapter_ref& ref, bool was_refused) {
    planner_.on_load_requested(server.listing.name, ref, state_.now());
    const bool needs_report = was_refused && planner_.on_use_refused(server.listing.name, ref, state_.now());
    if (!needs_report && holds_newest(server, ref)) {
        publish_weights(server);
    }
    issue_orders();
}

void order_coordinator::on_weights_held(const protocol::Envelope& envelope, bool is_from_other_data_centre) {
    for (const protocol::ServerWeights& message : envelope.weights_held().servers()) {
        const server_name server{message.server()};
        const backend* known = state_.directory.find(server);
        const bool is_managed_here = known != nullptr && known->listing.zone == state_.settings.data_centre;
        if (is_managed_here && !is_from_holder(envelope)) {
            continue; // A former holder may not know the latest orders.
        }
        if (!state_.directory.on_weights_reported(server, message.started_at(), message.sequence(),
                                                  to_held_weights(message), state_.now())) {
            continue;
        }
        wake_waiters(server);
        if (is_from_other_data_centre && holds_domain()) {
            announce_weights(server);
        }
    }
}

void order_coordinator::publish_weights(const backend& server) {
    send_weights_to_waiting_peers(server);
    announce_weights(server.listing.name);
    wake_waiters(server.listing.name);
}

void order_coordinator::send_weights_to_waiting_peers(const backend& server) {
    const auto waiting = peers_waiting_for_weights_.find(server.listing.name);
    if (waiting == peers_waiting_for_weights_.end()) {
        return;
    }
    protocol::Envelope message;
    *message.mutable_weights_held()->add_servers() = to_server_weights(server);
    std::set<instance_name> peers;
    for (const auto& [request, asked_at] : waiting->second) {
        peers.insert(request.first);
    }
    for (const instance_name& peer : peers) {
        peers_.send(peer, message);
    }
    std::erase_if(waiting->second, [&](const auto& entry) {
        const auto& [request, asked_at] = entry;
        return server.listing.weights.version_of(request.second) ||
               asked_at + waiting_peer_lifetime < state_.now();
    });
    if (waiting->second.empty()) {
        peers_waiting_for_weights_.erase(waiting);
    }
}

void order_coordinator::announce_weights(const server_name& server) {
    const bool is_scheduled = !unannounced_weights_.empty();
    unannounced_weights_.insert(server);
    if (is_scheduled) {
        return;
    }
    announcement_timer_.expires_after(weights_announcement_interval);
    announcement_timer_.async_wait([this](boost::system::error_code code) {
        if (!code) {
            send_weights_announcement();
        }
    });
}

void order_coordinator::send_weights_announcement() {
    protocol::Envelope to_data_centre;
    protocol::Envelope to_other_holders;
    for (const server_name& name : std::exchange(unannounced_weights_, {})) {
        const backend* server = state_.directory.find(name);
        if (server == nullptr) {
            peers_waiting_for_weights_.erase(name);
            continue;
        }
        const protocol::ServerWeights weights = to_server_weights(*server);
        if (server->listing.zone == state_.settings.data_centre) {
            *to_other_holders.mutable_weights_held()->add_servers() = weights;
        }
        *to_data_centre.mutable_weights_held()->add_servers() = weights;
    }
    if (to_data_centre.has_weights_held()) {
        peers_.send_to_data_centre(to_data_centre);
    }
    if (to_other_holders.has_weights_held()) {
        for (const auto& [data_centre, holder] : remote_holders_) {
            peers_.send(holder, to_other_holders);
        }
    }
}

// Weights that requests need

void order_coordinator::request_weights(const server_name& name, const adapter_ref& ref, bool was_refused) {
    const backend* server = state_.directory.find(name);
    if (server == nullptr) {
        return;
    }
    const bool is_managed = server->listing.zone == state_.settings.data_centre;
    if (is_managed && holds_domain()) {
        add_weights_request(*server, ref, was_refused);
        return;
    }
    instance_name holder = succession_.record().holder;
    if (!is_managed) {
        holder = remote_holders_[server->listing.zone];
    }
    protocol::Envelope message;
    protocol::WeightsWanted& wanted = *message.mutable_weights_wanted();
    wanted.set_server(name.text());
    wanted.set_started_at(server->listing.started_at);
    *wanted.mutable_weights() = to_message(ref, 0);
    wanted.set_was_refused(was_refused);
    peers_.send(holder, message);
}

void order_coordinator::record_use(const server_name& server, const adapter_ref& ref) {
    if (ref.is_base()) {
        return;
    }
    exchange_.record_use(server, ref);
    planner_.on_used(server, ref, state_.now());
}

asio::awaitable<bool> order_coordinator::wait_for_weights(server_name server, adapter_ref ref,
                                                          duration limit) {
    auto timer = std::make_shared<asio::steady_timer>(context_, limit);
    const auto waiter = waiters_.emplace(server, load_waiter{ref, timer});
    boost::system::error_code code;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, code));
    waiters_.erase(waiter);
    co_return code == asio::error::operation_aborted;
}

bool order_coordinator::holds_newest(const backend& server, const adapter_ref& ref) const {
    const auto held = server.listing.weights.version_of(ref);
    return held && *held >= state_.versions.newest(ref).value_or(0);
}

void order_coordinator::wake_waiters(const server_name& name) {
    const backend* server = state_.directory.find(name);
    const auto [begin, end] = waiters_.equal_range(name);
    for (auto waiter = begin; waiter != end; ++waiter) {
        if (server == nullptr || holds_newest(*server, waiter->second.ref)) {
            waiter->second.timer->cancel();
        }
    }
}

// Orders

void order_coordinator::on_servers_changed() {
    std::set<server_name> waiting;
    for (const auto& [name, waiter] : waiters_) {
        waiting.insert(name);
    }
    for (const server_name& name : waiting) {
        wake_waiters(name);
    }
    issue_orders();
}

asio::awaitable<void> order_coordinator::planning_loop() {
    while (true) {
        issue_orders();
        plan_timer_.expires_after(planner_.is_busy() ? duration{busy_plan_interval}
                                                     : duration{idle_plan_interval});
        boost::system::error_code ignored;
        co_await plan_timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void order_coordinator::issue_orders() {
    if (!is_planning_ || !holds_domain() || !state_.routes) {
        return;
    }
    const auto is_managed = [this](const backend& server) {
        return server.listing.zone == state_.settings.data_centre && !server.is_paused(state_.now());
    };
    for (const server_name& name :
         planner_.next_report_requests(state_.directory, *state_.routes, is_managed, state_.now())) {
        asio::co_spawn(context_, read_server_weights(name, state_.directory.find(name)->listing.address),
                       log_exception("gateway.orders"));
    }
    if (!may_order()) {
        return;
    }
    auto orders =
        planner_.next_orders(state_.directory, *state_.routes, state_.versions, is_managed, state_.now());
    for (weights_order& order : orders) {
        const backend* server = state_.directory.find(order.server);
        const std::string address = server->listing.address;
        const std::uint64_t fence = succession_.record().fence;
        const order_authority authority{state_.settings.name, fence, [this, fence] {
                                            return succession_.record().fence == fence && may_order();
                                        }};
        asio::co_spawn(context_, dispatch_order(std::move(order), address, authority),
                       log_exception("gateway.orders"));
    }
}

asio::awaitable<void> order_coordinator::dispatch_order(weights_order order, std::string address,
                                                        order_authority authority) {
    ++unanswered_orders_;
    const order_result result = co_await state_.platform.send_order(order, address, authority);
    --unanswered_orders_;
    log_order(order, result, authority);
    if (succession_.record().fence != authority.fence) {
        co_return; // The order domain has a new holder or token since the order was planned.
    }
    if (result.outcome == order_outcome::fenced) {
        succession_.on_order_fenced(authority.fence, succession_time());
        update_authority();
    }
    const bool has_changed = planner_.on_outcome(state_.directory, order, result.outcome, state_.now());
    const backend* server = state_.directory.find(order.server);
    if (server != nullptr && has_changed) {
        publish_weights(*server);
    }
    issue_orders();
    if (planner_.is_busy()) {
        plan_timer_.cancel();
    }
}

asio::awaitable<void> order_coordinator::read_server_weights(server_name name, std::string address) {
    const auto report = co_await state_.platform.read_weights(address);
    const backend* server = state_.directory.find(name);
    const bool is_same_start =
        report && server != nullptr && server->listing.started_at == report->started_at;
    if (!is_same_start) {
        planner_.on_report_failed(name, state_.now());
        co_return;
    }
    planner_.on_report(state_.directory, name, report->started_at, report->order_sequence, report->weights,
                       report->loading, state_.now());
    publish_weights(*server);
    issue_orders();
}

void order_coordinator::log_order(const weights_order& order, const order_result& result,
                                  const order_authority& authority) {
    const bool is_load = order.operation == order_operation::load;
    if (order.is_check && result.outcome == order_outcome::accepted) {
        return;
    }
    state_.counters.count(fmt::format("orders_total{{operation=\"{}\",outcome=\"{}\"}}",
                                      is_load ? "load" : "unload", outcome_name(result.outcome)));
    state_.log.write(
        is_load ? event::adapter_load_ordered : event::adapter_evict_ordered,
        fmt::format("server={} model={} adapter={} version={} sequence={} fence={} check={} outcome={} "
                    "detail=\"{}\"",
                    order.server.text(), order.weights.model, order.weights.adapter,
                    order.version.value_or(0), order.expected_sequence.value_or(0), authority.fence,
                    order.is_check, outcome_name(result.outcome), result.detail));
}

} // namespace lovageledge
