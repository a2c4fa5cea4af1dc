#include "lovageledge/gateway/request_handler.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;

/** Timeout for a new connection: several round trips between regions. */
constexpr auto connect_timeout = milliseconds{400};
/** Longest idle time of a connection that a non-idempotent request may reuse. Servers close idle connections
    without notice, and such a request could not be retried. */
constexpr auto max_idle_time_non_idempotent = milliseconds{300};
/** Longest idle time of a connection that an idempotent request may reuse. */
constexpr auto max_idle_time = std::chrono::seconds{60};
/** A server that did not load an adapter in time gets no further load requests for this long, if other
    servers can load it. */
constexpr auto load_block_time = milliseconds{800};
/** A second attempt of an idempotent stream begins when its server is silent for this long. */
constexpr auto stream_silence_timeout = milliseconds{2500};
/** How long the first attempt of a stream is kept after the head of the second one's response. */
constexpr auto longest_overlap = milliseconds{300};
/** A second attempt of an idempotent request begins when its server is silent for this multiple of the
    route's latency target. */
constexpr int silence_in_latency_targets = 4;
/** Most attempts per request, including failed connections and those that the server did not run. */
constexpr std::uint32_t max_server_attempts = 4;
/** A server that answers after fewer failures in succession has not recovered from a period of failures. */
constexpr std::uint32_t min_failures_of_a_period = 2;
/** Retry-After for transient conditions, such as a load in progress or a full queue. */
constexpr auto retry_after_transient = milliseconds{400};
/** A caller that leaves after waiting this long for a response may have left because the server has ended. */
constexpr auto min_wait_of_suspicious_leave = milliseconds{1000};
/** Largest response body, or event of a stream, that is buffered before it is forwarded. */
constexpr std::size_t max_buffered_bytes = std::size_t{8} * 1024 * 1024;
/** Time in which the body of a refusal is read, so that its connection can be reused. */
constexpr auto refusal_body_time = milliseconds{200};
/** A request is refused if its first byte is expected only after this fraction of the remaining time. */
constexpr double max_first_byte_share = 0.9;

std::int64_t to_ms(duration value) {
    return std::chrono::duration_cast<milliseconds>(value).count();
}

} // namespace

request_handler::request_handler(gateway_state& state, order_coordinator& coordinator, connection_pool& pool,
                                 http_exchange& exchange)
    : state_{state}, coordinator_{coordinator}, pool_{pool}, exchange_{exchange}, routes_{state.routes},
      started_{state.now()} {}

asio::awaitable<void> request_handler::run() {
    std::exception_ptr thrown;
    try {
        co_await serve_or_fail();
    } catch (const std::exception&) {
        thrown = std::current_exception();
    }
    end_standby();
    while (running_standbys_ > 0) {
        co_await wait_for_standby_change(); // They use the exchange.
    }
    state_.requests_in_progress -= is_in_progress_ ? 1 : 0;
    if (thrown) {
        std::rethrow_exception(thrown);
    }
}

asio::awaitable<void> request_handler::serve_or_fail() {
    std::string thrown;
    try {
        co_await serve();
    } catch (const std::exception& exception) {
        thrown = fmt::format("ended by an exception: {}", exception.what());
    }
    if (!thrown.empty()) {
        co_await finish_after_exception(std::move(thrown));
    }
}

asio::awaitable<void> request_handler::finish_after_exception(std::string reason) {
    state_.counters.count("request_exceptions_total");
    last_error_ = std::move(reason);
    if (exchange_.has_responded() && !has_stream_started_) {
        exchange_.abort();
        log_finished(0, "broken_off");
        co_return;
    }
    co_await finish_unserved();
}

asio::awaitable<void> request_handler::serve() {
    standby_changed_.emplace(co_await asio::this_coro::executor, time_point::max());
    attributes_ = state_.codec.read_request(exchange_.request());
    path_ = exchange_.path();
    if (!has_unambiguous_framing(exchange_.request())) {
        exchange_.close_after_response();
        co_await refuse(400, "ambiguous length of the body", std::nullopt);
        co_return;
    }
    decide_admission();
    if (decision_.refusal) {
        co_await refuse_admission();
        co_return;
    }
    prepare_work();
    exchange_.on_close([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_caller_gone();
        }
    });
    is_in_progress_ = true;
    ++state_.requests_in_progress;
    co_await run_attempts();
}

void request_handler::decide_admission() {
    arriving_request request;
    const std::string host = exchange_.header("Host");
    request.id = attributes_.id;
    request.host = host;
    request.method = to_string_view(exchange_.request().method_string());
    request.path = path_;
    request.body = exchange_.body();
    request.caller_timeout = attributes_.caller_timeout;
    request.credentials = std::move(attributes_.credentials);
    request.tokens = attributes_.total_tokens;
    request.prompt_parts = attributes_.prompt_parts;
    admission_conditions conditions;
    conditions.now = started_;
    conditions.now_with_suspension = state_.now_with_suspension();
    conditions.accept_all_until = state_.accept_all_until;
    conditions.answer_until = state_.answer_until;
    conditions.are_keys_current = state_.are_keys_current();
    conditions.candidate = {state_.settings.name.text(), coordinator_.instance_count()};
    decision_ = state_.admission.decide(state_.may_serve() ? routes_.get() : nullptr, request, conditions);
    route_ = decision_.route;
    deadline_ = decision_.deadline;
    if (decision_.is_trial) {
        state_.counters.count("crash_trials_total");
    }
}

asio::awaitable<void> request_handler::refuse_admission() {
    const admission_refusal refusal = *decision_.refusal;
    state_.counters.count(
        fmt::format("admission_refusals_total{{cause=\"{}\"}}", lovageledge::to_text(refusal.cause)));
    if (refusal.cause == refusal_cause::crashes) {
        state_.counters.count("requests_refused_as_crashing_total");
    }
    std::vector<http_header> headers;
    if (refusal.cause == refusal_cause::credentials) {
        headers.push_back(state_.codec.credentials_challenge);
    }
    co_await refuse(refusal.status, refusal.reason, refusal.retry_after, std::move(headers));
}

bool request_handler::is_quarantined() {
    const auto refusal = state_.admission.find_quarantine(decision_, possible_runs_);
    if (!refusal) {
        return false;
    }
    state_.counters.count("requests_refused_as_crashing_total");
    last_error_ = refusal->reason;
    retry_after_ = refusal->retry_after;
    return true;
}

void request_handler::prepare_work() {
    work_.id = attributes_.id;
    work_.service = decision_.service;
    work_.kind = route_->kind;
    const service_spec* service = routes_->find_service(work_.service);
    if (service != nullptr && service->engine) {
        work_.weights = attributes_.weights;
        work_.adapter_slots_per_server = service->engine->adapter_slots;
        work_.demand = state_.demand.recent_requests(work_.weights, started_) *
                       static_cast<double>(coordinator_.instance_count());
        state_.demand.on_request(work_.weights, started_);
    }
    work_.prompt_tokens = attributes_.prompt_tokens;
    work_.prompt_parts = attributes_.prompt_parts;
    state_.retries.on_request(work_.service, started_);
}

asio::awaitable<void> request_handler::run_attempts() {
    while (has_time_left()) {
        const auto choice = co_await select_server();
        if (!choice) {
            break;
        }
        server_name server = choice->server;
        attempt_outcome result = attempt_outcome::not_sent;
        current_ = begin_attempt(*choice, framer_);
        if (current_) {
            result = co_await complete(current_, exchange_with_server(*current_));
            result = co_await continue_with_standby(result);
            server = current_->name();
        }
        if (result == attempt_outcome::finished) {
            co_return;
        }
        // A server that lacked the adapter may load it, and one that asked for a pause takes requests after
        // it; other servers are not tried twice.
        const backend* entry = state_.directory.find(server);
        const bool is_paused = entry != nullptr && entry->is_paused(state_.now());
        const bool may_take_it_later =
            result == attempt_outcome::weights_missing || (result == attempt_outcome::not_run && is_paused);
        if (!may_take_it_later) {
            work_.excluded.insert(server);
        }
        if (!try_retry(result, server)) {
            break;
        }
    }
    co_await finish_unserved();
}

bool request_handler::try_retry(attempt_outcome result, const server_name& last_server) {
    if (!has_time_left() || attempts_ >= max_server_attempts || is_quarantined()) {
        return false;
    }
    if (result == attempt_outcome::not_sent) {
        return true;
    }
    const bool may_have_run =
        result != attempt_outcome::not_run && result != attempt_outcome::weights_missing;
    if (may_have_run && (!route_->is_idempotent() || possible_runs_ >= route_->max_attempts)) {
        return false;
    }
    if (!state_.retries.try_spend(work_.service, state_.now())) {
        last_error_ += ", retry budget spent";
        return false;
    }
    state_.log.write(event::request_retried,
                     fmt::format("request={} attempt={} server={} cause=\"{}\"", attributes_.id.text(),
                                 attempts_, last_server.text(), last_error_));
    return true;
}

std::optional<server_choice> request_handler::choose_standby() {
    const bool is_standby_open = standby_ && standby_->is_open();
    const std::uint32_t runs = possible_runs_ + (current_->is_open() ? 1 : 0) + (is_standby_open ? 1 : 0);
    const bool may_run_again = route_->is_idempotent() && runs < route_->max_attempts;
    // Without an event id, another server would start from the beginning.
    const bool can_continue = !has_stream_started_ || !current_->framer().last_id().empty();
    if (!may_run_again || !can_continue || !has_time_left() || attempts_ >= max_server_attempts) {
        return std::nullopt;
    }
    const auto& suspects = decision_.suspects.all();
    const bool is_suspected =
        std::any_of(suspects.begin(), suspects.end(),
                    [&](const crash_suspect& suspect) { return state_.crashes.crashes(suspect) > 0; });
    if (is_suspected) {
        return std::nullopt; // The server may be silent because the request has ended it.
    }
    const time_point now = state_.now();
    selection_request elsewhere = work_;
    elsewhere.excluded.insert(current_->name());
    if (standby_) {
        elsewhere.excluded.insert(standby_->name());
    }
    elsewhere.longest_wait = deadline_ - now;
    const auto choice = state_.selector.pick(state_.directory, state_.versions, elsewhere, now);
    if (!choice || choice->needs_load || choice->estimate > (deadline_ - now) * max_first_byte_share) {
        return std::nullopt;
    }
    const backend* server = state_.directory.find(choice->server);
    const bool is_sound = server != nullptr && !server->is_paused(now) && !server->is_avoided(now);
    return is_sound ? choice : std::nullopt;
}

void request_handler::begin_standby(duration patience) {
    const auto choice = choose_standby();
    // Spent here, since several attempts may fall silent at the same time.
    if (!choice || !state_.retries.try_spend(work_.service, state_.now())) {
        return;
    }
    if (standby_) {
        work_.excluded.insert(standby_->name());
        end_standby();
    }
    standby_ = begin_attempt(*choice, current_->framer().next_run());
    state_.log.write(
        event::request_retried,
        fmt::format("request={} attempt={} server={} cause=\"nothing received for {} ms; it goes on\"",
                    attributes_.id.text(), attempts_, current_->name().text(), to_ms(patience)));
    ++running_standbys_;
    asio::co_spawn(standby_changed_->get_executor(), run_standby(standby_), log_exception("gateway.standby"));
}

std::optional<time_point> request_handler::on_silence(server_attempt& attempt, duration patience) {
    const time_point now = state_.now();
    if (now >= deadline_ || attempt.is_withdrawn()) {
        return std::nullopt;
    }
    // The current attempt waits for its standby; a standby that is silent itself is replaced.
    if (!standby_ || standby_.get() == &attempt) {
        begin_standby(patience);
    }
    if (attempt.is_withdrawn()) {
        return std::nullopt;
    }
    attempt.set_patience_end(std::min(deadline_, now + patience));
    return attempt.patience_end();
}

asio::awaitable<void> request_handler::run_standby(std::shared_ptr<server_attempt> attempt) {
    attempt_outcome result = attempt_outcome::unknown;
    try {
        result = co_await run_until_begun(*attempt);
    } catch (const std::exception& exception) {
        state_.counters.count("request_exceptions_total");
        last_error_ = fmt::format("ended by an exception: {}", exception.what());
        attempt->abort();
        count_run(*attempt);
    }
    if (result == attempt_outcome::begun && !attempt->is_withdrawn()) {
        has_standby_begun_ = true;
        withdraw_current();
    } else {
        end_attempt(*attempt, result);
        if (standby_ == attempt) {
            state_.counters.count("overlapping_attempts_total{result=\"failed\"}");
            work_.excluded.insert(attempt->name());
            standby_.reset();
        }
    }
    --running_standbys_;
    standby_changed_->cancel();
}

asio::awaitable<request_handler::attempt_outcome> request_handler::run_until_begun(server_attempt& attempt) {
    if (!co_await send(attempt)) {
        co_return attempt_outcome::not_sent;
    }
    if (!co_await read_head(attempt)) {
        co_return on_no_response(attempt);
    }
    if (attempt.is_withdrawn()) {
        count_run(attempt);
        co_return attempt_outcome::withdrawn;
    }
    if (attempt.attributes().is_not_run) {
        co_return co_await on_not_run_response(attempt);
    }
    if (const auto outcome = judge_head(attempt)) {
        co_return *outcome;
    }
    if (!is_streamed(attempt) && attempt.head().status >= 500) {
        co_return co_await forward_buffered(attempt); // Kept until all other attempts have failed.
    }
    if (!is_streamed(attempt)) {
        co_return attempt_outcome::begun;
    }
    attempt.begin_stream(is_resumable(attempt.head()));
    std::optional<stream_part> part;
    do {
        part = co_await read_stream_part(attempt);
    } while (part && part->bytes.empty() && !part->is_end);
    if (!part) {
        on_stream_failed(attempt);
        co_return attempt_outcome::unknown;
    }
    attempt.keep_part(std::move(*part));
    co_return attempt_outcome::begun;
}

void request_handler::withdraw_current() {
    if (!current_->has_ended() && !current_->is_withdrawn()) {
        withdraw(*current_);
        state_.directory.on_overtaken(current_->name(), state_.now());
    }
}

void request_handler::withdraw(server_attempt& attempt) {
    attempt.withdraw();
    count_run(attempt);
    state_.log.write(event::request_cancelled,
                     fmt::format("request={} attempt={} server={} cause=\"another attempt goes on\"",
                                 attributes_.id.text(), attempts_, attempt.name().text()));
}

void request_handler::end_standby() {
    if (standby_) {
        state_.counters.count("overlapping_attempts_total{result=\"withdrawn\"}");
        const auto attempt = std::exchange(standby_, nullptr);
        withdraw(*attempt);
        if (std::exchange(has_standby_begun_, false)) {
            end_attempt(*attempt, attempt_outcome::withdrawn); // Its coroutine has ended.
        }
    }
}

asio::awaitable<void> request_handler::wait_for_standby_change() {
    boost::system::error_code ignored;
    co_await standby_changed_->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<request_handler::attempt_outcome>
request_handler::continue_with_standby(attempt_outcome result) {
    while (result != attempt_outcome::finished && standby_) {
        while (standby_ && !has_standby_begun_) {
            co_await wait_for_standby_change();
        }
        if (standby_) {
            state_.counters.count("overlapping_attempts_total{result=\"begun\"}");
            has_standby_begun_ = false;
            work_.excluded.insert(current_->name());
            current_ = std::exchange(standby_, nullptr);
            result = co_await complete(current_, deliver(*current_));
        }
    }
    co_return result;
}

asio::awaitable<std::optional<server_choice>> request_handler::select_server() {
    while (has_time_left()) {
        const placement place = co_await find_place();
        if (place.outcome == placement_outcome::refuse) {
            co_return std::nullopt;
        }
        if (place.outcome == placement_outcome::wait) {
            continue;
        }
        const time_point now = state_.now();
        const auto& choice = place.choice;
        if (!choice) {
            if (co_await wait_for_pause_end()) {
                continue;
            }
            co_return std::nullopt;
        }
        if (choice->estimate > (deadline_ - now) * max_first_byte_share) {
            last_error_ = fmt::format("first byte expected after {} ms", to_ms(choice->estimate));
            co_return std::nullopt;
        }
        if (!choice->needs_load) {
            co_return choice;
        }
        has_waited_for_load_ = true;
        coordinator_.request_weights(choice->server, work_.weights);
        const bool is_held = co_await coordinator_.wait_for_weights(
            choice->server, work_.weights, std::min(state_.settings.load_wait, answer_limit() - now));
        if (is_held) {
            continue;
        }
        if (backend* server = state_.directory.find(choice->server); server != nullptr) {
            server->loads_blocked_until = state_.now() + load_block_time;
        }
        if (state_.now() - started_ > (deadline_ - started_) * state_.settings.wait_share) {
            last_error_ = "the adapter was not loaded in time";
            co_return std::nullopt;
        }
    }
    last_error_ = "no time left";
    co_return std::nullopt;
}

placement_terms request_handler::make_placement_terms() const {
    placement_terms terms;
    terms.rank = decision_.priority;
    if (decision_.account != nullptr) {
        const usage_cap& cap = decision_.account->cap;
        terms.account = decision_.account->name;
        terms.account_weight = cap.is_limited() ? cap.rate_per_second : 1.0;
    }
    terms.has_returned = attempts_ > 0;
    terms.arrived = started_;
    terms.target = started_ + route_->latency_target;
    terms.deadline = answer_limit();
    terms.output_tokens = attributes_.output_tokens;
    terms.digest = decision_.suspects.request().digest;
    if (const service_spec* service = routes_->find_service(work_.service); service && service->engine) {
        terms.slots = service->engine->slots;
        terms.memory_tokens = service->engine->kv_tokens;
    }
    terms.shortest_target = routes_->shortest_latency_target(work_.service).value_or(route_->latency_target);
    return terms;
}

asio::awaitable<placement> request_handler::find_place() {
    const time_point now = state_.now();
    work_.longest_wait = deadline_ - now;
    if (!state_.scheduler.is_responsible_for(work_)) {
        const auto choice = state_.selector.pick(state_.directory, state_.versions, work_, now);
        co_return placement{choice ? placement_outcome::send : placement_outcome::no_server, choice};
    }
    placement_terms terms = make_placement_terms();
    std::function<bool()> may_wait = [this] { return has_time_left(); };
    const placement place =
        co_await state_.scheduler.wait_for_place(work_, std::move(terms), std::move(may_wait));
    if (place.outcome == placement_outcome::refuse) {
        last_error_ = fmt::format("there is no room for it before its deadline; expected after {} ms",
                                  to_ms(place.expected_wait));
        retry_after_ = place.retry_after;
    }
    co_return place;
}

asio::awaitable<bool> request_handler::wait_for_pause_end() {
    const time_point now = state_.now();
    const auto pause_end = state_.directory.earliest_pause_end(work_.service, now);
    if (!pause_end) {
        last_error_ = "no server of the service can take it";
        co_return false;
    }
    const duration wait = spread_return(*pause_end - now, attributes_.id);
    // A response that only just comes before its deadline is late anyway, and the caller may find another
    // instance whose servers take requests.
    const bool is_worth_waiting = wait <= std::min(route_->latency_target, (deadline_ - now) / 2);
    if (!is_worth_waiting) {
        last_error_ = "all servers of the service asked for a pause";
        retry_after_ = wait;
        co_return false;
    }
    asio::steady_timer timer{co_await asio::this_coro::executor, wait};
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    co_return true;
}

std::shared_ptr<server_attempt> request_handler::begin_attempt(const server_choice& choice,
                                                               event_framer framer) {
    backend* server = state_.directory.find(choice.server);
    if (server == nullptr) {
        return nullptr;
    }
    ++attempts_;
    const bool is_undelayed = attempts_ == 1 && !has_waited_for_load_;
    auto attempt =
        std::make_shared<server_attempt>(state_, pool_, attempted_request{attributes_, work_, decision_},
                                         *server, choice, std::move(framer), is_undelayed);
    if (work_.needs_weights()) {
        coordinator_.record_use(choice.server, work_.weights);
    }
    if (state_.scheduler.is_responsible_for(work_)) {
        attempt->count_as_work(*server, make_placement_terms());
    }
    log_routed(choice, *attempt);
    return attempt;
}

asio::awaitable<request_handler::attempt_outcome>
request_handler::complete(std::shared_ptr<server_attempt> attempt, asio::awaitable<attempt_outcome> steps) {
    attempt_outcome result = attempt_outcome::unknown;
    std::exception_ptr thrown;
    try {
        result = co_await std::move(steps);
    } catch (const std::exception&) {
        thrown = std::current_exception();
        attempt->abort();
        count_run(*attempt);
        attempt->end(false, false);
    }
    if (thrown) {
        std::rethrow_exception(thrown);
    }
    end_attempt(*attempt, result);
    co_return result;
}

void request_handler::end_attempt(server_attempt& attempt, attempt_outcome result) {
    const bool has_failed =
        result == attempt_outcome::unknown || result == attempt_outcome::stream_interrupted;
    const bool is_blamed = has_failed && !attempt.is_withdrawn() && !is_caller_gone_ && !is_ended_by_stop_;
    attempt.end(is_blamed, result == attempt_outcome::finished && !is_caller_gone_);
}

void request_handler::count_run(server_attempt& attempt) {
    possible_runs_ += attempt.take_open() ? 1 : 0;
}

asio::awaitable<bool> request_handler::connect(server_attempt& attempt) {
    const duration max_idle =
        route_->is_idempotent() ? duration{max_idle_time} : duration{max_idle_time_non_idempotent};
    const duration timeout = std::min<duration>(connect_timeout, deadline_ - state_.now());
    error failure;
    if (co_await attempt.connect(max_idle, timeout, used_connections_, failure)) {
        co_return true;
    }
    last_error_ = failure.text();
    if (!is_caller_gone_ && !is_ended_by_stop_ && !attempt.is_withdrawn()) {
        const std::uint32_t failures = state_.directory.on_failure(attempt.name(), state_.now());
        state_.log.write(event::backend_avoided,
                         fmt::format("server={} request={} reason=\"{}\" failures={}", attempt.name().text(),
                                     attributes_.id.text(), failure.text(), failures));
    }
    co_return false;
}

std::string request_handler::make_forwarded_head(const backend& server, const server_attempt& attempt) const {
    forwarding_parameters parameters;
    parameters.server = server.listing.name;
    parameters.remaining = deadline_ - state_.now();
    if (decision_.account != nullptr) {
        parameters.account = decision_.account->name;
    }
    if (work_.needs_weights()) {
        parameters.priority = decision_.priority;
        parameters.version = state_.versions.required(work_.weights, state_.now(), parameters.remaining);
        if (parameters.version) {
            // A server refuses any other version than the expected one, also a newer one.
            const auto held = server.listing.weights.version_of(work_.weights);
            parameters.version = std::max(*parameters.version, held.value_or(0));
        }
    }
    if (const std::string& last_id = attempt.framer().last_id(); !last_id.empty()) {
        parameters.resume_after = last_id;
    }
    const header_scope scope =
        routes_->accounts().is_empty() ? header_scope::without_accounts : header_scope::with_accounts;
    return make_request_head(exchange_.request(), state_.codec, scope, parameters);
}

asio::awaitable<bool> request_handler::send(server_attempt& attempt) {
    if (!co_await connect(attempt)) {
        co_return false;
    }
    const backend* server = state_.directory.find(attempt.name());
    if (server == nullptr) {
        co_return false;
    }
    if (attempt.is_withdrawn()) {
        attempt.release_connection();
        co_return false;
    }
    if (is_caller_gone_ || exchange_.has_caller_left()) {
        is_caller_gone_ = true;
        caller_input_ = exchange_.pending_input();
        last_error_ = "the caller left before the request was sent";
        attempt.release_connection();
        co_return false;
    }
    // Asked again, since the request may have waited for its adapter or for a connection.
    if (is_quarantined()) {
        attempt.release_connection();
        co_return false;
    }
    attempt.send(make_forwarded_head(*server, attempt), exchange_.shared_body());
    used_connections_.push_back(attempt.connection());
    co_return true;
}

asio::awaitable<request_handler::attempt_outcome>
request_handler::exchange_with_server(server_attempt& attempt) {
    if (!co_await send(attempt)) {
        co_return attempt_outcome::not_sent;
    }
    if (!co_await read_head(attempt)) {
        co_return on_no_response(attempt);
    }
    if (attempt.is_withdrawn()) {
        count_run(attempt);
        co_return attempt_outcome::withdrawn;
    }
    if (attempt.attributes().is_not_run) {
        co_return co_await on_not_run_response(attempt);
    }
    if (const auto outcome = judge_head(attempt)) {
        co_return *outcome;
    }
    if (is_streamed(attempt)) {
        attempt.begin_stream(is_resumable(attempt.head()));
    }
    co_return co_await deliver(attempt);
}

asio::awaitable<bool> request_handler::read_head(server_attempt& attempt) {
    read_limit::extension extend;
    attempt.set_patience_end(deadline_);
    if (route_->is_idempotent()) {
        const duration patience = route_->latency_target * silence_in_latency_targets;
        attempt.set_patience_end(std::min(deadline_, state_.now() + patience));
        extend = [this, &attempt, patience] { return on_silence(attempt, patience); };
    }
    const bool has_head = co_await attempt.read_head(extend, last_error_);
    attempt.set_patience_end({});
    co_return has_head;
}

request_handler::attempt_outcome request_handler::on_no_response(server_attempt& attempt) {
    const auto& connection = attempt.connection();
    connection->abort();
    count_run(attempt);
    if (attempt.is_withdrawn()) {
        return attempt_outcome::withdrawn;
    }
    if (!is_caller_gone_) {
        state_.directory.on_failure(attempt.name(), state_.now());
    }
    const bool is_suspicious =
        !is_caller_gone_ || state_.now() - attempt.sent_at() > min_wait_of_suspicious_leave;
    if (is_suspicious && !is_ended_by_stop_) {
        attempt.record_broken(last_error_);
    }
    const bool was_silent = is_suspicious && (is_caller_gone_ || state_.now() >= deadline_);
    if (was_silent && connection->sent_requests() > 1) {
        pool_.close_all(attempt.name()); // Whatever silenced this connection may have silenced the others.
    }
    return has_stream_started_ ? attempt_outcome::stream_interrupted : attempt_outcome::unknown;
}

std::optional<request_handler::attempt_outcome> request_handler::judge_head(server_attempt& attempt) {
    count_run(attempt);
    const response_head& head = attempt.head();
    if (has_stream_started_ && (!head.is_success() || !head.may_have_body())) {
        // The caller is in the middle of the stream, so that no other response may follow.
        last_error_ = fmt::format("server answered {} instead of resuming the stream", head.status);
        attempt.abort();
        return attempt_outcome::stream_interrupted;
    }
    if (head.is_success() && !attempt.attributes().has_digest) {
        last_error_ = "the server's success has no digest";
        attempt.abort();
        return has_stream_started_ ? attempt_outcome::stream_interrupted : attempt_outcome::unknown;
    }
    return std::nullopt;
}

bool request_handler::is_streamed(const server_attempt& attempt) const {
    const response_head& head = attempt.head();
    const bool may_have_body = head.may_have_body() && exchange_.request().method() != http::verb::head;
    return route_->kind == request_kind::stream && head.is_success() && may_have_body;
}

asio::awaitable<request_handler::attempt_outcome> request_handler::deliver(server_attempt& attempt) {
    attempt_outcome result = attempt_outcome::finished;
    if (is_streamed(attempt)) {
        end_failures(attempt.name());
        result = co_await forward_stream(attempt);
    } else {
        result = co_await forward_buffered(attempt);
    }
    attempt.release_connection();
    co_return result;
}

void request_handler::end_failures(const server_name& name) {
    const backend* server = state_.directory.find(name);
    if (server != nullptr && server->consecutive_failures >= min_failures_of_a_period) {
        state_.pace.on_recovered(name, state_.now());
    }
    state_.directory.on_success(name);
}

asio::awaitable<request_handler::attempt_outcome>
request_handler::on_not_run_response(server_attempt& attempt) {
    attempt.take_open();
    const attempt_outcome result = process_not_run(attempt);
    if (attempt.framing() == body_framing::close) {
        attempt.abort();
        co_return result;
    }
    const time_point body_limit = std::min(deadline_, state_.now() + refusal_body_time);
    error ignored;
    std::optional<std::string_view> rest;
    do {
        rest = co_await attempt.connection()->read_some(body_limit, ignored);
    } while (rest && !rest->empty());
    attempt.release_connection();
    co_return result;
}

request_handler::attempt_outcome request_handler::process_not_run(const server_attempt& attempt) {
    const server_name& server = attempt.name();
    const response_attributes& attributes = attempt.attributes();
    last_error_ = fmt::format("server answered {} as not run", attempt.head().status);
    const bool is_different_server = attributes.server && *attributes.server != server;
    if (is_different_server) {
        state_.directory.on_unlisted(server);
    } else if (attributes.is_misdirected) {
        state_.directory.on_adapter_missing(server, work_.weights);
        coordinator_.request_weights(server, work_.weights, true);
        // The server may load the adapter. If it refuses a second time, other servers are tried.
        const bool is_first_refusal = servers_lacking_weights_.insert(server).second;
        return is_first_refusal ? attempt_outcome::weights_missing : attempt_outcome::not_run;
    } else {
        state_.directory.on_refused(server, state_.now());
    }
    return attempt_outcome::not_run;
}

bool request_handler::has_room(memory_share& memory, std::size_t bytes) {
    return bytes <= max_buffered_bytes && memory.resize(bytes);
}

std::string request_handler::too_long_reason(const memory_share& memory) {
    return memory.is_cut() ? "the answer was given up: it is the longest one, and memory is short"
                           : "the answer is too long";
}

asio::awaitable<request_handler::attempt_outcome> request_handler::forward_buffered(server_attempt& attempt) {
    const auto connection = attempt.connection();
    const response_head& head = attempt.head();
    const bool is_retryable_failure = head.status >= 500 && route_->is_idempotent() &&
                                      (standby_ != nullptr || possible_runs_ < route_->max_attempts);
    if (!is_retryable_failure) {
        end_standby();
    }
    std::string body;
    auto memory = std::make_unique<memory_share>(state_.memory, memory_use::response,
                                                 [connection] { connection->abort(); });
    while (true) {
        error failure;
        const auto part = co_await connection->read_some(deadline_, failure);
        if (attempt.is_withdrawn()) {
            co_return attempt_outcome::withdrawn;
        }
        const bool is_too_long = memory->is_cut() || (part && !has_room(*memory, body.size() + part->size()));
        if (!part || is_too_long) {
            last_error_ = is_too_long ? too_long_reason(*memory) : failure.text();
            connection->abort();
            // A server that refuses an upload may reset its connection after its response.
            const bool is_refusal = head.status >= 400 && head.status < 500;
            const bool is_broken_off = !is_too_long && !is_caller_gone_ && !is_ended_by_stop_ && !is_refusal;
            if (is_too_long || (is_broken_off && state_.now() < deadline_)) {
                state_.directory.on_failure(attempt.name(), state_.now());
            }
            if (is_broken_off) {
                attempt.record_broken(last_error_);
            }
            co_return attempt_outcome::unknown;
        }
        if (part->empty()) {
            break;
        }
        attempt.add_received(part->size());
        body.append(*part);
    }
    memory->set_complete();
    end_failures(attempt.name());
    if (head.is_success()) {
        attempt.record_success();
        attempt.on_buffered_response();
    }
    if (is_caller_gone_) {
        co_return attempt_outcome::finished;
    }
    if (is_retryable_failure) {
        last_error_ = fmt::format("server answered {}", head.status);
        error_response_head_ = head;
        error_response_body_ = std::move(body);
        error_response_memory_ = std::move(memory);
        co_return attempt_outcome::failed;
    }
    if (guarantees_not_run(head.status) && !route_->is_idempotent()) {
        // The server did not state that it has not run the request, as the caller would understand it.
        last_error_ =
            fmt::format("server answered {} without stating that the request has not run", head.status);
        co_return attempt_outcome::unknown;
    }
    co_await exchange_.send_forwarded_response(head.status, forwarded_headers(head), std::move(body));
    log_finished(head.status, head.status < 400 ? "done" : "failed");
    co_return attempt_outcome::finished;
}

bool request_handler::is_resumable(const response_head& head) const {
    return route_->is_idempotent() && (!head.content_length || has_stream_started_);
}

bool request_handler::overlaps_current(const server_attempt& attempt) const {
    return standby_.get() == &attempt && !current_->has_ended() && !current_->is_withdrawn();
}

std::optional<time_point> request_handler::on_stream_silence(server_attempt& attempt) {
    const bool has_overlapped = overlaps_current(attempt);
    if (has_overlapped) {
        withdraw_current();
    }
    if (!attempt.is_resumable()) {
        return state_.now() < deadline_ ? std::optional{deadline_} : std::nullopt;
    }
    const time_point patience_end = std::min(deadline_, attempt.last_progress() + stream_silence_timeout);
    return has_overlapped && state_.now() < patience_end ? patience_end
                                                         : on_silence(attempt, stream_silence_timeout);
}

asio::awaitable<std::optional<stream_part>> request_handler::read_stream_part(server_attempt& attempt) {
    const auto connection = attempt.connection();
    event_framer& framer = attempt.framer();
    const bool may_resume = attempt.is_resumable();
    // Without length and chunks, only an incomplete event tells that the stream was cut.
    const bool ends_with_connection = attempt.framing() == body_framing::close;
    time_point limit = deadline_;
    if (may_resume) {
        // Only complete events count as progress: a stalled server may still send a byte now and then.
        limit = std::min(limit,
                         std::max(attempt.patience_end(), attempt.last_progress() + stream_silence_timeout));
    }
    if (overlaps_current(attempt)) {
        limit = std::min(limit, attempt.last_progress() + longest_overlap);
    }
    const read_limit::extension extend = [this, &attempt] { return on_stream_silence(attempt); };
    error failure;
    const auto part = co_await connection->read_some(limit, failure, extend);
    if (attempt.is_withdrawn()) {
        co_return std::nullopt;
    }
    if (!part || attempt.memory().is_cut()) {
        last_error_ = attempt.memory().is_cut() ? too_long_reason(attempt.memory()) : failure.text();
        const bool is_suspicious =
            !is_caller_gone_ || state_.now() - attempt.last_progress() > min_wait_of_suspicious_leave;
        if (is_suspicious && !attempt.memory().is_cut()) {
            attempt.record_broken(last_error_);
        }
        co_return std::nullopt;
    }
    stream_part result{std::string{*part}, part->empty()};
    attempt.add_received(result.bytes.size());
    if (result.is_end && ends_with_connection && !framer.is_between_events()) {
        last_error_ = "the connection ended before the stream's last event was complete";
        attempt.record_broken(last_error_);
        co_return std::nullopt;
    }
    if (may_resume || ends_with_connection) {
        auto events = result.is_end ? framer.finish() : framer.append(result.bytes);
        if (!events || !has_room(attempt.memory(), framer.incomplete_bytes())) {
            last_error_ = events ? too_long_reason(attempt.memory()) : framer.last_reason();
            co_return std::nullopt;
        }
        result.bytes = std::move(*events);
    }
    if (!result.bytes.empty()) {
        attempt.set_last_progress(state_.now());
        attempt.on_events(result.bytes);
    }
    co_return result;
}

asio::awaitable<request_handler::attempt_outcome> request_handler::forward_stream(server_attempt& attempt) {
    const response_head& head = attempt.head();
    while (true) {
        std::optional<stream_part> part = attempt.take_kept_part();
        if (!part) {
            part = co_await read_stream_part(attempt);
        }
        if (attempt.is_withdrawn()) {
            framer_ = attempt.framer().next_run();
            co_return attempt_outcome::withdrawn;
        }
        if (!part) {
            co_return co_await on_stream_broken(attempt);
        }
        if (!part->bytes.empty() || part->is_end) {
            end_standby();
            attempt.on_stream_part();
            if (!has_stream_started_ && !exchange_.reserve_stream()) {
                attempt.abort();
                last_error_ = "there is no memory for the response";
                co_await finish_unserved(); // Another attempt would not find more.
                co_return attempt_outcome::finished;
            }
            if (!has_stream_started_) {
                has_stream_started_ = true;
                state_.counters.observe("first_byte_seconds", state_.now() - started_);
                co_await exchange_.begin_forwarded_response(head.status, forwarded_headers(head),
                                                            head.content_length);
            }
            if (!part->bytes.empty() && !co_await exchange_.write(part->bytes)) {
                is_caller_gone_ = true;
                caller_input_ = socket_input::failed;
            }
            // The caller's time to take the events is not the server's silence.
            attempt.set_last_progress(state_.now());
        }
        if (is_caller_gone_) {
            attempt.abort();
            log_finished(0, "caller_gone");
            co_return attempt_outcome::finished;
        }
        if (part->is_end) {
            attempt.on_stream_ended();
            co_await exchange_.end_stream();
            log_finished(head.status, "done");
            co_return attempt_outcome::finished;
        }
    }
}

void request_handler::on_stream_failed(server_attempt& attempt) {
    attempt.abort();
    if (!is_caller_gone_ && !attempt.is_withdrawn()) {
        state_.directory.on_failure(attempt.name(), state_.now());
    }
}

asio::awaitable<request_handler::attempt_outcome> request_handler::on_stream_broken(server_attempt& attempt) {
    on_stream_failed(attempt);
    framer_ = attempt.framer().next_run();
    // Without an event id, another server would start from the beginning.
    if (has_stream_started_ && (!attempt.is_resumable() || framer_.last_id().empty())) {
        co_return co_await abort_stream();
    }
    co_return has_stream_started_ ? attempt_outcome::stream_interrupted : attempt_outcome::unknown;
}

asio::awaitable<request_handler::attempt_outcome> request_handler::abort_stream() {
    exchange_.abort();
    log_finished(0, is_caller_gone_ ? "caller_gone" : "broken_off");
    co_return attempt_outcome::finished;
}

void request_handler::abort_attempts() {
    for (const auto& attempt : {current_, standby_}) {
        if (attempt) {
            attempt->abort();
        }
    }
}

void request_handler::end_for_stop() {
    if (has_stream_started_) {
        return; // Only the process's end may cut it, since it may still complete.
    }
    is_ended_by_stop_ = true;
    state_.scheduler.give_up(work_);
    abort_attempts();
}

void request_handler::record_cut_by_exit() {
    if (!has_logged_end_) {
        last_error_ = "the process ends at the limit of its stop";
        log_finished(0, "cut_by_stop");
    }
}

void request_handler::on_caller_gone() {
    is_caller_gone_ = true;
    caller_input_ = exchange_.pending_input();
    state_.scheduler.give_up(work_);
    abort_attempts();
}

asio::awaitable<void> request_handler::finish_unserved() {
    if (possible_runs_ == 0) {
        state_.admission.give_back(decision_, state_.now_with_suspension());
    }
    if (is_caller_gone_) {
        exchange_.abort();
        log_finished(0, "caller_gone");
        co_return;
    }
    if (has_stream_started_) {
        co_await abort_stream();
        co_return;
    }
    if (error_response_head_) {
        const unsigned status = error_response_head_->status;
        co_await exchange_.send_forwarded_response(status, forwarded_headers(*error_response_head_),
                                                   std::move(error_response_body_));
        log_finished(status, "failed");
        co_return;
    }
    const unserved_status status = choose_unserved_status({possible_runs_, state_.now() >= deadline_});
    const bool is_not_run = status == unserved_status::unavailable;
    co_await refuse(static_cast<unsigned>(status), last_error_,
                    is_not_run ? std::optional{retry_after_.value_or(retry_after_transient)} : std::nullopt);
}

asio::awaitable<void> request_handler::refuse(unsigned status, std::string_view reason,
                                              std::optional<duration> retry_after,
                                              std::vector<http_header> headers) {
    nlohmann::json body{
        {"error", {{"step", "gateway"}, {"reason", reason}, {"request", attributes_.id.text()}}}};
    if (retry_after) {
        headers.push_back(
            {"Retry-After", fmt::format("{:.2f}", std::chrono::duration<double>(*retry_after).count())});
    }
    last_error_ = reason;
    co_await exchange_.respond(status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
                               "application/json", headers);
    log_finished(status, status == 503 ? "not_run" : status >= 500 ? "unknown" : "rejected");
}

void request_handler::log_routed(const server_choice& choice, const server_attempt& attempt) const {
    state_.log.write(event::request_routed,
                     fmt::format("request={} attempt={} route={} config={} server={} adapter={} remote={} "
                                 "estimate_ms={} tokens={} left_ms={}",
                                 attributes_.id.text(), attempts_, route_->name, routes_->version(),
                                 choice.server.text(), work_.weights.adapter, choice.is_remote,
                                 to_ms(choice.estimate), attempt.pending_tokens(),
                                 to_ms(deadline_ - state_.now())));
}

void request_handler::log_finished(unsigned status, std::string_view outcome) {
    has_logged_end_ = true;
    const duration elapsed = state_.now() - started_;
    state_.counters.count(fmt::format("requests_total{{outcome=\"{}\"}}", outcome));
    state_.counters.observe("request_seconds", elapsed);
    state_.log.write(
        event::request_finished,
        fmt::format("request={} outcome={} status={} attempts={} runs={} ms={} route={} framing={} "
                    "account={} caller={} server={} why=\"{}\"",
                    attributes_.id.text(), outcome, status, attempts_, possible_runs_, to_ms(elapsed),
                    route_ == nullptr ? "" : route_->name,
                    to_text(current_ ? current_->framing() : body_framing::none),
                    decision_.account == nullptr ? "" : decision_.account->name.text(),
                    to_text(caller_input_), current_ ? current_->name().text() : "",
                    outcome == "done" ? "" : last_error_));
}

} // namespace lovageledge
