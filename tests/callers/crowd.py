"""A gateway process beside callers that keep to no rule, and the measure of what it holds for them."""
import asyncio
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))

from scenario import Scenario  # noqa: E402
from server import Server  # noqa: E402
from soak import ROOT, ZONES, Soak  # noqa: E402

MEMORY_MB = 32              # The setting memory_mb, and the bound of what the process and its sockets hold.
CONNECTIONS = 300           # The setting connections.
OTHER_DESCRIPTORS = 264     # For files, servers, the store, and the 64 connections of the readiness address.
HEADER_BYTES, BODY_BYTES = 16384, 4 * 1024 * 1024
CROWD_S = 6.0               # How long a crowd stays; callers whose connection ends come again meanwhile.
SAMPLE_S = 0.02
LARGE_ANSWER = b"x" * 2_000_000
STREAM_EVENT = b"id: %d\ndata: " + b"x" * 8000 + b"\n\n"
STREAM_EVENTS = 500


class LargeAnswers(Server):
    """Answers with many bytes where the path asks for it."""

    async def _handle_request(self, writer, method, path, headers, body):
        request_id = headers.get("x-request-id", "")
        if path not in ("/read/large", "/book/stream"):
            self.observations.requests[request_id] = ("safe", path, body)
            await super()._handle_request(writer, method, path, headers, body)
            return
        head = f"HTTP/1.1 200 X\r\nX-Request-Id: {request_id}\r\nX-Response-Seal: {request_id}\r\n"
        if path == "/read/large":
            writer.write(f"{head}Content-Length: {len(LARGE_ANSWER)}\r\n\r\n".encode() + LARGE_ANSWER)
            await writer.drain()
            return
        writer.write(f"{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(STREAM_EVENTS):
            event = STREAM_EVENT % number
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Usage:
    """Samples the memory and descriptors of a process in a thread, from its start until stop()."""

    def __init__(self, pid, ports):
        self.pid, self.ports = pid, ports
        self.peak, self.resident, self.unread, self.unsent, self.descriptors = 0, 0, 0, 0, 0
        self.is_over = False
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def stop(self):
        self.is_over = True
        self.thread.join()

    def _run(self):
        while not self.is_over:
            try:
                self._sample()
            except (OSError, StopIteration):
                return
            time.sleep(SAMPLE_S)

    def _sample(self):
        inodes, count = set(), 0
        for entry in os.listdir(f"/proc/{self.pid}/fd"):
            count += 1
            try:
                target = os.readlink(f"/proc/{self.pid}/fd/{entry}")
            except FileNotFoundError:
                continue
            if target.startswith("socket:["):
                inodes.add(target[8:-1])
        self.descriptors = max(self.descriptors, count)
        unread = unsent = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            # Connections that are not accepted yet, or closed with unsent bytes, have no inode.
            is_of_process = fields[9] in inodes or int(fields[1].split(":")[1], 16) in self.ports
            if is_of_process and fields[3] != "0A":
                sent, received = fields[4].split(":")
                unsent, unread = unsent + int(sent, 16), unread + int(received, 16)
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        resident = next(int(line.split()[1]) * 1024 for line in status.splitlines() if line.startswith("VmRSS"))
        if resident + unread + unsent > self.peak:
            self.peak = resident + unread + unsent
            self.resident, self.unread, self.unsent = resident, unread, unsent

    def __str__(self):
        return (f"peak {self.peak / 1e6:.1f} MB: resident {self.resident / 1e6:.1f}, unread {self.unread / 1e6:.1f}, "
                f"unsent {self.unsent / 1e6:.1f}; descriptors {self.descriptors}")


class CallerSoak(Soak):
    """One gateway whose limits the test lowers, and servers that answer with many bytes if asked to."""

    async def start(self):
        self.listeners.append(await self.store.serve(f"127.0.0.1:{self.port}"))
        for number in range(2):
            await self.add_server("plain", sorted(ZONES)[number])
        await self.configure()
        self.start_gateway(0)
        await self.wait_ready(0)

    async def add_server(self, service, zone):
        name, address = f"{service}-{self.next_port}", f"127.0.0.1:{self.next_port}"
        self.next_port += 2
        server = self.servers[name] = LargeAnswers(name, service, False, self.observations)
        server.zone, server.work_s = zone, 0.001
        self.listeners.append(await server.serve(address))
        await self.store.put("servers", name, server.entry(address))

    async def configure(self):
        routes = [("unsafe", "/book/"), ("safe", "/read/")]
        spec = {"version": 1, "limits": {"max_header_bytes": HEADER_BYTES, "max_body_bytes": BODY_BYTES,
                                         "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
                "routes": [{"name": path.strip("/"), "host": "soak", "path_prefix": path, "service": "plain", "kind": kind,
                            "timeout_ms": 8000, "target_latency_ms": 2000, "max_attempts": 1, "priority": 1, "resumable": False}
                           for kind, path in routes] +
                          [{"name": "stream", "host": "soak", "path_prefix": "/book/stream", "service": "plain",
                            "kind": "streaming", "timeout_ms": 30000, "target_latency_ms": 2000, "max_attempts": 1, "priority": 1,
                            "resumable": False}],
                "services": [{"name": "plain", "max_connections": 400}]}
        await self.store.put("config", "main", spec)

    def start_gateway(self, index):
        base, name = self.port + 100, self.gateway_name(index)
        text = (f"[instance]\nname = {name}\ndata_centre = north-1\nregion = north\ncaller_address = 127.0.0.1:{base}\n"
                f"readiness_address = 127.0.0.1:{base + 100}\npeer_address = 127.0.0.1:{base + 200}\n"
                f"[platform]\naddress = 127.0.0.1:{self.port}\n[log]\nlevel = warn\n"
                f"[limits]\nmemory_mb = {MEMORY_MB}\nconnections = {CONNECTIONS}\n[data_centres]\n"
                + "".join(f"{z} = {r}\n" for z, r in ZONES.items()))
        path = self.folder / f"{name}.ini"
        path.write_text(text)
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen([str(self.build / "bin" / "ledge-gateway"), "--settings", str(path)],
                                                    stdout=log, stderr=log)


class CrowdScenario(Scenario):
    """A crowd at one place of one gateway. The checks depend on no time and no share of served requests."""

    PLACES = {"route": "/book/x", "no_route": "/nowhere/x", "readiness": "/"}

    def make_soak(self, gateways, first_port):
        port = Scenario.next_port = (Scenario.next_port or int(os.environ.get("LEDGE_PORT", first_port))) + 1000
        build = pathlib.Path(os.environ.get("LEDGE_BUILD", str(ROOT / "build")))
        self.folder = tempfile.mkdtemp(prefix=f"{type(self).__name__}-")
        self.soak = CallerSoak(1, gateways, port - 1000, build, self.folder)

    def run_scenario(self, place, scenario):
        """Awaits the scenario, which is given a path and the number of a port, and checks the process."""
        self.make_soak(1, 16000)
        port = self.soak.port + (200 if place == "readiness" else 100)

        async def run():
            process = self.soak.processes["gateway-0"]
            usage = Usage(process.pid, {self.soak.port + 100, self.soak.port + 200})
            try:
                await scenario(self.PLACES[place], port)
                await self.check_ordinary_request()
            finally:
                usage.stop()
            print(f"{self.id()}: {usage}", flush=True)
            self.assertIsNone(process.poll(), "the process has ended")
            self.assertLessEqual(usage.peak, MEMORY_MB * 1_000_000, str(usage))
            self.assertLessEqual(usage.descriptors, CONNECTIONS + OTHER_DESCRIPTORS, str(usage))
        self.run_soak(run)

    def run_crowd(self, place, count, behaviour):
        """Lets callers behave at a place at the same time, each again when its connection ends. The behaviour is a coroutine
        of a loop, a connected socket, the path and the caller's number."""
        async def scenario(path, port):
            loop = asyncio.get_running_loop()

            async def caller(number):
                while True:
                    with socket.socket() as connection:
                        connection.setblocking(False)
                        # A caller that does not read leaves the bytes to the gateway.
                        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                        try:
                            await loop.sock_connect(connection, ("127.0.0.1", port))
                            await behaviour(loop, connection, path, number)
                        except OSError:
                            pass
                    await asyncio.sleep(0.05)
            callers = [asyncio.create_task(caller(number)) for number in range(count)]
            await asyncio.sleep(CROWD_S)
            for task in callers:
                task.cancel()
            results = await asyncio.gather(*callers, return_exceptions=True)
            self.assertTrue(all(isinstance(result, asyncio.CancelledError) for result in results), results)
        self.run_scenario(place, scenario)

    async def check_ordinary_request(self):
        """Checks that an ordinary request is answered at last, and readiness is."""
        for _ in range(40):
            status, _, body = await self.send_ordinary(b"ordinary")
            if status == 200 and await self.soak.is_ready(0):
                return
            await asyncio.sleep(0.25)
        self.fail(f"no answer to an ordinary request: {status} {body[:200]}")

    async def send_ordinary(self, body, extra_head=b""):
        head = b"POST /book/x HTTP/1.1\r\nHost: soak\r\nX-Request-Id: ordinary%d\r\nContent-Length: %d\r\n" % (
            time.monotonic_ns(), len(body))
        return await self.soak.request_once(self.soak.port + 100, head + extra_head + b"\r\n" + body, 8.0)


async def wait_for_end(loop, connection):
    """Reads whatever comes until the connection ends."""
    while await loop.sock_recv(connection, 65536):
        pass
