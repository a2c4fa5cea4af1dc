#include "lovageledge/coordination/node.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;

/** Interval between reads of the platform's instance list. */
constexpr auto list_interval = milliseconds{2000};
/** Every so many heartbeats, the adapter lists of all servers are sent even if unchanged, for peers that
    missed a heartbeat. */
constexpr std::uint64_t heartbeats_per_full_report = 8;

} // namespace

struct node::owner_shard {
    owner_shard(backend_server server, bool has_fencing, const instance_identity& self,
                const coordination_settings& settings, const event_log& log)
        : owner{std::move(server), has_fencing, self, settings, log} {}

    std::mutex mutex;
    server_owner owner;
};

struct node::request_shard {
    request_shard(std::uint64_t number, const instance_identity& self, const coordination_settings& settings,
                  const event_log& log, request_table::hooks hooks)
        : calls{number, request_shard_count + 1}, table{self, settings, log, calls, std::move(hooks)} {}

    std::mutex mutex;
    platform_calls calls;
    request_table table;
};

node::node(instance_identity identity, coordination_settings settings, event_log log)
    : identity_{std::move(identity)}, settings_{settings}, log_{std::move(log)}, members_{identity_,
                                                                                          settings_},
      control_calls_{request_shard_count + 1, request_shard_count + 1}, ownership_{identity_, settings_, log_,
                                                                                   members_, control_calls_},
      configurations_{identity_, settings_, log_, members_, control_calls_},
      publisher_{settings_, control_calls_,
                 [this](const protocol::RevisionRecord& record, const std::vector<std::string>& parts) {
                     configurations_.adopt_if_newer(record.revision(), record.digest(), parts, "operator");
                 }},
      budget_{settings_}, router_{identity_, settings_}, quarantine_{settings_.crash_limit} {
    request_table::hooks hooks;
    hooks.pick = [this](const protocol::RequestSpec& spec, const std::set<server_name>& excluded) {
        const std::scoped_lock lock{router_mutex_};
        return router_.pick(spec, excluded);
    };
    hooks.is_quarantined = [this](const std::string& fingerprint) {
        const std::scoped_lock lock{quarantine_mutex_};
        return settings_.safeguard.quarantine && quarantine_.is_quarantined(fingerprint);
    };
    hooks.report_not_owner = [this](const server_name& server, const instance_name& owner) {
        const std::scoped_lock lock{router_mutex_};
        router_.on_not_owner(server, owner);
    };
    for (std::size_t index = 0; index < request_shard_count; ++index) {
        request_shards_[index] =
            std::make_unique<request_shard>(index + 1, identity_, settings_, log_, hooks);
    }
}

node::~node() = default;

node::request_shard& node::shard_of(const request_id& id) {
    return *request_shards_[std::hash<request_id>{}(id) % request_shard_count];
}

std::shared_ptr<node::owner_shard> node::find_owner(const server_name& server) const {
    const std::shared_lock lock{owners_mutex_};
    const auto shard = owners_.find(server);
    return shard == owners_.end() ? nullptr : shard->second;
}

std::shared_ptr<node::owner_shard> node::find_or_create_owner(const backend_server& server,
                                                              bool has_fencing) {
    const std::unique_lock lock{owners_mutex_};
    auto& shard = owners_[server.name];
    if (!shard) {
        shard = std::make_shared<owner_shard>(server, has_fencing, identity_, settings_, log_);
    }
    return shard;
}

template <class Event>
void node::with_owner(const server_name& server, time_point now, command_list& out, Event&& callback) {
    const auto shard = find_owner(server);
    const configuration_ptr config = current_configuration();
    if (!shard || !config) {
        return;
    }
    owner_actions actions;
    std::vector<server_owner::crashed_request> crashed;
    std::vector<std::string> cleared;
    start_id server_start;
    {
        const std::scoped_lock lock{shard->mutex};
        callback(shard->owner, *config);
        actions = shard->owner.take_actions();
        crashed = shard->owner.take_crashed_requests();
        cleared = shard->owner.take_cleared_fingerprints();
        server_start = shard->owner.server_start();
    }
    update_quarantine(crashed, cleared, now);
    process_owner_actions(server, server_start, std::move(actions), now, out);
}

void node::update_quarantine(const std::vector<server_owner::crashed_request>& crashed,
                             const std::vector<std::string>& cleared, time_point now) {
    if (crashed.empty() && cleared.empty()) {
        return;
    }
    const std::scoped_lock lock{quarantine_mutex_};
    for (const auto& [fingerprint, engine_start] : crashed) {
        const bool is_quarantined = quarantine_.on_crash(fingerprint, engine_start, now);
        log_(is_quarantined ? event::fingerprint_quarantined : event::fingerprint_suspected,
             fmt::format("fingerprint={} start={}", fingerprint, engine_start.text()));
    }
    for (const std::string& fingerprint : cleared) {
        quarantine_.on_cleared(fingerprint, now);
        log_(event::fingerprint_cleared, fmt::format("fingerprint={}", fingerprint));
    }
}

void node::send_to_budget_holder(protocol::Envelope message, command_list& out) const {
    out.emplace_back(send_to_peer{members_.budget_holder(), std::move(message)});
}

void node::process_owner_actions(const server_name& server, const start_id& server_start,
                                 owner_actions actions, time_point now, command_list& out) {
    const bool has_actions = actions.intents || actions.confirmation_ticket ||
                             !actions.budget_requests.empty() || !actions.budget_releases.empty();
    if (!has_actions) {
        return;
    }
    const std::scoped_lock lock{control_mutex_};
    if (actions.intents) {
        ownership_.record_intents(server, *actions.intents, server_start, now, out);
    }
    if (actions.confirmation_ticket) {
        ownership_.confirm_ownership(server, server_start, *actions.confirmation_ticket, now, out);
    }
    for (const adapter_key& key : actions.budget_releases) {
        protocol::Envelope message;
        message.mutable_budget_release()->set_server(server.text());
        message.mutable_budget_release()->set_adapter(key.text());
        send_to_budget_holder(std::move(message), out);
    }
    for (const auto& [key, weight] : actions.budget_requests) {
        protocol::Envelope message;
        message.mutable_budget_request()->set_server(server.text());
        message.mutable_budget_request()->set_adapter(key.text());
        message.mutable_budget_request()->set_weight(weight);
        send_to_budget_holder(std::move(message), out);
    }
}

command_list node::deliver_local_messages(command_list commands, time_point now) {
    command_list external_commands;
    while (!commands.empty()) {
        command_list follow_ups;
        for (node_command& item : commands) {
            auto* message = std::get_if<send_to_peer>(&item);
            if (message == nullptr) {
                external_commands.push_back(std::move(item));
                continue;
            }
            message->message.set_protocol_version(peer_protocol_version);
            message->message.set_from(identity_.name.text());
            message->message.set_from_start(identity_.start.text());
            if (message->to == identity_.name) {
                handle_peer_message(message->message, now, follow_ups);
            } else {
                external_commands.push_back(std::move(item));
            }
        }
        commands = std::move(follow_ups);
    }
    return external_commands;
}

command_list node::add_peer(const instance_name& name, const std::string& address) {
    command_list out;
    const std::scoped_lock lock{control_mutex_};
    if (name != identity_.name && addresses_[name] != address) {
        addresses_[name] = address;
        out.emplace_back(connect_peer{name, address});
    }
    return out;
}

command_list node::accept(incoming_request incoming, time_point now) {
    command_list out;
    request_shard& shard = shard_of(request_id{incoming.spec.id()});
    {
        const std::scoped_lock lock{shard.mutex};
        shard.table.accept(std::move(incoming), now, out);
    }
    return deliver_local_messages(std::move(out), now);
}

command_list node::on_tokens_delivered(const request_id& id, std::uint32_t tokens, time_point now) {
    command_list out;
    request_shard& shard = shard_of(id);
    {
        const std::scoped_lock lock{shard.mutex};
        shard.table.on_tokens_delivered(id, tokens, out);
    }
    return deliver_local_messages(std::move(out), now);
}

command_list node::on_caller_disconnected(const request_id& id, time_point now) {
    command_list out;
    request_shard& shard = shard_of(id);
    {
        const std::scoped_lock lock{shard.mutex};
        shard.table.on_caller_disconnected(id, now, out);
    }
    return deliver_local_messages(std::move(out), now);
}

command_list node::on_plain_service_ended(const request_id& id, const request_result& result,
                                          time_point now) {
    command_list out;
    request_shard& shard = shard_of(id);
    {
        const std::scoped_lock lock{shard.mutex};
        shard.table.on_plain_service_ended(id, result, now, out);
    }
    return deliver_local_messages(std::move(out), now);
}

command_list node::on_platform_response(std::uint64_t call, const platform_response& response,
                                        time_point now) {
    command_list out;
    const std::uint64_t shard_number = call % (request_shard_count + 1);
    if (shard_number == 0) {
        const std::scoped_lock lock{control_mutex_};
        control_calls_.complete(call, response, now, out);
        apply_configuration();
        apply_ownership_events(now, out);
    } else {
        request_shard& shard = *request_shards_[shard_number - 1];
        const std::scoped_lock lock{shard.mutex};
        shard.calls.complete(call, response, now, out);
    }
    return deliver_local_messages(std::move(out), now);
}

command_list node::on_dispatch_progress(const server_name& server, const attempt_id& id, std::uint32_t offset,
                                        std::vector<std::string> tokens, time_point now) {
    command_list out;
    with_owner(server, now, out, [&](server_owner& owner, const configuration&) {
        owner.on_progress(id, offset, std::move(tokens), now, out);
    });
    return deliver_local_messages(std::move(out), now);
}

command_list node::on_dispatch_ended(const server_name& server, const attempt_id& id,
                                     const request_result& result, std::uint32_t tokens, time_point now) {
    command_list out;
    with_owner(server, now, out, [&](server_owner& owner, const configuration& config) {
        owner.on_ended(id, result, tokens, config, now, out);
    });
    return deliver_local_messages(std::move(out), now);
}

command_list node::on_dispatch_end_confirmed(const server_name& server, const attempt_id& id,
                                             time_point now) {
    command_list out;
    with_owner(server, now, out, [&](server_owner& owner, const configuration& config) {
        owner.on_released(id, config, now, out);
    });
    return deliver_local_messages(std::move(out), now);
}

command_list node::on_server_status(const server_name& server, const start_id& start,
                                    const std::vector<adapter_key>& loaded, bool is_leaving, time_point now) {
    command_list out;
    with_owner(server, now, out, [&](server_owner& owner, const configuration& config) {
        if (is_leaving) {
            owner.set_leaving(start, out);
        }
        owner.on_status(start, loaded, config, now, out);
    });
    if (is_leaving) {
        const std::scoped_lock lock{router_mutex_};
        router_.set_leaving(server, start);
    }
    return deliver_local_messages(std::move(out), now);
}

command_list node::on_server_unreachable(const server_name& server, time_point now) {
    command_list out;
    with_owner(server, now, out,
               [&](server_owner& owner, const configuration&) { owner.on_unreachable(now, out); });
    return deliver_local_messages(std::move(out), now);
}

command_list node::on_load_answer(const server_name& server, const adapter_key& key,
                                  server_owner::order_result result, time_point now) {
    command_list out;
    with_owner(server, now, out, [&](server_owner& owner, const configuration& config) {
        owner.on_load_answer(key, result, config, now, out);
    });
    return deliver_local_messages(std::move(out), now);
}

command_list node::on_unload_answer(const server_name& server, const adapter_key& key,
                                    server_owner::order_result result, time_point now) {
    command_list out;
    with_owner(server, now, out, [&](server_owner& owner, const configuration& config) {
        owner.on_unload_answer(key, result, config, now, out);
    });
    return deliver_local_messages(std::move(out), now);
}

command_list node::publish_sheet(publication_request request, time_point now) {
    command_list out;
    {
        const std::scoped_lock lock{control_mutex_};
        publisher_.publish(std::move(request), configurations_.sheet(), now, out);
    }
    return deliver_local_messages(std::move(out), now);
}

void node::apply_configuration() {
    if (!configurations_.take_adopted()) {
        return;
    }
    std::atomic_store(&configuration_, configurations_.current());
    next_heartbeat_at_ = time_point{}; // Announces the new revision to peers at once.
    const std::scoped_lock lock{router_mutex_};
    router_.set_configuration(configurations_.current());
}

void node::apply_ownership_events(time_point now, command_list& out) {
    const configuration_ptr config = current_configuration();
    if (!config) {
        return;
    }
    for (const ownership_event& change : ownership_.take_events()) {
        apply_ownership_event(change, *config, now, out);
    }
}

void node::apply_ownership_event(const ownership_event& change, const configuration& config, time_point now,
                                 command_list& out) {
    if (change.type == ownership_event::kind::began) {
        const auto declared = config.servers.find(change.server);
        if (declared == config.servers.end()) {
            return;
        }
        const auto shard =
            find_or_create_owner(declared->second, config.pools.at(declared->second.pool).has_fencing);
        const std::scoped_lock lock{shard->mutex};
        shard->owner.begin(change.epoch, change.former, now, out);
        next_heartbeat_at_ = time_point{};
        return;
    }
    const auto shard = find_owner(change.server);
    if (!shard) {
        return;
    }
    const std::scoped_lock lock{shard->mutex};
    switch (change.type) {
    case ownership_event::kind::began:
        break;
    case ownership_event::kind::handing_over:
        shard->owner.stop_admission("server is handed over", out);
        break;
    case ownership_event::kind::resumed:
        shard->owner.resume_admission();
        break;
    case ownership_event::kind::lost:
        shard->owner.stop_admission("server has another owner", out);
        break;
    case ownership_event::kind::recorded:
        shard->owner.on_recorded(change.intents, change.server_start, change.ticket, config, now, out);
        break;
    case ownership_event::kind::former_holders_changed:
        shard->owner.set_former_holders(change.former, now);
        break;
    }
}

command_list node::on_peer_message(const protocol::Envelope& message, time_point now) {
    command_list out;
    handle_peer_message(message, now, out);
    return deliver_local_messages(std::move(out), now);
}

void node::handle_peer_message(const protocol::Envelope& message, time_point now, command_list& out) {
    const instance_name from{message.from()};
    const start_id start{message.from_start()};
    const auto with_request_table = [&](const std::string& id, auto&& function) {
        request_shard& shard = shard_of(request_id{id});
        const std::scoped_lock lock{shard.mutex};
        function(shard.table);
    };
    switch (message.body_case()) {
    case protocol::Envelope::kHeartbeat:
        on_heartbeat(from, start, message.heartbeat(), now, out);
        break;
    case protocol::Envelope::kSubmit:
        on_submit(from, message.submit(), now, out);
        break;
    case protocol::Envelope::kRefused:
        with_request_table(message.refused().request(), [&](request_table& table) {
            table.on_refused(from, message.refused(), now, out);
        });
        break;
    case protocol::Envelope::kProgress:
        with_request_table(message.progress().request(), [&](request_table& table) {
            table.on_progress(from, message.progress(), now, out);
        });
        break;
    case protocol::Envelope::kEnded:
        with_request_table(message.ended().request(),
                           [&](request_table& table) { table.on_ended(from, message.ended(), now, out); });
        break;
    case protocol::Envelope::kCancel:
        with_owner(
            server_name{message.cancel().server()}, now, out, [&](server_owner& owner, const configuration&) {
                owner.on_cancel({request_id{message.cancel().request()}, message.cancel().attempt()}, out);
            });
        break;
    case protocol::Envelope::kCredit:
        with_owner(server_name{message.credit().server()}, now, out,
                   [&](server_owner& owner, const configuration&) {
                       owner.on_credit({request_id{message.credit().request()}, message.credit().attempt()},
                                       message.credit().tokens(), out);
                   });
        break;
    case protocol::Envelope::kBudgetRequest: {
        const std::scoped_lock lock{control_mutex_};
        const auto& request = message.budget_request();
        budget_.on_request({from, server_name{request.server()}, adapter_key{request.adapter()}},
                           request.weight(), now);
        break;
    }
    case protocol::Envelope::kBudgetRelease: {
        const std::scoped_lock lock{control_mutex_};
        const auto& release = message.budget_release();
        budget_.on_release({from, server_name{release.server()}, adapter_key{release.adapter()}});
        break;
    }
    case protocol::Envelope::kBudgetGrant:
        with_owner(server_name{message.budget_grant().server()}, now, out,
                   [&](server_owner& owner, const configuration& config) {
                       owner.on_budget_grant(adapter_key{message.budget_grant().adapter()}, config, now, out);
                   });
        break;
    case protocol::Envelope::kDrained: {
        const std::scoped_lock lock{control_mutex_};
        ownership_.on_drained(from, start, message.drained(), now, out);
        apply_ownership_events(now, out);
        break;
    }
    case protocol::Envelope::kDrainedAck: {
        const std::scoped_lock lock{control_mutex_};
        ownership_.on_drained_ack(message.drained_ack());
        break;
    }
    case protocol::Envelope::kHandover: {
        const std::scoped_lock lock{control_mutex_};
        ownership_.on_handover(message.handover(), now, out);
        break;
    }
    case protocol::Envelope::kConfigurationFetch: {
        const std::scoped_lock lock{control_mutex_};
        configurations_.on_fetch(from, message.configuration_fetch(), out);
        break;
    }
    case protocol::Envelope::kConfigurationPart: {
        const std::scoped_lock lock{control_mutex_};
        configurations_.on_part(from, message.configuration_part());
        apply_configuration();
        break;
    }
    case protocol::Envelope::kGatewayState:
    case protocol::Envelope::kWeightsWanted:
    case protocol::Envelope::kWeightsHeld:
    case protocol::Envelope::kDataCentreBeat:
    case protocol::Envelope::kDataCentreWork:
    case protocol::Envelope::kStoreUpdate:
    case protocol::Envelope::kCrashReport: // Exchanged only between gateways.
    case protocol::Envelope::BODY_NOT_SET:
        break;
    }
}

void node::on_submit(const instance_name& from, const protocol::Submit& submit, time_point now,
                     command_list& out) {
    const server_name server{submit.server()};
    if (find_owner(server) && current_configuration()) {
        with_owner(server, now, out, [&](server_owner& owner, const configuration& config) {
            owner.on_submit(from, submit, config, now, out);
        });
        return;
    }
    protocol::Envelope message;
    auto* refused = message.mutable_refused();
    refused->set_request(submit.spec().id());
    refused->set_attempt(submit.attempt());
    refused->set_step("owner.ownership");
    refused->set_reason("server is not served here");
    out.emplace_back(send_to_peer{from, std::move(message)});
}

void node::on_heartbeat(const instance_name& from, const start_id& start,
                        const protocol::Heartbeat& heartbeat, time_point now, command_list& out) {
    membership::change change = membership::change::none;
    bool is_budget_holder = false;
    {
        const std::scoped_lock lock{control_mutex_};
        change = members_.on_heartbeat(from, start, heartbeat, now);
        const auto peer = members_.peers().find(from);
        const bool is_current = peer != members_.peers().end() && peer->second.start == start;
        is_budget_holder = members_.budget_holder() == from;
        if (!is_current) {
            return;
        }
        if (!heartbeat.address().empty() && addresses_[from] != heartbeat.address()) {
            addresses_[from] = heartbeat.address();
            out.emplace_back(connect_peer{from, heartbeat.address()});
        }
        for (const auto& report : heartbeat.servers()) {
            ownership_.on_announced(server_name{report.server()}, from, report.epoch(), now, out);
        }
    }
    if (change == membership::change::restarted) {
        log_(event::peer_restarted, fmt::format("peer={} start={}", from.text(), start.text()));
        handle_owner_loss(from, now, out);
    } else if (change == membership::change::returned) {
        log_(event::peer_returned, fmt::format("peer={}", from.text()));
    }
    std::vector<std::pair<server_name, start_id>> leaving;
    {
        const std::scoped_lock lock{router_mutex_};
        if (is_budget_holder) {
            router_.set_load_backlog(milliseconds{heartbeat.load_backlog_ms()});
        }
        for (const auto& report : heartbeat.servers()) {
            router_.on_report(from, report);
        }
        for (const auto& server : heartbeat.leaving()) {
            const server_name name{server.server()};
            const auto known = router_.leaving().find(name);
            if (known == router_.leaving().end() || known->second.text() != server.start()) {
                router_.set_leaving(name, start_id{server.start()});
                leaving.emplace_back(name, start_id{server.start()});
            }
        }
    }
    for (const auto& [name, server_start] : leaving) {
        log_(event::server_leaving,
             fmt::format("server={} start={} source={}", name.text(), server_start.text(), from.text()));
        with_owner(name, now, out,
                   [&, leaving_start = server_start](server_owner& owner, const configuration&) {
                       owner.set_leaving(leaving_start, out);
                   });
    }
    if (heartbeat.fingerprints_size() > 0) {
        const std::scoped_lock lock{quarantine_mutex_};
        for (const auto& report : heartbeat.fingerprints()) {
            std::set<start_id> engine_starts;
            for (const std::string& engine_start : report.crashed_starts()) {
                engine_starts.emplace(engine_start);
            }
            quarantine_.on_report(report.fingerprint(), engine_starts, now);
        }
    }
}

void node::handle_owner_loss(const instance_name& owner, time_point now, command_list& out) {
    {
        const std::scoped_lock lock{router_mutex_};
        router_.on_owner_lost(owner);
    }
    for (const auto& shard : request_shards_) {
        const std::scoped_lock lock{shard->mutex};
        shard->table.on_owner_lost(owner, now, out);
    }
}

void node::list_instances(time_point now, command_list& out) {
    if (is_list_pending_ || now < next_list_at_) {
        return;
    }
    is_list_pending_ = true;
    next_list_at_ = now + list_interval;
    control_calls_.start(
        {0, platform_operation::list_instances, "", "", 0, ""},
        [this](const platform_response& response, time_point when, command_list& commands) {
            is_list_pending_ = false;
            on_instance_list(response, when, commands);
        },
        out);
}

void node::on_instance_list(const platform_response& response, time_point now, command_list& out) {
    if (response.status != platform_status::ok) {
        return;
    }
    const auto list = parse_instance_list(response.data);
    if (!list) {
        return;
    }
    members_.on_list(*list, now);
    listed_leaving_.clear();
    for (const listed_instance& item : *list) {
        const instance_name name{item.name};
        if (item.is_backend && item.is_leaving) {
            listed_leaving_.insert(server_name{item.name});
        } else if (!item.is_backend && name != identity_.name && !addresses_.contains(name)) {
            addresses_[name] = item.address;
            out.emplace_back(connect_peer{name, item.address});
        }
    }
}

void node::update_leaving_servers(time_point now, command_list& out) {
    std::set<server_name> listed;
    {
        const std::scoped_lock lock{control_mutex_};
        listed = listed_leaving_;
    }
    std::vector<std::pair<server_name, start_id>> newly_leaving;
    {
        const std::scoped_lock lock{router_mutex_};
        router_.set_listed_leaving(listed);
        std::erase_if(listed_leaving_starts_,
                      [&](const auto& entry) { return !listed.contains(entry.first); });
        for (const server_name& server : listed) {
            const auto* view = router_.find(server);
            if (view == nullptr || view->load.start.is_empty()) {
                continue;
            }
            // Only the engine start that was known when the server was first listed as leaving is excluded
            // permanently.
            const auto [start, is_new] = listed_leaving_starts_.try_emplace(server, view->load.start);
            if (is_new && settings_.safeguard.sticky_leaving) {
                router_.set_leaving(server, start->second);
                newly_leaving.emplace_back(server, start->second);
            }
        }
    }
    for (const auto& [server, start] : newly_leaving) {
        log_(event::server_leaving,
             fmt::format("server={} start={} source=list", server.text(), start.text()));
        with_owner(server, now, out, [&, leaving_start = start](server_owner& owner, const configuration&) {
            owner.set_leaving(leaving_start, out);
        });
    }
}

protocol::Heartbeat node::make_heartbeat(time_point now) {
    protocol::Heartbeat heartbeat;
    heartbeat.set_sequence(++heartbeat_sequence_);
    heartbeat.set_address(identity_.peer_address);
    heartbeat.set_region(identity_.region.text());
    heartbeat.set_data_centre(identity_.data_centre.text());
    heartbeat.set_revision(configurations_.current() ? configurations_.current()->revision : 0);
    heartbeat.set_draining(is_draining_);
    const configuration_ptr config = current_configuration();
    if (config && members_.budget_holder() == identity_.name) {
        heartbeat.set_load_backlog_ms(static_cast<std::uint32_t>(
            std::chrono::duration_cast<milliseconds>(budget_.backlog(config->store)).count()));
    }
    for (const instance_name& suspect : members_.suspects()) {
        heartbeat.add_suspects(suspect.text());
    }
    const bool is_full = heartbeat_sequence_ % heartbeats_per_full_report == 0;
    std::vector<std::pair<server_name, std::shared_ptr<owner_shard>>> owned;
    {
        const std::shared_lock lock{owners_mutex_};
        for (const auto& [name, shard] : owners_) {
            if (ownership_.is_owner(name)) {
                owned.emplace_back(name, shard);
            }
        }
    }
    for (const auto& [name, shard] : owned) {
        const std::scoped_lock lock{shard->mutex};
        const server_load load = shard->owner.load();
        auto* report = heartbeat.add_servers();
        report->set_server(name.text());
        report->set_start(load.start.text());
        report->set_epoch(shard->owner.epoch());
        report->set_generation(load.generation);
        report->set_running(load.running);
        report->set_waiting(load.waiting);
        report->set_wait_estimate_us(static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(load.wait_estimate).count()));
        report->set_load_estimate_us(static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(load.load_estimate).count()));
        report->set_ready(load.is_ready);
        auto& reported = reported_generations_[name];
        if (is_full || reported != load.generation) {
            reported = load.generation;
            report->set_has_adapters(true);
            for (const adapter_key& key : shard->owner.usable_adapters()) {
                report->add_adapters(key.text());
            }
        }
    }
    {
        const std::scoped_lock lock{router_mutex_};
        for (const auto& [server, start] : router_.leaving()) {
            auto* item = heartbeat.add_leaving();
            item->set_server(server.text());
            item->set_start(start.text());
        }
    }
    const std::scoped_lock lock{quarantine_mutex_};
    for (const auto& [fingerprint, engine_starts] : quarantine_.crashes(now)) {
        auto* item = heartbeat.add_fingerprints();
        item->set_fingerprint(fingerprint);
        for (const start_id& engine_start : engine_starts) {
            item->add_crashed_starts(engine_start.text());
        }
    }
    return heartbeat;
}

void node::send_heartbeats(time_point now, command_list& out) {
    bool is_due = now >= next_heartbeat_at_;
    {
        const std::scoped_lock lock{quarantine_mutex_};
        is_due = is_due || quarantine_.generation() != reported_quarantine_generation_;
        reported_quarantine_generation_ = quarantine_.generation();
    }
    if (!is_due) {
        return;
    }
    next_heartbeat_at_ = now + settings_.heartbeat_interval;
    const protocol::Heartbeat heartbeat = make_heartbeat(now);
    for (const auto& [name, address] : addresses_) {
        protocol::Envelope message;
        *message.mutable_heartbeat() = heartbeat;
        out.emplace_back(send_to_peer{name, std::move(message)});
    }
    const std::scoped_lock lock{router_mutex_};
    if (members_.budget_holder() == identity_.name) {
        router_.set_load_backlog(milliseconds{heartbeat.load_backlog_ms()});
    }
    for (const auto& report : heartbeat.servers()) {
        router_.on_report(identity_.name, report);
        ownership_.on_announced(server_name{report.server()}, identity_.name, report.epoch(), now, out);
    }
}

void node::tick_owners(time_point now, command_list& out) {
    std::vector<server_name> names;
    {
        const std::shared_lock lock{owners_mutex_};
        for (const auto& [name, shard] : owners_) {
            names.push_back(name);
        }
    }
    std::set<std::string> suspects;
    {
        const std::scoped_lock lock{quarantine_mutex_};
        quarantine_.on_tick(now);
        suspects = settings_.safeguard.quarantine ? quarantine_.suspects() : std::set<std::string>{};
    }
    for (const server_name& name : names) {
        bool is_owner_drained = false;
        bool has_open_order = false;
        with_owner(name, now, out, [&](server_owner& owner, const configuration& config) {
            owner.set_suspects(suspects);
            owner.on_tick(config, now, out);
            is_owner_drained = owner.is_drained();
            has_open_order = owner.has_open_order();
        });
        const std::scoped_lock lock{control_mutex_};
        ownership_.set_drained(name, is_owner_drained || !settings_.safeguard.drain, has_open_order);
    }
}

void node::tick_budget(time_point now, command_list& out) {
    const configuration_ptr config = current_configuration();
    if (members_.budget_holder() != identity_.name) {
        budget_.reset();
        return;
    }
    for (const load_request& granted : budget_.take_grants(config->store, now)) {
        log_(event::load_budget_granted,
             fmt::format("server={} adapter={} owner={} in_flight={}", granted.server.text(),
                         granted.key.text(), granted.owner.text(), budget_.in_flight()));
        protocol::Envelope message;
        message.mutable_budget_grant()->set_server(granted.server.text());
        message.mutable_budget_grant()->set_adapter(granted.key.text());
        out.emplace_back(send_to_peer{granted.owner, std::move(message)});
    }
}

command_list node::on_tick(time_point now) {
    command_list out;
    std::vector<instance_name> suspects;
    {
        const std::scoped_lock lock{control_mutex_};
        list_instances(now, out);
        configurations_.on_tick(now, out);
        publisher_.on_tick(now, out);
        apply_configuration();
        suspects = members_.suspect_silent_peers(now);
        send_heartbeats(now, out);
        if (const configuration_ptr config = current_configuration()) {
            ownership_.on_tick(*config, now, out);
            apply_ownership_events(now, out);
            tick_budget(now, out);
        }
    }
    for (const instance_name& name : suspects) {
        log_(event::peer_suspected, fmt::format("peer={}", name.text()));
        handle_owner_loss(name, now, out);
    }
    if (current_configuration()) {
        update_leaving_servers(now, out);
        tick_owners(now, out);
        for (const auto& shard : request_shards_) {
            const std::scoped_lock lock{shard->mutex};
            shard->table.on_tick(now, out);
        }
    }
    return deliver_local_messages(std::move(out), now);
}

command_list node::begin_drain(time_point now) {
    is_draining_ = true;
    {
        const std::scoped_lock lock{control_mutex_};
        members_.set_draining();
        ownership_.set_draining();
        next_heartbeat_at_ = time_point{};
    }
    log_(event::instance_stopping, fmt::format("instance={}", identity_.name.text()));
    return on_tick(now);
}

bool node::is_drained() const {
    for (const auto& shard : request_shards_) {
        const std::scoped_lock lock{shard->mutex};
        if (shard->table.size() > 0 || shard->table.pending_releases() > 0) {
            return false;
        }
    }
    const std::scoped_lock lock{control_mutex_};
    return ownership_.has_released_all_servers();
}

std::size_t node::cut_requests(time_point now) {
    const error why{"entry.stop", "", "the limit of the stop passed"};
    std::size_t count = 0;
    for (const auto& shard : request_shards_) {
        const std::scoped_lock lock{shard->mutex};
        count += shard->table.cut_all(why, now);
    }
    return count;
}

bool node::is_ready() const {
    return !is_draining_ && current_configuration() != nullptr;
}

std::string node::current_sheet() const {
    const std::scoped_lock lock{control_mutex_};
    return configurations_.sheet();
}

void node::set_cost_function(router::cost_function cost) {
    const std::scoped_lock lock{router_mutex_};
    router_.set_cost_function(std::move(cost));
}

node_status node::status() const {
    node_status status;
    status.name = identity_.name;
    status.start = identity_.start;
    status.is_draining = is_draining_;
    status.is_ready = is_ready();
    if (const configuration_ptr config = current_configuration()) {
        status.revision = config->revision;
    }
    for (const auto& shard : request_shards_) {
        const std::scoped_lock lock{shard->mutex};
        status.requests += shard->table.size();
    }
    {
        const std::scoped_lock lock{control_mutex_};
        for (const auto& [name, peer] : members_.peers()) {
            status.peers.push_back({name, peer.start, peer.is_suspected, peer.is_draining, peer.revision});
        }
    }
    const std::scoped_lock lock{router_mutex_};
    for (const auto& [name, view] : router_.servers()) {
        status.servers.push_back({name,
                                  view.owner,
                                  view.epoch,
                                  view.load.start,
                                  view.load.is_ready,
                                  router_.is_leaving(name),
                                  view.load.running,
                                  view.load.waiting,
                                  {view.adapters.begin(), view.adapters.end()}});
    }
    return status;
}

} // namespace lovageledge
