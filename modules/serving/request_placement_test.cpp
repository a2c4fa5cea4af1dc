#include "lovageledge/serving/serving.hpp"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <memory>
#include <queue>
#include <random>
#include <sstream>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Limits of the engines of the first deployment. */
constexpr std::uint32_t engine_slots = 64;
constexpr std::uint64_t engine_memory = 231'160;
constexpr double prefill_tokens_per_ms = 38.1;
constexpr double ms_per_output_token = 4.43;
/** Later than any machine's time since its start. */
constexpr auto simulation_start = std::chrono::hours{24 * 3650};
constexpr auto adapter_load_time = milliseconds{280};
constexpr auto snapshot_interval = milliseconds{50};
constexpr std::size_t snapshots_kept = 10;
constexpr auto report_interval = milliseconds{150};
/** After that, a gateway that sends no reports counts as having no work. */
constexpr auto work_lifetime = seconds{2};

/** A kind of requests of the simulated load. */
struct request_class {
    std::string name;
    double share = 0.0;
    std::uint32_t rank = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    duration target{};
    duration deadline{};
};

struct load_parameters {
    std::size_t gateways = 82;
    std::size_t engines = 30;
    std::size_t adapters = 60;
    /** Engines that hold each adapter. */
    std::size_t copies = 3;
    /** Prompt tokens asked for, relative to what the engines prefill. */
    double load = 1.0;
    duration length = seconds{8};
    /** Accounts of equal caps; 0 means none. */
    std::size_t accounts = 0;
    /** Demand of the first account relative to the others. */
    double first_account_factor = 1.0;
    /** False: requests go to the selector's choice at once, as without the setting. */
    bool is_bounded = true;
    std::vector<request_class> classes{
        {"short", 0.3, 0, 900, 150, milliseconds{1000}, milliseconds{5000}},
        {"common", 0.6, 1, 1100, 200, milliseconds{3000}, milliseconds{10'000}},
        {"long", 0.1, 2, 9000, 200, milliseconds{4000}, milliseconds{12'000}},
    };
};

/** Means over the requests that waited and were sent. */
struct wait_error {
    double error_ms = 0.0;
    double observed_ms = 0.0;
};

/** What became of the requests of one class or account. */
struct outcome_counts {
    std::uint64_t arrived = 0;
    std::uint64_t in_time = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    /** Neither answered nor refused before the deadline. */
    std::uint64_t missed = 0;

    double in_time_share() const {
        return static_cast<double>(in_time) / static_cast<double>(std::max<std::uint64_t>(1, arrived));
    }
};

/**
    Gateways that share engines and learn of each other's requests late, on a paused clock.

    An engine runs a number of requests at once, prefills their prompts one after the other, and begins queued
    requests in the order in which they were sent.
*/
class load_simulation {
public:
    explicit load_simulation(load_parameters parameters) : parameters_{std::move(parameters)} {
        clock_.pause();
        // The shares depend on the time, so each run begins at the same one.
        clock_.advance(time_point{simulation_start} - clock_.now());
        began_ = clock_.now();
        for (std::size_t i = 0; i < parameters_.engines; ++i) {
            engines_.push_back(std::make_unique<engine>());
            names_.emplace_back("engine-" + std::to_string(i));
        }
        for (std::size_t i = 0; i < parameters_.gateways; ++i) {
            gateways_.push_back(std::make_unique<gateway>("gateway-" + std::to_string(i)));
            gateways_.back()->placement.room().set_gateways(parameters_.gateways);
            for (std::size_t j = 0; j < parameters_.engines; ++j) {
                gateways_.back()->directory.on_listed(listing_of(j), clock_.now());
            }
        }
        at(duration::zero(), [this] { take_snapshot(); });
        for (std::size_t i = 0; i < parameters_.gateways; ++i) {
            at(report_interval * i / parameters_.gateways, [this, i] { receive_reports(i); });
        }
        at(next_arrival(), [this] { on_arrival(); });
    }

    /** Calls a function at a time after the start of the simulation. */
    void at_time(duration time, std::function<void()> action) {
        at(began_ + time - clock_.now(), std::move(action));
    }
    void run() {
        const time_point end = began_ + parameters_.length + seconds{13};
        while (!events_.empty() && events_.top().time < end) {
            const scheduled next = events_.top();
            events_.pop();
            clock_.advance(next.time - clock_.now());
            next.action();
        }
        for (const auto& known : requests_) {
            if (!known->is_decided) {
                ++known->counts().missed;
            }
        }
    }

    void stop_reports() { has_reports_ = false; }
    void resume_reports() { has_reports_ = true; }
    void end_gateway(std::size_t index) {
        gateways_[index]->ended_at = clock_.now();
        for (const auto& known : requests_) {
            known->is_decided = known->is_decided || known->gateway == index;
        }
    }
    void remove_engine(std::size_t index) {
        engines_[index]->is_removed = true;
        for (const auto& member : gateways_) {
            member->directory.on_unlisted(names_[index]);
        }
    }

    const outcome_counts& counts(std::size_t request_class) { return by_class_[request_class]; }
    outcome_counts accounts_except_first() const {
        outcome_counts sum;
        for (const auto& [account, counts] : by_account_) {
            if (account > 0) {
                sum.arrived += counts.arrived;
                sum.in_time += counts.in_time;
            }
        }
        return sum;
    }
    std::uint64_t max_committed() const { return max_committed_; }
    std::uint32_t max_sent() const { return max_sent_; }
    std::uint64_t missed() const {
        std::uint64_t sum = 0;
        for (const auto& [index, counts] : by_class_) {
            sum += counts.missed;
        }
        return sum;
    }
    std::uint64_t arrived() const { return requests_.size(); }
    std::size_t still_waiting() const {
        std::size_t sum = 0;
        for (const auto& member : gateways_) {
            sum += member->ended_at ? 0 : member->placement.queue().size();
        }
        return sum;
    }
    /** @returns the part of the engines' time in which they prefilled prompts, while requests arrived */
    double prefill_use() const {
        return prefill_ms_ / (std::chrono::duration<double, std::milli>(parameters_.length).count() *
                              static_cast<double>(parameters_.engines));
    }
    /** @returns the difference between the predicted and the observed wait, and the observed one */
    wait_error mean_wait_error() const {
        const double count = std::max<double>(1.0, static_cast<double>(waited_));
        return {wait_error_ms_ / count, observed_wait_ms_ / count};
    }
    /** @returns how long refused requests had waited, in milliseconds */
    double mean_refusal_age() const {
        std::uint64_t refused = 0;
        for (const auto& [index, counts] : by_class_) {
            refused += counts.refused;
        }
        return refusal_age_ms_ / std::max<double>(1.0, static_cast<double>(refused));
    }
    std::string text() const {
        std::ostringstream text;
        for (const auto& [index, counts] : by_class_) {
            text << parameters_.classes[index].name << ": arrived " << counts.arrived << ", in time "
                 << counts.in_time << ", late " << counts.late << ", refused " << counts.refused
                 << ", missed " << counts.missed << "; ";
        }
        text << "others in time " << accounts_except_first().in_time_share() << ", prefill use "
             << prefill_use() << ", most committed tokens " << max_committed_ << ", most requests sent "
             << max_sent_ << ", longest unread ms " << max_unread_ms_ << ", loads " << loads_ << ", waited "
             << waited_ << ", mean wait error " << mean_wait_error().error_ms << " of "
             << mean_wait_error().observed_ms << " ms, mean age of refusals " << mean_refusal_age() << " ms";
        return text.str();
    }

private:
    struct request {
        std::size_t gateway = 0;
        std::size_t request_class = 0;
        std::size_t account = 0;
        load_simulation* owner = nullptr;
        placement_terms terms;
        selection_request work;
        std::optional<waiting_ticket> ticket;
        std::optional<duration> predicted;
        std::size_t engine = 0;
        time_point sent_at{};
        bool is_decided = false;

        outcome_counts& counts() const { return owner->by_class_[request_class]; }
        outcome_counts& account_counts() const { return owner->by_account_[account]; }
        request_size size() const {
            return {work.prompt_tokens, std::uint64_t{work.prompt_tokens} + terms.output_tokens};
        }
    };
    using request_pointer = std::shared_ptr<request>;

    struct engine {
        std::deque<request_pointer> queue;
        std::uint32_t running = 0;
        std::uint32_t sent = 0;
        std::uint64_t committed = 0;
        time_point prefill_free{};
        bool is_removed = false;
    };
    struct gateway {
        explicit gateway(const std::string& name)
            : placement{instance_name{name}, selector, directory, versions,
                        [](const backend&) { return prefill_tokens_per_ms; }} {}
        backend_directory directory;
        version_registry versions;
        server_selector selector{selector_settings{}, [](const data_centre_name&) { return true; }};
        request_placement placement;
        std::map<waiting_ticket, request_pointer> waiting;
        /** Own work by engine, at the last snapshots. */
        std::deque<std::vector<peer_server_work>> snapshots;
        std::optional<time_point> ended_at;
    };
    struct scheduled {
        time_point time{};
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator>(const scheduled& other) const {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    void at(duration delay, std::function<void()> action) {
        events_.push({clock_.now() + delay, ++last_event_, std::move(action)});
    }

    server_listing listing_of(std::size_t index) const {
        server_listing entry;
        entry.name = names_[index];
        entry.service = pool_name{"pool"};
        entry.zone = data_centre_name{"zone"};
        entry.slots = engine_slots;
        entry.weights.models["base"] = 1;
        for (std::size_t adapter = 0; adapter < parameters_.adapters; ++adapter) {
            for (std::size_t copy = 0; copy < parameters_.copies; ++copy) {
                if ((adapter * 7 + copy * 11) % parameters_.engines == index) {
                    entry.weights.adapters[{"base", std::to_string(adapter)}] = 1;
                }
            }
        }
        return entry;
    }

    duration next_arrival() {
        double tokens = 0.0;
        for (const request_class& kind : parameters_.classes) {
            tokens += kind.share * kind.prompt_tokens;
        }
        const double per_ms =
            parameters_.load * prefill_tokens_per_ms * static_cast<double>(parameters_.engines) / tokens;
        return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{
            std::exponential_distribution<double>{per_ms}(random_)});
    }

    void on_arrival() {
        if (clock_.now() >= began_ + parameters_.length) {
            return;
        }
        at(next_arrival(), [this] { on_arrival(); });
        const auto made = std::make_shared<request>();
        made->owner = this;
        made->gateway = random_() % gateways_.size();
        if (gateways_[made->gateway]->ended_at) {
            made->gateway = (made->gateway + 1) % gateways_.size();
        }
        std::vector<double> shares;
        for (const request_class& kind : parameters_.classes) {
            shares.push_back(kind.share);
        }
        made->request_class = std::discrete_distribution<std::size_t>{shares.begin(), shares.end()}(random_);
        if (parameters_.accounts > 0) {
            std::vector<double> demands(parameters_.accounts, 1.0);
            demands.front() = parameters_.first_account_factor;
            made->account = std::discrete_distribution<std::size_t>{demands.begin(), demands.end()}(random_);
            made->terms.account = account_name{std::to_string(made->account)};
        }
        const request_class& kind = parameters_.classes[made->request_class];
        const time_point now = clock_.now();
        made->terms.rank = kind.rank;
        made->terms.arrived = now;
        made->terms.target = now + kind.target;
        made->terms.deadline = now + kind.deadline;
        made->terms.output_tokens = kind.output_tokens;
        made->terms.digest = requests_.size();
        made->terms.slots = engine_slots;
        made->terms.memory_tokens = engine_memory;
        made->terms.shortest_target = parameters_.classes.front().target;
        made->work.id = request_id{std::to_string(requests_.size())};
        made->work.service = pool_name{"pool"};
        made->work.weights = {"base", std::to_string(random_() % parameters_.adapters)};
        made->work.adapter_slots_per_server = 7;
        made->work.demand = 100.0;
        made->work.prompt_tokens = kind.prompt_tokens;
        requests_.push_back(made);
        ++made->counts().arrived;
        ++made->account_counts().arrived;
        begin(made);
    }

    void begin(const request_pointer& item) {
        gateway& owner = *gateways_[item->gateway];
        if (parameters_.is_bounded) {
            item->ticket = owner.placement.begin(item->terms, clock_.now());
            owner.waiting[*item->ticket] = item;
        }
        decide(item);
    }

    void decide(const request_pointer& item) {
        gateway& owner = *gateways_[item->gateway];
        const time_point now = clock_.now();
        if (owner.ended_at) {
            return;
        }
        item->work.longest_wait = item->terms.deadline - now;
        placement result{placement_outcome::send, std::nullopt};
        if (parameters_.is_bounded) {
            if (!item->ticket) {
                return; // Decided before its timer.
            }
            result = owner.placement.decide(*item->ticket, item->work, now);
            if (result.outcome == placement_outcome::wait) {
                item->predicted = item->predicted.value_or(result.expected_wait);
                at(result.check_at - now, [this, item] { decide(item); });
                return;
            }
            owner.waiting.erase(*item->ticket);
            owner.placement.end(*item->ticket);
            item->ticket.reset();
        } else {
            result.choice = owner.selector.pick(owner.directory, owner.versions, item->work, now);
        }
        const bool is_hopeless =
            !result.choice || result.choice->estimate > (item->terms.deadline - now) * 0.9;
        if (result.outcome != placement_outcome::send || is_hopeless) {
            item->is_decided = true;
            ++item->counts().refused;
            refusal_age_ms_ += std::chrono::duration<double, std::milli>(now - item->terms.arrived).count();
            return;
        }
        const std::size_t target = index_of(result.choice->server);
        if (result.choice->needs_load) {
            ++loads_;
            at(adapter_load_time, [this, item, target] {
                for (const auto& member : gateways_) {
                    if (backend* server = member->directory.find(names_[target])) {
                        server->listing.weights.adapters[item->work.weights] = 1;
                    }
                }
                begin(item);
            });
            return;
        }
        send(item, target);
    }

    std::size_t index_of(const server_name& name) const {
        return static_cast<std::size_t>(std::find(names_.begin(), names_.end(), name) - names_.begin());
    }

    void send(const request_pointer& item, std::size_t target) {
        gateway& owner = *gateways_[item->gateway];
        item->engine = target;
        item->sent_at = clock_.now();
        if (item->predicted) {
            const double observed =
                std::chrono::duration<double, std::milli>(clock_.now() - item->terms.arrived).count();
            const double predicted = std::chrono::duration<double, std::milli>(*item->predicted).count();
            ++waited_;
            wait_error_ms_ += std::abs(observed - predicted);
            observed_wait_ms_ += observed;
        }
        backend& server = *owner.directory.find(names_[target]);
        ++server.in_flight;
        server.pending_tokens += item->work.prompt_tokens;
        server.committed_tokens += item->size().memory_tokens;
        owner.placement.on_sent(names_[target], item->terms, item->size(), clock_.now());
        engine& host = *engines_[target];
        ++host.sent;
        host.committed += item->size().memory_tokens;
        max_sent_ = std::max(max_sent_, host.sent);
        max_committed_ = std::max(max_committed_, host.committed);
        host.queue.push_back(item);
        start_queued(target);
        wake(item->gateway, target);
    }

    void start_queued(std::size_t target) {
        engine& host = *engines_[target];
        while (host.running < engine_slots && !host.queue.empty()) {
            const request_pointer item = host.queue.front();
            host.queue.pop_front();
            ++host.running;
            const double prefill_ms = item->work.prompt_tokens / prefill_tokens_per_ms;
            const time_point start = std::max(host.prefill_free, clock_.now());
            host.prefill_free = start + std::chrono::duration_cast<duration>(
                                            std::chrono::duration<double, std::milli>{prefill_ms});
            const time_point first_event = host.prefill_free;
            max_unread_ms_ =
                std::max(max_unread_ms_,
                         std::chrono::duration<double, std::milli>(first_event - clock_.now()).count());
            if (first_event < began_ + parameters_.length) {
                prefill_ms_ += prefill_ms;
            }
            at(first_event - clock_.now(), [this, item] { on_first_event(item); });
        }
    }

    void on_first_event(const request_pointer& item) {
        if (!item->is_decided) {
            item->is_decided = true;
            const time_point now = clock_.now();
            outcome_counts& counts = item->counts();
            ++(now <= item->terms.target     ? counts.in_time
               : now <= item->terms.deadline ? counts.late
                                             : counts.missed);
            item->account_counts().in_time += now <= item->terms.target ? 1 : 0;
        }
        if (backend* server = gateways_[item->gateway]->directory.find(names_[item->engine])) {
            server->pending_tokens -= item->work.prompt_tokens;
            ++server->streaming;
        }
        wake(item->gateway, item->engine);
        const auto decode = std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>{item->terms.output_tokens * ms_per_output_token});
        at(decode, [this, item] { on_end(item); });
    }

    void on_end(const request_pointer& item) {
        gateway& owner = *gateways_[item->gateway];
        if (backend* server = owner.directory.find(names_[item->engine])) {
            --server->streaming;
            --server->in_flight;
            server->committed_tokens -= item->size().memory_tokens;
        }
        owner.placement.room().on_completed(item->size(), clock_.now() - item->sent_at);
        engine& host = *engines_[item->engine];
        --host.running;
        --host.sent;
        host.committed -= item->size().memory_tokens;
        start_queued(item->engine);
        wake(item->gateway, item->engine);
    }

    void wake(std::size_t index, std::size_t target) {
        gateway& owner = *gateways_[index];
        if (owner.ended_at) {
            return;
        }
        if (const auto ticket = owner.placement.next_ready(names_[target], clock_.now())) {
            const request_pointer item = owner.waiting.at(*ticket);
            at(duration::zero(), [this, item] { decide(item); });
        }
    }

    void take_snapshot() {
        at(snapshot_interval, [this] { take_snapshot(); });
        for (const auto& member : gateways_) {
            std::vector<peer_server_work> work(parameters_.engines);
            const bool is_silent = member->ended_at && clock_.now() > *member->ended_at + work_lifetime;
            for (std::size_t i = 0; i < parameters_.engines && !is_silent; ++i) {
                const backend* entry = member->directory.find(names_[i]);
                if (entry == nullptr) {
                    continue;
                }
                const backend& server = *entry;
                work[i].in_flight = server.in_flight;
                work[i].streaming = server.streaming;
                work[i].pending_tokens = server.pending_tokens;
                work[i].committed_tokens = server.committed_tokens;
                work[i].wanted_tokens = member->placement.wanted_tokens(names_[i], clock_.now());
            }
            member->snapshots.push_front(std::move(work));
            if (member->snapshots.size() > snapshots_kept) {
                member->snapshots.pop_back();
            }
        }
        if (has_reports_) {
            last_report_ = clock_.now();
        }
    }

    void receive_reports(std::size_t index) {
        at(report_interval, [this, index] { receive_reports(index); });
        gateway& member = *gateways_[index];
        const bool is_forgotten = clock_.now() - last_report_ > work_lifetime;
        if (member.ended_at || (!has_reports_ && !is_forgotten)) {
            return;
        }
        for (std::size_t i = 0; i < parameters_.engines; ++i) {
            peer_server_work sum;
            // 150 ms for engines of the own data centre, up to 400 ms for others.
            const std::size_t age = std::min<std::size_t>(3 + (index + i) % 6, member.snapshots.size() - 1);
            for (const auto& other : gateways_) {
                if (other == gateways_[index] || is_forgotten) {
                    continue;
                }
                const peer_server_work& work = other->snapshots[age][i];
                sum.in_flight += work.in_flight;
                sum.streaming += work.streaming;
                sum.pending_tokens += work.pending_tokens;
                sum.committed_tokens += work.committed_tokens;
                for (std::size_t rank = 0; rank < waiting_ranks; ++rank) {
                    sum.wanted_tokens.at(rank) += work.wanted_tokens.at(rank);
                }
            }
            if (backend* server = member.directory.find(names_[i])) {
                server->peer_work[instance_name{"holder"}] = sum;
            }
        }
        if (has_reports_) {
            member.placement.room().on_reports(clock_.now());
        }
        for (std::size_t i = 0; i < parameters_.engines; ++i) {
            wake(index, i);
        }
    }

    load_parameters parameters_;
    runtime_clock clock_;
    time_point began_{};
    std::mt19937_64 random_{42};
    std::vector<server_name> names_;
    std::vector<std::unique_ptr<engine>> engines_;
    std::vector<std::unique_ptr<gateway>> gateways_;
    std::vector<request_pointer> requests_;
    std::priority_queue<scheduled, std::vector<scheduled>, std::greater<>> events_;
    std::uint64_t last_event_ = 0;
    bool has_reports_ = true;
    time_point last_report_{};
    std::map<std::size_t, outcome_counts> by_class_;
    std::map<std::size_t, outcome_counts> by_account_;
    std::uint64_t max_committed_ = 0;
    std::uint32_t max_sent_ = 0;
    double max_unread_ms_ = 0.0;
    double prefill_ms_ = 0.0;
    std::uint64_t loads_ = 0;
    std::uint64_t waited_ = 0;
    double wait_error_ms_ = 0.0;
    double observed_wait_ms_ = 0.0;
    double refusal_age_ms_ = 0.0;
};

class request_placement_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_placement_test);
    CPPUNIT_TEST(important_requests_are_in_time_at_overload_of_1_5);
    CPPUNIT_TEST(important_requests_are_in_time_at_overload_of_2_5);
    CPPUNIT_TEST(important_requests_are_late_without_a_bound);
    CPPUNIT_TEST(moderate_load_is_not_held_back);
    CPPUNIT_TEST(account_with_seven_times_its_rate_does_not_delay_others);
    CPPUNIT_TEST(large_requests_never_exceed_the_memory_of_an_engine);
    CPPUNIT_TEST(requests_are_served_while_reports_stop);
    CPPUNIT_TEST(ended_gateway_does_not_keep_room_from_others);
    CPPUNIT_TEST(requests_that_wait_for_a_removed_engine_go_elsewhere);
    CPPUNIT_TEST_SUITE_END();

    /** Runs a simulation. With the variable LEDGE_FIGURES, its figures are printed. */
    static void run(load_simulation& simulation, const std::string& name) {
        simulation.run();
        if (std::getenv("LEDGE_FIGURES") != nullptr) {
            std::cout << "\n" << name << ": " << simulation.text() << std::endl;
        }
    }

    static void check_overload(double load, double min_in_time) {
        load_parameters parameters;
        parameters.load = load;
        load_simulation simulation{parameters};
        run(simulation, "overload " + std::to_string(load));
        const std::string figures = simulation.text();
        CPPUNIT_ASSERT_MESSAGE(figures, simulation.counts(0).in_time_share() >= min_in_time);
        CPPUNIT_ASSERT_MESSAGE(figures, simulation.prefill_use() >= 0.85);
        CPPUNIT_ASSERT_MESSAGE(figures, simulation.max_committed() <= engine_memory);
        CPPUNIT_ASSERT_MESSAGE(figures, simulation.missed() * 100 <= simulation.arrived());
        CPPUNIT_ASSERT_MESSAGE(figures, simulation.still_waiting() == 0);
        for (std::size_t i = 0; i < parameters.classes.size(); ++i) {
            const outcome_counts& counts = simulation.counts(i);
            CPPUNIT_ASSERT_MESSAGE(figures, (counts.in_time + counts.late) * 20 >= counts.arrived);
        }
    }

    // Without a bound, requests of all ranks fill the engines' queues and the important ones are late.
    void important_requests_are_in_time_at_overload_of_1_5() { check_overload(1.5, 0.95); }
    void important_requests_are_in_time_at_overload_of_2_5() { check_overload(2.5, 0.95); }

    // Shows that the load of the two tests above is one that the bound is needed for.
    void important_requests_are_late_without_a_bound() {
        load_parameters parameters;
        parameters.load = 1.5;
        parameters.is_bounded = false;
        load_simulation simulation{parameters};
        run(simulation, "overload 1.5 without a bound");
        CPPUNIT_ASSERT_MESSAGE(simulation.text(), simulation.counts(0).in_time_share() < 0.7);
    }

    // Guards against gateways that each use only a small part of the engines, although they have room.
    void moderate_load_is_not_held_back() {
        load_parameters parameters;
        parameters.load = 0.6;
        load_simulation simulation{parameters};
        run(simulation, "moderate load");
        for (std::size_t i = 0; i < parameters.classes.size(); ++i) {
            CPPUNIT_ASSERT_MESSAGE(simulation.text(), simulation.counts(i).in_time_share() >= 0.98);
        }
    }

    // Guards against an order by deadline alone, in which the account with most requests gets most room.
    void account_with_seven_times_its_rate_does_not_delay_others() {
        load_parameters parameters;
        parameters.accounts = 16;
        parameters.first_account_factor = 7.0;
        parameters.load = 1.2; // The other accounts ask for 0.82 of what the engines can do.
        for (request_class& kind : parameters.classes) {
            kind.rank = 1;
        }
        load_simulation simulation{parameters};
        run(simulation, "account with seven times its rate");
        CPPUNIT_ASSERT_MESSAGE(simulation.text(), simulation.accounts_except_first().in_time_share() >= 0.88);
    }

    // An engine whose requests exceed its memory crashes. Here 64 slots of requests need five times as much.
    void large_requests_never_exceed_the_memory_of_an_engine() {
        load_parameters parameters;
        parameters.load = 1.5;
        parameters.engines = 15;
        parameters.classes = {
            {"short", 0.5, 0, 900, 150, milliseconds{1000}, milliseconds{5000}},
            {"large", 0.5, 1, 9000, 4000, milliseconds{4000}, milliseconds{12'000}},
            {"largest", 0.02, 1, 41'000, 4000, milliseconds{8000}, milliseconds{12'000}},
        };
        load_simulation simulation{parameters};
        run(simulation, "large requests");
        CPPUNIT_ASSERT_MESSAGE(simulation.text(), simulation.max_committed() <= engine_memory);
        CPPUNIT_ASSERT_MESSAGE(simulation.text(), simulation.counts(2).in_time > 0);
    }

    // For 5.5 s after a holder's end nothing is reported. Gateways must neither stop nor send without bound.
    void requests_are_served_while_reports_stop() {
        load_parameters parameters;
        parameters.load = 1.5;
        parameters.length = seconds{9};
        load_simulation simulation{parameters};
        simulation.at_time(seconds{2}, [&] { simulation.stop_reports(); });
        simulation.at_time(milliseconds{7500}, [&] { simulation.resume_reports(); });
        run(simulation, "reports stop");
        CPPUNIT_ASSERT_MESSAGE(simulation.text(), simulation.max_committed() <= engine_memory);
        CPPUNIT_ASSERT_MESSAGE(simulation.text(), simulation.prefill_use() >= 0.5);
        CPPUNIT_ASSERT_MESSAGE(simulation.text(), simulation.still_waiting() == 0);
    }

    // What an ended gateway reported last, including its waiting requests, must not be reserved for it for
    // long.
    void ended_gateway_does_not_keep_room_from_others() {
        load_parameters parameters;
        parameters.load = 1.5;
        load_simulation simulation{parameters};
        for (std::size_t i = 0; i < 8; ++i) {
            simulation.at_time(seconds{2}, [&simulation, i] { simulation.end_gateway(i * 10); });
        }
        run(simulation, "gateways end");
        CPPUNIT_ASSERT_MESSAGE(simulation.text(), simulation.counts(0).in_time_share() >= 0.9);
        CPPUNIT_ASSERT_MESSAGE(simulation.text(), simulation.prefill_use() >= 0.8);
        CPPUNIT_ASSERT_MESSAGE(simulation.text(), simulation.still_waiting() == 0);
    }

    // Guards against requests that wait until their deadline for an engine that does not exist any more.
    void requests_that_wait_for_a_removed_engine_go_elsewhere() {
        load_parameters parameters;
        parameters.load = 1.5;
        load_simulation simulation{parameters};
        for (std::size_t i = 0; i < 3; ++i) {
            simulation.at_time(seconds{2}, [&simulation, i] { simulation.remove_engine(i * 10); });
        }
        run(simulation, "engines are removed");
        CPPUNIT_ASSERT_MESSAGE(simulation.text(), simulation.missed() * 100 <= simulation.arrived());
        CPPUNIT_ASSERT_MESSAGE(simulation.text(), simulation.still_waiting() == 0);
        CPPUNIT_ASSERT_MESSAGE(simulation.text(), simulation.counts(0).in_time_share() >= 0.9);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_placement_test);

} // namespace
} // namespace lovageledge
