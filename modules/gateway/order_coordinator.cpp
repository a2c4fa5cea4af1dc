#include "lovageledge/gateway/order_coordinator.hpp"

#include "weights_message.hpp"

#include <algorithm>
#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;

/** Interval of messages to other data centres, whose links are billed. */
constexpr auto remote_state_interval = milliseconds{250};
/** A holder that sends no message for this long is replaced. */
constexpr auto holder_timeout = milliseconds{1500};
/** A longer gap between two heartbeat rounds means that this process was stalled, so that missing messages
    say nothing about its peers. */
constexpr auto stall_threshold = milliseconds{700};
/** Planning interval while loads are in progress or requested. */
constexpr auto busy_plan_interval = milliseconds{15};
/** Planning interval otherwise. */
constexpr auto idle_plan_interval = milliseconds{150};
/** Delay after a failed write of a record. */
constexpr auto write_retry_delay = milliseconds{700};
/** Extra delay per rank among the candidates, so that they don't all write the order domain at once. */
constexpr auto candidate_delay_step = milliseconds{150};

/** A holder relays store updates if its data centre has at least this many other gateways. */
constexpr std::size_t min_peers_to_relay = 3;
/** It takes 2.4 s to notice that the holder has lost the store. With a shorter leaving limit than this, each
    gateway reads the store itself. */
constexpr auto min_leaving_limit_to_relay = milliseconds{3500};

const std::string gateway_prefix = "gateway.";
const std::string domain_prefix = "orders.";

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
                                               [this](const protocol::Envelope& message) {
                                                   asio::post(context_,
                                                              [this, message] { on_message(message); });
                                               }},
      exchange_{state, peers_,
                [this](const server_name& server, const adapter_ref& ref) {
                    planner_.on_used(server, ref, state_.now());
                }},
      planner_{state.settings.planner}, plan_timer_{context} {
    planner_.set_usage_function(
        [](const backend& server, const adapter_ref& ref) { return server.is_in_use(ref); });
}

bool order_coordinator::start(error& failure) {
    observing_since_ = state_.now();
    last_tick_ = observing_since_;
    if (!peers_.listen(failure)) {
        return false;
    }
    asio::co_spawn(context_, heartbeat_loop(), asio::detached);
    asio::co_spawn(context_, planning_loop(), asio::detached);
    return true;
}

void order_coordinator::begin_stop() {
    is_stopping_ = true;
    protocol::Envelope message;
    message.mutable_gateway_state()->set_data_centre(state_.settings.data_centre.text());
    message.mutable_gateway_state()->set_stopping(true);
    peers_.send_to_data_centre(message);
}

asio::awaitable<void> order_coordinator::finish_stop() {
    is_stopped_ = true;
    if (holds_domain()) {
        co_await write_domain_record("");
    }
}

bool order_coordinator::holds_domain() const {
    return domain_.holder == state_.settings.name && domain_.start == state_.settings.start.text();
}

// Records in the platform's store

void order_coordinator::on_records_complete() {
    are_records_complete_ = true;
    asio::co_spawn(context_, register_self(), asio::detached);
    claim_domain_if_vacant();
}

asio::awaitable<void> order_coordinator::register_self() {
    protocol::GatewayRecord record;
    record.set_instance(state_.settings.name.text());
    record.set_start(state_.settings.start.text());
    record.set_peer_address(state_.settings.peer_address);
    record.set_data_centre(state_.settings.data_centre.text());
    const std::string name = gateway_prefix + state_.settings.name.text();
    asio::steady_timer timer{context_};
    while (!is_stopped_) {
        const auto known = record_revisions_.find(name);
        std::optional<std::uint64_t> expected;
        if (known != record_revisions_.end()) {
            expected = known->second;
        }
        const write_result result = co_await state_.platform.write_record(name, to_json(record), expected);
        if (result.record) {
            record_revisions_[name] = result.record->revision;
        }
        if (result.outcome == write_outcome::done) {
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
        apply_domain_record(record.json, record.revision);
        return;
    }
    protocol::GatewayRecord gateway;
    const bool is_gateway = record.name.rfind(gateway_prefix, 0) == 0 && from_json(record.json, gateway);
    if (is_gateway) {
        peers_.on_registered(gateway);
        state_.retries.set_instances(instance_count());
    }
}

void order_coordinator::on_record_removed(const std::string& name) {
    record_revisions_.erase(name);
    if (name.rfind(gateway_prefix, 0) == 0) {
        peers_.on_unregistered(instance_name{name.substr(gateway_prefix.size())});
        state_.retries.set_instances(instance_count());
    }
    if (name == domain_prefix + state_.settings.data_centre.text()) {
        domain_ = {};
    }
}

void order_coordinator::apply_domain_record(const std::string& json, std::uint64_t revision) {
    protocol::OrderDomainRecord record;
    if (!from_json(json, record)) {
        spdlog::warn("order domain record of revision {} is malformed", revision);
        return;
    }
    const data_centre_name data_centre{record.data_centre()};
    if (data_centre != state_.settings.data_centre) {
        remote_holders_[data_centre] = instance_name{record.holder()};
        return;
    }
    if (revision < domain_.revision) {
        return;
    }
    const bool was_holder = holds_domain();
    if (domain_.holder != instance_name{record.holder()} || domain_.start != record.start()) {
        exchange_.clear_peer_state();
        state_.store.on_holder_changed();
    }
    domain_ = {instance_name{record.holder()}, record.start(), record.fence(), revision, std::nullopt};
    if (holds_domain() && !was_holder) {
        planner_.reset();
        state_.log.write(event::order_domain_taken,
                         fmt::format("data_centre={} fence={}", data_centre.text(), domain_.fence));
        on_servers_changed();
    } else if (was_holder && !holds_domain()) {
        state_.log.write(event::order_domain_lost,
                         fmt::format("data_centre={} fence={} holder={}", data_centre.text(), domain_.fence,
                                     domain_.holder.text()));
    }
    claim_domain_if_vacant();
}

bool order_coordinator::is_holder_alive() const {
    if (domain_.holder.is_empty()) {
        return false;
    }
    if (domain_.holder == state_.settings.name) {
        return holds_domain();
    }
    const peer_gateway* holder = peers_.find(domain_.holder);
    const bool is_known_start = holder != nullptr && holder->start == domain_.start;
    if (!is_known_start) {
        return false;
    }
    const time_point last_contact = std::max(holder->last_message_at, observing_since_);
    return state_.now() - last_contact < holder_timeout;
}

void order_coordinator::claim_domain_if_vacant() {
    if (!are_records_complete_ || is_stopped_ || is_writing_domain_ || is_holder_alive()) {
        domain_.missing_since.reset();
        return;
    }
    const time_point now = state_.now();
    if (!domain_.missing_since) {
        domain_.missing_since = now;
    }
    std::size_t rank = 0;
    const std::string key = state_.settings.data_centre.text();
    const std::uint64_t own_weight = rendezvous_weight(key, state_.settings.name.text());
    for (const auto& [name, entry] : peers_.all()) {
        const bool is_candidate = entry.data_centre == state_.settings.data_centre && name != domain_.holder;
        const bool is_preferred = entry.is_stopping == is_stopping_
                                      ? rendezvous_weight(key, name.text()) > own_weight
                                      : is_stopping_;
        rank += is_candidate && is_preferred ? 1 : 0;
    }
    // A holder without a gateway record may just have started.
    const bool is_unknown = !domain_.holder.is_empty() && domain_.holder != state_.settings.name &&
                            peers_.find(domain_.holder) == nullptr;
    const duration claim_delay =
        candidate_delay_step * rank + (is_unknown ? holder_timeout : milliseconds{0});
    if (now - *domain_.missing_since >= claim_delay) {
        is_writing_domain_ = true;
        asio::co_spawn(context_, write_domain_record(state_.settings.name.text()), asio::detached);
    }
}

asio::awaitable<void> order_coordinator::write_domain_record(std::string holder) {
    protocol::OrderDomainRecord record;
    record.set_data_centre(state_.settings.data_centre.text());
    record.set_holder(holder);
    record.set_start(state_.settings.start.text());
    record.set_fence(domain_.fence + 1);
    std::optional<std::uint64_t> expected;
    if (domain_.revision != 0) {
        expected = domain_.revision;
    }
    const std::string name = domain_prefix + state_.settings.data_centre.text();
    const write_result result = co_await state_.platform.write_record(name, to_json(record), expected);
    if (result.record) {
        apply_domain_record(result.record->json, result.record->revision);
    }
    if (result.outcome != write_outcome::done && !is_stopped_) {
        asio::steady_timer timer{context_, write_retry_delay};
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    is_writing_domain_ = false;
}

// Messages between gateways

void order_coordinator::send_heartbeats() {
    const time_point now = state_.now();
    const bool is_holder = holds_domain() && !is_stopped_;
    if (is_holder) {
        exchange_.send_data_centre_beat(
            domain_.fence, relays_store_updates() ? state_.store.positions() : std::vector<store_position>{});
    }
    if (is_holder && now - last_remote_summary_ >= remote_state_interval) {
        last_remote_summary_ = now;
        for (const auto& [data_centre, holder] : remote_holders_) {
            exchange_.send_data_centre_work(data_centre, holder);
        }
    }
    exchange_.expire_silent_peers();
}

asio::awaitable<void> order_coordinator::heartbeat_loop() {
    asio::steady_timer timer{context_};
    while (true) {
        const time_point now = state_.now();
        if (now - last_tick_ > stall_threshold) {
            observing_since_ = now; // After a stall, missing messages say nothing about the peers.
        }
        last_tick_ = now;
        send_heartbeats();
        claim_domain_if_vacant();
        state_.crash_quarantine.on_tick(now);
        timer.expires_after(state_.settings.state_interval);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

bool order_coordinator::is_from_holder(const protocol::Envelope& message) const {
    return message.from() == domain_.holder.text() && message.from_start() == domain_.start;
}

void order_coordinator::on_message(const protocol::Envelope& message) {
    peer_gateway* sender = peers_.on_message_received(message, state_.now());
    if (sender == nullptr) {
        return; // The sender's record has not been read yet.
    }
    const instance_name from{message.from()};
    if (message.has_data_centre_beat() && is_from_holder(message)) {
        on_data_centre_beat(from, message.data_centre_beat());
    } else if (message.has_gateway_state()) {
        sender->is_stopping = message.gateway_state().stopping();
        exchange_.on_gateway_state(from, message.gateway_state());
    } else if (message.has_data_centre_work()) {
        exchange_.on_data_centre_work(message.data_centre_work());
    } else if (message.has_store_update() && is_from_holder(message)) {
        on_store_update(message.store_update());
    } else if (message.has_weights_wanted()) {
        on_weights_wanted(message.weights_wanted());
    } else if (message.has_weights_held()) {
        on_weights_held(message.weights_held());
        if (sender->data_centre != state_.settings.data_centre) {
            protocol::Envelope relayed;
            *relayed.mutable_weights_held() = message.weights_held();
            peers_.send_to_data_centre(relayed);
        }
    }
}

void order_coordinator::on_data_centre_beat(const instance_name& from, const protocol::DataCentreBeat& beat) {
    if (beat.fence() != domain_.fence) {
        return;
    }
    exchange_.on_data_centre_beat(beat);
    std::vector<store_position> positions;
    for (const protocol::StorePosition& entry : beat.positions()) {
        positions.push_back({entry.kind(), entry.revision()});
    }
    state_.store.on_holder_positions(positions);
    exchange_.send_gateway_state(from, is_stopping_);
}

void order_coordinator::on_store_update(const protocol::StoreUpdate& update) {
    state_.store.apply({update.kind(), update.after_revision(), update.revision(), update.changes()});
}

bool order_coordinator::relays_store_updates() const {
    return holds_domain() && !is_stopped_ && peers_.count_local_peers() >= min_peers_to_relay &&
           state_.settings.leaving_limit >= min_leaving_limit_to_relay;
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

void order_coordinator::on_weights_wanted(const protocol::WeightsWanted& message) {
    const backend* server = state_.directory.find(server_name{message.server()});
    const bool is_listed_start = server != nullptr && server->listing.started_at == message.started_at();
    if (!is_listed_start || !holds_domain() || is_stopped_) {
        return;
    }
    add_weights_request(*server, to_ref(message.weights()), message.was_refused());
}

void order_coordinator::add_weights_request(const backend& server, const adapter_ref& ref, bool was_refused) {
    planner_.on_load_requested(server.listing.name, ref, state_.now());
    const bool needs_report = was_refused && planner_.on_use_refused(server.listing.name, ref, state_.now());
    if (!needs_report && server.listing.weights.version_of(ref)) {
        publish_weights(server);
    }
    issue_orders();
}

void order_coordinator::on_weights_held(const protocol::WeightsHeld& message) {
    held_weights weights;
    for (const auto& ref : message.weights()) {
        if (ref.adapter().empty()) {
            weights.models[ref.model()] = ref.version();
        } else {
            weights.adapters[to_ref(ref)] = ref.version();
        }
    }
    const server_name server{message.server()};
    if (state_.directory.on_weights_reported(server, message.started_at(), message.sequence(),
                                             std::move(weights), state_.now())) {
        wake_waiters(server);
    }
}

void order_coordinator::publish_weights(const backend& server) {
    protocol::Envelope message;
    protocol::WeightsHeld& held = *message.mutable_weights_held();
    held.set_server(server.listing.name.text());
    held.set_started_at(server.listing.started_at);
    held.set_sequence(server.order_sequence.value_or(0));
    for (const auto& [model, version] : server.listing.weights.models) {
        *held.add_weights() = to_message({model, ""}, version);
    }
    for (const auto& [ref, version] : server.listing.weights.adapters) {
        *held.add_weights() = to_message(ref, version);
    }
    peers_.send_to_data_centre(message);
    // The holder in each other data centre relays the message there.
    for (const auto& [data_centre, holder] : remote_holders_) {
        peers_.send(holder, message);
    }
    wake_waiters(server.listing.name);
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
    instance_name holder = domain_.holder;
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

void order_coordinator::wake_waiters(const server_name& name) {
    const backend* server = state_.directory.find(name);
    const auto [begin, end] = waiters_.equal_range(name);
    for (auto waiter = begin; waiter != end; ++waiter) {
        if (server == nullptr || server->listing.weights.version_of(waiter->second.ref)) {
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
    if (!holds_domain() || is_stopped_ || !state_.routes) {
        return;
    }
    const auto is_managed = [this](const backend& server) {
        return server.listing.zone == state_.settings.data_centre;
    };
    for (const server_name& name :
         planner_.next_report_requests(state_.directory, *state_.routes, is_managed, state_.now())) {
        asio::co_spawn(context_, read_server_weights(name, state_.directory.find(name)->listing.address),
                       asio::detached);
    }
    auto orders =
        planner_.next_orders(state_.directory, *state_.routes, state_.versions, is_managed, state_.now());
    for (weights_order& order : orders) {
        const backend* server = state_.directory.find(order.server);
        const std::string address = server->listing.address;
        const order_authority authority{state_.settings.name, domain_.fence};
        asio::co_spawn(context_, dispatch_order(std::move(order), address, authority), asio::detached);
    }
}

asio::awaitable<void> order_coordinator::dispatch_order(weights_order order, std::string address,
                                                        order_authority authority) {
    if (!holds_domain() || domain_.fence != authority.fence || is_stopped_) {
        co_return; // The order domain has a new holder or token since the order was planned.
    }
    const order_result result = co_await state_.platform.send_order(order, address, authority);
    log_order(order, result, authority);
    if (domain_.fence != authority.fence) {
        co_return;
    }
    if (result.outcome == order_outcome::fenced && holds_domain()) {
        // The server has seen a newer token: this gateway is no longer the holder, even if the store's record
        // of that has not arrived yet.
        domain_.start.clear();
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
