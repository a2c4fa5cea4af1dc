#include "cluster_simulation.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>

// Runs the fault matrix or one cell of it, and prints what it found.

namespace lovageledge::bench {
namespace {

struct explore_options {
    std::uint64_t seeds = 3;
    std::uint64_t first_seed = 1;
    bool is_double = false;
    std::uint64_t doubles = 1000;
    std::string disable;
    std::string fault_filter;
    std::string step_filter;
    bool has_trace = false;
    bool expects_red = false;
};

void disable(coordination_settings::safeguards& safeguard, const std::string& name) {
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
    for (const auto& [known, flag] : switches) {
        if (name == known) {
            *flag = false;
        }
    }
}

struct tally {
    std::uint64_t runs = 0;
    std::uint64_t struck = 0;
    std::uint64_t red = 0;
    std::uint64_t unhealed = 0;
    std::uint64_t executions = 0;
    std::map<std::string, int> violations;
    std::map<std::string, int> cells;
    std::map<std::string, int> outcomes;
};

void run_one(const world_options& options, const std::string& cell, bool has_trace, tally& total) {
    cluster_simulation run{options};
    run.run();
    ++total.runs;
    total.struck += run.struck();
    total.executions += run.facts().executions();
    for (const auto& [outcome, count] : run.facts().outcomes()) {
        total.outcomes[outcome] += count;
    }
    const auto violations = run.facts().check();
    const auto unhealed = run.unhealed();
    for (const auto& item : violations) {
        ++total.violations[promise_name(item.which)];
        std::printf("RED %s seed %llu: %s: %s\n", cell.c_str(), static_cast<unsigned long long>(options.seed),
                    promise_name(item.which).c_str(), item.text.c_str());
    }
    for (const std::string& item : unhealed) {
        std::printf("UNHEALED %s seed %llu: %s\n", cell.c_str(),
                    static_cast<unsigned long long>(options.seed), item.c_str());
    }
    if (!violations.empty()) {
        ++total.red;
        ++total.cells[cell];
    }
    total.unhealed += unhealed.empty() ? 0 : 1;
    if (has_trace) {
        for (const std::string& line : run.trace()) {
            std::printf("%s\n", line.c_str());
        }
    }
}

} // namespace
} // namespace lovageledge::bench

int main(int argc, char** argv) {
    using namespace lovageledge::bench;
    CLI::App app{"Runs faults at every step over the decisions, in virtual time"};
    explore_options options;
    app.add_option("--seeds", options.seeds, "runs per cell");
    app.add_option("--first-seed", options.first_seed, "seed of the first run");
    app.add_flag("--double", options.is_double, "pairs of faults, sampled, in place of single ones");
    app.add_option("--doubles", options.doubles, "pairs to sample");
    app.add_option("--disable", options.disable, "mechanism to switch off");
    app.add_option("--fault", options.fault_filter, "only this fault");
    app.add_option("--step", options.step_filter, "only this step");
    app.add_flag("--expect-red", options.expects_red,
                 "succeed at the first broken promise, fail if there is none");
    app.add_flag("--trace", options.has_trace, "print the events of each run");
    CLI11_PARSE(app, argc, argv);
    tally total;
    const auto is_enough = [&] { return options.expects_red && total.red > 0; };
    const auto make = [&](std::uint64_t seed, std::vector<planned_fault> plan) {
        world_options run;
        run.seed = seed;
        run.has_fencing = seed % 2 == 0;
        run.plan = std::move(plan);
        disable(run.safeguard, options.disable);
        return run;
    };
    if (options.is_double) {
        for (std::uint64_t i = 0; i < options.doubles && !is_enough(); ++i) {
            std::mt19937_64 random{options.first_seed + i};
            std::vector<planned_fault> plan;
            std::string cell;
            for (int n = 0; n < 2; ++n) {
                planned_fault item{static_cast<fault>(random() % fault_count),
                                   static_cast<step>(random() % step_count),
                                   static_cast<std::uint32_t>(1 + random() % 12)};
                cell += (n > 0 ? " + " : "") + fault_name(item.what) + " at " + step_name(item.when);
                plan.push_back(item);
            }
            run_one(make(options.first_seed + i, plan), cell, options.has_trace, total);
        }
    } else {
        for (std::size_t f = 0; f < fault_count; ++f) {
            for (std::size_t s = 0; s < step_count; ++s) {
                const auto what = static_cast<fault>(f);
                const auto when = static_cast<step>(s);
                const bool is_wanted =
                    (options.fault_filter.empty() || fault_name(what) == options.fault_filter) &&
                    (options.step_filter.empty() || step_name(when) == options.step_filter);
                for (std::uint64_t i = 0; is_wanted && i < options.seeds && !is_enough(); ++i) {
                    const std::uint64_t seed = options.first_seed + i;
                    const planned_fault item{what, when, static_cast<std::uint32_t>(1 + seed * 7 % 11)};
                    run_one(make(seed, {item}), fault_name(what) + " at " + step_name(when),
                            options.has_trace, total);
                }
            }
        }
    }
    std::printf("%llu runs, %llu faults struck, %llu executions, %llu red, %llu unhealed\n",
                static_cast<unsigned long long>(total.runs), static_cast<unsigned long long>(total.struck),
                static_cast<unsigned long long>(total.executions), static_cast<unsigned long long>(total.red),
                static_cast<unsigned long long>(total.unhealed));
    for (const auto& [name, count] : total.outcomes) {
        std::printf("  requests %s: %d\n", name.c_str(), count);
    }
    for (const auto& [name, count] : total.violations) {
        std::printf("  violations of \"%s\": %d\n", name.c_str(), count);
    }
    for (const auto& [name, count] : total.cells) {
        std::printf("  red cell %s: %d\n", name.c_str(), count);
    }
    if (options.expects_red) {
        return total.red > 0 ? 0 : 1;
    }
    return total.red + total.unhealed == 0 ? 0 : 1;
}
