#include "lovageledge/coordination/server_owner.hpp"

#include <algorithm>
#include <cassert>
#include <spdlog/fmt/fmt.h>

namespace lovageledge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/** Weight of a new sample in the running means of token times. */
constexpr int mean_window = 8;
constexpr auto budget_repeat_interval = milliseconds{500};
/** A status is asked for this often; it finds restarts and connections that have gone silent. */
constexpr auto probe_interval = milliseconds{1000};
/** Without a tick for this long, the process was paused. */
constexpr auto pause_limit = milliseconds{1000};
constexpr auto unreachable_probe_interval = milliseconds{200};
/** A granted load that finds no slot for this long gives its grant back. */
constexpr auto grant_hold = milliseconds{1000};
constexpr std::uint32_t reference_importance = 50;
/** A request that must run alone waits this long before others are held back for it. */
constexpr auto lone_run_patience = milliseconds{500};
/** A connection that broke this long before an engine restart was broken by it. */
constexpr auto crash_window = milliseconds{5000};

/** A request counts once more for each of these periods that it has waited. */
constexpr auto weight_period = milliseconds{500};

std::uint32_t waiting_weight(duration waited) {
    return 1 + static_cast<std::uint32_t>(waited / weight_period);
}

duration updated_mean(duration mean, duration sample) {
    return mean + (sample - mean) / mean_window;
}

} // namespace

server_owner::server_owner(backend_server server, bool fencing, const instance_identity& self,
                           const coordination_settings& settings, const event_log& log)
    : server_{std::move(server)},
      has_fencing_{fencing}, self_{self}, settings_{settings}, log_{log}, slots_{server_.slots} {}

void server_owner::begin(std::uint64_t epoch, std::vector<protocol::Holder> former, time_point now,
                         command_list& out) {
    epoch_ = epoch;
    former_ = std::move(former);
    is_fenced_ = false;
    is_admitting_ = true;
    may_evict_ = true;
    is_reachable_ = false;
    last_tick_ = now;
    start_ = start_id{};
    slots_.reset({}, false, now);
    slots_.set_recorded_intents({});
    asked_intents_.reset();
    loads_.clear();
    touch_generation();
    out.emplace_back(probe_server{server_.name, server_.address, true});
}

void server_owner::set_former_holders(std::vector<protocol::Holder> former, time_point now) {
    former_ = std::move(former);
    if (former_.empty()) {
        slots_.clear_inherited();
    }
    update_poisoned(now);
}

void server_owner::stop_admission(const std::string& reason, command_list& out) {
    is_admitting_ = false;
    may_evict_ = false;
    for (const waiting_request& request : waiting_) {
        refuse(request, reason, out);
    }
    waiting_.clear();
    for (const auto& [key, load] : loads_) {
        if (load.step != load_step::backing_off) {
            wishes_.budget_releases.push_back(key);
        }
    }
    loads_.clear();
    touch_generation();
}

void server_owner::resume_admission() {
    is_admitting_ = true;
    may_evict_ = true;
    touch_generation();
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

duration server_owner::rank_of(const protocol::RequestSpec& spec) const {
    const double length = static_cast<double>(spec.max_tokens()) * static_cast<double>(token_time_.count());
    const double importance = std::max<std::uint32_t>(spec.importance(), 1);
    const double weight = settings_.length_weight * reference_importance / importance;
    return duration{static_cast<duration::rep>(length * weight)};
}

void server_owner::on_submit(const instance_name& from, const protocol::Submit& submit,
                             const configuration& config, time_point now, command_list& out) {
    const protocol::RequestSpec& spec = submit.spec();
    waiting_request request{from,
                            {request_id{spec.id()}, submit.attempt()},
                            adapter_key{spec.adapter()},
                            spec,
                            now,
                            now + milliseconds{spec.remaining_ms()},
                            rank_of(spec)};
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
        const auto least =
            std::min_element(waiting_.begin(), waiting_.end(), [](const auto& a, const auto& b) {
                return a.spec.importance() < b.spec.importance() ||
                       (a.spec.importance() == b.spec.importance() && a.arrived > b.arrived);
            });
        refuse(*least, "queue is full", out);
        waiting_.erase(least);
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
        first_token_time_ = updated_mean(first_token_time_, now - request.started);
    } else {
        const auto count = static_cast<duration::rep>(std::max<std::size_t>(tokens.size(), 1));
        token_time_ = updated_mean(token_time_, (now - request.last_token) / count);
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
    if (request.is_alone) {
        last_lone_run_ = now;
    }
    if (request.expected_tokens < settings_.long_tokens) {
        short_tokens_ += (static_cast<duration::rep>(request.expected_tokens) - short_tokens_) / mean_window;
    }
    const bool may_run_still = result.outcome == protocol::UNKNOWN && request.holds_slot;
    if (may_run_still) {
        lingering_.emplace(id, request.key);
        out.emplace_back(confirm_dispatch_ended{server_.name, server_.address, start_, id});
    } else if (request.holds_slot) {
        slots_.release(request.key, now);
    }
    if (result.outcome == protocol::DONE && suspects_.contains(request.fingerprint)) {
        cleared_.push_back(request.fingerprint);
    }
    if (result.outcome == protocol::UNKNOWN) {
        std::erase_if(broken_, [&](const auto& entry) { return now - entry.second > crash_window; });
        broken_.emplace_back(request.fingerprint, now);
        // If a restart broke it, that is to be known before the request comes back.
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
    const auto lingering = lingering_.find(id);
    if (lingering == lingering_.end()) {
        return;
    }
    slots_.release(lingering->second, now);
    lingering_.erase(lingering);
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
                crashed_.push_back(request.fingerprint);
            }
            for (const auto& [fingerprint, since] : broken_) {
                if (now - since <= crash_window) {
                    crashed_.push_back(fingerprint);
                }
            }
            broken_.clear();
        }
        start_ = start;
        is_fenced_ = false;
        lingering_.clear();
        open_order_.reset();
        uncertain_until_.clear();
        slots_.reset({}, false, now);
        slots_.set_recorded_intents({});
        asked_intents_.reset();
        for (auto& [key, load] : loads_) {
            if (load.step == load_step::ordered) {
                wishes_.budget_releases.push_back(key);
                load = {load_step::backing_off, load.wanted, now, load.failures};
            }
        }
        log_(event::server_ready, fmt::format("server={} start={} loaded={} epoch={}", server_.name.text(),
                                              start.text(), loaded.size(), epoch_));
    }
    is_reachable_ = true;
    std::vector<adapter_key> surprises;
    for (const adapter_key& key : loaded) {
        if (slots_.find(key) == nullptr) {
            surprises.push_back(key);
        }
    }
    if (!is_new_start && !open_order_) {
        // Slots that the engine no longer reports are free; surprises are adopted below.
        std::vector<adapter_key> known;
        std::copy_if(loaded.begin(), loaded.end(), std::back_inserter(known),
                     [&](const auto& key) { return slots_.find(key) != nullptr; });
        slots_.reconcile(known);
    }
    unconfirmed_ = std::move(surprises);
    if (!unconfirmed_.empty()) {
        wishes_.confirmation_ticket = ++confirmation_ticket_;
    }
    if (!unconfirmed_.empty() && !settings_.safeguard.adopt_after_confirmation) {
        adopt_unconfirmed(now);
    }
    update_poisoned(now);
    touch_generation();
    schedule(config, now, out);
}

void server_owner::on_unreachable(time_point now, command_list& out) {
    if (is_reachable_) {
        log_(event::server_lost, fmt::format("server={} start={}", server_.name.text(), start_.text()));
    }
    is_reachable_ = false;
    if (open_order_ && open_order_->is_load) {
        // The next status shows whether it took effect; only a confirmed ownership makes it usable then.
        slots_.end_load(open_order_->key, false, now);
        wishes_.budget_releases.push_back(open_order_->key);
        loads_.erase(open_order_->key);
    } else if (open_order_) {
        mark_uncertain(open_order_->key, now);
    }
    open_order_.reset();
    for (const waiting_request& request : waiting_) {
        refuse(request, "server is unreachable", out);
    }
    waiting_.clear();
    touch_generation();
}

void server_owner::mark_uncertain(const adapter_key& key, time_point now) {
    slots_.set_uncertain(key);
    if (settings_.safeguard.uncertain_hold) {
        uncertain_until_[key] = now + settings_.uncertain_hold;
    }
    log_(event::adapter_uncertain, fmt::format("server={} adapter={}", server_.name.text(), key.text()));
    update_poisoned(now);
}

void server_owner::update_poisoned(time_point now) {
    std::set<adapter_key> blocked_adapters;
    std::erase_if(uncertain_until_, [&](const auto& entry) { return entry.second <= now; });
    for (const auto& [key, until] : uncertain_until_) {
        blocked_adapters.insert(key);
    }
    const bool is_protected = has_fencing_ && is_fenced_;
    for (const protocol::Holder& holder : former_) {
        const bool is_other_start = holder.server_start() != start_.text();
        if (is_protected || is_other_start || !settings_.safeguard.evict_intents) {
            continue;
        }
        for (const std::string& key : holder.intents()) {
            blocked_adapters.insert(adapter_key{key});
        }
    }
    if (blocked_adapters != slots_.blocked_adapters()) {
        slots_.set_blocked_adapters(std::move(blocked_adapters));
        touch_generation();
    }
}

void server_owner::on_load_answer(const adapter_key& key, order_result result, const configuration& config,
                                  time_point now, command_list& out) {
    if (!open_order_ || open_order_->key != key || !open_order_->is_load) {
        return; // The answer of a former engine start or connection.
    }
    if (result == order_result::no_answer) {
        on_unreachable(now, out);
        out.emplace_back(probe_server{server_.name, server_.address, true});
        return;
    }
    open_order_.reset();
    wishes_.budget_releases.push_back(key);
    const bool is_loaded = result == order_result::done;
    slots_.end_load(key, is_loaded, now);
    if (is_loaded) {
        is_fenced_ = true;
        load_delay_ = updated_mean(load_delay_, now - loads_[key].wanted);
        loads_.erase(key);
        update_poisoned(now);
    } else {
        wanted_load& load = loads_[key];
        ++load.failures;
        load.step = load_step::backing_off;
        load.since = now;
        log_(event::adapter_load_failed,
             fmt::format("server={} adapter={} failures={} answer={}", server_.name.text(), key.text(),
                         load.failures, static_cast<int>(result)));
        if (result == order_result::already_loaded || result == order_result::no_slot) {
            out.emplace_back(probe_server{server_.name, server_.address, false});
        }
    }
    touch_generation();
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
    is_fenced_ = is_fenced_ || result == order_result::done;
    slots_.end_unload(key, result == order_result::done);
    update_poisoned(now);
    touch_generation();
    schedule(config, now, out);
}

void server_owner::on_budget_grant(const adapter_key& key, const configuration& config, time_point now,
                                   command_list& out) {
    const auto load = loads_.find(key);
    if (load == loads_.end() || load->second.step != load_step::asking) {
        if (load == loads_.end()) {
            wishes_.budget_releases.push_back(key);
        }
        return;
    }
    load->second.step = load_step::granted;
    load->second.since = now;
    schedule(config, now, out);
}

void server_owner::on_recorded(const std::set<adapter_key>& intents, const start_id& recorded_for,
                               std::uint64_t ticket, const configuration& config, time_point now,
                               command_list& out) {
    asked_intents_.reset();
    if (recorded_for == start_ && may_evict_) {
        slots_.set_recorded_intents(intents);
    }
    if (ticket >= confirmation_ticket_) {
        adopt_unconfirmed(now);
    }
    schedule(config, now, out);
}

void server_owner::adopt_unconfirmed(time_point now) {
    const bool is_inherited = !former_.empty() && settings_.safeguard.inherited_hold;
    for (const adapter_key& key : unconfirmed_) {
        slots_.add_loaded(key, is_inherited, now);
    }
    unconfirmed_.clear();
    touch_generation();
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
    touch_generation();
}

void server_owner::on_tick(const configuration& config, time_point now, command_list& out) {
    if (now - last_tick_ >= pause_limit) {
        hold_until_ = now + 2 * settings_.heartbeat_interval;
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
    update_poisoned(now);
    if (!is_reachable_) {
        if (is_admitting_ && now - last_probe_ >= unreachable_probe_interval) {
            last_probe_ = now;
            out.emplace_back(probe_server{server_.name, server_.address, true});
        }
        return;
    }
    if (!unconfirmed_.empty()) {
        wishes_.confirmation_ticket = confirmation_ticket_;
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
    want_loads(now);
    order_next_load(config, now, out);
    refresh_intents(now);
}

std::uint32_t server_owner::long_running() const {
    return static_cast<std::uint32_t>(std::count_if(running_.begin(), running_.end(), [&](const auto& entry) {
        return entry.second.expected_tokens >= settings_.long_tokens;
    }));
}

bool server_owner::is_held_after_pause(time_point now) const {
    return now - last_tick_ >= pause_limit || now < hold_until_;
}

bool server_owner::has_lone_run() const {
    return std::any_of(running_.begin(), running_.end(),
                       [](const auto& entry) { return entry.second.is_alone; });
}

bool server_owner::may_admit(const waiting_request& request) const {
    if (!slots_.is_usable(request.key) || running_.size() >= server_.batch) {
        return false;
    }
    const bool runs_alone = suspects_.contains(request.spec.fingerprint());
    if (runs_alone && !running_.empty()) {
        return false;
    }
    const bool is_long = request.spec.max_tokens() >= settings_.long_tokens;
    const auto long_limit = std::max(1U, static_cast<std::uint32_t>(server_.batch * settings_.long_share));
    return !is_long || long_running() < long_limit;
}

void server_owner::admit_waiting(time_point now, command_list& out) {
    if (!is_reachable_ || waiting_.empty() || is_held_after_pause(now)) {
        return;
    }
    const bool makes_room = std::any_of(waiting_.begin(), waiting_.end(), [&](const auto& request) {
        return suspects_.contains(request.spec.fingerprint()) &&
               now - std::max(request.arrived, last_lone_run_) >= lone_run_patience;
    });
    while (running_.size() < server_.batch && !has_lone_run()) {
        auto best = waiting_.end();
        for (auto request = waiting_.begin(); request != waiting_.end(); ++request) {
            const bool is_better =
                best == waiting_.end() || request->arrived + request->rank < best->arrived + best->rank;
            const bool is_held_back = makes_room && !suspects_.contains(request->spec.fingerprint());
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
    running.is_alone = suspects_.contains(running.fingerprint);
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

void server_owner::want_loads(time_point now) {
    std::unordered_map<adapter_key, std::uint32_t> weights;
    for (const waiting_request& request : waiting_) {
        if (slots_.find(request.key) == nullptr && !slots_.blocked_adapters().contains(request.key)) {
            weights[request.key] += request.spec.importance() * waiting_weight(now - request.arrived);
        }
    }
    for (auto load = loads_.begin(); load != loads_.end();) {
        const bool is_wanted = weights.contains(load->first) || load->second.step == load_step::ordered;
        const bool is_remembered = load->second.step == load_step::backing_off;
        if (is_wanted || is_remembered) {
            ++load;
            continue;
        }
        wishes_.budget_releases.push_back(load->first);
        load = loads_.erase(load);
    }
    for (const auto& [key, weight] : weights) {
        auto [load, is_new] = loads_.try_emplace(key, wanted_load{load_step::asking, now, now, 0});
        wanted_load& wanted = load->second;
        const auto backoff =
            std::min<duration>(settings_.load_backoff * (1 << std::min<std::uint32_t>(wanted.failures, 8)),
                               settings_.load_backoff_limit);
        const bool is_backoff_over = wanted.step == load_step::backing_off && now - wanted.since >= backoff;
        const bool is_repeat =
            wanted.step == load_step::asking && now - wanted.since >= budget_repeat_interval;
        const bool is_grant_old = wanted.step == load_step::granted && now - wanted.since >= grant_hold;
        if (is_grant_old) {
            wishes_.budget_releases.push_back(key);
        }
        if (is_new || is_backoff_over || is_repeat || is_grant_old) {
            wanted.step = load_step::asking;
            wanted.since = now;
            wishes_.budget_requests.emplace_back(key, weight);
        }
    }
}

void server_owner::order_next_load(const configuration& config, time_point now, command_list& out) {
    if (open_order_ || is_held_after_pause(now)) {
        return;
    }
    const adapter_key* oldest = nullptr;
    for (const auto& [key, load] : loads_) {
        const bool is_candidate = load.step == load_step::granted && config.adapters.contains(key);
        if (is_candidate && (oldest == nullptr || load.wanted < loads_.at(*oldest).wanted)) {
            oldest = &key;
        }
    }
    if (oldest == nullptr) {
        return;
    }
    const adapter_key key = *oldest;
    if (slots_.begin_load(key)) {
        loads_.at(key).step = load_step::ordered;
        open_order_ = open_order{key, true, now};
        out.emplace_back(order_load{server_.name, key, config.adapters.at(key).weights_path, epoch_});
        log_(event::adapter_load_ordered,
             fmt::format("server={} adapter={} epoch={} waiting={}", server_.name.text(), key.text(), epoch_,
                         waiting_.size()));
        return;
    }
    const auto victim = slots_.eviction_candidate(waiting_adapters());
    const bool is_idle = victim && now - slots_.find(*victim)->last_use >= settings_.eviction_idle;
    if (slots_.is_full() && may_evict_ && is_idle && slots_.begin_unload(*victim)) {
        open_order_ = open_order{*victim, false, now};
        out.emplace_back(order_unload{server_.name, *victim, epoch_});
        log_(event::adapter_evict_ordered,
             fmt::format("server={} adapter={} epoch={} for={}", server_.name.text(), victim->text(), epoch_,
                         key.text()));
        touch_generation();
    }
}

void server_owner::refresh_intents(time_point now) {
    if (!may_evict_ || !slots_.is_full() || asked_intents_) {
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
    std::set<adapter_key> wanted;
    for (const adapter_key& key : slots_.least_recently_used_idle(settings_.standby_intents)) {
        if (now - slots_.find(key)->last_use >= settings_.eviction_idle) {
            wanted.insert(key);
        }
    }
    if (open_order_ && !open_order_->is_load) {
        wanted.insert(open_order_->key);
    }
    // While the write is on its way, either set may stand in the record: keep the old intents in the new set.
    for (const adapter_key& key : recorded) {
        if (wanted.size() < std::size_t{settings_.standby_intents} * 3 && slots_.find(key) != nullptr) {
            wanted.insert(key);
        }
    }
    if (wanted.empty() || wanted == recorded) {
        return;
    }
    std::set<adapter_key> certain;
    std::set_intersection(recorded.begin(), recorded.end(), wanted.begin(), wanted.end(),
                          std::inserter(certain, certain.end()));
    slots_.set_recorded_intents(std::move(certain));
    asked_intents_ = wanted;
    wishes_.intents = std::move(wanted);
}

void server_owner::touch_generation() {
    ++generation_;
}

duration server_owner::estimated_wait() const {
    if (waiting_.empty() && running_.size() < server_.batch) {
        return first_token_time_;
    }
    // Long requests keep their places; the others free theirs after a typical short request's time.
    const std::uint32_t places = std::max(1U, server_.batch - std::min(server_.batch, long_running()));
    const auto ahead = static_cast<duration::rep>(waiting_.size()) + 1;
    return first_token_time_ + token_time_ * short_tokens_ * ahead / static_cast<duration::rep>(places);
}

duration server_owner::estimated_load() const {
    const auto wanted = static_cast<duration::rep>(loads_.size());
    return std::max<duration>(settings_.load_time, load_delay_) + settings_.load_time * wanted;
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
    return std::exchange(wishes_, {});
}

std::vector<std::string> server_owner::take_crashed_fingerprints() {
    return std::exchange(crashed_, {});
}

std::vector<std::string> server_owner::take_cleared_fingerprints() {
    return std::exchange(cleared_, {});
}

} // namespace lovageledge
