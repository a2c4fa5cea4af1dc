#!/usr/bin/env python3
"""Objects of another writer, under names of any characters, in lists of the store that are longer than one page.

Such an object names no server to use, and takes no other object from a list."""
import asyncio
import pathlib
import re
import sys
import unittest

from scenario import Scenario

GATEWAYS, REQUESTS = 2, 40
RECOVERY_S = 12.0  # After this time, the gateways must serve again.
LIST_S = 4.0  # Watches that wait have ended, and the kinds have been listed, after this time.
LOG_LINE = re.compile(rb"\d{4}-\d\d-\d\dT[\d:.]+Z \w+ [^\x00-\x1f\x7f]*$")
KINDS = ["servers", "versions", "lovageledge", "config"]
# Between the names of the engines and those of the plain servers, and before all others.
MIDDLE_NAMES = ["odd&x", "odd+x", "odd#x", "odd%x", "odd%41x", "odd x", "odd?x", "odd=x", "odd/x", 'odd"x', "odd\\x", "odd;x", "odd,x",
                "odd\tx", "odd\nx", "odd\r\nX-Y: z", "odd\0x", "odd\x7fx", "odd\u00e9x", "odd\u2028x", "odd\U0001f600x", "odd\udcffx",
                "odd&after=zzz", "odd&watch=1", "odd%00", "odd{}x", "odd..", "odd HTTP/1.1"]
FIRST_NAMES = ["&", "+", "#", "%", " ", "&x", "#x", "%zz", " x", "!"]


class OddNames(Scenario):
    def setUp(self):
        self.make_soak(GATEWAYS, 17000)

    async def restart_gateways(self):
        for index in range(GATEWAYS):
            process = self.soak.processes[self.soak.gateway_name(index)]
            process.kill()
            process.wait()
            self.log_path(index).unlink()
        for index in range(GATEWAYS):
            self.soak.start_gateway(index)
        for index in range(GATEWAYS):
            try:
                await self.soak.wait_ready(index, RECOVERY_S)
            except TimeoutError:
                pass  # Its requests show it.
        await asyncio.sleep(0.5)

    def log_path(self, index):
        return pathlib.Path(self.folder) / f"{self.soak.gateway_name(index)}.log"

    def malformed_log_lines(self, index):
        return [line for line in self.log_path(index).read_bytes().splitlines() if not LOG_LINE.match(line)]

    def listed_servers(self, index):
        text = self.log_path(index).read_text(errors="replace")
        return set(re.findall(r"backend_listed server=(\S+) service=", text))

    async def send_request(self, number):
        """Returns True if the request was served."""
        request_id, body = f"odd-{self.sent}", b""
        self.sent += 1
        is_stream = number % 2 == 0
        path = "/stream/x" if is_stream else "/read/x"
        self.soak.observations.requests[request_id] = ("safe", path, body)
        lines = [f"{'POST' if is_stream else 'GET'} {path} HTTP/1.1", "Host: soak", f"X-Request-Id: {request_id}",
                 "X-Deadline-Ms: 4000", "Content-Length: 0"]
        if is_stream:
            lines += ["X-Model: base/a1", "X-Token-Usage: 100,32", f"X-Prompt-Prefix: {request_id}:10"]
        gateway = number // 2 % GATEWAYS
        status, _, _ = await self.soak.request_once(self.soak.port + 100 + gateway, "\r\n".join(lines).encode() + b"\r\n\r\n", 5.0)
        return status == 200

    async def served(self):
        return sum(await asyncio.gather(*[self.send_request(number) for number in range(REQUESTS)]))

    async def check(self, kind, name, spec):
        """Restarts all gateways beside an object. Returns what was lost by it, and the number of requests that were served."""
        await self.soak.store.put(kind, name, spec)
        await self.restart_gateways()
        served = await self.served()
        failures = [f"{served} of {REQUESTS} requests served"] if served < REQUESTS else []
        for index in range(GATEWAYS):
            missing = set(self.soak.servers) - self.listed_servers(index)
            if missing:
                failures.append(f"gateway {index} lacks {len(missing)} of {len(self.soak.servers)} servers")
            if lines := self.malformed_log_lines(index):
                failures.append(f"gateway {index} logged {len(lines)} malformed lines")
        await self.soak.store.remove(kind, name)
        return failures, served

    def run_names(self, kinds, names, is_copy_of_server=False):
        """Checks one name after the other. The object is a copy of a server's entry, or has nothing that the gateways know."""
        self.sent, failures, report = 0, [], []

        async def scenario():
            self.soak.store.max_page_items = 1  # Each object ends a page.
            await asyncio.sleep(2.0)
            await self.served()
            self.assertEqual(REQUESTS, await self.served(), "requests served before there is such an object")
            for kind in kinds:
                for name in names:
                    spec = {"note": "of another writer"}
                    if is_copy_of_server:
                        server = self.soak.servers[min(self.soak.servers)]
                        spec = server.entry(server.address)
                    lost, served = await self.check(kind, name, spec)
                    report.append(f"{kind} {name!r}: {100 * served // REQUESTS} % served; {'; '.join(lost) or 'nothing lost'}")
                    failures.extend(f"{kind}/{name!r}: {loss}" for loss in lost)
        self.run_soak(scenario)
        print("\n".join(report), file=sys.stderr)
        self.assertEqual([], failures)
        self.assertEqual([], self.soak.observations.violations)

    def test_names_between_servers(self):
        self.run_names(["servers"], MIDDLE_NAMES)

    def test_names_before_servers(self):
        self.run_names(["servers"], FIRST_NAMES)

    def test_entries_at_the_address_of_a_server(self):
        self.run_names(["servers"], ["odd\r\nX-Hold: 1", "odd\nX-Hold: 1", "odd\tx", "odd x", " odd", "odd,x"], is_copy_of_server=True)

    def test_other_kinds(self):
        self.run_names(KINDS[1:], ["&", "# x", "%zz", " x"])

    def test_servers_stay_in_use_while_lists_cannot_go_on(self):
        self.sent = 0

        async def scenario():
            self.soak.store.max_page_items = 1
            await asyncio.sleep(2.0)
            await self.served()
            self.soak.store.repeats_first_page = True
            await self.soak.store.compact()  # The gateways must list all kinds again.
            await asyncio.sleep(LIST_S)
            self.assertEqual(REQUESTS, await self.served(), "requests served while lists can't go on")
            self.soak.store.repeats_first_page = False
            await asyncio.sleep(LIST_S)
            self.assertEqual(REQUESTS, await self.served(), "requests served afterwards")
            for index in range(GATEWAYS):
                text = self.log_path(index).read_text()
                self.assertRegex(text, "dependency_lost .*a page of kind servers does not continue the list")
                self.assertRegex(text, "dependency_regained .*kind=servers")
        self.run_soak(scenario)
        self.assertEqual([], self.soak.observations.violations)


if __name__ == "__main__":
    unittest.main()
