"""A part of prompts crashes each worker that begins to write an answer on it. It stands behind 33 sound parts."""
import asyncio
import os
import pathlib
import socket
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
from deployment import Deployment, head_of, read_answer, route, run_case  # noqa: E402
from engine import MODEL, Engine, engine_service  # noqa: E402

PLACE = int(os.environ.get("PLACE", "33"))  # How many sound parts stand before the one that crashes.
BAD, SOUND = "badc0de1", [f"{0xa000 + number:x}" for number in range(33)]
WORKERS, BACK_AFTER_S, EXPIRY_S = 12, 2.0, 3.6
STABILITY_S, DECIDING_CRASH, LEAST = 4.0, 5, 20
BAD_PER_S, SOUND_PER_S, CALM_S, RUN_S = 1.0, 15.0, 6.0, 40.0
DEADLINE_MS = 6000


def prefix(request_id, is_bad):
    parts = SOUND[:PLACE] + [BAD] + SOUND[PLACE:] if is_bad else list(SOUND)
    return ",".join(f"{part}:40" for part in [*parts, f"{abs(hash(request_id)) % (1 << 32):x}"])


class CrashingEngine(Engine):
    """Ends when it begins to write an answer to a request with the part."""

    def __init__(self, *arguments, **settings):
        super().__init__(*arguments, **settings)
        self.writers, self.on_crash, self.may_crash, self.begun, self.has_ended = set(), None, True, None, False

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        try:
            await super()._connection(reader, writer)
        finally:
            self.writers.discard(writer)

    async def _generate(self, writer, headers, method, path):
        parts = [part.rpartition(":")[0] for part in headers.get("x-prompt-prefix", "").split(",")]
        if headers.get("x-expect-instance", self.name) == self.name:
            self.begun.add(headers["x-request-id"])
        if headers.get("x-expect-instance", self.name) == self.name and BAD in parts[:-1]:
            self.record.write(f"{self.name} begins {headers['x-request-id']}, which has the part {BAD}")
            if self.may_crash and not self.has_ended:
                self.has_ended = True
                self.listener.close()
                for other in list(self.writers):
                    other.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                    other.transport.abort()
                self.on_crash(self)
                raise ConnectionResetError
        await super()._generate(writer, headers, method, path)


async def scenario(record, has_trouble):
    deployment = Deployment(record)
    try:
        await deployment.start_store()
        rule = route("/notes/", "writers", "streaming", DEADLINE_MS) | {"target_latency_ms": 1000, "sticky": True, "gap_aim_ms": 600}
        await deployment.configure(7, [rule], {"writers": 360}, [engine_service("writers")])
        begun, crashes, replacements, outcomes, sent = set(), [], [], {"sound": {}, "bad": {}}, []
        counter = iter(range(1000))

        async def add():
            engine = CrashingEngine(f"i-{next(counter):04}", "writers", record, channels=360)
            engine.begun, engine.on_crash, engine.may_crash = begun, on_crash, has_trouble
            await deployment.add_worker(engine)

        def on_crash(engine):
            crashes.append(time.monotonic())
            record.write(f"{engine.name} has crashed, the {len(crashes)}. of all")
            deployment.workers.pop(engine.name)

            async def replace():
                await asyncio.sleep(BACK_AFTER_S)
                await add()
                await asyncio.sleep(EXPIRY_S - BACK_AFTER_S)
                await deployment.store.remove("servers", engine.name)
            replacements.append(asyncio.create_task(replace()))

        for _ in range(WORKERS):
            await add()
        asyncio.create_task(deployment.check_in())
        gateways = await deployment.add_gateways(2)
        await asyncio.sleep(5.0)  # In touch, and the store stable.

        async def call(kind, number):
            request_id = f"{kind}-{number:04}"
            gateway = gateways[number % 2]
            extra = f"X-Model: {MODEL}\r\nX-Token-Usage: 1360,20\r\nX-Prompt-Prefix: {prefix(request_id, kind == 'bad')}\r\n"
            record.write(f"caller sends {request_id} to {gateway.name}")
            if kind == "sound":
                sent.append((time.monotonic(), request_id))
            try:
                reader, writer = await asyncio.open_connection(*gateway.front.split(":"))
                try:
                    writer.write(head_of("POST", "/notes/x", request_id, DEADLINE_MS, 4, extra) + b"text")
                    status, _, body = await asyncio.wait_for(read_answer(reader), DEADLINE_MS / 1000 + 1)
                    result = str(status) if status != 200 or body.count(b"id:") == 5 else "incomplete"
                finally:
                    writer.transport.abort()
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as problem:
                result = type(problem).__name__
            outcomes[kind][result] = outcomes[kind].get(result, 0) + 1
            record.write(f"caller gets {result} for {request_id}")

        async def calls(kind, per_s, length_s):
            tasks, began, number = [], time.monotonic(), 0
            while time.monotonic() - began < length_s:
                tasks.append(asyncio.create_task(call(kind, number)))
                number += 1
                await asyncio.sleep(1 / per_s)
            await asyncio.gather(*tasks)

        sounds = asyncio.create_task(calls("sound", SOUND_PER_S, CALM_S + RUN_S))
        await asyncio.sleep(CALM_S)
        first_bad = time.monotonic()
        await asyncio.gather(sounds, calls("bad", BAD_PER_S, RUN_S))
        # While such requests come, from 2 x stability_window_ms after the fifth crash (the last, if there are fewer).
        deciding = crashes[min(len(crashes), DECIDING_CRASH) - 1] if crashes else first_bad
        before = [name in begun for at, name in sent if at < first_bad]
        after = [name in begun for at, name in sent if at > deciding + 2 * STABILITY_S]
        is_enough = len(before) >= LEAST and len(after) >= LEAST
        shares = [sum(group) / max(1, len(group)) for group in (before, after)]
        summary = (f"{len(crashes)} workers crashed; sound requests that began: {sum(before)} of {len(before)} before, {sum(after)} of "
                   f"{len(after)} from {2 * STABILITY_S:.0f} s after the deciding crash on; outcomes {outcomes}")
        record.write(summary)
        print(f"{PLACE} parts before: {summary}")
        if not is_enough:
            raise RuntimeError("too few sound requests")
        return shares[1] < shares[0] / 2
    finally:
        deployment.close()


run_case(scenario, FOLDER)
