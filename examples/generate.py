#!/usr/bin/env python3
"""Writes the sheets of the two example deployments with their full numbers of servers and adapters.

Engines listen on loopback. The output is the same on every run: adapters are assigned to pools by a generator that is seeded
with the deployment's name.
"""
import hashlib
import pathlib
import random

OUTPUT_FOLDER = pathlib.Path(__file__).resolve().parent


def sha256_hex(text):
    return hashlib.sha256(text.encode()).hexdigest()


def write_sheet(name, store, pools, regions, services, plain_services, adapter_count, first_engine_port):
    """Writes NAME.csv.

    store           (adapter loads per second, loads in flight) of the weight store
    pools           {name: (number of servers, fencing, share of the adapters)}
    regions         list of (region, data centre)
    services        list of (calling service, token, importance, targets separated by semicolons)
    plain_services  list of (name, address, repeatable)
    """
    lines = ["# kind, then the columns of docs/SHEET.md", f"store,{store[0]},{store[1]}"]
    port = first_engine_port
    for pool, (server_count, fencing, share) in pools.items():
        lines.append(f"pool,{pool},{'yes' if fencing else 'no'}")
    for pool, (server_count, fencing, share) in pools.items():
        for i in range(server_count):
            region, data_centre = regions[i % len(regions)]
            lines.append(f"server,{pool}-{i},{pool},{region},{data_centre},127.0.0.1:{port},16,16")
            port += 1
    generator = random.Random(name)
    for i in range(adapter_count):
        pool = generator.choices(list(pools), weights=[share for _, _, share in pools.values()])[0]
        lines.append(f"adapter,{name[:3]}-{i:05d},v1,{pool},/weights/{name[:3]}-{i:05d}/v1")
    for service, token, importance, targets in services:
        lines.append(f"service,{service},{sha256_hex(token)},{importance},{targets}")
    for plain_service, address, repeatable in plain_services:
        lines.append(f"plain,{plain_service},{address},{'yes' if repeatable else 'no'}")
    (OUTPUT_FOLDER / f"{name}.csv").write_text("\n".join(lines) + "\n")


write_sheet("sabarmati", (2, 8), {"lang-desk": (9, True, 9), "return-ops": (3, False, 3)},
            [("ahd", "ahd-1"), ("srt", "srt-1"), ("rjk", "rjk-1")],
            [("demo", "demo-token", 50, "*"), ("dispatch", "dispatch-token", 90, "lang-desk;return-ops"),
             ("contracts", "contracts-token", 20, "lang-desk"), ("pickup-app", "pickup-token", 100, "return-ops;pickups")],
            [("pickups", "127.0.0.1:20002", False), ("tray-counts", "127.0.0.1:20002", True)], 3000, 20400)
write_sheet("association", (4, 8), {"proof-writers": (18, True, 18), "order-desk": (3, False, 3)},
            [("east-mids", "leicester"), ("west-mids", "wolverhampton"), ("south-mids", "banbury")],
            [("demo", "demo-token", 50, "*"), ("counter", "counter-token", 100, "order-desk;orders;stock"),
             ("proofs", "proofs-token", 30, "proof-writers")],
            [("orders", "127.0.0.1:20002", False), ("stock", "127.0.0.1:20002", True)], 3000, 20400)
