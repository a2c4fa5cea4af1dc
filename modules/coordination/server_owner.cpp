#include "lovageledge/coordination/server_owner.hpp"

#include <algorithm>
#include <cassert>
#include <spdlog/fmt/fmt.h>

namespace lovageledge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/** A new sample changes a running mean by 1/mean_window of its difference. */
constexpr int mean_window = 8;
constexpr auto budget_repeat_interval = milliseconds{500};
/** Interval of status probes, which detect engine restarts and silent connections. */
constexpr auto probe_interval = milliseconds{1000};
/** A gap between ticks of at least this length counts as a pause of the process. */
constexpr auto process_pause_threshold = milliseconds{1000};
constexpr auto unreachable_probe_interval = milliseconds{200};
/** A load that finds no free slot for this long after its grant releases the grant. */
constexpr auto grant_hold_limit = milliseconds{1000};
/** Importance at which settings.length_weight applies unscaled. */
constexpr std::uint32_t reference_importance = 50;
/** A request that needs an exclusive run waits this long before the admission of others stops for it. */
constexpr auto exclusive_wait_limit = milliseconds{500};
/** A connection that broke at most this long before a restart is detected counts as broken by it. */
constexpr auto crash_attribution_window = milliseconds{5000};

/** Each such period that a request has waited adds its importance to the load's weight once more. */
constexpr auto waiting_weight_period = milliseconds{500};

std::uint32_t waiting_weight(duration waited) {
    return 1 + static_cast<std::uint32_t>(waited / waiting_weight_period);
}

duration updated_mean(duration mean, duration sample) {
    return mean + (sample - mean) / mean_window;
}

} // namespace

server_owner::server_owner(backend_server server, bool has_fencing, const instance_identity& self,
                           const coordination_settings& settings, const event_log& log)
    : server_{std::move(server)},
      has_fencing_{has_fencing}, self_{self}, settings_{settings}, log_{log}, slots_{server_.slots} {}

void server_owner::begin(std::uint64_t epoch, std::vector<protocol::Holder> former_holders, time_point now,
                         command_list& out) {
    epoch_ = epoch;
    former_holders_ = std::move(former_holders);
    has_fenced_engine_ = false;
    is_admitting_ = true;
    may_evict_ = true;
    is_reachable_ = false;
    last_tick_ = now;
    start_ = start_id{};
    slots_.reset({}, false, now);
    slots_.set_recorded_intents({});
    pending_intents_.reset();
    load_requests_.clear();
    increment_generation();
    out.emplace_back(probe_server{server_.name, server_.address, true});
}

void server_owner::set_former_holders(std::vector<protocol::Holder> former_holders, time_point now) {
    former_holders_ = std::move(former_holders);
    if (former_holders_.empty()) {
        slots_.clear_inherited();
    }
    update_blocked_adapters(now);
}

void server_owner::stop_admission(const std::string& reason, command_list& out) {
    is_admitting_ = false;
    may_evict_ = false;
    for (const waiting_request& request : waiting_) {
        refuse(request, reason, out);
    }
    waiting_.clear();
    for (const auto& [key, load] : load_requests_) {
        if (load.phase != load_phase::backing_off) {
            actions_.budget_releases.push_back(key);
        }
    }
    load_requests_.clear();
    increment_generation();
}

void server_owner::resume_admission() {
    is_admitting_ = true;
    may_evict_ = true;
    increment_generation();
}

void server_owner::send(const instance_name& to, protocol::Envelope message, command_list& out) const {
    out.emplace_back(send_to_peer{to, std::move(message)});
}

void server_owner::refuse(const waiting_request& request, const std::string& reason, command_list& out) {
    protocol::Envelope message;
    auto* refused = message.mutable_refused();
    refused->set_request(request.id.request.text());
    refused->set_attempt(request.id.attempt);
    refused->set_step(is_admitting_ && is_reachable_ ? "owner.queue" : "owner.ownership");
    refused->set_reason(reason);
    send(request.from, std::move(message), out);
    log_(event::request_refused,
         fmt::format("request={} attempt={} server={} reason=\"{}\"", request.id.request.text(),
                     request.id.attempt, server_.name.text(), reason));
}

duration server_owner::priority_delay_of(const protocol::RequestSpec& spec) const {
    const double length =
        static_cast<double>(spec.max_tokens()) * static_cast<double>(mean_token_time_.count());
    const double importance = std::max<std::uint32_t>(spec.importance(), 1);
    const double weight = settings_.length_weight * reference_importance / importance;
    return duration{static_cast<duration::rep>(length * weight)};
}

void server_owner::on_submit(const instance_name& from, const protocol::Submit& submit,
                             const configuration& config, time_point now, command_list& out) {
    const protocol::RequestSpec& spec = submit.spec();
    waiting_request request{
        from, {request_id{spec.id()}, submit.attempt()}, adapter_key{spec.adapter()}, spec,
        now,  now + milliseconds{spec.remaining_ms()},   priority_delay_of(spec)};
    const bool is_repeated =
        running_.contains(request.id) ||
        std::any_of(waiting_.begin(), waiting_.end(), [&](const auto& w) { return w.id == request.id; });
    if (is_repeated) {
        return;
    }
    const bool is_leaving = leaving_start_ && *leaving_start_ == start_;
    if (!is_admitting_ || is_leaving || !is_reachable_) {
        refuse(request, is_leaving ? "server is leaving" : "server is not served here", out);
        return;
    }
    if (!slots_.is_usable(request.key) && !config.adapters.contains(request.key)) {
        refuse(request, "version is retired", out);
        return;
    }
    if (estimated_wait() > milliseconds{spec.remaining_ms()}) {
        refuse(request, "would miss its deadline", out);
        return;
    }
    waiting_.push_back(std::move(request));
    if (waiting_.size() > settings_.queue_limit) {
        const auto least_important =
            std::min_element(waiting_.begin(), waiting_.end(), [](const auto& a, const auto& b) {
                return a.spec.importance() < b.spec.importance() ||
                       (a.spec.importance() == b.spec.importance() && a.arrived > b.arrived);
            });
        refuse(*least_important, "queue is full", out);
        waiting_.erase(least_important);
    }
    schedule(config, now, out);
}

void server_owner::on_cancel(const attempt_id& id, command_list& out) {
    const auto waiting =
        std::find_if(waiting_.begin(), waiting_.end(), [&](const auto& w) { return w.id == id; });
    if (waiting != waiting_.end()) {
        refuse(*waiting, "cancelled while waiting", out);
        waiting_.erase(waiting);
        return;
    }
    const auto running = running_.find(id);
    if (running != running_.end() && !running->second.is_cancelled) {
        running->second.is_cancelled = true;
        out.emplace_back(cancel_dispatch{id});
    }
}

void server_owner::on_credit(const attempt_id& id, std::uint32_t tokens, command_list& out) {
    if (running_.contains(id)) {
        out.emplace_back(extend_credit{id, tokens});
    }
}

void server_owner::on_progress(const attempt_id& id, std::uint32_t offset, std::vector<std::string> tokens,
                               time_point now, command_list& out) {
    const auto running = running_.find(id);
    if (running == running_.end()) {
        return;
    }
    running_request& request = running->second;
    if (request.sent_tokens == 0) {
        mean_first_token_time_ = updated_mean(mean_first_token_time_, now - request.started);
    } else {
        const auto count = static_cast<duration::rep>(std::max<std::size_t>(tokens.size(), 1));
        mean_token_time_ = updated_mean(mean_token_time_, (now - request.last_token) / count);
    }
    request.last_token = now;
    request.sent_tokens += static_cast<std::uint32_t>(tokens.size());
    protocol::Envelope message;
    auto* progress = message.mutable_progress();
    progress->set_request(id.request.text());
    progress->set_attempt(id.attempt);
    progress->set_offset(offset);
    for (std::string& token : tokens) {
        progress->add_tokens(std::move(token));
    }
    send(request.from, std::move(message), out);
}

void server_owner::on_ended(const attempt_id& id, const request_result& result, std::uint32_t tokens,
                            const configuration& config, time_point now, command_list& out) {
    const auto running = running_.find(id);
    if (running == running_.end()) {
        return;
    }
    const running_request request = running->second;
    running_.erase(running);
    if (request.is_exclusive) {
        last_exclusive_end_ = now;
    }
    if (request.expected_tokens < settings_.long_tokens) {
        mean_short_tokens_ +=
            (static_cast<duration::rep>(request.expected_tokens) - mean_short_tokens_) / mean_window;
    }
    const bool may_still_run = result.outcome == protocol::UNKNOWN && request.holds_slot;
    if (may_still_run) {
        possibly_running_.emplace(id, request.key);
        out.emplace_back(confirm_dispatch_ended{server_.name, server_.address, start_, id});
    } else if (request.holds_slot) {
        slots_.release(request.key, now);
    }
    if (result.outcome == protocol::DONE && suspects_.contains(request.fingerprint)) {
        cleared_fingerprints_.push_back(request.fingerprint);
    }
    if (result.outcome == protocol::UNKNOWN) {
        std::erase_if(recent_disconnects_,
                      [&](const auto& entry) { return now - entry.second > crash_attribution_window; });
        recent_disconnects_.emplace_back(request.fingerprint, now);
        // If an engine restart broke the connection, it must be known before the request is retried.
        out.emplace_back(probe_server{server_.name, server_.address, false});
    }
    protocol::Envelope message;
    auto* ended = message.mutable_ended();
    ended->set_request(id.request.text());
    ended->set_attempt(id.attempt);
    ended->set_outcome(result.outcome);
    ended->set_tokens(tokens);
    ended->set_step(result.why.step);
    ended->set_reason(result.why.reason);
    send(request.from, std::move(message), out);
    schedule(config, now, out);
}

void server_owner::on_released(const attempt_id& id, const configuration& config, time_point now,
                               command_list& out) {
    const auto unconfirmed = possibly_running_.find(id);
    if (unconfirmed == possibly_running_.end()) {
        return;
    }
    slots_.release(unconfirmed->second, now);
    possibly_running_.erase(unconfirmed);
    schedule(config, now, out);
}

void server_owner::on_status(const start_id& start, const std::vector<adapter_key>& loaded,
                             const configuration& config, time_point now, command_list& out) {
    const bool is_new_start = start != start_;
    if (is_new_start) {
        const bool is_restart = !start_.is_empty();
        if (is_restart) {
            for (auto& [id, request] : running_) {
                request.holds_slot = false;
                crashed_requests_.push_back({request.fingerprint, start_});
            }
            for (const auto& [fingerprint, since] : recent_disconnects_) {
                if (now - since <= crash_attribution_window) {
                    crashed_requests_.push_back({fingerprint, start_});
                }
            }
            recent_disconnects_.clear();
        }
        start_ = start;
        has_fenced_engine_ = false;
        possibly_running_.clear();
        open_order_.reset();
        uncertain_until_.clear();
        slots_.reset({}, false, now);
        slots_.set_recorded_intents({});
        pending_intents_.reset();
        for (auto& [key, load] : load_requests_) {
            if (load.phase == load_phase::ordered) {
                actions_.budget_releases.push_back(key);
                load = {load_phase::backing_off, load.requested_at, now, load.failures};
            }
        }
        log_(event::server_ready, fmt::format("server={} start={} loaded={} epoch={}", server_.name.text(),
                                              start.text(), loaded.size(), epoch_));
    }
    is_reachable_ = true;
    std::vector<adapter_key> unknown_adapters;
    for (const adapter_key& key : loaded) {
        if (slots_.find(key) == nullptr) {
            unknown_adapters.push_back(key);
        }
    }
    if (!is_new_start && !open_order_) {
        // Frees the slots that the engine no longer reports. Unknown adapters are added below.
        std::vector<adapter_key> known_adapters;
        std::copy_if(loaded.begin(), loaded.end(), std::back_inserter(known_adapters),
                     [&](const auto& key) { return slots_.find(key) != nullptr; });
        slots_.reconcile(known_adapters);
    }
    unconfirmed_adapters_ = std::move(unknown_adapters);
    if (!unconfirmed_adapters_.empty()) {
        actions_.confirmation_ticket = ++confirmation_ticket_;
    }
    if (!unconfirmed_adapters_.empty() && !settings_.safeguard.adopt_after_confirmation) {
        add_unconfirmed_adapters(now);
    }
    update_blocked_adapters(now);
    increment_generation();
    schedule(config, now, out);
}

void server_owner::on_unreachable(time_point now, command_list& out) {
    if (is_reachable_) {
        log_(event::server_lost, fmt::format("server={} start={}", server_.name.text(), start_.text()));
    }
    is_reachable_ = false;
    if (open_order_ && open_order_->is_load) {
        // The next status report shows whether the load took effect; the adapter then becomes usable only
        // after the ownership is confirmed.
        slots_.end_load(open_order_->key, false, now);
        actions_.budget_releases.push_back(open_order_->key);
        load_requests_.erase(open_order_->key);
    } else if (open_order_) {
        mark_uncertain(open_order_->key, now);
    }
    open_order_.reset();
    for (const waiting_request& request : waiting_) {
        refuse(request, "server is unreachable", out);
    }
    waiting_.clear();
    increment_generation();
}

void server_owner::mark_uncertain(const adapter_key& key, time_point now) {
    slots_.set_uncertain(key);
    if (settings_.safeguard.uncertain_hold) {
        uncertain_until_[key] = now + settings_.uncertain_hold;
    }
    log_(event::adapter_uncertain, fmt::format("server={} adapter={}", server_.name.text(), key.text()));
    update_blocked_adapters(now);
}

void server_owner::update_blocked_adapters(time_point now) {
    std::set<adapter_key> blocked_adapters;
    std::erase_if(uncertain_until_, [&](const auto& entry) { return entry.second <= now; });
    for (const auto& [key, until] : uncertain_until_) {
        blocked_adapters.insert(key);
    }
    const bool are_former_holders_fenced = has_fencing_ && has_fenced_engine_;
    for (const protocol::Holder& holder : former_holders_) {
        const bool is_other_start = holder.server_start() != start_.text();
        if (are_former_holders_fenced || is_other_start || !settings_.safeguard.evict_intents) {
            continue;
        }
        for (const std::string& key : holder.intents()) {
            blocked_adapters.insert(adapter_key{key});
        }
    }
    if (blocked_adapters != slots_.blocked_adapters()) {
        slots_.set_blocked_adapters(std::move(blocked_adapters));
        increment_generation();
    }
}

void server_owner::on_load_answer(const adapter_key& key, order_result result, const configuration& config,
                                  time_point now, command_list& out) {
    if (!open_order_ || open_order_->key != key || !open_order_->is_load) {
        return; // Answer from a former engine start or connection.
    }
    if (result == order_result::no_answer) {
        on_unreachable(now, out);
        out.emplace_back(probe_server{server_.name, server_.address, true});
        return;
    }
    open_order_.reset();
    actions_.budget_releases.push_back(key);
    const bool is_loaded = result == order_result::done;
    slots_.end_load(key, is_loaded, now);
    if (is_loaded) {
        has_fenced_engine_ = true;
        mean_load_delay_ = updated_mean(mean_load_delay_, now - load_requests_[key].requested_at);
        load_requests_.erase(key);
        update_blocked_adapters(now);
    } else {
        load_request& load = load_requests_[key];
        ++load.failures;
        load.phase = load_phase::backing_off;
        load.phase_since = now;
        log_(event::adapter_load_failed,
             fmt::format("server={} adapter={} failures={} answer={}", server_.name.text(), key.text(),
                         load.failures, static_cast<int>(result)));
        if (result == order_result::already_loaded || result == order_result::no_slot) {
            out.emplace_back(probe_server{server_.name, server_.address, false});
        }
    }
    increment_generation();
    schedule(config, now, out);
}

void server_owner::on_unload_answer(const adapter_key& key, order_result result, const configuration& config,
                                    time_point now, command_list& out) {
    if (!open_order_ || open_order_->key != key || open_order_->is_load) {
        return;
    }
    if (result == order_result::no_answer) {
        on_unreachable(now, out);
        out.emplace_back(probe_server{server_.name, server_.address, true});
        return;
    }
    open_order_.reset();
    has_fenced_engine_ = has_fenced_engine_ || result == order_result::done;
    slots_.end_unload(key, result == order_result::done);
    update_blocked_adapters(now);
    increment_generation();
    schedule(config, now, out);
}

void server_owner::on_budget_grant(const adapter_key& key, const configuration& config, time_point now,
                                   command_list& out) {
    const auto load = load_requests_.find(key);
    if (load == load_requests_.end() || load->second.phase != load_phase::requesting_budget) {
        if (load == load_requests_.end()) {
            actions_.budget_releases.push_back(key);
        }
        return;
    }
    load->second.phase = load_phase::granted;
    load->second.phase_since = now;
    schedule(config, now, out);
}

void server_owner::on_recorded(const std::set<adapter_key>& intents, const start_id& recorded_start,
                               std::uint64_t ticket, const configuration& config, time_point now,
                               command_list& out) {
    pending_intents_.reset();
    if (recorded_start == start_ && may_evict_) {
        slots_.set_recorded_intents(intents);
    }
    if (ticket >= confirmation_ticket_) {
        add_unconfirmed_adapters(now);
    }
    schedule(config, now, out);
}

void server_owner::add_unconfirmed_adapters(time_point now) {
    const bool is_inherited = !former_holders_.empty() && settings_.safeguard.inherited_hold;
    for (const adapter_key& key : unconfirmed_adapters_) {
        slots_.add_loaded(key, is_inherited, now);
    }
    unconfirmed_adapters_.clear();
    increment_generation();
}

void server_owner::set_leaving(const start_id& start, command_list& out) {
    leaving_start_ = start;
    if (start != start_) {
        return;
    }
    for (const waiting_request& request : waiting_) {
        refuse(request, "server is leaving", out);
    }
    waiting_.clear();
    increment_generation();
}

void server_owner::on_tick(const configuration& config, time_point now, command_list& out) {
    if (now - last_tick_ >= process_pause_threshold) {
        pause_hold_until_ = now + 2 * settings_.heartbeat_interval;
    }
    last_tick_ = now;
    for (auto request = waiting_.begin(); request != waiting_.end();) {
        if (request->deadline > now) {
            ++request;
            continue;
        }
        refuse(*request, "deadline passed while waiting", out);
        request = waiting_.erase(request);
    }
    update_blocked_adapters(now);
    if (!is_reachable_) {
        if (is_admitting_ && now - last_probe_ >= unreachable_probe_interval) {
            last_probe_ = now;
            out.emplace_back(probe_server{server_.name, server_.address, true});
        }
        return;
    }
    if (!unconfirmed_adapters_.empty()) {
        actions_.confirmation_ticket = confirmation_ticket_;
    }
    if (now - last_probe_ >= probe_interval) {
        last_probe_ = now;
        out.emplace_back(probe_server{server_.name, server_.address, false});
    }
    schedule(config, now, out);
}

void server_owner::schedule(const configuration& config, time_point now, command_list& out) {
    admit_waiting(now, out);
    if (!is_admitting_ || !is_reachable_) {
        return;
    }
    update_load_requests(now);
    order_next_load(config, now, out);
    update_eviction_intents(now);
}

std::uint32_t server_owner::long_request_count() const {
    return static_cast<std::uint32_t>(std::count_if(running_.begin(), running_.end(), [&](const auto& entry) {
        return entry.second.expected_tokens >= settings_.long_tokens;
    }));
}

bool server_owner::is_held_after_pause(time_point now) const {
    return now - last_tick_ >= process_pause_threshold || now < pause_hold_until_;
}

bool server_owner::has_exclusive_request() const {
    return std::any_of(running_.begin(), running_.end(),
                       [](const auto& entry) { return entry.second.is_exclusive; });
}

bool server_owner::may_admit(const waiting_request& request) const {
    if (!slots_.is_usable(request.key) || running_.size() >= server_.batch) {
        return false;
    }
    const bool needs_exclusive_run = suspects_.contains(request.spec.fingerprint());
    if (needs_exclusive_run && !running_.empty()) {
        return false;
    }
    const bool is_long = request.spec.max_tokens() >= settings_.long_tokens;
    const auto long_limit = std::max(1U, static_cast<std::uint32_t>(server_.batch * settings_.long_share));
    return !is_long || long_request_count() < long_limit;
}

void server_owner::admit_waiting(time_point now, command_list& out) {
    if (!is_reachable_ || waiting_.empty() || is_held_after_pause(now)) {
        return;
    }
    const bool drains_for_exclusive_run =
        std::any_of(waiting_.begin(), waiting_.end(), [&](const auto& request) {
            return suspects_.contains(request.spec.fingerprint()) &&
                   now - std::max(request.arrived, last_exclusive_end_) >= exclusive_wait_limit;
        });
    while (running_.size() < server_.batch && !has_exclusive_request()) {
        auto best = waiting_.end();
        for (auto request = waiting_.begin(); request != waiting_.end(); ++request) {
            const bool is_better = best == waiting_.end() || request->arrived + request->priority_delay <
                                                                 best->arrived + best->priority_delay;
            const bool is_held_back =
                drains_for_exclusive_run && !suspects_.contains(request->spec.fingerprint());
            if (is_better && !is_held_back && may_admit(*request)) {
                best = request;
            }
        }
        if (best == waiting_.end()) {
            return;
        }
        admit(best, now, out);
    }
}

void server_owner::admit(const std::deque<waiting_request>::iterator& request, time_point now,
                         command_list& out) {
    slots_.acquire(request->key, now);
    running_request running;
    running.from = request->from;
    running.key = request->key;
    running.fingerprint = request->spec.fingerprint();
    running.expected_tokens = request->spec.max_tokens();
    running.started = now;
    running.last_token = now;
    running.is_exclusive = suspects_.contains(running.fingerprint);
    running_.emplace(request->id, std::move(running));
    out.emplace_back(
        dispatch_request{server_.name, server_.address, start_, request->id, std::move(request->spec), now});
    waiting_.erase(request);
}

std::set<adapter_key> server_owner::waiting_adapters() const {
    std::set<adapter_key> keys;
    for (const waiting_request& request : waiting_) {
        keys.insert(request.key);
    }
    return keys;
}

void server_owner::update_load_requests(time_point now) {
    std::unordered_map<adapter_key, std::uint32_t> weights;
    for (const waiting_request& request : waiting_) {
        if (slots_.find(request.key) == nullptr && !slots_.blocked_adapters().contains(request.key)) {
            weights[request.key] += request.spec.importance() * waiting_weight(now - request.arrived);
        }
    }
    for (auto load = load_requests_.begin(); load != load_requests_.end();) {
        const bool is_wanted = weights.contains(load->first) || load->second.phase == load_phase::ordered;
        const bool is_backing_off = load->second.phase == load_phase::backing_off;
        if (is_wanted || is_backing_off) {
            ++load;
            continue;
        }
        actions_.budget_releases.push_back(load->first);
        load = load_requests_.erase(load);
    }
    for (const auto& [key, weight] : weights) {
        auto [load, is_new] =
            load_requests_.try_emplace(key, load_request{load_phase::requesting_budget, now, now, 0});
        load_request& pending_load = load->second;
        const auto backoff = std::min<duration>(settings_.load_backoff *
                                                    (1 << std::min<std::uint32_t>(pending_load.failures, 8)),
                                                settings_.load_backoff_limit);
        const bool has_backoff_elapsed =
            pending_load.phase == load_phase::backing_off && now - pending_load.phase_since >= backoff;
        const bool is_repeat = pending_load.phase == load_phase::requesting_budget &&
                               now - pending_load.phase_since >= budget_repeat_interval;
        const bool has_grant_expired =
            pending_load.phase == load_phase::granted && now - pending_load.phase_since >= grant_hold_limit;
        if (has_grant_expired) {
            actions_.budget_releases.push_back(key);
        }
        if (is_new || has_backoff_elapsed || is_repeat || has_grant_expired) {
            pending_load.phase = load_phase::requesting_budget;
            pending_load.phase_since = now;
            actions_.budget_requests.emplace_back(key, weight);
        }
    }
}

void server_owner::order_next_load(const configuration& config, time_point now, command_list& out) {
    if (open_order_ || is_held_after_pause(now)) {
        return;
    }
    const adapter_key* oldest = nullptr;
    for (const auto& [key, load] : load_requests_) {
        const bool is_candidate = load.phase == load_phase::granted && config.adapters.contains(key);
        if (is_candidate &&
            (oldest == nullptr || load.requested_at < load_requests_.at(*oldest).requested_at)) {
            oldest = &key;
        }
    }
    if (oldest == nullptr) {
        return;
    }
    const adapter_key key = *oldest;
    if (slots_.begin_load(key)) {
        load_requests_.at(key).phase = load_phase::ordered;
        open_order_ = open_order{key, true, now};
        out.emplace_back(order_load{server_.name, key, config.adapters.at(key).weights_path, epoch_});
        log_(event::adapter_load_ordered,
             fmt::format("server={} adapter={} epoch={} waiting={}", server_.name.text(), key.text(), epoch_,
                         waiting_.size()));
        return;
    }
    const auto eviction_victim = slots_.eviction_candidate(waiting_adapters());
    const bool is_idle =
        eviction_victim && now - slots_.find(*eviction_victim)->last_use >= settings_.eviction_idle;
    if (slots_.is_full() && may_evict_ && is_idle && slots_.begin_unload(*eviction_victim)) {
        open_order_ = open_order{*eviction_victim, false, now};
        out.emplace_back(order_unload{server_.name, *eviction_victim, epoch_});
        log_(event::adapter_evict_ordered,
             fmt::format("server={} adapter={} epoch={} for={}", server_.name.text(), eviction_victim->text(),
                         epoch_, key.text()));
        increment_generation();
    }
}

void server_owner::update_eviction_intents(time_point now) {
    if (!may_evict_ || !slots_.is_full() || pending_intents_) {
        return;
    }
    if (!settings_.safeguard.evict_intents) {
        const auto all = slots_.least_recently_used_idle(server_.slots);
        slots_.set_recorded_intents({all.begin(), all.end()});
        return;
    }
    const auto& recorded = slots_.recorded_intents();
    const auto idle_intents = std::count_if(recorded.begin(), recorded.end(), [&](const adapter_key& key) {
        const slot* entry = slots_.find(key);
        return entry != nullptr && entry->state == slot_state::loaded && entry->active_requests == 0 &&
               !entry->is_inherited;
    });
    if (idle_intents > 0) {
        return;
    }
    std::set<adapter_key> new_intents;
    for (const adapter_key& key : slots_.least_recently_used_idle(settings_.standby_intents)) {
        if (now - slots_.find(key)->last_use >= settings_.eviction_idle) {
            new_intents.insert(key);
        }
    }
    if (open_order_ && !open_order_->is_load) {
        new_intents.insert(open_order_->key);
    }
    // While the write is in progress the record may hold either set, so the new set keeps the old intents and
    // only the intents common to both may be used.
    for (const adapter_key& key : recorded) {
        if (new_intents.size() < std::size_t{settings_.standby_intents} * 3 && slots_.find(key) != nullptr) {
            new_intents.insert(key);
        }
    }
    if (new_intents.empty() || new_intents == recorded) {
        return;
    }
    std::set<adapter_key> retained;
    std::set_intersection(recorded.begin(), recorded.end(), new_intents.begin(), new_intents.end(),
                          std::inserter(retained, retained.end()));
    slots_.set_recorded_intents(std::move(retained));
    pending_intents_ = new_intents;
    actions_.intents = std::move(new_intents);
}

void server_owner::increment_generation() {
    ++generation_;
}

duration server_owner::estimated_wait() const {
    if (waiting_.empty() && running_.size() < server_.batch) {
        return mean_first_token_time_;
    }
    // Assumes that long requests keep their batch places and the others free theirs after the mean duration
    // of a short request.
    const std::uint32_t short_request_places =
        std::max(1U, server_.batch - std::min(server_.batch, long_request_count()));
    const auto ahead = static_cast<duration::rep>(waiting_.size()) + 1;
    return mean_first_token_time_ +
           mean_token_time_ * mean_short_tokens_ * ahead / static_cast<duration::rep>(short_request_places);
}

duration server_owner::estimated_load() const {
    const auto pending_load_count = static_cast<duration::rep>(load_requests_.size());
    return std::max<duration>(settings_.load_time, mean_load_delay_) +
           settings_.load_time * pending_load_count;
}

server_load server_owner::load() const {
    const bool is_leaving = leaving_start_ && *leaving_start_ == start_;
    return {start_,
            static_cast<std::uint32_t>(running_.size()),
            static_cast<std::uint32_t>(waiting_.size()),
            estimated_wait(),
            estimated_load(),
            is_admitting_ && is_reachable_ && !is_leaving,
            generation_};
}

owner_actions server_owner::take_actions() {
    return std::exchange(actions_, {});
}

std::vector<server_owner::crashed_request> server_owner::take_crashed_requests() {
    return std::exchange(crashed_requests_, {});
}

std::vector<std::string> server_owner::take_cleared_fingerprints() {
    return std::exchange(cleared_fingerprints_, {});
}

} // namespace lovageledge
