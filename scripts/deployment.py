#!/usr/bin/env python3
"""Runs a deployment on loopback, one process each: instances, and stand-ins of the engines, platform, weight store and plain
service.

Used by the demo, the process tests and the measurements. Processes are signalled by their own id only, never by name.
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


def sha256_hex(text):
    return hashlib.sha256(text.encode()).hexdigest()


def http_request(method, address, path, body=None, token=None, headers=None, timeout=20):
    """Returns (status, headers, body); the status is 0 if no complete response arrived within timeout seconds."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method)
    if token:
        request.add_header("Authorization", f"Bearer {token}")
    for name, value in (headers or {}).items():
        request.add_header(name, value)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, dict(response.headers), response.read().decode()
    except urllib.error.HTTPError as exception:
        return exception.code, dict(exception.headers), exception.read().decode()
    except (OSError, urllib.error.URLError, ValueError) as exception:
        return 0, {}, str(exception)
    except Exception as exception:  # For example http.client.IncompleteRead, if the body was truncated.
        return 0, {}, repr(exception)


class Deployment:
    """Starts and controls the processes of one deployment.

    folder          receives the settings files of the instances and the log of each process
    sheet           path of the sheet that apply_sheet() and run_load() use
    instances       list of (name, region, data centre)
    engines         list of (server name, address, adapter slots, maximum batch size), as in the sheet
    build           build folder; by default $LEDGE_BUILD, or build/
    base_port       the platform, weight store and plain service listen on this port and the next two; instance i listens on
                    base_port + 100 + i for callers, + 200 + i for peers and + 300 + i for operators
    settings        {section: {key: value}}, added to the settings file of each instance
    engine_options  additional command-line options of every engine stand-in
    store_rate      adapter loads per second that the weight store allows
    list_lag_ms     age of the instance list that the platform returns

    The caller must call kill_all() at the end, also after an exception in start().
    """

    def __init__(self, folder, sheet, instances, engines, build=None, base_port=20000, settings=None,
                 engine_options=None, store_rate=2, list_lag_ms=1000):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.sheet = pathlib.Path(sheet)
        self.build = pathlib.Path(build or os.environ.get("LEDGE_BUILD", ROOT / "build"))
        self.base_port = base_port
        self.instances = instances
        self.engines = engines
        self.settings = settings or {}
        self.engine_options = engine_options or []
        self.store_rate = store_rate
        self.list_lag_ms = list_lag_ms
        self.processes = {}
        self.platform_address = f"127.0.0.1:{self.base_port}"
        self.weight_store_address = f"127.0.0.1:{self.base_port + 1}"
        self.plain_service_address = f"127.0.0.1:{self.base_port + 2}"

    def caller_address(self, index):
        return f"127.0.0.1:{self.base_port + 100 + index}"

    def peer_address(self, index):
        return f"127.0.0.1:{self.base_port + 200 + index}"

    def admin_address(self, index):
        return f"127.0.0.1:{self.base_port + 300 + index}"

    def start_process(self, name, program, *arguments):
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen([str(self.build / "bin" / program), *arguments], stdout=log, stderr=log)
        log.close()

    def start_standins(self):
        self.start_process("platform", "ledge-standin-platform", "--listen", self.platform_address, "--list-lag-ms",
                           str(self.list_lag_ms))
        self.start_process("store", "ledge-standin-weight_store", "--listen", self.weight_store_address, "--rate",
                           str(self.store_rate))
        self.start_process("plain", "ledge-standin-plain_service", "--listen", self.plain_service_address)
        for name, address, slots, batch in self.engines:
            self.start_engine(name, address, slots, batch)
        for address in [self.platform_address, self.weight_store_address, self.plain_service_address] + \
                [engine[1] for engine in self.engines]:
            self.wait_for(lambda: http_request("GET", address, "/control/log")[0] == 200, f"stand-in at {address} responds")
        self.set_instance_list()

    def start_engine(self, name, address, slots, batch):
        self.start_process(name, "ledge-standin-engine", "--listen", address, "--weight-store", self.weight_store_address,
                           "--slots", str(slots), "--batch", str(batch), *self.engine_options)

    def set_instance_list(self, leaving=(), absent=()):
        """Sets the platform's list of instances and backend servers.

        leaving  names of backend servers that are listed as leaving
        absent   names that are left out
        """
        entries = [{"name": name, "address": self.peer_address(i), "kind": "entry", "state": "live"}
                   for i, (name, _, _) in enumerate(self.instances) if name not in absent]
        entries += [{"name": engine[0], "address": engine[1], "kind": "backend",
                     "state": "leaving" if engine[0] in leaving else "live"}
                    for engine in self.engines if engine[0] not in absent]
        http_request("POST", self.platform_address, "/control/instances", json.dumps({"instances": entries}))

    def settings_text(self, index):
        name, region, data_centre = self.instances[index]
        sections = {
            "instance": {"name": name, "region": region, "data_centre": data_centre,
                         "peer_address": self.peer_address(index), "caller_address": self.caller_address(index),
                         "admin_address": self.admin_address(index), "admin_token_sha256": sha256_hex(OPERATOR_TOKEN)},
            "platform": {"address": self.platform_address},
            "peers": {peer[0]: self.peer_address(i) for i, peer in enumerate(self.instances) if i != index},
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
        self.start_process(name, "ledged", "--settings", str(path))

    def start(self):
        """Starts all processes and waits until each one responds. No sheet is in force yet."""
        self.start_standins()
        for index in range(len(self.instances)):
            self.start_instance(index)
        for index in range(len(self.instances)):
            self.wait_for(lambda: http_request("GET", self.caller_address(index), "/healthz")[0] == 200,
                          "instance responds to /healthz")

    def run_ledge(self, *arguments, index=0):
        """Runs the operator's command `ledge` against an instance and returns the completed process."""
        return subprocess.run([str(self.build / "bin" / "ledge"), "--address", self.admin_address(index), "--token",
                               OPERATOR_TOKEN, *arguments], capture_output=True, text=True, timeout=60)

    def apply_sheet(self, sheet=None, index=0, *options):
        return self.run_ledge("sheet", "apply", str(sheet or self.sheet), "--author", "demo", "--reason", "first sheet",
                              *options, index=index)

    def status(self, index=0):
        """Returns an instance's status as a dictionary; empty if the instance did not return one."""
        status, _, body = http_request("GET", self.admin_address(index), "/admin/status", token=OPERATOR_TOKEN)
        return json.loads(body) if status == 200 else {}

    def wait_for(self, condition, description, timeout_s=30):
        """Polls until condition() is true; raises TimeoutError with the description of the condition otherwise."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(0.02)
        raise TimeoutError(f"timed out after {timeout_s} s waiting for: {description}")

    def all_servers_ready(self, index=0, count=None):
        """Returns whether an instance reports at least count backend servers as ready; by default, all of them."""
        ready = [server for server in self.status(index).get("servers", []) if server["ready"]]
        return len(ready) >= (len(self.engines) if count is None else count)

    def wait_ready(self):
        """Waits until every instance that runs reports all backend servers as ready."""
        for index in range(len(self.instances)):
            if self.processes[self.instances[index][0]].poll() is None:
                self.wait_for(lambda: self.all_servers_ready(index), f"instance {index} reports every server as ready")

    def engine_log(self, name):
        address = next(engine[1] for engine in self.engines if engine[0] == name)
        return json.loads(http_request("GET", address, "/control/log")[2])

    def inject_fault(self, address, **fields):
        """Switches faults of the stand-in at an address on or off."""
        return http_request("POST", address, "/control/faults", json.dumps(fields))

    def run_load(self, *arguments, wait=True):
        """Runs the load generator against all instances.

        Returns its report; with wait=False the running process, to be passed to wait_for_load().
        """
        targets = [item for i in range(len(self.instances)) for item in ("--target", self.caller_address(i))]
        process = subprocess.Popen([str(self.build / "bin" / "ledge-load"), "--sheet", str(self.sheet), "--token",
                                    CALLER_TOKEN, *targets, *arguments], stdout=subprocess.PIPE,
                                   stderr=subprocess.DEVNULL, text=True)
        return self.wait_for_load(process) if wait else process

    @staticmethod
    def wait_for_load(process):
        report, _ = process.communicate(timeout=600)
        return json.loads(report)

    def send_signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill_all(self):
        for name, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
