#!/usr/bin/env python3
"""Scenarios in which a former holder of an order domain must not give orders beside its successor."""
import asyncio
import os
import pathlib
import signal
import tempfile
import time
import unittest

from order_history import DISTURBANCE_S
from soak import ROOT, Soak

ZONE = "north-1"
RECORD = f"orders.{ZONE}"
TAKEOVER_LIMIT_S = 8.0


class TwoHolders(unittest.TestCase):
    port = int(os.environ.get("LEDGE_PORT", "28000"))

    def run_scenario(self, scenario):
        async def run():
            try:
                await self.start()
                await scenario()
            finally:
                self.soak.is_over = True
                for listener in self.soak.listeners:
                    listener.close()
        self.folder = tempfile.TemporaryDirectory(prefix="two-holders-")
        build = pathlib.Path(os.environ.get("LEDGE_BUILD", str(ROOT / "build")))
        self.soak = Soak(1, 6, TwoHolders.port, build, self.folder.name)
        TwoHolders.port += 1000
        try:
            asyncio.run(run())
        finally:
            self.soak.kill_gateways()
            self.folder.cleanup()
        self.assertEqual([], self.soak.observations.history.violations())

    async def start(self):
        await self.soak.start()
        self.adapter = 0
        for _ in range(4):
            await self.request_adapters(range(6))
            if self.soak.find_holder(ZONE) is not None:
                break
        self.holder = self.soak.find_holder(ZONE)
        self.assertIsNotNone(self.holder, "no order reached a server")
        self.peers = [i for i in range(6) if self.soak.gateway_zone(i) == ZONE and i != self.holder]

    async def request_adapters(self, gateways):
        """Sends each gateway a request for another adapter, so that orders are due."""
        await asyncio.gather(*(self.request_adapter(index) for index in gateways))

    async def request_adapter(self, index):
        self.adapter += 1
        request_id = f"{index}-{self.adapter}"
        self.soak.observations.requests[request_id] = ("safe", "/stream/x", b"x")
        request = (f"POST /stream/x HTTP/1.1\r\nHost: soak\r\nX-Request-Id: {request_id}\r\nX-Deadline-Ms: 1000\r\n"
                   f"X-Model: base/a{self.adapter}\r\nContent-Length: 1\r\n\r\nx")
        await self.soak.request_once(self.soak.port + 100 + index, request.encode(), 1.5)

    async def wait_until(self, condition, limit=TAKEOVER_LIMIT_S):
        end = time.monotonic() + limit
        while not condition() and time.monotonic() < end:
            await asyncio.sleep(0.02)
        self.assertTrue(condition())

    def record_holder(self):
        return next(o["spec"]["holder"] for (_, name), o in self.soak.store.objects.items() if name == RECORD)

    async def pause_holder_until(self, condition):
        end_pause = self.soak.begin_disturbance("pause", self.holder)
        process = self.soak.processes[self.soak.gateway_name(self.holder)]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(2.0)
        try:
            await self.wait_until(condition)
        finally:
            process.send_signal(signal.SIGCONT)
            end_pause(time.monotonic())

    def test_resumed_holder_that_does_not_hear_of_its_successor(self):
        self.run_scenario(self.resume_holder_that_is_cut_off)

    async def resume_holder_that_is_cut_off(self):
        name = self.soak.gateway_name(self.holder)
        relay = self.soak.relays[name]
        relay.drops_requests = relay.drops_responses = True
        end_cut = self.soak.begin_disturbance("link", self.holder)

        async def wait_for_orders_of_the_successor():
            await self.wait_until(lambda: self.record_holder() not in ("", name))
            while self.soak.find_holder(ZONE) == self.holder:
                await self.request_adapters(self.peers)
        successor = asyncio.create_task(wait_for_orders_of_the_successor())
        await self.pause_holder_until(successor.done)
        await successor
        await asyncio.sleep(1.0)
        for _ in range(3):
            await self.request_adapters([self.holder])
        relay.clear_faults()
        end_cut(time.monotonic())
        await self.request_adapters(self.peers + [self.holder])

    def test_claim_that_is_carried_out_late(self):
        self.run_scenario(self.carry_out_claim_late)

    async def carry_out_claim_late(self):
        name, claims = self.soak.gateway_name(self.holder), []

        def delay_claim(record, spec):
            if record != RECORD or spec["holder"] in ("", name):
                return None
            claims.append(spec["holder"])
            return DISTURBANCE_S + 1.0
        self.soak.store.late_write_delay = delay_claim
        await self.pause_holder_until(lambda: claims)
        end, requests = time.monotonic() + DISTURBANCE_S + 6.0, []
        while time.monotonic() < end:
            requests.append(asyncio.create_task(self.request_adapters(self.peers + [self.holder])))
            await asyncio.sleep(0.2)
        await asyncio.gather(*requests)


if __name__ == "__main__":
    unittest.main()
