"""A simulation of the platform's metadata store by its published protocol: revisions, watches and conditional writes."""
import asyncio
import copy
import json
import re
import urllib.parse

MAX_HISTORY_EVENTS = 400
MAX_PAGE_ITEMS, MAX_PAGE_BYTES = 3, 1_000_000  # Few items, so that most lists have several pages.
TARGET = re.compile(rb"/(?:[!$&-;=?-Z_a-z~@]|%[0-9A-Fa-f]{2})*")  # RFC 3986, without a fragment.


class BadRequest(Exception):
    """A request line that is no HTTP/1.1."""


def split_request_line(line):
    """Returns the method and the target."""
    words = line.split(b" ")
    if len(words) != 3 or words[2] != b"HTTP/1.1" or not TARGET.fullmatch(words[1]):
        raise BadRequest(line)
    return words[0].decode(), words[1].decode()


def encode(answer):
    return json.dumps(answer, ensure_ascii=False).encode("utf-8", "surrogateescape")


class Store:
    """Objects by kind and name. The soak injects faults by setting attributes."""

    def __init__(self):
        self.era = 1
        self.revision = 10
        self.objects = {}
        self.events = []
        self.oldest_revision = 10
        self.changed = asyncio.Condition()
        self.fault_mode = None       # None, "busy", "silent" or "reset"
        self.response_delay_s = 0.0
        self.unanswered_writes = 0   # This many writes are applied without a response.
        self.late_write_delay = None # A function of a write's name and spec: the delay in seconds of a write that takes effect late.
        self.late_writes = set()
        self.raw_values = {}         # JSON text that replaces a string in responses, for what json.dumps() can't write.
        self.calls = 0
        self.max_page_items = MAX_PAGE_ITEMS
        self.repeats_first_page = False  # Lists get their first page again and again.

    async def put(self, kind, name, spec):
        """Writes an object unconditionally. Returns its revision."""
        self.revision += 1
        old = self.objects.get((kind, name))
        item = {"metadata": {"name": name, "revision": self.revision,
                             "create_rev": old["metadata"]["create_rev"] if old else self.revision}, "spec": spec, "status": {}}
        self.objects[kind, name] = item
        await self._publish(kind, item, False)
        return self.revision

    async def remove(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item:
            self.revision += 1
            await self._publish(kind, dict(item, metadata=dict(item["metadata"], revision=self.revision)), True)

    async def compact(self):
        """Drops all past events, so that watches from older revisions fail."""
        self.events.clear()
        self.oldest_revision = self.revision
        async with self.changed:
            self.changed.notify_all()

    def take_copy(self):
        return copy.deepcopy((self.revision, self.objects, self.events, self.oldest_revision))

    async def restore(self, copied):
        """Loses all that was written since a copy was taken. The revisions after it are given out again."""
        self.revision, self.objects, self.events, self.oldest_revision = copy.deepcopy(copied)
        self.era += 1
        async with self.changed:
            self.changed.notify_all()

    async def _publish(self, kind, item, removed):
        self.events.append((self.revision, kind, {"object": item, "removed": removed}))
        if len(self.events) > MAX_HISTORY_EVENTS:
            self.oldest_revision = self.events.pop(0)[0]
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, address):
        host, port = address.split(":")
        return await asyncio.start_server(self._connection, host, int(port))

    async def _connection(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                try:
                    method, target = split_request_line(head.split(b"\r\n")[0])
                except BadRequest:
                    writer.write(b"HTTP/1.1 400 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                    await writer.drain()
                    return
                length = next((int(line.split(b":")[1]) for line in head.split(b"\r\n")
                               if line.lower().startswith(b"content-length:")), 0)
                body = json.loads(await reader.readexactly(length)) if length else None
                self.calls += 1
                if self.fault_mode == "silent":
                    await asyncio.sleep(3600)
                if self.fault_mode == "reset":
                    return
                await asyncio.sleep(self.response_delay_s)
                if method in ("PUT", "POST") and self.late_write_delay:
                    delay = self.late_write_delay(body["metadata"]["name"], body["spec"])
                    if delay is not None:
                        self._write_late(delay, method, target, body)
                        await asyncio.sleep(3600)
                status, answer = (503, {}) if self.fault_mode == "busy" else await self._handle(method, target, body)
                if method in ("PUT", "POST") and status == 200 and self.unanswered_writes > 0:
                    self.unanswered_writes -= 1
                    await asyncio.sleep(3600)
                text = encode(answer)
                for placeholder, raw in self.raw_values.items():
                    text = text.replace(f'"{placeholder}"'.encode(), raw.encode())
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: %d\r\nContent-Length: %d\r\n\r\n"
                             % (status, self.era, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    def _write_late(self, delay, method, target, body):
        """Carries out a write after its caller has given up, if its condition holds then."""
        async def write():
            await asyncio.sleep(delay)
            await self._handle(method, target, body)
        task = asyncio.create_task(write())
        self.late_writes.add(task)
        task.add_done_callback(self.late_writes.discard)

    async def _handle(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        # Names may be any bytes; those that are no UTF-8 become surrogates.
        parts = [urllib.parse.unquote(part, errors="surrogateescape") for part in url.path.strip("/").split("/")[1:]]
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True, errors="surrogateescape"))
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)) / 1000)
        if method == "GET" and name is None:
            return 200, self._page(kind, query.get("after", ""))
        name = name or body["metadata"]["name"]
        current = self.objects.get((kind, name))
        if method == "GET":
            return (200, current) if current else (404, {})
        if method == "DELETE":
            await self.remove(kind, name)
            return (200, {}) if current else (404, {})
        if method == "POST" and current:
            return 409, current
        expected = body["metadata"].get("revision")
        if method == "PUT" and (not current or expected not in (None, current["metadata"]["revision"])):
            return (409, current) if current else (404, {})
        await self.put(kind, name, body["spec"])
        return 200, self.objects[kind, name]

    def _page(self, kind, after):
        """Lists the objects whose names come after one, up to the limits of a page. A page has one object at least."""
        if self.repeats_first_page:
            after = ""
        remaining = [item for (k, name), item in sorted(self.objects.items()) if k == kind and (not after or name > after)]
        items, size = [], 0
        for item in remaining[:self.max_page_items]:
            size += len(encode(item))
            if items and size > MAX_PAGE_BYTES:
                break
            items.append(item)
        return {"items": items, "more_pages": len(items) < len(remaining), "as_of": self.revision}

    async def _watch(self, kind, revision, wait):
        end = asyncio.get_running_loop().time() + wait
        while True:
            if not self.oldest_revision <= revision <= self.revision:
                return 410, {}
            pending = [event for number, k, event in self.events if k == kind and number > revision]
            remaining = end - asyncio.get_running_loop().time()
            if pending or remaining <= 0:
                return 200, {"events": pending, "as_of": self.revision}
            try:
                # Not wait_for(), which swallows a cancellation that coincides with a change.
                async with asyncio.timeout(remaining), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                pass
