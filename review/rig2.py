"""Stand-ins for a small deployment: the platform's store and cloud, workers, clients.

Starts gateways with the deploy file's command and settings that its template gives.
"""
import asyncio
import itertools
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 408: "Request Timeout",
           409: "Conflict", 410: "Gone", 421: "Misdirected Request",
           429: "Too Many Requests", 500: "Internal Server Error",
           503: "Service Unavailable"}
HOST = "plant.example"
KEY = "key-of-acme"
TENANT = "acme"
ZONES = ["zone-a", "zone-b"]
# The bounds of a small site.
BOUNDS = {"retryBudgetRatio": 0.2, "retryBudgetSlack": 52, "budgetWindowS": 10,
          "quotaWindowS": 8, "quotaOverage": 0.1, "quotaSlack": 140000, "graceS": 8,
          "leaseMs": 3000, "windowS": 5, "usageLateS": 10}


def free_ports(ip, count):
    """Returns distinct ports that are free now."""
    socks = [socket.socket() for _ in range(count)]
    try:
        for sock in socks:
            sock.bind((ip, 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


async def read_message(reader):
    """Returns (first line, headers in lower case, body), or None at the end of file.

    The body is None if it ended early.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    try:
        if headers.get("transfer-encoding") == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:size]
                if not size:
                    break
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        body = None
    return lines[0], headers, body


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def answer(status, headers=None, body=b""):
    headers = dict(headers or {})
    headers.setdefault("Content-Length", len(body))
    return message(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", headers, body)


class Record:
    """What was sent, answered and run, with the time in s."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w") if path else None

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        if self.file:
            self.file.write(f"{self.now():9.3f} {text}\n")
            self.file.flush()


class Server:
    """An HTTP server; a subclass answers in handle()."""

    def __init__(self, ip):
        self.ip = ip
        self.port = 0
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.ip, port, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                got = await read_message(reader)
                if not got or got[2] is None:
                    return
                if await self.handle(got, reader, writer) is False:
                    return
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self, reset=False):
        self.server.close()
        for writer in list(self.writers):
            if reset:
                writer.transport.abort()
            else:
                writer.close()


class Store(Server):
    """The platform's store: objects by kind and name, with lists and watches."""

    def __init__(self, ip):
        super().__init__(ip)
        self.kinds = {}
        self.revision = 1
        self.events = []
        self.changed = asyncio.Event()
        self.is_down = False  # answers 503 to everybody, and changes nothing

    def note(self, kind, obj, tombstone):
        self.events.append((self.revision, kind, {"tombstone": tombstone,
                                                  "object": json.loads(json.dumps(obj))}))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        objects = self.kinds.setdefault(kind, {})
        self.revision += 1
        meta = objects[name]["metadata"] if name in objects else {
            "name": name, "created": self.revision, "finalizers": [], "deleting": False}
        objects[name] = {"metadata": dict(meta, revision=self.revision), "spec": spec,
                         "status": None}
        self.note(kind, objects[name], False)
        return objects[name]

    def remove(self, kind, name):
        obj = self.kinds.get(kind, {}).pop(name, None)
        if obj:
            self.revision += 1
            obj["metadata"]["revision"] = self.revision
            self.note(kind, obj, True)

    async def handle(self, got, reader, writer):
        status, body = (503, {}) if self.is_down else await self.call(*got)
        text = json.dumps(body).encode()
        writer.write(answer(status, {"Content-Type": "application/json"}, text))
        return True

    async def call(self, first, headers, body):
        method, target, _ = first.split(" ")
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        parts = [urllib.parse.unquote(p) for p in url.path.split("/")[2:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("waitMs", 0)))
        if method == "GET" and not name:
            items = [objects[n] for n in sorted(objects) if n > query.get("after", "")]
            return 200, {"items": items, "hasMore": False, "asOf": self.revision}
        if method == "GET":
            return (200, objects[name]) if name in objects else (404, {})
        sent = json.loads(body or b"{}")
        meta = sent.get("metadata") or {}
        name = name or meta.get("name")
        wanted = meta.get("revision", query.get("revision"))
        if method == "POST":
            if name in objects:
                return 409, objects[name]
            return 200, self.put(kind, name, sent.get("spec"))
        if name not in objects:
            return 404, {}
        if wanted is not None and int(wanted) != objects[name]["metadata"]["revision"]:
            return 409, objects[name]
        if method == "DELETE":
            obj = objects[name]
            self.remove(kind, name)
            return 200, obj
        return 200, self.put(kind, name, sent.get("spec"))

    async def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            found = [e for r, k, e in self.events if r > since and k == kind]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "asOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Cloud(Server):
    """The platform's API for the duties; keeps what it was called with."""

    def __init__(self, ip, record):
        super().__init__(ip)
        self.record = record
        self.calls = []

    async def handle(self, got, reader, writer):
        first, headers, body = got
        path = first.split(" ")[1]
        call = (self.record.now(), path, headers.get("x-duty-holder"),
                int(headers.get("x-fence-token", 0)), json.loads(body or b"{}"))
        self.calls.append(call)
        self.record.write(f"cloud {path} holder={call[2]} fence={call[3]} {body.decode()}")
        writer.write(answer(200))
        return True


class Worker(Server):
    """A sound worker. MISBEHAVE, if set, is called for each request and may answer it."""

    def __init__(self, rig, ip, service, name, zone, slots=6):
        super().__init__(ip)
        self.rig = rig
        self.service = service
        self.name = name
        self.zone = zone
        self.slots = slots
        self.state = "ready"
        self.sequence = 0
        self.version = "v1"
        self.work_s = 0.015
        self.events = 0  # of a stream; 0: a plain answer
        self.event_s = 0.02
        self.misbehave = None
        self.beat_task = None

    def spec(self):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": self.state,
                "coldLeftMs": 0, "sequence": self.sequence}

    def register(self):
        """Writes the entry, which changes only when more than its sequence does."""
        if self.rig.store.is_down:
            return
        self.sequence += 1
        spec = self.spec()
        entry = self.rig.store.kinds.get("servers", {}).get(self.name)
        if entry and dict(entry["spec"], sequence=0) == dict(spec, sequence=0):
            entry["spec"] = spec
        else:
            self.rig.store.put("servers", self.name, spec)

    async def start(self, port=0):
        await self.listen(port)
        self.register()
        self.beat_task = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            self.register()

    def end(self, reset=False):
        """Ends like a process that is killed: its registration stays for a while."""
        self.beat_task.cancel()
        self.stop(reset)

    def seal(self):
        return f"{self.name}.{next(self.rig.seals)}"

    async def handle(self, got, reader, writer):
        first, headers, body = got
        call = headers.get("x-attempt-id")
        if headers.get("x-expect-instance") not in (None, self.name):
            writer.write(answer(421, {"X-Instance": self.name, "X-Attempt-Id": call}))
            return True
        if not call:
            writer.write(answer(400, {"X-Not-Run": 1}))
            return True
        if self.misbehave:
            done = await self.misbehave(self, got, reader, writer)
            if done is not None:
                return done
        return await self.run(got, writer)

    async def run(self, got, writer):
        call = got[1]["x-attempt-id"]
        self.rig.ran(call, self)
        await asyncio.sleep(self.work_s)
        if self.events:
            await self.stream(got, writer)
            return True
        text = f"{call} by {self.name}".encode()
        writer.write(answer(200, {"X-Attempt-Id": call, "X-Response-Seal": self.seal(),
                                  "Keep-Alive": "timeout=5"}, text))
        return True

    async def stream(self, got, writer):
        call, after = got[1]["x-attempt-id"], int(got[1].get("last-event-id", 0))
        writer.write(message("HTTP/1.1 200 OK", {
            "X-Attempt-Id": call, "X-Response-Seal": self.seal(), "Keep-Alive": "timeout=5",
            "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))
        for number in range(after + 1, self.events + 1):
            event = f"id: {number}\ndata: {call} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")


class Gateway:
    """A gateway process on a node of its own loopback address."""

    def __init__(self, rig, number):
        self.rig = rig
        self.ip = f"127.0.{rig.net}.{10 + number}"
        self.node = f"front-{ZONES[number % len(ZONES)]}-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.front, self.ready, self.control, self.relay = free_ports(self.ip, 4)
        self.settings = os.path.join(rig.folder, f"{self.node}.toml")
        self.process = None
        self.first = True
        self.store_address = rig.store_address

    def fields(self):
        rig = self.rig
        return {
            "node": self.node, "zone": self.zone, "bootstrap": self.first, "ip": self.ip,
            "limits": {"cpuShare": 0.25, "linkMbps": 1000.0},
            "zones": {zone: "region" for zone in ZONES},
            "listen": {"front": f"{self.ip}:{self.front}", "ready": f"{self.ip}:{self.ready}",
                       "control": f"{self.ip}:{self.control}"},
            "seeds": [f"{g.ip}:{g.control}" for g in rig.gateways[:3]],
            "portRange": [self.relay, self.relay + 15],
            "platform": {"address": self.store_address}, "cloud": {"address": rig.cloud_address},
            "bounds": BOUNDS}

    def write_settings(self):
        with open(os.path.join(ROOT, "deploy/gateway.toml.template")) as file:
            text = file.read()
        with open(self.settings, "w") as file:
            file.write(render(text, [self.fields()]))

    async def start(self, store_address=None):
        """Starts the process; STORE_ADDRESS is that of a proxy of its own, if any."""
        self.store_address = store_address or self.store_address
        self.write_settings()
        log = open(os.path.join(self.rig.folder, f"{self.node}.log"), "a")
        self.process = subprocess.Popen(
            [os.environ.get("GATEWAY", os.path.join(ROOT, "target/pistachio-gateway")),
             "--settings", self.settings], stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.first = False

    async def wait_end(self, seconds):
        """Waits until the process has ended; returns whether it did in time."""
        end = time.monotonic() + seconds
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return self.process.returncode is not None

    def send_signal(self, number):
        self.rig.record.write(f"{self.node} gets signal {number}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            got = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return bool(got) and " 200 " in got[0]
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        with open(os.path.join(self.rig.folder, f"{self.node}.log")) as file:
            log = file.read()[-2000:]
        raise RuntimeError(f"{self.node} is not ready, exit code {self.process.poll()}: {log}")


def lookup(scopes, path):
    if path == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in path.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def render(text, scopes):
    """Fills in a template as DEPLOY.md describes it."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def expand(match):
        value = lookup(scopes, match[2])
        if match[1] == "^":
            return "" if value else render(match[3], scopes)
        if not value:
            return ""
        if not isinstance(value, (dict, list)):
            return render(match[3], scopes)
        entries = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
        out = ""
        for i, (key, entry) in enumerate(entries):
            part = match[3].replace("{{@}}", str(key))
            part = part.replace("{{,}}", "," if i + 1 < len(entries) else "")
            out += render(part, scopes + [entry])
        return out

    def fill(match):
        value = lookup(scopes, match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+|\.)(\|json)?\}\}", fill, section.sub(expand, text))


class Rig:
    """A deployment on loopback addresses, all of one 127.0.N."""

    started = []

    def __init__(self, record_path=None, net=None):
        Rig.started.append(self)
        self.record = Record(record_path)
        self.net = net or 1 + os.getpid() % 250
        self.folder = tempfile.mkdtemp(prefix="pistachiodrift-review-")
        self.store = Store(f"127.0.{self.net}.2")
        self.cloud = Cloud(f"127.0.{self.net}.3", self.record)
        self.gateways = []
        self.workers = []
        self.runs = {}
        self.seals = itertools.count(1)
        self.ids = itertools.count(1)
        self.store_address = self.cloud_address = None
        self.version = 0

    def ran(self, call, worker):
        self.runs.setdefault(call, []).append(worker.name)
        self.record.write(f"worker {worker.name} runs {call}")

    def new_id(self):
        return f"{next(self.ids):016x}"

    def config(self, routes, services, **more):
        self.version += 7
        spec = {"version": self.version, "routes": routes, "services": services,
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                           "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
                "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1,
                             "unit": "tokens", "plainTokens": 200, "ratePerS": 3000000,
                             "burst": 3000000}]}
        spec.update(more)
        self.store.put("config", "main", spec)

    async def start(self, gateways):
        await self.store.listen()
        await self.cloud.listen()
        self.store_address = self.store_address or self.store.address
        self.cloud_address = self.cloud_address or self.cloud.address
        self.gateways = [Gateway(self, i) for i in range(gateways)]

    async def add_worker(self, service, zone="zone-a", slots=6, port=0, name=None):
        number = len(self.workers) + 1
        worker = Worker(self, f"127.0.{self.net}.{100 + number}", service,
                        name or f"i-{service}-{number}", zone, slots)
        self.workers.append(worker)
        await worker.start(port)
        return worker

    async def start_gateways(self):
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()

    async def end(self):
        """Ends the gateways."""
        for gateway in self.gateways:
            if gateway.process and gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()


class Client:
    """A connection of a client to a gateway, kept open for further requests."""

    def __init__(self, rig, gateway):
        self.rig = rig
        self.gateway = gateway
        self.reader = self.writer = None

    async def send(self, method, path, deadline_ms=1500, headers=None, body=b""):
        """Sends a request; returns (its id, status, headers, body); status 0: no answer."""
        call = self.rig.new_id()
        fields = {"Host": HOST, "X-Attempt-Id": call, "X-Deadline-Ms": deadline_ms,
                  "Authorization": f"Bearer {KEY}"}
        fields.update(headers or {})
        if body or method == "POST":
            fields["Content-Length"] = len(body)
        self.rig.record.write(f"client sends {call} {method} {path} to {self.gateway.node}")
        got = None
        try:
            if not self.writer:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(self.gateway.ip, self.gateway.front, limit=1 << 24), 1)
            self.writer.write(message(f"{method} {path} HTTP/1.1", fields, body))
            got = await asyncio.wait_for(read_message(self.reader), deadline_ms / 1000 + 2)
        except (OSError, asyncio.TimeoutError):
            pass
        if not got:
            self.close()
            self.rig.record.write(f"client gets no answer to {call}")
            return call, 0, {}, None
        status = int(got[0].split(" ")[1])
        self.rig.record.write(
            f"client gets {status} to {call}, seal {got[1].get('x-response-seal', 'none')}, "
            f"body {'cut' if got[2] is None else len(got[2])}")
        if got[2] is None or got[1].get("connection") == "close":
            self.close()
        return call, status, got[1], got[2]

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


def play(main, seconds=115):
    """Runs a case; returns its exit code, 2 if it could not run. Ends what it started."""
    async def run():
        try:
            return await asyncio.wait_for(main(), seconds)
        finally:
            for rig in Rig.started:
                await rig.end()

    try:
        return asyncio.run(run())
    except BaseException:  # also an interrupt: the case has no verdict
        traceback.print_exc()
        return 2
    finally:
        for rig in Rig.started:
            if not os.environ.get("KEEP"):
                shutil.rmtree(rig.folder, ignore_errors=True)


def route(name, prefix, kind, service, **more):
    spec = {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind,
            "timeoutMs": 1500, "goalMs": 100, "priority": 1, "service": service,
            "maxAttempts": 2, "public": False, "sticky": False}
    spec.update(more)
    return spec


def service(name, **more):
    return dict({"name": name, "healthPath": "/health", "maxConns": 96, "protocol": "h1",
                 "tls": False}, **more)
