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

/** A point in an instance's work at which a fault may strike: the departure of a command or the arrival of an
    event. */
enum class step : std::uint8_t {
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
inline constexpr std::size_t step_count = 18;
std::string step_name(step which);

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
    rival_operator,
};
inline constexpr std::size_t fault_count = 17;
std::string fault_name(fault which);

/** One fault: it strikes when the step is seen for the given time. */
struct planned_fault {
    fault what = fault::kill;
    step when = step::accept;
    std::uint32_t occurrence = 1;
};

struct world_options {
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
    Several instances' decisions, joined by fakes of the network, the platform and the engines, in virtual
   time.

    Messages are delayed at random, kept in order per pair of peers, and lost where a fault says so. A paused
    instance's departures and arrivals wait for its return, so that it acts on what it believed before. A run
    depends on its options alone.
*/
class cluster_simulation {
public:
    explicit cluster_simulation(world_options options);
    cluster_simulation(const cluster_simulation&) = delete;
    cluster_simulation& operator=(const cluster_simulation&) = delete;

    /** Runs the load under the planned faults, heals everything, and lets all work end. */
    void run();

    const history& facts() const { return history_; }
    /** @returns planned faults that struck */
    std::size_t struck() const { return struck_; }
    /** @returns what is not well at the end though all faults are over: servers without a ready owner,
        instances that disagree on the configuration */
    std::vector<std::string> unhealed() const;
    /** @returns the events of all instances, for the search for a cause */
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
        std::uint64_t instance_life = 0;
        std::uint32_t produced = 0;
        std::uint32_t wanted = 0;
        bool is_silent = false;
        bool is_cancelled = false;
        /** Tells the tokens of one run from those of another. */
        std::uint64_t run = 0;
    };
    struct engine {
        server_name name;
        start_id start;
        std::set<adapter_key> loaded;
        std::map<attempt_id, running_request> running;
        /** Dispatches on the wire: adapter and request. */
        std::map<attempt_id, adapter_key> on_the_wire;
        std::uint64_t fencing = 0;
        int failing_loads = 0;
        int lost_orders = 0;
        std::optional<time_point> leaves_since;
        bool is_listed_leaving = false;
    };
    struct member {
        instance_identity identity;
        std::unique_ptr<node> decisions;
        std::uint64_t life = 0;
        bool is_paused = false;
        bool is_stopping = false;
        time_point stopping_since{};
        std::deque<std::function<void()>> held;
        bool cuts_incoming = false;
        bool cuts_outgoing = false;
        int lost_answers = 0;
        std::map<server_name, order_connection> orders;
        std::set<std::string> entered;
    };
    struct stored_object {
        std::uint64_t version = 0;
        std::string data;
    };
    using order_result = server_owner::order_result;
    struct order_transit {
        int least_us = 0;
        int most_us = 0;
    };
    struct submission {
        std::string request;
        std::string adapter;
        std::string key;
        std::uint32_t tokens = 0;
        std::size_t instance = 0;
        int tries_left = 0;
    };

    duration random_delay(int least_us, int most_us);
    std::size_t random_index(std::size_t size);
    bool chance(double probability);

    void start_instance(std::size_t index);
    void kill_instance(std::size_t index);
    void check_stopped(std::size_t index);
    void tick(std::size_t index, std::uint64_t life);
    /** Runs an action of an instance now, or when it resumes, or never if it has died meanwhile. */
    void at_instance(std::size_t index, std::uint64_t life, std::function<void()> action);
    void arrive(std::size_t index, std::uint64_t life, duration delay,
                std::function<command_list(node&)> event, std::function<void()> before = {});
    void execute(std::size_t index, command_list commands);
    void depart(std::size_t index, const node_command& item);

    void carry_out(std::size_t index, const send_to_peer& item);
    void carry_out(std::size_t index, const call_platform& item);
    void carry_out(std::size_t index, const dispatch_request& item);
    void carry_out(std::size_t index, const cancel_dispatch& item);
    void carry_out(std::size_t index, const confirm_dispatch_ended& item);
    void carry_out(std::size_t index, const extend_credit& item);
    void carry_out(std::size_t index, const order_load& item);
    void carry_out(std::size_t index, const order_unload& item);
    void carry_out(std::size_t index, const probe_server& item);
    void carry_out(std::size_t index, const connect_peer& item);
    void carry_out(std::size_t index, const deliver_tokens& item);
    void carry_out(std::size_t index, const finish_request& item);
    void carry_out(std::size_t index, const call_plain_service& item);
    void carry_out(std::size_t index, const finish_publication& item);

    platform_response apply_call(const call_platform& item);
    std::string instance_list();
    engine& engine_of(const server_name& name);
    void begin_run(std::size_t index, std::uint64_t life, const dispatch_request& item, engine& target);
    void produce(engine& target, const start_id& start, const attempt_id& id);
    void end_run(engine& target, const attempt_id& id, protocol::Outcome outcome, const std::string& reason);
    /** Sends an order on the order connection; its answer may be lost, and then its effect comes late.
        @param transit time on the way @param effect what the engine does with it */
    void send_order(std::size_t index, const server_name& server, const order_transit& transit,
                    const std::function<order_result(engine&)>& effect,
                    const std::function<void(order_result)>& answer);
    /** @returns true if the engine refuses the fencing number */
    bool is_fenced_off(engine& target, std::uint64_t fencing) const;
    void evict(engine& target, const adapter_key& key);
    void restart_engine(engine& target);

    void observe(step where, std::size_t index, const server_name& server);
    void strike(fault what, std::size_t index, const server_name& server);
    void heal();
    void submit_next();
    void submit(submission item);
    void retry_later(submission item);
    void publish(std::size_t index);
    std::string make_sheet() const;
    std::optional<std::size_t> pick_ready_instance();
    void note_revisions();

    world_options options_;
    std::mt19937_64 random_;
    runtime_clock clock_;
    event_queue events_;
    history history_;
    std::vector<std::string> trace_;
    coordination_settings settings_;
    std::vector<member> members_;
    std::vector<engine> engines_;
    std::map<std::string, stored_object> objects_;
    std::map<std::string, std::vector<stored_object>> old_objects_;
    std::uint64_t next_version_ = 0;
    std::uint64_t next_start_ = 0;
    std::uint64_t next_request_ = 0;
    std::uint64_t next_apply_ = 0;
    std::uint64_t next_run_ = 0;
    std::uint64_t sheet_number_ = 0;
    std::map<std::pair<std::size_t, std::size_t>, time_point> last_arrival_;
    std::map<std::string, submission> open_;
    std::map<step, std::uint32_t> seen_;
    std::size_t struck_ = 0;
    bool is_platform_down_ = false;
    duration platform_delay_ = std::chrono::milliseconds{2};
    bool has_stale_reads_ = false;
    bool has_stale_list_ = false;
    bool is_over_ = false;
};

} // namespace lovageledge::bench
