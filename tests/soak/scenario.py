"""Base of the tests that play a scenario with gateway processes. The logs of a test that fails are kept."""
import asyncio
import os
import pathlib
import shutil
import tempfile
import unittest

from soak import ROOT, Soak


class Scenario(unittest.TestCase):
    """One deployment for each test, at ports of its own."""

    next_port = 0

    def make_soak(self, gateways, first_port):
        port = Scenario.next_port = (Scenario.next_port or int(os.environ.get("LEDGE_PORT", first_port))) + 1000
        build = pathlib.Path(os.environ.get("LEDGE_BUILD", str(ROOT / "build")))
        self.folder = tempfile.mkdtemp(prefix=f"{type(self).__name__}-")
        self.soak = Soak(1, gateways, port - 1000, build, self.folder)

    def run_soak(self, scenario):
        """Starts the deployment and awaits the scenario."""
        async def run():
            try:
                await self.soak.start()
                await scenario()
            finally:
                self.soak.is_over = True
                # The gateways end first, so that the simulation's tasks get no more requests.
                self.soak.kill_gateways()
                for listener in self.soak.listeners:
                    listener.close()
        asyncio.run(run())

    def tearDown(self):
        result = self._outcome.result
        if any(test is self for test, _ in result.failures + result.errors):
            print(f"logs of {self.id()} in {self.folder}", flush=True)
        else:
            shutil.rmtree(self.folder)
