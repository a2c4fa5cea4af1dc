#!/usr/bin/env python3
"""Runs one of the example deployments, one process each, and sends requests through it whose responses are checked."""
import argparse
import csv
import json
import pathlib
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from deployment import ROOT, Deployment, http_request, CALLER_TOKEN

REGIONS = {"sabarmati": [("ahd", "ahd-1"), ("srt", "srt-1"), ("rjk", "rjk-1")],
           "association": [("east-mids", "leicester"), ("west-mids", "wolverhampton"), ("south-mids", "banbury")]}
STORE_LOADS_PER_S = {"sabarmati": 2, "association": 4}
INSTANCE_COUNT = 7


def example_deployment(name, folder, sheet=None, **options):
    sheet = pathlib.Path(sheet or ROOT / "examples" / f"{name}.csv")
    regions = REGIONS[name]
    instances = [(f"entry-{i}", *regions[i % len(regions)]) for i in range(INSTANCE_COUNT)]
    with open(sheet, newline="") as file:
        engines = [(row[1], row[5], int(row[6]), int(row[7])) for row in csv.reader(file) if row and row[0] == "server"]
    return Deployment(folder, sheet, instances, engines, store_rate=STORE_LOADS_PER_S[name], **options)


def resident_memory_kib(process):
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS"))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("name", choices=REGIONS)
    parser.add_argument("--requests", default="2000")
    parser.add_argument("--rate", default="100")
    parser.add_argument("--adapters", default="150",
                        help="number of adapters to call; their popularity follows a Zipf distribution")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        deployment = example_deployment(arguments.name, folder)
        try:
            deployment.start()
            applied = deployment.apply_sheet()
            print(applied.stdout + applied.stderr, end="")
            deployment.wait_ready()
            print(deployment.run_ledge("status").stdout, end="")
            result = deployment.run_load("--requests", arguments.requests, "--rate", arguments.rate, "--adapters",
                                         arguments.adapters)
            print(json.dumps(result, indent=2))
            status, headers, body = http_request("POST", deployment.caller_address(0),
                                                 "/services/" + ("pickups" if arguments.name == "sabarmati" else "orders") +
                                                 "/book", "one", CALLER_TOKEN, {"Idempotency-Key": "first"})
            print("booking:", status, headers.get("X-Ledge-Outcome"), body)
            for name, _, _ in deployment.instances:
                print(name, "resident", resident_memory_kib(deployment.processes[name]) // 1024, "MB")
            print("weight store:", http_request("GET", deployment.weight_store_address, "/control/log")[2])
            print("platform calls:", http_request("GET", deployment.platform_address, "/control/log")[2])
            violations = [violation for engine in deployment.engines
                          for violation in deployment.engine_log(engine[0])["violations"]]
            print("evictions of adapters in use:", len(violations))
            return 0 if result["wrong"] == 0 and not violations else 1
        finally:
            deployment.kill_all()


if __name__ == "__main__":
    sys.exit(main())
