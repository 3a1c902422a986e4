#!/usr/bin/env python3
"""Soak of the configuration path: real daemons, changes in series beside faults, seeded.

Checks, from what callers see, that a version is in force on each daemon in touch 2 s after its acknowledgement, and
that a daemon never goes back to an older one. Faults come from outside the processes: signals, and loopback proxies
between each daemon and the store. Several overlap, and the seed decides them.
"""

import argparse
import asyncio
import json
import os
import pathlib
import random
import signal
import sys
import tempfile

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
# The stand-ins of the review's scripts; there is no second copy of them.
sys.path.insert(0, str(REPOSITORY / "review/standins"))

import mesh as m  # noqa: E402

ZONES = {"a": 5, "b": 4, "c": 4}
IN_FORCE_S = 2.0  # The users' bound `config`.
STABILITY_S = 3.0  # A daemon or the store counts as in touch this long after its last fault.
ROLLBACK_S = 0.25  # The users' bound `rollbackSlack`.
STRETCH_S = 5.0  # The users' bound `skewMax`: an unstable store may delay a version by this.
GRACE_S = 6.0
PROBE_INTERVAL_S = 0.1
# A probe that was slower than this may have waited in this program; it says nothing about the daemon.
MAX_PROBE_S = 0.5
FAULTS = ("kill", "herd", "roll", "freeze", "hup", "store", "links", "silent connections")
OPTIONAL_FAULTS = ("readers", "reader herd", "turned away", "restore")
HERD_SHARE = 0.85  # Of all daemons, in the faults that meet all log readers at once.


class RestorableStore(m.Store):
    """A store that can come back from an earlier copy. All its answers state its era."""

    def __init__(self, record):
        super().__init__(record)
        self.era = 1
        self.config = b""  # The operator's newest document, which it writes again after a restore.
        self._appended_at = {}

    def put(self, topic, key, value):
        self._appended_at.setdefault(topic, []).append(self._record.now())
        super().put(topic, key, value)

    def put_config(self, document):
        self.config = json.dumps(document).encode()
        super().put_config(document)

    def restore(self, age_s):
        """Goes back to the state of `age_s` ago; offsets go back, too."""
        copied_at = self._record.now() - age_s
        for topic, times in self._appended_at.items():
            kept = sum(at <= copied_at for at in times)
            del times[kept:]
            del self._topics[topic][kept:]
        self.era += 1
        self._record.add(f"store: restored from a copy {age_s:.1f} s old, era {self.era}")

    def _with_era(self, reply):
        return reply.replace(b"\r\n", f"\r\nStore-Era: {self.era}\r\n".encode(), 1)

    def _append(self, topic, body):
        return self._with_era(super()._append(topic, body))

    async def _read(self, topic, query):
        if int(query.get("from", "0")) > len(self._topics.get(topic, [])):
            return self._with_era(m.response(410, [], b'{"first":0}'))
        return self._with_era(await super()._read(topic, query))

    def _newest(self, topic):
        return self._with_era(super()._newest(topic))


class KeptConnection:
    """A client that sends its requests on one open connection until the daemon closes it."""

    def __init__(self, port):
        self.port = port
        self._reader = None
        self._writer = None

    async def get(self, path, headers):
        """The answer, or None if the connection ended without one."""
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self.port, limit=2**27)
        message = None
        try:
            self._writer.write(m.request_bytes("GET", path, headers))
            message = await m.read_message(self._reader)
        finally:
            # Also after a time-out: a later answer must not be taken for that of the next request.
            if message is None or message[1].get("connection", "").lower() == "close":
                self._writer.close()
                self._writer = None
        return m.Answer(message) if message else None


class StoreLink(m.Server):
    """Proxy between one daemon and the store, which can be silenced, refused, or cut in one direction."""

    def __init__(self, store):
        super().__init__()
        self.store = store
        self.mode = "open"
        self._generation = 0  # Connections of an earlier generation carry nothing more.

    async def serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        if self.mode == "silent":
            await reader.read()
            return
        up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.store.port, limit=2**27)
        try:
            await asyncio.gather(self._copy(reader, up_writer, self._generation, loses_answers=False),
                                 self._copy(up_reader, writer, self._generation, loses_answers=True))
        except ConnectionError:
            pass
        finally:
            up_writer.close()

    async def _copy(self, reader, writer, generation, loses_answers):
        while data := await reader.read(65536):
            lost = self.mode == "silent" or (self.mode == "lose answers" and loses_answers)
            if lost or generation != self._generation:
                continue
            writer.write(data)
            await writer.drain()
        writer.close()

    def silence_open_connections(self):
        """Open connections carry nothing more, without a reset; new ones work."""
        self._generation += 1


class SoakDaemon(m.Daemon):
    def __init__(self, mesh, name, zone, upstream, link):
        self.link = link
        self.last_fault = 0.0
        self.link_fault_end = 0.0  # A restart does not repair the link.
        self.down = False
        self.restarting = False
        self.seen = 0  # The newest version of which an effect was seen in this process.
        self.seen_at = 0.0
        self.sequence = 0  # Grows with each process.
        super().__init__(mesh, name, zone, upstream)
        self.client = KeptConnection(self.outbound)

    def configure(self):
        super().configure()
        text = self._settings.read_text(encoding="utf-8")
        text = text.replace(f"127.0.0.1:{self._mesh.store.port}", f"127.0.0.1:{self.link.port}")
        self._settings.write_text(text, encoding="utf-8")

    def start(self):
        self.sequence += 1
        self.seen = 0
        self.down = False
        self.restarting = False
        super().start()

    def reads_the_store(self):
        """True while this daemon is a log reader, from its log."""
        log = (self._mesh.folder / f"{self.name}.log").read_text(encoding="utf-8", errors="replace")
        return log.rfind("log_reader_started") > max(log.rfind("log_reader_stopped"), log.rfind("daemon_starting"))


class Soak:
    def __init__(self, record, program, seed, seconds, faults, zones):
        self.record = record
        self.zones = zones
        self.program = program
        self.faults = faults
        self.random = random.Random(seed)
        self.seconds = seconds
        self.mesh = None
        self.acknowledged = []  # (version, time), in order
        self.sent = 0
        self.store_fault_end = -100.0
        self.store_faults = 0
        self.violations = []
        self.probes = 0
        self.judged = 0
        self.slowest = (0.0, "")  # The longest time from an acknowledgement to force on a daemon in touch.

    # The operator.

    def document(self, version, routes=0):
        """Version N has the routes /nN/ and /n(N-1)/."""
        table = {"safe": m.route("/safe/", "safe", "desk")}
        for number in (version, version - 1):
            table[f"n{number}"] = m.route(f"/n{number}/", "safe", "desk")
        for number in range(routes):
            table[f"big{number}"] = m.route(f"/big{number}-{version}/", "safe", "desk")
        return m.config(version, table, ["desk"])

    def change(self, routes=0):
        version = self.sent + 1
        self.sent = version
        self.mesh.store.put_config(self.document(version, routes))
        self.acknowledged.append((version, self.record.now()))

    async def operate(self):
        while True:
            kind = self.random.choices(("one", "storm", "big", "invalid"), (6, 2, 1, 1))[0]
            if kind == "storm":
                for _ in range(self.random.randrange(4, 12)):
                    self.change()
                    await asyncio.sleep(self.random.uniform(0.05, 0.4))
            elif kind == "big":
                self.change(routes=350)
            elif kind == "invalid":
                self.mesh.store.put("keyed.op", "config", b'{"version":"0fffffff","routes":{"x":{}}')
            else:
                self.change()
            await asyncio.sleep(self.random.uniform(0.3, 3.0))

    # The faults. Each leaves the mesh as it found it.

    def disturb_store(self, lasting):
        self.store_fault_end = max(self.store_fault_end, self.record.now() + lasting)

    async def restart(self, daemon, number, down_s):
        if daemon.restarting:
            return
        daemon.restarting = True
        daemon.last_fault = self.record.now() + GRACE_S
        daemon.signal(number)
        await daemon.ended(GRACE_S)
        daemon.down = True
        await asyncio.sleep(down_s)
        daemon.start()
        daemon.last_fault = self.record.now()
        daemon.restarting = False

    async def freeze(self, daemon, lasting):
        if daemon.restarting:
            return
        daemon.last_fault = max(daemon.last_fault, self.record.now() + lasting)
        daemon.signal(signal.SIGSTOP)
        await asyncio.sleep(lasting)
        if daemon.process.poll() is None:
            daemon.signal(signal.SIGCONT)
        daemon.last_fault = max(daemon.last_fault, self.record.now())

    async def cut_store_links(self, daemons, mode, lasting):
        self.record.add(f"store links of {[daemon.name for daemon in daemons]}: {mode}")
        for daemon in daemons:
            daemon.link.mode = mode
            daemon.link.silence_open_connections()
            daemon.link_fault_end = max(daemon.link_fault_end, self.record.now() + lasting)
        await asyncio.sleep(lasting)
        self.record.add(f"store links of {[daemon.name for daemon in daemons]}: open")
        for daemon in daemons:
            daemon.link.mode = "open"

    def readers(self):
        return [daemon for daemon in self.mesh.daemons if daemon.reads_the_store()]

    def herd_with_readers(self):
        """All log readers, and as many other daemons as belong to a herd; at least one daemon is left."""
        readers, daemons = self.readers(), self.mesh.daemons
        others = [daemon for daemon in daemons if daemon not in readers]
        wanted = int(HERD_SHARE * len(daemons)) - len(readers)
        return readers + self.random.sample(others, max(0, min(wanted, len(others) - 1)))

    async def restore_store(self):
        """The store is away for a moment and comes back from an earlier copy; the operator writes again."""
        store, away_s = self.mesh.store, self.random.uniform(0.2, 2.0)
        self.disturb_store(away_s)
        await self.cut_store_links(self.mesh.daemons, self.random.choice(("silent", "reset")), away_s)
        store.restore(self.random.uniform(1.0, 6.0))
        self.disturb_store(0.0)
        await asyncio.sleep(self.random.uniform(0.0, 0.5))
        if store.config:
            store.put("keyed.op", "config", store.config)
        self.disturb_store(0.0)

    async def fault(self):
        pick, daemons = self.random, self.mesh.daemons
        kind = pick.choice(self.faults)
        self.record.add(f"fault: {kind}")
        if kind == "kill":
            await self.restart(pick.choice(daemons), signal.SIGKILL, pick.uniform(0.3, 3.5))
        elif kind == "herd":
            share = pick.sample(daemons, pick.randrange(2, len(daemons) // 2 + 2))
            down_s = pick.uniform(0.5, 2.0)
            await asyncio.gather(*(self.restart(daemon, signal.SIGKILL, down_s) for daemon in share))
        elif kind == "readers":
            await asyncio.gather(*(self.restart(daemon, signal.SIGKILL, 6.0) for daemon in self.readers()))
        elif kind == "reader herd":
            herd = self.herd_with_readers()
            await asyncio.gather(*(self.restart(daemon, signal.SIGKILL, 6.0) for daemon in herd))
        elif kind == "turned away":
            await self.cut_store_links(self.herd_with_readers(), "silent", pick.uniform(5.0, 9.0))
        elif kind == "roll":
            stops = []
            for daemon in pick.sample(daemons, pick.randrange(3, 7)):
                stops.append(asyncio.ensure_future(self.restart(daemon, signal.SIGTERM, pick.uniform(0.2, 1.0))))
                await asyncio.sleep(pick.uniform(0.5, 2.0))
            await asyncio.gather(*stops)
        elif kind == "freeze":
            chosen = pick.sample(daemons, pick.randrange(1, 3))
            await asyncio.gather(*(self.freeze(daemon, pick.uniform(0.5, 4.0)) for daemon in chosen))
        elif kind == "hup":
            for daemon in pick.sample(daemons, 3):
                if not daemon.down:
                    daemon.signal(signal.SIGHUP)
        elif kind == "store":
            lasting = pick.uniform(1.0, 8.0)
            self.disturb_store(lasting)
            await self.cut_store_links(daemons, pick.choice(("silent", "reset", "lose answers")), lasting)
            self.disturb_store(0.0)
        elif kind == "restore":
            await self.restore_store()
        elif kind == "links":
            chosen = pick.sample(daemons, pick.randrange(1, 5))
            await self.cut_store_links(chosen, pick.choice(("silent", "reset", "lose answers")),
                                       pick.uniform(1.0, 9.0))
        else:
            for daemon in daemons:
                daemon.link.silence_open_connections()
                daemon.last_fault = self.record.now()
            self.record.add("all open connections to the store are silent")

    async def disturb(self):
        running = set()
        while True:
            await asyncio.sleep(self.random.uniform(0.3, 5.0))
            running = {task for task in running if not task.done()}
            if len(running) < 2:
                running.add(self.mesh.spawn(self.fault()))

    # The judge.

    def in_touch(self, daemon, since):
        return not daemon.down and max(daemon.last_fault, daemon.link_fault_end) + STABILITY_S < since

    def newest_in_force(self, sent, daemon):
        """The newest version that has to be in force on the daemon for a request sent at this time."""
        now_stable = self.store_fault_end + STABILITY_S < sent
        bound = IN_FORCE_S if now_stable else IN_FORCE_S + STRETCH_S
        versions = [version for version, at in self.acknowledged if at + bound < sent]
        return versions[-1] if versions else 0

    async def probe(self, daemon):
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S * self.random.uniform(0.5, 1.5))
            sent, process = self.record.now(), daemon.sequence
            stable = self.store_fault_end + STABILITY_S < sent
            required = self.newest_in_force(sent, daemon)
            if required < 4 or daemon.down:
                continue
            for number, expect_route in ((required, True), (required - 2, False), (daemon.seen, True),
                                         (self.sent, True)):
                await self.probe_route(daemon, process, number, expect_route, required, stable)

    async def probe_route(self, daemon, process, number, expect_route, required, stable):
        if number <= 0:
            return
        sent = self.record.now()
        seen, seen_at = daemon.seen, daemon.seen_at
        try:
            answer = await asyncio.wait_for(
                daemon.client.get(f"/n{number}/x", m.client_headers(f"{daemon.name}-{sent:.4f}-{number}", 1000)), 1.5)
        except (OSError, asyncio.TimeoutError, TimeoutError):
            return
        self.probes += 1
        if answer is None or answer.status not in (200, 404) or process != daemon.sequence:
            return
        found = answer.status == 200
        if found and number > daemon.seen:
            self.measure_delay(daemon, number)
            daemon.seen, daemon.seen_at = number, self.record.now()
        if self.record.now() - sent > MAX_PROBE_S:
            return
        gone_legitimately = self.sent >= number + 2
        if number == seen and expect_route and not found and not gone_legitimately:
            if sent > seen_at + ROLLBACK_S:
                self.violate(daemon, f"went back behind version {seen}")
            return
        if not stable or not self.in_touch(daemon, sent):
            return
        self.judged += 1
        if expect_route and number == required and not found and not gone_legitimately:
            self.violate(daemon, f"no route of version {number}, which was acknowledged")
        if not expect_route and found:
            self.violate(daemon, f"serves a route that version {required} dropped")

    def measure_delay(self, daemon, found):
        """Notes the time from the acknowledgement to the first effect of the versions up to `found`."""
        now = self.record.now()
        for version, at in self.acknowledged:
            if not daemon.seen < version <= found or not self.in_touch(daemon, now):
                continue
            if daemon.seen > 0 and self.store_fault_end + STABILITY_S < at and now - at > self.slowest[0]:
                self.slowest = (now - at, f"version {version} on {daemon.name}")

    def violate(self, daemon, text):
        acknowledged = [f"{version}@{at:.2f}" for version, at in self.acknowledged[-4:]]
        line = f"VIOLATION {daemon.name}: {text}; acknowledged {acknowledged}"
        self.violations.append(f"{self.record.now():8.3f} {line}")
        self.record.add(line)

    async def run(self):
        mesh = m.Mesh(self.record)
        mesh.store = RestorableStore(self.record)
        mesh.role["run"] = " ".join([str(self.program)] + mesh.role["run"].split(" ")[1:])
        async with mesh:
            self.mesh = mesh
            for zone, hosts in self.zones.items():
                for number in range(hosts):
                    upstream = m.Upstream(self.record, f"desk-{zone}{number}", "desk", work_s=0.005)
                    upstream.count_run = lambda message: message[1].get("boragehollow-request-id", "")
                    await upstream.start()
                    link = StoreLink(mesh.store)
                    await link.start()
                    daemon = SoakDaemon(mesh, f"host-{zone}{number}", zone, upstream, link)
                    mesh.daemons.append(daemon)
                    daemon.start()
                    mesh.spawn(upstream.keep_beating())
            for _ in range(4):
                self.change()
            await mesh.wait_until_serving(timeout=40.0)
            tasks = [mesh.spawn(self.operate()), mesh.spawn(self.disturb())]
            tasks += [mesh.spawn(self.probe(daemon)) for daemon in mesh.daemons]
            done, _ = await asyncio.wait(tasks, timeout=self.seconds, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
            for daemon in mesh.daemons:
                if not daemon.restarting and daemon.process.poll() is not None:
                    self.violations.append(f"{daemon.name} ended by itself, status {daemon.process.returncode}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", default="target/programs/boragehollowd/boragehollowd")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--faults", default=",".join(FAULTS), help="kinds of faults; also: " + ", ".join(OPTIONAL_FAULTS))
    parser.add_argument("--hosts", type=int, default=0, help="hosts in each of three failure domains")
    parser.add_argument("--logs", default=tempfile.gettempdir(),
                        help="folder of the record; KEEP_LOGS=1 keeps the daemons' logs")
    options = parser.parse_args()
    folder = pathlib.Path(options.logs) / f"config-soak-{options.seed}-{os.getpid()}"
    folder.mkdir(parents=True)
    soak = Soak(m.Record(folder), (REPOSITORY / options.program).resolve(), options.seed, options.seconds,
                options.faults.split(","), dict.fromkeys(ZONES, options.hosts) if options.hosts else ZONES)
    asyncio.run(soak.run())
    for line in soak.violations[:20]:
        print(line)
    print(f"seed {options.seed}: {soak.sent} versions, {soak.probes} probes, {soak.judged} judged, "
          f"{len(soak.violations)} violations; slowest {soak.slowest[0]:.2f} s of {IN_FORCE_S} s "
          f"({soak.slowest[1]}); record in {folder}")
    sys.exit(1 if soak.violations else 0)


if __name__ == "__main__":
    main()
