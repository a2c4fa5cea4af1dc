#pragma once

#include "event_queue.hpp"
#include "history.hpp"

#include "lovageledge/coordination/coordination.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lovageledge::bench {

/** A point in an instance's work at which a fault can be injected, usually just before it executes a
    command or handles an event. Names with blanks for underscores are the values of ledge-explore --step. */
enum class fault_point : std::uint8_t {
    accept,
    forward,
    claim,
    load_order,
    load_answer,
    dispatch,
    first_token,
    last_token,
    cancel,
    record_write,
    record_answer,
    evict_order,
    evict_answer,
    ownership_read,
    handover,
    drained,
    publish,
    spread,
};
inline constexpr std::size_t fault_point_count = 18;
std::string fault_point_name(fault_point which);

/** A fault that the simulation can inject. Names with blanks for underscores are the values of
    ledge-explore --fault, except that concurrent_operators is "rival operator". */
enum class fault : std::uint8_t {
    kill,
    pause,
    cut_incoming,
    cut_outgoing,
    cut_both,
    platform_down,
    platform_slow,
    lost_answer,
    stale_reads,
    engine_restart,
    silent_stream,
    load_failure,
    lost_order,
    server_leaves,
    stale_list,
    planned_stop,
    concurrent_operators,
};
inline constexpr std::size_t fault_count = 17;
std::string fault_name(fault which);

/** A fault that is injected when its fault point is reached for the given time, counted from 1 over all
    instances. */
struct planned_fault {
    fault what = fault::kill;
    fault_point when = fault_point::accept;
    std::uint32_t occurrence = 1;
};

struct simulation_options {
    std::uint64_t seed = 1;
    std::size_t instances = 3;
    std::size_t servers = 2;
    std::uint32_t slots = 3;
    std::size_t adapters = 8;
    bool has_fencing = false;
    coordination_settings::safeguards safeguard;
    std::vector<planned_fault> plan;
};

/**
    Runs the coordination logic of several instances in virtual time, against simulated networks, platform
    and engines.

    Messages get random delays, stay in order per pair of peers, and are lost only through injected faults.
    The commands and events of a paused instance are deferred until it resumes, so that it then acts on
    outdated state. All random choices derive from the seed.
*/
class cluster_simulation {
public:
    explicit cluster_simulation(simulation_options options);
    cluster_simulation(const cluster_simulation&) = delete;
    cluster_simulation& operator=(const cluster_simulation&) = delete;

    /** Runs a load with the planned faults, then clears all faults and lets the remaining work end. */
    void run();

    const history& recorded_history() const { return history_; }
    /** @returns the number of planned faults that were injected */
    std::size_t injected_faults() const { return injected_faults_; }
    /** @returns what has not recovered at the end of the run, after all faults are over: instances that
        do not run, servers without a ready owner, different configurations, requests that have not ended */
    std::vector<std::string> recovery_failures() const;
    /** @returns the logged events of all instances and the injected faults, for diagnosis */
    const std::vector<std::string>& trace() const { return trace_; }

private:
    struct order_connection {
        std::uint64_t generation = 0;
        bool is_open = false;
        start_id start;
    };
    struct running_request {
        std::string request;
        adapter_key key;
        std::size_t instance = 0;
        std::uint64_t instance_incarnation = 0;
        std::uint32_t produced = 0;
        std::uint32_t wanted = 0;
        bool is_silent = false;
        bool is_cancelled = false;
        /** Part of each token, to detect a response mixed from several runs. */
        std::uint64_t run = 0;
    };
    struct engine {
        server_name name;
        start_id start;
        std::set<adapter_key> loaded;
        std::map<attempt_id, running_request> running;
        /** Dispatches on their way to the engine, with their adapters. */
        std::map<attempt_id, adapter_key> dispatches_in_transit;
        std::uint64_t fencing = 0;
        int loads_to_fail = 0;
        /** Orders whose answer is to be lost and whose effect may come late. */
        int orders_to_delay = 0;
        /** When an instance could first read in the platform's list that the server is leaving. */
        std::optional<time_point> listed_leaving_at;
        bool is_listed_leaving = false;
    };
    struct simulated_instance {
        instance_identity identity;
        std::unique_ptr<node> coordination_node;
        /** Grows with each start and each death; scheduled actions of a former incarnation are dropped. */
        std::uint64_t incarnation = 0;
        bool is_paused = false;
        bool is_stopping = false;
        time_point stopping_since{};
        std::deque<std::function<void()>> deferred_actions;
        bool drops_incoming = false;
        bool drops_outgoing = false;
        int answers_to_drop = 0;
        std::map<server_name, order_connection> orders;
        std::set<std::string> entered_requests;
    };
    struct stored_object {
        std::uint64_t version = 0;
        std::string data;
    };
    using order_result = server_owner::order_result;
    struct transit_time {
        int min_us = 0;
        int max_us = 0;
    };
    struct submission {
        std::string request;
        std::string adapter;
        std::string key;
        std::uint32_t tokens = 0;
        std::size_t instance = 0;
        int attempts_left = 0;
    };

    duration random_delay(int min_us, int max_us);
    std::size_t random_index(std::size_t size);
    bool chance(double probability);

    void start_instance(std::size_t index);
    void kill_instance(std::size_t index);
    void finish_planned_stop(std::size_t index);
    void tick(std::size_t index, std::uint64_t incarnation);
    /** Runs an action of an instance now, or when it resumes from a pause; drops it if the instance has died
        since. */
    void run_on_instance(std::size_t index, std::uint64_t incarnation, std::function<void()> action);
    /** Delivers an event to an instance's node after a delay and schedules the resulting commands.
        @param on_arrival runs before the event, typically to reach a fault point */
    void schedule_event(std::size_t index, std::uint64_t incarnation, duration delay,
                        std::function<command_list(node&)> event, std::function<void()> on_arrival = {});
    /** Schedules the execution of a node's commands a moment after it decided them. */
    void schedule_commands(std::size_t index, command_list commands);
    /** Reaches the fault point of a command, then executes it unless the instance has died. */
    void begin_command(std::size_t index, const node_command& command);

    void execute(std::size_t index, const send_to_peer& command);
    void execute(std::size_t index, const call_platform& command);
    void execute(std::size_t index, const dispatch_request& command);
    void execute(std::size_t index, const cancel_dispatch& command);
    void execute(std::size_t index, const confirm_dispatch_ended& command);
    void execute(std::size_t index, const extend_credit& command);
    void execute(std::size_t index, const order_load& command);
    void execute(std::size_t index, const order_unload& command);
    void execute(std::size_t index, const probe_server& command);
    void execute(std::size_t index, const connect_peer& command);
    void execute(std::size_t index, const deliver_tokens& command);
    void execute(std::size_t index, const finish_request& command);
    void execute(std::size_t index, const call_plain_service& command);
    void execute(std::size_t index, const finish_publication& command);

    platform_response apply_platform_call(const call_platform& command);
    std::string instance_list();
    engine& engine_of(const server_name& name);
    void begin_run(std::size_t index, std::uint64_t incarnation, const dispatch_request& command,
                   engine& target);
    void produce(engine& target, const start_id& start, const attempt_id& id);
    void end_run(engine& target, const attempt_id& id, protocol::Outcome outcome, const std::string& reason);
    /** Sends an order on the order connection. If a fault loses the answer, the effect may come late.
        @param transit range of the delivery time
        @param effect what the engine does with the order
        @param answer receives the result */
    void send_order(std::size_t index, const server_name& server, const transit_time& transit,
                    const std::function<order_result(engine&)>& effect,
                    const std::function<void(order_result)>& answer);
    /** Records a fencing number at the engine.
        @returns true if the engine rejects it as outdated */
    bool rejects_fencing(engine& target, std::uint64_t fencing) const;
    void evict(engine& target, const adapter_key& key);
    void restart_engine(engine& target);

    /** Injects the faults that are planned for this occurrence of a fault point. */
    void reach_fault_point(fault_point where, std::size_t index, const server_name& server);
    void inject(fault what, std::size_t index, const server_name& server);
    void clear_faults();
    void submit_next();
    void submit(submission submitted);
    void retry_later(submission submitted);
    void publish(std::size_t index);
    std::string make_sheet() const;
    std::optional<std::size_t> pick_ready_instance();
    void record_revisions();

    simulation_options options_;
    std::mt19937_64 random_;
    runtime_clock clock_;
    event_queue events_;
    history history_;
    std::vector<std::string> trace_;
    coordination_settings settings_;
    std::vector<simulated_instance> instances_;
    std::vector<engine> engines_;
    std::map<std::string, stored_object> objects_;
    std::map<std::string, std::vector<stored_object>> former_objects_;
    std::uint64_t next_version_ = 0;
    std::uint64_t next_start_ = 0;
    std::uint64_t next_request_ = 0;
    std::uint64_t next_apply_ = 0;
    std::uint64_t next_run_number_ = 0;
    std::uint64_t sheet_number_ = 0;
    std::map<std::pair<std::size_t, std::size_t>, time_point> last_arrival_;
    std::map<std::string, submission> open_requests_;
    std::map<fault_point, std::uint32_t> fault_point_counts_;
    std::size_t injected_faults_ = 0;
    bool is_platform_down_ = false;
    duration platform_delay_ = std::chrono::milliseconds{2};
    bool has_stale_reads_ = false;
    bool has_stale_list_ = false;
    bool are_faults_over_ = false;
};

} // namespace lovageledge::bench
