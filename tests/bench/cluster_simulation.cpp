#include "cluster_simulation.hpp"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>

namespace lovageledge::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto tick_interval = milliseconds{50};
constexpr auto load_length = seconds{12};
constexpr auto quiet_length = seconds{24};
constexpr int shortest_fault_us = 500'000;
constexpr int longest_fault_us = 4'500'000;
constexpr auto request_deadline = seconds{3};
/** Longest time that a message of a closed connection is under way; below the settings' uncertain_hold. */
constexpr int late_order_us = 3'000'000;
constexpr auto leaving_limit = seconds{3};
/** Longer than any request lives. */
constexpr auto drain_limit = seconds{10};

const std::string caller_token_digest = sha256_hex("token");

} // namespace

std::string step_name(step which) {
    static const char* const names[step_count] = {
        "accept",       "forward",        "claim",    "load order",   "load answer",   "dispatch",
        "first token",  "last token",     "cancel",   "record write", "record answer", "evict order",
        "evict answer", "ownership read", "handover", "drained",      "publish",       "spread"};
    return names[static_cast<std::size_t>(which)];
}

std::string fault_name(fault which) {
    static const char* const names[fault_count] = {
        "kill",          "pause",         "cut incoming", "cut outgoing",   "cut both",      "platform down",
        "platform slow", "lost answer",   "stale reads",  "engine restart", "silent stream", "load failure",
        "lost order",    "server leaves", "stale list",   "planned stop",   "rival operator"};
    return names[static_cast<std::size_t>(which)];
}

cluster_simulation::cluster_simulation(world_options options)
    : options_{std::move(options)}, random_{options_.seed}, events_{clock_} {
    clock_.pause();
    settings_.safeguard = options_.safeguard;
    settings_.request_life_limit = seconds{6};
    settings_.uncertain_hold = seconds{4};
    settings_.suspect_after = milliseconds{1500};
    settings_.settle_time = milliseconds{500};
    settings_.standby_intents = 2;
    settings_.eviction_idle = milliseconds{50};
    members_.resize(options_.instances);
    engines_.resize(options_.servers);
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        engines_[i].name = server_name{"server-" + std::to_string(i)};
        engines_[i].start = start_id{"engine-" + std::to_string(next_start_++)};
    }
    for (std::size_t i = 0; i < members_.size(); ++i) {
        start_instance(i);
    }
}

duration cluster_simulation::random_delay(int least_us, int most_us) {
    return std::chrono::microseconds{std::uniform_int_distribution<int>{least_us, most_us}(random_)};
}

std::size_t cluster_simulation::random_index(std::size_t size) {
    return std::uniform_int_distribution<std::size_t>{0, size - 1}(random_);
}

bool cluster_simulation::chance(double probability) {
    return std::bernoulli_distribution{probability}(random_);
}

cluster_simulation::engine& cluster_simulation::engine_of(const server_name& name) {
    return *std::find_if(engines_.begin(), engines_.end(),
                         [&](const engine& item) { return item.name == name; });
}

void cluster_simulation::start_instance(std::size_t index) {
    member& item = members_[index];
    ++item.life;
    item.identity = {instance_name{"instance-" + std::to_string(index)},
                     start_id{"start-" + std::to_string(next_start_++)}, region_name{"region"},
                     data_centre_name{"centre"}, "127.0.0.1:" + std::to_string(1 + index)};
    item.is_paused = false;
    item.is_stopping = false;
    item.held.clear();
    item.orders.clear();
    item.entered.clear();
    item.decisions =
        std::make_unique<node>(item.identity, settings_, [this, index](event number, std::string_view text) {
            const auto ms = std::chrono::duration_cast<milliseconds>(clock_.now().time_since_epoch()).count();
            trace_.push_back(std::to_string(ms) + " i" + std::to_string(index) + " " +
                             std::to_string(static_cast<int>(number)) + " " + std::string{text});
        });
    for (std::size_t other = 0; other < members_.size(); ++other) {
        item.decisions->add_peer(instance_name{"instance-" + std::to_string(other)},
                                 "127.0.0.1:" + std::to_string(1 + other));
    }
    tick(index, item.life);
}

void cluster_simulation::tick(std::size_t index, std::uint64_t life) {
    at_instance(index, life, [this, index, life] {
        execute(index, members_[index].decisions->on_tick(clock_.now()));
        note_revisions();
        events_.after(tick_interval, [this, index, life] { tick(index, life); });
    });
}

void cluster_simulation::at_instance(std::size_t index, std::uint64_t life, std::function<void()> action) {
    member& item = members_[index];
    if (item.life != life || !item.decisions) {
        return;
    }
    if (item.is_paused) {
        item.held.push_back(std::move(action));
        return;
    }
    action();
}

void cluster_simulation::arrive(std::size_t index, std::uint64_t life, duration delay,
                                std::function<command_list(node&)> event, std::function<void()> before) {
    events_.after(delay, [this, index, life, event = std::move(event), before = std::move(before)] {
        if (before) {
            at_instance(index, life, before);
        }
        // The fault may have struck this very instance: its event waits or is lost.
        at_instance(index, life, [this, index, event] { execute(index, event(*members_[index].decisions)); });
    });
}

void cluster_simulation::execute(std::size_t index, command_list commands) {
    const std::uint64_t life = members_[index].life;
    for (node_command& item : commands) {
        // A command leaves a moment after it was decided; a pause or a death may come between.
        events_.after(std::chrono::microseconds{50}, [this, index, life, item = std::move(item)] {
            at_instance(index, life, [this, index, item] { depart(index, item); });
        });
    }
}

void cluster_simulation::depart(std::size_t index, const node_command& item) {
    const std::uint64_t life = members_[index].life;
    const auto observe_if = [&](bool is_seen, step where, const server_name& server) {
        if (is_seen) {
            observe(where, index, server);
        }
    };
    if (const auto* message = std::get_if<send_to_peer>(&item)) {
        observe_if(message->message.has_submit(), step::forward,
                   server_name{message->message.submit().server()});
        observe_if(message->message.has_cancel(), step::cancel,
                   server_name{message->message.cancel().server()});
        observe_if(message->message.has_handover(), step::handover,
                   server_name{message->message.handover().server()});
        observe_if(message->message.has_drained(), step::drained,
                   server_name{message->message.drained().server()});
        observe_if(message->message.has_configuration_part(), step::spread, server_name{});
    } else if (const auto* call = std::get_if<call_platform>(&item)) {
        const bool is_record = call->kind == "ownership";
        const bool is_put = call->operation == platform_operation::put;
        observe_if(is_record && is_put, step::record_write, server_name{call->name});
        observe_if(is_record && !is_put, step::ownership_read, server_name{call->name});
        observe_if(call->kind == "claim", step::claim, server_name{});
        observe_if(call->kind == "configuration" && is_put, step::publish, server_name{});
    } else if (const auto* load = std::get_if<order_load>(&item)) {
        observe(step::load_order, index, load->server);
    } else if (const auto* unload = std::get_if<order_unload>(&item)) {
        observe(step::evict_order, index, unload->server);
    } else if (const auto* dispatch = std::get_if<dispatch_request>(&item)) {
        observe(step::dispatch, index, dispatch->server);
    }
    // The fault may have struck this very instance: its command waits or is lost.
    at_instance(index, life, [this, index, item] {
        std::visit([this, index](const auto& value) { carry_out(index, value); }, item);
    });
}

void cluster_simulation::carry_out(std::size_t index, const send_to_peer& item) {
    const std::size_t to = std::stoul(item.to.text().substr(std::string_view{"instance-"}.size()));
    member& receiver = members_[to];
    if (members_[index].cuts_outgoing || receiver.cuts_incoming || !receiver.decisions) {
        return;
    }
    // Messages between two instances keep their order.
    time_point& last = last_arrival_[{index, to}];
    last = std::max(last, clock_.now() + random_delay(200, 3000));
    arrive(to, receiver.life, last - clock_.now(), [this, message = item.message](node& decisions) {
        return decisions.on_peer_message(message, clock_.now());
    });
}

void cluster_simulation::carry_out(std::size_t index, const call_platform& item) {
    member& caller = members_[index];
    const std::uint64_t life = caller.life;
    const auto answer_later = [this, index, life, call = item.call, kind = item.kind,
                               name = item.name](const platform_response& answer, duration delay) {
        arrive(
            index, life, delay,
            [this, call, answer](node& decisions) {
                return decisions.on_platform_response(call, answer, clock_.now());
            },
            [this, index, kind, name] {
                if (kind == "ownership") {
                    observe(step::record_answer, index, server_name{name});
                }
            });
    };
    if (is_platform_down_) {
        answer_later({}, milliseconds{20});
        return;
    }
    const duration delay = platform_delay_ + random_delay(0, 3000);
    const bool is_change =
        item.operation == platform_operation::put || item.operation == platform_operation::remove;
    const bool is_lost = is_change && caller.lost_answers > 0;
    if (is_lost) {
        --caller.lost_answers;
    }
    events_.after(delay, [this, item, answer_later, is_lost] {
        if (is_platform_down_) {
            answer_later({}, milliseconds{20});
            return;
        }
        const platform_response answer = apply_call(item);
        const bool waits = item.operation == platform_operation::watch &&
                           answer.status == platform_status::ok && answer.version == item.if_version;
        answer_later(is_lost ? platform_response{} : answer,
                     waits ? duration{milliseconds{300}} : random_delay(200, 3000));
    });
}

platform_response cluster_simulation::apply_call(const call_platform& item) {
    const std::string name = item.kind + "/" + item.name;
    const auto stored = objects_.find(name);
    const std::uint64_t current = stored == objects_.end() ? 0 : stored->second.version;
    switch (item.operation) {
    case platform_operation::list_instances:
        return {platform_status::ok, 0, instance_list()};
    case platform_operation::get:
    case platform_operation::watch: {
        const auto& old = old_objects_[name];
        if (has_stale_reads_ && !old.empty() && item.kind != "claim") {
            return {platform_status::ok, old.back().version, old.back().data};
        }
        if (stored == objects_.end()) {
            return {platform_status::not_found, 0, ""};
        }
        return {platform_status::ok, current, stored->second.data};
    }
    case platform_operation::put:
        if (current != item.if_version) {
            return {platform_status::conflict, 0, ""};
        }
        if (current != 0) {
            old_objects_[name].push_back(stored->second);
        }
        objects_[name] = {++next_version_, item.data};
        return {platform_status::ok, next_version_, ""};
    case platform_operation::remove:
        if (current == 0 || current != item.if_version) {
            return {platform_status::conflict, 0, ""};
        }
        objects_.erase(stored);
        return {platform_status::ok, 0, ""};
    }
    return {};
}

std::string cluster_simulation::instance_list() {
    auto list = nlohmann::json::array();
    for (std::size_t i = 0; i < members_.size(); ++i) {
        list.push_back({{"name", "instance-" + std::to_string(i)},
                        {"address", "127.0.0.1:" + std::to_string(1 + i)},
                        {"kind", "entry"},
                        {"state", "live"}});
    }
    for (engine& item : engines_) {
        const bool is_leaving = item.is_listed_leaving && !has_stale_list_;
        if (is_leaving && !item.leaves_since) {
            item.leaves_since = clock_.now(); // From now on an instance can know.
        }
        list.push_back({{"name", item.name.text()},
                        {"address", "engine"},
                        {"kind", "backend"},
                        {"state", is_leaving ? "leaving" : "live"}});
    }
    return list.dump();
}

void cluster_simulation::carry_out(std::size_t index, const probe_server& item) {
    order_connection& connection = members_[index].orders[item.server];
    const std::uint64_t life = members_[index].life;
    if (item.is_new_connection) {
        connection.is_open = false;
    }
    const std::uint64_t generation = connection.is_open ? connection.generation : ++connection.generation;
    events_.after(random_delay(200, 2000), [this, index, life, generation, server = item.server] {
        member& owner = members_[index];
        if (owner.life != life || owner.orders[server].generation != generation) {
            return;
        }
        engine& target = engine_of(server);
        order_connection& opened = owner.orders[server];
        const bool is_broken = opened.is_open && opened.start != target.start;
        if (is_broken) {
            opened.is_open = false;
            arrive(index, life, random_delay(100, 1000), [this, server](node& decisions) {
                return decisions.on_server_unreachable(server, clock_.now());
            });
            return;
        }
        opened.is_open = true;
        opened.start = target.start;
        const std::vector<adapter_key> loaded{target.loaded.begin(), target.loaded.end()};
        arrive(index, life, random_delay(200, 2000),
               [this, server, start = target.start, loaded](node& decisions) {
                   return decisions.on_server_status(server, start, loaded, false, clock_.now());
               });
    });
}

void cluster_simulation::evict(engine& target, const adapter_key& key) {
    for (const auto& [id, run] : target.running) {
        if (run.key == key) {
            history_.on_eviction_in_use(target.name.text(), key.text(), id.request.text());
        }
    }
    for (const auto& [id, wired] : target.on_the_wire) {
        if (wired == key) {
            history_.on_eviction_in_use(target.name.text(), key.text(), id.request.text());
        }
    }
    target.loaded.erase(key);
}

void cluster_simulation::send_order(std::size_t index, const server_name& server,
                                    const order_transit& transit,
                                    const std::function<order_result(engine&)>& effect,
                                    const std::function<void(order_result)>& answer) {
    const order_connection connection = members_[index].orders[server];
    engine& target = engine_of(server);
    if (!connection.is_open || connection.start != target.start) {
        answer(order_result::no_answer);
        return;
    }
    const bool is_lost = target.lost_orders > 0 && chance(0.7);
    if (is_lost) {
        --target.lost_orders;
        answer(order_result::no_answer);
    }
    const duration delay =
        is_lost ? random_delay(0, late_order_us) : random_delay(transit.least_us, transit.most_us);
    events_.after(delay, [this, server, effect, answer, is_lost, start = target.start] {
        engine& late = engine_of(server);
        const order_result result = late.start == start ? effect(late) : order_result::no_answer;
        if (!is_lost) {
            answer(result);
        }
    });
}

bool cluster_simulation::is_fenced_off(engine& target, std::uint64_t fencing) const {
    const bool is_old = options_.has_fencing && fencing < target.fencing;
    target.fencing = std::max(target.fencing, fencing);
    return is_old;
}

void cluster_simulation::carry_out(std::size_t index, const order_load& item) {
    const std::uint64_t life = members_[index].life;
    const auto answer = [this, index, life, item,
                         generation = members_[index].orders[item.server].generation](order_result what) {
        const bool is_current =
            members_[index].life == life && members_[index].orders[item.server].generation == generation;
        arrive(
            index, life, random_delay(200, 2000),
            [this, item, result = is_current ? what : order_result::no_answer](node& decisions) {
                return decisions.on_load_answer(item.server, item.key, result, clock_.now());
            },
            [this, index, item] { observe(step::load_answer, index, item.server); });
    };
    const auto effect = [this, item](engine& target) {
        if (is_fenced_off(target, item.fencing)) {
            return order_result::refused;
        }
        if (target.failing_loads > 0) {
            --target.failing_loads;
            return order_result::refused;
        }
        if (target.loaded.contains(item.key)) {
            return order_result::already_loaded;
        }
        if (target.loaded.size() >= options_.slots) {
            return order_result::no_slot;
        }
        target.loaded.insert(item.key);
        return order_result::done;
    };
    send_order(index, item.server, {5000, 40'000}, effect, answer);
}

void cluster_simulation::carry_out(std::size_t index, const order_unload& item) {
    const std::uint64_t life = members_[index].life;
    const auto answer = [this, index, life, item](order_result what) {
        arrive(
            index, life, random_delay(200, 2000),
            [this, item, what](node& decisions) {
                return decisions.on_unload_answer(item.server, item.key, what, clock_.now());
            },
            [this, index, item] { observe(step::evict_answer, index, item.server); });
    };
    const auto effect = [this, item](engine& target) {
        if (is_fenced_off(target, item.fencing)) {
            return order_result::refused;
        }
        evict(target, item.key);
        return order_result::done;
    };
    send_order(index, item.server, {200, 3000}, effect, answer);
}

void cluster_simulation::carry_out(std::size_t index, const dispatch_request& item) {
    const std::uint64_t life = members_[index].life;
    if (clock_.now() - item.decided >= dispatch_age_limit) {
        const request_result late{
            protocol::NOT_RUN, {"engine.dispatch", "", "too late"}, milliseconds{0}, false};
        arrive(index, life, duration{0}, [this, item, late](node& decisions) {
            return decisions.on_dispatch_ended(item.server, item.id, late, 0, clock_.now());
        });
        return;
    }
    engine& target = engine_of(item.server);
    if (target.start == item.start) {
        target.on_the_wire[item.id] = adapter_key{item.spec.adapter()};
    }
    events_.after(random_delay(200, 3000), [this, index, life, item] {
        engine& receiver = engine_of(item.server);
        receiver.on_the_wire.erase(item.id);
        const bool is_there =
            receiver.start == item.start && receiver.loaded.contains(adapter_key{item.spec.adapter()});
        if (!is_there) {
            const request_result refused{protocol::NOT_RUN,
                                         {"engine.answer", item.server.text(), "not there"},
                                         milliseconds{0},
                                         false};
            arrive(index, life, random_delay(200, 2000), [this, item, refused](node& decisions) {
                return decisions.on_dispatch_ended(item.server, item.id, refused, 0, clock_.now());
            });
            return;
        }
        begin_run(index, life, item, receiver);
    });
}

void cluster_simulation::begin_run(std::size_t index, std::uint64_t life, const dispatch_request& item,
                                   engine& target) {
    const std::string request = item.id.request.text();
    history_.on_execution(request, item.spec.adapter(), target.name.text());
    if (target.leaves_since && clock_.now() - *target.leaves_since > leaving_limit) {
        history_.on_late_work(target.name.text(), request);
    }
    target.running[item.id] = {request,    adapter_key{item.spec.adapter()}, index, life,
                               0,          item.spec.max_tokens(),           false, false,
                               next_run_++};
    events_.after(random_delay(5000, 40'000), [this, server = item.server, start = target.start,
                                               id = item.id] { produce(engine_of(server), start, id); });
}

void cluster_simulation::produce(engine& target, const start_id& start, const attempt_id& id) {
    const auto run = target.running.find(id);
    if (target.start != start || run == target.running.end()) {
        return;
    }
    running_request& item = run->second;
    if (item.is_cancelled) {
        end_run(target, id, protocol::FAILED, "cancelled");
        return;
    }
    const bool has_listener =
        members_[item.instance].life == item.instance_life && members_[item.instance].decisions;
    if (!has_listener) {
        // The connection is gone; the engine notices some time later.
        events_.after(random_delay(0, 500'000), [this, server = target.name, start, id] {
            engine& late = engine_of(server);
            if (late.start == start) {
                late.running.erase(id);
            }
        });
        return;
    }
    if (!item.is_silent) {
        const std::string token =
            item.key.text() + "#" + std::to_string(item.produced) + "~" + std::to_string(item.run);
        arrive(
            item.instance, item.instance_life, milliseconds{1},
            [this, server = target.name, id, offset = item.produced, token](node& decisions) {
                return decisions.on_dispatch_progress(server, id, offset, {token}, clock_.now());
            },
            [this, server = target.name, offset = item.produced, index = item.instance] {
                if (offset == 0) {
                    observe(step::first_token, index, server);
                }
            });
    }
    ++item.produced;
    if (item.produced == item.wanted) {
        observe(step::last_token, item.instance, target.name);
        if (target.start == start && target.running.contains(id)) {
            end_run(target, id, protocol::DONE, "");
        }
        return;
    }
    events_.after(random_delay(5000, 60'000),
                  [this, server = target.name, start, id] { produce(engine_of(server), start, id); });
}

void cluster_simulation::end_run(engine& target, const attempt_id& id, protocol::Outcome outcome,
                                 const std::string& reason) {
    const running_request item = target.running.at(id);
    target.running.erase(id);
    const request_result result{
        outcome, {"engine.stream", target.name.text(), reason}, milliseconds{0}, false};
    if (item.is_silent) {
        return;
    }
    arrive(item.instance, item.instance_life, milliseconds{2},
           [this, server = target.name, id, result, tokens = item.produced](node& decisions) {
               return decisions.on_dispatch_ended(server, id, result, tokens, clock_.now());
           });
}

void cluster_simulation::carry_out(std::size_t /*index*/, const cancel_dispatch& item) {
    events_.after(random_delay(200, 3000), [this, id = item.id] {
        for (engine& target : engines_) {
            const auto run = target.running.find(id);
            if (run != target.running.end()) {
                run->second.is_cancelled = true;
            }
        }
    });
}

void cluster_simulation::carry_out(std::size_t index, const confirm_dispatch_ended& item) {
    const std::uint64_t life = members_[index].life;
    events_.after(random_delay(500, 5000), [this, index, life, item] {
        engine& target = engine_of(item.server);
        if (target.start == item.start) {
            target.running.erase(item.id);
        }
        arrive(index, life, random_delay(200, 2000), [this, item](node& decisions) {
            return decisions.on_dispatch_end_confirmed(item.server, item.id, clock_.now());
        });
    });
}

void cluster_simulation::carry_out(std::size_t /*index*/, const extend_credit& /*item*/) {}

void cluster_simulation::carry_out(std::size_t /*index*/, const connect_peer& /*item*/) {}

void cluster_simulation::carry_out(std::size_t /*index*/, const call_plain_service& /*item*/) {}

void cluster_simulation::carry_out(std::size_t /*index*/, const finish_publication& /*item*/) {}

void cluster_simulation::carry_out(std::size_t index, const deliver_tokens& item) {
    history_.on_tokens(item.request.text(), item.tokens);
    execute(index, members_[index].decisions->on_tokens_delivered(
                       item.request, static_cast<std::uint32_t>(item.tokens.size()), clock_.now()));
}

void cluster_simulation::carry_out(std::size_t index, const finish_request& item) {
    const std::string id = item.request.text();
    const auto open = open_.find(id);
    if (open == open_.end()) {
        return;
    }
    submission ended = open->second;
    open_.erase(open);
    members_[index].entered.erase(id);
    const std::string outcome = item.result.is_duplicate                   ? "duplicate"
                                : item.result.outcome == protocol::DONE    ? "done"
                                : item.result.outcome == protocol::NOT_RUN ? "not_run"
                                : item.result.outcome == protocol::FAILED  ? "failed"
                                                                           : "unknown";
    history_.on_finished(id, {outcome, item.result.why.text()});
    if (outcome == "not_run" || (outcome == "unknown" && !ended.key.empty())) {
        retry_later(std::move(ended));
    }
}

void cluster_simulation::restart_engine(engine& target) {
    const auto running = std::exchange(target.running, {});
    target.start = start_id{"engine-" + std::to_string(next_start_++)};
    target.loaded.clear();
    target.on_the_wire.clear();
    target.fencing = 0;
    target.leaves_since.reset();
    target.is_listed_leaving = false;
    const request_result broken{
        protocol::UNKNOWN, {"engine.connection", target.name.text(), "reset"}, milliseconds{0}, false};
    for (const auto& [id, run] : running) {
        arrive(run.instance, run.instance_life, random_delay(200, 3000),
               [this, server = target.name, id = id, broken, tokens = run.produced](node& decisions) {
                   return decisions.on_dispatch_ended(server, id, broken, tokens, clock_.now());
               });
    }
}

void cluster_simulation::kill_instance(std::size_t index) {
    member& item = members_[index];
    ++item.life;
    item.decisions.reset();
    item.held.clear();
    for (const std::string& id : item.entered) {
        const auto open = open_.find(id);
        if (open != open_.end()) {
            history_.on_finished(id, {"cut", "the entry died"});
            submission ended = open->second;
            open_.erase(open);
            if (!ended.key.empty()) {
                retry_later(std::move(ended));
            }
        }
    }
    item.entered.clear();
    events_.after(random_delay(300'000, 3'000'000), [this, index] { start_instance(index); });
}

void cluster_simulation::check_stopped(std::size_t index) {
    member& item = members_[index];
    if (!item.is_stopping || !item.decisions) {
        return;
    }
    const bool is_late = clock_.now() - item.stopping_since > drain_limit;
    const bool has_ended = item.decisions->is_drained() && item.entered.empty();
    if (has_ended || is_late) {
        for (const std::string& id : item.entered) {
            history_.on_cut_by_stop(id, item.identity.name.text());
        }
        kill_instance(index);
        return;
    }
    events_.after(milliseconds{100}, [this, index, life = item.life] {
        if (members_[index].life == life) {
            check_stopped(index);
        }
    });
}

void cluster_simulation::observe(step where, std::size_t index, const server_name& server) {
    const std::uint32_t count = ++seen_[where];
    for (const planned_fault& item : options_.plan) {
        if (item.when == where && item.occurrence == count && !is_over_) {
            ++struck_;
            trace_.push_back("fault " + fault_name(item.what) + " at " + step_name(where) + " i" +
                             std::to_string(index));
            strike(item.what, index, server);
        }
    }
}

void cluster_simulation::strike(fault what, std::size_t index, const server_name& server) {
    member& item = members_[index];
    engine& target = server.is_empty() ? engines_[random_index(engines_.size())] : engine_of(server);
    const std::uint64_t life = item.life;
    const duration length = random_delay(shortest_fault_us, longest_fault_us);
    const auto later = [this, length](std::function<void()> action) {
        events_.after(length, std::move(action));
    };
    switch (what) {
    case fault::kill:
        if (item.decisions) {
            kill_instance(index);
        }
        break;
    case fault::pause:
        item.is_paused = true;
        later([this, index, life] {
            member& paused = members_[index];
            if (paused.life != life) {
                return;
            }
            paused.is_paused = false;
            auto held = std::exchange(paused.held, {});
            for (auto& action : held) {
                at_instance(index, life, std::move(action));
            }
        });
        break;
    case fault::cut_incoming:
    case fault::cut_outgoing:
    case fault::cut_both:
        item.cuts_incoming = what != fault::cut_outgoing;
        item.cuts_outgoing = what != fault::cut_incoming;
        later([this, index] { members_[index].cuts_incoming = members_[index].cuts_outgoing = false; });
        break;
    case fault::platform_down:
        is_platform_down_ = true;
        later([this] { is_platform_down_ = false; });
        break;
    case fault::platform_slow:
        platform_delay_ = milliseconds{400};
        later([this] { platform_delay_ = milliseconds{2}; });
        break;
    case fault::lost_answer:
        item.lost_answers += 2;
        break;
    case fault::stale_reads:
        has_stale_reads_ = true;
        later([this] { has_stale_reads_ = false; });
        break;
    case fault::engine_restart:
        restart_engine(target);
        break;
    case fault::silent_stream:
        for (auto& [id, run] : target.running) {
            run.is_silent = true;
            const request_result broken{protocol::UNKNOWN,
                                        {"engine.connection", target.name.text(), "silent"},
                                        milliseconds{0},
                                        false};
            arrive(run.instance, run.instance_life, seconds{1},
                   [this, name = target.name, id = id, broken, tokens = run.produced](node& decisions) {
                       return decisions.on_dispatch_ended(name, id, broken, tokens, clock_.now());
                   });
        }
        break;
    case fault::load_failure:
        target.failing_loads = 3;
        break;
    case fault::lost_order:
        target.lost_orders = 2;
        break;
    case fault::server_leaves:
        target.is_listed_leaving = true;
        events_.after(seconds{9}, [this, name = target.name] { restart_engine(engine_of(name)); });
        break;
    case fault::stale_list:
        has_stale_list_ = true;
        later([this] { has_stale_list_ = false; });
        break;
    case fault::planned_stop:
        if (!item.decisions || item.is_stopping) {
            break;
        }
        item.is_stopping = true;
        item.stopping_since = clock_.now();
        at_instance(index, life, [this, index, life] {
            execute(index, members_[index].decisions->begin_drain(clock_.now()));
            events_.after(milliseconds{500}, [this, index, life] {
                if (members_[index].life == life) {
                    check_stopped(index);
                }
            });
        });
        break;
    case fault::rival_operator:
        publish(index);
        publish((index + 1) % members_.size());
        break;
    }
}

std::optional<std::size_t> cluster_simulation::pick_ready_instance() {
    const std::size_t first = random_index(members_.size());
    for (std::size_t i = 0; i < members_.size(); ++i) {
        const std::size_t index = (first + i) % members_.size();
        const member& item = members_[index];
        // The balancer does not see that an instance is paused or cut off.
        if (item.decisions && item.decisions->is_ready() && !item.is_stopping) {
            return index;
        }
    }
    return std::nullopt;
}

void cluster_simulation::submit_next() {
    if (is_over_) {
        return;
    }
    submission item;
    const std::size_t rank = std::min(random_index(options_.adapters), random_index(options_.adapters));
    item.adapter = "adapter-" + std::to_string(rank) + "@v1";
    // Some requests run long enough to be under way when a successor takes over.
    item.tokens = static_cast<std::uint32_t>(chance(0.15) ? 30 + random_index(15) : 1 + random_index(12));
    item.tries_left = 3;
    if (chance(0.4)) {
        item.key = "key-" + std::to_string(next_request_);
    }
    submit(std::move(item));
    events_.after(random_delay(10'000, 120'000), [this] { submit_next(); });
}

void cluster_simulation::submit(submission item) {
    const auto index = pick_ready_instance();
    if (!index) {
        return;
    }
    item.request = "request-" + std::to_string(next_request_++);
    item.instance = *index;
    incoming_request ticket;
    ticket.deadline = clock_.now() + request_deadline;
    ticket.idempotency_key = item.key;
    ticket.spec.set_id(item.request);
    ticket.spec.set_service("service");
    ticket.spec.set_adapter(item.adapter);
    ticket.spec.set_max_tokens(item.tokens);
    ticket.spec.set_importance(static_cast<std::uint32_t>(1 + random_index(100)));
    ticket.spec.set_idempotent(item.key.empty());
    ticket.spec.set_fingerprint(item.request);
    history_.on_accepted(item.request, item.adapter, item.tokens, item.key, item.key.empty());
    members_[*index].entered.insert(item.request);
    open_[item.request] = item;
    at_instance(*index, members_[*index].life, [this, index = *index, ticket] {
        execute(index, members_[index].decisions->accept(ticket, clock_.now()));
        observe(step::accept, index, server_name{});
    });
}

void cluster_simulation::retry_later(submission item) {
    if (--item.tries_left <= 0) {
        return;
    }
    events_.after(random_delay(100'000, 1'500'000), [this, item] { submit(item); });
}

std::string cluster_simulation::make_sheet() const {
    std::string sheet = "store,50,8\npool,pool," + std::string{options_.has_fencing ? "yes" : "no"} + "\n";
    for (const engine& item : engines_) {
        sheet += "server," + item.name.text() + ",pool,region,centre,127.0.0.1:1," +
                 std::to_string(options_.slots) + ",4\n";
    }
    for (std::size_t i = 0; i < options_.adapters; ++i) {
        sheet += "adapter,adapter-" + std::to_string(i) + ",v1,pool,/w\n";
    }
    sheet += "service,service," + caller_token_digest + ",50,*\n";
    sheet += "plain,sheet-" + std::to_string(sheet_number_) + ",127.0.0.1:1,yes\n";
    return sheet;
}

void cluster_simulation::publish(std::size_t index) {
    member& item = members_[index];
    if (!item.decisions || item.is_paused) {
        return;
    }
    ++sheet_number_;
    publication_request request;
    request.apply_id = "apply-" + std::to_string(next_apply_++);
    const auto config = item.decisions->current_configuration();
    request.based_on = config ? config->revision : 0;
    request.author = "operator";
    request.reason = "test";
    request.sheet = make_sheet();
    execute(index, item.decisions->publish_sheet(std::move(request), clock_.now()));
}

void cluster_simulation::note_revisions() {
    for (const member& item : members_) {
        if (!item.decisions) {
            continue;
        }
        if (const auto config = item.decisions->current_configuration()) {
            history_.on_revision(item.identity.start.text(), config->revision,
                                 config->plain_services.begin()->first);
        }
    }
}

void cluster_simulation::heal() {
    is_over_ = true;
    is_platform_down_ = false;
    has_stale_reads_ = false;
    has_stale_list_ = false;
    platform_delay_ = milliseconds{2};
    for (member& item : members_) {
        item.cuts_incoming = false;
        item.cuts_outgoing = false;
        item.lost_answers = 0;
    }
    for (engine& item : engines_) {
        item.failing_loads = 0;
        item.lost_orders = 0;
    }
}

void cluster_simulation::run() {
    publish(0);
    events_.run_until(clock_.now() + seconds{3});
    submit_next();
    for (int i = 1; i <= 4; ++i) {
        events_.after(seconds{2 * i}, [this] { publish(random_index(members_.size())); });
    }
    events_.run_until(clock_.now() + load_length);
    heal();
    events_.run_until(clock_.now() + quiet_length);
}

std::vector<std::string> cluster_simulation::unhealed() const {
    std::vector<std::string> faults;
    std::set<std::uint64_t> revisions;
    for (const member& item : members_) {
        if (!item.decisions) {
            faults.push_back(item.identity.name.text() + " is not running");
            continue;
        }
        const node_status status = item.decisions->status();
        revisions.insert(status.revision);
        for (const node_status::server& server : status.servers) {
            if (!server.is_ready) {
                faults.push_back(server.name.text() + " is not ready for " + item.identity.name.text() +
                                 ", owner " + server.owner.text());
            }
        }
        if (status.servers.size() < engines_.size()) {
            faults.push_back(item.identity.name.text() + " knows " + std::to_string(status.servers.size()) +
                             " servers");
        }
    }
    if (revisions.size() != 1) {
        faults.emplace_back("instances disagree on the configuration");
    }
    for (const auto& [id, item] : open_) {
        faults.push_back(id + " has not ended");
    }
    return faults;
}

} // namespace lovageledge::bench
