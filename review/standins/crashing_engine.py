"""A model worker that one part of a prompt crashes when it begins to write an answer; it is back, empty, after some seconds."""
import asyncio
import json
import socket
import struct
import time

from engine import LOAD_S, MODEL, Engine

BACK_S = 2.0          # From the crash to the next start.
HEARTBEAT_S = 1.2
SILENCE_S = 3.6       # After three check-in intervals of silence, the platform removes the entry.
MODEL_LOAD_S = 0.6


class CrashingEngine(Engine):
    """One start of a worker."""

    def __init__(self, deployment, name, service, zone, crashing_part, number=1, address=None, holds_model=True):
        super().__init__(deployment, f"{name}-{number}", service, zone, {})
        self.base_name, self.number, self.crashing_part = name, number, crashing_part
        self.address = address or self.address
        self.has_model, self.is_loading_model = holds_model, False
        self.writers, self.has_crashed = set(), False
        self.read_s, self.event_s = 0.2, 0.05

    def models(self):
        return super().models() if self.has_model else []

    async def start(self):
        await super().start()
        self.deployment.tasks.append(asyncio.create_task(self.check_in()))

    async def check_in(self):
        while not self.has_crashed:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.has_crashed:
                await self.deployment.store.put("servers", self.name, self.entry())

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        try:
            await super()._connection(reader, writer)
        finally:
            self.writers.discard(writer)

    def order(self, order):
        if order.get("adapter") is not None or order["operation"] != "load":
            if not self.has_model:
                return 409 if self.is_loading_model else 400
            return super().order(order)
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        if self.has_model:
            return 200
        if self.is_loading_model or order.get("expected_rev", self.orders) != self.orders:
            return 409
        self.orders, self.is_loading_model = self.orders + 1, True
        asyncio.get_running_loop().create_task(self.load_model())
        return 202

    async def load_model(self):
        await asyncio.sleep(MODEL_LOAD_S)
        self.is_loading_model, self.has_model = False, True
        if not self.has_crashed:
            await self.deployment.store.put("servers", self.name, self.entry())

    async def run(self, writer, headers):
        request_id = headers.get("x-request-id", "")
        adapter = headers.get("x-model", "").partition("/")[2]
        if self.has_model and adapter in self.adapters:
            self.deployment.begun.append((time.monotonic(), request_id))
            self.deployment.record(f"{self.name} begins {request_id}")
            await asyncio.sleep(self.read_s)
            if self.crashing_part in headers.get("x-prompt-prefix", ""):
                self.deployment.record(f"{self.name} crashes under {request_id}")
                await self.crash()
                raise ConnectionResetError
        await super().run(writer, headers)

    async def crash(self):
        if self.has_crashed:
            return
        self.has_crashed = True
        self.deployment.crashes.append(time.monotonic())
        self.listener.close()
        for writer in list(self.writers):
            connection = writer.get_extra_info("socket")
            if connection is not None and not writer.transport.is_closing():
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        self.deployment.tasks.append(asyncio.create_task(self.come_back()))

    async def come_back(self):
        await asyncio.sleep(BACK_S)
        following = CrashingEngine(self.deployment, self.base_name, self.service, self.zone, self.crashing_part, self.number + 1,
                                   self.address, holds_model=False)
        await following.start()
        self.deployment.record(f"{following.name} has started, empty")
        await asyncio.sleep(SILENCE_S - BACK_S)
        await self.deployment.store.remove("servers", self.name)
