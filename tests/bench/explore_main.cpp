#include "cluster_simulation.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>

// Runs the fault matrix (each fault at each fault point), a cell of it or sampled pairs of faults in the
// cluster simulation, and prints violated guarantees and failed recoveries.

namespace lovageledge::bench {
namespace {

struct explore_options {
    std::uint64_t seeds = 3;
    std::uint64_t first_seed = 1;
    bool injects_pairs = false;
    std::uint64_t pair_count = 1000;
    std::string disabled_safeguard;
    std::string fault_filter;
    std::string fault_point_filter;
    bool prints_trace = false;
    bool expects_violation = false;
};

void disable_safeguard(coordination_settings::safeguards& safeguard, const std::string& name) {
    const std::pair<const char*, bool*> switches[] = {
        {"evict_intents", &safeguard.evict_intents},
        {"inherited_hold", &safeguard.inherited_hold},
        {"adopt_after_confirmation", &safeguard.adopt_after_confirmation},
        {"claims", &safeguard.claims},
        {"revision_guard", &safeguard.revision_guard},
        {"sticky_leaving", &safeguard.sticky_leaving},
        {"drain", &safeguard.drain},
        {"attempt_check", &safeguard.attempt_check},
        {"uncertain_hold", &safeguard.uncertain_hold},
        {"unknown_not_retried", &safeguard.unknown_not_retried},
        {"quarantine", &safeguard.quarantine},
    };
    for (const auto& [known_name, flag] : switches) {
        if (name == known_name) {
            *flag = false;
        }
    }
}

struct run_totals {
    std::uint64_t runs = 0;
    std::uint64_t injected_faults = 0;
    std::uint64_t runs_with_violations = 0;
    std::uint64_t unrecovered_runs = 0;
    std::uint64_t executions = 0;
    std::map<std::string, int> violations;
    std::map<std::string, int> runs_with_violations_by_cell;
    std::map<std::string, int> outcomes;
};

void run_one(const simulation_options& options, const std::string& cell, bool prints_trace,
             run_totals& total) {
    cluster_simulation simulation{options};
    simulation.run();
    ++total.runs;
    total.injected_faults += simulation.injected_faults();
    total.executions += simulation.recorded_history().executions();
    for (const auto& [outcome, count] : simulation.recorded_history().outcomes()) {
        total.outcomes[outcome] += count;
    }
    const auto violations = simulation.recorded_history().check();
    const auto recovery_failures = simulation.recovery_failures();
    for (const auto& item : violations) {
        ++total.violations[guarantee_name(item.which)];
        std::printf("VIOLATION %s seed %llu: %s: %s\n", cell.c_str(),
                    static_cast<unsigned long long>(options.seed), guarantee_name(item.which).c_str(),
                    item.text.c_str());
    }
    for (const std::string& item : recovery_failures) {
        std::printf("NOT RECOVERED %s seed %llu: %s\n", cell.c_str(),
                    static_cast<unsigned long long>(options.seed), item.c_str());
    }
    if (!violations.empty()) {
        ++total.runs_with_violations;
        ++total.runs_with_violations_by_cell[cell];
    }
    total.unrecovered_runs += recovery_failures.empty() ? 0 : 1;
    if (prints_trace) {
        for (const std::string& line : simulation.trace()) {
            std::printf("%s\n", line.c_str());
        }
    }
}

} // namespace
} // namespace lovageledge::bench

int main(int argc, char** argv) {
    using namespace lovageledge::bench;
    CLI::App app{
        "Simulates a cluster in virtual time, injects faults at every step and checks the guarantees"};
    explore_options options;
    app.add_option("--seeds", options.seeds, "runs per pair of fault and step");
    app.add_option("--first-seed", options.first_seed, "seed of the first run");
    app.add_flag("--double", options.injects_pairs, "inject sampled pairs of faults instead of single ones");
    app.add_option("--doubles", options.pair_count, "number of pairs to sample");
    app.add_option("--disable", options.disabled_safeguard, "safeguard to switch off");
    app.add_option("--fault", options.fault_filter, "inject only this fault");
    app.add_option("--step", options.fault_point_filter, "inject faults only at this step");
    app.add_flag("--expect-red", options.expects_violation,
                 "stop with success at the first violated guarantee, fail if there is none");
    app.add_flag("--trace", options.prints_trace, "print the logged events and faults of each run");
    CLI11_PARSE(app, argc, argv);
    run_totals total;
    const auto is_done = [&] { return options.expects_violation && total.runs_with_violations > 0; };
    const auto make_options = [&](std::uint64_t seed, std::vector<planned_fault> plan) {
        simulation_options made;
        made.seed = seed;
        made.has_fencing = seed % 2 == 0;
        made.plan = std::move(plan);
        disable_safeguard(made.safeguard, options.disabled_safeguard);
        return made;
    };
    if (options.injects_pairs) {
        for (std::uint64_t i = 0; i < options.pair_count && !is_done(); ++i) {
            std::mt19937_64 random{options.first_seed + i};
            std::vector<planned_fault> plan;
            std::string cell;
            for (int n = 0; n < 2; ++n) {
                planned_fault planned{static_cast<fault>(random() % fault_count),
                                      static_cast<fault_point>(random() % fault_point_count),
                                      static_cast<std::uint32_t>(1 + random() % 12)};
                cell +=
                    (n > 0 ? " + " : "") + fault_name(planned.what) + " at " + fault_point_name(planned.when);
                plan.push_back(planned);
            }
            run_one(make_options(options.first_seed + i, plan), cell, options.prints_trace, total);
        }
    } else {
        for (std::size_t f = 0; f < fault_count; ++f) {
            for (std::size_t s = 0; s < fault_point_count; ++s) {
                const auto what = static_cast<fault>(f);
                const auto when = static_cast<fault_point>(s);
                const bool is_wanted =
                    (options.fault_filter.empty() || fault_name(what) == options.fault_filter) &&
                    (options.fault_point_filter.empty() ||
                     fault_point_name(when) == options.fault_point_filter);
                for (std::uint64_t i = 0; is_wanted && i < options.seeds && !is_done(); ++i) {
                    const std::uint64_t seed = options.first_seed + i;
                    const planned_fault planned{what, when, static_cast<std::uint32_t>(1 + seed * 7 % 11)};
                    run_one(make_options(seed, {planned}), fault_name(what) + " at " + fault_point_name(when),
                            options.prints_trace, total);
                }
            }
        }
    }
    std::printf(
        "%llu runs, %llu faults injected, %llu executions, %llu with violations, %llu not recovered\n",
        static_cast<unsigned long long>(total.runs), static_cast<unsigned long long>(total.injected_faults),
        static_cast<unsigned long long>(total.executions),
        static_cast<unsigned long long>(total.runs_with_violations),
        static_cast<unsigned long long>(total.unrecovered_runs));
    for (const auto& [name, count] : total.outcomes) {
        std::printf("  requests %s: %d\n", name.c_str(), count);
    }
    for (const auto& [name, count] : total.violations) {
        std::printf("  violations of \"%s\": %d\n", name.c_str(), count);
    }
    for (const auto& [name, count] : total.runs_with_violations_by_cell) {
        std::printf("  runs with violations of %s: %d\n", name.c_str(), count);
    }
    if (options.expects_violation) {
        return total.runs_with_violations > 0 ? 0 : 1;
    }
    return total.runs_with_violations + total.unrecovered_runs == 0 ? 0 : 1;
}
