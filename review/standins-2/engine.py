"""A sound model worker with adapters: orders, reports and event streams, as PROTOCOL.md says."""
import asyncio
import json

from deployment import Worker

MODEL, ADAPTERS = "daka510000", 3000


def engine_service(name):
    """The service of such workers in the configuration, with the figures of the site mctpa-edge."""
    model = {"name": MODEL, "weights_mb": 72700.0, "load_time_s": 0.6, "adapters": ADAPTERS, "adapter_mb": 66.0, "warm_s": 0.63,
             "disk_s": 0.82}
    return {"name": name, "engine": {"slots": 64, "kv_tokens": 253446, "weights_mb": 74800.0, "adapter_slots": 9,
                                     "loads_per_s": 4.2, "models": [model]}}


class Engine(Worker):
    """Holds one base model. Adapters are named a1 to a3000; an order for another one is answered 400."""

    slots_for_adapters = 9

    def __init__(self, *arguments, **settings):
        super().__init__(*arguments, **settings)
        self.adapters, self.orders, self.fence = {}, 0, 0

    def entry(self, state="ready"):
        return super().entry(state) | {"stage": "combined", "slots": 64, "models": self._models()}

    def _models(self):
        return [{"name": MODEL, "version": 1, "adapters": [f"{name}@1" for name in self.adapters]}]

    async def _answer(self, writer, method, path, headers, body):
        if path == "/report":
            await self._send_json(writer, 200, {"stage": "combined", "models": self._models(), "born": self.born, "busy": False,
                                                "sequence": self.orders, "waiting": 0, "running": 0, "kv_used": 0,
                                                "kv_total": 253446, "handles": 0, "coming": []})
        elif path == "/order":
            order = json.loads(body)
            status = self._order(order)
            self.record.write(f"{self.name} answers {status} to the order {order}")
            await self._send_json(writer, status, {})
        else:
            await self._generate(writer, headers, method, path)

    def _order(self, order):
        adapter, name = order.get("adapter"), order.get("model")
        if "holder" not in order or "fence" not in order or name != MODEL:
            return 400
        if adapter is not None and not (adapter[:1] == "a" and adapter[1:].isdigit() and 1 <= int(adapter[1:]) <= ADAPTERS):
            return 400
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        if adapter is None or (order["operation"] == "load" and adapter in self.adapters):
            return 200
        if order.get("expected_rev", self.orders) != self.orders:
            return 409
        self.orders += 1
        if order["operation"] == "unload":
            self.adapters.pop(adapter, None)
            return 200
        self.adapters[adapter] = 1
        return 202

    async def _send_json(self, writer, status, answer):
        text = json.dumps(answer).encode()
        writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
        await writer.drain()

    async def _generate(self, writer, headers, method, path):
        request_id, adapter = headers.get("x-request-id", ""), headers.get("x-model", "").partition("/")[2]
        if headers.get("x-expect-instance", self.name) != self.name or (adapter and adapter not in self.adapters):
            await self._send(writer, 421, request_id, b"", "")
            return
        if self.records_runs:
            self.record.write(f"{self.name} runs {request_id} {method} {path}")
        writer.write(f"HTTP/1.1 200 X\r\nX-Request-Id: {request_id}\r\nX-Instance-Id: {self.name}\r\nX-Response-Seal: {request_id}\r\n"
                     f"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(1, 6):
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
