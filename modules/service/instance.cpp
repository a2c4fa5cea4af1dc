#include "lovageledge/service/instance.hpp"

#include <spdlog/spdlog.h>

namespace lovageledge {
namespace {

constexpr auto tick_interval = std::chrono::milliseconds{25};
/** Callers are drained for at least this long, though the process was suspended until its limit. */
constexpr auto late_drain_time = std::chrono::milliseconds{200};

} // namespace

instance::instance(asio::io_context& context, daemon_settings settings)
    : context_{context}, settings_{std::move(settings)}, node_{settings_.identity, settings_.coordination,
                                                               [this](event number, std::string_view text) {
                                                                   log_.write(number, text);
                                                               }},
      platform_{
          std::make_shared<platform_client>(context, settings_.platform_address,
                                            [this](std::uint64_t call, const platform_response& response) {
                                                execute(node_.on_platform_response(call, response, now()));
                                            })},
      peers_{[this](const protocol::Envelope& message) { execute(node_.on_peer_message(message, now())); },
             [](const error& failure) { spdlog::warn("{}", failure.text()); }},
      caller_api_{*this}, admin_{*this}, caller_server_{context, settings_.limits,
                                                        [this](http_exchange& exchange) {
                                                            if (is_stopping_) {
                                                                exchange.close_after_response();
                                                            }
                                                            return caller_api_.handle(exchange);
                                                        }},
      admin_server_{context,
                    http_limits{16 * 1024, 64ULL * 1024 * 1024, 64, std::chrono::seconds{30},
                                std::chrono::seconds{75}, std::chrono::seconds{30}},
                    [this](http_exchange& exchange) { return admin_.handle(exchange); }} {}

instance::~instance() = default;

bool instance::start(error& failure) {
    const bool is_listening = peers_.listen(settings_.identity.peer_address, failure) &&
                              caller_server_.listen(settings_.caller_address, failure) &&
                              admin_server_.listen(settings_.admin_address, failure);
    if (!is_listening) {
        return false;
    }
    for (const auto& [name, address] : settings_.seed_peers) {
        execute(node_.add_peer(name, address));
    }
    log_.write(event::instance_started,
               fmt::format("instance={} start={} region={} data_centre={} callers={} peers={}",
                           settings_.identity.name.text(), settings_.identity.start.text(),
                           settings_.identity.region.text(), settings_.identity.data_centre.text(),
                           settings_.caller_address, settings_.identity.peer_address));
    asio::co_spawn(asio::make_strand(context_), tick_loop(), asio::detached);
    return true;
}

asio::awaitable<void> instance::tick_loop() {
    asio::steady_timer timer{co_await asio::this_coro::executor};
    while (true) {
        execute(node_.on_tick(now()));
        timer.expires_after(tick_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void instance::stop() {
    if (is_stopping_.exchange(true)) {
        return;
    }
    asio::co_spawn(context_, drain(), asio::detached);
}

asio::awaitable<void> instance::drain() {
    execute(node_.begin_drain(now()));
    asio::steady_timer timer{co_await asio::this_coro::executor};
    const time_point started_at = now();
    // The load balancer needs time to notice the stop; callers that it still sends here are served.
    timer.expires_after(settings_.balancer_lag);
    co_await timer.async_wait(asio::use_awaitable);
    server_drain callers{caller_server_};
    const time_point limit = std::max(started_at + settings_.drain_limit, now() + late_drain_time);
    while (now() < limit) {
        const bool are_callers_drained = callers.advance(now());
        if (are_callers_drained && node_.is_drained() && caller_streams_.size() == 0) {
            break;
        }
        timer.expires_after(tick_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    const bool is_drained = node_.is_drained();
    const std::size_t cut = node_.cut_requests(now());
    metrics_.count("requests_cut_total{cause=\"stop\"}", cut);
    log_.write(event::instance_stopped,
               fmt::format("instance={} drained={} cut={}", settings_.identity.name.text(), is_drained, cut));
    spdlog::default_logger()->flush();
    context_.stop();
}

void instance::abandon_request(const request_id& id) {
    execute(node_.on_caller_disconnected(id, now()));
}

std::shared_ptr<engine_client> instance::engine_client_for(const server_name& server) {
    const std::scoped_lock lock{engine_clients_mutex_};
    auto& client = engine_clients_[server];
    if (client) {
        return client;
    }
    engine_client::callbacks callbacks;
    callbacks.on_status = [this, server](const start_id& start, const std::vector<adapter_key>& loaded,
                                         bool is_leaving) {
        execute(node_.on_server_status(server, start, loaded, is_leaving, now()));
    };
    callbacks.on_unreachable = [this, server] { execute(node_.on_server_unreachable(server, now())); };
    callbacks.on_load = [this, server](const adapter_key& key, engine_client::order_result result) {
        execute(node_.on_load_answer(server, key, result, now()));
    };
    callbacks.on_unload = [this, server](const adapter_key& key, engine_client::order_result result) {
        execute(node_.on_unload_answer(server, key, result, now()));
    };
    callbacks.on_progress = [this, server](const attempt_id& id, std::uint32_t offset,
                                           std::vector<std::string> tokens) {
        execute(node_.on_dispatch_progress(server, id, offset, std::move(tokens), now()));
    };
    callbacks.on_ended = [this, server](const attempt_id& id, const request_result& result,
                                        std::uint32_t tokens) {
        {
            const std::scoped_lock inner{engine_clients_mutex_};
            dispatch_servers_.erase(id);
        }
        execute(node_.on_dispatch_ended(server, id, result, tokens, now()));
    };
    callbacks.on_end_confirmed = [this, server](const attempt_id& id) {
        execute(node_.on_dispatch_end_confirmed(server, id, now()));
    };
    client = std::make_shared<engine_client>(context_, server, settings_.coordination.credit_window,
                                             settings_.stream_silence, std::move(callbacks));
    return client;
}

void instance::execute(command_list commands) {
    for (node_command& command : commands) {
        std::visit([this](auto& value) { execute_command(value); }, command);
    }
}

void instance::execute_command(send_to_peer& command) {
    peers_.send(command.to, command.message);
}

void instance::execute_command(call_platform& command) {
    platform_->start(std::move(command));
}

void instance::execute_command(dispatch_request& command) {
    const auto client = engine_client_for(command.server);
    {
        const std::scoped_lock lock{engine_clients_mutex_};
        dispatch_servers_[command.id] = command.server;
    }
    client->dispatch(std::move(command));
}

void instance::execute_command(cancel_dispatch& command) {
    const std::scoped_lock lock{engine_clients_mutex_};
    const auto server = dispatch_servers_.find(command.id);
    if (server != dispatch_servers_.end()) {
        engine_clients_.at(server->second)->cancel(command.id);
    }
}

void instance::execute_command(confirm_dispatch_ended& command) {
    const auto client = engine_client_for(command.server);
    client->confirm(command);
}

void instance::execute_command(extend_credit& command) {
    const std::scoped_lock lock{engine_clients_mutex_};
    const auto server = dispatch_servers_.find(command.id);
    if (server != dispatch_servers_.end()) {
        engine_clients_.at(server->second)->add_credit(command.id, command.tokens);
    }
}

void instance::execute_command(order_load& command) {
    const auto client = engine_client_for(command.server);
    client->load(std::move(command));
}

void instance::execute_command(order_unload& command) {
    const auto client = engine_client_for(command.server);
    client->unload(std::move(command));
}

void instance::execute_command(probe_server& command) {
    const auto client = engine_client_for(command.server);
    client->probe(std::move(command));
}

void instance::execute_command(connect_peer& command) {
    peers_.connect(command.peer, command.address);
}

void instance::execute_command(deliver_tokens& command) {
    if (const auto stream = caller_streams_.find(command.request)) {
        stream->push(std::move(command.tokens));
    }
}

void instance::execute_command(finish_request& command) {
    metrics_.count("requests_total{outcome=\"" + outcome_text(command.result.outcome) + "\"}");
    if (const auto stream = caller_streams_.find(command.request)) {
        stream->finish(std::move(command.result));
    }
}

void instance::execute_command(call_plain_service& command) {
    asio::co_spawn(asio::make_strand(context_), caller_api_.run_plain_service_call(std::move(command)),
                   asio::detached);
}

void instance::execute_command(finish_publication& command) {
    admin_.on_apply_finished(std::move(command));
}

std::string instance::metrics_text() const {
    std::string text = metrics_.text();
    text += fmt::format("ledge_platform_calls_total {}\n", platform_->calls());
    text += fmt::format("ledge_peer_bytes_total {}\n", peers_.sent_bytes());
    text += fmt::format("ledge_peer_messages_dropped_total {}\n", peers_.dropped_messages());
    text += fmt::format("ledge_connections {}\n", caller_server_.connections());
    return text;
}

} // namespace lovageledge
