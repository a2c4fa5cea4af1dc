#!/usr/bin/env python3
"""Starts a deployment of separate processes on loopback: instances, engines, platform, weight store, plain service.

Used by the demo, the process tests and the benchmarks. Every process is ended by its own id.
"""
import hashlib
import json
import os
import pathlib
import signal
import subprocess
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
CALLER_TOKEN = "demo-token"
OPERATOR_TOKEN = "operator-token"


def digest(text):
    return hashlib.sha256(text.encode()).hexdigest()


def http(method, address, path, body=None, token=None, headers=None, timeout=20):
    """Returns (status, headers, text); status 0 if there was no answer."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method)
    if token:
        request.add_header("Authorization", f"Bearer {token}")
    for name, value in (headers or {}).items():
        request.add_header(name, value)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, dict(answer.headers), answer.read().decode()
    except urllib.error.HTTPError as problem:
        return problem.code, dict(problem.headers), problem.read().decode()
    except (OSError, urllib.error.URLError, ValueError) as problem:
        return 0, {}, str(problem)
    except Exception as problem:  # An answer that was cut is no answer.
        return 0, {}, repr(problem)


class Deployment:
    """The processes of one deployment. shape: dict with regions, engines, slots, batch, store_rate."""

    def __init__(self, folder, sheet, instances, engines, build=None, base_port=20000, settings=None,
                 engine_options=None, store_rate=2, list_lag_ms=1000):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.sheet = pathlib.Path(sheet)
        self.build = pathlib.Path(build or os.environ.get("LEDGE_BUILD", ROOT / "build"))
        self.base = base_port
        self.instances = instances  # list of (name, region, data centre)
        self.engines = engines      # list of (server name, address, slots, batch)
        self.settings = settings or {}
        self.engine_options = engine_options or []
        self.store_rate = store_rate
        self.list_lag_ms = list_lag_ms
        self.processes = {}
        self.platform = f"127.0.0.1:{self.base}"
        self.store = f"127.0.0.1:{self.base + 1}"
        self.plain = f"127.0.0.1:{self.base + 2}"

    def caller_address(self, index):
        return f"127.0.0.1:{self.base + 100 + index}"

    def peer_address(self, index):
        return f"127.0.0.1:{self.base + 200 + index}"

    def admin_address(self, index):
        return f"127.0.0.1:{self.base + 300 + index}"

    def run(self, name, program, *arguments):
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen([str(self.build / "bin" / program), *arguments], stdout=log, stderr=log)
        log.close()

    def start_standins(self):
        self.run("platform", "ledge-standin-platform", "--listen", self.platform, "--list-lag-ms", str(self.list_lag_ms))
        self.run("store", "ledge-standin-weight_store", "--listen", self.store, "--rate", str(self.store_rate))
        self.run("plain", "ledge-standin-plain_service", "--listen", self.plain)
        for name, address, slots, batch in self.engines:
            self.start_engine(name, address, slots, batch)
        for address in [self.platform, self.store, self.plain] + [engine[1] for engine in self.engines]:
            self.wait_for(lambda: http("GET", address, "/control/log")[0] == 200, f"{address} answers")
        self.list_instances()

    def start_engine(self, name, address, slots, batch):
        self.run(name, "ledge-standin-engine", "--listen", address, "--weight-store", self.store, "--slots", str(slots),
                 "--batch", str(batch), *self.engine_options)

    def list_instances(self, leaving=(), absent=()):
        entries = [{"name": name, "address": self.peer_address(i), "kind": "entry", "state": "live"}
                   for i, (name, _, _) in enumerate(self.instances) if name not in absent]
        entries += [{"name": engine[0], "address": engine[1], "kind": "backend",
                     "state": "leaving" if engine[0] in leaving else "live"}
                    for engine in self.engines if engine[0] not in absent]
        http("POST", self.platform, "/control/instances", json.dumps({"instances": entries}))

    def settings_text(self, index):
        name, region, data_centre = self.instances[index]
        sections = {
            "instance": {"name": name, "region": region, "data_centre": data_centre,
                         "peer_address": self.peer_address(index), "caller_address": self.caller_address(index),
                         "admin_address": self.admin_address(index), "admin_token_sha256": digest(OPERATOR_TOKEN)},
            "platform": {"address": self.platform},
            "peers": {other[0]: self.peer_address(i) for i, other in enumerate(self.instances) if i != index},
            "stop": {"balancer_lag_ms": 300},
        }
        for section, fields in self.settings.items():
            sections.setdefault(section, {}).update(fields)
        return "".join(f"[{section}]\n" + "".join(f"{key} = {value}\n" for key, value in fields.items())
                       for section, fields in sections.items())

    def start_instance(self, index):
        name = self.instances[index][0]
        path = self.folder / f"{name}.ini"
        path.write_text(self.settings_text(index))
        self.run(name, "ledged", "--settings", str(path))

    def start(self):
        self.start_standins()
        for index in range(len(self.instances)):
            self.start_instance(index)
        for index in range(len(self.instances)):
            self.wait_for(lambda: http("GET", self.caller_address(index), "/healthz")[0] == 200, "instance answers")

    def ledge(self, *arguments, index=0):
        return subprocess.run([str(self.build / "bin" / "ledge"), "--address", self.admin_address(index), "--token",
                               OPERATOR_TOKEN, *arguments], capture_output=True, text=True, timeout=60)

    def apply(self, sheet=None, index=0, *options):
        return self.ledge("sheet", "apply", str(sheet or self.sheet), "--author", "demo", "--reason", "first sheet",
                          *options, index=index)

    def status(self, index=0):
        status, _, text = http("GET", self.admin_address(index), "/admin/status", token=OPERATOR_TOKEN)
        return json.loads(text) if status == 200 else {}

    def wait_for(self, condition, what, limit_s=30):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.02)
        raise TimeoutError(f"not within {limit_s} s: {what}")

    def all_servers_ready(self, index=0, count=None):
        ready = [server for server in self.status(index).get("servers", []) if server["ready"]]
        return len(ready) >= (len(self.engines) if count is None else count)

    def wait_ready(self):
        for index in range(len(self.instances)):
            if self.processes[self.instances[index][0]].poll() is None:
                self.wait_for(lambda: self.all_servers_ready(index), f"instance {index} sees every server ready")

    def engine_log(self, name):
        address = next(engine[1] for engine in self.engines if engine[0] == name)
        return json.loads(http("GET", address, "/control/log")[2])

    def fault(self, address, **fields):
        return http("POST", address, "/control/faults", json.dumps(fields))

    def load(self, *arguments, wait=True):
        targets = [item for i in range(len(self.instances)) for item in ("--target", self.caller_address(i))]
        process = subprocess.Popen([str(self.build / "bin" / "ledge-load"), "--sheet", str(self.sheet), "--token",
                                    CALLER_TOKEN, *targets, *arguments], stdout=subprocess.PIPE,
                                   stderr=subprocess.DEVNULL, text=True)
        return self.finish_load(process) if wait else process

    @staticmethod
    def finish_load(process):
        text, _ = process.communicate(timeout=600)
        return json.loads(text)

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def stop(self):
        for name, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
