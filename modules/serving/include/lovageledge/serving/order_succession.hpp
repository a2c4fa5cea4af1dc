#pragma once

#include "lovageledge/base/base.hpp"
#include "lovageledge/serving/store_revision.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace lovageledge {

/** The record of an order domain in the platform's store, which names the holder. */
struct order_domain_record {
    /** Empty if the last holder has released the domain. */
    instance_name holder;
    /** The holder's run; a restarted instance does not continue as the holder. */
    start_id start;
    /** Fencing token; it grows with each change of the holder. Its upper half is the store's era in which it
        was given out, so that no two eras give out the same one. */
    std::uint64_t fence = 0;
    /** The holders before this one have certainly stopped sending orders. */
    bool has_predecessor_stopped = false;
    /** The holder's address, which tells its machine from another one with the same name. */
    std::string address;
    /** No other machine has ever held the domain, so that there is nobody's lease to wait for. */
    bool is_only_machine = false;

    bool operator==(const order_domain_record&) const = default;
};

/** An instance that may hold an order domain. */
struct order_candidate {
    instance_name name;
    start_id start;
    /** Bandwidth of its network link, in Mbit/s; 0 if unknown. A holder sends much more than other instances,
        so the one with the largest link is preferred. */
    double link_mbps = 0.0;
    std::string address;
};

/** Time limits of the succession of holders. */
struct succession_settings {
    /** How long a confirmation entitles the holder to send orders, from when it was requested. */
    duration confirmation_lifetime = std::chrono::milliseconds{1000};
    /** Minimum time between the orders of two holders, if the first may still have been sending when the
        second was recorded. */
    duration order_lease = std::chrono::milliseconds{3000};
    /** Servers reject orders whose fencing token is lower than one that they have seen. If not, order_lease
        also separates the orders of two holders if the first has released the domain. */
    bool servers_check_fences = true;
    /** A holder without a heartbeat for this long is replaced. */
    duration holder_timeout = std::chrono::milliseconds{1500};
    /** A longer gap between two ticks means that this process was stalled, so that missing messages say
        nothing about the holder. */
    duration stall_threshold = std::chrono::milliseconds{700};
    /** Extra delay per rank among the candidates, so that they don't all write the record at once. */
    duration candidate_delay_step = std::chrono::milliseconds{150};
    /** Delay after a failed write or read of the record. */
    duration store_retry_delay = std::chrono::milliseconds{700};
};

/**
    Decides which instance of a data centre holds its order domain, and when the holder may send orders.

    The holder is recorded in the platform's store by conditional writes. The record alone does not entitle
    it to send orders, since it may have been replaced without knowing. It may only send while it has been
    confirmed within the confirmation lifetime, either by all other instances of the data centre, which
    confirm its heartbeats as long as they know of no other holder, or by a read of the record. A new holder
    confirms no heartbeats and waits until the former holder's last confirmation has expired and another
    order_lease has passed. So the orders of two holders never alternate, whichever messages, store calls or
    processes are delayed. No clocks are compared; it is only assumed that they run at about the same rate.

    A store that returns from a copy may name a holder that has been replaced since. So a record from before
    the return confirms nobody, and no confirmation from before it counts any more. A holder that all other
    instances confirm after the return writes the record anew; any other takes over as from a holder that may
    still be sending orders.

    The exception: a holder that can't reach the store may be replaced by an instance that registered later
    and reaches neither the holder nor any instance that confirms it. Fencing tokens remain against that.

    All times must include the time for which the machine was suspended. Makes decisions only: the owner
    sends the messages, and reads and writes the record. Not thread-safe.
*/
class order_succession {
public:
    /** A write of the record that is due. */
    struct record_write {
        order_domain_record record;
        /** Revision that the record must have; std::nullopt to create it. */
        std::optional<store_revision> required_revision;
    };

    /** @param key identifies the data centre in the order of the candidates */
    order_succession(order_candidate self, std::string key, succession_settings settings);

    /** Starts to replace missing holders. Call this when all records have been read for the first time, and
        this instance is registered, so that others know that it must confirm the holder. */
    void start(time_point now);
    /** Announces a graceful shutdown: other instances are preferred as holders. */
    void begin_stop() { is_stopping_ = true; }
    /** Stops sending orders for good. */
    void end() { has_ended_ = true; }

    /** Adds or updates another instance of the data centre. */
    void on_peer_listed(const order_candidate& peer);
    void on_peer_unlisted(const instance_name& peer) { peers_.erase(peer); }
    void on_peer_stopping(const instance_name& peer, bool is_stopping);

    /** Processes the era of the store. Lower ones than the known era are ignored. */
    void on_store_era(store_era era, time_point now);
    /** Processes a version of the record. Of outdated versions, only the fencing token counts. */
    void on_record(const order_domain_record& record, store_revision revision, time_point now);
    void on_record_removed();
    /** Processes a read or a write of the record that has returned this version of it.
        @param requested_at when the read or write was sent */
    void on_record_confirmed(const order_domain_record& record, store_revision revision,
                             time_point requested_at, time_point now);
    /** Processes a failed read or write of the record. */
    void on_store_failed(time_point now) { store_retry_at_ = now + settings_.store_retry_delay; }

    /** Processes a holder's heartbeat.
        @param is_entitled false if the holder has not been able to send orders for a while
        @returns true if the sender is the holder as far as known, so that the heartbeat must be confirmed */
    bool on_heartbeat(const instance_name& from, const start_id& start, std::uint64_t fence, bool is_entitled,
                      time_point now);
    /** Processes a peer's confirmation of a heartbeat. @param sent_at when the heartbeat was sent */
    void on_heartbeat_confirmed(const instance_name& peer, std::uint64_t fence, time_point sent_at);
    /** Processes a server's rejection of an order with this fencing token. */
    void on_order_fenced(std::uint64_t fence, time_point now) { on_newer_fence(fence + 1, now); }

    /** Must be called several times per holder_timeout. */
    void tick(time_point now);

    /** @returns a write of the record that is due to take over the domain, or to keep it after the store has
        returned from a copy. The owner must report its outcome before it asks again. */
    std::optional<record_write> next_claim(time_point now);
    /** @returns the write that releases the domain, or std::nullopt if this instance does not hold it.
        Precondition: end() was called, and no order is unanswered. */
    std::optional<record_write> release(time_point now) const;
    /** @returns true if a read of the record is due, to confirm that this instance still holds the domain */
    bool should_read_record(time_point now) const;

    /** @returns true if an instance that is not stopping can take over the domain */
    bool has_other_candidate() const;
    /** @returns true if this instance is recorded as the holder, knows of no newer one and has not ended */
    bool holds_domain() const;
    /** @returns true if this instance may send an order with the current fencing token now */
    bool may_order(time_point now) const;
    /** @returns true if this instance holds the domain and no earlier holder can send orders any more. From
        now on, the servers' reports show what its own orders find. */
    bool has_predecessor_stopped(time_point now) const;
    /** @returns false if this instance holds the domain but has not been able to send orders for
        holder_timeout, so that another should take over */
    bool is_entitled(time_point now) const;
    /** @returns the age of the confirmation that entitles this instance to send orders, if there is any */
    std::optional<duration> confirmation_age(time_point now) const;

    const order_domain_record& record() const { return record_; }

private:
    struct peer_state {
        order_candidate candidate;
        /** When the last heartbeat that the peer has confirmed was sent. */
        std::optional<time_point> confirmed_at;
        bool is_stopping = false;
    };

    bool is_recorded_as_holder() const;
    /** @returns true if the record may have been replaced by one that the store has lost */
    bool is_record_of_former_era() const;
    /** @returns a fencing token above all that were given out as far as known, in any era */
    std::uint64_t next_fence() const;
    /** @returns the write that keeps the domain in the store's present era */
    record_write make_renewal() const;
    record_write make_claim() const;
    void on_newer_fence(std::uint64_t fence, time_point now);
    void begin_tenure(time_point now);
    /** @returns when the last confirmation by the store or by all peers was requested */
    std::optional<time_point> confirmed_at() const;
    bool is_confirmed_within(duration limit, time_point now) const;
    bool is_holder_missing(time_point now) const;
    duration claim_delay() const;
    /** @returns true if a peer should rather hold the domain than this instance */
    bool is_preferred(const peer_state& peer) const;

    order_candidate self_;
    std::string key_;
    succession_settings settings_;
    std::map<instance_name, peer_state> peers_;

    order_domain_record record_;
    /** Revision of the record; none if there is no record. */
    store_revision revision_;
    /** Highest known era of the store. The record may still be one of an era before it. */
    store_era era_{};
    time_point era_seen_at_{};
    /** This instance is recorded as the holder, but with a fencing token that it must not use. */
    bool must_claim_again_ = false;
    /** Highest fencing token of which this instance knows, also from messages and servers. */
    std::uint64_t highest_fence_ = 0;
    time_point newer_fence_at_{};

    /** When the last read or write that returned this instance as the holder was sent. */
    std::optional<time_point> store_confirmed_at_;
    /** From then on, no earlier holder can send orders. */
    time_point predecessor_stopped_at_{};
    time_point orders_from_{};

    /** Last sign of life of the holder, or the start of the period in which its absence counts. */
    time_point holder_seen_at_{};
    std::optional<time_point> missing_since_;
    time_point last_tick_{};
    time_point store_retry_at_{};
    bool has_started_ = false;
    bool is_stopping_ = false;
    bool has_ended_ = false;
};

} // namespace lovageledge
