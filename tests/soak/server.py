"""Stand-ins of backend servers, after their published protocol: an engine with adapters that runs streams, and a plain service."""
import asyncio
import json
import time

PLACES = 4
LOAD_S = 0.1


def fields(head):
    """Reads a head. Returns (method, path, headers with small names)."""
    lines = head.decode().split("\r\n")
    method, path, _ = lines[0].split(" ")
    return method, path, {k.lower(): v.strip() for k, v in (line.split(":", 1) for line in lines[1:] if ":" in line)}


class Server:
    """One start of a server. `runs` lists what it has run: the truth that the checks rely on."""

    def __init__(self, name, service, is_engine, truth):
        self.name, self.service, self.is_engine, self.truth = name, service, is_engine, truth
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.fence = 0
        self.adapters = {}
        self.coming = {}
        self.in_use = {}
        self.unloading = set()  # Adapters that go when their last request has ended.
        self.running = 0
        self.acknowledged_leaving = None
        self.lose_answers = 0
        self.garble = 0
        self.delay_orders_s = 0.0
        self.writers = set()

    def entry(self, address, state="ready"):
        models = [{"name": "base", "version": 1, "adapters": [f"{a}@{v}" for a, v in self.adapters.items()]}] if self.is_engine else []
        return {"service": self.service, "address": address, "zone": self.zone, "version": "1", "slots": 8, "state": state,
                "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born, "stage": "combined", "models": models}

    async def serve(self, address):
        host, port = address.split(":")
        self.listener = await asyncio.start_server(self._connection, host, int(port))
        return self.listener

    def crash(self):
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                method, path, headers = fields(head)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if path == "/order":
                    await self._answer(writer, headers, *await self._order(json.loads(body)))
                elif path == "/report":
                    await self._answer(writer, headers, 200, {
                        "stage": "combined", "models": [{"name": "base", "version": 1, "adapters": [
                            f"{a}@{v}" for a, v in self.adapters.items()]}], "born": self.born, "busy": False,
                        "sequence": self.sequence, "waiting": 0, "running": self.running, "kv_used": 0, "kv_total": 1000,
                        "handles": 0, "coming": [f"base/{a}@{v}" for a, v in self.coming.items()]})
                else:
                    await self._run(writer, method, path, headers, body)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, writer, headers, status, body, extra=()):
        text = json.dumps(body).encode()
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(text)}", *extra]
        if "x-request-id" in headers:
            lines.append(f"X-Request-Id: {headers['x-request-id']}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + text)
        await writer.drain()

    async def _order(self, order):
        if self.delay_orders_s:
            await asyncio.sleep(self.delay_orders_s)
        if order["fence"] < self.fence:
            return 412, {}
        self.truth.orders.append((self.name, self.born, order["holder"], order["fence"], time.monotonic()))
        self.fence = order["fence"]
        adapter = order.get("adapter")
        if adapter is None:
            return 200, {}
        held = adapter in self.adapters or adapter in self.coming
        if order["operation"] == "load" and held:
            return (200 if adapter in self.adapters else 202), {}
        if order.get("expected_rev", self.sequence) != self.sequence:
            return 409, {}
        self.sequence += 1
        if order["operation"] == "unload":
            if self.in_use.get(adapter):
                self.unloading.add(adapter)
                return 202, {}
            self.adapters.pop(adapter, None)
            return 200, {}
        if len(self.adapters) + len(self.coming) >= PLACES:
            self.truth.violations.append(f"{self.name} was told to load more than it has places for")
        self.coming[adapter] = 1
        asyncio.get_running_loop().call_later(LOAD_S, self._loaded, adapter)
        return 202, {}

    def _loaded(self, adapter):
        if self.coming.pop(adapter, None):
            self.adapters[adapter] = 1

    async def _run(self, writer, method, path, headers, body):
        key = headers.get("x-request-id", "")
        adapter = headers.get("x-model", "").partition("/")[2]
        if headers.get("x-expect-instance", self.name) != self.name or (self.is_engine and adapter not in self.adapters):
            await self._answer(writer, headers, 421, {}, [f"X-Instance-Id: {self.name}"])
            return
        if adapter in self.unloading:
            await self._answer(writer, headers, 503, {}, ["X-Not-Executed: 1"])
            return
        if self.acknowledged_leaving and time.monotonic() > self.acknowledged_leaving + self.truth.leaving_limit_s:
            self.truth.violations.append(f"{self.name} got request {key} {time.monotonic() - self.acknowledged_leaving:.1f} s after it began to leave")
        self.truth.on_run(key, self.name, self.service, path, body)
        self.running += 1
        self.in_use[adapter] = self.in_use.get(adapter, 0) + 1
        try:
            await (self._stream if self.is_engine else self._plain)(writer, headers, key, body)
        finally:
            self.running -= 1
            self.in_use[adapter] -= 1
            if adapter in self.unloading and not self.in_use[adapter]:
                self.unloading.discard(adapter)
                self.adapters.pop(adapter, None)

    async def _plain(self, writer, headers, key, body):
        await asyncio.sleep(0.03)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise ConnectionResetError
        text = f"{self.name} ran {key} {len(body)}".encode()
        if self.garble > 0:
            self.garble -= 1
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 9999\r\n\r\nhalf")
            raise ConnectionResetError
        writer.write(f"HTTP/1.1 200 X\r\nX-Request-Id: {key}\r\nX-Response-Seal: {key}\r\nX-Server-Load: {self.running},0,8\r\n"
                     f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
        await writer.drain()

    async def _stream(self, writer, headers, key, body):
        writer.write(f"HTTP/1.1 200 X\r\nX-Request-Id: {key}\r\nX-Response-Seal: {key}\r\nContent-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(1, 9):
            await asyncio.sleep(0.03)
            event = f"id: {number}\ndata: {key}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
