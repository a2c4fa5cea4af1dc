#include "lovageledge/coordination/request_table.hpp"

#include <algorithm>
#include <cassert>
#include <spdlog/fmt/fmt.h>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;

constexpr auto retry_pause = milliseconds{20};
/** Longer than an owner needs to notice its engine's restart and to tell its peers who ran there. */
constexpr auto crash_pause = milliseconds{600};
constexpr auto claim_read_pause = milliseconds{100};
constexpr auto release_pause = milliseconds{1000};
constexpr auto release_limit = std::chrono::minutes{10};
constexpr auto not_run_retry_after = milliseconds{1000};
const std::string claim_kind = "claim";

request_result not_run(error why) {
    return {protocol::NOT_RUN, std::move(why), not_run_retry_after, false};
}

} // namespace

request_table::request_table(const instance_identity& self, const coordination_settings& settings,
                             const event_log& log, platform_calls& calls, hooks actions)
    : self_{self}, settings_{settings}, log_{log}, calls_{calls}, hooks_{std::move(actions)} {}

void request_table::accept(incoming_request ticket, time_point now, command_list& out) {
    const request_id id{ticket.spec.id()};
    auto [item, is_new] = entries_.try_emplace(id);
    assert(is_new);
    entry& fresh = item->second;
    fresh.ticket = std::move(ticket);
    fresh.accepted = now;
    fresh.unrouted_since = now;
    if (hooks_.is_quarantined(fresh.ticket.spec.fingerprint())) {
        finish(item, not_run({"entry.quarantine", "", "this request crashed engines and is quarantined"}),
               now, out);
        return;
    }
    const bool needs_claim = !fresh.ticket.idempotency_key.empty() && settings_.safeguard.claims;
    if (needs_claim) {
        claim(id, now, out);
        return;
    }
    start(item, now, out);
}

std::string request_table::claim_name(const incoming_request& ticket) {
    return sha256_hex(ticket.spec.service() + "\n" + ticket.idempotency_key);
}

std::string request_table::claim_data(const request_id& id, const std::string& state) const {
    protocol::ClaimRecord record;
    record.set_request(id.text());
    record.set_instance(self_.name.text());
    record.set_state(state);
    return to_json(record);
}

void request_table::claim(const request_id& id, time_point /*now*/, command_list& out) {
    const std::string name = claim_name(entries_.at(id).ticket);
    calls_.start(
        {0, platform_operation::put, claim_kind, name, 0, claim_data(id, "running")},
        [this, id, name](const platform_response& answer, time_point when, command_list& commands) {
            on_claim_answer(id, name, answer, when, commands);
        },
        out);
}

void request_table::on_claim_answer(const request_id& id, const std::string& name,
                                    const platform_response& answer, time_point now, command_list& out) {
    const auto item = entries_.find(id);
    const bool is_abandoned = item == entries_.end() || item->second.step != phase::claiming;
    if (is_abandoned) {
        if (answer.status == platform_status::ok || answer.status == platform_status::unavailable) {
            schedule_release(name, id, now);
        }
        return;
    }
    if (answer.status == platform_status::ok) {
        on_claimed(item, answer.version, now, out);
        return;
    }
    if (answer.status == platform_status::conflict) {
        read_claim(id, name, out);
        return;
    }
    item->second.not_before = now + claim_read_pause; // The tick reads it back.
}

void request_table::read_claim(const request_id& id, const std::string& name, command_list& out) {
    entries_.at(id).not_before = time_point::max();
    calls_.start(
        {0, platform_operation::get, claim_kind, name, 0, ""},
        [this, id, name](const platform_response& answer, time_point when, command_list& commands) {
            on_claim_read(id, name, answer, when, commands);
        },
        out);
}

void request_table::on_claim_read(const request_id& id, const std::string& name,
                                  const platform_response& answer, time_point now, command_list& out) {
    const auto item = entries_.find(id);
    if (item == entries_.end() || item->second.step != phase::claiming) {
        schedule_release(name, id, now);
        return;
    }
    if (answer.status == platform_status::not_found) {
        claim(id, now, out);
        return;
    }
    protocol::ClaimRecord record;
    if (answer.status != platform_status::ok || !from_json(answer.data, record)) {
        item->second.not_before = now + claim_read_pause;
        return;
    }
    if (record.request() == id.text()) {
        on_claimed(item, answer.version, now, out);
        return;
    }
    refuse_duplicate(item, record, now, out);
}

void request_table::on_claimed(entry_map::iterator item, std::uint64_t version, time_point now,
                               command_list& out) {
    item->second.claim_version = version;
    item->second.not_before = now;
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
    releases_.try_emplace(name, pending_release{id, now, now + release_limit});
}

void request_table::try_release(const std::string& name, const request_id& id, command_list& out) {
    const auto on_read = [this, name, id](const platform_response& read, time_point /*when*/,
                                          command_list& commands) {
        protocol::ClaimRecord record;
        if (read.status != platform_status::ok || !from_json(read.data, record)) {
            return; // Not there, or no answer: the tick tries again until the limit.
        }
        if (record.request() != id.text()) {
            releases_.erase(name);
            return;
        }
        calls_.start(
            {0, platform_operation::remove, claim_kind, name, read.version, ""},
            [this, name](const platform_response& removed, time_point /*at*/, command_list& /*more*/) {
                if (removed.status == platform_status::ok) {
                    releases_.erase(name);
                }
            },
            commands);
    };
    calls_.start({0, platform_operation::get, claim_kind, name, 0, ""}, on_read, out);
}

void request_table::settle_claim(const entry& item, protocol::Outcome outcome, time_point now,
                                 command_list& out) {
    const request_id id{item.ticket.spec.id()};
    const std::string name = claim_name(item.ticket);
    if (outcome == protocol::NOT_RUN) {
        schedule_release(name, id, now);
        return;
    }
    const std::string state = outcome == protocol::DONE     ? "done"
                              : outcome == protocol::FAILED ? "failed"
                                                            : "unknown";
    // Only for the caller's information: the claim stands whether or not this write succeeds.
    calls_.start(
        {0, platform_operation::put, claim_kind, name, *item.claim_version, claim_data(id, state)},
        [](const platform_response&, time_point, command_list&) {}, out);
}

void request_table::start(entry_map::iterator item, time_point now, command_list& out) {
    entry& request = item->second;
    if (request.ticket.plain_service_address.empty()) {
        forward(item, now, out);
        return;
    }
    request.step = phase::plain;
    ++request.attempt;
    out.emplace_back(call_plain_service{item->first, request.ticket.plain_service_address});
}

void request_table::wait_for_route(entry& item, const error& why, duration pause, time_point now) {
    if (item.step != phase::unrouted) {
        item.unrouted_since = now;
    }
    item.step = phase::unrouted;
    item.last_reason = why;
    item.not_before = now + pause;
}

void request_table::forward(entry_map::iterator item, time_point now, command_list& out) {
    entry& request = item->second;
    if (hooks_.is_quarantined(request.ticket.spec.fingerprint())) {
        finish(item, not_run({"entry.quarantine", "", "this request crashed engines and is quarantined"}),
               now, out);
        return;
    }
    const auto chosen = hooks_.pick(request.ticket.spec, request.excluded);
    if (!chosen) {
        request.excluded.clear();
        wait_for_route(request, {"entry.route", "", "no server of the pool is ready"}, retry_pause, now);
        return;
    }
    ++request.attempt;
    request.step = phase::forwarded;
    request.server = chosen->server;
    request.owner = chosen->owner;
    request.uncredited = 0;
    const auto remaining = std::chrono::duration_cast<milliseconds>(request.ticket.deadline - now);
    request.ticket.spec.set_remaining_ms(
        static_cast<std::uint32_t>(std::max<std::int64_t>(remaining.count(), 1)));
    log_(event::request_routed,
         fmt::format("request={} attempt={} adapter={} server={} owner={} loaded={} remote={} cost_us={}",
                     item->first.text(), request.attempt, request.ticket.spec.adapter(),
                     chosen->server.text(), chosen->owner.text(), chosen->is_loaded, chosen->is_remote,
                     std::chrono::duration_cast<std::chrono::microseconds>(chosen->cost).count()));
    protocol::Envelope message;
    auto* submit = message.mutable_submit();
    *submit->mutable_spec() = request.ticket.spec;
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
        const bool is_repeat = progress.offset() < request.next_offset;
        if (!is_repeat) {
            cancel(item, {"entry.stream", from.text(), "tokens were lost on the way"}, now, out);
        }
        return;
    }
    request.next_offset += static_cast<std::uint32_t>(progress.tokens_size());
    // Also while a cancel is on its way: the answer may still come whole.
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
    const bool is_short = result.outcome == protocol::DONE && ended.tokens() != item->second.next_offset;
    if (is_short) {
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
    if (item != entries_.end() && item->second.step == phase::plain) {
        retry_or_finish(item, result, now, out);
    }
}

void request_table::on_owner_lost(const instance_name& owner, time_point now, command_list& out) {
    std::vector<request_id> affected;
    for (const auto& [id, request] : entries_) {
        const bool is_there = request.step == phase::forwarded || request.step == phase::cancelling;
        if (is_there && request.owner == owner) {
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
    const bool is_safe = result.outcome == protocol::NOT_RUN ||
                         (result.outcome == protocol::UNKNOWN &&
                          (request.ticket.spec.idempotent() || !settings_.safeguard.unknown_not_retried));
    const bool is_wanted = request.step != phase::cancelling && !request.is_caller_gone;
    const bool has_time = now < request.ticket.deadline;
    const bool has_attempts = request.attempt < settings_.attempt_limit;
    if (!is_safe || !is_wanted || !has_time || !has_attempts || request.next_offset > 0) {
        request_result final_result = result;
        if (request.step == phase::cancelling && result.outcome != protocol::DONE) {
            final_result.why = request.cancel_reason;
        }
        finish(item, std::move(final_result), now, out);
        return;
    }
    log_(event::request_retried,
         fmt::format("request={} attempt={} server={} cause=\"{}\"", item->first.text(), request.attempt,
                     request.server.text(), result.why.text()));
    const bool is_unknown = result.outcome == protocol::UNKNOWN;
    if (is_unknown && request.step == phase::forwarded) {
        send_cancel(request, item->first, out);
    }
    request.owner = instance_name{}; // What still comes of this attempt belongs to no answer.
    wait_for_route(request, result.why, is_unknown ? duration{crash_pause} : duration{retry_pause}, now);
    request.has_unknown_attempt = request.has_unknown_attempt || is_unknown;
}

void request_table::send_cancel(const entry& item, const request_id& id, command_list& out) const {
    protocol::Envelope message;
    auto* order = message.mutable_cancel();
    order->set_request(id.text());
    order->set_attempt(item.attempt);
    order->set_server(item.server.text());
    out.emplace_back(send_to_peer{item.owner, std::move(message)});
}

void request_table::cancel(entry_map::iterator item, const error& why, time_point now, command_list& out) {
    entry& request = item->second;
    if (request.step == phase::cancelling) {
        return;
    }
    if (request.step != phase::forwarded) {
        finish(item, not_run(why), now, out);
        return;
    }
    request.step = phase::cancelling;
    request.cancel_since = now;
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
    item->second.is_caller_gone = true;
    if (item->second.step == phase::plain) {
        return; // Its outcome still settles the claim.
    }
    cancel(item, {"entry.caller", "", "the caller left"}, now, out);
}

void request_table::on_tokens_delivered(const request_id& id, std::uint32_t tokens, command_list& out) {
    const auto item = entries_.find(id);
    if (item == entries_.end() || item->second.step != phase::forwarded) {
        return;
    }
    item->second.uncredited += tokens;
    if (item->second.uncredited * 2 >= settings_.credit_window) {
        send_credit(item->second, id, std::exchange(item->second.uncredited, 0), out);
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

void request_table::finish(entry_map::iterator item, request_result result, time_point now,
                           command_list& out) {
    const entry& request = item->second;
    if (result.outcome == protocol::NOT_RUN && request.has_unknown_attempt) {
        result.outcome = protocol::UNKNOWN; // An earlier attempt may have run.
    }
    if (request.claim_version) {
        settle_claim(request, result.outcome, now, out);
    }
    log_(event::request_finished,
         fmt::format("request={} outcome={} attempts={} tokens={} ms={} why=\"{}\"", item->first.text(),
                     protocol::Outcome_Name(result.outcome), request.attempt, request.next_offset,
                     std::chrono::duration_cast<milliseconds>(now - request.accepted).count(),
                     result.why.text()));
    out.emplace_back(finish_request{item->first, std::move(result)});
    entries_.erase(item);
}

void request_table::on_tick(time_point now, command_list& out) {
    std::vector<request_id> due;
    for (const auto& [id, request] : entries_) {
        const bool is_late = now >= request.ticket.deadline || request.step == phase::cancelling;
        const bool waits = request.step == phase::unrouted || request.step == phase::claiming;
        if (is_late || (waits && now >= request.not_before) || request.step == phase::claiming) {
            due.push_back(id);
        }
    }
    for (const request_id& id : due) {
        const auto item = entries_.find(id);
        entry& request = item->second;
        const bool is_claim_late =
            request.step == phase::claiming && now - request.accepted >= settings_.claim_limit;
        if (request.step == phase::cancelling) {
            if (now - request.cancel_since >= settings_.cancel_grace) {
                finish(item, {protocol::UNKNOWN, request.cancel_reason, milliseconds{0}, false}, now, out);
            }
        } else if (is_claim_late) {
            schedule_release(claim_name(request.ticket), id, now);
            finish(item, not_run({"entry.claim", "platform", "no answer to the claim"}), now, out);
        } else if (request.step == phase::plain) {
            continue; // The call has its own timeout.
        } else if (now >= request.ticket.deadline) {
            if (request.step == phase::claiming) {
                schedule_release(claim_name(request.ticket), id, now);
            }
            cancel(item, {"entry.deadline", "", "the deadline passed"}, now, out);
        } else if (request.step == phase::claiming && request.not_before != time_point{} &&
                   now >= request.not_before) {
            read_claim(id, claim_name(request.ticket), out);
        } else if (request.step == phase::unrouted &&
                   now - request.unrouted_since >= settings_.unrouted_limit) {
            finish(item, not_run(request.last_reason), now, out);
        } else if (request.step == phase::unrouted && now >= request.not_before) {
            start(item, now, out);
        }
    }
    for (auto release = releases_.begin(); release != releases_.end();) {
        if (now >= release->second.give_up) {
            release = releases_.erase(release);
            continue;
        }
        if (now >= release->second.next_try) {
            release->second.next_try = now + release_pause;
            try_release(release->first, release->second.request, out);
        }
        ++release;
    }
}

} // namespace lovageledge
