#include "lovageledge/service/instance.hpp"

#include <spdlog/spdlog.h>

namespace lovageledge {
namespace {

constexpr auto tick_interval = std::chrono::milliseconds{25};

} // namespace

instance::instance(asio::io_context& context, daemon_settings settings)
    : context_{context}, settings_{std::move(settings)}, node_{settings_.identity, settings_.coordination,
                                                               [this](event number, std::string_view text) {
                                                                   log_.write(number, text);
                                                               }},
      platform_{
          std::make_shared<platform_client>(context, settings_.platform_address,
                                            [this](std::uint64_t call, const platform_response& answer) {
                                                execute(node_.on_platform_response(call, answer, now()));
                                            })},
      peers_{[this](const protocol::Envelope& message) { execute(node_.on_peer_message(message, now())); },
             [](const error& why) { spdlog::warn("{}", why.text()); }},
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

bool instance::start(error& why) {
    const bool is_listening = peers_.listen(settings_.identity.peer_address, why) &&
                              caller_server_.listen(settings_.caller_address, why) &&
                              admin_server_.listen(settings_.admin_address, why);
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
    const time_point began = now();
    // The balancer needs time to notice; callers that it still sends are served.
    timer.expires_after(settings_.balancer_lag);
    co_await timer.async_wait(asio::use_awaitable);
    caller_server_.stop_accepting();
    while ((!node_.is_drained() || callers_.size() > 0) && now() - began < settings_.drain_limit) {
        timer.expires_after(tick_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    log_.write(event::instance_stopped,
               fmt::format("instance={} drained={}", settings_.identity.name.text(), node_.is_drained()));
    spdlog::default_logger()->flush();
    context_.stop();
}

void instance::leave(const request_id& id) {
    execute(node_.on_caller_disconnected(id, now()));
}

std::shared_ptr<engine_client> instance::link_to(const server_name& server) {
    const std::scoped_lock lock{links_mutex_};
    auto& link = links_[server];
    if (link) {
        return link;
    }
    engine_client::listeners listeners;
    listeners.on_status = [this, server](const start_id& start, const std::vector<adapter_key>& loaded,
                                         bool is_leaving) {
        execute(node_.on_server_status(server, start, loaded, is_leaving, now()));
    };
    listeners.on_unreachable = [this, server] { execute(node_.on_server_unreachable(server, now())); };
    listeners.on_load = [this, server](const adapter_key& key, engine_client::order_result result) {
        execute(node_.on_load_answer(server, key, result, now()));
    };
    listeners.on_unload = [this, server](const adapter_key& key, engine_client::order_result result) {
        execute(node_.on_unload_answer(server, key, result, now()));
    };
    listeners.on_progress = [this, server](const attempt_id& id, std::uint32_t offset,
                                           std::vector<std::string> tokens) {
        execute(node_.on_dispatch_progress(server, id, offset, std::move(tokens), now()));
    };
    listeners.on_ended = [this, server](const attempt_id& id, const request_result& result,
                                        std::uint32_t tokens) {
        {
            const std::scoped_lock inner{links_mutex_};
            dispatched_.erase(id);
        }
        execute(node_.on_dispatch_ended(server, id, result, tokens, now()));
    };
    listeners.on_released = [this, server](const attempt_id& id) {
        execute(node_.on_dispatch_end_confirmed(server, id, now()));
    };
    link = std::make_shared<engine_client>(context_, server, settings_.coordination.credit_window,
                                           settings_.stream_silence, std::move(listeners));
    return link;
}

void instance::execute(command_list commands) {
    for (node_command& item : commands) {
        std::visit([this](auto& value) { carry_out(value); }, item);
    }
}

void instance::carry_out(send_to_peer& item) {
    peers_.send(item.to, item.message);
}

void instance::carry_out(call_platform& item) {
    platform_->start(std::move(item));
}

void instance::carry_out(dispatch_request& item) {
    const auto link = link_to(item.server);
    {
        const std::scoped_lock lock{links_mutex_};
        dispatched_[item.id] = item.server;
    }
    link->dispatch(std::move(item));
}

void instance::carry_out(cancel_dispatch& item) {
    const std::scoped_lock lock{links_mutex_};
    const auto server = dispatched_.find(item.id);
    if (server != dispatched_.end()) {
        links_.at(server->second)->cancel(item.id);
    }
}

void instance::carry_out(confirm_dispatch_ended& item) {
    const auto link = link_to(item.server);
    link->confirm(item);
}

void instance::carry_out(extend_credit& item) {
    const std::scoped_lock lock{links_mutex_};
    const auto server = dispatched_.find(item.id);
    if (server != dispatched_.end()) {
        links_.at(server->second)->extend(item.id, item.tokens);
    }
}

void instance::carry_out(order_load& item) {
    const auto link = link_to(item.server);
    link->load(std::move(item));
}

void instance::carry_out(order_unload& item) {
    const auto link = link_to(item.server);
    link->unload(std::move(item));
}

void instance::carry_out(probe_server& item) {
    const auto link = link_to(item.server);
    link->probe(std::move(item));
}

void instance::carry_out(connect_peer& item) {
    peers_.connect(item.peer, item.address);
}

void instance::carry_out(deliver_tokens& item) {
    if (const auto stream = callers_.find(item.request)) {
        stream->push(std::move(item.tokens));
    }
}

void instance::carry_out(finish_request& item) {
    metrics_.count("requests_total{outcome=\"" + outcome_text(item.result.outcome) + "\"}");
    if (const auto stream = callers_.find(item.request)) {
        stream->finish(std::move(item.result));
    }
}

void instance::carry_out(call_plain_service& item) {
    asio::co_spawn(asio::make_strand(context_), caller_api_.run_plain(std::move(item)), asio::detached);
}

void instance::carry_out(finish_publication& item) {
    admin_.on_published(std::move(item));
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
