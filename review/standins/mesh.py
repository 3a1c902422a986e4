"""Stand-ins and a process runner for the review's scripts.

Everything runs on loopback addresses and the real clock. The daemons are separate processes, started with the
command of deploy/system.toml and with settings that are made from its template. The store, the upstreams and
the clients are small asyncio programs inside the script.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.5
GRACE_S = 6.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def add(self, text):
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()


_given_ports = set()


def free_port():
    """A port that is free for TCP and for UDP, below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(12000, 32000)
        if port in _given_ports:
            continue
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            _given_ports.add(port)
            return port


async def read_message(reader):
    """Reads one HTTP message with a length; returns (first line, headers, body), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0"))
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return lines[0], headers, body


def response(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Base of the stand-ins that accept connections."""

    def __init__(self):
        self.port = 0
        self._server = None
        self._tasks = set()

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port, limit=2**27)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError

    def close(self):
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()


class Store(Server):
    """The platform's log: appends, long polls and the newest record of each key (partition 0 only).

    While `silent` is set, the store answers no daemon. A connection that waits for an answer then gets none
    later either.
    """

    def __init__(self, record):
        super().__init__()
        self.silences = 0
        self._silent = False
        self._record = record
        self._topics = {}
        self._appended = asyncio.Event()

    @property
    def silent(self):
        return self._silent

    @silent.setter
    def silent(self, value):
        self.silences += value and not self._silent
        self._silent = value
        self._record.add("store: answers no more" if value else "store: answers again")

    def put(self, topic, key, value):
        """Appends a keyed record as the operator does; returning is the acknowledgement."""
        self._topics.setdefault(topic, []).append((key, value))
        self._appended.set()
        self._appended = asyncio.Event()

    def put_config(self, document):
        self.put("keyed.op", "config", json.dumps(document).encode())
        self._record.add(f"operator: configuration {document['version']} acknowledged by the store")

    async def serve(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            silences = self.silences
            _, target, _ = message[0].split(" ")
            url = urllib.parse.urlsplit(target)
            query = dict(urllib.parse.parse_qsl(url.query))
            call = url.path.rsplit("/", 1)[-1]
            topic = query.get("topic", "")
            if self.silent:
                reply = None
            elif call == "log-append":
                reply = self._append(topic, message[2])
            elif call == "log-read":
                reply = await self._read(topic, query)
            elif call == "log-newest":
                reply = self._newest(topic)
            else:
                reply = response(404)
            if self.silences != silences or reply is None:
                await reader.read()
                return
            writer.write(reply)
            await writer.drain()
            if message[1].get("connection", "").lower() == "close":
                return

    def _append(self, topic, body):
        if topic in ("keyed.op", "keyed.servers"):
            return response(403)
        first = len(self._topics.get(topic, []))
        while body:
            length = struct.unpack(">I", body[:4])[0]
            entry, body = body[4 : 4 + length], body[4 + length :]
            key_end = 1 + entry[0]
            self.put(topic, entry[1:key_end].decode(), entry[key_end:])
        reply = {"offset": first, "end": len(self._topics.get(topic, []))}
        return response(200, [("Content-Type", "application/json")], json.dumps(reply).encode())

    async def _read(self, topic, query):
        start = int(query.get("from", "0"))
        end = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while len(self._topics.get(topic, [])) <= start and time.monotonic() < end:
            try:
                await asyncio.wait_for(self._appended.wait(), end - time.monotonic())
            except (asyncio.TimeoutError, TimeoutError):
                pass
        records = self._topics.get(topic, [])
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            entry = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(entry)) + entry
        return response(200, [], body)

    def _newest(self, topic):
        records = self._topics.get(topic, [])
        newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
        items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                 for key, (offset, value) in newest.items() if value]
        reply = {"items": items, "hasMore": False, "end": len(records)}
        return response(200, [("Content-Type", "application/json")], json.dumps(reply).encode())


class Upstream(Server):
    """An application upstream. `work_s` is the time of one request; `runs` counts runs by request id."""

    def __init__(self, record, name, service, slots=12, work_s=0.05):
        super().__init__()
        self.record = record
        self.name = name
        self.id = "i-" + name
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs = {}
        self.control = None

    def signature(self, request_id):
        return f"sig-{self.id}-{request_id}"

    async def serve(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            await self.answer(message, reader, writer)

    def count_run(self, message):
        request_id = message[1].get("boragehollow-request-id", "")
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.record.add(f"{self.name}: runs {request_id}: {message[0]}")
        return request_id

    def reply(self, request_id, body=None):
        body = f"body of {request_id} from {self.id}".encode() if body is None else body
        return response(200, [("Boragehollow-Request-Id", request_id),
                              ("Boragehollow-Response-Signature", self.signature(request_id))], body)

    async def answer(self, message, reader, writer):
        expected = message[1].get("boragehollow-expected-instance")
        if expected not in (None, self.id):
            writer.write(response(421, [("Boragehollow-Instance-Id", self.id),
                                        ("Boragehollow-Not-Executed", "1")]))
            return
        request_id = self.count_run(message)
        await asyncio.sleep(self.work_s)
        writer.write(self.reply(request_id))
        await writer.drain()

    def beat_body(self, sequence, state):
        return json.dumps({
            "address": f"127.0.0.1:{self.port}", "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": "z", "maxConcurrency": self.slots},
            "status": {"state": state, "sequence": sequence, "coldRemaining": "0ms"}}).encode()

    async def call_control(self, method, body):
        """One call to the daemon beside this upstream; returns the status, or None without an answer."""
        try:
            answer = await asyncio.wait_for(request(self.control, method,
                                                    "/boragehollow/instances/" + self.id, {}, body), 1.0)
        except (OSError, asyncio.TimeoutError, TimeoutError):
            return None
        return answer.status if answer else None

    async def beat(self):
        self.sequence += 1
        return await self.call_control("PUT", self.beat_body(self.sequence, self.state))

    async def keep_beating(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)


class Answer:
    def __init__(self, message):
        self.status = int(message[0].split(" ")[1])
        self.headers = message[1]
        self.body = message[2]


async def request(port, method, path, headers, body=b""):
    """One request on a new connection; None if the connection ends without an answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=2**27)
    try:
        writer.write(request_bytes(method, path, headers, body))
        message = await read_message(reader)
        return Answer(message) if message else None
    finally:
        writer.close()


def request_bytes(method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1", "Host: a.example"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def client_headers(request_id, deadline_ms):
    return {"Boragehollow-Request-Id": request_id, "Boragehollow-Deadline-Ms": str(deadline_ms)}


class Daemon:
    """One machine: the daemon as a separate process, and the addresses of its listeners."""

    def __init__(self, mesh, name, zone, upstream):
        self.name = name
        self._mesh = mesh
        self.upstream = upstream
        self._zone = zone
        self.process = None
        self._settings = mesh.folder / f"{name}.toml"
        self.configure()

    def configure(self):
        """Gives the listeners free ports and writes the settings."""
        mesh, upstream = self._mesh, self.upstream
        self.outbound, self.ready, self.control, self.peer, self.operators = (free_port() for _ in range(5))
        upstream.control = self.control
        values = {"node": self.name, "zone": self._zone, "region": "r", "heartbeat": "1500ms",
                  "listen.outbound": f"127.0.0.1:{self.outbound}", "listen.ready": f"127.0.0.1:{self.ready}",
                  "listen.control": f"127.0.0.1:{self.control}", "ip": "127.0.0.1",
                  "internalPorts.0": str(self.peer), "internalPorts.1": str(self.operators),
                  "app": f"127.0.0.1:{upstream.port}", "service": upstream.service,
                  "provider.address": f"127.0.0.1:{mesh.store.port}", "limits.linkMbps": "1000.0", "limits.memoryMb": "260",
                  "limits.maxFds": "4100"}
        template = (REPOSITORY / mesh.role["template"]).read_text(encoding="utf-8")
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda match: values[match.group(1)], template)
        self._settings.write_text(text, encoding="utf-8")

    def start(self):
        command = self._mesh.role["run"].split(" ")
        command = [str(self._settings) if word == "/etc/boragehollow/node.yaml" else word for word in command]
        log = open(self._mesh.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(command, cwd=REPOSITORY, stdin=subprocess.DEVNULL, stdout=log,
                                        stderr=log)
        self._mesh.record.add(f"{self.name}: daemon started")

    def signal(self, number):
        self._mesh.record.add(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ended(self, timeout):
        """Waits for the end of the process after SIGTERM, and kills it after the timeout as the platform does."""
        end = time.monotonic() + timeout
        while self.process.poll() is None:
            if time.monotonic() > end:
                self.signal(signal.SIGKILL)
                self.process.wait()
            await asyncio.sleep(0.02)

    def processor_s(self):
        """Processor time that the process has used."""
        fields = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text(encoding="utf-8").rsplit(")", 1)[1]
        user, system = fields.split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(request(self.ready, "GET", "/boragehollow/readiness", {}), 1.0)
        except (OSError, asyncio.TimeoutError, TimeoutError):
            return False
        return answer is not None and answer.status == 200


class Mesh:
    """A small deployment. Ends all of its processes when the context is left."""

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="boragehollow-review-"))
        with open(REPOSITORY / "deploy/system.toml", "rb") as file:
            self.role = tomllib.load(file)["roles"]["daemon"]
        self.store = Store(record)
        self.daemons = []
        self.tasks = []

    async def __aenter__(self):
        if not (REPOSITORY / self.role["run"].split(" ")[0]).exists():
            raise CaseError("the program of the deploy file is not built")
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                daemon.process.wait()
        for daemon in self.daemons:
            daemon.upstream.close()
        self.store.close()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def add(self, name, zone, upstream):
        await upstream.start()
        daemon = Daemon(self, name, zone, upstream)
        self.daemons.append(daemon)
        daemon.start()
        self.spawn(upstream.keep_beating())
        return daemon

    async def wait_until_serving(self, path="/safe/x", timeout=20.0):
        """Waits until each daemon is ready and gets an answer of an upstream."""
        end = time.monotonic() + timeout
        for daemon in self.daemons:
            serves = False
            while not serves:
                if time.monotonic() > end:
                    raise CaseError(f"{daemon.name} does not serve, exit code {daemon.process.poll()}")
                await asyncio.sleep(0.1)
                if daemon.process.poll() is not None:
                    # Another process took one of the ports in the meantime.
                    daemon.configure()
                    daemon.start()
                if not await daemon.is_ready():
                    continue
                answer = await request(daemon.outbound, "GET", path,
                                       client_headers(f"warm-{daemon.name}-{time.monotonic_ns()}", 1000))
                serves = answer is not None and answer.status == 200
        # All daemons know all targets a little later.
        await asyncio.sleep(1.5)


def route(path, kind, service, timeout_ms=3000, latency_ms=800, priority=1, attempts=2):
    return {"host": "a.example", "pathPrefix": path, "routeType": kind, "timeout": f"{timeout_ms}ms",
            "targetLatency": f"{latency_ms}ms", "priority": priority, "service": service,
            "attempts": attempts}


def config(version, routes, services):
    return {"version": f"{version:08x}", "routes": routes,
            "services": {name: {"healthPath": "/health", "maxConnections": 130, "protocol": "h1",
                                "tls": False} for name in services},
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms",
                       "idleTimeout": "15000ms"}}


def main(folder, case):
    """Runs `case(record)`, which returns whether the rule was broken, and exits as the review asks."""
    record = Record(folder)
    try:
        broken = asyncio.run(asyncio.wait_for(case(record), 110))
    except Exception as error:  # Any failure of the set-up means that the case could not run.
        record.add(f"the case could not run: {type(error).__name__}: {error}")
        print(f"not run: {type(error).__name__}: {error}", file=sys.stderr)
        sys.exit(NOT_RUN)
    record.add("the rule was broken" if broken else "the rule held")
    print("broken" if broken else "held")
    sys.exit(BROKEN if broken else HELD)
