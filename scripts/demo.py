#!/usr/bin/env python3
"""Runs a deployment of the brief as separate processes and sends checked requests through it."""
import argparse
import csv
import json
import pathlib
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from deployment import ROOT, Deployment, http, CALLER_TOKEN

REGIONS = {"sabarmati": [("ahd", "ahd-1"), ("srt", "srt-1"), ("rjk", "rjk-1")],
           "association": [("east-mids", "leicester"), ("west-mids", "wolverhampton"), ("south-mids", "banbury")]}
STORE_RATE = {"sabarmati": 2, "association": 4}
INSTANCES = 7


def example(name, folder, sheet=None, **options):
    sheet = pathlib.Path(sheet or ROOT / "examples" / f"{name}.csv")
    regions = REGIONS[name]
    instances = [(f"entry-{i}", *regions[i % len(regions)]) for i in range(INSTANCES)]
    with open(sheet, newline="") as file:
        engines = [(row[1], row[5], int(row[6]), int(row[7])) for row in csv.reader(file) if row and row[0] == "server"]
    return Deployment(folder, sheet, instances, engines, store_rate=STORE_RATE[name], **options)


def resident_kb(process):
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS"))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("name", choices=REGIONS)
    parser.add_argument("--requests", default="2000")
    parser.add_argument("--rate", default="100")
    parser.add_argument("--adapters", default="150", help="adapters that are called, by skewed popularity")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        deployment = example(arguments.name, folder)
        try:
            deployment.start()
            applied = deployment.apply()
            print(applied.stdout + applied.stderr, end="")
            deployment.wait_ready()
            print(deployment.ledge("status").stdout, end="")
            result = deployment.load("--requests", arguments.requests, "--rate", arguments.rate, "--adapters",
                                     arguments.adapters)
            print(json.dumps(result, indent=2))
            status, headers, text = http("POST", deployment.caller_address(0),
                                         "/services/" + ("pickups" if arguments.name == "sabarmati" else "orders") + "/book",
                                         "one", CALLER_TOKEN, {"Idempotency-Key": "first"})
            print("booking:", status, headers.get("X-Ledge-Outcome"), text)
            for name, _, _ in deployment.instances:
                print(name, "resident", resident_kb(deployment.processes[name]) // 1024, "MB")
            print("weight store:", http("GET", deployment.store, "/control/log")[2])
            print("platform calls:", http("GET", deployment.platform, "/control/log")[2])
            violations = [v for engine in deployment.engines for v in deployment.engine_log(engine[0])["violations"]]
            print("evictions in use:", len(violations))
            return 0 if result["wrong"] == 0 and not violations else 1
        finally:
            deployment.stop()


if __name__ == "__main__":
    sys.exit(main())
