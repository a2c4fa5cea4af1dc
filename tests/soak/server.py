"""Simulated backend servers by their published protocol: an engine with adapters that streams, and a plain service."""
import asyncio
import json
import time

from crashing_part import shared_parts
from order_history import Order
from relay import reset_connection

ADAPTER_SLOTS = 4
PAUSE_SLACK_S = 0.5  # Requests that were on their way when a gateway was asked for a pause may arrive this long after.
MAX_LATE_ARRIVALS = 2  # Requests of one gateway that may arrive in the rest of a pause.
LOAD_TIME_S = 0.1
# Answers that don't end, by form: the head, in which {id} stands for the request, and the bytes that follow again and again.
CHUNKED = b"HTTP/1.1 200 X\r\nX-Request-Id: {id}\r\nX-Response-Seal: {id}\r\nTransfer-Encoding: chunked\r\n\r\n"
PLAIN = b"HTTP/1.1 200 X\r\nX-Request-Id: {id}\r\nX-Response-Seal: {id}\r\n"
ENDLESS_ANSWERS = {
    "status line": (b"HTTP/1.1 200 ", b"x"), "header line": (PLAIN + b"X-Y: ", b"x"), "header lines": (PLAIN, b"X-Y: z\r\n"),
    "no answer": (b"", b"\0"), "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "answers to others": (b"", b"HTTP/1.1 200 X\r\nX-Request-Id: other\r\nContent-Length: 1\r\n\r\nx"),
    "refusal": (b"HTTP/1.1 503 X\r\nX-Request-Id: {id}\r\nX-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
    "chunk size": (CHUNKED, b"1"), "chunk extension": (CHUNKED + b"5;e=", b"x"), "chunks": (CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n"),
    "small chunks": (CHUNKED, b"1\r\nx\r\n"), "trailer line": (CHUNKED + b"0\r\nX-Y: ", b"x"), "trailers": (CHUNKED + b"0\r\n", b"X-Y: z\r\n"),
    "length": (PLAIN + b"Content-Length: 1000000000000\r\n\r\n", b"x"), "neither": (PLAIN + b"\r\n", b"x"),
    "failure": (PLAIN.replace(b"200", b"500") + b"\r\n", b"x"), "one event": (CHUNKED, b"6\r\ndata: \r\n")}
FLOOD_BLOCK, FLOOD_PAUSE_S = 65536, 0.001  # Bounds what this process, which also plays everything else, spends on a flood.


def parse_head(head):
    """Parses a request head. Returns (method, path, headers by lower-case name)."""
    lines = head.decode().split("\r\n")
    method, path, _ = lines[0].split(" ")
    return method, path, {k.lower(): v.strip() for k, v in (line.split(":", 1) for line in lines[1:] if ":" in line)}


class Server:
    """One start of a server. Records runs, orders and violations in the observations that the checks rely on."""

    def __init__(self, name, service, is_engine, observations):
        self.name, self.service, self.is_engine, self.observations = name, service, is_engine, observations
        self.started_at_ms = int(time.time() * 1000)
        self.zone = ""
        self.sequence = 0
        self.fence = 0
        self.adapters = {}
        self.loading = {}
        self.in_use = {}
        self.pending_unloads = set()  # Adapters that are unloaded when their last request has ended.
        self.running = 0
        self.leaving_since = None
        self.responses_to_drop = 0
        self.responses_to_truncate = 0
        self.order_delay_s = 0.0
        self.writers = set()
        self.announces_leaving = False
        self.leaving_told_at = {}  # When a gateway first got an answer that announces the leaving, by gateway.
        self.pause_s = 0.0         # Requests are refused with the wish for a pause of this length.
        self.pauses = {}           # Begin and end of the pause and arrivals in it, by gateway.
        self.crash_trigger = None  # A function of server, request id, path and body: "crash", "fail" (answer 500) or None.
        self.on_crash = None       # Called when a request has ended the server.
        self.work_s = 0.03         # How long a plain server works on a request.
        self.endless = None        # A form of ENDLESS_ANSWERS, with which requests are answered.
        self.silent_until = 0.0    # Until then, nothing is sent on any connection.
        self.silence = None        # A function that returns the share of an answer after which it pauses, and for how long (s).
        self.frames_streams = True  # Otherwise, streams have neither a length nor chunks and end with their connection.

    def entry(self, address, state="ready"):
        models = [{"name": "base", "version": 1, "adapters": [f"{a}@{v}" for a, v in self.adapters.items()]}] if self.is_engine else []
        return {"service": self.service, "address": address, "zone": self.zone, "version": "1", "slots": 8, "state": state,
                "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.started_at_ms, "stage": "combined", "models": models}

    async def serve(self, address):
        host, port = address.split(":")
        self.listener = await asyncio.start_server(self._connection, host, int(port))
        return self.listener

    def crash(self, closing=None):
        """Ends the server. Its connections are reset, but for the one of a stream that is closed within an event."""
        self.listener.close()
        for writer in list(self.writers):
            if writer is closing:
                writer.transport.abort()
            else:
                reset_connection(writer)

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                method, path, headers = parse_head(head)
                if "x-hold" in headers:
                    self.observations.violations.append(f"{self.name} got {path} with X-Hold, which no gateway sets")
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if path == "/order":
                    await self._respond(writer, headers, *await self._handle_order(json.loads(body)))
                elif path == "/report":
                    await self._respond(writer, headers, 200, {
                        "stage": "combined", "models": [{"name": "base", "version": 1, "adapters": [
                            f"{a}@{v}" for a, v in self.adapters.items()]}], "born": self.started_at_ms, "busy": False,
                        "sequence": self.sequence, "waiting": 0, "running": self.running, "kv_used": 0, "kv_total": 1000,
                        "handles": 0, "coming": [f"base/{a}@{v}" for a, v in self.loading.items()]})
                else:
                    await self._handle_request(writer, method, path, headers, body)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _wait_while_silent(self):
        while (rest := self.silent_until - time.monotonic()) > 0:
            await asyncio.sleep(rest)

    async def _respond(self, writer, headers, status, body, extra=()):
        await self._wait_while_silent()
        text = json.dumps(body).encode()
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(text)}", *extra]
        if "x-request-id" in headers:
            lines.append(f"X-Request-Id: {headers['x-request-id']}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + text)
        await writer.drain()

    async def _handle_order(self, order):
        self.observations.history.orders.append(
            Order(time.monotonic(), order["holder"], order["fence"], self.name, self.started_at_ms, self.zone))
        if self.order_delay_s:
            await asyncio.sleep(self.order_delay_s)
        if order["fence"] < self.fence:
            return 412, {}
        self.fence = order["fence"]
        adapter = order.get("adapter")
        if adapter is None:
            return 200, {}
        version = order.get("version", self.observations.newest_version(adapter))
        held = self.adapters.get(adapter) == version or self.loading.get(adapter) == version
        if order["operation"] == "load" and held:
            return (200 if adapter in self.adapters else 202), {}
        if order.get("expected_rev", self.sequence) != self.sequence:
            return 409, {}
        self.sequence += 1
        if order["operation"] == "unload":
            if self.in_use.get(adapter):
                self.pending_unloads.add(adapter)
                return 202, {}
            self.adapters.pop(adapter, None)
            return 200, {}
        if len({*self.adapters, *self.loading, adapter}) > ADAPTER_SLOTS:
            self.observations.violations.append(f"{self.name} was told to load more adapters than it has slots")
        self.loading[adapter] = version
        asyncio.get_running_loop().create_task(self._load(adapter, version))
        return 202, {}

    async def _load(self, adapter, version):
        await asyncio.sleep(LOAD_TIME_S)
        while self.in_use.get(adapter):
            await asyncio.sleep(0.01)  # A replacement waits for the runs on the former version.
        if self.loading.get(adapter) == version:
            del self.loading[adapter]
            self.adapters[adapter] = version

    async def _handle_request(self, writer, method, path, headers, body):
        request_id = headers.get("x-request-id", "")
        gateway, sent_at = self.observations.entries.get(request_id, (None, 0.0))
        self.check_notices(request_id, gateway, sent_at)
        crashing_part = self.find_crashing_part(headers)
        if crashing_part:
            crashing_part.arrivals.append((time.monotonic(), f"gateway-{gateway}"))
        if self.pause_s:
            self.pauses.setdefault(gateway, [time.monotonic(), time.monotonic() + self.pause_s, 0])
            await self._respond(writer, headers, 503, {}, ["X-Not-Executed: 1", f"Retry-After: {self.pause_s}"])
            return
        if self.announces_leaving:
            self.leaving_told_at.setdefault(gateway, time.monotonic() + 1.0)  # The request may take this long.
        adapter = headers.get("x-model", "").partition("/")[2]
        held = self.adapters.get(adapter)
        lacks_version = self.is_engine and (held is None or headers.get("x-expect-version", str(held)) != str(held))
        if headers.get("x-expect-instance", self.name) != self.name or lacks_version:
            await self._respond(writer, headers, 421, {}, [f"X-Instance-Id: {self.name}"])
            return
        if adapter in self.pending_unloads:
            await self._respond(writer, headers, 503, {}, ["X-Not-Executed: 1"])
            return
        if self.leaving_since and time.monotonic() > self.leaving_since + self.observations.leaving_limit_s:
            self.observations.violations.append(
                f"{self.name} got request {request_id} {time.monotonic() - self.leaving_since:.1f} s after it began to leave")
        if self.endless == "refusal":
            await self._send_endless(writer, request_id)
        self.observations.record_run(request_id, self.name, self.service, path, body)
        if self.is_engine:
            self.check_version(request_id, gateway, adapter)
        if self.endless:
            await self._send_endless(writer, request_id)
        self.running += 1
        self.in_use[adapter] = self.in_use.get(adapter, 0) + 1
        try:
            effect = self.crash_trigger(self, request_id, path, body) if self.crash_trigger else None
            crashes = effect == "crash" or crashing_part is not None
            if crashing_part:
                crashing_part.crashes.setdefault(self.name, time.monotonic())
            if effect == "fail":
                await self._respond(writer, headers, 500, {}, [f"X-Response-Seal: {request_id}"])
                return
            if crashes and not self.is_engine:
                await self._crash_by_request()
            await (self._stream if self.is_engine else self._plain)(writer, headers, request_id, body, crashes)
        finally:
            self.running -= 1
            self.in_use[adapter] -= 1
            if adapter in self.pending_unloads and not self.in_use[adapter]:
                self.pending_unloads.discard(adapter)
                self.adapters.pop(adapter, None)

    def check_version(self, request_id, gateway, adapter):
        """Reports a request that begins on a version that a newer one has replaced for longer than the limit."""
        now, held, history = time.monotonic(), self.adapters[adapter], self.observations.history
        for version, named_at in self.observations.named_versions.get(adapter, []):
            age = now - named_at
            if (version > held and age > self.observations.version_limit_s and now > self.observations.links_disturbed_until
                    and not history.is_disturbed({f"gateway-{gateway}", "store"}, now, age + self.observations.stability_window_s)):
                self.observations.violations.append(f"{request_id} of gateway {gateway} began on {self.name} on version {held} of "
                                                    f"{adapter}, {age:.2f} s after version {version} was named")

    async def _send_endless(self, writer, request_id):
        head, repeated = ENDLESS_ANSWERS[self.endless]
        writer.write(head.replace(b"{id}", request_id.encode()))
        block = repeated * (FLOOD_BLOCK // len(repeated) + 1)
        self.observations.floods[self.endless] = self.observations.floods.get(self.endless, 0) + 1
        while not writer.is_closing():
            writer.write(block)
            await writer.drain()
            await asyncio.sleep(FLOOD_PAUSE_S)
        raise ConnectionResetError

    def find_crashing_part(self, headers):
        parts = shared_parts(headers.get("x-prompt-prefix", ""))
        return next((self.observations.crashing_parts[part] for part in parts if part in self.observations.crashing_parts), None)

    async def _crash_by_request(self, closing=None):
        self.crash(closing)
        await self.on_crash(self)
        raise ConnectionResetError

    def check_notices(self, request_id, gateway, sent_at):
        """Reports a request that arrives although the server has told its gateway to send none."""
        told_at, now = self.leaving_told_at.get(gateway), time.monotonic()
        if told_at and sent_at > told_at + self.observations.announced_leaving_limit_s:
            self.observations.violations.append(f"{self.name} got {request_id} of gateway {gateway} that was sent "
                                                f"{sent_at - told_at:.1f} s after the server had announced its leaving to it")
        pause = self.pauses.get(gateway)
        if pause and pause[0] + PAUSE_SLACK_S < now < pause[1]:
            pause[2] += 1
            if pause[2] > MAX_LATE_ARRIVALS:
                self.observations.violations.append(f"{self.name} got {pause[2]} requests of gateway {gateway} in a pause")

    def leaving_header(self):
        return "Server-Leaving: 1\r\n" if self.announces_leaving else ""

    async def _plain(self, writer, headers, request_id, body, _crashes):
        await asyncio.sleep(self.work_s)
        if self.responses_to_drop > 0:
            self.responses_to_drop -= 1
            raise ConnectionResetError
        text = f"{self.name} ran {request_id} {len(body)}".encode()
        if self.responses_to_truncate > 0:
            self.responses_to_truncate -= 1
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 9999\r\n\r\nhalf")
            raise ConnectionResetError
        answer = (f"HTTP/1.1 200 X\r\nX-Request-Id: {request_id}\r\nX-Response-Seal: {request_id}\r\nX-Server-Load: {self.running},0,8\r\n"
                  f"{self.leaving_header()}"
                  f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
        if self.silence:
            share, seconds = self.silence()
            begin = int(share * len(answer))
            writer.write(answer[:begin])
            await writer.drain()
            await asyncio.sleep(seconds)
            answer = answer[begin:]
        await self._wait_while_silent()
        writer.write(answer)
        await writer.drain()

    async def _stream(self, writer, headers, request_id, body, crashes):
        is_framed = self.frames_streams
        writer.write(f"HTTP/1.1 200 X\r\nX-Request-Id: {request_id}\r\nX-Response-Seal: {request_id}\r\nContent-Type: text/event-stream\r\n"
                     f"{self.leaving_header()}{'Transfer-Encoding: chunked' if is_framed else 'Connection: close'}\r\n\r\n".encode())
        share, silence_s = self.silence() if self.silence else (0.0, 0.0)
        for number in range(1, 9):
            await asyncio.sleep(0.03 + (silence_s if number == 1 + int(share * 8) else 0.0))
            await self._wait_while_silent()
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            if crashes and number > 1 and not is_framed:
                event = event[:len(event) // 2]
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n" if is_framed else event)
            await writer.drain()
            if crashes and (is_framed or number > 1):
                await self._crash_by_request(None if is_framed else writer)
        if is_framed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        else:
            writer.close()
            raise ConnectionResetError
