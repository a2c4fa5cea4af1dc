"""A small deployment for the cases of the second review: the project's stand-in of the platform's store, plain workers,
and gateway processes started as deploy/system.toml says. Loopback addresses only."""
import asyncio
import json
import os
import pathlib
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "soak"))
from store import Store  # noqa: E402  The project's stand-in of the platform's store.

GATEWAY = ROOT / "target" / "bin" / "ledge-gateway"
FIRST_PORT, LAST_PORT = 20000, 31000
MAX_FDS = 4100           # Of a machine of the site mctpa-edge.
CASE_FDS = 16384         # Of the case's own process, which plays callers and workers.
HOST = "shop.example"


class Ports:
    """Free ports below those that the kernel gives to outgoing connections."""

    def __init__(self):
        self.next = FIRST_PORT + os.getpid() * 37 % (LAST_PORT - FIRST_PORT)

    def take(self, ip="127.0.0.1"):
        for _ in range(LAST_PORT - FIRST_PORT):
            self.next = FIRST_PORT + (self.next + 1 - FIRST_PORT) % (LAST_PORT - FIRST_PORT)
            with socket.socket() as probe:
                try:
                    probe.bind((ip, self.next))
                    return self.next
                except OSError:
                    pass
        raise RuntimeError("no free port")


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, path):
        self.file, self.began = open(path, "w", encoding="utf-8"), time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


class Worker:
    """A sound worker of a plain service: one request at a time on a channel, a limit on channels, and a queue."""

    def __init__(self, name, service, record, work_s=0.03, channels=100, zone="leicester", records_runs=True):
        self.name, self.service, self.record, self.work_s, self.channels = name, service, record, work_s, channels
        self.zone, self.born, self.sequence, self.runs, self.open = zone, int(time.time() * 1000), 0, [], 0
        self.records_runs = records_runs

    def entry(self, state="ready"):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "1", "slots": 6,
                "state": state, "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born}

    async def serve(self, port):
        self.address = f"127.0.0.1:{port}"
        self.listener = await asyncio.start_server(self._connection, "127.0.0.1", port, limit=1 << 20)

    async def _connection(self, reader, writer):
        self.open += 1
        try:
            if self.open > self.channels:
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                return
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                method, path, headers = parse_head(head)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await self._answer(writer, method, path, headers, body)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open -= 1
            writer.transport.abort()

    async def _answer(self, writer, method, path, headers, body):
        request_id = headers.get("x-request-id", "")
        if headers.get("x-expect-instance", self.name) != self.name:
            await self._send(writer, 421, request_id, b"", "")
            return
        self.runs.append((time.monotonic(), request_id))
        if self.records_runs:
            self.record.write(f"{self.name} runs {request_id} {method} {path}")
        await asyncio.sleep(self.work_s)
        await self._send(writer, 200, request_id, b"done " + request_id.encode(), f"X-Response-Seal: {request_id}\r\n")

    async def _send(self, writer, status, request_id, body, extra):
        writer.write(f"HTTP/1.1 {status} X\r\nX-Request-Id: {request_id}\r\nX-Instance-Id: {self.name}\r\n{extra}"
                     f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()


def parse_head(head):
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ")
    return method, path, {k.lower(): v.strip() for k, v in (line.split(":", 1) for line in lines[1:] if ":" in line)}


def limit_descriptors(count):
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    most = count if hard == resource.RLIM_INFINITY else min(count, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))


class Gateway:
    """One process of the role "gateway"."""

    def __init__(self, deployment, index, zone, store_address, memory_mb):
        ports = deployment.ports
        self.name, self.zone, self.folder = f"front-{zone}-{index}", zone, deployment.folder
        self.front, self.ready, self.peer, self.metrics = (f"127.0.0.1:{ports.take()}" for _ in range(4))
        self.port = int(self.front.split(":")[1])
        self.memory_mb, self.process = memory_mb, None
        values = deployment.bounds
        self.path = self.folder / f"{self.name}.ini"
        self.path.write_text(
            f"[instance]\nname = {self.name}\ndata_centre = {zone}\nregion = {deployment.zones[zone]}\n"
            f"caller_address = {self.front}\nreadiness_address = {self.ready}\npeer_address = {self.peer}\n"
            f"metrics_address = {self.metrics}\n[platform]\naddress = {store_address}\n"
            f"[bounds]\nstop_limit_s = 8\nleaving_limit_ms = {values['drain_ms']}\n"
            f"configuration_limit_ms = {values['config_ms']}\nversion_limit_ms = 5000\norder_lease_ms = 3000\n"
            f"servers_check_fences = true\nretry_ratio = 0.2\nretry_extra = 54\nretry_window_s = 10\n"
            f"[limits]\nlink_mbps = 1000.0\n[data_centres]\n"
            + "".join(f"{name} = {region}\n" for name, region in deployment.zones.items()))

    def start(self):
        environment = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "HOME": "/tmp", "LANG": "C",
                       "LOVAGELEDGE_BOOT": str(self.path), "LEDGE_MEMORY_MB": str(self.memory_mb)}
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen([str(GATEWAY)], cwd=ROOT, env=environment, stdout=log, stderr=log,
                                            preexec_fn=lambda: limit_descriptors(MAX_FDS))

    def resident_mb(self, field="VmRSS"):
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
            return next(int(line.split()[1]) * 1024 / 1e6 for line in status.splitlines() if line.startswith(field))
        except (OSError, StopIteration):
            return 0.0

    async def wait_ready(self, limit_s=15.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            try:
                status, _, _ = await request(self.ready, b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n", 1.0)
                if status == 200:
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} is not ready")


async def request(address, data, limit_s, source=None):
    """Sends a request on a new channel. Returns (status, headers, body); raises if there is no complete answer."""
    async def run():
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port), local_addr=(source, 0) if source else None)
        try:
            writer.write(data)
            await writer.drain()
            return await read_answer(reader)
        finally:
            writer.transport.abort()
    return await asyncio.wait_for(run(), limit_s)


async def read_answer(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {k.lower(): v.strip() for k, v in (line.split(":", 1) for line in lines[1:] if ":" in line)}
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        while size := int((await reader.readline()).strip() or b"0", 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return status, headers, body


def head_of(method, path, request_id, deadline_ms, length=0, extra=""):
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
            f"{extra}" + (f"Content-Length: {length}\r\n" if length else "") + "\r\n").encode()


def route(path, service, kind, timeout_ms, attempts=1):
    return {"name": path.strip("/"), "host": HOST, "path_prefix": path, "service": service, "kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": 300, "max_attempts": attempts, "priority": 1,
            "resumable": False, "sticky": False}


class Deployment:
    """Store, workers and gateways. All processes that it has started are ended by close()."""

    def __init__(self, record, zones=None, drain_ms=2500, config_ms=2500):
        self.record, self.ports, self.store = record, Ports(), Store()
        self.zones = zones or {"leicester": "east-mids"}
        self.bounds = {"drain_ms": drain_ms, "config_ms": config_ms}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        self.gateways, self.workers, self.beating = [], {}, True

    async def start_store(self):
        self.store_address = f"127.0.0.1:{self.ports.take()}"
        await self.store.serve(self.store_address)

    async def configure(self, version, routes, services, engines=()):
        """Writes the configuration. services: channels by name; engines: fields to add to the services that they name."""
        engine_of = {engine["name"]: engine for engine in engines}
        await self.store.put("config", "main", {
            "version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/health", "max_connections": channels, "protocol": "h1", "tls": False}
                         | engine_of.get(name, {}) for name, channels in services.items()],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}})

    async def add_worker(self, worker):
        await worker.serve(self.ports.take())
        self.workers[worker.name] = worker
        await self.store.put("servers", worker.name, worker.entry())
        return worker

    async def check_in(self, period_s=1.2):
        """The workers' check-ins, as long as they are listed."""
        while self.beating:
            await asyncio.sleep(period_s)
            for worker in list(self.workers.values()):
                await self.store.put("servers", worker.name, worker.entry())

    async def add_gateways(self, count, zone="leicester", memory_mb=260):
        added = [Gateway(self, len(self.gateways) + number, zone, self.store_address, memory_mb) for number in range(count)]
        self.gateways += added
        for gateway in added:
            gateway.start()
        for gateway in added:
            await gateway.wait_ready()
        return added

    def close(self):
        self.beating = False
        for gateway in self.gateways:
            if gateway.process and gateway.process.poll() is None:
                os.kill(gateway.process.pid, signal.SIGKILL)
            if gateway.process:
                gateway.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(scenario, folder):
    """Runs a case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(pathlib.Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    limit_descriptors(CASE_FDS)
    record.write(f"trouble: {has_trouble}")

    def interrupt(*_):
        raise KeyboardInterrupt  # The case's "finally" ends its processes.
    signal.signal(signal.SIGTERM, interrupt)
    try:
        is_broken = asyncio.run(scenario(record, has_trouble))
    except (Exception, KeyboardInterrupt) as problem:  # pylint: disable=broad-except
        record.write(f"the case could not run: {problem!r}")
        print(f"could not run: {problem!r}")
        sys.exit(2)
    record.write("BROKEN" if is_broken else "held")
    sys.exit(1 if is_broken else 0)
