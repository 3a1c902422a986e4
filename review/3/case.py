"""SIGTERM while clients send safe requests one behind the other on kept connections (habit `pipeline`)."""

import asyncio
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import mesh as m  # noqa: E402

ROUNDS = 2
CLIENTS = 20  # on one machine; the site has 69 to 75 in a zone of four or five machines
ONE_WAY_S = 0.003  # a client of the site is 3 ms away from its daemon
GAP_S = 0.02
MAX_OPEN = 2  # requests of one client that are sent and not yet answered
WORK_S = (0.07, 0.21)  # of `job-sheet-read`: 140 ms, spread 0.5


class VariedUpstream(m.Upstream):
    async def answer(self, message, reader, writer):
        self.work_s = random.uniform(*WORK_S)
        await super().answer(message, reader, writer)


class Pipe:
    """A client on one kept connection that sends the next safe request before the last one is answered.

    Bytes take ONE_WAY_S in each direction. The client sends nothing more once it has read an answer with
    `Connection: close`.
    """

    def __init__(self, record, name, port):
        self.record = record
        self.name = name
        self.port = port
        self.sent = {}  # id -> time of sending, by the client
        self.answered = set()
        self.closing = False  # The client has read an answer with `Connection: close`.
        self.ended = False

    async def run(self, stop):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port, limit=2**22)
        read = asyncio.ensure_future(self.read(reader))
        number = 0
        while not stop.is_set() and not self.closing and not self.ended:
            if len(self.sent) - len(self.answered) < MAX_OPEN:
                request_id = f"{self.name}-{number}"
                number += 1
                self.sent[request_id] = self.record.now()
                asyncio.get_running_loop().call_later(
                    ONE_WAY_S, self.arrive, writer,
                    m.request_bytes("GET", "/safe/x", m.client_headers(request_id, 1200)), request_id)
            await asyncio.sleep(GAP_S)
        await asyncio.wait({read}, timeout=4)
        read.cancel()
        writer.close()

    def arrive(self, writer, data, request_id):
        self.record.add(f"{self.name}: {request_id} reaches the daemon's socket")
        if not writer.is_closing():
            writer.write(data)

    async def read(self, reader):
        while (message := await m.read_message(reader)) is not None:
            close = message[1].get("connection", "").lower() == "close"
            request_id = message[1].get("boragehollow-request-id", "")
            self.record.add(f"{self.name}: answer {message[0].split(' ')[1]} to {request_id}"
                            f"{', Connection: close' if close else ''}")
            await asyncio.sleep(ONE_WAY_S)
            self.answered.add(request_id)
            self.closing = self.closing or close
        self.record.add(f"{self.name}: the daemon closed the connection")
        self.ended = True


async def stop_under_load(record, daemon):
    """Sends SIGTERM to the daemon while its clients send requests, and starts it again."""
    stop = asyncio.Event()
    part = int(record.now())  # Ids differ between the rounds.
    clients = [Pipe(record, f"{daemon.name}-{part}-c{index}", daemon.outbound) for index in range(CLIENTS)]
    running = [asyncio.ensure_future(client.run(stop)) for client in clients]
    await asyncio.sleep(1.5)
    if m.TROUBLE:
        daemon.signal(signal.SIGTERM)
    await asyncio.sleep(2.0)
    stop.set()
    await asyncio.gather(*running)
    if m.TROUBLE:
        await daemon.ended(m.GRACE_S)
        daemon.start()
        await asyncio.sleep(4.0)
    return clients


async def case(record):
    async with m.Mesh(record) as mesh:
        for index in range(3):
            upstream = VariedUpstream(record, f"desk-{index}", "desk", slots=32)
            await mesh.add(f"host-{index}", "z1", upstream)
        mesh.store.put_config(m.config(1, {"safe": m.route("/safe/", "safe", "desk")}, ["desk"]))
        await mesh.wait_until_serving()
        clients = []
        for daemon in mesh.daemons * ROUNDS:  # As `roll_term`, with a longer pause between two machines.
            clients += await stop_under_load(record, daemon)
        runs = {}
        for daemon in mesh.daemons:
            runs.update(daemon.upstream.runs)
        lost = [request_id for client in clients for request_id in client.sent
                if request_id not in client.answered and request_id in runs]
        total = sum(len(client.sent) for client in clients)
        summary = f"{total} requests sent; run by an upstream and never answered: {len(lost)}"
        record.add(f"{summary} {lost}")
        print(summary)
        return len(lost) > 0


if __name__ == "__main__":
    m.main(FOLDER, case)
