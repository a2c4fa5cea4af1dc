"""A relay on loopback whose connections can be delayed, reset, cut one way or silenced."""
import asyncio


class Relay:
    """Passes connections on to another address."""

    def __init__(self, target):
        self.target = target
        self.delay_s = 0.0
        self.is_silent_out = False  # Nothing from callers arrives any more.
        self.is_silent_back = False
        self.refuses = False
        self.pairs = set()

    async def serve(self, address):
        host, port = address.split(":")
        return await asyncio.start_server(self._connection, host, int(port))

    def reset(self):
        for writer in list(self.pairs):
            writer.transport.abort()

    def heal(self):
        was_silent = self.is_silent_out or self.is_silent_back
        self.delay_s, self.is_silent_out, self.is_silent_back, self.refuses = 0.0, False, False, False
        if was_silent:
            self.reset()  # Bytes that were swallowed would be missing within a connection.

    async def _connection(self, reader, writer):
        if self.refuses:
            writer.transport.abort()
            return
        host, port = self.target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.pairs |= {writer, far_writer}
        try:
            await asyncio.gather(self._pump(reader, far_writer, lambda: self.is_silent_out),
                                 self._pump(far_reader, writer, lambda: self.is_silent_back))
        except asyncio.CancelledError:
            pass  # The soak is over.
        finally:
            self.pairs -= {writer, far_writer}

    async def _pump(self, reader, writer, is_silent):
        try:
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if not is_silent():
                    writer.write(data)
                    await writer.drain()
            writer.transport.close()
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
