"""The platform's store answers nothing for 8 s; the configuration changes when it is back."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import mesh as m  # noqa: E402

SILENCE_S = 8.0
CONFIG_S = 2.0  # bound `config`
STABILITY_S = 3.0  # bound `stability`
PROBE_GAP_S = 0.05


def document(version, with_old_route):
    routes = {"kept": m.route("/kept/", "safe", "desk")}
    if with_old_route:
        routes["dropped"] = m.route("/dropped/", "safe", "desk")
    return m.config(version, routes, ["desk"])


async def case(record):
    async with m.Mesh(record) as mesh:
        upstreams = [m.Upstream(record, f"desk-{index}", "desk", work_s=0.005) for index in range(4)]
        for index, upstream in enumerate(upstreams):
            await mesh.add(f"host-{index}", f"z{index % 2}", upstream)
        mesh.store.put_config(document(1, True))
        await mesh.wait_until_serving("/kept/x")
        mesh.store.put_config(document(2, True))
        await asyncio.sleep(1.0)
        if m.TROUBLE:
            mesh.store.silent = True
        await asyncio.sleep(SILENCE_S)
        if m.TROUBLE:
            mesh.store.silent = False
        back = record.now()
        await asyncio.sleep(0.3)
        mesh.store.put_config(document(3, False))
        acknowledged = record.now()
        # The core is stable again, and the bound of the configuration has passed.
        judged_from = max(acknowledged + CONFIG_S, back + STABILITY_S)
        late = []
        number = 0
        while record.now() < judged_from + 6.0:
            for daemon in mesh.daemons:
                request_id = f"r{number}"
                number += 1
                sent = record.now()
                answer = await m.request(daemon.outbound, "GET", "/dropped/x", m.client_headers(request_id, 2000))
                status = answer.status if answer else None
                record.add(f"{daemon.name}: {request_id} on the dropped route, sent {sent:.3f}: {status}")
                if sent > judged_from and any(request_id in upstream.runs for upstream in upstreams):
                    late.append(sent - acknowledged)
            await asyncio.sleep(PROBE_GAP_S)
        summary = (f"version 3 acknowledged at {acknowledged:.3f}, judged from {judged_from:.3f}: "
                   f"{len(late)} requests ran on the dropped route, the last one sent "
                   f"{max(late, default=0):.3f} s after the acknowledgement")
        record.add(summary)
        print(summary)
        return len(late) > 0


if __name__ == "__main__":
    m.main(FOLDER, case)
