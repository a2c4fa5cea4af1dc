#!/usr/bin/env python3
"""Callers that keep to no rule must neither end the gateway's process nor take more than its memory and descriptors.

One class for each form of traffic of docs/design/hard-load.md, part 3, and one test for each place: a path with a route, a path
without one, and the readiness address. Each test guards against a process that ends or grows beyond its memory."""
import asyncio
import unittest

from crowd import BODY_BYTES, CONNECTIONS, HEADER_BYTES, CrowdScenario, wait_for_end

WITHHELD = 300  # Bytes at the end of a body that is never completed.
SMALL_PIECE = 1400


def head_of(path, number, framing, method="POST"):
    return f"{method} {path} HTTP/1.1\r\nHost: soak\r\nX-Request-Id: c{number}\r\n{framing}\r\n\r\n".encode()


class AtEachPlace:
    """One test for each place. Forms that make no sense at a place say so."""

    crowd = 100

    def test_route(self):
        self.run_crowd("route", self.crowd, self.behave)

    def test_no_route(self):
        self.run_crowd("no_route", self.crowd, self.behave)

    def test_readiness(self):
        self.run_crowd("readiness", self.crowd, self.behave)


class WholeBodies(AtEachPlace, CrowdScenario):
    """Bodies of legal size that stop just short of their end."""

    size = BODY_BYTES

    async def behave(self, loop, connection, path, number):
        await loop.sock_sendall(connection, head_of(path, number, f"Content-Length: {self.size}") + b"x" * (self.size - WITHHELD))
        await wait_for_end(loop, connection)


class MiddleBodies(WholeBodies):
    """The same with bodies that are small enough for many to be held at once."""

    crowd, size = CONNECTIONS, 60_000


class SmallPieces(AtEachPlace, CrowdScenario):
    """Bodies of legal size in small pieces."""

    size = 200_000

    async def behave(self, loop, connection, path, number):
        await loop.sock_sendall(connection, head_of(path, number, f"Content-Length: {self.size}"))
        for _ in range((self.size - WITHHELD) // SMALL_PIECE):
            await loop.sock_sendall(connection, b"x" * SMALL_PIECE)
            await asyncio.sleep(0.002)
        await wait_for_end(loop, connection)


class Chunks(AtEachPlace, CrowdScenario):
    """Bodies of legal size in chunks, without the last one."""

    async def behave(self, loop, connection, path, number):
        await loop.sock_sendall(connection, head_of(path, number, "Transfer-Encoding: chunked"))
        chunk = b"400\r\n" + b"x" * 1024 + b"\r\n"
        for _ in range(BODY_BYTES // (64 * 1024)):
            await loop.sock_sendall(connection, chunk * 63)
        await wait_for_end(loop, connection)


class TooLargeBodies(AtEachPlace, CrowdScenario):
    """Bodies far over the limit, some announced and some in chunks."""

    async def behave(self, loop, connection, path, number):
        is_announced = number % 2 == 0
        await loop.sock_sendall(connection, head_of(
            path, number, "Content-Length: 1000000000" if is_announced else "Transfer-Encoding: chunked"))
        block = b"x" * 65536 if is_announced else b"10000\r\n" + b"x" * 65536 + b"\r\n"
        while True:
            await loop.sock_sendall(connection, block)
            await asyncio.sleep(0)


class ManyFields(AtEachPlace, CrowdScenario):
    """Heads of legal size with very many short fields, and without their end."""

    crowd = CONNECTIONS

    async def behave(self, loop, connection, path, number):
        head = head_of(path, number, "a: b")[:-2]
        await loop.sock_sendall(connection, head + b"a:b\r\n" * 3000)
        await wait_for_end(loop, connection)


class ManyFieldsOfBodies(AtEachPlace, CrowdScenario):
    """Complete heads of very many short fields, before a body that does not end."""

    crowd = CONNECTIONS

    async def behave(self, loop, connection, path, number):
        head = head_of(path, number, "Content-Length: 1000")[:-2]
        await loop.sock_sendall(connection, head + b"a:b\r\n" * 3000 + b"\r\n" + b"x" * 900)
        await wait_for_end(loop, connection)


class Pipelined(AtEachPlace, CrowdScenario):
    """Requests in quick succession on one connection, whose responses are not read."""

    crowd = CONNECTIONS

    async def behave(self, loop, connection, path, number):
        for _ in range(50):
            await loop.sock_sendall(connection, head_of(path, number, "a: b", "GET") * 100)
        await asyncio.sleep(60)


class SlowSenders(AtEachPlace, CrowdScenario):
    """Connections that say nothing, trickle their head, or stop in it or in their body."""

    crowd = CONNECTIONS

    async def behave(self, loop, connection, path, number):
        form = number % 4
        if form == 1:
            for byte in head_of(path, number, "a: " + "x" * (HEADER_BYTES // 2)):
                await loop.sock_sendall(connection, bytes([byte]))
                await asyncio.sleep(0.05)
        if form == 2:
            await loop.sock_sendall(connection, head_of(path, number, "a: " + "x" * (HEADER_BYTES - 200))[:-4])
        if form == 3:
            await loop.sock_sendall(connection, head_of(path, number, "Content-Length: 16000") + b"x" * 15900)
        await wait_for_end(loop, connection)


class SlowReaders(AtEachPlace, CrowdScenario):
    """Callers that read their responses byte by byte. The responses are large where there is a route."""

    PLACES = CrowdScenario.PLACES | {"route": "/read/large"}

    async def behave(self, loop, connection, path, number):
        await loop.sock_sendall(connection, head_of(path, number, "a: b", "GET") * 20)
        while await loop.sock_recv(connection, 1):
            await asyncio.sleep(0.1)


class SlowStreamReaders(CrowdScenario):
    """Callers that do not read a stream. Only a path with a route gives streams."""

    PLACES = CrowdScenario.PLACES | {"route": "/book/stream"}

    def test_route(self):
        async def behave(loop, connection, path, number):
            await loop.sock_sendall(connection, head_of(path, number, "Content-Length: 0"))
            while await loop.sock_recv(connection, 1):
                await asyncio.sleep(0.1)
        self.run_crowd("route", 100, behave)


class Calm(CrowdScenario):
    """A single request of the largest legal size. Only a path with a route serves one."""

    def test_largest_request(self):
        async def scenario(_path, _port):
            status, _, body = await self.send_ordinary(b"x" * BODY_BYTES, b"X-Large: " + b"x" * (HEADER_BYTES - 250) + b"\r\n")
            self.assertEqual((200, True), (status, str(BODY_BYTES).encode() in body), body[:200])
        self.run_scenario("route", scenario)


if __name__ == "__main__":
    unittest.main()
