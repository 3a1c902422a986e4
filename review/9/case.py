"""An accepted version never comes into force: it has a route whose name has a capital letter.

TROUBLE=0: the same version with the name in small letters.
"""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
import mesh2 as m  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONFIG_S = 2.0  # `config` of the site
NAME = "Place-Order" if TROUBLE else "place-order"


async def case(record, folder):
    port = m.free_ports([f"127.20.0.{n}" for n in (1, 2)], 8)
    store = m.Store(record)
    await store.start()
    zones = ["za", "zb"]
    hosts = [m.Host(record, folder, n + 1, zones[n], ["desk", "room"][n], port, store.address, zones) for n in range(2)]
    upstreams = [m.Upstream(record, f"{h.service}-1", h.service) for h in hosts]
    services = ["desk", "room"]
    await store.write("keyed.op", "config", m.configuration(1, {"stock": m.route("/stock/", "safe", "desk")}, services))
    try:
        for host, upstream in zip(hosts, upstreams):
            await upstream.start(host)
            host.start()
        for host, upstream in zip(hosts, upstreams):
            await m.eventually(host.readiness, 10, "the daemons answer")
            upstream.start_beating()

        async def all_ready():
            return all([await host.readiness() == 200 for host in hosts])

        await m.eventually(all_ready, 20, "all daemons are ready")
        await asyncio.sleep(5)
        wrong = []
        number = 0

        async def ask(host, path, expected):
            nonlocal number
            number += 1
            request_id = f"r{number:04d}"
            status, _, body = await m.call(
                host.outbound, "GET", path, {"Boragehollow-Request-Id": request_id, "Boragehollow-Deadline-Ms": "2000"},
            )
            record(f"client: {path} by {host.name} -> {status} {body.decode('latin-1')[:40]}")
            if expected and not (status == 200 and body.decode().startswith(expected)):
                wrong.append((request_id, path, status))

        for host in hosts:
            await ask(host, "/stock/x", "desk-1 ran")
        if wrong:
            raise m.CannotRun("version 1 is not served")
        # Moves a route to another service and adds one; the store has accepted it when `write` returns.
        routes = {"stock": m.route("/stock/", "safe", "room"), NAME: m.route("/order/", "unsafe", "desk")}
        await store.write("keyed.op", "config", m.configuration(5, routes, services))
        record(f"operator: version 5 moves /stock/ to room and adds /order/ under the name {NAME}")
        await asyncio.sleep(CONFIG_S + 0.1)
        for _ in range(20):
            for host in hosts:
                await ask(host, "/stock/x", "room-1 ran")
                await ask(host, "/order/x", "desk-1 ran")
            await asyncio.sleep(0.4)
        record(f"handled as only version 1 allows: {len(wrong)} of 80; {wrong[:4]}")
        for line in hosts[0].log_text().splitlines():
            if "config_" in line:
                record(f"log of {hosts[0].name}: {line}")
        return not wrong
    finally:
        for upstream in upstreams:
            upstream.stop_beating()
        for host in hosts:
            host.stop()


sys.exit(m.run(FOLDER, case))
