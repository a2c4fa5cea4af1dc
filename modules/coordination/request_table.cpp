#include "lovageledge/coordination/request_table.hpp"

#include <algorithm>
#include <cassert>
#include <spdlog/fmt/fmt.h>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;

/** Delay before a request that was refused, or for which no server is routable, is routed again. */
constexpr auto retry_delay = milliseconds{20};
/** Delay before a retry after an attempt with an unknown outcome. Longer than an owner needs to detect a
    restart of its engine and to report to its peers which fingerprints were running on it. */
constexpr auto crash_retry_delay = milliseconds{600};
/** Delay before a claim whose write or read failed is read back. */
constexpr auto claim_read_delay = milliseconds{100};
/** Interval between attempts to remove a claim. */
constexpr auto release_retry_interval = milliseconds{1000};
/** Time after which attempts to remove a claim are abandoned. */
constexpr auto release_timeout = std::chrono::minutes{10};
/** Retry delay that is suggested to callers of requests that were not run. */
constexpr auto not_run_retry_after = milliseconds{1000};
const std::string claim_kind = "claim";

request_result not_run(error why) {
    return {protocol::NOT_RUN, std::move(why), not_run_retry_after, false};
}

} // namespace

request_table::request_table(const instance_identity& self, const coordination_settings& settings,
                             const event_log& log, platform_calls& calls, hooks callbacks)
    : self_{self}, settings_{settings}, log_{log}, calls_{calls}, hooks_{std::move(callbacks)} {}

void request_table::accept(incoming_request incoming, time_point now, command_list& out) {
    const request_id id{incoming.spec.id()};
    auto [item, is_new] = entries_.try_emplace(id);
    assert(is_new);
    entry& new_entry = item->second;
    new_entry.incoming = std::move(incoming);
    new_entry.accepted_at = now;
    new_entry.unrouted_since = now;
    if (hooks_.is_quarantined(new_entry.incoming.spec.fingerprint())) {
        finish(item, not_run({"entry.quarantine", "", "this request crashed engines and is quarantined"}),
               now, out);
        return;
    }
    const bool needs_claim = !new_entry.incoming.idempotency_key.empty() && settings_.safeguard.claims;
    if (needs_claim) {
        claim(id, now, out);
        return;
    }
    start(item, now, out);
}

std::string request_table::claim_name(const incoming_request& incoming) {
    return sha256_hex(incoming.spec.service() + "\n" + incoming.idempotency_key);
}

std::string request_table::claim_data(const request_id& id, const std::string& state) const {
    protocol::ClaimRecord record;
    record.set_request(id.text());
    record.set_instance(self_.name.text());
    record.set_state(state);
    return to_json(record);
}

void request_table::claim(const request_id& id, time_point /*now*/, command_list& out) {
    const std::string name = claim_name(entries_.at(id).incoming);
    calls_.start(
        {0, platform_operation::put, claim_kind, name, 0, claim_data(id, "running")},
        [this, id, name](const platform_response& response, time_point when, command_list& commands) {
            on_claim_response(id, name, response, when, commands);
        },
        out);
}

void request_table::on_claim_response(const request_id& id, const std::string& name,
                                      const platform_response& response, time_point now, command_list& out) {
    const auto item = entries_.find(id);
    const bool is_abandoned = item == entries_.end() || item->second.phase != request_phase::claiming;
    if (is_abandoned) {
        if (response.status == platform_status::ok || response.status == platform_status::unavailable) {
            schedule_release(name, id, now);
        }
        return;
    }
    if (response.status == platform_status::ok) {
        on_claimed(item, response.version, now, out);
        return;
    }
    if (response.status == platform_status::conflict) {
        read_claim(id, name, out);
        return;
    }
    item->second.retry_at = now + claim_read_delay; // on_tick() reads the claim back.
}

void request_table::read_claim(const request_id& id, const std::string& name, command_list& out) {
    entries_.at(id).retry_at = time_point::max();
    calls_.start(
        {0, platform_operation::get, claim_kind, name, 0, ""},
        [this, id, name](const platform_response& response, time_point when, command_list& commands) {
            on_claim_read(id, name, response, when, commands);
        },
        out);
}

void request_table::on_claim_read(const request_id& id, const std::string& name,
                                  const platform_response& response, time_point now, command_list& out) {
    const auto item = entries_.find(id);
    if (item == entries_.end() || item->second.phase != request_phase::claiming) {
        schedule_release(name, id, now);
        return;
    }
    if (response.status == platform_status::not_found) {
        claim(id, now, out);
        return;
    }
    protocol::ClaimRecord record;
    if (response.status != platform_status::ok || !from_json(response.data, record)) {
        item->second.retry_at = now + claim_read_delay;
        return;
    }
    if (record.request() == id.text()) {
        on_claimed(item, response.version, now, out);
        return;
    }
    refuse_duplicate(item, record, now, out);
}

void request_table::on_claimed(entry_map::iterator item, std::uint64_t version, time_point now,
                               command_list& out) {
    item->second.claim_version = version;
    item->second.retry_at = now;
    log_(event::request_claimed, fmt::format("request={} version={}", item->first.text(), version));
    start(item, now, out);
}

void request_table::refuse_duplicate(entry_map::iterator item, const protocol::ClaimRecord& record,
                                     time_point now, command_list& out) {
    log_(event::request_duplicate,
         fmt::format("request={} first={} state={}", item->first.text(), record.request(), record.state()));
    request_result result;
    result.outcome = record.state() == "done"     ? protocol::DONE
                     : record.state() == "failed" ? protocol::FAILED
                                                  : protocol::UNKNOWN;
    result.why = {"entry.claim", record.instance(),
                  "the key belongs to request " + record.request() + ", which is " + record.state()};
    result.is_duplicate = true;
    finish(item, std::move(result), now, out);
}

void request_table::schedule_release(const std::string& name, const request_id& id, time_point now) {
    releases_.try_emplace(name, pending_release{id, now, now + release_timeout});
}

void request_table::try_release(const std::string& name, const request_id& id, command_list& out) {
    const auto on_read = [this, name, id](const platform_response& read_response, time_point /*when*/,
                                          command_list& commands) {
        protocol::ClaimRecord record;
        if (read_response.status != platform_status::ok || !from_json(read_response.data, record)) {
            return; // No response, or the claim may not be written yet: on_tick() retries until the timeout.
        }
        if (record.request() != id.text()) {
            releases_.erase(name);
            return;
        }
        calls_.start(
            {0, platform_operation::remove, claim_kind, name, read_response.version, ""},
            [this, name](const platform_response& removed, time_point /*when*/, command_list& /*commands*/) {
                if (removed.status == platform_status::ok) {
                    releases_.erase(name);
                }
            },
            commands);
    };
    calls_.start({0, platform_operation::get, claim_kind, name, 0, ""}, on_read, out);
}

void request_table::finalize_claim(const entry& item, protocol::Outcome outcome, time_point now,
                                   command_list& out) {
    const request_id id{item.incoming.spec.id()};
    const std::string name = claim_name(item.incoming);
    if (outcome == protocol::NOT_RUN) {
        schedule_release(name, id, now);
        return;
    }
    const std::string state = outcome == protocol::DONE     ? "done"
                              : outcome == protocol::FAILED ? "failed"
                                                            : "unknown";
    // The state is only informational: the claim remains valid even if this write fails.
    calls_.start(
        {0, platform_operation::put, claim_kind, name, *item.claim_version, claim_data(id, state)},
        [](const platform_response&, time_point, command_list&) {}, out);
}

void request_table::start(entry_map::iterator item, time_point now, command_list& out) {
    entry& request = item->second;
    if (request.incoming.plain_service_address.empty()) {
        forward(item, now, out);
        return;
    }
    request.phase = request_phase::plain;
    ++request.attempt;
    out.emplace_back(call_plain_service{item->first, request.incoming.plain_service_address});
}

void request_table::wait_for_route(entry& item, const error& why, duration delay, time_point now) {
    if (item.phase != request_phase::unrouted) {
        item.unrouted_since = now;
    }
    item.phase = request_phase::unrouted;
    item.last_reason = why;
    item.retry_at = now + delay;
}

void request_table::forward(entry_map::iterator item, time_point now, command_list& out) {
    entry& request = item->second;
    if (hooks_.is_quarantined(request.incoming.spec.fingerprint())) {
        finish(item, not_run({"entry.quarantine", "", "this request crashed engines and is quarantined"}),
               now, out);
        return;
    }
    const auto chosen = hooks_.pick(request.incoming.spec, request.excluded);
    if (!chosen) {
        request.excluded.clear();
        wait_for_route(request, {"entry.route", "", "no server of the pool is ready"}, retry_delay, now);
        return;
    }
    ++request.attempt;
    request.phase = request_phase::forwarded;
    request.server = chosen->server;
    request.owner = chosen->owner;
    request.uncredited_tokens = 0;
    const auto remaining = std::chrono::duration_cast<milliseconds>(request.incoming.deadline - now);
    request.incoming.spec.set_remaining_ms(
        static_cast<std::uint32_t>(std::max<std::int64_t>(remaining.count(), 1)));
    log_(event::request_routed,
         fmt::format("request={} attempt={} adapter={} server={} owner={} loaded={} remote={} cost_us={}",
                     item->first.text(), request.attempt, request.incoming.spec.adapter(),
                     chosen->server.text(), chosen->owner.text(), chosen->is_loaded, chosen->is_remote,
                     std::chrono::duration_cast<std::chrono::microseconds>(chosen->cost).count()));
    protocol::Envelope message;
    auto* submit = message.mutable_submit();
    *submit->mutable_spec() = request.incoming.spec;
    submit->set_server(chosen->server.text());
    submit->set_attempt(request.attempt);
    out.emplace_back(send_to_peer{chosen->owner, std::move(message)});
}

request_table::entry_map::iterator
request_table::find_attempt(const instance_name& from, const std::string& request, std::uint32_t attempt) {
    const auto item = entries_.find(request_id{request});
    if (item == entries_.end()) {
        return item;
    }
    const bool is_current = item->second.attempt == attempt && item->second.owner == from;
    return is_current || !settings_.safeguard.attempt_check ? item : entries_.end();
}

void request_table::on_refused(const instance_name& from, const protocol::Refused& refused, time_point now,
                               command_list& out) {
    const auto item = find_attempt(from, refused.request(), refused.attempt());
    if (item == entries_.end()) {
        return;
    }
    const error why{refused.step(), from.text(), refused.reason()};
    item->second.excluded.insert(item->second.server);
    if (refused.step() == "owner.ownership") {
        hooks_.report_not_owner(item->second.server, from);
    }
    retry_or_finish(item, not_run(why), now, out);
}

void request_table::on_progress(const instance_name& from, const protocol::Progress& progress, time_point now,
                                command_list& out) {
    const auto item = find_attempt(from, progress.request(), progress.attempt());
    if (item == entries_.end()) {
        return;
    }
    entry& request = item->second;
    if (progress.offset() != request.next_offset) {
        const bool is_duplicate_message = progress.offset() < request.next_offset;
        if (!is_duplicate_message) {
            cancel(item, {"entry.stream", from.text(), "tokens were lost on the way"}, now, out);
        }
        return;
    }
    request.next_offset += static_cast<std::uint32_t>(progress.tokens_size());
    // Tokens are delivered even after a cancellation was sent, as the response may still complete.
    out.emplace_back(deliver_tokens{item->first, {progress.tokens().begin(), progress.tokens().end()}});
}

void request_table::on_ended(const instance_name& from, const protocol::Ended& ended, time_point now,
                             command_list& out) {
    const auto item = find_attempt(from, ended.request(), ended.attempt());
    if (item == entries_.end()) {
        return;
    }
    request_result result{
        ended.outcome(), {ended.step(), from.text(), ended.reason()}, milliseconds{0}, false};
    const bool is_truncated = result.outcome == protocol::DONE && ended.tokens() != item->second.next_offset;
    if (is_truncated) {
        result = {protocol::FAILED,
                  {"entry.stream", from.text(), "tokens were lost on the way"},
                  milliseconds{0},
                  false};
    }
    retry_or_finish(item, result, now, out);
}

void request_table::on_plain_service_ended(const request_id& id, const request_result& result, time_point now,
                                           command_list& out) {
    const auto item = entries_.find(id);
    if (item != entries_.end() && item->second.phase == request_phase::plain) {
        retry_or_finish(item, result, now, out);
    }
}

void request_table::on_owner_lost(const instance_name& owner, time_point now, command_list& out) {
    std::vector<request_id> affected;
    for (const auto& [id, request] : entries_) {
        const bool is_at_owner =
            request.phase == request_phase::forwarded || request.phase == request_phase::cancelling;
        if (is_at_owner && request.owner == owner) {
            affected.push_back(id);
        }
    }
    const request_result result{
        protocol::UNKNOWN, {"entry.forward", owner.text(), "the owner is lost"}, milliseconds{0}, false};
    for (const request_id& id : affected) {
        retry_or_finish(entries_.find(id), result, now, out);
    }
}

void request_table::retry_or_finish(entry_map::iterator item, const request_result& result, time_point now,
                                    command_list& out) {
    entry& request = item->second;
    const bool is_safe_to_retry =
        result.outcome == protocol::NOT_RUN ||
        (result.outcome == protocol::UNKNOWN &&
         (request.incoming.spec.idempotent() || !settings_.safeguard.unknown_not_retried));
    const bool is_still_wanted =
        request.phase != request_phase::cancelling && !request.has_caller_disconnected;
    const bool is_before_deadline = now < request.incoming.deadline;
    const bool has_attempts_left = request.attempt < settings_.attempt_limit;
    if (!is_safe_to_retry || !is_still_wanted || !is_before_deadline || !has_attempts_left ||
        request.next_offset > 0) {
        request_result final_result = result;
        if (request.phase == request_phase::cancelling && result.outcome != protocol::DONE) {
            final_result.why = request.cancel_reason;
        }
        finish(item, std::move(final_result), now, out);
        return;
    }
    log_(event::request_retried,
         fmt::format("request={} attempt={} server={} cause=\"{}\"", item->first.text(), request.attempt,
                     request.server.text(), result.why.text()));
    const bool is_unknown = result.outcome == protocol::UNKNOWN;
    if (is_unknown && request.phase == request_phase::forwarded) {
        send_cancel(request, item->first, out);
    }
    request.owner = instance_name{}; // Messages of this attempt are ignored from now on.
    wait_for_route(request, result.why, is_unknown ? duration{crash_retry_delay} : duration{retry_delay},
                   now);
    request.has_unknown_attempt = request.has_unknown_attempt || is_unknown;
}

void request_table::send_cancel(const entry& item, const request_id& id, command_list& out) const {
    protocol::Envelope message;
    auto* cancellation = message.mutable_cancel();
    cancellation->set_request(id.text());
    cancellation->set_attempt(item.attempt);
    cancellation->set_server(item.server.text());
    out.emplace_back(send_to_peer{item.owner, std::move(message)});
}

void request_table::cancel(entry_map::iterator item, const error& why, time_point now, command_list& out) {
    entry& request = item->second;
    if (request.phase == request_phase::cancelling) {
        return;
    }
    if (request.phase != request_phase::forwarded) {
        finish(item, not_run(why), now, out);
        return;
    }
    request.phase = request_phase::cancelling;
    request.cancelled_at = now;
    request.cancel_reason = why;
    log_(event::request_cancelled,
         fmt::format("request={} attempt={} server={} cause=\"{}\"", item->first.text(), request.attempt,
                     request.server.text(), why.text()));
    send_cancel(request, item->first, out);
}

void request_table::on_caller_disconnected(const request_id& id, time_point now, command_list& out) {
    const auto item = entries_.find(id);
    if (item == entries_.end()) {
        return;
    }
    item->second.has_caller_disconnected = true;
    if (item->second.phase == request_phase::plain) {
        return; // The call continues, as its outcome decides whether the claim is kept.
    }
    cancel(item, {"entry.caller", "", "the caller left"}, now, out);
}

void request_table::on_tokens_delivered(const request_id& id, std::uint32_t tokens, command_list& out) {
    const auto item = entries_.find(id);
    if (item == entries_.end() || item->second.phase != request_phase::forwarded) {
        return;
    }
    item->second.uncredited_tokens += tokens;
    if (item->second.uncredited_tokens * 2 >= settings_.credit_window) {
        send_credit(item->second, id, std::exchange(item->second.uncredited_tokens, 0), out);
    }
}

void request_table::send_credit(const entry& item, const request_id& id, std::uint32_t tokens,
                                command_list& out) const {
    protocol::Envelope message;
    auto* credit = message.mutable_credit();
    credit->set_request(id.text());
    credit->set_attempt(item.attempt);
    credit->set_server(item.server.text());
    credit->set_tokens(tokens);
    out.emplace_back(send_to_peer{item.owner, std::move(message)});
}

void request_table::log_finished(const request_id& id, const entry& item, std::string_view outcome,
                                 const error& why, time_point now) const {
    log_(event::request_finished,
         fmt::format("request={} outcome={} attempts={} tokens={} ms={} why=\"{}\"", id.text(), outcome,
                     item.attempt, item.next_offset,
                     std::chrono::duration_cast<milliseconds>(now - item.accepted_at).count(), why.text()));
}

std::size_t request_table::cut_all(const error& why, time_point now) {
    for (const auto& [id, request] : entries_) {
        log_finished(id, request, "cut_by_stop", why, now);
    }
    return std::exchange(entries_, {}).size();
}

void request_table::finish(entry_map::iterator item, request_result result, time_point now,
                           command_list& out) {
    const entry& request = item->second;
    if (result.outcome == protocol::NOT_RUN && request.has_unknown_attempt) {
        result.outcome = protocol::UNKNOWN; // An earlier attempt may have run.
    }
    if (request.claim_version) {
        finalize_claim(request, result.outcome, now, out);
    }
    log_finished(item->first, request, protocol::Outcome_Name(result.outcome), result.why, now);
    out.emplace_back(finish_request{item->first, std::move(result)});
    entries_.erase(item);
}

void request_table::on_tick(time_point now, command_list& out) {
    std::vector<request_id> due_requests;
    for (const auto& [id, request] : entries_) {
        const bool is_ending = now >= request.incoming.deadline || request.phase == request_phase::cancelling;
        const bool is_waiting =
            request.phase == request_phase::unrouted || request.phase == request_phase::claiming;
        if (is_ending || (is_waiting && now >= request.retry_at) ||
            request.phase == request_phase::claiming) {
            due_requests.push_back(id);
        }
    }
    for (const request_id& id : due_requests) {
        const auto item = entries_.find(id);
        entry& request = item->second;
        const bool is_claim_late =
            request.phase == request_phase::claiming && now - request.accepted_at >= settings_.claim_limit;
        if (request.phase == request_phase::cancelling) {
            if (now - request.cancelled_at >= settings_.cancel_grace) {
                finish(item, {protocol::UNKNOWN, request.cancel_reason, milliseconds{0}, false}, now, out);
            }
        } else if (is_claim_late) {
            schedule_release(claim_name(request.incoming), id, now);
            finish(item, not_run({"entry.claim", "platform", "no answer to the claim"}), now, out);
        } else if (request.phase == request_phase::plain) {
            continue; // The call to the plain service has its own timeout.
        } else if (now >= request.incoming.deadline) {
            if (request.phase == request_phase::claiming) {
                schedule_release(claim_name(request.incoming), id, now);
            }
            cancel(item, {"entry.deadline", "", "the deadline passed"}, now, out);
        } else if (request.phase == request_phase::claiming && request.retry_at != time_point{} &&
                   now >= request.retry_at) {
            read_claim(id, claim_name(request.incoming), out);
        } else if (request.phase == request_phase::unrouted &&
                   now - request.unrouted_since >= settings_.unrouted_limit) {
            finish(item, not_run(request.last_reason), now, out);
        } else if (request.phase == request_phase::unrouted && now >= request.retry_at) {
            start(item, now, out);
        }
    }
    for (auto release = releases_.begin(); release != releases_.end();) {
        if (now >= release->second.expires_at) {
            release = releases_.erase(release);
            continue;
        }
        if (now >= release->second.next_attempt_at) {
            release->second.next_attempt_at = now + release_retry_interval;
            try_release(release->first, release->second.request, out);
        }
        ++release;
    }
}

} // namespace lovageledge
