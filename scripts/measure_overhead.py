#!/usr/bin/env python3
"""Measures what the path adds to the first token, against calling the engine stand-ins directly, and the daemons' cost."""
import json
import pathlib
import subprocess
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from demo import resident_kb
from deployment import CALLER_TOKEN, Deployment, digest, http

PORT = 26000
ADAPTERS = 4
SERVERS = 4


def sheet():
    lines = ["store,50,8", "pool,pool,no", f"service,app,{digest(CALLER_TOKEN)},50,*"]
    lines += [f"server,server-{i},pool,here,here-1,127.0.0.1:{PORT + 400 + i},16,64" for i in range(SERVERS)]
    lines += [f"adapter,adapter-{i},v1,pool,/weights/{i}" for i in range(ADAPTERS)]
    return "\n".join(lines) + "\n"


def cpu_seconds(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / 100


def measure(deployment, targets, rate, requests):
    arguments = [item for target in targets for item in ("--target", target)]
    text = subprocess.run([str(deployment.build / "bin" / "ledge-load"), "--sheet", str(deployment.sheet), "--token", CALLER_TOKEN,
                           *arguments, "--rate", str(rate), "--requests", str(requests), "--tokens", "8", "--zipf", "0"],
                          capture_output=True, text=True, timeout=300).stdout
    return json.loads(text)


def main():
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "sheet.csv"
        path.write_text(sheet())
        engines = [(f"server-{i}", f"127.0.0.1:{PORT + 400 + i}", 16, 64) for i in range(SERVERS)]
        deployment = Deployment(folder, path, [(f"entry-{i}", "here", "here-1") for i in range(4)], engines, base_port=PORT,
                                store_rate=50, engine_options=["--step-us", "2000", "--step-per-request-us", "0"],
                                settings={"log": {"level": "warning"}})
        try:
            deployment.start()
            deployment.apply()
            deployment.wait_ready()
            callers = [deployment.caller_address(i) for i in range(4)]
            measure(deployment, callers, 100, 500)
            for _, address, _, _ in engines:
                for i in range(ADAPTERS):
                    http("POST", address, "/v1/load_lora_adapter", json.dumps({"lora_name": f"adapter-{i}@v1", "lora_path": "x"}))
            print("rate/s  direct p50  path p50  added p50  direct p99  path p99  added p99 (ms)  done  cpu us/request")
            for rate in (100, 300, 1000):
                direct = measure(deployment, [engine[1] for engine in engines], rate, rate * 8)
                daemons = [deployment.processes[name] for name, _, _ in deployment.instances]
                before = sum(map(cpu_seconds, daemons))
                through = measure(deployment, callers, rate, rate * 8)
                cost = (sum(map(cpu_seconds, daemons)) - before) / (rate * 8) * 1e6
                a, b = direct["first_token_ms_short"], through["first_token_ms_short"]
                print(f"{rate:6} {a['p50']:11.2f} {b['p50']:9.2f} {b['p50'] - a['p50']:10.2f} {a['p99']:11.2f} {b['p99']:9.2f} "
                      f"{b['p99'] - a['p99']:10.2f} {through['outcomes'].get('done', 0):15} {cost:9.0f}")
            print("resident MB:", [resident_kb(process) // 1024 for process in daemons])
        finally:
            deployment.stop()


if __name__ == "__main__":
    main()
