#!/usr/bin/env python3
"""Tests of the soak's checks: each must report a violation of the guarantee that it covers."""
import asyncio
import pathlib
import time
import unittest

from server import ADAPTER_SLOTS, Server
from soak import Observations, Soak


class Checks(unittest.TestCase):
    def setUp(self):
        self.observations = Observations()
        self.observations.requests = {"a": ("unsafe", "/book/x", b"a"), "b": ("safe", "/read/x", b"")}

    def assert_broken(self, text):
        self.assertTrue(any(text in violation for violation in self.observations.violations), self.observations.violations)

    def test_second_run_of_an_unsafe_request(self):
        self.observations.record_run("a", "s1", "plain", "/book/x", b"a")
        self.assertEqual([], self.observations.violations)
        self.observations.record_run("a", "s2", "plain", "/book/x", b"a")
        self.assert_broken("ran twice")

    def test_safe_request_may_run_twice(self):
        for server in ("s1", "s2"):
            self.observations.record_run("b", server, "plain", "/read/x", b"")
        self.assertEqual([], self.observations.violations)

    def test_request_that_nobody_sent_or_with_another_body(self):
        self.observations.record_run("c", "s1", "plain", "/read/x", b"")
        self.assert_broken("which nobody sent")
        self.observations.record_run("a", "s1", "plain", "/book/x", b"other")
        self.assert_broken("another path or body")

    def test_two_holders_with_one_token(self):
        self.observations.orders = [("s1", 1, "g1", 3, 0.0), ("s1", 1, "g2", 4, 0.0), ("s1", 2, "g2", 3, 0.0)]
        self.observations.check_fencing()
        self.assertEqual([], self.observations.violations)
        self.observations.orders.append(("s1", 1, "g2", 3, 0.0))
        self.observations.check_fencing()
        self.assert_broken("with token 3")

    def make_soak(self):
        soak = Soak(1, 1, 0, pathlib.Path("."), ".")
        soak.observations = self.observations
        return soak

    def test_foreign_and_partial_responses(self):
        own = b"".join(f"id: {n}\ndata: a\n\n".encode() for n in range(1, 9))
        self.make_soak().check_response("stream", "a", 200, {"x-response-seal": "a"}, own)
        self.assertEqual([], self.observations.violations)
        self.make_soak().check_response("stream", "a", 200, {"x-response-seal": "a"}, own[:-14])
        self.make_soak().check_response("unsafe", "a", 200, {"x-response-seal": "b"}, b"s1 ran b 1")
        self.assertEqual(2, len(self.observations.violations))

    def test_refusal_of_what_has_run(self):
        self.make_soak().check_refusal("a", 503)
        self.assertEqual([], self.observations.violations)
        self.observations.runs["a"] = ["s1"]
        self.make_soak().check_refusal("a", 503)
        self.assert_broken("refused with 503")

    def test_cut_by_a_planned_stop(self):
        soak = self.make_soak()
        now = time.monotonic()
        soak.stop_times["gateway-0"] = now
        soak.check_interruption("unsafe", "a", 0, now - 1, ConnectionResetError())
        self.assertEqual([], self.observations.violations)
        self.observations.runs["a"] = ["s1"]
        soak.check_interruption("unsafe", "a", 0, now - 1, ConnectionResetError())
        self.assert_broken("cut by the planned stop")

    def test_load_beyond_the_slots(self):
        async def order_loads():
            server = Server("s1", "engine", True, self.observations)
            for number in range(ADAPTER_SLOTS + 1):
                await server._handle_order({"operation": "load", "model": "base", "adapter": f"a{number}", "holder": "g1", "fence": 1,
                                     "expected_rev": number})
        asyncio.run(order_loads())
        self.assert_broken("more adapters than it has slots")

    def test_work_for_a_leaving_server(self):
        class Writer:
            def write(self, data):
                pass

            async def drain(self):
                pass

        server = Server("s1", "plain", False, self.observations)
        server.leaving_since = time.monotonic() - self.observations.leaving_limit_s - 1
        asyncio.run(server._handle_request(Writer(), "GET", "/read/x", {"x-request-id": "b"}, b""))
        self.assert_broken("after it began to leave")


if __name__ == "__main__":
    unittest.main()
