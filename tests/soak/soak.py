#!/usr/bin/env python3
"""Randomized soak: gateways as separate processes, stand-ins of the store and of servers, relays between them, and faults.

Checks, from what callers and servers see: answers are whole and belong to their request, what may run once runs once,
refusals are true, no adapter in use is evicted, one holder orders at a time, leaving servers get no new work, a
configuration comes into force and never reverts, and planned stops cut nothing. A seed replays a plan of faults.
"""
import argparse
import asyncio
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

from relay import Relay
from server import Server
from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = {"north-1": "north", "south-1": "south"}
LEAVING_LIMIT_S = 4.0      # The drain bound that the gateways are told.
CONFIGURATION_LIMIT_S = 4.0
GRACE_S = 8.0
FAULT_SLACK_S = 4.0        # After a fault, bounds in time hold again after this long.
LEASE_S = 3.0


class Truth:
    """What the servers saw, and the promises found broken."""

    def __init__(self):
        self.runs, self.orders, self.violations, self.kinds = {}, [], [], {}
        self.leaving_limit_s = LEAVING_LIMIT_S + FAULT_SLACK_S

    def on_run(self, key, server, service, path, body):
        self.runs.setdefault(key, []).append(server)
        if key not in self.kinds:
            self.violations.append(f"{server} ran {key}, which nobody sent")
        elif self.kinds[key][1:] != (path, body):
            self.violations.append(f"{server} ran {key} with another path or body")
        elif self.kinds[key][0] == "unsafe" and len(self.runs[key]) > 1:
            self.violations.append(f"{key} ran twice: {self.runs[key]}")

    def check_holders(self):
        """No two holders order with one token, and none after a higher token was used."""
        used = {}
        for server, born, holder, fence, _ in self.orders:
            other = used.setdefault((server, born, fence), holder)
            if other != holder:
                self.violations.append(f"{holder} and {other} gave orders to {server} with token {fence}")


class Soak:
    def __init__(self, seed, gateways, port, build, folder):
        self.random = random.Random(seed)
        self.count, self.port, self.build, self.folder = gateways, port, build, pathlib.Path(folder)
        self.truth, self.store = Truth(), Store()
        self.servers, self.relays, self.processes, self.stopping = {}, {}, {}, {}
        self.version, self.disturbed_until, self.next_port = 0, 0.0, port + 500
        self.outcomes, self.listeners = {}, []
        self.over = False

    # The deployment.

    def name(self, index):
        return f"gateway-{index}"

    def zone(self, index):
        return sorted(ZONES)[index % len(ZONES)]

    async def start(self):
        self.listeners.append(await self.store.serve(f"127.0.0.1:{self.port}"))
        for index in range(self.count):
            relay = self.relays[self.name(index)] = Relay(f"127.0.0.1:{self.port}")
            self.listeners.append(await relay.serve(f"127.0.0.1:{self.port + 1 + index}"))
        for number in range(6):
            await self.add_server("engine" if number < 4 else "plain", sorted(ZONES)[number % 2])
        await self.configure()
        for index in range(self.count):
            self.start_gateway(index)
        for index in range(self.count):
            await self.wait_ready(index)

    async def add_server(self, service, zone):
        name, port = f"{service}-{self.next_port}", self.next_port
        self.next_port += 2
        server = Server(name, service, service == "engine", self.truth)
        server.zone = zone
        server.relay = Relay(f"127.0.0.1:{port}")
        self.listeners += [await server.serve(f"127.0.0.1:{port}"), await server.relay.serve(f"127.0.0.1:{port + 1}")]
        server.address = f"127.0.0.1:{port + 1}"
        self.servers[name] = server
        await self.store.put("servers", name, server.entry(server.address))

    async def configure(self):
        self.version += 3
        routes = [("engine", "streaming", "/stream/"), ("plain", "unsafe", "/book/"), ("plain", "safe", "/read/"),
                  ("plain", "safe", f"/version-{self.version}/")]
        spec = {"version": self.version, "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000000,
                                                    "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
                "routes": [{"name": path.strip("/"), "host": "soak", "path_prefix": path, "service": service, "kind": kind,
                            "timeout_ms": 4000, "target_latency_ms": 500, "max_attempts": 1 if kind == "unsafe" else 2,
                            "priority": 1, "resumable": False} for service, kind, path in routes],
                "services": [{"name": "plain", "max_connections": 100},
                             {"name": "engine", "max_connections": 100, "engine": {
                                 "slots": 8, "kv_tokens": 1000, "weights_mb": 100.0, "adapter_slots": 4, "loads_per_s": 2.0,
                                 "models": [{"name": "base", "weights_mb": 50.0, "load_time_s": 0.5, "adapters": 12, "adapter_mb": 1.0}]}}]}
        await self.store.put("config", "main", spec)
        asyncio.create_task(self.check_configuration(self.version))

    def start_gateway(self, index):
        name, zone, base = self.name(index), self.zone(index), self.port + 100
        text = (f"[instance]\nname = {name}\ndata_centre = {zone}\nregion = {ZONES[zone]}\n"
                f"caller_address = 127.0.0.1:{base + index}\nreadiness_address = 127.0.0.1:{base + 100 + index}\n"
                f"peer_address = 127.0.0.1:{base + 200 + index}\n[platform]\naddress = 127.0.0.1:{self.port + 1 + index}\n"
                f"[bounds]\nstop_limit_s = {GRACE_S}\nleaving_limit_ms = {int(LEAVING_LIMIT_S * 1000)}\nretry_extra = 200\n[data_centres]\n"
                + "".join(f"{z} = {r}\n" for z, r in ZONES.items()))
        path = self.folder / f"{name}.ini"
        path.write_text(text)
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen([str(self.build / "bin" / "ledge-gateway"), "--settings", str(path)],
                                                    stdout=log, stderr=log)
        self.stopping.pop(name, None)

    async def ready(self, index):
        status, _, _ = await self.exchange(self.port + 200 + index, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", 2.0)
        return status == 200

    async def wait_ready(self, index, limit=20.0):
        end = time.monotonic() + limit
        while not await self.ready(index):
            if time.monotonic() > end:
                raise TimeoutError(f"{self.name(index)} is not ready after {limit} s")
            await asyncio.sleep(0.1)

    # Callers.

    async def exchange(self, port, request, limit):
        """Returns (status, headers, body); status 0 without a whole answer."""
        writer = None
        try:
            async with asyncio.timeout(limit):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                return await self.read_answer(reader, writer, request)
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            return 0, {}, b""
        finally:
            if writer:
                writer.transport.abort()

    async def read_answer(self, reader, writer, request):
        writer.write(request)
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

    async def caller(self, number):
        """Uses one connection until it ends, as kept connections of real callers do."""
        chance = random.Random(self.random.random())
        while not self.over:
            running = [i for i in range(self.count) if self.takes_callers(i)]
            if not running:
                await asyncio.sleep(0.2)
                continue
            index = chance.choice(running)
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port + 100 + index)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            try:
                for _ in range(chance.randint(1, 20)):
                    if self.over or not await self.send_one(chance, index, reader, writer):
                        break
                    await asyncio.sleep(chance.random() * 0.1)
            finally:
                writer.transport.abort()

    def takes_callers(self, index):
        """The balancer takes a stopping gateway out after two missed questions, one a second."""
        stopping = self.stopping.get(self.name(index))
        return self.processes[self.name(index)].poll() is None and (stopping is None or time.monotonic() < stopping + 2.0)

    async def send_one(self, chance, index, reader, writer):
        kind = chance.choices(["stream", "unsafe", "safe"], [5, 3, 2])[0]
        key = f"{chance.getrandbits(64):016x}"
        path = {"stream": "/stream/x", "unsafe": "/book/x", "safe": "/read/x"}[kind]
        body = b"" if kind == "safe" else key.encode() * chance.choice([1, 10, 500])
        self.truth.kinds[key] = ("unsafe" if kind != "safe" else "safe", path, body)
        lines = [f"{'GET' if kind == 'safe' else 'POST'} {path} HTTP/1.1", "Host: soak", f"X-Request-Id: {key}", "X-Deadline-Ms: 4000"]
        if kind == "stream":
            rank = min(int(chance.paretovariate(0.7)), 12)
            lines += [f"X-Model: base/a{rank}", "X-Token-Usage: 100,32", "X-Prompt-Prefix: 1a:50,2b:50"]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        request = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        started = time.monotonic()
        try:
            async with asyncio.timeout(6.0):
                status, headers, answer = await self.read_answer(reader, writer, request)
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as problem:
            self.note_cut(kind, key, index, started, problem)
            return False
        self.check_answer(kind, key, status, headers, answer)
        self.outcomes[status] = self.outcomes.get(status, 0) + 1
        return headers.get("connection", "").lower() != "close"

    def check_answer(self, kind, key, status, headers, answer):
        if status == 200:
            whole = b"".join(f"id: {n}\ndata: {key}\n\n".encode() for n in range(1, 9)) if kind == "stream" else None
            is_own = headers.get("x-response-seal") == key and (answer == whole if whole else f"ran {key} ".encode() in answer)
            if not is_own:
                self.truth.violations.append(f"{key} got an answer that is not whole or not its own: {answer[:80]}")
        elif status in (429, 503, 408, 421):
            asyncio.get_running_loop().call_later(2.0, self.check_refusal, key, status)
        elif status in (401, 403, 404):
            self.truth.violations.append(f"{key} was denied with {status}")

    def check_refusal(self, key, status):
        if self.truth.runs.get(key):
            self.truth.violations.append(f"{key} was refused with {status} as not run, and ran at {self.truth.runs[key]}")

    def note_cut(self, kind, key, index, started, problem):
        self.outcomes["cut"] = self.outcomes.get("cut", 0) + 1
        stopping = self.stopping.get(self.name(index))
        ran = self.truth.runs.get(key)
        if stopping and ran and started > self.disturbed_until and started < stopping + 3.0:
            self.truth.violations.append(f"{key} ({kind}) was cut by the planned stop of {self.name(index)}: {problem!r}")

    async def check_configuration(self, version):
        """Each gateway serves a new route within the limit; afterwards none says that it does not exist."""
        await asyncio.sleep(CONFIGURATION_LIMIT_S)
        for index in range(self.count):
            if self.over or version != self.version or time.monotonic() < self.disturbed_until or not self.takes_callers(index):
                return
            key = f"version-{version}-{index}-{self.random.getrandbits(32)}"
            self.truth.kinds[key] = ("safe", f"/version-{version}/x", b"")
            request = f"GET /version-{version}/x HTTP/1.1\r\nHost: soak\r\nX-Request-Id: {key}\r\nX-Deadline-Ms: 3000\r\n\r\n"
            status, _, _ = await self.exchange(self.port + 100 + index, request.encode(), 4.0)
            if status == 404 and time.monotonic() > self.disturbed_until:
                self.truth.violations.append(f"{self.name(index)} does not know version {version} after {CONFIGURATION_LIMIT_S} s")

    # Faults. Each returns after it was undone.

    def disturb(self, seconds):
        self.disturbed_until = max(self.disturbed_until, time.monotonic() + seconds + FAULT_SLACK_S)

    def pick_gateway(self):
        running = [i for i in range(self.count) if self.processes[self.name(i)].poll() is None and self.name(i) not in self.stopping]
        return self.random.choice(running) if len(running) > 2 else None

    async def planned_stop(self):
        index = self.pick_gateway()
        if index is None:
            return
        process = self.processes[self.name(index)]
        self.stopping[self.name(index)] = time.monotonic()
        for _ in range(self.random.randint(1, 2)):
            process.send_signal(signal.SIGTERM)
        for _ in range(int(GRACE_S * 20)):
            if process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        if process.poll() != 0:
            self.truth.violations.append(f"{self.name(index)} ended its stop with {process.poll()}")
            process.kill()
        process.wait()
        self.start_gateway(index)

    async def kill(self):
        index = self.pick_gateway()
        if index is not None:
            self.disturb(3)
            self.processes[self.name(index)].kill()
            self.processes[self.name(index)].wait()
            await asyncio.sleep(self.random.random() * 2)
            self.start_gateway(index)

    async def pause(self):
        index = self.pick_gateway()
        if index is not None:
            process, seconds = self.processes[self.name(index)], self.random.uniform(0.5, 5)
            self.disturb(seconds)
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            process.send_signal(signal.SIGCONT)

    async def hang_up(self):
        index = self.pick_gateway()
        if index is not None:
            self.processes[self.name(index)].send_signal(signal.SIGHUP)

    async def cut_store(self):
        index = self.pick_gateway()
        if index is None:
            return
        relay, seconds = self.relays[self.name(index)], self.random.uniform(1, 6)
        self.disturb(seconds)
        how = self.random.choice(["silent", "one way", "refused", "delayed"])
        relay.is_silent_out = how == "silent"
        relay.is_silent_back = how in ("silent", "one way")
        relay.refuses = how == "refused"
        relay.delay_s = 0.2 if how == "delayed" else 0.0
        if relay.refuses:
            relay.reset()
        await asyncio.sleep(seconds)
        relay.heal()

    async def store_fault(self):
        seconds = self.random.uniform(0.5, 5)
        self.disturb(seconds)
        how = self.random.choice(["busy", "silent", "reset", "slow", "lost", "history"])
        if how == "slow":
            self.store.slow_s = 0.2
        elif how == "lost":
            self.store.lose_writes = 2
        elif how == "history":
            await self.store.drop_history()
        else:
            self.store.down = how
        await asyncio.sleep(seconds)
        self.store.down, self.store.slow_s, self.store.lose_writes = None, 0.0, 0

    def pick_server(self):
        ready = [s for s in self.servers.values() if s.acknowledged_leaving is None]
        service = self.random.choice(["engine", "plain"])
        found = [s for s in ready if s.service == service]
        return self.random.choice(found) if len(found) > 1 else None

    async def crash_server(self):
        server = self.pick_server()
        if server:
            self.disturb(2)
            server.crash()
            del self.servers[server.name]
            await self.add_server(server.service, server.zone)
            await asyncio.sleep(2)
            await self.store.remove("servers", server.name)

    async def drain_server(self):
        server = self.pick_server()
        if server:
            await self.add_server(server.service, server.zone)
            await self.store.put("servers", server.name, server.entry(server.address, "draining"))
            server.acknowledged_leaving = time.monotonic()
            await asyncio.sleep(LEAVING_LIMIT_S + 1)
            await self.store.remove("servers", server.name)
            await asyncio.sleep(FAULT_SLACK_S + 5)
            server.crash()
            self.servers.pop(server.name, None)

    async def server_fault(self):
        server = self.pick_server()
        if server:
            how = self.random.choice(["lost", "garble", "reset", "silent", "late"])
            self.disturb(4)
            server.lose_answers = 3 if how == "lost" else 0
            server.garble = 3 if how == "garble" else 0
            server.relay.is_silent_back = how == "silent"
            server.delay_orders_s = 2.0 if how == "late" else 0.0
            if how == "reset":
                server.relay.reset()
            await asyncio.sleep(3)
            server.relay.heal()
            server.lose_answers = server.garble = 0
            server.delay_orders_s = 0.0

    async def faults(self, seconds):
        kinds = [self.planned_stop, self.kill, self.pause, self.hang_up, self.cut_store, self.store_fault, self.crash_server,
                 self.drain_server, self.server_fault, self.configure]
        end, tasks = time.monotonic() + seconds, []
        while time.monotonic() < end:
            await asyncio.sleep(self.random.uniform(0.3, 2.5))
            fault = self.random.choice(kinds)
            print(f"  {time.monotonic() - self.began:6.2f} s {fault.__name__}", flush=True)
            tasks.append(asyncio.create_task(fault()))
        await asyncio.gather(*tasks)

    async def refresh_entries(self):
        """Servers write what they hold, some of it late, as they do on the platform."""
        while not self.over:
            await asyncio.sleep(0.6)
            for server in list(self.servers.values()):
                if server.acknowledged_leaving is None and ("servers", server.name) in self.store.objects:
                    await self.store.put("servers", server.name, server.entry(server.address))

    async def run(self, seconds, callers):
        self.began = time.monotonic()
        try:
            await self.play(seconds, callers)
        finally:
            for listener in self.listeners:
                listener.close()

    async def play(self, seconds, callers):
        await self.start()
        tasks = [asyncio.create_task(self.caller(i)) for i in range(callers)] + [asyncio.create_task(self.refresh_entries())]
        await self.faults(seconds)
        for index in range(self.count):
            if self.processes[self.name(index)].poll() is None:
                await self.wait_ready(index)
        before = self.outcomes.get(200, 0)
        await asyncio.sleep(4.0)
        if self.outcomes.get(200, 0) == before:
            self.truth.violations.append("nothing is served after the last fault")
        self.over = True
        await asyncio.gather(*tasks)
        await asyncio.sleep(2.5)
        self.truth.check_holders()

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


def play(seed, options):
    folder = pathlib.Path(options.folder or tempfile.mkdtemp(prefix="soak-")) / f"seed-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    soak = Soak(seed, options.gateways, options.port, pathlib.Path(options.build), folder)
    print(f"seed {seed}, logs in {folder}", flush=True)
    try:
        asyncio.run(soak.run(options.seconds, options.callers))
    finally:
        soak.end()
    violations = sorted(set(soak.truth.violations))
    print(f"seed {seed}: {len(violations)} violations, answers {soak.outcomes}, {len(soak.truth.orders)} orders, {soak.store.calls} calls")
    for violation in violations:
        print(f"  BROKEN {violation}")
    return not violations and soak.outcomes.get(200, 0) > 0


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, nargs="+", default=None, help="play these seeds; otherwise fresh ones")
    parser.add_argument("--count", type=int, default=1, help="fresh seeds to play")
    parser.add_argument("--seconds", type=float, default=20.0, help="time during which faults begin")
    parser.add_argument("--gateways", type=int, default=8)
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument("--port", type=int, default=int(os.environ.get("LEDGE_PORT", "30000")))
    parser.add_argument("--build", default=os.environ.get("LEDGE_BUILD", str(ROOT / "build")))
    parser.add_argument("--folder", help="where logs go")
    options = parser.parse_args()
    seeds = options.seeds or [random.SystemRandom().randrange(10**6) for _ in range(options.count)]
    failed = [seed for seed in seeds if not play(seed, options)]
    print(f"{len(seeds) - len(failed)} of {len(seeds)} seeds kept every promise; failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
