#!/usr/bin/env python3
"""Scenarios in which servers announce their leaving, or ask for a pause, in their responses to running gateways."""
import asyncio
import unittest

from scenario import Scenario
from soak import LEAVING_LIMIT_S

GATEWAYS = 4
CALLERS = 16


class ServerNotices(Scenario):
    def run_scenario(self, scenario):
        self.make_soak(GATEWAYS, 31000)

        async def run():
            callers = [asyncio.create_task(self.soak.run_caller(i)) for i in range(CALLERS)]
            await asyncio.sleep(2.0)
            await scenario(next(s for s in self.soak.servers.values() if s.service == "plain"))
            self.soak.is_over = True
            await asyncio.gather(*callers)
        self.run_soak(run)
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
