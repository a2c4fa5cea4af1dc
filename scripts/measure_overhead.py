#!/usr/bin/env python3
"""Measures the time to first token through the instances and with direct calls of the engine stand-ins, and the processor
time and resident memory of the instances."""
import json
import pathlib
import subprocess
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from demo import resident_memory_kib
from deployment import CALLER_TOKEN, Deployment, sha256_hex, http_request

BASE_PORT = 26000
ADAPTER_COUNT = 4
SERVER_COUNT = 4


def sheet_text():
    lines = ["store,50,8", "pool,pool,no", f"service,app,{sha256_hex(CALLER_TOKEN)},50,*"]
    lines += [f"server,server-{i},pool,here,here-1,127.0.0.1:{BASE_PORT + 400 + i},16,64" for i in range(SERVER_COUNT)]
    lines += [f"adapter,adapter-{i},v1,pool,/weights/{i}" for i in range(ADAPTER_COUNT)]
    return "\n".join(lines) + "\n"


def cpu_seconds(process):
    # utime and stime, in clock ticks of 1/100 s.
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / 100


def measure(deployment, targets, rate, requests):
    arguments = [item for target in targets for item in ("--target", target)]
    report = subprocess.run([str(deployment.build / "bin" / "ledge-load"), "--sheet", str(deployment.sheet),
                             "--token", CALLER_TOKEN, *arguments, "--rate", str(rate), "--requests", str(requests),
                             "--tokens", "8", "--zipf", "0"],
                            capture_output=True, text=True, timeout=300).stdout
    return json.loads(report)


def main():
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "sheet.csv"
        path.write_text(sheet_text())
        engines = [(f"server-{i}", f"127.0.0.1:{BASE_PORT + 400 + i}", 16, 64) for i in range(SERVER_COUNT)]
        deployment = Deployment(folder, path, [(f"entry-{i}", "here", "here-1") for i in range(4)], engines,
                                base_port=BASE_PORT,
                                store_rate=50, engine_options=["--step-us", "2000", "--step-per-request-us", "0"],
                                settings={"log": {"level": "warning"}})
        try:
            deployment.start()
            deployment.apply_sheet()
            deployment.wait_ready()
            caller_addresses = [deployment.caller_address(i) for i in range(4)]
            measure(deployment, caller_addresses, 100, 500)
            # Loads every adapter on every server, since nothing orders loads for the direct calls.
            for _, address, _, _ in engines:
                for i in range(ADAPTER_COUNT):
                    http_request("POST", address, "/v1/load_lora_adapter",
                                 json.dumps({"lora_name": f"adapter-{i}@v1", "lora_path": "x"}))
            print("rate/s  direct p50  path p50  added p50  direct p99  path p99  added p99 (ms)  done  cpu us/request")
            for rate in (100, 300, 1000):
                direct = measure(deployment, [engine[1] for engine in engines], rate, rate * 8)
                daemons = [deployment.processes[name] for name, _, _ in deployment.instances]
                cpu_before = sum(map(cpu_seconds, daemons))
                via_instances = measure(deployment, caller_addresses, rate, rate * 8)
                cpu_us_per_request = (sum(map(cpu_seconds, daemons)) - cpu_before) / (rate * 8) * 1e6
                direct_ms, path_ms = direct["first_token_ms_short"], via_instances["first_token_ms_short"]
                print(f"{rate:6} {direct_ms['p50']:11.2f} {path_ms['p50']:9.2f} {path_ms['p50'] - direct_ms['p50']:10.2f} "
                      f"{direct_ms['p99']:11.2f} {path_ms['p99']:9.2f} {path_ms['p99'] - direct_ms['p99']:10.2f} "
                      f"{via_instances['outcomes'].get('done', 0):15} {cpu_us_per_request:9.0f}")
            print("resident MB:", [resident_memory_kib(process) // 1024 for process in daemons])
        finally:
            deployment.kill_all()


if __name__ == "__main__":
    main()
