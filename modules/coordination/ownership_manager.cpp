#include "lovageledge/coordination/ownership_manager.hpp"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string ownership_kind = "ownership";
constexpr auto record_retry_pause = milliseconds{300};
/** While the platform is unavailable, retries are spread over this time so that they do not all arrive at its
    return. */
constexpr std::uint64_t outage_retry_spread_ms = 4000;
/** A server is handed over for rebalancing only after it was owned for this long. */
constexpr auto min_time_before_rebalance = seconds{3};
/** A server that no instance announces for this long may be taken over. */
constexpr auto unannounced_limit = milliseconds{1000};
constexpr auto min_takeover_backoff = seconds{1};
constexpr auto max_takeover_backoff = seconds{30};
constexpr auto drained_repeat_interval = seconds{1};

std::pair<std::string, std::string> holder_key(const protocol::Holder& holder) {
    return {holder.instance(), holder.start()};
}

} // namespace

ownership_manager::ownership_manager(const instance_identity& self, const coordination_settings& settings,
                                     const event_log& log, const membership& members, platform_calls& calls)
    : self_{self}, settings_{settings}, log_{log}, members_{members}, calls_{calls} {}

bool ownership_manager::is_self(const protocol::Holder& holder) const {
    return holder.instance() == self_.name.text() && holder.start() == self_.start.text();
}

protocol::Holder ownership_manager::self_holder(std::uint64_t epoch) const {
    protocol::Holder holder;
    holder.set_instance(self_.name.text());
    holder.set_start(self_.start.text());
    holder.set_epoch(epoch);
    return holder;
}

instance_name ownership_manager::desired_owner(const backend_server& server) {
    const auto [cached, is_new] = candidates_.try_emplace(server.region);
    if (is_new) {
        for (instance_name& name : members_.owner_candidates(server.region)) {
            const std::uint64_t hash = stable_hash(name.text());
            cached->second.push_back({hash, std::move(name)});
        }
    }
    const std::uint64_t server_hash = stable_hash(server.name.text());
    const candidate* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const candidate& option : cached->second) {
        const std::uint64_t weight = rendezvous_weight(server_hash, option.hash);
        if (best == nullptr || weight > best_weight) {
            best = &option;
            best_weight = weight;
        }
    }
    return best == nullptr ? instance_name{} : best->name;
}

void ownership_manager::on_tick(const configuration& config, time_point now, command_list& out) {
    if (!first_tick_at_) {
        first_tick_at_ = now;
    }
    if (declared_revision_ != config.revision) {
        declared_servers_ = config.servers;
        declared_revision_ = config.revision;
    }
    for (const auto& [name, server] : declared_servers_) {
        server_states_.try_emplace(name);
    }
    const bool is_settled = now - *first_tick_at_ >= settings_.settle_time;
    const bool is_rebalance_due = now - last_rebalance_ >= settings_.rebalance_interval;
    if (is_rebalance_due) {
        last_rebalance_ = now;
        candidates_.clear();
    }
    for (auto& [name, state] : server_states_) {
        if (state.phase == ownership_phase::none && is_settled && is_rebalance_due) {
            consider_takeover(name, state, now, out);
        }
        maintain_record(name, state, now, out);
    }
}

void ownership_manager::consider_takeover(const server_name& server, server_state& state, time_point now,
                                          command_list& out) {
    const auto declared = declared_servers_.find(server);
    const bool is_eligible = declared != declared_servers_.end() && !is_draining_ &&
                             (!state.held_epoch || state.is_drained) && !state.is_call_pending &&
                             now >= state.next_attempt_at;
    if (!is_eligible || desired_owner(declared->second) != self_.name) {
        return;
    }
    const bool is_announced = now - state.announced_at < unannounced_limit;
    // An owner that only this instance does not hear may still announce the server to the others.
    const bool may_owner_be_alive = !state.announced_owner.is_empty() &&
                                    !members_.is_live(state.announced_owner) &&
                                    !members_.is_suspected_by_majority(state.announced_owner);
    if (is_announced || may_owner_be_alive) {
        return;
    }
    state.phase = ownership_phase::reading;
    read(server, state, out);
}

duration ownership_manager::retry_pause(const server_name& server) const {
    if (is_platform_up_) {
        return record_retry_pause;
    }
    return record_retry_pause +
           milliseconds{stable_hash(server.text() + self_.start.text()) % outage_retry_spread_ms};
}

void ownership_manager::read(const server_name& server, server_state& state, command_list& out) {
    state.is_call_pending = true;
    calls_.start(
        {0, platform_operation::get, ownership_kind, server.text(), 0, ""},
        [this, server](const platform_response& response, time_point now, command_list& commands) {
            on_read(server, response, now, commands);
        },
        out);
}

void ownership_manager::on_read(const server_name& server, const platform_response& response, time_point now,
                                command_list& out) {
    server_state& state = server_states_[server];
    state.is_call_pending = false;
    is_platform_up_ = response.status != platform_status::unavailable;
    state.next_attempt_at = now + retry_pause(server);
    protocol::OwnershipRecord record;
    const bool is_valid = response.status == platform_status::not_found ||
                          (response.status == platform_status::ok && from_json(response.data, record));
    const bool is_stale = response.version < state.version;
    if (!is_valid || is_stale) {
        if (state.phase == ownership_phase::reading) {
            state.phase = ownership_phase::none;
        }
        return;
    }
    state.version = response.version;
    state.record = record;
    const bool is_own_record = response.status == platform_status::ok && is_self(record.owner());
    if (state.holds_record()) {
        state.needs_read_back = false;
        const bool is_pending_written =
            state.pending_record && to_json(*state.pending_record) == to_json(record);
        // A record that names this instance under another epoch was written by an owner in between, whose
        // work on the server this instance doesn't know.
        const bool is_held = is_own_record && record.owner().epoch() == state.held_epoch;
        if (is_pending_written) {
            on_written(server, state, now, out);
        } else if (!is_held) {
            end_ownership(server, state, now);
        }
        // Otherwise the pending record was not written; it is written again on top of the version just read.
        return;
    }
    if (is_own_record) {
        begin_ownership(server, state, now);
        return;
    }
    // The record is not this instance's: the server is taken over only if it has no owner, or one that is
    // gone, suspected, or still unknown some time after this instance started.
    const protocol::Holder& owner = record.owner();
    const instance_name owner_name{owner.instance()};
    const bool is_available =
        response.status == platform_status::not_found || owner.instance().empty() ||
        members_.has_terminated(owner_name, start_id{owner.start()}, now) ||
        members_.is_suspected_by_majority(owner_name) ||
        (!members_.peers().contains(owner_name) && now - *first_tick_at_ >= 2 * settings_.suspect_after);
    if (!is_available) {
        state.phase = ownership_phase::none;
        // An owner that is alive without announcing the server may have lost the response to its takeover
        // write.
        send_handover(server, owner_name, owner.epoch(), out);
        return;
    }
    protocol::OwnershipRecord new_record;
    new_record.set_server(server.text());
    *new_record.mutable_owner() = self_holder(owner.epoch() + 1);
    for (const protocol::Holder& holder : record.former()) {
        if (!is_self(holder)) {
            *new_record.add_former() = holder;
        }
    }
    if (!owner.instance().empty()) {
        *new_record.add_former() = owner;
    }
    state.phase = ownership_phase::taking_over;
    write(server, state, std::move(new_record), out);
}

void ownership_manager::write(const server_name& server, server_state& state,
                              protocol::OwnershipRecord record, command_list& out) {
    state.is_call_pending = true;
    state.pending_record = std::move(record);
    calls_.start(
        {0, platform_operation::put, ownership_kind, server.text(), state.version,
         to_json(*state.pending_record)},
        [this, server](const platform_response& response, time_point now, command_list& commands) {
            on_write(server, response, now, commands);
        },
        out);
}

void ownership_manager::on_write(const server_name& server, const platform_response& response, time_point now,
                                 command_list& out) {
    server_state& state = server_states_[server];
    state.is_call_pending = false;
    is_platform_up_ = response.status != platform_status::unavailable;
    state.next_attempt_at = now + retry_pause(server);
    if (response.status == platform_status::ok) {
        state.version = response.version;
        on_written(server, state, now, out);
        return;
    }
    // A conflict or no response: this write or an earlier attempt of it may have taken effect.
    if (state.phase == ownership_phase::taking_over) {
        state.pending_record.reset();
        state.phase = ownership_phase::none; // The next read shows whether the record names this instance.
        return;
    }
    state.needs_read_back = true;
}

void ownership_manager::on_written(const server_name& server, server_state& state, time_point now,
                                   command_list& out) {
    if (!state.pending_record) {
        return;
    }
    state.record = std::move(*state.pending_record);
    state.pending_record.reset();
    if (state.phase == ownership_phase::taking_over) {
        begin_ownership(server, state, now);
        return;
    }
    if (state.phase == ownership_phase::handing_over) {
        notify_successor(server, state, out);
        state.takeover_backoff = duration{}; // Handed over, not lost to another instance.
        end_ownership(server, state, now);
        return;
    }
    const bool has_former_changed = state.reported_former_count != state.record.former_size();
    state.reported_former_count = state.record.former_size();
    ownership_event recorded;
    recorded.type = ownership_event::kind::recorded;
    recorded.server = server;
    recorded.epoch = state.record.owner().epoch();
    for (const std::string& key : state.record.owner().intents()) {
        recorded.intents.insert(adapter_key{key});
    }
    recorded.server_start = start_id{state.record.owner().server_start()};
    recorded.ticket = state.pending_ticket;
    state.recorded_ticket = state.pending_ticket;
    if (has_former_changed) {
        ownership_event changed;
        changed.type = ownership_event::kind::former_holders_changed;
        changed.server = server;
        changed.former = {state.record.former().begin(), state.record.former().end()};
        events_.push_back(std::move(changed));
    }
    log_(event::evict_intents_recorded,
         fmt::format("server={} epoch={} intents={} former={}", server.text(), recorded.epoch,
                     recorded.intents.size(), state.record.former_size()));
    events_.push_back(std::move(recorded));
}

void ownership_manager::send_handover(const server_name& server, const instance_name& to, std::uint64_t epoch,
                                      command_list& out) {
    protocol::Envelope message;
    message.mutable_handover()->set_server(server.text());
    message.mutable_handover()->set_epoch(epoch);
    out.emplace_back(send_to_peer{to, std::move(message)});
}

void ownership_manager::notify_successor(const server_name& server, server_state& state, command_list& out) {
    const instance_name successor{state.record.owner().instance()};
    const std::uint64_t epoch = state.record.owner().epoch();
    log_(event::ownership_handed_over,
         fmt::format("server={} to={} epoch={}", server.text(), successor.text(), epoch));
    if (successor.is_empty()) {
        return; // Any candidate may take the server over.
    }
    send_handover(server, successor, epoch, out);
    state.announced_owner = successor;
    state.announced_epoch = epoch;
}

void ownership_manager::begin_ownership(const server_name& server, server_state& state, time_point now) {
    state.phase = ownership_phase::owning;
    state.pending_record.reset();
    state.needs_read_back = false;
    state.owned_since = now;
    state.reported_former_count = state.record.former_size();
    state.drained.clear();
    state.gone_since.clear();
    state.held_epoch = state.record.owner().epoch();
    state.is_drained = false;
    state.requested_intents.reset();
    state.requested_ticket = 0;
    state.recorded_ticket = 0;
    ownership_event began;
    began.type = ownership_event::kind::began;
    began.server = server;
    began.epoch = state.record.owner().epoch();
    began.former = {state.record.former().begin(), state.record.former().end()};
    log_(event::ownership_taken,
         fmt::format("server={} epoch={} former={}", server.text(), began.epoch, began.former.size()));
    events_.push_back(std::move(began));
}

void ownership_manager::end_ownership(const server_name& server, server_state& state, time_point now) {
    state.phase = ownership_phase::none;
    state.pending_record.reset();
    state.needs_read_back = false;
    state.is_drained = false;
    state.takeover_backoff =
        std::clamp<duration>(state.takeover_backoff * 2, min_takeover_backoff, max_takeover_backoff);
    state.next_attempt_at = now + state.takeover_backoff;
    log_(event::ownership_lost,
         fmt::format("server={} epoch={}", server.text(), state.held_epoch.value_or(0)));
    ownership_event lost;
    lost.type = ownership_event::kind::lost;
    lost.server = server;
    events_.push_back(std::move(lost));
}

bool ownership_manager::remove_finished_holders(server_state& state, protocol::OwnershipRecord& record,
                                                time_point now) const {
    google::protobuf::RepeatedPtrField<protocol::Holder> remaining;
    for (const protocol::Holder& holder : record.former()) {
        const auto key = holder_key(holder);
        const bool has_terminated =
            members_.has_terminated(instance_name{holder.instance()}, start_id{holder.start()}, now);
        if (!has_terminated) {
            state.gone_since.erase(key);
        }
        const auto since = has_terminated ? state.gone_since.try_emplace(key, now).first->second : now;
        const bool is_expired = now - since >= settings_.request_life_limit;
        if (!state.drained.contains(key) && !is_expired && !is_self(holder)) {
            *remaining.Add() = holder;
        }
    }
    const bool has_changed = remaining.size() != record.former_size();
    record.mutable_former()->Swap(&remaining);
    return has_changed;
}

void ownership_manager::maintain_record(const server_name& server, server_state& state, time_point now,
                                        command_list& out) {
    if (state.held_epoch && state.phase == ownership_phase::none) {
        report_drained(server, state, now, out);
    }
    if (!state.holds_record()) {
        return;
    }
    const bool is_taken_over = state.announced_epoch > state.record.owner().epoch() &&
                               state.announced_owner != self_.name && !state.is_call_pending;
    if (is_taken_over) {
        end_ownership(server, state, now);
        return;
    }
    if (state.is_call_pending || now < state.next_attempt_at) {
        return;
    }
    if (state.needs_read_back) {
        read(server, state, out);
        return;
    }
    if (state.pending_record) {
        write(server, state, protocol::OwnershipRecord{*state.pending_record}, out);
        return;
    }
    if (state.phase == ownership_phase::stopping) {
        write_successor(server, state, now, out);
        return;
    }
    const auto declared = declared_servers_.find(server);
    const bool is_retired = declared == declared_servers_.end();
    const bool may_rebalance = now - state.owned_since >= min_time_before_rebalance && is_platform_up_;
    const bool is_misplaced = !is_retired && may_rebalance && desired_owner(declared->second) != self_.name &&
                              !desired_owner(declared->second).is_empty();
    if (is_draining_ || is_misplaced) {
        begin_handover(server, state);
        return;
    }
    write_requested_changes(server, state, now, out);
}

void ownership_manager::write_requested_changes(const server_name& server, server_state& state,
                                                time_point now, command_list& out) {
    protocol::OwnershipRecord next = state.record;
    const bool has_fewer_holders = remove_finished_holders(state, next, now);
    const bool wants_confirmation = state.requested_ticket > state.recorded_ticket;
    if (!has_fewer_holders && !state.requested_intents && !wants_confirmation) {
        return;
    }
    if (state.requested_intents) {
        next.mutable_owner()->clear_intents();
        for (const adapter_key& key : *state.requested_intents) {
            next.mutable_owner()->add_intents(key.text());
        }
    } else if (wants_confirmation && next.owner().server_start() != state.requested_start.text()) {
        next.mutable_owner()->clear_intents(); // They were for a former engine start.
    }
    if (state.requested_intents || wants_confirmation) {
        next.mutable_owner()->set_server_start(state.requested_start.text());
    }
    state.requested_intents.reset();
    state.pending_ticket = state.requested_ticket;
    write(server, state, std::move(next), out);
}

void ownership_manager::begin_handover(const server_name& server, server_state& state) {
    state.phase = ownership_phase::stopping;
    state.has_open_order = true; // Assumed until set_drained() is called.
    ownership_event stop;
    stop.type = ownership_event::kind::handing_over;
    stop.server = server;
    events_.push_back(std::move(stop));
}

void ownership_manager::write_successor(const server_name& server, server_state& state, time_point now,
                                        command_list& out) {
    const auto declared = declared_servers_.find(server);
    const instance_name successor =
        declared == declared_servers_.end() ? instance_name{} : desired_owner(declared->second);
    const auto peer = members_.peers().find(successor);
    const bool has_successor = peer != members_.peers().end();
    if (state.has_open_order) {
        return;
    }
    if (!has_successor && !is_draining_) {
        state.phase = ownership_phase::owning;
        state.owned_since = now;
        ownership_event resumed;
        resumed.type = ownership_event::kind::resumed;
        resumed.server = server;
        events_.push_back(std::move(resumed));
        return;
    }
    protocol::OwnershipRecord next = state.record;
    remove_finished_holders(state, next, now);
    // No eviction is open and none is ordered after this, so the entry for this instance needs no intents.
    protocol::Holder drained_self = self_holder(state.record.owner().epoch());
    *next.add_former() = drained_self;
    next.mutable_owner()->Clear();
    next.mutable_owner()->set_epoch(state.record.owner().epoch() + 1);
    if (has_successor) {
        next.mutable_owner()->set_instance(successor.text());
        next.mutable_owner()->set_start(peer->second.start.text());
    }
    state.phase = ownership_phase::handing_over;
    write(server, state, std::move(next), out);
}

void ownership_manager::report_drained(const server_name& server, server_state& state, time_point now,
                                       command_list& out) {
    const bool has_successor =
        state.announced_epoch > *state.held_epoch && state.announced_owner != self_.name;
    if (!state.is_drained || !has_successor || now - state.drained_sent < drained_repeat_interval) {
        return;
    }
    state.drained_sent = now;
    protocol::Envelope message;
    message.mutable_drained()->set_server(server.text());
    message.mutable_drained()->set_epoch(*state.held_epoch);
    out.emplace_back(send_to_peer{state.announced_owner, std::move(message)});
}

void ownership_manager::record_intents(const server_name& server, const std::set<adapter_key>& intents,
                                       const start_id& server_start, time_point now, command_list& out) {
    const auto found = server_states_.find(server);
    if (found == server_states_.end() || found->second.phase != ownership_phase::owning) {
        return;
    }
    found->second.requested_intents = intents;
    found->second.requested_start = server_start;
    maintain_record(server, found->second, now, out);
}

void ownership_manager::confirm_ownership(const server_name& server, const start_id& server_start,
                                          std::uint64_t ticket, time_point now, command_list& out) {
    const auto found = server_states_.find(server);
    if (found == server_states_.end() || found->second.phase != ownership_phase::owning) {
        return;
    }
    found->second.requested_ticket = std::max(found->second.requested_ticket, ticket);
    found->second.requested_start = server_start;
    maintain_record(server, found->second, now, out);
}

void ownership_manager::on_announced(const server_name& server, const instance_name& owner,
                                     std::uint64_t epoch, time_point now, command_list& out) {
    server_state& state = server_states_[server];
    if (epoch >= state.announced_epoch) {
        state.announced_epoch = epoch;
        state.announced_owner = owner;
        state.announced_at = now;
        return;
    }
    if (owner != self_.name) {
        // The announcing instance may have heard of no later owner, or not of a handover back to itself.
        send_handover(server, owner, state.announced_epoch, out);
    }
}

void ownership_manager::on_drained(const instance_name& from, const start_id& start,
                                   const protocol::Drained& drained, time_point now, command_list& out) {
    const auto found = server_states_.find(server_name{drained.server()});
    if (found == server_states_.end() || found->second.phase != ownership_phase::owning) {
        return;
    }
    found->second.drained.emplace(from.text(), start.text());
    log_(event::holder_drained,
         fmt::format("server={} holder={} epoch={}", drained.server(), from.text(), drained.epoch()));
    maintain_record(found->first, found->second, now, out);
    const auto& former = found->second.record.former();
    const bool is_recorded = std::none_of(former.begin(), former.end(), [&](const protocol::Holder& holder) {
        return holder_key(holder) == std::make_pair(from.text(), start.text());
    });
    if (!is_recorded) {
        return; // The holder repeats its report until the record no longer lists it.
    }
    protocol::Envelope message;
    message.mutable_drained_ack()->set_server(drained.server());
    message.mutable_drained_ack()->set_epoch(drained.epoch());
    out.emplace_back(send_to_peer{from, std::move(message)});
}

void ownership_manager::on_drained_ack(const protocol::DrainedAck& ack) {
    const auto found = server_states_.find(server_name{ack.server()});
    const bool is_current = found != server_states_.end() && found->second.held_epoch == ack.epoch();
    if (is_current && found->second.phase == ownership_phase::none) {
        found->second.held_epoch.reset();
    }
}

void ownership_manager::on_handover(const protocol::Handover& handover, time_point now, command_list& out) {
    server_state& state = server_states_[server_name{handover.server()}];
    const bool is_later = handover.epoch() > state.held_epoch.value_or(0);
    if (state.holds_record() && is_later) {
        state.needs_read_back = true;
        return;
    }
    if (state.phase != ownership_phase::none || state.is_call_pending ||
        (state.held_epoch && !state.is_drained)) {
        return; // A later periodic read finds the record.
    }
    state.next_attempt_at = now;
    state.phase = ownership_phase::reading;
    read(server_name{handover.server()}, state, out);
}

void ownership_manager::set_drained(const server_name& server, bool is_drained, bool has_open_order) {
    const auto found = server_states_.find(server);
    if (found == server_states_.end()) {
        return;
    }
    found->second.is_drained = is_drained;
    found->second.has_open_order = has_open_order;
}

bool ownership_manager::has_released_all_servers() const {
    return std::none_of(server_states_.begin(), server_states_.end(), [](const auto& item) {
        const bool has_successor = item.second.announced_epoch > item.second.held_epoch.value_or(0);
        const bool must_report_drained =
            item.second.held_epoch.has_value() && (has_successor || !item.second.is_drained);
        return item.second.phase != ownership_phase::none || must_report_drained;
    });
}

bool ownership_manager::is_owner(const server_name& server) const {
    const auto found = server_states_.find(server);
    return found != server_states_.end() && found->second.phase == ownership_phase::owning;
}

std::vector<ownership_event> ownership_manager::take_events() {
    return std::exchange(events_, {});
}

} // namespace lovageledge
