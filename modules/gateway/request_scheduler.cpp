#include "lovageledge/gateway/request_scheduler.hpp"

#include "lovageledge/gateway/gateway_state.hpp"

#include <algorithm>
#include <exception>
#include <spdlog/fmt/fmt.h>
#include <utility>
#include <vector>

namespace lovageledge {
namespace {

/** Least time between two lines of the log about waiting requests. */
constexpr auto log_interval = std::chrono::seconds{1};

/** @returns the mean in milliseconds */
std::int64_t mean_ms(duration sum, std::uint64_t count) {
    return count == 0 ? 0
                      : std::chrono::duration_cast<std::chrono::milliseconds>(sum).count() /
                            static_cast<std::int64_t>(count);
}

} // namespace

request_scheduler::request_scheduler(gateway_state& state)
    : state_{state}, placement_{state.settings.name, state.selector, state.directory, state.versions,
                                [&state](const backend& server) {
                                    return state.settings.selector.prefill_tokens_per_ms /
                                           std::max(0.1, static_cast<double>(server.speed.response));
                                }} {}

bool request_scheduler::is_responsible_for(const selection_request& work) const {
    return state_.settings.is_waiting_bounded && work.needs_weights();
}

asio::awaitable<placement> request_scheduler::wait_for_place(selection_request& work, placement_terms terms,
                                                             std::function<bool()> may_wait) {
    const waiting_ticket ticket = placement_.begin(terms, state_.now());
    const auto executor = co_await asio::this_coro::executor;
    waiters_[ticket] = {&work, std::make_shared<asio::steady_timer>(executor)};
    placement result;
    std::exception_ptr thrown;
    try {
        result = co_await decide_until_placed(ticket, work, std::move(may_wait));
    } catch (...) {
        thrown = std::current_exception();
    }
    // An entry that is left behind would hold up all others.
    const waiting_request* request = placement_.queue().find(ticket);
    const std::vector<server_name> servers =
        request == nullptr ? std::vector<server_name>{} : request->servers;
    waiters_.erase(ticket);
    placement_.end(ticket);
    if (thrown) {
        std::rethrow_exception(thrown);
    }
    for (const server_name& server : servers) {
        wake_first(server); // Others may have waited behind this request.
    }
    co_return result;
}

asio::awaitable<placement> request_scheduler::decide_until_placed(waiting_ticket ticket,
                                                                  selection_request& work,
                                                                  std::function<bool()> may_wait) {
    const time_point began = state_.now();
    const duration longest_wait = work.longest_wait;
    const auto timer = waiters_.at(ticket).timer;
    std::optional<duration> predicted;
    while (true) {
        const time_point now = state_.now();
        work.longest_wait = longest_wait - (now - began);
        placement_.room().set_gateways(state_.retries.instances());
        const placement result = placement_.decide(ticket, work, now);
        if (result.outcome != placement_outcome::wait || !may_wait()) {
            record_end(result, predicted, began);
            co_return result;
        }
        predicted = predicted.value_or(result.expected_wait);
        timer->expires_after(result.check_at - now);
        boost::system::error_code ignored;
        co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void request_scheduler::record_end(const placement& result, const std::optional<duration>& predicted,
                                   time_point began) {
    const duration observed = state_.now() - began;
    if (result.outcome == placement_outcome::refuse) {
        ++summary_.refused;
        state_.counters.count("requests_refused_as_hopeless_total");
        state_.counters.observe("refused_wait_seconds", result.expected_wait);
    }
    if (result.outcome == placement_outcome::send && predicted) {
        ++summary_.sent;
        summary_.predicted += *predicted;
        summary_.observed += observed;
        state_.counters.observe("predicted_wait_seconds", *predicted);
        state_.counters.observe("observed_wait_seconds", observed);
    }
    log_summary();
}

void request_scheduler::log_summary() {
    const time_point now = state_.now();
    const bool has_news = summary_.sent > 0 || summary_.refused > 0;
    if (!has_news || now - last_logged_ < log_interval) {
        return;
    }
    last_logged_ = now;
    const wait_summary summary = std::exchange(summary_, {});
    state_.counters.set("waiting_requests", placement_.queue().size());
    state_.log.write(event::requests_waiting,
                     fmt::format("waiting={} sent={} refused={} predicted_ms={} observed_ms={}",
                                 placement_.queue().size(), summary.sent, summary.refused,
                                 mean_ms(summary.predicted, summary.sent),
                                 mean_ms(summary.observed, summary.sent)));
}

void request_scheduler::on_sent(backend& server, const placement_terms& terms, const request_size& size) {
    server.committed_tokens += size.memory_tokens;
    placement_.on_sent(server.listing.name, terms, size, state_.now());
    wake_first(server.listing.name);
}

void request_scheduler::on_progress(const server_name& server) {
    if (state_.settings.is_waiting_bounded) {
        wake_first(server);
    }
}

void request_scheduler::on_ended(const server_name& server, std::uint64_t started_at,
                                 const request_size& size, std::optional<duration> run_time) {
    if (run_time) {
        placement_.room().on_completed(size, *run_time);
    }
    backend* entry = state_.directory.find(server);
    if (entry != nullptr && entry->listing.started_at == started_at) {
        entry->committed_tokens -= std::min(entry->committed_tokens, size.memory_tokens);
    }
    wake_first(server);
}

void request_scheduler::on_reports() {
    if (!state_.settings.is_waiting_bounded) {
        return;
    }
    placement_.room().on_reports(state_.now());
    std::vector<server_name> servers;
    for (const auto& [server, tickets] : placement_.queue().by_server()) {
        servers.push_back(server);
    }
    for (const server_name& server : servers) {
        wake_first(server);
    }
    state_.counters.set("waiting_requests", placement_.queue().size());
    log_summary();
}

void request_scheduler::give_up(const selection_request& work) {
    for (const auto& [ticket, waiter] : waiters_) {
        if (waiter.work == &work) {
            waiter.timer->cancel();
        }
    }
}

tokens_by_rank request_scheduler::wanted_tokens(const server_name& server) const {
    return state_.settings.is_waiting_bounded ? placement_.wanted_tokens(server, state_.now())
                                              : tokens_by_rank{};
}

void request_scheduler::wake_first(const server_name& server) {
    const auto ticket = placement_.next_ready(server, state_.now());
    if (!ticket) {
        return;
    }
    if (const auto waiter = waiters_.find(*ticket); waiter != waiters_.end()) {
        waiter->second.timer->cancel();
    }
}

} // namespace lovageledge
