"""A stand-in of a plain worker by PROTOCOL.md."""
import asyncio
import threading
import socket
import time


class Worker:
    def __init__(self, deployment, name, service, zone, work_s=0.03):
        self.deployment, self.name, self.service, self.zone, self.work_s = deployment, name, service, zone, work_s
        self.address = f"{deployment.new_ip()}:8080"
        self.born = int(time.time() * 1000)
        self.sequence, self.runs, self.running = 0, [], 0
        self.answer = None  # A coroutine that answers a request in another way: (writer, request id, headers, body) -> bool.

    def entry(self, state="ready"):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 64, "state": state,
                "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born}

    async def start(self):
        host, port = self.address.split(":")
        self.listener = await asyncio.start_server(self._connection, host, int(port))
        self.deployment.listeners.append(self.listener)
        await self.deployment.store.put("servers", self.name, self.entry())

    async def _connection(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                method, path, _ = head[0].split(" ")
                headers = {k.lower(): v.strip() for k, v in (line.split(":", 1) for line in head[1:] if ":" in line)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if headers.get("x-expect-instance", self.name) != self.name:
                    self._write(writer, 421, headers, b"", [f"X-Instance-Id: {self.name}"])
                    continue
                request_id = headers.get("x-request-id", "")
                self.runs.append((time.monotonic(), request_id, method, path))
                self.deployment.record(f"{self.name} runs {request_id} {method} {path}")
                if self.answer and await self.answer(writer, request_id, headers, body):
                    return
                self.running += 1
                try:
                    await asyncio.sleep(self.work_s)
                finally:
                    self.running -= 1
                self._write(writer, 200, headers, f"{self.name} ran {request_id}".encode(), [f"X-Response-Seal: {request_id}"])
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    @staticmethod
    def _write(writer, status, headers, body, extra):
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *extra]
        if "x-request-id" in headers:
            lines.append(f"X-Request-Id: {headers['x-request-id']}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


async def send_without_end(writer, head, piece, bytes_per_s):
    """Sends a head and then bytes until the caller closes. Returns how many bytes were sent."""
    writer.write(head)
    sent, begin = 0, time.monotonic()
    try:
        while True:
            writer.write(piece)
            await writer.drain()
            sent += len(piece)
            ahead = sent / bytes_per_s - (time.monotonic() - begin)
            if ahead > 0:
                await asyncio.sleep(ahead)
    except (ConnectionError, OSError):
        return sent
