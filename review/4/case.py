"""A daemon restarts between the departure of its upstream and a late heartbeat of that upstream."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import mesh as m  # noqa: E402

LATE_S = 2.8  # The last heartbeat arrives this much late.
DRAIN_S = 2.0
STABILITY_S = 3.0
SERVES_ON_S = 12.0  # "at times many seconds"


class LeavingUpstream(m.Upstream):
    """Ends without reporting `draining`: it sends DELETE first and serves on."""

    async def leave(self, mesh):
        self.sequence += 1
        body = self.beat_body(self.sequence, "ready")
        self.record.add(f"{self.name}: heartbeat {self.sequence} (ready) is sent and delayed by {LATE_S} s")
        mesh.spawn(self.deliver_late(body))
        await asyncio.sleep(0.1)
        status = await self.call_control("DELETE", b'{"born": %d}' % self.born)
        self.record.add(f"{self.name}: DELETE is answered {status}")
        if status != 200:
            raise m.CaseError("the departure was not acknowledged")

    async def deliver_late(self, body):
        await asyncio.sleep(LATE_S)
        status = await self.call_control("PUT", body)
        self.record.add(f"{self.name}: the late heartbeat is answered {status}")


async def case(record):
    async with m.Mesh(record) as mesh:
        upstreams = [LeavingUpstream(record, f"desk-{index}", "desk") for index in range(3)]
        beats = []
        for index, upstream in enumerate(upstreams):
            await mesh.add(f"host-{index}", "z1", upstream)
            beats.append(mesh.tasks[-1])
        mesh.store.put_config(m.config(1, {"safe": m.route("/safe/", "safe", "desk")}, ["desk"]))
        await mesh.wait_until_serving()
        leaving = upstreams[0]
        late_runs = []
        beats[0].cancel()
        await leaving.leave(mesh)
        acknowledged = record.now()
        await asyncio.sleep(0.5)
        restarted = acknowledged
        if m.TROUBLE:
            mesh.daemons[0].signal(signal.SIGKILL)
            mesh.daemons[0].process.wait()
            await asyncio.sleep(0.5)
            mesh.daemons[0].start()
            restarted = record.now()
        # From here on all machines are in touch, and `drain` after the acknowledgement has passed.
        judged_from = max(acknowledged + DRAIN_S, restarted + STABILITY_S)
        number = 0
        while record.now() < acknowledged + SERVES_ON_S:
            for daemon in mesh.daemons[1:]:
                request_id = f"r{number}"
                number += 1
                sent = record.now()
                answer = await m.request(daemon.outbound, "GET", "/safe/x", m.client_headers(request_id, 2000))
                status = answer.status if answer else None
                record.add(f"client at {daemon.name}: {request_id} sent at {sent:.3f}, answered {status}")
                if request_id in leaving.runs and sent > judged_from:
                    late_runs.append(request_id)
            await asyncio.sleep(0.02)
        summary = (f"departure acknowledged at {acknowledged:.3f}, judged from {judged_from:.3f}: {number} "
                   f"requests sent, {len(late_runs)} of them reached the upstream that had left")
        record.add(summary)
        print(summary)
        return len(late_runs) > 0


if __name__ == "__main__":
    m.main(FOLDER, case)
