"""A TCP relay on loopback that can delay, reset, refuse or silently drop the traffic of its connections."""
import asyncio
import socket
import struct


def reset_connection(writer):
    """Closes a connection with a TCP reset, so that its end can't be taken for the end of a response."""
    connection = writer.get_extra_info("socket")
    if connection is not None and not writer.transport.is_closing():
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Relay:
    """Forwards connections to another address."""

    def __init__(self, target):
        self.target = target
        self.delay_s = 0.0
        self.drops_requests = False   # Discards bytes from the connecting side to the target.
        self.drops_responses = False  # Discards bytes from the target.
        self.rejects_connections = False
        self.silence_trigger = None   # A function of request bytes: the connection that they belong to falls silent if true.
        self.writers = set()

    async def serve(self, address):
        host, port = address.split(":")
        return await asyncio.start_server(self._connection, host, int(port))

    def reset(self):
        for writer in list(self.writers):
            reset_connection(writer)

    def clear_faults(self):
        dropped_bytes = self.drops_requests or self.drops_responses
        self.delay_s, self.drops_requests, self.drops_responses, self.rejects_connections = 0.0, False, False, False
        if dropped_bytes:
            self.reset()  # Open connections lack the bytes that were dropped.

    async def _connection(self, reader, writer):
        if self.rejects_connections:
            writer.transport.abort()
            return
        host, port = self.target.split(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        silent = []

        def drops_request(data):
            if self.silence_trigger and self.silence_trigger(data):
                silent.append(True)
            return self.drops_requests or silent
        try:
            await asyncio.gather(self._pump(reader, target_writer, drops_request),
                                 self._pump(target_reader, writer, lambda _: self.drops_responses or silent))
        except asyncio.CancelledError:
            pass  # The soak has ended.
        finally:
            self.writers -= {writer, target_writer}

    async def _pump(self, reader, writer, is_silent):
        has_dropped = False
        try:
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if is_silent(data):
                    has_dropped = True
                else:
                    writer.write(data)
                    await writer.drain()
            while has_dropped and not writer.transport.is_closing():
                await asyncio.sleep(0.05)  # The end can't arrive before the bytes that were dropped; the fault's end resets.
            writer.transport.close()
        except (OSError, asyncio.CancelledError):
            reset_connection(writer)
