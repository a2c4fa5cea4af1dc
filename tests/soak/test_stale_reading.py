#!/usr/bin/env python3
"""Scenarios in which a gateway's reading of the store is older than its connections to the other gateways suggest."""
import asyncio
import os
import pathlib
import tempfile
import unittest

from soak import CONFIGURATION_LIMIT_S, ROOT, Soak

GATEWAYS = 8
ZONE = "north-1"


class StaleReading(unittest.TestCase):
    port = int(os.environ.get("LEDGE_PORT", "18000"))

    def run_scenario(self, scenario):
        async def run():
            refresh = asyncio.create_task(self.soak.refresh_entries())
            try:
                await self.soak.start()
                callers = [asyncio.create_task(self.soak.run_caller(i)) for i in range(8)]
                await asyncio.sleep(5.0)
                await scenario()
                self.soak.is_over = True
                await asyncio.gather(refresh, *callers)
            finally:
                self.soak.is_over = True
                for listener in self.soak.listeners:
                    listener.close()
        self.folder = tempfile.TemporaryDirectory(prefix="stale-reading-")
        build = pathlib.Path(os.environ.get("LEDGE_BUILD", str(ROOT / "build")))
        self.soak = Soak(1, GATEWAYS, StaleReading.port, build, self.folder.name)
        StaleReading.port += 1000
        try:
            asyncio.run(run())
        finally:
            self.soak.kill_gateways()
            self.folder.cleanup()

    async def silence_next_watch(self, gateway, kind):
        """Silences the connection on which a gateway next watches a kind; its other and later connections are sound."""
        relay, silenced = self.soak.relays[self.soak.gateway_name(gateway)], asyncio.Event()

        def is_watch(data):
            found = f"/objects/{kind}?watch=".encode() in data and not silenced.is_set()
            if found:
                silenced.set()
            return found
        relay.silence_trigger = is_watch
        await asyncio.wait_for(silenced.wait(), 10.0)

    async def find_late_gateways(self, gateways):
        """Waits for the limit after a new configuration. Returns the gateways that do not know its route then."""
        await asyncio.sleep(CONFIGURATION_LIMIT_S)
        path, late = f"/version-{self.soak.version}/x", []
        for index in gateways:
            request_id = f"late-{self.soak.version}-{index}"
            self.soak.observations.requests[request_id] = ("safe", path, b"")
            request = f"GET {path} HTTP/1.1\r\nHost: soak\r\nX-Request-Id: {request_id}\r\nX-Deadline-Ms: 3000\r\n\r\n"
            status, _, _ = await self.soak.request_once(self.soak.port + 100 + index, request.encode(), 4.0)
            if status == 404:
                late.append(self.soak.gateway_name(index))
        return late

    def test_configuration_is_in_force_in_time_although_the_holders_watch_of_it_is_dead(self):
        async def scenario():
            holder = self.soak.find_holder(ZONE)
            self.assertIsNotNone(holder, "no order reached a server")
            followers = [i for i in range(GATEWAYS) if self.soak.gateway_zone(i) == ZONE and i != holder]
            await self.silence_next_watch(holder, "config")
            self.soak.extend_fault_period(CONFIGURATION_LIMIT_S)
            await self.soak.configure()
            self.assertEqual([], await self.find_late_gateways(followers))
        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
