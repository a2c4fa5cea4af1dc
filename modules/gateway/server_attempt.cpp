#include "lovageledge/gateway/server_attempt.hpp"

#include <algorithm>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace lovageledge {
namespace {

/** Most interim responses and responses to other requests that are skipped before the one to this request. */
constexpr int max_skipped_responses = 1000;

std::int64_t to_ms(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace

server_attempt::server_attempt(gateway_state& state, connection_pool& pool, const attempted_request& request,
                               backend& server, const server_choice& choice, event_framer framer,
                               bool is_undelayed)
    : state_{state}, pool_{pool}, request_{request}, listing_{server.listing}, expected_{choice.estimate},
      is_undelayed_{is_undelayed},
      pending_tokens_{state.selector.uncached_tokens(server, request.work, state.now())}, framer_{std::move(
                                                                                              framer)} {
    ++server.in_flight;
    server.pending_tokens += pending_tokens_;
    if (request_.work.needs_weights()) {
        ++server.adapters_in_use[request_.work.weights];
    }
    server_selector::record_sent_prompt(server, request_.work, state_.now());
}

void server_attempt::count_as_work(backend& server, const placement_terms& terms) {
    const auto& attributes = request_.attributes;
    size_ = {pending_tokens_, std::uint64_t{attributes.prompt_tokens} + attributes.output_tokens};
    state_.scheduler.on_sent(server, terms, *size_);
}

void server_attempt::end(bool has_failed, bool is_completed) {
    if (std::exchange(has_ended_, true)) {
        return;
    }
    connection_.reset();
    memory_.reset();
    end_unanswered();
    release_pending_tokens();
    observer_.on_ended(has_failed);
    backend* server = state_.directory.find(listing_.name);
    if (server != nullptr && server->listing.started_at == listing_.started_at) {
        --server->in_flight;
        server->streaming -= is_counted_streaming_ ? 1 : 0;
        const adapter_ref& weights = request_.work.weights;
        if (request_.work.needs_weights() && --server->adapters_in_use[weights] == 0) {
            server->adapters_in_use.erase(weights);
        }
    }
    if (size_) {
        state_.scheduler.on_ended(listing_.name, listing_.started_at, *size_,
                                  is_completed ? std::optional{state_.now() - sent_at_} : std::nullopt);
    }
}

void server_attempt::release_pending_tokens() {
    const std::uint32_t tokens = std::exchange(pending_tokens_, 0);
    backend* server = state_.directory.find(listing_.name);
    if (server != nullptr) {
        server->pending_tokens -= std::min<std::uint64_t>(server->pending_tokens, tokens);
    }
    if (tokens > 0) {
        state_.scheduler.on_progress(listing_.name);
    }
}

void server_attempt::end_unanswered() {
    if (!std::exchange(is_unanswered_, false)) {
        return;
    }
    if (is_withdrawn_) {
        state_.directory.on_withdrawn(listing_.name, listing_.started_at);
    } else {
        state_.directory.on_response_started(listing_.name, listing_.started_at, state_.now());
    }
}

asio::awaitable<bool>
server_attempt::connect(duration max_idle_time, duration timeout,
                        const std::vector<std::shared_ptr<forwarding_connection>>& excluded, error& why) {
    // A response without a request id can only be matched on a connection that carried no other request.
    const bool may_reuse = !request_.attributes.id.text().empty();
    connection_ = may_reuse ? pool_.acquire(listing_, max_idle_time, state_.now(), excluded) : nullptr;
    if (connection_) {
        co_return true;
    }
    connection_ = std::make_shared<forwarding_connection>(co_await asio::this_coro::executor);
    if (!co_await connection_->open(listing_.address, timeout, why)) {
        connection_.reset();
        co_return false;
    }
    connection_->set_opened_at(state_.now());
    state_.counters.count("server_connections_total");
    co_return true;
}

void server_attempt::send(std::string head, std::shared_ptr<const std::string> body) {
    sent_at_ = state_.now();
    if (const backend* server = state_.directory.find(listing_.name); server != nullptr) {
        observer_.on_sent(*server, request_.work.needs_weights(), expected_);
    }
    is_open_ = true;
    connection_->send(std::move(head), std::move(body));
    state_.directory.on_sent(listing_.name, sent_at_);
    is_unanswered_ = true;
}

asio::awaitable<bool> server_attempt::read_head(const read_limit::extension& extend, std::string& why) {
    const auto connection = connection_;
    for (int skipped = 0; skipped < max_skipped_responses; ++skipped) {
        error failure;
        auto head = co_await connection->read_head(patience_end_, failure, extend);
        if (!head) {
            why = failure.text();
            end_unanswered();
            co_return false;
        }
        if (head->is_interim()) {
            continue;
        }
        const response_attributes attributes = state_.codec.read_response(*head);
        process_notices(attributes);
        if (is_own_response(attributes)) {
            head_ = std::move(*head);
            attributes_ = attributes;
            on_own_head();
            co_return true;
        }
        // The response to this request is still to come, unless the connection ends.
        if (!co_await skip_body(*head, extend)) {
            why = "an answer to another request";
            end_unanswered();
            co_return false;
        }
    }
    why = "too many answers that are none to this request";
    end_unanswered();
    co_return false;
}

asio::awaitable<bool> server_attempt::skip_body(const response_head& head,
                                                const read_limit::extension& extend) {
    if (framing_of(head) == body_framing::close) {
        co_return false;
    }
    while (true) {
        error ignored;
        const auto part = co_await connection_->read_some(patience_end_, ignored, extend);
        if (!part || part->empty()) {
            co_return part.has_value();
        }
    }
}

bool server_attempt::is_own_response(const response_attributes& attributes) const {
    if (attributes.id) {
        return *attributes.id == request_.attributes.id;
    }
    return attributes.is_not_run && connection_->sent_requests() == 1;
}

void server_attempt::on_own_head() {
    end_unanswered();
    framing_ = framing_of(head_);
    const bool is_other_server = attributes_.server && *attributes_.server != listing_.name;
    if (!is_other_server) {
        state_.crashes.on_answered(server_start(), connection_->opened_at(), sent_at_);
        state_.crashes.on_received(server_start(), connection_->opened_at(), state_.now());
    }
    if (backend* server = state_.directory.find(listing_.name); server != nullptr && attributes_.load) {
        server->load = *attributes_.load;
        server->load_reported_at = state_.now();
    }
}

void server_attempt::process_notices(const response_attributes& attributes) {
    if (attributes.server && *attributes.server != listing_.name) {
        return; // Another server has taken over the address.
    }
    const std::string context =
        fmt::format("server={} request={}", listing_.name.text(), request_.attributes.id.text());
    if (!attributes.malformed_header.empty()) {
        state_.log.write(event::backend_header_malformed,
                         fmt::format("{} header=\"{}\"", context, attributes.malformed_header));
    }
    if (attributes.is_leaving &&
        state_.directory.on_leaving(listing_.name, listing_.started_at, state_.now())) {
        state_.log.write(event::backend_leaving, context);
    }
    if (attributes.requested_pause) {
        const time_point now = state_.now();
        const time_point until = now + *attributes.requested_pause;
        if (state_.directory.on_pause_requested(listing_.name, listing_.started_at, until, now)) {
            state_.log.write(event::backend_paused,
                             fmt::format("{} pause_ms={}", context, to_ms(*attributes.requested_pause)));
            state_.pace.on_recovered(listing_.name, until);
        }
    }
}

void server_attempt::release_connection() {
    pool_.release(listing_, connection_, state_.now());
}

void server_attempt::abort() {
    if (connection_) {
        connection_->abort();
    }
}

void server_attempt::withdraw() {
    is_withdrawn_ = true;
    abort();
}

void server_attempt::begin_stream(bool is_resumable) {
    is_resumable_ = is_resumable;
    memory_ = std::make_unique<memory_share>(state_.memory, memory_use::response,
                                             [connection = connection_] { connection->abort(); });
    last_progress_ = state_.now();
}

void server_attempt::on_buffered_response() {
    if (!request_.work.needs_weights()) {
        observer_.on_response_started(is_undelayed_);
    }
}

void server_attempt::on_stream_part() {
    release_pending_tokens();
    backend* server = state_.directory.find(listing_.name);
    const bool is_same_start = server != nullptr && server->listing.started_at == listing_.started_at;
    if (is_same_start && request_.work.needs_weights() && !is_counted_streaming_) {
        is_counted_streaming_ = true;
        ++server->streaming;
        observer_.on_response_started(is_undelayed_);
    }
}

void server_attempt::on_events(std::string_view bytes) {
    const time_point now = state_.now();
    stream_events_.on_events(bytes, now);
    state_.crashes.on_received(server_start(), connection_->opened_at(), now);
}

void server_attempt::on_stream_ended() {
    record_success();
    state_.speeds.on_stream_ended(listing_, stream_events_, state_.now());
}

void server_attempt::record_success() {
    const request_suspects& suspects = request_.decision.suspects;
    if (framing_ == body_framing::close) {
        const time_point now = state_.now();
        state_.crashes.on_closed({suspects.all(), server_start(), now, now - sent_at_});
        return;
    }
    for (const crash_suspect& suspect : suspects.all()) {
        state_.crashes.on_completed(suspect, state_.now());
    }
}

void server_attempt::record_broken(std::string_view why) {
    if (connection_ && connection_->has_misbehaved()) {
        return; // The server goes on running, so the request has not crashed it.
    }
    const duration ran_for = state_.now() - sent_at_;
    const request_suspects& suspects = request_.decision.suspects;
    for (const crash_suspect& suspect : suspects.all()) {
        if (state_.crashes.on_broken(suspect, server_start(), state_.now(), ran_for)) {
            state_.log.write(event::fingerprint_quarantined,
                             fmt::format("fingerprint={:016x} kind={} server_start={:016x} source=own "
                                         "crashes={} request={} why=\"{}\"",
                                         suspect.digest, lovageledge::to_text(suspect.kind),
                                         server_start().digest, state_.crashes.crashes(suspect),
                                         request_.attributes.id.text(), suspects.describe_refusal(suspect)));
        }
    }
    state_.counters.count("crash_sightings_total");
    state_.log.write(event::fingerprint_suspected,
                     fmt::format("fingerprint={:016x} server_start={:016x} source=own crashes={} request={} "
                                 "parts={} server={} waited_ms={} framing={} received_bytes={} trial={} "
                                 "why=\"{}\"",
                                 suspects.request().digest, server_start().digest,
                                 state_.crashes.crashes(suspects.request()), request_.attributes.id.text(),
                                 suspects.describe_parts(state_.crashes), listing_.name.text(),
                                 to_ms(ran_for), to_text(framing_), received_bytes_,
                                 request_.decision.is_trial, why));
}

} // namespace lovageledge
