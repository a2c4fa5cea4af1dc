#pragma once

#include "lovageledge/coordination/platform_calls.hpp"
#include "lovageledge/coordination/router.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace lovageledge {

/** A request as it is accepted from the caller. */
struct incoming_request {
    protocol::RequestSpec spec;
    time_point deadline;
    /** Key by which the caller marks repetitions of a request that must run only once; empty if none was
        given. */
    std::string idempotency_key;
    /** Address of the plain service; empty if the request is for an adapter. */
    std::string plain_service_address;
};

/**
    The requests that this instance has accepted, from acceptance until the caller has received the result.

    Retries happen only here. A request that is known not to have run may be retried at another server. A
    request whose outcome is unknown is retried only if it is idempotent and its caller has received no
    token. Messages from owners are ignored unless they belong to the current attempt, and tokens are
    delivered only if they continue the response without a gap.

    An idempotency key is claimed in the platform before the first attempt, by a conditional create that
    only one request can win.

    Not thread-safe; guarded by the shard's lock.
*/
class request_table {
public:
    /** Callbacks into the instance. */
    struct hooks {
        /** See router::pick(). */
        std::function<std::optional<route>(const protocol::RequestSpec&, const std::set<server_name>&)> pick;
        /** See quarantine::is_quarantined(). */
        std::function<bool(const std::string& fingerprint)> is_quarantined;
        /** See router::on_not_owner(). */
        std::function<void(const server_name&, const instance_name&)> report_not_owner;
    };

    /** @param calls the shard's platform calls, guarded by the same lock */
    request_table(const instance_identity& self, const coordination_settings& settings, const event_log& log,
                  platform_calls& calls, hooks callbacks);

    /** Accepts a request. Preconditions: it is authorised and its id is new. */
    void accept(incoming_request incoming, time_point now, command_list& out);
    /** Handles the delivery of tokens to the caller; may grant the owner credit for further tokens. */
    void on_tokens_delivered(const request_id& id, std::uint32_t tokens, command_list& out);
    /** Handles a disconnect of the caller: the request is cancelled, unless a plain service runs it. */
    void on_caller_disconnected(const request_id& id, time_point now, command_list& out);

    /** Handles an owner's refusal of an attempt. */
    void on_refused(const instance_name& from, const protocol::Refused& refused, time_point now,
                    command_list& out);
    /** Handles tokens of an attempt. */
    void on_progress(const instance_name& from, const protocol::Progress& progress, time_point now,
                     command_list& out);
    /** Handles the end of an attempt. */
    void on_ended(const instance_name& from, const protocol::Ended& ended, time_point now, command_list& out);
    /** Handles the end of a call to a plain service. */
    void on_plain_service_ended(const request_id& id, const request_result& result, time_point now,
                                command_list& out);
    /** Handles the failure, restart or suspicion of an owner. */
    void on_owner_lost(const instance_name& owner, time_point now, command_list& out);
    /** Handles deadlines and timeouts, and retries routing, claims and their removal. */
    void on_tick(time_point now, command_list& out);

    /** Ends all unfinished requests without a result for their callers, because the process ends. Their
       claims stay. @returns their number */
    std::size_t cut_all(const error& why, time_point now);

    /** @returns the number of unfinished requests */
    std::size_t size() const { return entries_.size(); }
    /** @returns the number of claims that still have to be removed from the platform */
    std::size_t pending_releases() const { return releases_.size(); }

private:
    enum class request_phase : std::uint8_t { claiming, unrouted, forwarded, cancelling, plain };
    struct entry {
        incoming_request incoming;
        request_phase phase = request_phase::claiming;
        std::uint32_t attempt = 0;
        server_name server;
        instance_name owner;
        /** Number of tokens received from the owner so far. */
        std::uint32_t next_offset = 0;
        /** Tokens delivered to the caller for which the owner has not been granted credit yet. */
        std::uint32_t uncredited_tokens = 0;
        /** Servers that refused the request. */
        std::set<server_name> excluded;
        time_point accepted_at;
        time_point unrouted_since;
        /** Next time to route the request or to read its claim back. */
        time_point retry_at;
        time_point cancelled_at;
        error cancel_reason;
        error last_reason;
        /** Version of the claim object, if the request holds a claim. */
        std::optional<std::uint64_t> claim_version;
        bool has_caller_disconnected = false;
        /** True once an attempt ended with an unknown outcome. The request's own outcome can then no longer
            be NOT_RUN. */
        bool has_unknown_attempt = false;
    };
    using entry_map = std::map<request_id, entry>;
    /** The claim of a request that did not run. It is removed so that the key can be used again. */
    struct pending_release {
        request_id request;
        time_point next_attempt_at;
        time_point expires_at;
    };

    /** @returns the name of the claim object of a request's idempotency key */
    static std::string claim_name(const incoming_request& incoming);
    /** @returns the content of a claim object */
    std::string claim_data(const request_id& id, const std::string& state) const;
    void claim(const request_id& id, time_point now, command_list& out);
    void on_claim_response(const request_id& id, const std::string& name, const platform_response& response,
                           time_point now, command_list& out);
    void read_claim(const request_id& id, const std::string& name, command_list& out);
    void on_claim_read(const request_id& id, const std::string& name, const platform_response& response,
                       time_point now, command_list& out);
    void on_claimed(entry_map::iterator item, std::uint64_t version, time_point now, command_list& out);
    void refuse_duplicate(entry_map::iterator item, const protocol::ClaimRecord& record, time_point now,
                          command_list& out);
    void schedule_release(const std::string& name, const request_id& id, time_point now);
    void try_release(const std::string& name, const request_id& id, command_list& out);
    /** Removes the claim of a request that was not run, or records the outcome in it. */
    void finalize_claim(const entry& item, protocol::Outcome outcome, time_point now, command_list& out);

    /** Sends the request to a server or to its plain service. */
    void start(entry_map::iterator item, time_point now, command_list& out);
    void forward(entry_map::iterator item, time_point now, command_list& out);
    void wait_for_route(entry& item, const error& why, duration delay, time_point now);
    void retry_or_finish(entry_map::iterator item, const request_result& result, time_point now,
                         command_list& out);
    void cancel(entry_map::iterator item, const error& why, time_point now, command_list& out);
    void send_cancel(const entry& item, const request_id& id, command_list& out) const;
    /** Writes the event of a request's end. */
    void log_finished(const request_id& id, const entry& item, std::string_view outcome, const error& why,
                      time_point now) const;
    void finish(entry_map::iterator item, request_result result, time_point now, command_list& out);
    /** @returns the entry of a request, or entries_.end() if the given attempt is not its current one */
    entry_map::iterator find_attempt(const instance_name& from, const std::string& request,
                                     std::uint32_t attempt);
    void send_credit(const entry& item, const request_id& id, std::uint32_t tokens, command_list& out) const;

    const instance_identity& self_;
    const coordination_settings& settings_;
    const event_log& log_;
    platform_calls& calls_;
    hooks hooks_;
    entry_map entries_;
    /** By claim object name. */
    std::map<std::string, pending_release> releases_;
};

} // namespace lovageledge
