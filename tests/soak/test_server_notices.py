#!/usr/bin/env python3
"""Scenarios in which servers announce their leaving, or ask for a pause, in their responses to running gateways."""
import asyncio
import os
import pathlib
import tempfile
import unittest

from soak import LEAVING_LIMIT_S, ROOT, Soak

GATEWAYS = 4
CALLERS = 16


class ServerNotices(unittest.TestCase):
    port = int(os.environ.get("LEDGE_PORT", "31000"))

    def run_scenario(self, scenario):
        async def run():
            try:
                await self.soak.start()
                callers = [asyncio.create_task(self.soak.run_caller(i)) for i in range(CALLERS)]
                await asyncio.sleep(2.0)
                await scenario(next(s for s in self.soak.servers.values() if s.service == "plain"))
                self.soak.is_over = True
                await asyncio.gather(*callers)
            finally:
                for listener in self.soak.listeners:
                    listener.close()
        self.folder = tempfile.TemporaryDirectory(prefix="server-notices-")
        build = pathlib.Path(os.environ.get("LEDGE_BUILD", str(ROOT / "build")))
        self.soak = Soak(1, GATEWAYS, ServerNotices.port, build, self.folder.name)
        ServerNotices.port += 1000
        try:
            asyncio.run(run())
        finally:
            self.soak.kill_gateways()
            self.folder.cleanup()
        self.assertEqual([], self.soak.observations.violations)

    def test_leaving_that_the_store_does_not_tell(self):
        async def scenario(server):
            self.soak.store.fault_mode = "silent"
            self.soak.extend_fault_period(20)
            server.announces_leaving = True
            await asyncio.sleep(LEAVING_LIMIT_S + 4.0)
            self.assertTrue(server.leaving_told_at)
            self.soak.store.fault_mode = None
        self.run_scenario(scenario)

    def test_pause_that_a_server_asks_for(self):
        async def scenario(server):
            server.pause_s = 4.0
            await asyncio.sleep(4.0)
            server.pause_s = 0.0
            self.assertTrue(server.pauses)
            runs = sum(server.name in names for names in self.soak.observations.runs.values())
            await asyncio.sleep(4.0)
            self.assertGreater(sum(server.name in names for names in self.soak.observations.runs.values()), runs)
        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
