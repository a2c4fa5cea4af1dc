#include "lovageledge/coordination/node.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;

constexpr auto list_interval = milliseconds{2000};
/** The adapters of a server are told anew in every so many heartbeats, for peers that missed one. */
constexpr std::uint64_t full_report_interval = 8;

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
                     configurations_.offer(record.revision(), record.digest(), parts, "operator");
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

std::shared_ptr<node::owner_shard> node::make_owner(const backend_server& server, bool has_fencing) {
    const std::unique_lock lock{owners_mutex_};
    auto& shard = owners_[server.name];
    if (!shard) {
        shard = std::make_shared<owner_shard>(server, has_fencing, identity_, settings_, log_);
    }
    return shard;
}

template <class Event>
void node::with_owner(const server_name& server, time_point now, command_list& out, Event&& event_function) {
    const auto shard = find_owner(server);
    const configuration_ptr config = current_configuration();
    if (!shard || !config) {
        return;
    }
    owner_actions wishes;
    std::vector<std::string> crashed;
    std::vector<std::string> cleared;
    start_id server_start;
    {
        const std::scoped_lock lock{shard->mutex};
        event_function(shard->owner, *config);
        wishes = shard->owner.take_actions();
        crashed = shard->owner.take_crashed_fingerprints();
        cleared = shard->owner.take_cleared_fingerprints();
        server_start = shard->owner.server_start();
    }
    note_crashes(crashed, cleared, now);
    carry_out_wishes(server, server_start, std::move(wishes), now, out);
}

void node::note_crashes(const std::vector<std::string>& crashed, const std::vector<std::string>& cleared,
                        time_point now) {
    if (crashed.empty() && cleared.empty()) {
        return;
    }
    const std::scoped_lock lock{quarantine_mutex_};
    for (const std::string& fingerprint : crashed) {
        const bool is_quarantined = quarantine_.on_crash(fingerprint, now);
        log_(is_quarantined ? event::fingerprint_quarantined : event::fingerprint_suspected,
             fmt::format("fingerprint={}", fingerprint));
    }
    for (const std::string& fingerprint : cleared) {
        quarantine_.on_cleared(fingerprint, now);
        log_(event::fingerprint_cleared, fmt::format("fingerprint={}", fingerprint));
    }
}

void node::send_to_budget_holder(protocol::Envelope message, command_list& out) const {
    out.emplace_back(send_to_peer{members_.budget_holder(), std::move(message)});
}

void node::carry_out_wishes(const server_name& server, const start_id& server_start, owner_actions wishes,
                            time_point now, command_list& out) {
    const bool has_wish = wishes.intents || wishes.confirmation_ticket || !wishes.budget_requests.empty() ||
                          !wishes.budget_releases.empty();
    if (!has_wish) {
        return;
    }
    const std::scoped_lock lock{control_mutex_};
    if (wishes.intents) {
        ownership_.record_intents(server, *wishes.intents, server_start, now, out);
    }
    if (wishes.confirmation_ticket) {
        ownership_.confirm_ownership(server, server_start, *wishes.confirmation_ticket, now, out);
    }
    for (const adapter_key& key : wishes.budget_releases) {
        protocol::Envelope message;
        message.mutable_budget_release()->set_server(server.text());
        message.mutable_budget_release()->set_adapter(key.text());
        send_to_budget_holder(std::move(message), out);
    }
    for (const auto& [key, weight] : wishes.budget_requests) {
        protocol::Envelope message;
        message.mutable_budget_request()->set_server(server.text());
        message.mutable_budget_request()->set_adapter(key.text());
        message.mutable_budget_request()->set_weight(weight);
        send_to_budget_holder(std::move(message), out);
    }
}

command_list node::settle(command_list commands, time_point now) {
    command_list settled;
    while (!commands.empty()) {
        command_list more;
        for (node_command& item : commands) {
            auto* message = std::get_if<send_to_peer>(&item);
            if (message == nullptr) {
                settled.push_back(std::move(item));
                continue;
            }
            message->message.set_protocol_version(peer_protocol_version);
            message->message.set_from(identity_.name.text());
            message->message.set_from_start(identity_.start.text());
            if (message->to == identity_.name) {
                handle_peer(message->message, now, more);
            } else {
                settled.push_back(std::move(item));
            }
        }
        commands = std::move(more);
    }
    return settled;
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

command_list node::accept(incoming_request ticket, time_point now) {
    command_list out;
    request_shard& shard = shard_of(request_id{ticket.spec.id()});
    {
        const std::scoped_lock lock{shard.mutex};
        shard.table.accept(std::move(ticket), now, out);
    }
    return settle(std::move(out), now);
}

command_list node::on_tokens_delivered(const request_id& id, std::uint32_t tokens, time_point now) {
    command_list out;
    request_shard& shard = shard_of(id);
    {
        const std::scoped_lock lock{shard.mutex};
        shard.table.on_tokens_delivered(id, tokens, out);
    }
    return settle(std::move(out), now);
}

command_list node::on_caller_disconnected(const request_id& id, time_point now) {
    command_list out;
    request_shard& shard = shard_of(id);
    {
        const std::scoped_lock lock{shard.mutex};
        shard.table.on_caller_disconnected(id, now, out);
    }
    return settle(std::move(out), now);
}

command_list node::on_plain_service_ended(const request_id& id, const request_result& result,
                                          time_point now) {
    command_list out;
    request_shard& shard = shard_of(id);
    {
        const std::scoped_lock lock{shard.mutex};
        shard.table.on_plain_service_ended(id, result, now, out);
    }
    return settle(std::move(out), now);
}

command_list node::on_platform_response(std::uint64_t call, const platform_response& answer, time_point now) {
    command_list out;
    const std::uint64_t number = call % (request_shard_count + 1);
    if (number == 0) {
        const std::scoped_lock lock{control_mutex_};
        control_calls_.answer(call, answer, now, out);
        apply_configuration();
        apply_ownership_events(now, out);
    } else {
        request_shard& shard = *request_shards_[number - 1];
        const std::scoped_lock lock{shard.mutex};
        shard.calls.answer(call, answer, now, out);
    }
    return settle(std::move(out), now);
}

command_list node::on_dispatch_progress(const server_name& server, const attempt_id& id, std::uint32_t offset,
                                        std::vector<std::string> tokens, time_point now) {
    command_list out;
    with_owner(server, now, out, [&](server_owner& owner, const configuration&) {
        owner.on_progress(id, offset, std::move(tokens), now, out);
    });
    return settle(std::move(out), now);
}

command_list node::on_dispatch_ended(const server_name& server, const attempt_id& id,
                                     const request_result& result, std::uint32_t tokens, time_point now) {
    command_list out;
    with_owner(server, now, out, [&](server_owner& owner, const configuration& config) {
        owner.on_ended(id, result, tokens, config, now, out);
    });
    return settle(std::move(out), now);
}

command_list node::on_dispatch_end_confirmed(const server_name& server, const attempt_id& id,
                                             time_point now) {
    command_list out;
    with_owner(server, now, out, [&](server_owner& owner, const configuration& config) {
        owner.on_released(id, config, now, out);
    });
    return settle(std::move(out), now);
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
    return settle(std::move(out), now);
}

command_list node::on_server_unreachable(const server_name& server, time_point now) {
    command_list out;
    with_owner(server, now, out,
               [&](server_owner& owner, const configuration&) { owner.on_unreachable(now, out); });
    return settle(std::move(out), now);
}

command_list node::on_load_answer(const server_name& server, const adapter_key& key,
                                  server_owner::order_result result, time_point now) {
    command_list out;
    with_owner(server, now, out, [&](server_owner& owner, const configuration& config) {
        owner.on_load_answer(key, result, config, now, out);
    });
    return settle(std::move(out), now);
}

command_list node::on_unload_answer(const server_name& server, const adapter_key& key,
                                    server_owner::order_result result, time_point now) {
    command_list out;
    with_owner(server, now, out, [&](server_owner& owner, const configuration& config) {
        owner.on_unload_answer(key, result, config, now, out);
    });
    return settle(std::move(out), now);
}

command_list node::publish_sheet(publication_request request, time_point now) {
    command_list out;
    {
        const std::scoped_lock lock{control_mutex_};
        publisher_.publish(std::move(request), configurations_.sheet(), now, out);
    }
    return settle(std::move(out), now);
}

void node::apply_configuration() {
    if (!configurations_.take_adopted()) {
        return;
    }
    std::atomic_store(&configuration_, configurations_.current());
    next_heartbeat_ = time_point{}; // Peers learn of it at once.
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
    if (change.what == ownership_event::kind::began) {
        const auto declared = config.servers.find(change.server);
        if (declared == config.servers.end()) {
            return;
        }
        const auto shard = make_owner(declared->second, config.pools.at(declared->second.pool).has_fencing);
        const std::scoped_lock lock{shard->mutex};
        shard->owner.begin(change.epoch, change.former, now, out);
        next_heartbeat_ = time_point{};
        return;
    }
    const auto shard = find_owner(change.server);
    if (!shard) {
        return;
    }
    const std::scoped_lock lock{shard->mutex};
    switch (change.what) {
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
    handle_peer(message, now, out);
    return settle(std::move(out), now);
}

void node::handle_peer(const protocol::Envelope& message, time_point now, command_list& out) {
    const instance_name from{message.from()};
    const start_id start{message.from_start()};
    const auto for_request = [&](const std::string& id, auto&& function) {
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
        for_request(message.refused().request(),
                    [&](request_table& table) { table.on_refused(from, message.refused(), now, out); });
        break;
    case protocol::Envelope::kProgress:
        for_request(message.progress().request(),
                    [&](request_table& table) { table.on_progress(from, message.progress(), now, out); });
        break;
    case protocol::Envelope::kEnded:
        for_request(message.ended().request(),
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
    case protocol::Envelope::kStoreUpdate: // Between gateways only.
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
            ownership_.on_announced(server_name{report.server()}, from, report.epoch(), now);
        }
    }
    if (change == membership::change::restarted) {
        log_(event::peer_restarted, fmt::format("peer={} start={}", from.text(), start.text()));
        lose_owner(from, now, out);
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
        with_owner(name, now, out, [&, left = server_start](server_owner& owner, const configuration&) {
            owner.set_leaving(left, out);
        });
    }
    if (heartbeat.fingerprints_size() > 0) {
        const std::scoped_lock lock{quarantine_mutex_};
        for (const auto& report : heartbeat.fingerprints()) {
            quarantine_.on_report(report.fingerprint(), report.crashes(), now);
        }
    }
}

void node::lose_owner(const instance_name& owner, time_point now, command_list& out) {
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
    if (is_listing_ || now < next_list_) {
        return;
    }
    is_listing_ = true;
    next_list_ = now + list_interval;
    control_calls_.start(
        {0, platform_operation::list_instances, "", "", 0, ""},
        [this](const platform_response& answer, time_point when, command_list& commands) {
            is_listing_ = false;
            on_list(answer, when, commands);
        },
        out);
}

void node::on_list(const platform_response& answer, time_point now, command_list& out) {
    if (answer.status != platform_status::ok) {
        return;
    }
    const auto json = nlohmann::json::parse(answer.data, nullptr, false);
    if (!json.is_array()) {
        return;
    }
    std::vector<listed_instance> list;
    for (const auto& item : json) {
        list.push_back({item.value("name", ""), item.value("address", ""),
                        item.value("state", "") == "leaving", item.value("kind", "") == "backend"});
    }
    members_.on_list(list, now);
    listed_leaving_.clear();
    for (const listed_instance& item : list) {
        const instance_name name{item.name};
        if (item.is_backend && item.is_leaving) {
            listed_leaving_.insert(server_name{item.name});
        } else if (!item.is_backend && name != identity_.name && !addresses_.contains(name)) {
            addresses_[name] = item.address;
            out.emplace_back(connect_peer{name, item.address});
        }
    }
}

void node::apply_leaving(time_point now, command_list& out) {
    std::set<server_name> listed;
    {
        const std::scoped_lock lock{control_mutex_};
        listed = listed_leaving_;
    }
    std::vector<std::pair<server_name, start_id>> fresh;
    {
        const std::scoped_lock lock{router_mutex_};
        router_.set_listed_leaving(listed);
        std::erase_if(listed_starts_, [&](const auto& entry) { return !listed.contains(entry.first); });
        for (const server_name& server : listed) {
            const auto* view = router_.find(server);
            if (view == nullptr || view->load.start.is_empty()) {
                continue;
            }
            // Only the start that was there when the listing began leaves for good.
            const auto [start, is_new] = listed_starts_.try_emplace(server, view->load.start);
            if (is_new && settings_.safeguard.sticky_leaving) {
                router_.set_leaving(server, start->second);
                fresh.emplace_back(server, start->second);
            }
        }
    }
    for (const auto& [server, start] : fresh) {
        log_(event::server_leaving,
             fmt::format("server={} start={} source=list", server.text(), start.text()));
        with_owner(server, now, out, [&, left = start](server_owner& owner, const configuration&) {
            owner.set_leaving(left, out);
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
    const bool is_full = heartbeat_sequence_ % full_report_interval == 0;
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
        auto& told = told_generations_[name];
        if (is_full || told != load.generation) {
            told = load.generation;
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
    for (const auto& [fingerprint, crashes] : quarantine_.counts(now)) {
        auto* item = heartbeat.add_fingerprints();
        item->set_fingerprint(fingerprint);
        item->set_crashes(crashes);
    }
    return heartbeat;
}

void node::send_heartbeats(time_point now, command_list& out) {
    bool is_due = now >= next_heartbeat_;
    {
        const std::scoped_lock lock{quarantine_mutex_};
        is_due = is_due || quarantine_.generation() != told_quarantine_;
        told_quarantine_ = quarantine_.generation();
    }
    if (!is_due) {
        return;
    }
    next_heartbeat_ = now + settings_.heartbeat_interval;
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
        ownership_.on_announced(server_name{report.server()}, identity_.name, report.epoch(), now);
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
        bool is_idle = false;
        bool has_open_order = false;
        with_owner(name, now, out, [&](server_owner& owner, const configuration& config) {
            owner.set_suspects(suspects);
            owner.on_tick(config, now, out);
            is_idle = owner.is_drained();
            has_open_order = owner.has_open_order();
        });
        const std::scoped_lock lock{control_mutex_};
        ownership_.set_drained(name, is_idle || !settings_.safeguard.drain, has_open_order);
    }
}

void node::tick_budget(time_point now, command_list& out) {
    const configuration_ptr config = current_configuration();
    if (members_.budget_holder() != identity_.name) {
        budget_.reset();
        return;
    }
    for (const load_ticket& ticket : budget_.take_grants(config->store, now)) {
        log_(event::load_budget_granted,
             fmt::format("server={} adapter={} owner={} in_flight={}", ticket.server.text(),
                         ticket.key.text(), ticket.owner.text(), budget_.in_flight()));
        protocol::Envelope message;
        message.mutable_budget_grant()->set_server(ticket.server.text());
        message.mutable_budget_grant()->set_adapter(ticket.key.text());
        out.emplace_back(send_to_peer{ticket.owner, std::move(message)});
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
        suspects = members_.take_new_suspects(now);
        send_heartbeats(now, out);
        if (const configuration_ptr config = current_configuration()) {
            ownership_.on_tick(*config, now, out);
            apply_ownership_events(now, out);
            tick_budget(now, out);
        }
    }
    for (const instance_name& name : suspects) {
        log_(event::peer_suspected, fmt::format("peer={}", name.text()));
        lose_owner(name, now, out);
    }
    if (current_configuration()) {
        apply_leaving(now, out);
        tick_owners(now, out);
        for (const auto& shard : request_shards_) {
            const std::scoped_lock lock{shard->mutex};
            shard->table.on_tick(now, out);
        }
    }
    return settle(std::move(out), now);
}

command_list node::begin_drain(time_point now) {
    is_draining_ = true;
    {
        const std::scoped_lock lock{control_mutex_};
        members_.set_draining();
        ownership_.set_draining();
        next_heartbeat_ = time_point{};
    }
    log_(event::instance_stopping, fmt::format("instance={}", identity_.name.text()));
    return on_tick(now);
}

bool node::is_drained() const {
    for (const auto& shard : request_shards_) {
        const std::scoped_lock lock{shard->mutex};
        if (shard->table.size() > 0 || shard->table.open_releases() > 0) {
            return false;
        }
    }
    const std::scoped_lock lock{control_mutex_};
    return ownership_.has_released_all_servers();
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
