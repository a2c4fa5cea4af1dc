#include "lovageledge/gateway/gateway.hpp"

#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>
#include <system_error>
#include <thread>
#include <utility>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;

/** The load balancer polls readiness once a second and removes an instance after two failures, so new
    connections arrive for this long after a shutdown began. */
constexpr auto balancer_lag = milliseconds{3500};
/** After a shutdown began, idle connections stay open this long for requests that are already in transit. */
constexpr auto idle_close_delay = milliseconds{1000};
/** Requests that arrive later than this after a shutdown began are refused if they may not end in time; the
    caller retries at another instance. Before that, the retry would probably arrive here again. */
constexpr auto accept_all_after_stop = milliseconds{2500};
/** Part of the stop limit that is left for the process to exit. */
constexpr auto exit_reserve = milliseconds{400};
/** Before that, the time in which requests that can't end in time get an error response. */
constexpr auto last_answers_time = milliseconds{200};
/** How long requests are refused while the configuration is known and the gateways' records are not. */
constexpr auto max_wait_for_records = milliseconds{2000};
/** Part of that time in which the release of the order domain may still be written. */
constexpr auto last_write_time = milliseconds{200};
/** Connections are drained for at least late_drain_time, though the process was suspended or the store was
   slow, as long as this part of the stop limit is left to exit. */
constexpr auto min_exit_reserve = milliseconds{100};
constexpr auto late_drain_time = milliseconds{100};
constexpr auto drain_check_interval = milliseconds{10};
constexpr auto listen_retry_interval = milliseconds{100};
constexpr auto metrics_retry_interval = milliseconds{1000};
/** Bounds the memory for entries that can't be used, each of which is logged once. */
constexpr std::size_t max_remembered_rejections = 1000;
/** Limits on requests and connections at the readiness and metrics addresses. */
constexpr std::uint32_t status_request_bytes = 8 * 1024;
constexpr std::uint32_t status_connections = 64;
constexpr std::size_t status_memory = std::size_t{3} * 1024 * 1024;
constexpr auto status_request_time = std::chrono::seconds{3};

http_limits to_http_limits(const caller_limits& limits, gateway_state& state) {
    http_limits result;
    result.memory = state.memory;
    result.write_timeout = state.settings.unread_response;
    result.address_share = state.settings.address_share;
    result.socket_buffer_bytes = state.settings.socket_buffer_bytes();
    result.on_closed = [&state](const char* cause) { state.on_connection_closed(cause); };
    result.on_unanswered = [&state](const unanswered_request& request) {
        state.unanswered.add(request, state.now());
    };
    result.header_bytes = limits.header_bytes;
    result.body_bytes = limits.body_bytes;
    result.connections = state.settings.connections;
    result.request_timeout = limits.header_timeout;
    result.idle_timeout = limits.idle_timeout;
    return result;
}

http_limits status_limits() {
    http_limits limits;
    limits.memory = std::make_shared<memory_budget>(status_memory);
    limits.request_timeout = status_request_time;
    limits.write_timeout = status_request_time;
    limits.socket_buffer_bytes = status_request_bytes;
    limits.header_bytes = status_request_bytes;
    limits.body_bytes = status_request_bytes;
    limits.connections = status_connections;
    return limits;
}

} // namespace

gateway::gateway(asio::io_context& context, gateway_settings settings, wire_codec codec,
                 platform_port platform)
    : context_{context}, state_{std::move(settings), std::move(codec), std::move(platform)},
      coordinator_{context, state_}, caller_server_{context, to_http_limits(caller_limits{}, state_),
                                                    [this](http_exchange& exchange) {
                                                        return serve(exchange);
                                                    }},
      readiness_server_{context, status_limits(),
                        [this](http_exchange& exchange) { return serve_readiness(exchange); }},
      metrics_server_{context, status_limits(),
                      [this](http_exchange& exchange) { return serve_metrics(exchange); }} {}

bool gateway::listen(const std::function<bool(error&)>& try_listen, error& failure) const {
    const time_point limit = state_.now() + state_.settings.stop_limit;
    const std::string in_use = std::make_error_code(std::errc::address_in_use).message();
    bool has_logged = false;
    while (!try_listen(failure)) {
        if (failure.reason != in_use || state_.now() >= limit) {
            return false;
        }
        if (!std::exchange(has_logged, true)) {
            spdlog::warn("{}; tried again until the former process has stopped", failure.text());
        }
        std::this_thread::sleep_for(listen_retry_interval);
    }
    return true;
}

bool gateway::start(error& failure) {
    const auto& settings = state_.settings;
    const bool is_listening =
        listen([this](error& why) { return coordinator_.start(why); }, failure) &&
        listen([&](error& why) { return caller_server_.listen(settings.caller_address, why); }, failure) &&
        listen([&](error& why) { return readiness_server_.listen(settings.readiness_address, why); },
               failure);
    if (!is_listening) {
        return false;
    }
    start_metrics();
    loop_monitor_.start();
    state_.log.write(event::instance_started,
                     fmt::format("instance={} start={} region={} data_centre={} callers={} peers={}",
                                 settings.name.text(), settings.start.text(), settings.region.text(),
                                 settings.data_centre.text(), settings.caller_address,
                                 settings.peer_address));
    return true;
}

void gateway::start_metrics() {
    const std::string& address = state_.settings.metrics_address;
    error why;
    if (address.empty() || metrics_server_.listen(address, why)) {
        return;
    }
    // Requests are served without metrics, rather than not at all.
    spdlog::error("{}; no metrics are served until the address is free", why.text());
    asio::co_spawn(context_, retry_metrics(), log_exception("gateway.metrics"));
}

asio::awaitable<void> gateway::retry_metrics() {
    asio::steady_timer timer{context_};
    error why;
    do {
        timer.expires_after(metrics_retry_interval);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    } while (!metrics_server_.listen(state_.settings.metrics_address, why));
}

bool gateway::is_ready() const {
    return state_.may_serve() && has_server_list_ && !state_.is_stopping;
}

asio::awaitable<void> gateway::serve(http_exchange& exchange) {
    if (state_.is_stopping) {
        exchange.close_after_response();
    }
    const auto handler = std::make_shared<request_handler>(state_, coordinator_, pool_, exchange);
    handlers_.insert(handler);
    try {
        co_await handler->run();
    } catch (const std::exception& exception) {
        spdlog::error("gateway.request: ended by an exception: {}", exception.what());
        exchange.abort();
    }
    handlers_.erase(handler);
}

asio::awaitable<void> gateway::serve_readiness(http_exchange& exchange) {
    const unsigned status = is_ready() ? 200 : 503;
    co_await exchange.respond(status, status == 200 ? "ready\n" : "not ready\n", "text/plain");
}

asio::awaitable<void> gateway::serve_metrics(http_exchange& exchange) {
    state_.counters.set("message_memory_held_bytes", state_.memory->held());
    state_.counters.set("message_memory_limit_bytes", state_.memory->capacity());
    state_.counters.set("caller_connections", caller_server_.connections());
    state_.counters.set("caller_connections_busy", caller_server_.busy_connections());
    co_await exchange.respond(200, state_.counters.text(), "text/plain; version=0.0.4");
}

void gateway::on_configuration(traffic_configuration configuration, std::string_view source) {
    if (state_.routes && configuration.version <= state_.routes->version()) {
        return;
    }
    if (!state_.routes) {
        state_.serves_without_records_from = state_.now() + max_wait_for_records;
    }
    state_.routes = std::make_shared<const route_table>(std::move(configuration));
    state_.caps.set_accounts(state_.routes->accounts().all(), state_.now_with_suspension());
    caller_server_.set_limits(to_http_limits(state_.routes->limits(), state_));
    state_.log.write(event::configuration_adopted,
                     fmt::format("revision={} digest= source={} accounts={}", state_.routes->version(),
                                 source, state_.routes->accounts().all().size()));
    coordinator_.on_servers_changed();
}

void gateway::on_server(server_listing listing) {
    const server_name name = listing.name;
    const backend* former = state_.directory.find(name);
    const bool is_new_start = former == nullptr || former->listing.started_at < listing.started_at;
    const pool_name service = listing.service;
    const bool has_changed = state_.directory.on_listed(std::move(listing), state_.now());
    const backend* server = state_.directory.find(name);
    if (is_new_start) {
        state_.pace.on_started(name, service, state_.directory.usable_servers(service).size(), state_.now());
    }
    if (has_changed && server != nullptr) {
        const server_listing& entry = server->listing;
        state_.log.write(event::backend_listed,
                         fmt::format("server={} service={} data_centre={} started_at={} leaving={}",
                                     name.text(), entry.service.text(), entry.zone.text(), entry.started_at,
                                     server->is_leaving));
    }
    coordinator_.on_servers_changed();
}

void gateway::drop_server(const server_name& name) {
    state_.pace.on_dropped(name);
    pool_.close_all(name);
    state_.log.write(event::backend_dropped, fmt::format("server={}", name.text()));
}

void gateway::on_server_removed(const server_name& name) {
    if (state_.directory.on_unlisted(name)) {
        drop_server(name);
    }
}

void gateway::on_server_list(const std::set<server_name>& listed) {
    has_server_list_ = true;
    for (const server_name& name : state_.directory.retain(listed)) {
        drop_server(name);
    }
}

void gateway::on_version(const adapter_ref& ref, std::uint64_t version) {
    if (state_.versions.on_announced(ref, version, state_.now())) {
        state_.log.write(event::version_announced,
                         fmt::format("model={} adapter={} version={}", ref.model, ref.adapter, version));
        coordinator_.on_servers_changed();
    }
}

void gateway::on_rejected_entry(const std::string& entry, const std::string& reason) {
    if (rejected_entries_.size() >= max_remembered_rejections) {
        rejected_entries_.clear();
    }
    std::string& last_reason = rejected_entries_[entry];
    if (std::exchange(last_reason, reason) == reason) {
        return; // It is read again with each list.
    }
    state_.log.write(event::backend_entry_rejected, fmt::format("entry={} reason=\"{}\"", entry, reason));
}

void gateway::stop(std::function<void()> on_stopped) {
    if (state_.is_stopping) {
        return;
    }
    state_.is_stopping = true;
    // The platform counts the stop limit from when it has sent the signal.
    const time_point began = loop_monitor_.earliest_arrival(state_.now());
    state_.accept_all_until = began + accept_all_after_stop;
    state_.answer_until = began + state_.settings.stop_limit - exit_reserve - last_answers_time;
    state_.log.write(event::instance_stopping, fmt::format("instance={}", state_.settings.name.text()));
    coordinator_.begin_stop();
    asio::co_spawn(context_, stop_when_idle(began, std::move(on_stopped)), log_exception("gateway.stop"));
}

asio::awaitable<void> gateway::wait_until(time_point limit, std::function<bool()> is_done,
                                          duration check_interval) {
    asio::steady_timer timer{context_};
    while (state_.now() < limit && !is_done()) {
        timer.expires_after(std::min(check_interval, limit - state_.now()));
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> gateway::finish_coordination(time_point limit) {
    // The store may not answer. The write then ends with the process.
    const auto is_done = std::make_shared<bool>(false);
    asio::co_spawn(context_, coordinator_.finish_stop(),
                   [is_done, log = log_exception("gateway.stop")](const std::exception_ptr& thrown) {
                       *is_done = true;
                       log(thrown);
                   });
    co_await wait_until(limit, [&] { return *is_done; });
}

void gateway::end_requests() {
    for (const auto& handler : std::set{handlers_}) {
        handler->end_for_stop();
    }
}

asio::awaitable<void> gateway::drain_callers(time_point limit) {
    server_drain drain{caller_server_};
    const auto is_done = [&] { return drain.advance(state_.now()); };
    co_await wait_until(state_.answer_until, is_done, drain_check_interval);
    end_requests();
    const time_point last = limit + exit_reserve - min_exit_reserve;
    co_await wait_until(std::min(last, std::max(limit, state_.now() + late_drain_time)), is_done,
                        drain_check_interval);
}

asio::awaitable<void> gateway::stop_when_idle(time_point stop_began, std::function<void()> on_stopped) {
    const time_point limit = stop_began + state_.settings.stop_limit - exit_reserve;
    co_await wait_until(std::min(limit, stop_began + idle_close_delay), [] { return false; });
    caller_server_.close_idle_connections();
    const auto is_idle = [&] {
        return caller_server_.busy_connections() == 0 && state_.now() - stop_began > balancer_lag;
    };
    co_await wait_until(state_.answer_until, is_idle);
    end_requests();
    co_await wait_until(limit, is_idle);
    co_await finish_coordination(limit + last_write_time);
    co_await drain_callers(limit);
    for (const auto& handler : handlers_) {
        handler->record_cut_by_exit();
    }
    state_.log.write(
        event::instance_stopped,
        fmt::format("instance={} drained={}", state_.settings.name.text(), state_.requests_in_progress == 0));
    on_stopped();
}

} // namespace lovageledge
