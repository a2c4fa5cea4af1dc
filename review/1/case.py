"""Two versions of an adapter are named one after the other; nobody asks for the adapter in between."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from deployment import BOUNDS, Deployment, finish, with_trouble  # noqa: E402
from engine import Engine, configure_proofs, name_version, send_proof  # noqa: E402

ZONE = "leicester"
VERSION_S = BOUNDS["version_ms"] / 1000
LEFT_MS = 1500  # What a client has left of its deadline.

deployment = Deployment({ZONE: "east-mids"})


async def main():
    worker = Engine(deployment, "i-engine", "proof-writers", ZONE, {"a1": 1})
    await configure_proofs(deployment)
    await name_version(deployment, "a1", 1)
    await worker.start()
    await deployment.start([ZONE, ZONE])
    await asyncio.sleep(6.0)  # The machines are in touch, and version 1 is long acknowledged.
    second = await name_version(deployment, "a1", 2)
    await asyncio.sleep(8.0)
    if with_trouble():
        await name_version(deployment, "a1", 3)
        await asyncio.sleep(0.1)
    tasks, end, number = [], time.monotonic() + 5.0, 0
    while time.monotonic() < end:
        number += 1
        machine = deployment.machines[number % 2]
        tasks.append(asyncio.create_task(send_proof(deployment, machine, f"r{number}", "a1", LEFT_MS)))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    late = [(at - second, request) for at, request, _, version in worker.begins if version < 2 and at > second + VERSION_S]
    for seconds, request in late:
        deployment.record(f"VERSION: {request} began on version 1, {seconds:.2f} s after version 2 was acknowledged")
    print(f"{len(late)} of {len(worker.begins)} requests began on version 1 later than {VERSION_S} s after version 2 was acknowledged, "
          f"the last {max((s for s, _ in late), default=0):.2f} s after it")
    if not worker.begins:
        raise RuntimeError("no request ran")
    return not late

finish(deployment, main, pathlib.Path(__file__).with_name("record.txt"))
