"""A small deployment on loopback addresses: gateways as separate processes, and stand-ins for the platform, its store and
the clients. Each machine has a loopback address of its own. Only what PROTOCOL.md and DEPLOY.md describe is played."""
import asyncio
import os
import pathlib
import random
import re
import shutil
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.append(str(ROOT / "tests" / "soak"))
from store import Store  # noqa: E402  The project's own stand-in of the platform's store.

# The bounds of the site file that claim.txt names.
BOUNDS = {"grace_s": 8, "drain_ms": 2500, "config_ms": 2500, "version_ms": 5000, "lease_ms": 3000, "require_fence": "true",
          "retry_budget_ratio": 0.2, "budget_extra": 54, "budget_window_s": 10, "stability_window_ms": 4000}
MEMORY_MB = 260
LINK_MBPS = 1000.0
RESTART_S = 0.5


def with_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def fill_template(text, values):
    """Fills in the placeholders of deploy/gateway.ini.template, as the platform does."""
    def section(match):
        return "".join(match.group(2).replace("{{@}}", key).replace("{{.}}", value) for key, value in values[match.group(1)].items())
    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)

    def placeholder(match):
        value = values
        for part in match.group(1).split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return str(value)
    return re.sub(r"\{\{([\w.]+)\}\}", placeholder, text)


class Machine:
    """A machine of the system with one gateway process, and the platform's care for it: restarts and the memory limit."""

    def __init__(self, deployment, index, zone):
        self.deployment, self.zone = deployment, zone
        self.name = f"front-{zone}-{index + 1}"
        self.ip = deployment.new_ip()
        self.front, self.ready = f"{self.ip}:8149", f"{self.ip}:8141"
        self.process, self.peak_mb, self.ends = None, 0.0, []
        self.is_over = False

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["gateway"]
        store_address = self.deployment.store_address_of(self)
        settings = fill_template((ROOT / deploy["template"]).read_text(), {
            "node_name": self.name, "zone": self.zone, "region": self.deployment.zones[self.zone], "ip": self.ip,
            "listen": {"front": self.front, "ready": self.ready}, "internal_ports": [7380, 7395],
            "platform": {"address": store_address}, "bounds": BOUNDS, "limits": {"link_mbps": LINK_MBPS},
            "zones": self.deployment.zones})
        path = self.deployment.folder / f"{self.name}.ini"
        path.write_text(settings)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with open(self.deployment.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(deploy["run"].split(" "), cwd=ROOT, stdout=log, stderr=log,
                                            env=dict(environment, LOVAGELEDGE_BOOT=str(path)))

    def memory_mb(self):
        """The peak of the process's resident memory."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmHWM:\s+(\d+) kB", status)
        return int(found.group(1)) / 1024 if found else 0.0

    async def watch(self):
        """DEPLOY.md: a process that exceeds memory_mb is killed, and one that ends is started again after a short delay."""
        while not self.is_over:
            await asyncio.sleep(0.01)
            if self.process.poll() is None:
                memory = self.memory_mb()
                self.peak_mb = max(self.peak_mb, memory)
                if memory <= MEMORY_MB:
                    continue
                self.deployment.record(f"platform: {self.name} has {memory:.0f} MB, over memory_mb = {MEMORY_MB}: killed")
                self.process.kill()
            self.process.wait()
            self.ends.append((time.monotonic(), self.process.returncode))
            self.deployment.record(f"platform: the process of {self.name} has ended, code {self.process.returncode}; it is started again")
            await asyncio.sleep(RESTART_S)
            if not self.is_over:
                self.start()


class Deployment:
    def __init__(self, zones):
        self.zones = zones  # Regions by zone.
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store, self.machines, self.listeners, self.tasks = Store(), [], [], []
        self.begin, self.lines = time.monotonic(), []
        self.subnet, self.next_host = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}", 10
        self.store_ip = self.new_ip()

    def new_ip(self):
        self.next_host += 1
        return f"{self.subnet}.{self.next_host}"

    def record(self, text):
        self.lines.append(f"{time.monotonic() - self.begin:8.3f} {text}")

    def store_address_of(self, machine):
        return f"{self.store_ip}:8142"

    async def start(self, machines):
        self.listeners.append(await self.store.serve(f"{self.store_ip}:8142"))
        for index, zone in enumerate(machines):
            machine = Machine(self, index, zone)
            self.machines.append(machine)
            machine.start()
            self.tasks.append(asyncio.create_task(machine.watch()))
        for machine in self.machines:
            await self.wait_ready(machine)

    async def wait_ready(self, machine, limit=15.0):
        end = time.monotonic() + limit
        while (await exchange_once(machine.ready, b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n", 1.0))[0] != 200:
            if time.monotonic() > end:
                raise RuntimeError(f"{machine.name} isn't ready")
            await asyncio.sleep(0.1)

    async def stop(self):
        for machine in self.machines:
            machine.is_over = True
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        for task in self.tasks:
            task.cancel()
        for listener in self.listeners:
            listener.close()

    def write_record(self, path):
        pathlib.Path(path).write_text("\n".join(self.lines) + "\n")


async def read_answer(reader):
    """Reads an answer to its end. Returns (status, headers, body)."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {k.lower(): v.strip() for k, v in (line.split(":", 1) for line in head[1:] if ":" in line)}
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while size := int(await reader.readline(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return int(head[0].split(" ")[1]), headers, body


async def exchange_once(address, request, limit):
    """Sends a request on a new channel. Returns (status, headers, body); status 0 if there is no complete answer."""
    writer = None
    try:
        async with asyncio.timeout(limit):
            host, port = address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request)
            return await read_answer(reader)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return 0, {}, b""
    finally:
        if writer:
            writer.transport.abort()


def finish(deployment, main, record_path):
    """Runs a case. main returns True if the rule held. Exits with 1 if it was broken, 2 if the case couldn't run."""
    async def run():
        try:
            return await asyncio.wait_for(main(), 110)
        finally:
            await deployment.stop()
    code = 2
    try:
        code = 0 if asyncio.run(run()) else 1
    except Exception as failure:  # The case couldn't run.
        deployment.record(f"the case couldn't run: {failure!r}")
        print(f"couldn't run: {failure!r}", file=sys.stderr)
    deployment.record(f"exit code {code}")
    deployment.write_record(record_path)
    if code == 0 or os.environ.get("KEEP_LOGS") != "1":
        shutil.rmtree(deployment.folder, ignore_errors=True)
    else:
        print(f"logs in {deployment.folder}")
    sys.stdout.flush()
    os._exit(code)
