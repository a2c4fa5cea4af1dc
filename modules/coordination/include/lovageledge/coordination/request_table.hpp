#pragma once

#include "lovageledge/coordination/platform_calls.hpp"
#include "lovageledge/coordination/router.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace lovageledge {

/** A request as its entry instance takes it from the caller. */
struct incoming_request {
    protocol::RequestSpec spec;
    time_point deadline;
    /** The caller's key for a request that must not run twice; empty if none was given. */
    std::string idempotency_key;
    /** The plain service's address, or empty for a request to an adapter. */
    std::string plain_service_address;
};

/**
    The requests that entered at this instance, until the caller has the result.

    This is the one place that repeats anything. A request that is known not to have run may be tried at
    another server; one whose outcome is unknown only if it is idempotent and its caller has seen no token.
    Answers count only if they carry the current attempt and continue at the exact token.

    A key is claimed in the platform before the first attempt, by a create that only one can win. Not
    thread-safe; the shard's lock guards it.
*/
class request_table {
public:
    /** What the table asks of its instance. */
    struct hooks {
        std::function<std::optional<route>(const protocol::RequestSpec&, const std::set<server_name>&)> pick;
        std::function<bool(const std::string& fingerprint)> is_quarantined;
        std::function<void(const server_name&, const instance_name&)> report_not_owner;
    };

    /** @param calls the shard's platform calls, guarded by the same lock */
    request_table(const instance_identity& self, const coordination_settings& settings, const event_log& log,
                  platform_calls& calls, hooks actions);

    /** A caller's request, already authorised. Its id must be new. */
    void accept(incoming_request ticket, time_point now, command_list& out);
    /** The caller took tokens off the stream. */
    void on_tokens_delivered(const request_id& id, std::uint32_t tokens, command_list& out);
    /** The caller is gone; the request is cancelled. */
    void on_caller_disconnected(const request_id& id, time_point now, command_list& out);

    void on_refused(const instance_name& from, const protocol::Refused& refused, time_point now,
                    command_list& out);
    void on_progress(const instance_name& from, const protocol::Progress& progress, time_point now,
                     command_list& out);
    void on_ended(const instance_name& from, const protocol::Ended& ended, time_point now, command_list& out);
    /** A plain service answered or failed. */
    void on_plain_service_ended(const request_id& id, const request_result& result, time_point now,
                                command_list& out);
    /** An owner died, restarted or is suspected. */
    void on_owner_lost(const instance_name& owner, time_point now, command_list& out);
    /** Timed work: deadlines, unrouted requests, open claims. */
    void on_tick(time_point now, command_list& out);

    /** @returns requests that are not finished */
    std::size_t size() const { return entries_.size(); }
    /** @returns claims that still have to be released */
    std::size_t open_releases() const { return releases_.size(); }

private:
    enum class phase : std::uint8_t { claiming, unrouted, forwarded, cancelling, plain };
    struct entry {
        incoming_request ticket;
        phase step = phase::claiming;
        std::uint32_t attempt = 0;
        server_name server;
        instance_name owner;
        std::uint32_t next_offset = 0;
        std::uint32_t uncredited = 0;
        std::set<server_name> excluded;
        time_point accepted;
        time_point unrouted_since;
        time_point not_before;
        time_point cancel_since;
        error cancel_reason;
        error last_reason;
        std::optional<std::uint64_t> claim_version;
        bool is_caller_gone = false;
        /** True once an attempt ended without a known outcome; the request is never "not run" after that. */
        bool has_unknown_attempt = false;
    };
    using entry_map = std::map<request_id, entry>;
    /** A claim of a request that did not run; it is removed so that the key can be used again. */
    struct pending_release {
        request_id request;
        time_point next_try;
        time_point give_up;
    };

    static std::string claim_name(const incoming_request& ticket);
    std::string claim_data(const request_id& id, const std::string& state) const;
    void claim(const request_id& id, time_point now, command_list& out);
    void on_claim_answer(const request_id& id, const std::string& name, const platform_response& answer,
                         time_point now, command_list& out);
    void read_claim(const request_id& id, const std::string& name, command_list& out);
    void on_claim_read(const request_id& id, const std::string& name, const platform_response& answer,
                       time_point now, command_list& out);
    void on_claimed(entry_map::iterator item, std::uint64_t version, time_point now, command_list& out);
    void refuse_duplicate(entry_map::iterator item, const protocol::ClaimRecord& record, time_point now,
                          command_list& out);
    void schedule_release(const std::string& name, const request_id& id, time_point now);
    void try_release(const std::string& name, const request_id& id, command_list& out);
    void settle_claim(const entry& item, protocol::Outcome outcome, time_point now, command_list& out);

    void start(entry_map::iterator item, time_point now, command_list& out);
    void forward(entry_map::iterator item, time_point now, command_list& out);
    void wait_for_route(entry& item, const error& why, duration pause, time_point now);
    void retry_or_finish(entry_map::iterator item, const request_result& result, time_point now,
                         command_list& out);
    void cancel(entry_map::iterator item, const error& why, time_point now, command_list& out);
    void send_cancel(const entry& item, const request_id& id, command_list& out) const;
    void finish(entry_map::iterator item, request_result result, time_point now, command_list& out);
    entry_map::iterator find_attempt(const instance_name& from, const std::string& request,
                                     std::uint32_t attempt);
    void send_credit(const entry& item, const request_id& id, std::uint32_t tokens, command_list& out) const;

    const instance_identity& self_;
    const coordination_settings& settings_;
    const event_log& log_;
    platform_calls& calls_;
    hooks hooks_;
    entry_map entries_;
    std::map<std::string, pending_release> releases_;
};

} // namespace lovageledge
