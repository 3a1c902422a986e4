"""An upstream in trouble sends answers whose body has no end."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import mesh as m  # noqa: E402

UPSTREAMS, FAULTY = 3, 1
SLOTS = 12
TROUBLE_S = 6.0
TIMEOUT_MS, DEADLINE_MS = 2500, 5000  # of `place-order`
CLIENTS = 30  # on the machine whose upstream is in trouble


class FloodUpstream(m.Upstream):
    """Heartbeats come from this process, answers from a process of their own."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.process = None
        self.open = set()  # requests whose endless answer is still being taken

    async def start(self, port=0):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, str(FOLDER.parent / "standins" / "flood_upstream.py"), self.id,
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE)
        self.port = int(await self.process.stdout.readline())

    async def follow(self):
        while line := (await self.process.stdout.readline()).decode().strip():
            self.record.add(f"{self.name}: {line}")
            word, request_id = line.split(" ")
            if word == "endless":
                self.open.add(request_id)
            if word == "closed":
                self.open.discard(request_id)

    def set_faulty(self, faulty):
        self.record.add(f"{self.name}: answers without an end {'begin' if faulty else 'stop'}")
        self.process.stdin.write(b"on\n" if faulty else b"off\n")

    def close(self):
        if self.process.returncode is None:
            self.process.kill()


async def case(record):
    async with m.Mesh(record) as mesh:
        faulty = [FloodUpstream(record, f"desk-{index}", "desk", slots=SLOTS) for index in range(FAULTY)]
        sound = [m.Upstream(record, f"desk-{index}", "desk", slots=SLOTS, work_s=0.25)
                 for index in range(FAULTY, UPSTREAMS)]
        for index, upstream in enumerate(faulty + sound):
            await mesh.add(f"host-{index}", f"z{index % 2}", upstream)
        for upstream in faulty:
            mesh.spawn(upstream.follow())
        mesh.store.put_config(m.config(1, {
            "safe": m.route("/safe/", "safe", "desk"),
            "order": m.route("/order/", "unsafe", "desk", TIMEOUT_MS, 800)}, ["desk"]))
        await mesh.wait_until_serving()
        durations = []

        async def client(name, daemon, end):
            number = 0
            while record.now() < end:
                request_id = f"{name}-{number}"
                number += 1
                sent = record.now()
                try:
                    answer = await asyncio.wait_for(
                        m.request(daemon.outbound, "POST", "/order/x", m.client_headers(request_id, DEADLINE_MS),
                                  b"one roll"), DEADLINE_MS / 1000)
                    status = answer.status if answer else "closed"
                except (asyncio.TimeoutError, TimeoutError):
                    status = "none at the client's deadline"
                durations.append(record.now() - sent)
                record.add(f"{request_id}: sent at {sent:.3f}, answer {status}")
                await asyncio.sleep(0.1)

        end = record.now() + 1.0 + TROUBLE_S
        clients = [asyncio.ensure_future(client(f"{daemon.name}-c{index}", daemon, end))
                   for daemon in mesh.daemons[:FAULTY] for index in range(CLIENTS)]
        await asyncio.sleep(1.0)
        if m.TROUBLE:
            for upstream in faulty:
                upstream.set_faulty(True)
            await asyncio.sleep(TROUBLE_S)
            for upstream in faulty:
                upstream.set_faulty(False)
        await asyncio.gather(*clients)
        await asyncio.sleep(5.0)
        used = mesh.daemons[0].processor_s()
        await asyncio.sleep(5.0)
        used = mesh.daemons[0].processor_s() - used
        timeout = TIMEOUT_MS / 1000
        long = [duration for duration in durations if duration > timeout]
        late = [duration for duration in durations if duration > timeout + 0.5]
        summary = (f"{len(durations)} requests; {len(long)} unanswered at the route's timeout, {len(late)} still "
                   f"0.5 s later; 10 s after the last client left, {sum(len(each.open) for each in faulty)} "
                   f"requests are still open at their upstream, and the daemon uses {used / 5.0:.2f} cores")
        record.add(summary)
        print(summary)
        return len(late) >= 8 and len(late) > len(long) / 4


if __name__ == "__main__":
    m.main(FOLDER, case)
