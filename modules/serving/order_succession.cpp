#include "lovageledge/serving/order_succession.hpp"

#include <algorithm>
#include <utility>

namespace lovageledge {

order_succession::order_succession(order_candidate self, std::string key, succession_settings settings)
    : self_{std::move(self)}, key_{std::move(key)}, settings_{settings} {}

void order_succession::start(time_point now) {
    has_started_ = true;
    last_tick_ = now;
    // The holder sends heartbeats here only after it has read this instance's registration.
    holder_seen_at_ = now + settings_.holder_timeout;
}

void order_succession::on_peer_listed(const order_candidate& peer) {
    peer_state& state = peers_[peer.name];
    if (state.candidate.start != peer.start) {
        state = {peer, std::nullopt, false};
    }
}

void order_succession::on_peer_stopping(const instance_name& peer, bool is_stopping) {
    const auto found = peers_.find(peer);
    if (found != peers_.end()) {
        found->second.is_stopping = is_stopping;
    }
}

void order_succession::on_record(const order_domain_record& record, std::uint64_t revision, time_point now) {
    if (revision <= revision_) {
        return;
    }
    const order_domain_record former = std::exchange(record_, record);
    revision_ = revision;
    highest_fence_ = std::max(highest_fence_, record_.fence);
    if (former.holder != record_.holder || former.start != record_.start) {
        // The new holder may have to wait, and to open a connection to this instance.
        const duration grace = record_.has_predecessor_stopped
                                   ? settings_.holder_timeout
                                   : settings_.confirmation_lifetime + settings_.order_lease;
        holder_seen_at_ = std::max(holder_seen_at_, now + grace);
        missing_since_.reset();
    }
    if (is_recorded_as_holder()) {
        begin_tenure(now);
    }
}

void order_succession::begin_tenure(time_point now) {
    store_confirmed_at_.reset();
    for (auto& [name, peer] : peers_) {
        peer.confirmed_at.reset();
    }
    if (record_.has_predecessor_stopped) {
        predecessor_stopped_at_ = now;
        const bool must_wait = !settings_.servers_check_fences && !record_.is_only_machine;
        orders_from_ = must_wait ? now + settings_.order_lease : now;
        return;
    }
    // The former holder was confirmed by this instance, or by a read of the record, for the last time before
    // now.
    predecessor_stopped_at_ = now + settings_.confirmation_lifetime;
    orders_from_ = predecessor_stopped_at_ + settings_.order_lease;
}

void order_succession::on_record_removed() {
    record_ = {};
    revision_ = 0;
}

void order_succession::on_record_confirmed(const order_domain_record& record, std::uint64_t revision,
                                           time_point requested_at, time_point now) {
    on_record(record, revision, now);
    if (is_recorded_as_holder() && revision == revision_) {
        store_confirmed_at_ = std::max(store_confirmed_at_.value_or(requested_at), requested_at);
    }
}

bool order_succession::on_heartbeat(const instance_name& from, const start_id& start, std::uint64_t fence,
                                    bool is_entitled, time_point now) {
    if (fence > record_.fence) {
        on_newer_fence(fence, now);
        return false;
    }
    const bool is_from_holder = from == record_.holder && start == record_.start && fence == highest_fence_;
    if (is_from_holder && is_entitled) {
        holder_seen_at_ = std::max(holder_seen_at_, now);
    }
    return is_from_holder;
}

void order_succession::on_newer_fence(std::uint64_t fence, time_point now) {
    if (fence > highest_fence_) {
        highest_fence_ = fence;
        newer_fence_at_ = now;
    }
    // Its record has not been read yet.
    holder_seen_at_ = std::max(holder_seen_at_, now);
}

void order_succession::on_heartbeat_confirmed(const instance_name& peer, std::uint64_t fence,
                                              time_point sent_at) {
    const auto found = peers_.find(peer);
    if (found == peers_.end() || !is_recorded_as_holder() || fence != record_.fence) {
        return;
    }
    std::optional<time_point>& confirmed_at = found->second.confirmed_at;
    confirmed_at = std::max(confirmed_at.value_or(sent_at), sent_at);
}

void order_succession::tick(time_point now) {
    if (now - last_tick_ > settings_.stall_threshold) {
        holder_seen_at_ = std::max(holder_seen_at_, now);
    }
    last_tick_ = now;
}

bool order_succession::is_holder_missing(time_point now) const {
    if (record_.holder.is_empty()) {
        return true;
    }
    if (is_recorded_as_holder()) {
        // Servers or peers know of a newer fence, but the store does not: its record was lost.
        return highest_fence_ > record_.fence && now - newer_fence_at_ >= settings_.holder_timeout;
    }
    // A former run of this instance has ended.
    return record_.holder == self_.name || now - holder_seen_at_ >= settings_.holder_timeout;
}

bool order_succession::is_preferred(const peer_state& peer) const {
    if (peer.is_stopping != is_stopping_) {
        return is_stopping_;
    }
    if (peer.candidate.link_mbps != self_.link_mbps) {
        return peer.candidate.link_mbps > self_.link_mbps;
    }
    return rendezvous_weight(key_, peer.candidate.name.text()) > rendezvous_weight(key_, self_.name.text());
}

duration order_succession::claim_delay() const {
    if (record_.holder == self_.name) {
        return duration::zero();
    }
    const auto preferred = std::count_if(peers_.begin(), peers_.end(), [this](const auto& entry) {
        return is_preferred(entry.second) && entry.first != record_.holder;
    });
    return settings_.candidate_delay_step * preferred;
}

std::optional<order_succession::record_write> order_succession::next_claim(time_point now) {
    if (!has_started_ || has_ended_ || !is_holder_missing(now)) {
        missing_since_.reset();
        return std::nullopt;
    }
    missing_since_ = missing_since_.value_or(now);
    if (now < store_retry_at_ || now - *missing_since_ < claim_delay()) {
        return std::nullopt;
    }
    const bool is_former_run = record_.holder == self_.name && record_.start != self_.start;
    const bool is_first = revision_ == 0 && highest_fence_ == 0;
    record_write write;
    write.record.holder = self_.name;
    write.record.start = self_.start;
    write.record.fence = highest_fence_ + 1;
    write.record.has_predecessor_stopped =
        is_first || ((record_.holder.is_empty() || is_former_run) && record_.has_predecessor_stopped);
    write.record.address = self_.address;
    write.record.is_only_machine =
        is_first || (is_former_run && record_.is_only_machine && record_.address == self_.address);
    if (revision_ != 0) {
        write.required_revision = revision_;
    }
    return write;
}

std::optional<order_succession::record_write> order_succession::release(time_point now) const {
    if (!is_recorded_as_holder()) {
        return std::nullopt;
    }
    record_write write;
    write.record.start = self_.start;
    write.record.fence = highest_fence_ + 1;
    // Before that, the lease of an earlier holder has not passed yet.
    write.record.has_predecessor_stopped = now >= orders_from_;
    write.required_revision = revision_;
    return write;
}

bool order_succession::should_read_record(time_point now) const {
    const bool is_due =
        highest_fence_ > record_.fence || !is_confirmed_within(settings_.confirmation_lifetime / 2, now);
    return is_due && is_recorded_as_holder() && !has_ended_ && now >= store_retry_at_;
}

bool order_succession::is_recorded_as_holder() const {
    return record_.holder == self_.name && record_.start == self_.start;
}

bool order_succession::holds_domain() const {
    return is_recorded_as_holder() && highest_fence_ == record_.fence && !has_ended_;
}

bool order_succession::has_other_candidate() const {
    return std::any_of(peers_.begin(), peers_.end(),
                       [](const auto& entry) { return !entry.second.is_stopping; });
}

std::optional<time_point> order_succession::confirmed_at() const {
    std::optional<time_point> by_peers;
    for (const auto& [name, peer] : peers_) {
        if (!peer.confirmed_at) {
            return store_confirmed_at_;
        }
        by_peers = std::min(by_peers.value_or(*peer.confirmed_at), *peer.confirmed_at);
    }
    return std::max(store_confirmed_at_, by_peers);
}

bool order_succession::is_confirmed_within(duration limit, time_point now) const {
    const auto confirmed = confirmed_at();
    return confirmed && now - *confirmed < limit;
}

std::optional<duration> order_succession::confirmation_age(time_point now) const {
    const auto confirmed = confirmed_at();
    return confirmed ? std::optional{now - *confirmed} : std::nullopt;
}

bool order_succession::may_order(time_point now) const {
    return holds_domain() && now >= orders_from_ && is_confirmed_within(settings_.confirmation_lifetime, now);
}

bool order_succession::has_predecessor_stopped(time_point now) const {
    return holds_domain() && now >= predecessor_stopped_at_;
}

bool order_succession::is_entitled(time_point now) const {
    return !holds_domain() || now < orders_from_ + settings_.holder_timeout ||
           is_confirmed_within(settings_.holder_timeout, now);
}

} // namespace lovageledge
