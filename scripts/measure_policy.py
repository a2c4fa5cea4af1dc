#!/usr/bin/env python3
"""Compares the scheduling policy under load with a simple baseline and writes a table. Engines are stand-ins; each instance
and stand-in is a process of its own.

Baseline: least outstanding requests over the whole pool, first come first served, least recently used eviction.
One run measures both, one after the other, with the same seeds.
"""
import argparse
import json
import pathlib
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from demo import example_deployment
from deployment import ROOT, http_request

BASELINE = {"policy": {"placement": "least_outstanding", "length_weight": 0, "long_share_percent": 100}}
ENGINE_OPTIONS = ["--step-us", "20000"]
FULL_STEP_S = 0.0216  # One step of a full batch: 20 ms, and 0.1 ms for each of its 16 requests.
CAPACITY_TOKENS_PER_S = 12 * 16 / FULL_STEP_S  # 12 engines, each with full batches of 16.
WARM_ADAPTERS = ["--adapters", "24"]


def scenario_short_behind_long(deployment):
    short_only = deployment.run_load("--requests", "1200", "--rate", "100", *WARM_ADAPTERS)
    mixed = deployment.run_load("--requests", "1200", "--rate", "100", *WARM_ADAPTERS, "--long-share", "0.03",
                                "--long-tokens", "1000", "--deadline-ms", "60000")
    p99_alone, p99_mixed = short_only["first_token_ms_short"]["p99"], mixed["first_token_ms_short"]["p99"]
    return {"p99 of short alone, ms": p99_alone, "p99 of short beside long, ms": p99_mixed, "ratio": p99_mixed / p99_alone,
            "long done": mixed["first_token_ms_long"].get("count", 0)}


def scenario_slowed_servers(deployment):
    undisturbed = deployment.run_load("--requests", "1500", "--rate", "100", *WARM_ADAPTERS)
    slowed_addresses = [engine[1] for engine in deployment.engines if engine[0] in ("lang-desk-0", "lang-desk-1")]

    def set_slow_factor(factor):
        for address in slowed_addresses:
            deployment.inject_fault(address, slow_factor=factor)
    timers = [threading.Timer(3, set_slow_factor, [10.0]), threading.Timer(13, set_slow_factor, [1.0])]
    for timer in timers:
        timer.start()
    disturbed = deployment.run_load("--requests", "1500", "--rate", "100", *WARM_ADAPTERS)
    for timer in timers:
        timer.join()
    p99_undisturbed, p99_disturbed = undisturbed["first_token_ms_short"]["p99"], disturbed["first_token_ms_short"]["p99"]
    return {"p99 of first token, ms": p99_undisturbed, "p99 with 2 of 12 slowed, ms": p99_disturbed,
            "ratio": p99_disturbed / p99_undisturbed,
            "p99 of whole answer with slowed, ms": disturbed["total_ms_short"]["p99"]}


def scenario_peak(deployment):
    result = deployment.run_load("--requests", "9000", "--rate", "150", "--swing-factor", "4", "--swing-start", "4",
                                 "--swing-length", "10", "--deadline-ms", "2000", *WARM_ADAPTERS)
    # The swing lasts 10 s, with 150 * 4 = 600 requests per second; each request generates 20 tokens.
    swing_requests = 600 * 10
    swing_answers_bound = min(swing_requests, CAPACITY_TOKENS_PER_S / 20 * 10)
    return {"goodput of the run, 1/s": result["goodput_per_s"], "done": result["outcomes"].get("done", 0),
            "not run": result["outcomes"].get("not_run", 0), "other": sum(result["outcomes"].values()) -
            result["outcomes"].get("done", 0) - result["outcomes"].get("not_run", 0),
            "bound on the swing's answers": swing_answers_bound,
            "p99 of first token, ms": result["first_token_ms_short"]["p99"]}


def scenario_load_stalls(deployment):
    log_before = json.loads(http_request("GET", deployment.weight_store_address, "/control/log")[2])
    result = deployment.run_load("--requests", "1200", "--rate", "30", "--zipf", "1.1", "--adapters", "300", "--shuffle-at",
                                 "20", "--deadline-ms", "10000")
    log_after = json.loads(http_request("GET", deployment.weight_store_address, "/control/log")[2])
    return {"done": result["outcomes"].get("done", 0), "not run": result["outcomes"].get("not_run", 0),
            "p50 of first token, ms": result["first_token_ms_short"]["p50"],
            "p95 of first token, ms": result["first_token_ms_short"]["p95"],
            "loads": log_after["loads"] - log_before["loads"], "most in flight": log_after["most_in_flight"],
            "delayed by the store": log_after["delayed"]}


def scenario_batch(deployment):
    def totals():
        """Returns the number of engine steps, and the requests in all of them together."""
        logs = [deployment.engine_log(engine[0]) for engine in deployment.engines]
        return sum(log["steps"] for log in logs), sum(log["batch_sum"] for log in logs)
    load_process = deployment.run_load("--requests", "9000", "--rate", "700", *WARM_ADAPTERS, "--deadline-ms", "4000",
                                       wait=False)
    time.sleep(4)
    steps_before, batch_sum_before = totals()
    time.sleep(6)
    steps_after, batch_sum_after = totals()
    result = deployment.wait_for_load(load_process)
    return {"requests in a step": (batch_sum_after - batch_sum_before) / max(steps_after - steps_before, 1), "best": 16,
            "tokens per second": (batch_sum_after - batch_sum_before) / 6, "bound": CAPACITY_TOKENS_PER_S,
            "done": result["outcomes"].get("done", 0)}


SCENARIOS = {"short behind long": scenario_short_behind_long, "slowed servers": scenario_slowed_servers,
             "peak": scenario_peak, "load stalls": scenario_load_stalls, "batch efficiency": scenario_batch}


def run_scenarios(policy_name, settings, scenarios, port):
    results = {}
    with tempfile.TemporaryDirectory() as folder:
        for name in scenarios:
            deployment = example_deployment("sabarmati", pathlib.Path(folder) / name.replace(" ", "-"), settings=settings,
                                            engine_options=ENGINE_OPTIONS, base_port=port)
            try:
                deployment.start()
                deployment.apply_sheet()
                deployment.wait_ready()
                # Loads the adapters first, so that the weight store's two loads per second don't limit the scenario.
                deployment.run_load("--requests", "1000", "--rate", "50", *WARM_ADAPTERS, "--deadline-ms", "30000")
                results[name] = SCENARIOS[name](deployment)
            finally:
                deployment.kill_all()
            print(policy_name, name, json.dumps(results[name]), file=sys.stderr, flush=True)
    return results


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scenario", action="append", choices=SCENARIOS)
    parser.add_argument("--output", default=str(ROOT / "docs" / "measurements" / "policy.md"))
    arguments = parser.parse_args()
    scenarios = arguments.scenario or list(SCENARIOS)
    policy = run_scenarios("policy", {}, scenarios, 20000)
    baseline = run_scenarios("baseline", BASELINE, scenarios, 20000)
    lines = [f"Measured on {time.strftime('%Y-%m-%d')} by `scripts/measure_policy.py`, Sabarmati's example, "
             "all processes on one machine.", ""]
    for name in scenarios:
        lines += [f"## {name}", "", "| measure | policy | baseline |", "|---|---|---|"]
        lines += [f"| {measure} | {policy[name][measure]:.4g} | {baseline[name][measure]:.4g} |" for measure in policy[name]]
        lines.append("")
    pathlib.Path(arguments.output).write_text("\n".join(lines))


if __name__ == "__main__":
    main()
