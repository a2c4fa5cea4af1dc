#include "lovageledge/gateway/order_coordinator.hpp"

#include "weights_message.hpp"

#include <algorithm>
#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;

/** Pause between messages to other data centres, which are billed. */
constexpr auto remote_state_interval = milliseconds{250};
/** A holder that is not heard for this long is replaced. */
constexpr auto holder_silence = milliseconds{1500};
/** After its own pause an instance waits this long before it judges others. */
constexpr auto own_pause = milliseconds{700};
/** Pause between looks for due orders while loads are on their way, and while nothing is. */
constexpr auto busy_plan_interval = milliseconds{15};
constexpr auto idle_plan_interval = milliseconds{150};
/** Pause after a failed write of a record. */
constexpr auto write_pause = milliseconds{700};
/** Each further candidate waits this much longer, so that one of them writes first. */
constexpr auto candidate_stagger = milliseconds{150};

/** Gateways beside the holder from which on it reads the store for all of them. */
constexpr std::size_t sharing_neighbours = 3;
/** A holder that loses the store is noticed after 2.4 s; where leaving servers must be known sooner, each
    gateway reads the store itself. */
constexpr auto sharing_leaving_limit = milliseconds{3500};

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

bool order_coordinator::start(error& why) {
    started_ = state_.now();
    last_tick_ = started_;
    if (!peers_.listen(why)) {
        return false;
    }
    asio::co_spawn(context_, beat_loop(), asio::detached);
    asio::co_spawn(context_, plan_loop(), asio::detached);
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
        co_await take_domain("");
    }
}

bool order_coordinator::holds_domain() const {
    return domain_.holder == state_.settings.name && domain_.start == state_.settings.start.text();
}

// Records in the platform's store.

void order_coordinator::on_records_complete() {
    are_records_complete_ = true;
    asio::co_spawn(context_, register_self(), asio::detached);
    check_domain();
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
        timer.expires_after(write_pause);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void order_coordinator::on_record(const stored_record& record) {
    record_revisions_[record.name] = record.revision;
    if (record.name.rfind(domain_prefix, 0) == 0) {
        apply_domain(record.json, record.revision);
        return;
    }
    protocol::GatewayRecord gateway;
    const bool is_gateway = record.name.rfind(gateway_prefix, 0) == 0 && from_json(record.json, gateway);
    if (is_gateway) {
        peers_.on_registered(gateway);
        state_.retries.set_instances(instances());
    }
}

void order_coordinator::on_record_removed(const std::string& name) {
    record_revisions_.erase(name);
    if (name.rfind(gateway_prefix, 0) == 0) {
        peers_.on_unregistered(instance_name{name.substr(gateway_prefix.size())});
        state_.retries.set_instances(instances());
    }
    if (name == domain_prefix + state_.settings.data_centre.text()) {
        domain_ = {};
    }
}

void order_coordinator::apply_domain(const std::string& json, std::uint64_t revision) {
    protocol::OrderDomainRecord record;
    if (!from_json(json, record)) {
        spdlog::warn("order domain record of revision {} can't be read", revision);
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
    const bool did_hold = holds_domain();
    if (domain_.holder != instance_name{record.holder()} || domain_.start != record.start()) {
        exchange_.forget_others();
        state_.store.on_holder_changed();
    }
    domain_ = {instance_name{record.holder()}, record.start(), record.fence(), revision, std::nullopt};
    if (holds_domain() && !did_hold) {
        planner_.reset();
        state_.log.write(event::order_domain_taken,
                         fmt::format("data_centre={} fence={}", data_centre.text(), domain_.fence));
        on_servers_changed();
    } else if (did_hold && !holds_domain()) {
        state_.log.write(event::order_domain_lost,
                         fmt::format("data_centre={} fence={} holder={}", data_centre.text(), domain_.fence,
                                     domain_.holder.text()));
    }
    check_domain();
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
    const time_point heard = std::max(holder->last_heard, started_);
    return state_.now() - heard < holder_silence;
}

void order_coordinator::check_domain() {
    if (!are_records_complete_ || is_stopped_ || is_taking_ || is_holder_alive()) {
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
        const bool is_better = entry.is_stopping == is_stopping_
                                   ? rendezvous_weight(key, name.text()) > own_weight
                                   : is_stopping_;
        rank += is_candidate && is_better ? 1 : 0;
    }
    // A holder that is not known at all may just have started.
    const bool is_unknown = !domain_.holder.is_empty() && domain_.holder != state_.settings.name &&
                            peers_.find(domain_.holder) == nullptr;
    const duration patience = candidate_stagger * rank + (is_unknown ? holder_silence : milliseconds{0});
    if (now - *domain_.missing_since >= patience) {
        is_taking_ = true;
        asio::co_spawn(context_, take_domain(state_.settings.name.text()), asio::detached);
    }
}

asio::awaitable<void> order_coordinator::take_domain(std::string holder) {
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
        apply_domain(result.record->json, result.record->revision);
    }
    if (result.outcome != write_outcome::done && !is_stopped_) {
        asio::steady_timer timer{context_, write_pause};
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    is_taking_ = false;
}

// Messages between gateways.

void order_coordinator::beat() {
    const time_point now = state_.now();
    const bool is_holder = holds_domain() && !is_stopped_;
    if (is_holder) {
        exchange_.send_beat(domain_.fence, relays_store_updates() ? state_.store.positions()
                                                                  : std::vector<store_position>{});
    }
    if (is_holder && now - remote_told_ >= remote_state_interval) {
        remote_told_ = now;
        for (const auto& [data_centre, holder] : remote_holders_) {
            exchange_.tell_holder(data_centre, holder);
        }
    }
    exchange_.forget_silent();
}

asio::awaitable<void> order_coordinator::beat_loop() {
    asio::steady_timer timer{context_};
    while (true) {
        const time_point now = state_.now();
        if (now - last_tick_ > own_pause) {
            started_ = now; // This process stood still: what it did not hear says nothing of the others.
        }
        last_tick_ = now;
        beat();
        check_domain();
        state_.crashing.on_tick(now);
        timer.expires_after(state_.settings.state_interval);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

bool order_coordinator::is_from_holder(const protocol::Envelope& message) const {
    return message.from() == domain_.holder.text() && message.from_start() == domain_.start;
}

void order_coordinator::on_message(const protocol::Envelope& message) {
    peer_gateway* sender = peers_.on_heard(message, state_.now());
    if (sender == nullptr) {
        return; // Its record has not been read yet.
    }
    const instance_name from{message.from()};
    if (message.has_data_centre_beat() && is_from_holder(message)) {
        on_beat(from, message.data_centre_beat());
    } else if (message.has_gateway_state()) {
        sender->is_stopping = message.gateway_state().stopping();
        exchange_.on_state(from, message.gateway_state());
    } else if (message.has_data_centre_work()) {
        exchange_.on_work(message.data_centre_work());
    } else if (message.has_store_update() && is_from_holder(message)) {
        on_store_update(message.store_update());
    } else if (message.has_weights_wanted()) {
        on_peer_wants(message.weights_wanted());
    } else if (message.has_weights_held()) {
        on_peer_weights(message.weights_held());
        if (sender->data_centre != state_.settings.data_centre) {
            protocol::Envelope relayed;
            *relayed.mutable_weights_held() = message.weights_held();
            peers_.send_to_data_centre(relayed);
        }
    }
}

void order_coordinator::on_beat(const instance_name& from, const protocol::DataCentreBeat& beat) {
    if (beat.fence() != domain_.fence) {
        return;
    }
    exchange_.on_beat(beat);
    std::vector<store_position> positions;
    for (const protocol::StorePosition& entry : beat.positions()) {
        positions.push_back({entry.kind(), entry.revision()});
    }
    state_.store.on_holder_positions(positions);
    exchange_.send_state(from, is_stopping_);
}

void order_coordinator::on_store_update(const protocol::StoreUpdate& update) {
    state_.store.apply({update.kind(), update.after_revision(), update.revision(), update.changes()});
}

bool order_coordinator::relays_store_updates() const {
    return holds_domain() && !is_stopped_ && peers_.neighbours() >= sharing_neighbours &&
           state_.settings.leaving_limit >= sharing_leaving_limit;
}

void order_coordinator::share_update(const store_update& update) {
    if (!relays_store_updates()) {
        return;
    }
    protocol::Envelope message;
    protocol::StoreUpdate& shared = *message.mutable_store_update();
    shared.set_kind(update.kind);
    shared.set_after_revision(update.after_revision);
    shared.set_revision(update.revision);
    shared.set_changes(update.changes);
    peers_.send_to_data_centre(message);
}

void order_coordinator::on_peer_wants(const protocol::WeightsWanted& message) {
    const backend* server = state_.directory.find(server_name{message.server()});
    const bool is_current = server != nullptr && server->listing.started_at == message.started_at();
    if (!is_current || !holds_domain() || is_stopped_) {
        return;
    }
    note_want(*server, to_ref(message.weights()), message.was_refused());
}

void order_coordinator::note_want(const backend& server, const adapter_ref& ref, bool was_refused) {
    planner_.on_load_requested(server.listing.name, ref, state_.now());
    const bool is_doubted = was_refused && planner_.on_use_refused(server.listing.name, ref, state_.now());
    if (!is_doubted && server.listing.weights.version_of(ref)) {
        publish_weights(server);
    }
    plan_now();
}

void order_coordinator::on_peer_weights(const protocol::WeightsHeld& message) {
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
    // One gateway of each other data centre hears it and passes it on there.
    for (const auto& [data_centre, holder] : remote_holders_) {
        peers_.send(holder, message);
    }
    wake_waiters(server.listing.name);
}

// What requests ask for.

void order_coordinator::want(const server_name& name, const adapter_ref& ref, bool was_refused) {
    const backend* server = state_.directory.find(name);
    if (server == nullptr) {
        return;
    }
    const bool is_ours = server->listing.zone == state_.settings.data_centre;
    if (is_ours && holds_domain()) {
        note_want(*server, ref, was_refused);
        return;
    }
    instance_name holder = domain_.holder;
    if (!is_ours) {
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

void order_coordinator::note_use(const server_name& server, const adapter_ref& ref) {
    if (ref.is_base()) {
        return;
    }
    exchange_.note_use(server, ref);
    planner_.on_used(server, ref, state_.now());
}

asio::awaitable<bool> order_coordinator::wait_for(server_name server, adapter_ref ref, duration limit) {
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

// Orders.

void order_coordinator::on_servers_changed() {
    std::set<server_name> waiting;
    for (const auto& [name, waiter] : waiters_) {
        waiting.insert(name);
    }
    for (const server_name& name : waiting) {
        wake_waiters(name);
    }
    plan_now();
}

asio::awaitable<void> order_coordinator::plan_loop() {
    while (true) {
        plan_now();
        plan_timer_.expires_after(planner_.is_busy() ? duration{busy_plan_interval}
                                                     : duration{idle_plan_interval});
        boost::system::error_code ignored;
        co_await plan_timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void order_coordinator::plan_now() {
    if (!holds_domain() || is_stopped_ || !state_.routes) {
        return;
    }
    const auto is_ours = [this](const backend& server) {
        return server.listing.zone == state_.settings.data_centre;
    };
    for (const server_name& name :
         planner_.next_report_requests(state_.directory, *state_.routes, is_ours, state_.now())) {
        asio::co_spawn(context_, read_server(name, state_.directory.find(name)->listing.address),
                       asio::detached);
    }
    auto orders =
        planner_.next_orders(state_.directory, *state_.routes, state_.versions, is_ours, state_.now());
    for (weights_order& order : orders) {
        const backend* server = state_.directory.find(order.server);
        const std::string address = server->listing.address;
        const order_authority authority{state_.settings.name, domain_.fence};
        asio::co_spawn(context_, give_order(std::move(order), address, authority), asio::detached);
    }
}

asio::awaitable<void> order_coordinator::give_order(weights_order order, std::string address,
                                                    order_authority authority) {
    if (!holds_domain() || domain_.fence != authority.fence || is_stopped_) {
        co_return; // The domain changed hands after this was planned.
    }
    const order_result result = co_await state_.platform.send_order(order, address, authority);
    log_order(order, result, authority);
    if (domain_.fence != authority.fence) {
        co_return;
    }
    if (result.outcome == order_outcome::fenced && holds_domain()) {
        // Another holder's token was seen there: this one is out of date, whatever the store has told so far.
        domain_.start.clear();
    }
    const bool has_changed = planner_.on_outcome(state_.directory, order, result.outcome, state_.now());
    const backend* server = state_.directory.find(order.server);
    if (server != nullptr && has_changed) {
        publish_weights(*server);
    }
    plan_now();
    if (planner_.is_busy()) {
        plan_timer_.cancel();
    }
}

asio::awaitable<void> order_coordinator::read_server(server_name name, std::string address) {
    const auto report = co_await state_.platform.read_weights(address);
    const backend* server = state_.directory.find(name);
    const bool is_same_start =
        report && server != nullptr && server->listing.started_at == report->started_at;
    if (!is_same_start) {
        planner_.on_report_failed(name, state_.now());
        co_return;
    }
    planner_.on_report(state_.directory, name, report->started_at, report->order_sequence, report->weights,
                       report->coming, state_.now());
    publish_weights(*server);
    plan_now();
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
