#include "lovageledge/serving/order_succession.hpp"

#include <algorithm>
#include <utility>

namespace lovageledge {
namespace {

constexpr unsigned fence_era_shift = 32;
/** Largest part of a revision in a fencing token; the rest is for the claims after it. */
constexpr std::uint64_t max_fence_revision = (std::uint64_t{1} << 32) - (std::uint64_t{1} << 20);
/** Higher eras share the fencing tokens of this one, so that every token is an integer in JSON. */
constexpr std::uint64_t max_fence_era = (std::uint64_t{1} << 20) - 1;
/** The store's first era may have this number or 0. Nothing has been lost before. */
constexpr store_era first_era{1};

/** @returns the era's number as the upper half of a fencing token */
std::uint64_t fence_era(store_era era) {
    return std::min(static_cast<std::uint64_t>(era), max_fence_era);
}

} // namespace

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

void order_succession::on_store_era(store_era era, time_point now) {
    if (era <= era_) {
        return;
    }
    era_ = era;
    era_seen_at_ = now;
    store_confirmed_at_.reset();
    for (auto& [name, peer] : peers_) {
        peer.confirmed_at.reset();
    }
}

void order_succession::on_record(const order_domain_record& record, store_revision revision, time_point now) {
    on_store_era(revision.era(), now);
    highest_fence_ = std::max(highest_fence_, record.fence);
    if (revision <= revision_ || revision.era() < era_) {
        return;
    }
    const order_domain_record former = std::exchange(record_, record);
    revision_ = revision;
    if (is_record_of_former_era()) {
        // Its holder may have been replaced long ago: nothing is waited for but its heartbeat.
        holder_seen_at_ = std::max(holder_seen_at_, now);
    } else if (former.holder != record_.holder || former.start != record_.start) {
        // The new holder may have to wait, and to open a connection to this instance.
        const duration grace = record_.has_predecessor_stopped
                                   ? settings_.holder_timeout
                                   : settings_.confirmation_lifetime + settings_.order_lease;
        holder_seen_at_ = std::max(holder_seen_at_, now + grace);
        missing_since_.reset();
    }
    if (!is_recorded_as_holder()) {
        return;
    }
    const bool was_recorded = former.holder == self_.name && former.start == self_.start;
    const bool is_same_tenure =
        was_recorded && (former.fence == record_.fence || record_.has_predecessor_stopped);
    if (!is_same_tenure) {
        begin_tenure(now);
    }
    // A claim of a former era that the store has accepted in this one: the token may be another holder's too.
    must_claim_again_ = is_record_of_former_era() && former.fence != record_.fence;
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
    revision_ = store_revision{era_, 0};
}

void order_succession::on_record_confirmed(const order_domain_record& record, store_revision revision,
                                           time_point requested_at, time_point now) {
    on_record(record, revision, now);
    if (is_recorded_as_holder() && revision == revision_ && !is_record_of_former_era()) {
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
    const bool is_current = fence == record_.fence && sent_at >= era_seen_at_;
    if (found == peers_.end() || !is_recorded_as_holder() || !is_current) {
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
        const bool is_lost =
            highest_fence_ > record_.fence && now - newer_fence_at_ >= settings_.holder_timeout;
        const bool is_unconfirmed = is_record_of_former_era() &&
                                    now - era_seen_at_ >= settings_.holder_timeout &&
                                    !is_confirmed_within(settings_.holder_timeout, now);
        return is_lost || is_unconfirmed || must_claim_again_;
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
    // Before the record has been read in the store's present era, its revision is not known.
    const bool may_write = has_started_ && !has_ended_ && (revision_.is_none() || revision_.era() == era_);
    if (may_write && is_record_of_former_era() && may_order(now)) {
        return now >= store_retry_at_ ? std::optional{make_renewal()} : std::nullopt;
    }
    if (!may_write || !is_holder_missing(now)) {
        missing_since_.reset();
        return std::nullopt;
    }
    missing_since_ = missing_since_.value_or(now);
    if (now < store_retry_at_ || now - *missing_since_ < claim_delay()) {
        return std::nullopt;
    }
    return make_claim();
}

order_succession::record_write order_succession::make_renewal() const {
    record_write write{record_, revision_};
    write.record.fence = next_fence();
    write.record.has_predecessor_stopped = true;
    return write;
}

order_succession::record_write order_succession::make_claim() const {
    const bool is_former_run = record_.holder == self_.name && record_.start != self_.start;
    const bool is_first = revision_.is_none() && highest_fence_ == 0 && era_ <= first_era;
    const bool is_successor = (record_.holder.is_empty() || is_former_run) && !is_record_of_former_era();
    record_write write;
    write.record.holder = self_.name;
    write.record.start = self_.start;
    write.record.fence = next_fence();
    write.record.has_predecessor_stopped = is_first || (is_successor && record_.has_predecessor_stopped);
    write.record.address = self_.address;
    write.record.is_only_machine = is_first || (is_former_run && is_successor && record_.is_only_machine &&
                                                record_.address == self_.address);
    if (!revision_.is_none()) {
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
    write.record.fence = next_fence();
    // Before that, the lease of an earlier holder has not passed yet.
    write.record.has_predecessor_stopped = now >= orders_from_ && !is_record_of_former_era();
    write.required_revision = revision_;
    return write;
}

bool order_succession::should_read_record(time_point now) const {
    const bool is_due = highest_fence_ > record_.fence || revision_.era() < era_ ||
                        !is_confirmed_within(settings_.confirmation_lifetime / 2, now);
    return is_due && is_recorded_as_holder() && !has_ended_ && now >= store_retry_at_;
}

bool order_succession::is_recorded_as_holder() const {
    return record_.holder == self_.name && record_.start == self_.start;
}

bool order_succession::is_record_of_former_era() const {
    return (record_.fence >> fence_era_shift) < fence_era(era_);
}

std::uint64_t order_succession::next_fence() const {
    const std::uint64_t era = fence_era(era_);
    if (era == 0) {
        return highest_fence_ + 1;
    }
    // In one era, the store accepts one write of the record for each of its revisions.
    const std::uint64_t revision = std::min(revision_.number(), max_fence_revision);
    return std::max(highest_fence_, (era << fence_era_shift) + revision) + 1;
}

bool order_succession::holds_domain() const {
    return is_recorded_as_holder() && highest_fence_ == record_.fence && !must_claim_again_ && !has_ended_;
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
