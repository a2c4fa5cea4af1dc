#!/usr/bin/env python3
"""Tests of the soak's checks: each must report a violation of the guarantee that it covers."""
import asyncio
import pathlib
import subprocess
import sys
import time
import unittest

from crashing_part import CrashingPart
from order_history import Order, OrderHistory
from server import ADAPTER_SLOTS, Server
from soak import MEMORY_MB, VERSION_LIMIT_S, CrashingRequest, Observations, Soak
from store import Store


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

    def check_version(self, age_s, disturbed=None):
        server, now = Server("s1", "engine", True, self.observations), time.monotonic()
        server.adapters["a1"] = 1
        self.observations.named_versions["a1"] = [(2, now - age_s), (3, now - 0.1)]
        if disturbed:
            self.observations.history.begin("pause", disturbed, now - 1.0)(now - 0.5)
        server.check_version("a", 0, "a1")

    def test_outdated_version_is_reported_though_a_newer_one_was_just_named(self):
        self.check_version(VERSION_LIMIT_S + 0.5)
        self.assert_broken("on version 1 of a1")

    def test_outdated_version_is_allowed_within_the_limit_and_after_a_disturbance(self):
        self.check_version(VERSION_LIMIT_S - 0.5)
        self.check_version(VERSION_LIMIT_S + 0.5, "gateway-0")
        self.assertEqual([], self.observations.violations)

    def test_process_that_ends_by_itself_or_takes_too_much_memory(self):
        async def watch(is_expected):
            soak = Soak(1, 1, 0, ".", ".")
            soak.processes["gateway-0"] = subprocess.Popen(["true"])
            soak.processes["gateway-0"].wait()
            soak.expected_ends |= {"gateway-0"} if is_expected else set()
            task = asyncio.create_task(soak.watch_processes())
            await asyncio.sleep(0.25)
            soak.is_over = True
            await task
            return soak.observations.violations
        self.assertEqual([], asyncio.run(watch(True)))
        self.assertEqual(["gateway-0 ended by itself with 0"], asyncio.run(watch(False)))
        large = subprocess.Popen([sys.executable, "-c", f"held = bytearray({MEMORY_MB + 50} * 10 ** 6); print(1, flush=True); input()"],
                                 stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        large.stdout.readline()
        soak = Soak(1, 1, 0, ".", ".")
        soak.check_memory("gateway-0", large)
        large.communicate(b"\n")
        self.assertEqual([f"gateway-0 has taken more than {MEMORY_MB} MB of memory"], soak.observations.violations)

    def test_late_copies_of_a_request_that_crashed_three_servers(self):
        history, request = OrderHistory(), CrashingRequest("crash-0", "GET", "/read/x", b"", [])
        request.crashes = {"s1": 10.0, "s2": 11.0, "s3": 12.0, "s4": 17.0}
        request.arrivals = [(16.0, "g1")] * 5 + [(16.1, "g1")] * 3
        self.assertEqual([], request.violations(history))
        request.arrivals.append((20.0, "g2"))
        self.assertIn("reached servers 4 times", request.violations(history)[0])
        history.begin("kill", "g2", 15.0)(17.0)
        self.assertEqual([], request.violations(history))

    # A simulation whose tasks don't end keeps a test from returning.
    def test_late_requests_with_a_part_that_crashed_five_servers(self):
        history, part = OrderHistory(), CrashingPart("dead", "f0")
        part.crashes = {f"s{number}": float(number) for number in range(5)}
        part.arrivals = [(4.0 + after, "gateway-0") for after in (1.0, 3.9, 4.1, 5.0, 6.0)]
        self.assertEqual([], part.violations(history, {}))
        part.arrivals.append((11.0, "gateway-0"))
        self.assertIn("reached servers 4 times", part.violations(history, {})[0])
        history.begin("kill", "gateway-0", 9.0)(9.5)
        self.assertEqual([], part.violations(history, {}))

    def test_sound_requests_are_refused_with_a_part_that_crashes_servers(self):
        part = CrashingPart("dead", "f0")
        part.crashes, part.last_sent_at = {"s1": 10.0}, 60.0
        for number in range(40):
            part.record_sound(5.0 if number < 20 else 20.0, "gateway-0", True, number)
        self.assertEqual([], part.violations(OrderHistory(), range(30)))
        self.assertIn("9 ran", part.violations(OrderHistory(), range(29))[0])

    def test_cancelled_watch_ends_while_the_store_changes(self):
        async def cancel_after(turns):
            store = Store()
            watch = asyncio.create_task(store._watch("servers", store.revision, 30))
            await asyncio.sleep(0.01)
            async with store.changed:
                store.changed.notify_all()
            for _ in range(turns):
                await asyncio.sleep(0)
            watch.cancel()
            await asyncio.wait([watch], timeout=1.0)
            return watch.cancelled()
        for turns in range(6):
            self.assertTrue(asyncio.run(cancel_after(turns)), turns)

    def test_request_after_an_announced_leaving(self):
        server, now = Server("s1", "plain", False, self.observations), time.monotonic()
        server.leaving_told_at[0] = now - 10.0
        server.check_notices("a", 1, now)
        server.check_notices("a", 0, now - 6.5)
        self.assertEqual([], self.observations.violations)
        server.check_notices("a", 0, now)
        self.assert_broken("after the server had announced its leaving")

    def test_requests_in_a_pause(self):
        server, now = Server("s1", "plain", False, self.observations), time.monotonic()
        server.pauses[0] = [now - 1.0, now + 1.0, 0]
        for gateway in (0, 0, 1, 1, 1):
            server.check_notices("a", gateway, now)
        self.assertEqual([], self.observations.violations)
        server.check_notices("a", 0, now)
        self.assert_broken("in a pause")

    def order(self, at, holder, fence, server="s1", zone="north-1"):
        self.observations.history.orders.append(Order(at, holder, fence, server, 1, zone))

    def disturb(self, kind, gateway, start, end):
        self.observations.history.begin(kind, gateway, start)(end)

    def assert_orders_allowed(self):
        self.assertEqual([], self.observations.history.violations())

    def assert_orders_broken(self, text):
        found = self.observations.history.violations()
        self.assertTrue(any(text in violation for violation in found), found)

    def test_two_holders_with_one_fence(self):
        self.order(0.0, "g1", 3)
        self.order(9.0, "g2", 4)
        self.order(9.1, "g3", 3, "s5", "south-1")
        self.assert_orders_allowed()
        self.order(9.2, "g2", 3, "s2")
        self.assert_orders_broken("g2 and g1 gave orders in north-1 with fence 3")

    def test_lower_fence_at_another_server_of_the_zone(self):
        self.order(0.0, "g1", 3)
        self.order(9.0, "g2", 4, "s2")
        self.order(9.1, "g1", 2, "s5", "south-1")
        self.assert_orders_allowed()
        self.order(9.1, "g1", 3)
        self.assert_orders_broken("g1 gave an order to s1 with fence 3 0.10 s after one of g2 with fence 4")

    def test_lower_fence_after_a_pause(self):
        self.order(9.0, "g2", 4)
        self.disturb("pause", "g1", 6.0, 9.1)
        self.order(9.3, "g1", 3)
        self.assert_orders_allowed()
        self.order(9.5, "g1", 3)
        self.assert_orders_broken("0.50 s after one of g2")

    def test_lower_fence_from_a_released_link(self):
        self.order(9.0, "g2", 4, "s2")
        self.observations.history.link_releases.append(("s1", 9.1))
        self.order(9.2, "g1", 3)
        self.assert_orders_allowed()
        self.order(9.2, "g1", 3, "s2")
        self.assert_orders_broken("g1 gave an order to s2")

    def test_two_holders_in_turn_within_a_lease(self):
        self.order(0.0, "g1", 3)
        self.order(1.0, "g2", 4, "s2")
        self.order(3.1, "g2", 4)
        self.assert_orders_allowed()
        self.order(3.8, "g3", 5, "s2")
        self.assert_orders_broken("g3 (fence 5) gave an order to s2 2.80 s after g2 (fence 4)")

    def test_turn_after_a_fault_of_either_holder(self):
        for kind in ("pause", "kill", "restart", "link"):
            for holder, at in (("g1", 9.0), ("g2", 11.0)):
                self.observations.history = OrderHistory()
                self.order(9.0, "g1", 3)
                self.order(11.0, "g2", 4)
                self.assert_orders_broken("2.00 s after g1")
                self.disturb(kind, holder, at - 6, at - 3.9)
                self.assert_orders_allowed()
                self.observations.history.disturbances.clear()
                self.disturb(kind, holder, at - 6, at - 4.1)
                self.assert_orders_broken("2.00 s after g1")

    def test_turn_before_a_fault_of_the_first_holder(self):
        self.order(9.0, "g1", 3)
        self.disturb("kill", "g1", 9.1, 15.0)
        self.order(11.0, "g2", 4)
        self.assert_orders_broken("2.00 s after g1")

    def test_planned_handover(self):
        self.order(9.0, "g1", 3)
        self.disturb("stop", "g1", 9.1, 12.0)
        self.order(9.5, "g2", 4)
        self.assert_orders_allowed()
        self.order(9.6, "g1", 5)
        self.assert_orders_broken("0.50 s after g1")

    def test_planned_stop_of_the_successor(self):
        self.order(9.0, "g1", 3)
        self.disturb("stop", "g2", 9.1, 12.0)
        self.order(9.5, "g2", 4)
        self.assert_orders_broken("0.50 s after g1")

    def test_refused_order_is_recorded(self):
        async def order_loads():
            server = Server("s1", "engine", True, self.observations)
            for holder, fence in (("g2", 4), ("g1", 3)):
                await server._handle_order({"operation": "load", "model": "base", "holder": holder, "fence": fence})
        asyncio.run(order_loads())
        self.assert_orders_broken("g1 gave an order to s1 with fence 3")

    def test_late_write_needs_its_condition(self):
        async def write_late(changes_record):
            store = Store()
            revision = await store.put("records", "orders", {"holder": "g1"})
            store._write_late(0.01, "PUT", "/objects/records/orders",
                              {"metadata": {"name": "orders", "revision": revision}, "spec": {"holder": "g2"}})
            if changes_record:
                await store.put("records", "orders", {"holder": "g1"})
            await asyncio.gather(*store.late_writes)
            return store.objects["records", "orders"]["spec"]["holder"]
        self.assertEqual("g2", asyncio.run(write_late(False)))
        self.assertEqual("g1", asyncio.run(write_late(True)))

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
        soak.check_interruption("unsafe", "a", 0, now - 1, 4.0, ConnectionResetError())
        self.assertEqual([], self.observations.violations)
        self.observations.runs["a"] = ["s1"]
        soak.check_interruption("unsafe", "a", 0, now - 1, 4.0, ConnectionResetError())
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
