#include "cluster_simulation.hpp"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>

namespace lovageledge::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto tick_interval = milliseconds{50};
constexpr auto traffic_duration = seconds{12};
constexpr auto recovery_duration = seconds{24};
constexpr int min_fault_us = 500'000;
constexpr int max_fault_us = 4'500'000;
constexpr auto request_deadline = seconds{3};
/** Longest time after which an order of a closed connection takes effect; below settings_.uncertain_hold. */
constexpr int max_late_order_us = 3'000'000;
/** A server may get new work for this long after instances could first know that it is leaving. */
constexpr auto leaving_limit = seconds{3};
/** Time limit of a planned stop; longer than the lifetime of any request. */
constexpr auto drain_limit = seconds{10};

const std::string caller_token_digest = sha256_hex("token");

} // namespace

std::string fault_point_name(fault_point which) {
    static const char* const names[fault_point_count] = {
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

cluster_simulation::cluster_simulation(simulation_options options)
    : options_{std::move(options)}, random_{options_.seed}, events_{clock_} {
    clock_.pause();
    settings_.safeguard = options_.safeguard;
    settings_.request_life_limit = seconds{6};
    settings_.uncertain_hold = seconds{4};
    settings_.suspect_after = milliseconds{1500};
    settings_.settle_time = milliseconds{500};
    settings_.standby_intents = 2;
    settings_.eviction_idle = milliseconds{50};
    instances_.resize(options_.instances);
    engines_.resize(options_.servers);
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        engines_[i].name = server_name{"server-" + std::to_string(i)};
        engines_[i].start = start_id{"engine-" + std::to_string(next_start_++)};
    }
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        start_instance(i);
    }
}

duration cluster_simulation::random_delay(int min_us, int max_us) {
    return std::chrono::microseconds{std::uniform_int_distribution<int>{min_us, max_us}(random_)};
}

std::size_t cluster_simulation::random_index(std::size_t size) {
    return std::uniform_int_distribution<std::size_t>{0, size - 1}(random_);
}

bool cluster_simulation::chance(double probability) {
    return std::bernoulli_distribution{probability}(random_);
}

cluster_simulation::engine& cluster_simulation::engine_of(const server_name& name) {
    return *std::find_if(engines_.begin(), engines_.end(),
                         [&](const engine& listed_engine) { return listed_engine.name == name; });
}

void cluster_simulation::start_instance(std::size_t index) {
    simulated_instance& simulated = instances_[index];
    ++simulated.incarnation;
    simulated.identity = {instance_name{"instance-" + std::to_string(index)},
                          start_id{"start-" + std::to_string(next_start_++)}, region_name{"region"},
                          data_centre_name{"centre"}, "127.0.0.1:" + std::to_string(1 + index)};
    simulated.is_paused = false;
    simulated.is_stopping = false;
    simulated.deferred_actions.clear();
    simulated.orders.clear();
    simulated.entered_requests.clear();
    simulated.coordination_node = std::make_unique<node>(
        simulated.identity, settings_, [this, index](event number, std::string_view text) {
            const auto ms = std::chrono::duration_cast<milliseconds>(clock_.now().time_since_epoch()).count();
            trace_.push_back(std::to_string(ms) + " i" + std::to_string(index) + " " +
                             std::to_string(static_cast<int>(number)) + " " + std::string{text});
        });
    for (std::size_t other = 0; other < instances_.size(); ++other) {
        simulated.coordination_node->add_peer(instance_name{"instance-" + std::to_string(other)},
                                              "127.0.0.1:" + std::to_string(1 + other));
    }
    tick(index, simulated.incarnation);
}

void cluster_simulation::tick(std::size_t index, std::uint64_t incarnation) {
    run_on_instance(index, incarnation, [this, index, incarnation] {
        schedule_commands(index, instances_[index].coordination_node->on_tick(clock_.now()));
        record_revisions();
        events_.after(tick_interval, [this, index, incarnation] { tick(index, incarnation); });
    });
}

void cluster_simulation::run_on_instance(std::size_t index, std::uint64_t incarnation,
                                         std::function<void()> action) {
    simulated_instance& simulated = instances_[index];
    if (simulated.incarnation != incarnation || !simulated.coordination_node) {
        return;
    }
    if (simulated.is_paused) {
        simulated.deferred_actions.push_back(std::move(action));
        return;
    }
    action();
}

void cluster_simulation::schedule_event(std::size_t index, std::uint64_t incarnation, duration delay,
                                        std::function<command_list(node&)> event,
                                        std::function<void()> on_arrival) {
    events_.after(delay,
                  [this, index, incarnation, event = std::move(event), on_arrival = std::move(on_arrival)] {
                      if (on_arrival) {
                          run_on_instance(index, incarnation, on_arrival);
                      }
                      // A fault in on_arrival may have stopped or paused this instance; the event is then
                      // dropped or deferred.
                      run_on_instance(index, incarnation, [this, index, event] {
                          schedule_commands(index, event(*instances_[index].coordination_node));
                      });
                  });
}

void cluster_simulation::schedule_commands(std::size_t index, command_list commands) {
    const std::uint64_t incarnation = instances_[index].incarnation;
    for (node_command& command : commands) {
        // The delay lets a pause or a death come between a decision and its execution.
        events_.after(std::chrono::microseconds{50}, [this, index, incarnation,
                                                      command = std::move(command)] {
            run_on_instance(index, incarnation, [this, index, command] { begin_command(index, command); });
        });
    }
}

void cluster_simulation::begin_command(std::size_t index, const node_command& command) {
    const std::uint64_t incarnation = instances_[index].incarnation;
    const auto reach_if = [&](bool is_reached, fault_point where, const server_name& server) {
        if (is_reached) {
            reach_fault_point(where, index, server);
        }
    };
    if (const auto* message = std::get_if<send_to_peer>(&command)) {
        reach_if(message->message.has_submit(), fault_point::forward,
                 server_name{message->message.submit().server()});
        reach_if(message->message.has_cancel(), fault_point::cancel,
                 server_name{message->message.cancel().server()});
        reach_if(message->message.has_handover(), fault_point::handover,
                 server_name{message->message.handover().server()});
        reach_if(message->message.has_drained(), fault_point::drained,
                 server_name{message->message.drained().server()});
        reach_if(message->message.has_configuration_part(), fault_point::spread, server_name{});
    } else if (const auto* call = std::get_if<call_platform>(&command)) {
        const bool is_record = call->kind == "ownership";
        const bool is_put = call->operation == platform_operation::put;
        reach_if(is_record && is_put, fault_point::record_write, server_name{call->name});
        reach_if(is_record && !is_put, fault_point::ownership_read, server_name{call->name});
        reach_if(call->kind == "claim", fault_point::claim, server_name{});
        reach_if(call->kind == "configuration" && is_put, fault_point::publish, server_name{});
    } else if (const auto* load = std::get_if<order_load>(&command)) {
        reach_fault_point(fault_point::load_order, index, load->server);
    } else if (const auto* unload = std::get_if<order_unload>(&command)) {
        reach_fault_point(fault_point::evict_order, index, unload->server);
    } else if (const auto* dispatch = std::get_if<dispatch_request>(&command)) {
        reach_fault_point(fault_point::dispatch, index, dispatch->server);
    }
    // The fault may have stopped or paused this instance; the command is then dropped or deferred.
    run_on_instance(index, incarnation, [this, index, command] {
        std::visit([this, index](const auto& value) { execute(index, value); }, command);
    });
}

void cluster_simulation::execute(std::size_t index, const send_to_peer& command) {
    const std::size_t to = std::stoul(command.to.text().substr(std::string_view{"instance-"}.size()));
    simulated_instance& receiver = instances_[to];
    if (instances_[index].drops_outgoing || receiver.drops_incoming || !receiver.coordination_node) {
        return;
    }
    // Keeps the messages from one instance to another in order.
    time_point& last = last_arrival_[{index, to}];
    last = std::max(last, clock_.now() + random_delay(200, 3000));
    schedule_event(to, receiver.incarnation, last - clock_.now(),
                   [this, message = command.message](node& coordination_node) {
                       return coordination_node.on_peer_message(message, clock_.now());
                   });
}

void cluster_simulation::execute(std::size_t index, const call_platform& command) {
    simulated_instance& caller = instances_[index];
    const std::uint64_t incarnation = caller.incarnation;
    const auto answer_later = [this, index, incarnation, call = command.call, kind = command.kind,
                               name = command.name](const platform_response& answer, duration delay) {
        schedule_event(
            index, incarnation, delay,
            [this, call, answer](node& coordination_node) {
                return coordination_node.on_platform_response(call, answer, clock_.now());
            },
            [this, index, kind, name] {
                if (kind == "ownership") {
                    reach_fault_point(fault_point::record_answer, index, server_name{name});
                }
            });
    };
    if (is_platform_down_) {
        answer_later({}, milliseconds{20});
        return;
    }
    const duration delay = platform_delay_ + random_delay(0, 3000);
    const bool is_change =
        command.operation == platform_operation::put || command.operation == platform_operation::remove;
    const bool is_lost = is_change && caller.answers_to_drop > 0;
    if (is_lost) {
        --caller.answers_to_drop;
    }
    events_.after(delay, [this, command, answer_later, is_lost] {
        if (is_platform_down_) {
            answer_later({}, milliseconds{20});
            return;
        }
        const platform_response answer = apply_platform_call(command);
        const bool waits = command.operation == platform_operation::watch &&
                           answer.status == platform_status::ok && answer.version == command.if_version;
        answer_later(is_lost ? platform_response{} : answer,
                     waits ? duration{milliseconds{300}} : random_delay(200, 3000));
    });
}

platform_response cluster_simulation::apply_platform_call(const call_platform& command) {
    const std::string name = command.kind + "/" + command.name;
    const auto stored = objects_.find(name);
    const std::uint64_t current = stored == objects_.end() ? 0 : stored->second.version;
    switch (command.operation) {
    case platform_operation::list_instances:
        return {platform_status::ok, 0, instance_list()};
    case platform_operation::get:
    case platform_operation::watch: {
        const auto& old = former_objects_[name];
        if (has_stale_reads_ && !old.empty() && command.kind != "claim") {
            return {platform_status::ok, old.back().version, old.back().data};
        }
        if (stored == objects_.end()) {
            return {platform_status::not_found, 0, ""};
        }
        return {platform_status::ok, current, stored->second.data};
    }
    case platform_operation::put:
        if (current != command.if_version) {
            return {platform_status::conflict, 0, ""};
        }
        if (current != 0) {
            former_objects_[name].push_back(stored->second);
        }
        objects_[name] = {++next_version_, command.data};
        return {platform_status::ok, next_version_, ""};
    case platform_operation::remove:
        if (current == 0 || current != command.if_version) {
            return {platform_status::conflict, 0, ""};
        }
        objects_.erase(stored);
        return {platform_status::ok, 0, ""};
    }
    return {};
}

std::string cluster_simulation::instance_list() {
    auto list = nlohmann::json::array();
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        list.push_back({{"name", "instance-" + std::to_string(i)},
                        {"address", "127.0.0.1:" + std::to_string(1 + i)},
                        {"kind", "entry"},
                        {"state", "live"}});
    }
    for (engine& listed_engine : engines_) {
        const bool is_leaving = listed_engine.is_listed_leaving && !has_stale_list_;
        if (is_leaving && !listed_engine.listed_leaving_at) {
            listed_engine.listed_leaving_at = clock_.now();
        }
        list.push_back({{"name", listed_engine.name.text()},
                        {"address", "engine"},
                        {"kind", "backend"},
                        {"state", is_leaving ? "leaving" : "live"}});
    }
    return list.dump();
}

void cluster_simulation::execute(std::size_t index, const probe_server& command) {
    order_connection& connection = instances_[index].orders[command.server];
    const std::uint64_t incarnation = instances_[index].incarnation;
    if (command.is_new_connection) {
        connection.is_open = false;
    }
    const std::uint64_t generation = connection.is_open ? connection.generation : ++connection.generation;
    events_.after(random_delay(200, 2000), [this, index, incarnation, generation, server = command.server] {
        simulated_instance& owner = instances_[index];
        if (owner.incarnation != incarnation || owner.orders[server].generation != generation) {
            return;
        }
        engine& target = engine_of(server);
        order_connection& opened = owner.orders[server];
        const bool is_broken = opened.is_open && opened.start != target.start;
        if (is_broken) {
            opened.is_open = false;
            schedule_event(index, incarnation, random_delay(100, 1000),
                           [this, server](node& coordination_node) {
                               return coordination_node.on_server_unreachable(server, clock_.now());
                           });
            return;
        }
        opened.is_open = true;
        opened.start = target.start;
        const std::vector<adapter_key> loaded{target.loaded.begin(), target.loaded.end()};
        schedule_event(index, incarnation, random_delay(200, 2000),
                       [this, server, start = target.start, loaded](node& coordination_node) {
                           return coordination_node.on_server_status(server, start, loaded, false,
                                                                     clock_.now());
                       });
    });
}

void cluster_simulation::evict(engine& target, const adapter_key& key) {
    for (const auto& [id, run] : target.running) {
        if (run.key == key) {
            history_.on_eviction_in_use(target.name.text(), key.text(), id.request.text());
        }
    }
    for (const auto& [id, dispatched_key] : target.dispatches_in_transit) {
        if (dispatched_key == key) {
            history_.on_eviction_in_use(target.name.text(), key.text(), id.request.text());
        }
    }
    target.loaded.erase(key);
}

void cluster_simulation::send_order(std::size_t index, const server_name& server, const transit_time& transit,
                                    const std::function<order_result(engine&)>& effect,
                                    const std::function<void(order_result)>& answer) {
    const order_connection connection = instances_[index].orders[server];
    engine& target = engine_of(server);
    if (!connection.is_open || connection.start != target.start) {
        answer(order_result::no_answer);
        return;
    }
    const bool is_lost = target.orders_to_delay > 0 && chance(0.7);
    if (is_lost) {
        --target.orders_to_delay;
        answer(order_result::no_answer);
    }
    const duration delay =
        is_lost ? random_delay(0, max_late_order_us) : random_delay(transit.min_us, transit.max_us);
    events_.after(delay, [this, server, effect, answer, is_lost, start = target.start] {
        engine& late = engine_of(server);
        const order_result result = late.start == start ? effect(late) : order_result::no_answer;
        if (!is_lost) {
            answer(result);
        }
    });
}

bool cluster_simulation::rejects_fencing(engine& target, std::uint64_t fencing) const {
    const bool is_old = options_.has_fencing && fencing < target.fencing;
    target.fencing = std::max(target.fencing, fencing);
    return is_old;
}

void cluster_simulation::execute(std::size_t index, const order_load& command) {
    const std::uint64_t incarnation = instances_[index].incarnation;
    const auto answer = [this, index, incarnation, command,
                         generation =
                             instances_[index].orders[command.server].generation](order_result what) {
        const bool is_current = instances_[index].incarnation == incarnation &&
                                instances_[index].orders[command.server].generation == generation;
        schedule_event(
            index, incarnation, random_delay(200, 2000),
            [this, command, result = is_current ? what : order_result::no_answer](node& coordination_node) {
                return coordination_node.on_load_answer(command.server, command.key, result, clock_.now());
            },
            [this, index, command] { reach_fault_point(fault_point::load_answer, index, command.server); });
    };
    const auto effect = [this, command](engine& target) {
        if (rejects_fencing(target, command.fencing)) {
            return order_result::refused;
        }
        if (target.loads_to_fail > 0) {
            --target.loads_to_fail;
            return order_result::refused;
        }
        if (target.loaded.contains(command.key)) {
            return order_result::already_loaded;
        }
        if (target.loaded.size() >= options_.slots) {
            return order_result::no_slot;
        }
        target.loaded.insert(command.key);
        return order_result::done;
    };
    send_order(index, command.server, {5000, 40'000}, effect, answer);
}

void cluster_simulation::execute(std::size_t index, const order_unload& command) {
    const std::uint64_t incarnation = instances_[index].incarnation;
    const auto answer = [this, index, incarnation, command](order_result what) {
        schedule_event(
            index, incarnation, random_delay(200, 2000),
            [this, command, what](node& coordination_node) {
                return coordination_node.on_unload_answer(command.server, command.key, what, clock_.now());
            },
            [this, index, command] { reach_fault_point(fault_point::evict_answer, index, command.server); });
    };
    const auto effect = [this, command](engine& target) {
        if (rejects_fencing(target, command.fencing)) {
            return order_result::refused;
        }
        evict(target, command.key);
        return order_result::done;
    };
    send_order(index, command.server, {200, 3000}, effect, answer);
}

void cluster_simulation::execute(std::size_t index, const dispatch_request& command) {
    const std::uint64_t incarnation = instances_[index].incarnation;
    if (clock_.now() - command.decided >= dispatch_age_limit) {
        const request_result late{protocol::NOT_RUN,
                                  {"engine.dispatch", "", "dispatch decision is too old"},
                                  milliseconds{0},
                                  false};
        schedule_event(index, incarnation, duration{0}, [this, command, late](node& coordination_node) {
            return coordination_node.on_dispatch_ended(command.server, command.id, late, 0, clock_.now());
        });
        return;
    }
    engine& target = engine_of(command.server);
    if (target.start == command.start) {
        target.dispatches_in_transit[command.id] = adapter_key{command.spec.adapter()};
    }
    events_.after(random_delay(200, 3000), [this, index, incarnation, command] {
        engine& receiver = engine_of(command.server);
        receiver.dispatches_in_transit.erase(command.id);
        const bool is_there =
            receiver.start == command.start && receiver.loaded.contains(adapter_key{command.spec.adapter()});
        if (!is_there) {
            const request_result refused{protocol::NOT_RUN,
                                         {"engine.answer", command.server.text(), "adapter is not loaded"},
                                         milliseconds{0},
                                         false};
            schedule_event(index, incarnation, random_delay(200, 2000),
                           [this, command, refused](node& coordination_node) {
                               return coordination_node.on_dispatch_ended(command.server, command.id, refused,
                                                                          0, clock_.now());
                           });
            return;
        }
        begin_run(index, incarnation, command, receiver);
    });
}

void cluster_simulation::begin_run(std::size_t index, std::uint64_t incarnation,
                                   const dispatch_request& command, engine& target) {
    const std::string request = command.id.request.text();
    history_.on_execution(request, command.spec.adapter(), target.name.text());
    if (target.listed_leaving_at && clock_.now() - *target.listed_leaving_at > leaving_limit) {
        history_.on_late_work(target.name.text(), request);
    }
    target.running[command.id] = {request,
                                  adapter_key{command.spec.adapter()},
                                  index,
                                  incarnation,
                                  0,
                                  command.spec.max_tokens(),
                                  false,
                                  false,
                                  next_run_number_++};
    events_.after(random_delay(5000, 40'000), [this, server = command.server, start = target.start,
                                               id = command.id] { produce(engine_of(server), start, id); });
}

void cluster_simulation::produce(engine& target, const start_id& start, const attempt_id& id) {
    const auto run = target.running.find(id);
    if (target.start != start || run == target.running.end()) {
        return;
    }
    running_request& run_state = run->second;
    if (run_state.is_cancelled) {
        end_run(target, id, protocol::FAILED, "cancelled");
        return;
    }
    const bool is_client_connected =
        instances_[run_state.instance].incarnation == run_state.instance_incarnation &&
        instances_[run_state.instance].coordination_node;
    if (!is_client_connected) {
        // The connection is closed; the engine notices that some time later.
        events_.after(random_delay(0, 500'000), [this, server = target.name, start, id] {
            engine& late = engine_of(server);
            if (late.start == start) {
                late.running.erase(id);
            }
        });
        return;
    }
    if (!run_state.is_silent) {
        const std::string token = run_state.key.text() + "#" + std::to_string(run_state.produced) + "~" +
                                  std::to_string(run_state.run);
        schedule_event(
            run_state.instance, run_state.instance_incarnation, milliseconds{1},
            [this, server = target.name, id, offset = run_state.produced, token](node& coordination_node) {
                return coordination_node.on_dispatch_progress(server, id, offset, {token}, clock_.now());
            },
            [this, server = target.name, offset = run_state.produced, index = run_state.instance] {
                if (offset == 0) {
                    reach_fault_point(fault_point::first_token, index, server);
                }
            });
    }
    ++run_state.produced;
    if (run_state.produced == run_state.wanted) {
        reach_fault_point(fault_point::last_token, run_state.instance, target.name);
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
    const running_request run_state = target.running.at(id);
    target.running.erase(id);
    const request_result result{
        outcome, {"engine.stream", target.name.text(), reason}, milliseconds{0}, false};
    if (run_state.is_silent) {
        return;
    }
    schedule_event(
        run_state.instance, run_state.instance_incarnation, milliseconds{2},
        [this, server = target.name, id, result, tokens = run_state.produced](node& coordination_node) {
            return coordination_node.on_dispatch_ended(server, id, result, tokens, clock_.now());
        });
}

void cluster_simulation::execute(std::size_t /*index*/, const cancel_dispatch& command) {
    events_.after(random_delay(200, 3000), [this, id = command.id] {
        for (engine& target : engines_) {
            const auto run = target.running.find(id);
            if (run != target.running.end()) {
                run->second.is_cancelled = true;
            }
        }
    });
}

void cluster_simulation::execute(std::size_t index, const confirm_dispatch_ended& command) {
    const std::uint64_t incarnation = instances_[index].incarnation;
    events_.after(random_delay(500, 5000), [this, index, incarnation, command] {
        engine& target = engine_of(command.server);
        if (target.start == command.start) {
            target.running.erase(command.id);
        }
        schedule_event(index, incarnation, random_delay(200, 2000), [this, command](node& coordination_node) {
            return coordination_node.on_dispatch_end_confirmed(command.server, command.id, clock_.now());
        });
    });
}

void cluster_simulation::execute(std::size_t /*index*/, const extend_credit& /*command*/) {}

void cluster_simulation::execute(std::size_t /*index*/, const connect_peer& /*command*/) {}

void cluster_simulation::execute(std::size_t /*index*/, const call_plain_service& /*command*/) {}

void cluster_simulation::execute(std::size_t /*index*/, const finish_publication& /*command*/) {}

void cluster_simulation::execute(std::size_t index, const deliver_tokens& command) {
    history_.on_tokens(command.request.text(), command.tokens);
    schedule_commands(index,
                      instances_[index].coordination_node->on_tokens_delivered(
                          command.request, static_cast<std::uint32_t>(command.tokens.size()), clock_.now()));
}

void cluster_simulation::execute(std::size_t index, const finish_request& command) {
    const std::string id = command.request.text();
    const auto open = open_requests_.find(id);
    if (open == open_requests_.end()) {
        return;
    }
    submission ended = open->second;
    open_requests_.erase(open);
    instances_[index].entered_requests.erase(id);
    const std::string outcome = command.result.is_duplicate                   ? "duplicate"
                                : command.result.outcome == protocol::DONE    ? "done"
                                : command.result.outcome == protocol::NOT_RUN ? "not_run"
                                : command.result.outcome == protocol::FAILED  ? "failed"
                                                                              : "unknown";
    history_.on_finished(id, {outcome, command.result.why.text()});
    if (outcome == "not_run" || (outcome == "unknown" && !ended.key.empty())) {
        retry_later(std::move(ended));
    }
}

void cluster_simulation::restart_engine(engine& target) {
    const auto running = std::exchange(target.running, {});
    target.start = start_id{"engine-" + std::to_string(next_start_++)};
    target.loaded.clear();
    target.dispatches_in_transit.clear();
    target.fencing = 0;
    target.listed_leaving_at.reset();
    target.is_listed_leaving = false;
    const request_result broken{
        protocol::UNKNOWN, {"engine.connection", target.name.text(), "reset"}, milliseconds{0}, false};
    for (const auto& [id, run] : running) {
        schedule_event(
            run.instance, run.instance_incarnation, random_delay(200, 3000),
            [this, server = target.name, id = id, broken, tokens = run.produced](node& coordination_node) {
                return coordination_node.on_dispatch_ended(server, id, broken, tokens, clock_.now());
            });
    }
}

void cluster_simulation::kill_instance(std::size_t index) {
    simulated_instance& simulated = instances_[index];
    ++simulated.incarnation;
    simulated.coordination_node.reset();
    simulated.deferred_actions.clear();
    for (const std::string& id : simulated.entered_requests) {
        const auto open = open_requests_.find(id);
        if (open != open_requests_.end()) {
            history_.on_finished(id, {"cut", "the entry instance died"});
            submission ended = open->second;
            open_requests_.erase(open);
            if (!ended.key.empty()) {
                retry_later(std::move(ended));
            }
        }
    }
    simulated.entered_requests.clear();
    events_.after(random_delay(300'000, 3'000'000), [this, index] { start_instance(index); });
}

void cluster_simulation::finish_planned_stop(std::size_t index) {
    simulated_instance& simulated = instances_[index];
    if (!simulated.is_stopping || !simulated.coordination_node) {
        return;
    }
    const bool is_late = clock_.now() - simulated.stopping_since > drain_limit;
    const bool has_ended = simulated.coordination_node->is_drained() && simulated.entered_requests.empty();
    if (has_ended || is_late) {
        for (const std::string& id : simulated.entered_requests) {
            history_.on_aborted_by_stop(id, simulated.identity.name.text());
        }
        kill_instance(index);
        return;
    }
    events_.after(milliseconds{100}, [this, index, incarnation = simulated.incarnation] {
        if (instances_[index].incarnation == incarnation) {
            finish_planned_stop(index);
        }
    });
}

void cluster_simulation::reach_fault_point(fault_point where, std::size_t index, const server_name& server) {
    const std::uint32_t count = ++fault_point_counts_[where];
    for (const planned_fault& planned : options_.plan) {
        if (planned.when == where && planned.occurrence == count && !are_faults_over_) {
            ++injected_faults_;
            trace_.push_back("fault " + fault_name(planned.what) + " at " + fault_point_name(where) + " i" +
                             std::to_string(index));
            inject(planned.what, index, server);
        }
    }
}

void cluster_simulation::inject(fault what, std::size_t index, const server_name& server) {
    simulated_instance& simulated = instances_[index];
    engine& target = server.is_empty() ? engines_[random_index(engines_.size())] : engine_of(server);
    const std::uint64_t incarnation = simulated.incarnation;
    const duration length = random_delay(min_fault_us, max_fault_us);
    const auto later = [this, length](std::function<void()> action) {
        events_.after(length, std::move(action));
    };
    switch (what) {
    case fault::kill:
        if (simulated.coordination_node) {
            kill_instance(index);
        }
        break;
    case fault::pause:
        simulated.is_paused = true;
        later([this, index, incarnation] {
            simulated_instance& paused = instances_[index];
            if (paused.incarnation != incarnation) {
                return;
            }
            paused.is_paused = false;
            auto deferred_actions = std::exchange(paused.deferred_actions, {});
            for (auto& action : deferred_actions) {
                run_on_instance(index, incarnation, std::move(action));
            }
        });
        break;
    case fault::cut_incoming:
    case fault::cut_outgoing:
    case fault::cut_both:
        simulated.drops_incoming = what != fault::cut_outgoing;
        simulated.drops_outgoing = what != fault::cut_incoming;
        later([this, index] { instances_[index].drops_incoming = instances_[index].drops_outgoing = false; });
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
        simulated.answers_to_drop += 2;
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
            schedule_event(
                run.instance, run.instance_incarnation, seconds{1},
                [this, name = target.name, id = id, broken, tokens = run.produced](node& coordination_node) {
                    return coordination_node.on_dispatch_ended(name, id, broken, tokens, clock_.now());
                });
        }
        break;
    case fault::load_failure:
        target.loads_to_fail = 3;
        break;
    case fault::lost_order:
        target.orders_to_delay = 2;
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
        if (!simulated.coordination_node || simulated.is_stopping) {
            break;
        }
        simulated.is_stopping = true;
        simulated.stopping_since = clock_.now();
        run_on_instance(index, incarnation, [this, index, incarnation] {
            schedule_commands(index, instances_[index].coordination_node->begin_drain(clock_.now()));
            events_.after(milliseconds{500}, [this, index, incarnation] {
                if (instances_[index].incarnation == incarnation) {
                    finish_planned_stop(index);
                }
            });
        });
        break;
    case fault::concurrent_operators:
        publish(index);
        publish((index + 1) % instances_.size());
        break;
    }
}

std::optional<std::size_t> cluster_simulation::pick_ready_instance() {
    const std::size_t first = random_index(instances_.size());
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        const std::size_t index = (first + i) % instances_.size();
        const simulated_instance& simulated = instances_[index];
        // Like a load balancer, this does not see that an instance is paused or cut off.
        if (simulated.coordination_node && simulated.coordination_node->is_ready() &&
            !simulated.is_stopping) {
            return index;
        }
    }
    return std::nullopt;
}

void cluster_simulation::submit_next() {
    if (are_faults_over_) {
        return;
    }
    submission submitted;
    const std::size_t rank = std::min(random_index(options_.adapters), random_index(options_.adapters));
    submitted.adapter = "adapter-" + std::to_string(rank) + "@v1";
    // Some requests run long enough to be running when a successor takes over.
    submitted.tokens =
        static_cast<std::uint32_t>(chance(0.15) ? 30 + random_index(15) : 1 + random_index(12));
    submitted.attempts_left = 3;
    if (chance(0.4)) {
        submitted.key = "key-" + std::to_string(next_request_);
    }
    submit(std::move(submitted));
    events_.after(random_delay(10'000, 120'000), [this] { submit_next(); });
}

void cluster_simulation::submit(submission submitted) {
    const auto index = pick_ready_instance();
    if (!index) {
        return;
    }
    submitted.request = "request-" + std::to_string(next_request_++);
    submitted.instance = *index;
    incoming_request ticket;
    ticket.deadline = clock_.now() + request_deadline;
    ticket.idempotency_key = submitted.key;
    ticket.spec.set_id(submitted.request);
    ticket.spec.set_service("service");
    ticket.spec.set_adapter(submitted.adapter);
    ticket.spec.set_max_tokens(submitted.tokens);
    ticket.spec.set_importance(static_cast<std::uint32_t>(1 + random_index(100)));
    ticket.spec.set_idempotent(submitted.key.empty());
    ticket.spec.set_fingerprint(submitted.request);
    history_.on_accepted(submitted.request, submitted.adapter, submitted.tokens, submitted.key,
                         submitted.key.empty());
    instances_[*index].entered_requests.insert(submitted.request);
    open_requests_[submitted.request] = submitted;
    run_on_instance(*index, instances_[*index].incarnation, [this, index = *index, ticket] {
        schedule_commands(index, instances_[index].coordination_node->accept(ticket, clock_.now()));
        reach_fault_point(fault_point::accept, index, server_name{});
    });
}

void cluster_simulation::retry_later(submission submitted) {
    if (--submitted.attempts_left <= 0) {
        return;
    }
    events_.after(random_delay(100'000, 1'500'000), [this, submitted] { submit(submitted); });
}

std::string cluster_simulation::make_sheet() const {
    std::string sheet = "store,50,8\npool,pool," + std::string{options_.has_fencing ? "yes" : "no"} + "\n";
    for (const engine& listed_engine : engines_) {
        sheet += "server," + listed_engine.name.text() + ",pool,region,centre,127.0.0.1:1," +
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
    simulated_instance& simulated = instances_[index];
    if (!simulated.coordination_node || simulated.is_paused) {
        return;
    }
    ++sheet_number_;
    publication_request request;
    request.apply_id = "apply-" + std::to_string(next_apply_++);
    const auto config = simulated.coordination_node->current_configuration();
    request.based_on = config ? config->revision : 0;
    request.author = "operator";
    request.reason = "test";
    request.sheet = make_sheet();
    schedule_commands(index, simulated.coordination_node->publish_sheet(std::move(request), clock_.now()));
}

void cluster_simulation::record_revisions() {
    for (const simulated_instance& simulated : instances_) {
        if (!simulated.coordination_node) {
            continue;
        }
        if (const auto config = simulated.coordination_node->current_configuration()) {
            history_.on_revision(simulated.identity.start.text(), config->revision,
                                 config->plain_services.begin()->first);
        }
    }
}

void cluster_simulation::clear_faults() {
    are_faults_over_ = true;
    is_platform_down_ = false;
    has_stale_reads_ = false;
    has_stale_list_ = false;
    platform_delay_ = milliseconds{2};
    for (simulated_instance& simulated : instances_) {
        simulated.drops_incoming = false;
        simulated.drops_outgoing = false;
        simulated.answers_to_drop = 0;
    }
    for (engine& faulty_engine : engines_) {
        faulty_engine.loads_to_fail = 0;
        faulty_engine.orders_to_delay = 0;
    }
}

void cluster_simulation::run() {
    publish(0);
    events_.run_until(clock_.now() + seconds{3});
    submit_next();
    for (int i = 1; i <= 4; ++i) {
        events_.after(seconds{2 * i}, [this] { publish(random_index(instances_.size())); });
    }
    events_.run_until(clock_.now() + traffic_duration);
    clear_faults();
    events_.run_until(clock_.now() + recovery_duration);
}

std::vector<std::string> cluster_simulation::recovery_failures() const {
    std::vector<std::string> faults;
    std::set<std::uint64_t> revisions;
    for (const simulated_instance& simulated : instances_) {
        if (!simulated.coordination_node) {
            faults.push_back(simulated.identity.name.text() + " is not running");
            continue;
        }
        const node_status status = simulated.coordination_node->status();
        revisions.insert(status.revision);
        for (const node_status::server& server : status.servers) {
            if (!server.is_ready) {
                faults.push_back(server.name.text() + " is not ready at " + simulated.identity.name.text() +
                                 ", owner " + server.owner.text());
            }
        }
        if (status.servers.size() < engines_.size()) {
            faults.push_back(simulated.identity.name.text() + " knows " +
                             std::to_string(status.servers.size()) + " servers");
        }
    }
    if (revisions.size() != 1) {
        faults.emplace_back("instances disagree on the configuration");
    }
    for (const auto& [id, unended] : open_requests_) {
        faults.push_back(id + " has not ended");
    }
    return faults;
}

} // namespace lovageledge::bench
