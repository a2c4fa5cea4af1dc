#!/usr/bin/env python3
"""Scenarios in which another writer leaves entries in the store that can't be used."""
import asyncio
import os
import pathlib
import tempfile
import unittest

from soak import ROOT, ZONES, Soak

GATEWAYS = 4
CALLERS = 24
DEPTH = 100_000


class OddEntries(unittest.TestCase):
    port = int(os.environ.get("LEDGE_PORT", "15000"))

    def run_scenario(self, put_entry):
        """Leaves an entry, and then checks that the gateways still run, serve, and follow the list of servers."""
        async def run():
            try:
                await self.soak.start()
                self.soak.store.raw_values = {"@nested@": "[" * DEPTH + "]" * DEPTH, "@1e999@": "1e999", "@30 digits@": "1" * 30}
                callers = [asyncio.create_task(self.soak.run_caller(i)) for i in range(CALLERS)]
                await put_entry()
                await asyncio.sleep(2.0)
                self.soak.processes["gateway-0"].kill()  # The next process lists the entry, the others watch it.
                self.soak.processes["gateway-0"].wait()
                self.soak.start_gateway(0)
                await self.soak.wait_ready(0)
                known = set(self.soak.servers)
                for zone in ZONES:
                    await self.soak.add_server("plain", zone)
                added = set(self.soak.servers) - known
                await asyncio.sleep(4.0)
                self.soak.is_over = True
                await asyncio.gather(*callers)
            finally:
                self.soak.is_over = True
                for listener in self.soak.listeners:
                    listener.close()
            ended = {name: process.poll() for name, process in self.soak.processes.items() if process.poll() is not None}
            self.assertEqual({}, ended, "gateways that ended by themselves")
            users = {self.soak.observations.entries[request][0] for request, names in self.soak.observations.runs.items()
                     if request in self.soak.observations.entries and added & set(names)}
            self.assertEqual(set(range(GATEWAYS)), users, "gateways that use the servers that were added")
        self.folder = tempfile.TemporaryDirectory(prefix="odd-entries-")
        build = pathlib.Path(os.environ.get("LEDGE_BUILD", str(ROOT / "build")))
        self.soak = Soak(1, GATEWAYS, OddEntries.port, build, self.folder.name)
        OddEntries.port += 1000
        try:
            asyncio.run(run())
        finally:
            self.soak.kill_gateways()
            self.folder.cleanup()
        self.assertEqual([], self.soak.observations.violations)

    def check_server_entry(self, **fields):
        async def put_entry():
            entry = next(iter(self.soak.servers.values())).entry("127.0.0.1:1")
            await self.soak.store.put("servers", "odd", entry | fields)
        self.run_scenario(put_entry)

    def test_deeply_nested_entry(self):
        self.check_server_entry(models="@nested@")

    def test_number_too_large(self):
        self.check_server_entry(slots="@1e999@")

    def test_number_with_thirty_digits(self):
        self.check_server_entry(slots="@30 digits@", born="@30 digits@")

    def test_port_out_of_range(self):
        self.check_server_entry(address="127.0.0.1:99999")

    def test_odd_records_and_versions(self):
        async def put_entries():
            for number, value in enumerate(("@nested@", "@1e999@", {"instance": "odd", "peer_address": "127.0.0.1:99999"},
                                            {"instance": "odd-2", "peer_address": "nowhere", "data_centre": "north-1"})):
                await self.soak.store.put("lovageledge", f"gateway.odd-{number}", value)
                await self.soak.store.put("versions", f"base.odd-{number}", value)
        self.run_scenario(put_entries)


if __name__ == "__main__":
    unittest.main()
