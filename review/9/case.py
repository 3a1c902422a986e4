"""An upstream that has left is in use again: its daemon acknowledged the DELETE while the store was down, and restarted.

TROUBLE=0: no outage of the store and no kill; the heartbeat still arrives late.
"""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
import mesh2 as m  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 2.0  # `drain` of the site
STABILITY_S = 3.0  # `stability` of the site
OUTAGE_S = 4.5  # largest `for_s` of platform_down (busy) in the site file
STAY_S = 14.0  # the upstream serves on after the acknowledgement; the site has scale_in (stay) with 15 s
LATE_S = 3.6  # the heartbeat arrives this long after it was sent


async def clients(hosts, record, sent):
    number = 0

    async def one(host, request_id):
        sent[request_id] = record.now()
        status, _, body = await m.call(
            host.outbound, "GET", "/safe/x", {"Boragehollow-Request-Id": request_id, "Boragehollow-Deadline-Ms": "3000"},
        )
        record(f"client: {request_id} by {host.name} -> {status} {body.decode('latin-1')[:40]}")

    tasks = set()
    try:
        while True:
            number += 1
            host = hosts[number % len(hosts)]
            task = asyncio.create_task(one(host, f"r{number:05d}"))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(0.04)
    finally:
        await asyncio.gather(*tasks, return_exceptions=True)


async def case(record, folder):
    addresses = [f"127.20.0.{n}" for n in (1, 2, 3)]
    port = m.free_ports(addresses, 8)
    store = m.Store(record)
    await store.start()
    zones = ["za", "zb", "zc"]
    hosts = [m.Host(record, folder, n + 1, zones[n], "desk", port, store.address, zones) for n in range(3)]
    upstreams = [m.Upstream(record, f"u{n + 1}", "desk") for n in range(3)]
    await store.write("keyed.op", "config", m.configuration(1, {"safe": m.route("/safe/", "safe", "desk")}, ["desk"]))
    traffic = None
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
        sent = {}
        traffic = asyncio.create_task(clients(hosts, record, sent))
        await m.eventually(lambda: all(len(u.runs) > 5 for u in upstreams), 20, "all upstreams get requests")
        await asyncio.sleep(4)

        # The last heartbeat before the upstream leaves; it arrives late.
        leaving, host = upstreams[0], hosts[0]
        if TROUBLE:
            await store.set_mode("busy")
        outage_began = record.now()
        leaving.stop_beating()
        late = leaving.beat()
        late_sent = record.now()
        record(f"u1: sends the heartbeat with sequence {leaving.sequence}; it is under way for {LATE_S} s")
        await asyncio.sleep(0.3)
        status = await leaving.leave()
        acknowledged = record.now()
        record(f"u1: DELETE -> {status}")
        if status != 200:
            raise m.CannotRun("the DELETE was not acknowledged")
        await asyncio.sleep(0.2)
        if TROUBLE:
            host.kill()
            await asyncio.sleep(0.6)
            host.start()
        restarted = record.now()
        await asyncio.sleep(max(0, late_sent + LATE_S - record.now()))
        record(f"u1: the late heartbeat arrives -> {await leaving.send_beat(late)}")
        await asyncio.sleep(max(0, outage_began + OUTAGE_S - record.now()))
        await store.set_mode("ok")
        returned = record.now()
        in_touch = max(returned, restarted) + STABILITY_S if TROUBLE else acknowledged
        await asyncio.sleep(max(0, acknowledged + STAY_S - record.now()))
        begin = max(in_touch, acknowledged + DRAIN_S)
        late_runs = [(at, request) for at, request in leaving.runs if sent.get(request, 0) >= begin]
        record(f"all daemons in touch from {in_touch:.3f}; drain ends at {acknowledged + DRAIN_S:.3f}")
        record(f"requests sent after both that reached u1: {len(late_runs)} {late_runs[:5]}")
        return not late_runs
    finally:
        if traffic:
            traffic.cancel()
            await asyncio.gather(traffic, return_exceptions=True)
        for upstream in upstreams:
            upstream.stop_beating()
        for host in hosts:
            host.stop()
            (FOLDER / f"{host.name}.log").write_text(host.log_text()) if os.environ.get("KEEP_LOGS") else None


sys.exit(m.run(FOLDER, case))
