#!/usr/bin/env python3
"""Scenarios in which gateway processes start and stop in series while callers keep using their open connections."""
import asyncio
import itertools
import signal
import time
import unittest

from scenario import Scenario
from soak import GRACE_S

GATEWAYS = 3
CALLERS = 24
ROUNDS = 2
LATE_S = 2.3       # After a stop began; requests that can end in time are still accepted.
LATE_WORK_S = 3.5  # How long a server works on them.


class StartsAndStops(Scenario):
    request_numbers = itertools.count()

    def run_scenario(self, scenario):
        self.make_soak(GATEWAYS, 24000)

        async def run():
            watch = asyncio.create_task(self.soak.watch_processes())
            await asyncio.sleep(2.0)
            await scenario()
            self.soak.is_over = True
            await watch
        self.run_soak(run)
        self.assertEqual([], self.soak.observations.violations)

    def make_request(self, index):
        request_id = f"keep-{index}-{next(self.request_numbers)}"
        self.soak.observations.requests[request_id] = ("unsafe", "/book/x", b"x")
        self.soak.observations.entries[request_id] = (index, time.monotonic())
        return request_id, (f"POST /book/x HTTP/1.1\r\nHost: soak\r\nX-Request-Id: {request_id}\r\nX-Deadline-Ms: 4000\r\n"
                            "Content-Length: 1\r\n\r\nx").encode()

    async def keep_connection(self, index, outcomes):
        """Sends requests on one connection for as long as the process keeps it, and opens another one after that."""
        while not self.soak.is_over:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.soak.port + 100 + index)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            is_kept = False  # The first request of a connection may meet a listener that is about to close.
            while not self.soak.is_over:
                request_id, request = self.make_request(index)
                try:
                    async with asyncio.timeout(5.0):
                        status, headers, _ = await self.soak.send_and_receive(reader, writer, request)
                except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
                    has_run = request_id in self.soak.observations.runs
                    outcomes["lost" if has_run else "crossed" if is_kept else "refused"] += 1
                    if has_run:
                        self.soak.observations.violations.append(f"{request_id} was passed on and got no answer: {error!r}")
                    break
                outcomes[status] = outcomes.get(status, 0) + 1
                is_kept = True
                if headers.get("connection", "").lower() == "close":
                    break
                await asyncio.sleep(0.02)
            writer.transport.abort()

    async def stop(self, index):
        """Stops a gateway as planned. Returns how long it took; one that outlasts its grace is killed, as on the platform."""
        process = self.soak.processes[self.soak.gateway_name(index)]
        self.soak.expected_ends.add(self.soak.gateway_name(index))
        began = time.monotonic()
        process.send_signal(signal.SIGTERM)
        while process.poll() is None and time.monotonic() < began + GRACE_S:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            self.soak.observations.violations.append(f"{self.soak.gateway_name(index)} still ran {GRACE_S} s after SIGTERM")
            process.kill()
        process.wait()
        return time.monotonic() - began

    async def ask_late(self, index):
        await asyncio.sleep(LATE_S)
        request_id, request = self.make_request(index)
        status, _, _ = await self.soak.request_once(self.soak.port + 100 + index, request, 5.0)
        if status != 200:
            self.soak.observations.violations.append(f"{request_id} of a stopping gateway got {status}")

    # Processes that still waited for the store were killed at the end of their grace, with the requests that they served.
    def test_stop_while_the_store_is_silent(self):
        async def scenario():
            for server in self.soak.servers.values():
                server.work_s = LATE_WORK_S
            self.soak.store.fault_mode = "silent"
            await asyncio.sleep(0.5)
            await asyncio.gather(*(self.stop(index) for index in range(GATEWAYS)), *(self.ask_late(index) for index in range(GATEWAYS)))
        self.run_scenario(scenario)

    # A process that was started before its predecessor had ended found its addresses in use, and ended at once.
    def test_start_before_the_former_process_has_ended(self):
        async def scenario():
            former = self.soak.processes[self.soak.gateway_name(0)]
            former.send_signal(signal.SIGTERM)
            self.soak.start_gateway(0)
            await asyncio.to_thread(former.wait)
            await self.soak.wait_ready(0)
        self.run_scenario(scenario)

    def test_restarts_in_series_beside_kept_connections(self):
        outcomes = {"lost": 0, "crossed": 0, "refused": 0}

        async def scenario():
            callers = [asyncio.create_task(self.keep_connection(i % GATEWAYS, outcomes)) for i in range(CALLERS)]
            for _ in range(ROUNDS):
                for index in range(GATEWAYS):
                    await self.stop(index)
                    self.soak.start_gateway(index)
                    await self.soak.wait_ready(index)
            self.soak.is_over = True
            await asyncio.gather(*callers)
        self.run_scenario(scenario)
        print(f"restarts in series: {outcomes}", flush=True)
        self.assertGreater(outcomes.get(200, 0), 0)


if __name__ == "__main__":
    unittest.main()
