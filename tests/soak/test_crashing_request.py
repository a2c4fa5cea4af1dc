#!/usr/bin/env python3
"""Scenarios in which a request ends each server that begins to run it and is sent again, each time to another gateway."""
import asyncio
import os
import pathlib
import tempfile
import time
import unittest

from soak import ROOT, Soak

GATEWAYS = 6
CRASH_LIMIT = 3        # Servers that may end under one request.
REPETITIONS = 14
PAUSE_S = 1.0          # Between two copies of the request; gateways tell each other of a crash within this time.
EXPIRY_S = 3.6         # The platform drops the entry of a server that has been silent for this long.
RECOVERY_S = 10.0      # After lost responses, a request is served again within this time.
MARK = b"crashing"


class CrashingRequest(unittest.TestCase):
    port = int(os.environ.get("LEDGE_PORT", "10000"))

    def run_scenario(self, scenario):
        async def run():
            try:
                await self.soak.start()
                for number in range(8):
                    await self.soak.add_server("engine" if number < 4 else "plain", ["north-1", "south-1"][number % 2])
                await asyncio.sleep(2.0)
                await scenario()
            finally:
                self.soak.is_over = True
                for listener in self.soak.listeners:
                    listener.close()
        self.folder = tempfile.TemporaryDirectory(prefix="crashing-request-")
        build = pathlib.Path(os.environ.get("LEDGE_BUILD", str(ROOT / "build")))
        self.soak, self.crashed, self.replacements = Soak(1, GATEWAYS, CrashingRequest.port, build, self.folder.name), [], []
        CrashingRequest.port += 1000
        try:
            asyncio.run(run())
        finally:
            self.soak.kill_gateways()
            self.folder.cleanup()

    async def replace(self, server):
        """Starts another server beside one that has ended, and lets the entry of the ended one expire."""
        self.crashed.append(server.name)
        server.relay_listener.close()
        self.soak.servers.pop(server.name, None)

        async def start_another():
            await asyncio.sleep(0.5)
            await self.soak.add_server(server.service, server.zone)
            self.arm()
            await asyncio.sleep(EXPIRY_S - 0.5)
            await self.soak.store.remove("servers", server.name)
        self.replacements.append(asyncio.create_task(start_another()))

    def arm(self):
        for server in self.soak.servers.values():
            server.crash_trigger, server.on_crash = self.trigger, self.replace

    async def send(self, gateway, method, path, body, headers=()):
        request_id = f"{time.monotonic_ns():x}"
        self.soak.observations.requests[request_id] = ("safe", path, body)
        lines = [f"{method} {path} HTTP/1.1", "Host: soak", f"X-Request-Id: {request_id}", "X-Deadline-Ms: 3000",
                 f"Content-Length: {len(body)}", *headers]
        return await self.soak.request_once(
            self.soak.port + 100 + gateway, "\r\n".join(lines).encode() + b"\r\n\r\n" + body, 4.0)

    async def send_repeatedly(self, method, path, body, headers=()):
        self.arm()
        for number in range(REPETITIONS):
            await self.send(number % GATEWAYS, method, path, body, headers)
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*self.replacements)

    def check_crashes(self, method, path, body, headers=()):
        self.trigger = lambda run_path, run_body: run_path == path and run_body == body
        self.run_scenario(lambda: self.send_repeatedly(method, path, body, headers))
        self.assertGreater(len(self.crashed), 0)
        self.assertLessEqual(len(self.crashed), CRASH_LIMIT, f"servers that ended: {self.crashed}")

    def test_request_that_may_run_once(self):
        self.check_crashes("POST", "/book/x", MARK)

    def test_request_that_is_retried(self):
        self.check_crashes("POST", "/read/x", MARK)

    def test_request_without_a_body(self):
        self.check_crashes("GET", "/read/crashing", b"")

    def test_stream_that_breaks_after_its_first_event(self):
        self.check_crashes("POST", "/stream/x", MARK, ["X-Model: base/a1", "X-Token-Usage: 100,32"])

    def test_lost_responses_are_not_taken_for_crashes_for_long(self):
        async def scenario():
            for server in self.soak.servers.values():
                server.responses_to_drop = 2 if server.service == "plain" else 0
            for number in range(2 * GATEWAYS):
                await self.send(number % GATEWAYS, "POST", "/read/x", b"sound")
            for server in self.soak.servers.values():
                server.responses_to_drop = 0
            await asyncio.sleep(RECOVERY_S)
            statuses = [(await self.send(number, "POST", "/read/x", b"sound"))[0] for number in range(GATEWAYS)]
            self.assertEqual([200] * GATEWAYS, statuses)
        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
