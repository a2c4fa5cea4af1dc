#include "lovageledge/coordination/ownership_manager.hpp"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string ownership_kind = "ownership";
constexpr auto record_retry_pause = milliseconds{300};
/** After an outage, the owners' retries are spread over this time. */
constexpr std::uint64_t outage_spread_ms = 4000;
/** A server is handed over for balance only after it was owned this long. */
constexpr auto rebalance_hold = seconds{3};
/** A server that nobody announces for this long may be taken. */
constexpr auto unannounced_limit = milliseconds{1000};
constexpr auto first_take_backoff = seconds{1};
constexpr auto last_take_backoff = seconds{30};
constexpr auto drained_repeat = seconds{1};

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
    for (const candidate& item : cached->second) {
        const std::uint64_t weight = rendezvous_weight(server_hash, item.hash);
        if (best == nullptr || weight > best_weight) {
            best = &item;
            best_weight = weight;
        }
    }
    return best == nullptr ? instance_name{} : best->name;
}

void ownership_manager::on_tick(const configuration& config, time_point now, command_list& out) {
    if (!started_) {
        started_ = now;
    }
    if (declared_revision_ != config.revision) {
        declared_ = config.servers;
        declared_revision_ = config.revision;
    }
    for (const auto& [name, server] : declared_) {
        entries_.try_emplace(name);
    }
    const bool is_settled = now - *started_ >= settings_.settle_time;
    const bool is_rebalance_due = now - last_rebalance_ >= settings_.rebalance_interval;
    if (is_rebalance_due) {
        last_rebalance_ = now;
        candidates_.clear();
    }
    for (auto& [name, item] : entries_) {
        if (item.step == phase::none && is_settled && is_rebalance_due) {
            consider_taking(name, item, now, out);
        }
        maintain(name, item, now, out);
    }
}

void ownership_manager::consider_taking(const server_name& server, entry& item, time_point now,
                                        command_list& out) {
    const auto declared = declared_.find(server);
    const bool is_possible = declared != declared_.end() && !is_draining_ &&
                             (!item.held_epoch || item.is_drained) && !item.is_call_open &&
                             now >= item.next_try;
    if (!is_possible || desired_owner(declared->second) != self_.name) {
        return;
    }
    const bool is_announced = now - item.announced_at < unannounced_limit;
    // An owner that only we do not hear may announce itself to the others.
    const bool is_blocked = !item.announced_owner.is_empty() && !members_.is_live(item.announced_owner) &&
                            !members_.is_suspected_by_majority(item.announced_owner);
    if (is_announced || is_blocked) {
        return;
    }
    item.step = phase::reading;
    read(server, item, out);
}

duration ownership_manager::retry_pause(const server_name& server) const {
    if (is_platform_up_) {
        return record_retry_pause;
    }
    return record_retry_pause +
           milliseconds{stable_hash(server.text() + self_.start.text()) % outage_spread_ms};
}

void ownership_manager::read(const server_name& server, entry& item, command_list& out) {
    item.is_call_open = true;
    calls_.start(
        {0, platform_operation::get, ownership_kind, server.text(), 0, ""},
        [this, server](const platform_response& answer, time_point now, command_list& commands) {
            on_read(server, answer, now, commands);
        },
        out);
}

void ownership_manager::on_read(const server_name& server, const platform_response& answer, time_point now,
                                command_list& out) {
    entry& item = entries_[server];
    item.is_call_open = false;
    is_platform_up_ = answer.status != platform_status::unavailable;
    item.next_try = now + retry_pause(server);
    protocol::OwnershipRecord record;
    const bool is_readable = answer.status == platform_status::not_found ||
                             (answer.status == platform_status::ok && from_json(answer.data, record));
    const bool is_stale = answer.version < item.version;
    if (!is_readable || is_stale) {
        if (item.step == phase::reading) {
            item.step = phase::none;
        }
        return;
    }
    item.version = answer.version;
    item.record = record;
    const bool is_ours = answer.status == platform_status::ok && is_self(record.owner());
    if (item.step == phase::owning || item.step == phase::stopping || item.step == phase::handing_over) {
        item.needs_read_back = false;
        const bool is_pending_in_force = item.pending && to_json(*item.pending) == to_json(record);
        if (is_pending_in_force) {
            on_written(server, item, now, out);
        } else if (!is_ours) {
            lose(server, item, now);
        }
        // Otherwise our content was not written; it is written again on the version just read.
        return;
    }
    if (is_ours) {
        adopt(server, item, now);
        return;
    }
    // Someone else's record: it is taken only from an owner that is dead or suspected, or from none.
    const protocol::Holder& owner = record.owner();
    const instance_name owner_name{owner.instance()};
    const bool is_free =
        answer.status == platform_status::not_found || owner.instance().empty() ||
        members_.has_terminated(owner_name, start_id{owner.start()}, now) ||
        members_.is_suspected_by_majority(owner_name) ||
        (!members_.peers().contains(owner_name) && now - *started_ >= 2 * settings_.suspect_after);
    if (!is_free) {
        item.step = phase::none;
        remind_owner(server, owner, out);
        return;
    }
    protocol::OwnershipRecord taken;
    taken.set_server(server.text());
    *taken.mutable_owner() = self_holder(owner.epoch() + 1);
    for (const protocol::Holder& holder : record.former()) {
        if (!is_self(holder)) {
            *taken.add_former() = holder;
        }
    }
    if (!owner.instance().empty()) {
        *taken.add_former() = owner;
    }
    item.step = phase::taking;
    write(server, item, std::move(taken), out);
}

void ownership_manager::write(const server_name& server, entry& item, protocol::OwnershipRecord record,
                              command_list& out) {
    item.is_call_open = true;
    item.pending = std::move(record);
    calls_.start(
        {0, platform_operation::put, ownership_kind, server.text(), item.version, to_json(*item.pending)},
        [this, server](const platform_response& answer, time_point now, command_list& commands) {
            on_write(server, answer, now, commands);
        },
        out);
}

void ownership_manager::on_write(const server_name& server, const platform_response& answer, time_point now,
                                 command_list& out) {
    entry& item = entries_[server];
    item.is_call_open = false;
    is_platform_up_ = answer.status != platform_status::unavailable;
    item.next_try = now + retry_pause(server);
    if (answer.status == platform_status::ok) {
        item.version = answer.version;
        on_written(server, item, now, out);
        return;
    }
    // A conflict, or no answer: the write may have taken effect, also an earlier try of it.
    if (item.step == phase::taking) {
        item.pending.reset();
        item.step = phase::none; // The next look reads the record, and adopts it if it names us.
        return;
    }
    item.needs_read_back = true;
}

void ownership_manager::on_written(const server_name& server, entry& item, time_point now,
                                   command_list& out) {
    if (!item.pending) {
        return;
    }
    item.record = std::move(*item.pending);
    item.pending.reset();
    if (item.step == phase::taking) {
        adopt(server, item, now);
        return;
    }
    if (item.step == phase::handing_over) {
        announce_successor(server, item, out);
        item.take_backoff = duration{}; // Given away, not lost to a competitor.
        lose(server, item, now);
        return;
    }
    const bool has_former_changed = item.former_in_record != item.record.former_size();
    item.former_in_record = item.record.former_size();
    ownership_event recorded;
    recorded.what = ownership_event::kind::recorded;
    recorded.server = server;
    recorded.epoch = item.record.owner().epoch();
    for (const std::string& key : item.record.owner().intents()) {
        recorded.intents.insert(adapter_key{key});
    }
    recorded.server_start = start_id{item.record.owner().server_start()};
    recorded.ticket = item.pending_ticket;
    item.recorded_ticket = item.pending_ticket;
    if (has_former_changed) {
        ownership_event changed;
        changed.what = ownership_event::kind::former_holders_changed;
        changed.server = server;
        changed.former = {item.record.former().begin(), item.record.former().end()};
        events_.push_back(std::move(changed));
    }
    log_(event::evict_intents_recorded,
         fmt::format("server={} epoch={} intents={} former={}", server.text(), recorded.epoch,
                     recorded.intents.size(), item.record.former_size()));
    events_.push_back(std::move(recorded));
}

void ownership_manager::remind_owner(const server_name& server, const protocol::Holder& owner,
                                     command_list& out) {
    // It is alive and does not announce the server: the answer that made it the owner was lost.
    protocol::Envelope message;
    message.mutable_handover()->set_server(server.text());
    message.mutable_handover()->set_epoch(owner.epoch());
    out.emplace_back(send_to_peer{instance_name{owner.instance()}, std::move(message)});
}

void ownership_manager::announce_successor(const server_name& server, entry& item, command_list& out) {
    const instance_name successor{item.record.owner().instance()};
    const std::uint64_t epoch = item.record.owner().epoch();
    log_(event::ownership_handed_over,
         fmt::format("server={} to={} epoch={}", server.text(), successor.text(), epoch));
    if (successor.is_empty()) {
        return; // Whoever comes first takes it.
    }
    remind_owner(server, item.record.owner(), out);
    item.announced_owner = successor;
    item.announced_epoch = epoch;
}

void ownership_manager::adopt(const server_name& server, entry& item, time_point now) {
    item.step = phase::owning;
    item.pending.reset();
    item.needs_read_back = false;
    item.owned_since = now;
    item.former_in_record = item.record.former_size();
    item.drained.clear();
    item.gone_since.clear();
    item.held_epoch = item.record.owner().epoch();
    item.is_drained = false;
    item.wanted_intents.reset();
    item.wanted_ticket = 0;
    item.recorded_ticket = 0;
    ownership_event began;
    began.what = ownership_event::kind::began;
    began.server = server;
    began.epoch = item.record.owner().epoch();
    began.former = {item.record.former().begin(), item.record.former().end()};
    log_(event::ownership_taken,
         fmt::format("server={} epoch={} former={}", server.text(), began.epoch, began.former.size()));
    events_.push_back(std::move(began));
}

void ownership_manager::lose(const server_name& server, entry& item, time_point now) {
    item.step = phase::none;
    item.pending.reset();
    item.needs_read_back = false;
    item.is_drained = false;
    item.take_backoff = std::clamp<duration>(item.take_backoff * 2, first_take_backoff, last_take_backoff);
    item.next_try = now + item.take_backoff;
    log_(event::ownership_lost,
         fmt::format("server={} epoch={}", server.text(), item.held_epoch.value_or(0)));
    ownership_event lost;
    lost.what = ownership_event::kind::lost;
    lost.server = server;
    events_.push_back(std::move(lost));
}

bool ownership_manager::drop_finished_holders(entry& item, protocol::OwnershipRecord& record,
                                              time_point now) const {
    google::protobuf::RepeatedPtrField<protocol::Holder> remaining;
    for (const protocol::Holder& holder : record.former()) {
        const auto key = holder_key(holder);
        const bool has_terminated =
            members_.has_terminated(instance_name{holder.instance()}, start_id{holder.start()}, now);
        if (!has_terminated) {
            item.gone_since.erase(key);
        }
        const auto since = has_terminated ? item.gone_since.try_emplace(key, now).first->second : now;
        const bool is_over = now - since >= settings_.request_life_limit;
        if (!item.drained.contains(key) && !is_over && !is_self(holder)) {
            *remaining.Add() = holder;
        }
    }
    const bool has_changed = remaining.size() != record.former_size();
    record.mutable_former()->Swap(&remaining);
    return has_changed;
}

void ownership_manager::maintain(const server_name& server, entry& item, time_point now, command_list& out) {
    if (item.held_epoch && item.step == phase::none) {
        report_drained(server, item, now, out);
    }
    if (item.step != phase::owning && item.step != phase::stopping && item.step != phase::handing_over) {
        return;
    }
    const bool is_taken_over = item.announced_epoch > item.record.owner().epoch() &&
                               item.announced_owner != self_.name && !item.is_call_open;
    if (is_taken_over) {
        lose(server, item, now);
        return;
    }
    if (item.is_call_open || now < item.next_try) {
        return;
    }
    if (item.needs_read_back) {
        read(server, item, out);
        return;
    }
    if (item.pending) {
        write(server, item, protocol::OwnershipRecord{*item.pending}, out);
        return;
    }
    if (item.step == phase::stopping) {
        write_successor(server, item, now, out);
        return;
    }
    const auto declared = declared_.find(server);
    const bool is_retired = declared == declared_.end();
    const bool may_balance = now - item.owned_since >= rebalance_hold && is_platform_up_;
    const bool is_misplaced = !is_retired && may_balance && desired_owner(declared->second) != self_.name &&
                              !desired_owner(declared->second).is_empty();
    if (is_draining_ || is_misplaced) {
        begin_handover(server, item);
        return;
    }
    write_wishes(server, item, now, out);
}

void ownership_manager::write_wishes(const server_name& server, entry& item, time_point now,
                                     command_list& out) {
    protocol::OwnershipRecord next = item.record;
    const bool has_fewer_holders = drop_finished_holders(item, next, now);
    const bool wants_confirmation = item.wanted_ticket > item.recorded_ticket;
    if (!has_fewer_holders && !item.wanted_intents && !wants_confirmation) {
        return;
    }
    if (item.wanted_intents) {
        next.mutable_owner()->clear_intents();
        for (const adapter_key& key : *item.wanted_intents) {
            next.mutable_owner()->add_intents(key.text());
        }
    } else if (wants_confirmation && next.owner().server_start() != item.wanted_start.text()) {
        next.mutable_owner()->clear_intents(); // They held for an engine start that is over.
    }
    if (item.wanted_intents || wants_confirmation) {
        next.mutable_owner()->set_server_start(item.wanted_start.text());
    }
    item.wanted_intents.reset();
    item.pending_ticket = item.wanted_ticket;
    write(server, item, std::move(next), out);
}

void ownership_manager::begin_handover(const server_name& server, entry& item) {
    item.step = phase::stopping;
    item.has_open_order = true; // Until the owner has told otherwise.
    ownership_event stop;
    stop.what = ownership_event::kind::handing_over;
    stop.server = server;
    events_.push_back(std::move(stop));
}

void ownership_manager::write_successor(const server_name& server, entry& item, time_point now,
                                        command_list& out) {
    const auto declared = declared_.find(server);
    const instance_name successor =
        declared == declared_.end() ? instance_name{} : desired_owner(declared->second);
    const auto peer = members_.peers().find(successor);
    const bool has_successor = peer != members_.peers().end();
    if (item.has_open_order) {
        return;
    }
    if (!has_successor && !is_draining_) {
        item.step = phase::owning;
        item.owned_since = now;
        ownership_event resumed;
        resumed.what = ownership_event::kind::resumed;
        resumed.server = server;
        events_.push_back(std::move(resumed));
        return;
    }
    protocol::OwnershipRecord next = item.record;
    drop_finished_holders(item, next, now);
    // We order no eviction after this, and none is open: nothing of ours is poisoned.
    protocol::Holder us = self_holder(item.record.owner().epoch());
    *next.add_former() = us;
    next.mutable_owner()->Clear();
    next.mutable_owner()->set_epoch(item.record.owner().epoch() + 1);
    if (has_successor) {
        next.mutable_owner()->set_instance(successor.text());
        next.mutable_owner()->set_start(peer->second.start.text());
    }
    item.step = phase::handing_over;
    write(server, item, std::move(next), out);
}

void ownership_manager::report_drained(const server_name& server, entry& item, time_point now,
                                       command_list& out) {
    const bool has_successor = item.announced_epoch > *item.held_epoch && item.announced_owner != self_.name;
    if (!item.is_drained || !has_successor || now - item.drained_sent < drained_repeat) {
        return;
    }
    item.drained_sent = now;
    protocol::Envelope message;
    message.mutable_drained()->set_server(server.text());
    message.mutable_drained()->set_epoch(*item.held_epoch);
    out.emplace_back(send_to_peer{item.announced_owner, std::move(message)});
}

void ownership_manager::record_intents(const server_name& server, const std::set<adapter_key>& intents,
                                       const start_id& server_start, time_point now, command_list& out) {
    const auto item = entries_.find(server);
    if (item == entries_.end() || item->second.step != phase::owning) {
        return;
    }
    item->second.wanted_intents = intents;
    item->second.wanted_start = server_start;
    maintain(server, item->second, now, out);
}

void ownership_manager::confirm_ownership(const server_name& server, const start_id& server_start,
                                          std::uint64_t ticket, time_point now, command_list& out) {
    const auto item = entries_.find(server);
    if (item == entries_.end() || item->second.step != phase::owning) {
        return;
    }
    item->second.wanted_ticket = std::max(item->second.wanted_ticket, ticket);
    item->second.wanted_start = server_start;
    maintain(server, item->second, now, out);
}

void ownership_manager::on_announced(const server_name& server, const instance_name& owner,
                                     std::uint64_t epoch, time_point now) {
    entry& item = entries_[server];
    if (epoch >= item.announced_epoch) {
        item.announced_epoch = epoch;
        item.announced_owner = owner;
        item.announced_at = now;
    }
}

void ownership_manager::on_drained(const instance_name& from, const start_id& start,
                                   const protocol::Drained& drained, time_point now, command_list& out) {
    const auto item = entries_.find(server_name{drained.server()});
    if (item == entries_.end() || item->second.step != phase::owning) {
        return;
    }
    item->second.drained.emplace(from.text(), start.text());
    log_(event::holder_drained,
         fmt::format("server={} holder={} epoch={}", drained.server(), from.text(), drained.epoch()));
    maintain(item->first, item->second, now, out);
    const auto& former = item->second.record.former();
    const bool is_recorded = std::none_of(former.begin(), former.end(), [&](const protocol::Holder& holder) {
        return holder_key(holder) == std::make_pair(from.text(), start.text());
    });
    if (!is_recorded) {
        return; // The holder repeats itself until the record has dropped it.
    }
    protocol::Envelope message;
    message.mutable_drained_ack()->set_server(drained.server());
    message.mutable_drained_ack()->set_epoch(drained.epoch());
    out.emplace_back(send_to_peer{from, std::move(message)});
}

void ownership_manager::on_drained_ack(const protocol::DrainedAck& ack) {
    const auto item = entries_.find(server_name{ack.server()});
    const bool is_current = item != entries_.end() && item->second.held_epoch == ack.epoch();
    if (is_current && item->second.step == phase::none) {
        item->second.held_epoch.reset();
    }
}

void ownership_manager::on_handover(const protocol::Handover& handover, time_point now, command_list& out) {
    entry& item = entries_[server_name{handover.server()}];
    if (item.step != phase::none || item.is_call_open || (item.held_epoch && !item.is_drained)) {
        return; // The next look finds it.
    }
    item.next_try = now;
    item.step = phase::reading;
    read(server_name{handover.server()}, item, out);
}

void ownership_manager::set_drained(const server_name& server, bool is_drained, bool has_open_order) {
    const auto item = entries_.find(server);
    if (item == entries_.end()) {
        return;
    }
    item->second.is_drained = is_drained;
    item->second.has_open_order = has_open_order;
}

bool ownership_manager::has_released_all_servers() const {
    return std::none_of(entries_.begin(), entries_.end(), [](const auto& item) {
        const bool has_successor = item.second.announced_epoch > item.second.held_epoch.value_or(0);
        const bool owes_report =
            item.second.held_epoch.has_value() && (has_successor || !item.second.is_drained);
        return item.second.step != phase::none || owes_report;
    });
}

bool ownership_manager::is_owner(const server_name& server) const {
    const auto item = entries_.find(server);
    return item != entries_.end() && item->second.step == phase::owning;
}

std::vector<ownership_event> ownership_manager::take_events() {
    return std::exchange(events_, {});
}

} // namespace lovageledge
