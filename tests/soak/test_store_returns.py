#!/usr/bin/env python3
"""Scenarios in which the store returns from an older copy and has lost a succession that it had acknowledged."""
import asyncio
import time
import unittest

from scenario import Scenario

GATEWAYS = 6
ZONE = "north-1"
RECORD = f"orders.{ZONE}"
SUCCESSION_S = 8.0        # Until another gateway orders after the holder has ended.
LOST_WRITES = 200         # Beside the succession, so that the counter does not soon pass the lost revisions.
AWAY_S = 0.3


class ReturnScenario(Scenario):
    def run_scenario(self, scenario):
        self.make_soak(GATEWAYS, 29000)
        self.adapter, self.is_asking = 0, True

        async def run():
            tasks = [asyncio.create_task(self.ask_in_series(index)) for index in range(GATEWAYS)]
            tasks.append(asyncio.create_task(self.soak.refresh_entries()))
            try:
                await scenario()
            finally:
                self.is_asking, self.soak.is_over = False, True
                await asyncio.gather(*tasks)
        self.run_soak(run)
        history = self.soak.observations.history
        fences = sorted({(order.fence, order.holder) for order in history.orders if order.zone == ZONE})
        print(f"{self._testMethodName}: {len(history.orders)} orders, fences and holders of {ZONE}: {fences}", flush=True)
        self.assertEqual([], history.violations())

    async def ask_in_series(self, index):
        """Asks a gateway for one adapter after another, so that orders are due."""
        while self.is_asking:
            self.adapter += 1
            request_id = f"{index}-{self.adapter}"
            self.soak.observations.requests[request_id] = ("safe", "/stream/x", b"x")
            request = (f"POST /stream/x HTTP/1.1\r\nHost: soak\r\nX-Request-Id: {request_id}\r\nX-Deadline-Ms: 1000\r\n"
                       f"X-Model: base/a{self.adapter}\r\nContent-Length: 1\r\n\r\nx")
            await self.soak.request_once(self.soak.port + 100 + index, request.encode(), 1.5)
            await asyncio.sleep(0.1)

    async def wait_for_holder(self, former=None):
        end = time.monotonic() + SUCCESSION_S
        while (holder := self.soak.find_holder(ZONE)) in (None, former):
            self.assertLess(time.monotonic(), end, f"no gateway of {ZONE} orders within {SUCCESSION_S} s")
            await asyncio.sleep(0.05)
        return holder

    def end_gateway(self, index):
        """Ends a gateway. Returns a function that starts it again."""
        name, end_fault = self.soak.gateway_name(index), self.soak.begin_disturbance("kill", index)
        self.soak.expected_ends.add(name)
        self.soak.processes[name].kill()
        self.soak.processes[name].wait()

        def start_again():
            self.soak.start_gateway(index)
            end_fault(time.monotonic())
        return start_again

    async def play_return(self, is_lost):
        """Lets the store return after a succession, from a copy of before it if it is lost. Returns the successor."""
        first = await self.wait_for_holder()
        copied = self.soak.store.take_copy()
        start_again = self.end_gateway(first)
        second = await self.wait_for_holder(first)
        start_again()
        await self.soak.wait_ready(first)
        for number in range(LOST_WRITES):
            await self.soak.store.put("notes", str(number % 4), {"number": number})
        end_fault = self.soak.observations.history.begin("store", "store", time.monotonic())
        self.soak.store.fault_mode = "reset"
        await asyncio.sleep(AWAY_S)
        configuration = self.soak.store.objects["config", "main"]["spec"]
        await self.soak.store.restore(copied if is_lost else self.soak.store.take_copy())
        self.soak.store.fault_mode = None
        await self.soak.store.put("config", "main", configuration)
        for server in self.soak.servers.values():
            await self.soak.store.put("servers", server.name, server.entry(server.address))
        end_fault(time.monotonic())
        return second

    async def check_orders(self):
        """Orders must go on within the time of a succession after the return."""
        await asyncio.sleep(SUCCESSION_S)
        since = time.monotonic()
        await asyncio.sleep(4.0)
        orders = [order for order in self.soak.observations.history.orders if order.zone == ZONE and order.arrived_at > since]
        self.assertTrue(orders, f"no orders in {ZONE} between {SUCCESSION_S} and {SUCCESSION_S + 4.0} s after the return")

    async def end_successor(self, is_lost):
        second = await self.play_return(is_lost)
        await asyncio.sleep(1.3)
        self.end_gateway(second)
        await self.wait_for_holder(second)
        await asyncio.sleep(2.0)


class LostFence(ReturnScenario):
    # The next holder got the fence of the one whose succession was lost, or there was none.
    def test_fence_of_a_lost_succession_is_not_given_out_again(self):
        self.run_scenario(lambda: self.end_successor(is_lost=True))


class Lost(ReturnScenario):
    # The holder that the store does not know goes on, or has a successor.
    def test_orders_go_on_after_a_lost_succession(self):
        async def scenario():
            await self.play_return(is_lost=True)
            await self.check_orders()
        self.run_scenario(scenario)


class NothingLost(ReturnScenario):
    def test_orders_go_on_after_a_return_that_lost_nothing(self):
        async def scenario():
            await self.play_return(is_lost=False)
            await self.check_orders()
        self.run_scenario(scenario)

    def test_holder_that_ends_after_a_return_that_lost_nothing_has_a_successor(self):
        self.run_scenario(lambda: self.end_successor(is_lost=False))


if __name__ == "__main__":
    unittest.main()
