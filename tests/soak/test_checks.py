#!/usr/bin/env python3
"""Seeded violations: each check of the soak must notice the promise that it stands for."""
import asyncio
import pathlib
import time
import unittest

from server import PLACES, Server
from soak import Soak, Truth


class Checks(unittest.TestCase):
    def setUp(self):
        self.truth = Truth()
        self.truth.kinds = {"a": ("unsafe", "/book/x", b"a"), "b": ("safe", "/read/x", b"")}

    def assert_broken(self, text):
        self.assertTrue(any(text in violation for violation in self.truth.violations), self.truth.violations)

    def test_second_run_of_what_may_run_once(self):
        self.truth.on_run("a", "s1", "plain", "/book/x", b"a")
        self.assertEqual([], self.truth.violations)
        self.truth.on_run("a", "s2", "plain", "/book/x", b"a")
        self.assert_broken("ran twice")

    def test_safe_request_may_run_twice(self):
        for server in ("s1", "s2"):
            self.truth.on_run("b", server, "plain", "/read/x", b"")
        self.assertEqual([], self.truth.violations)

    def test_request_that_nobody_sent_or_with_another_body(self):
        self.truth.on_run("c", "s1", "plain", "/read/x", b"")
        self.assert_broken("which nobody sent")
        self.truth.on_run("a", "s1", "plain", "/book/x", b"other")
        self.assert_broken("another path or body")

    def test_two_holders_with_one_token(self):
        self.truth.orders = [("s1", 1, "g1", 3, 0.0), ("s1", 1, "g2", 4, 0.0), ("s1", 2, "g2", 3, 0.0)]
        self.truth.check_holders()
        self.assertEqual([], self.truth.violations)
        self.truth.orders.append(("s1", 1, "g2", 3, 0.0))
        self.truth.check_holders()
        self.assert_broken("with token 3")

    def soak(self):
        soak = Soak(1, 1, 0, pathlib.Path("."), ".")
        soak.truth = self.truth
        return soak

    def test_foreign_and_partial_answers(self):
        own = b"".join(f"id: {n}\ndata: a\n\n".encode() for n in range(1, 9))
        self.soak().check_answer("stream", "a", 200, {"x-response-seal": "a"}, own)
        self.assertEqual([], self.truth.violations)
        self.soak().check_answer("stream", "a", 200, {"x-response-seal": "a"}, own[:-14])
        self.soak().check_answer("unsafe", "a", 200, {"x-response-seal": "b"}, b"s1 ran b 1")
        self.assertEqual(2, len(self.truth.violations))

    def test_refusal_of_what_has_run(self):
        self.soak().check_refusal("a", 503)
        self.assertEqual([], self.truth.violations)
        self.truth.runs["a"] = ["s1"]
        self.soak().check_refusal("a", 503)
        self.assert_broken("refused with 503")

    def test_cut_by_a_planned_stop(self):
        soak = self.soak()
        now = time.monotonic()
        soak.stopping["gateway-0"] = now
        soak.note_cut("unsafe", "a", 0, now - 1, ConnectionResetError())
        self.assertEqual([], self.truth.violations)
        self.truth.runs["a"] = ["s1"]
        soak.note_cut("unsafe", "a", 0, now - 1, ConnectionResetError())
        self.assert_broken("cut by the planned stop")

    def test_load_beyond_the_places(self):
        async def order_loads():
            server = Server("s1", "engine", True, self.truth)
            for number in range(PLACES + 1):
                await server._order({"operation": "load", "model": "base", "adapter": f"a{number}", "holder": "g1", "fence": 1,
                                     "expected_rev": number})
        asyncio.run(order_loads())
        self.assert_broken("more than it has places for")

    def test_work_for_a_server_that_leaves(self):
        class Writer:
            def write(self, data):
                pass

            async def drain(self):
                pass

        server = Server("s1", "plain", False, self.truth)
        server.acknowledged_leaving = time.monotonic() - self.truth.leaving_limit_s - 1
        asyncio.run(server._run(Writer(), "GET", "/read/x", {"x-request-id": "b"}, b""))
        self.assert_broken("after it began to leave")


if __name__ == "__main__":
    unittest.main()
