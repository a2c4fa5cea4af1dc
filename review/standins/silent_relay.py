"""A relay on loopback whose open channels can fall silent for good, without a reset, while new ones work."""
import asyncio


class Relay:
    def __init__(self, target):
        self.target, self.channels = target, set()
        self.on_request = None  # Called with the bytes that go to the target, before they are passed on.

    async def serve(self, address):
        host, port = address.split(":")
        return await asyncio.start_server(self._connection, host, int(port))

    def silence_open_channels(self):
        """From now on, the channels that are open carry nothing in either direction, and aren't closed."""
        for channel in self.channels:
            channel["silent"] = True
        return len(self.channels)

    async def _connection(self, reader, writer):
        host, port = self.target.split(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        channel = {"silent": False}
        self.channels.add(id_holder := Channel(channel))
        try:
            await asyncio.gather(self._pump(reader, target_writer, channel, True), self._pump(target_reader, writer, channel, False))
        except asyncio.CancelledError:
            pass
        finally:
            self.channels.discard(id_holder)
            writer.transport.abort()
            target_writer.transport.abort()

    async def _pump(self, reader, writer, channel, is_request):
        try:
            while data := await reader.read(65536):
                if is_request and self.on_request and not channel["silent"]:
                    self.on_request(data)
                if not channel["silent"]:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if not channel["silent"]:
            writer.transport.close()


class Channel:
    """A hashable holder of a channel's state."""

    def __init__(self, state):
        self.state = state

    def __setitem__(self, key, value):
        self.state[key] = value
