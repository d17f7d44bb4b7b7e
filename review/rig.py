"""Stand-ins and a driver for the review's scripts: platform, workers, clients.

Each script starts the gateway with the command of deploy/system.toml and with settings
that are made from deploy/gateway.toml.template, as the platform does. All addresses are
loopback addresses, on ports that were free. Only the standard library is used.
"""

import asyncio
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The bounds of sites/hanbit-harness.toml, as SYSTEM.md names them.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "skewMaxMs": 5000,
    "strictRevoke": False, "revokeMs": 5000, "retryBudgetRatio": 0.2,
    "budgetWindowS": 10, "retryBudgetSlack": 52, "quotaWindowS": 8,
    "quotaOverage": 0.1, "quotaSlack": 140000, "requireFence": False,
    "leaseMs": 3000, "thawMs": 300, "windowS": 5, "usageOff": 0.05,
    "usageLateS": 10, "recoverS": 12, "passMs": 120, "reuseWindowS": 9.8,
}
HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "hule930"
SERVICE = "line-terminal"


class CantRun(Exception):
    """The case could not be played; run.sh exits with 2."""


class Record:
    """Writes what was sent, answered and run to record.txt, with times in seconds."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write("%9.3f %s\n" % (self.now(), text))
        self.file.flush()


def free_port():
    """Returns a port of loopback that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def lookup(fields, scopes, name):
    """Returns the value of a dotted name, in the innermost scope that has it."""
    if name == ".":
        return scopes[-1] if scopes else fields
    for scope in list(reversed(scopes)) + [fields]:
        value = scope
        for part in name.split("."):
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


def render(text, fields, scopes=(), key="", last=True):
    """Fills in a template as DEPLOY.md describes it."""
    scopes = list(scopes)
    out = []
    at = 0
    while True:
        found = re.compile(r"\{\{([#^]?)([^{}]+)\}\}").search(text, at)
        if not found:
            return "".join(out) + text[at:]
        out.append(text[at:found.start()])
        mark, name = found.group(1), found.group(2)
        at = found.end()
        if mark:
            end = text.index("{{/%s}}" % name, at)
            body, at = text[at:end], end + len("{{/%s}}" % name)
            value = lookup(fields, scopes, name)
            if mark == "^":
                items = [] if value else [("", None)]
            elif isinstance(value, dict):
                items = list(value.items())
            elif isinstance(value, list):
                items = list(enumerate(value))
            else:
                items = [("", None)] if value or value == 0 and value is not False else []
            for i, (item_key, item) in enumerate(items):
                inner = scopes if item is None else scopes + [item]
                out.append(render(body, fields, inner, str(item_key), i == len(items) - 1))
            continue
        if name == ",":
            out.append("" if last else ",")
        elif name == "@":
            out.append(key)
        elif name.endswith("|json"):
            out.append(json.dumps(lookup(fields, scopes, name[:-len("|json")])))
        else:
            value = lookup(fields, scopes, name)
            if isinstance(value, bool):
                value = "true" if value else "false"
            elif isinstance(value, list):
                value = ",".join(str(item) for item in value)
            out.append("" if value is None else str(value))


async def read_message(reader):
    """Returns (first line, headers, body) of a message with a length, or None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def format_answer(status, body, headers=()):
    """Returns an answer with a length."""
    lines = ["HTTP/1.1 %d Status" % status] + list(headers)
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: objects by kind, lists, watches and conditional writes.

    An object's spec is kept as the text that its writer sent.
    """

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()

    def write(self, kind, name, spec_text):
        """Writes an object, from whichever writer; returns its text."""
        self.revision += 1
        text = '{"metadata":%s,"spec":%s}' % (
            json.dumps({"name": name, "revision": self.revision, "created": self.revision,
                        "finalizers": [], "deleting": False}), spec_text)
        self.objects.setdefault(kind, {})[name] = (self.revision, text)
        self.publish(kind, text, False)
        return text

    def put(self, kind, name, spec):
        return self.write(kind, name, json.dumps(spec))

    def remove(self, kind, name):
        if name not in self.objects.get(kind, {}):
            return
        del self.objects[kind][name]
        self.revision += 1
        text = '{"metadata":%s}' % json.dumps({"name": name, "revision": self.revision})
        self.publish(kind, text, True)

    def publish(self, kind, text, removed):
        self.events.append((self.revision, kind, '{"object":%s,"tombstone":%s}' % (
            text, "true" if removed else "false")))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [e[2] for e in self.events if e[0] > since and e[1] == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return '{"events":[%s],"asOf":%d}' % (",".join(events), self.revision)
            try:
                await asyncio.wait_for(asyncio.shield(self.changed.wait()), left)
            except asyncio.TimeoutError:
                pass

    def change(self, method, kind, name, body):
        call = json.loads(body)
        name = name or call["metadata"]["name"]
        expected = call["metadata"].get("revision")
        stored = self.objects.get(kind, {}).get(name)
        if method == "POST" and stored or expected and (not stored or stored[0] != expected):
            return 409, stored[1] if stored else "{}"
        if method == "PUT" and not stored:
            return 404, "{}"
        return 200, self.put(kind, name, call["spec"])

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        values = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        parts = path.strip("/").split("/")
        kind = parts[1] if len(parts) > 1 else ""
        name = parts[2] if len(parts) > 2 else None
        if method in ("POST", "PUT"):
            return self.change(method, kind, name, body)
        if "watch" in values:
            return 200, await self.watch(kind, int(values["watch"]),
                                         int(values.get("waitMs", 0)))
        objects = self.objects.get(kind, {})
        if name:
            return (200, objects[name][1]) if name in objects else (404, "{}")
        return 200, '{"items":[%s],"hasMore":false,"asOf":%d}' % (
            ",".join(text for _, text in objects.values()), self.revision)

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(" ", 2)
                status, text = await self.answer(method, target, message[2])
                writer.write(format_answer(status, text.encode(),
                                           ["Content-Type: application/json"]))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class Worker:
    """A worker of a plain service: runs one request at a time on each connection."""

    def __init__(self, rig, name, work_s):
        self.rig = rig
        self.name = name
        self.work_s = work_s
        self.port = None
        self.server = None
        self.writers = set()
        self.runs = []  # (time, attempt id)
        self.finished = set()
        self.born = int(time.time() * 1000)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]
        self.register("ready")

    def register(self, state):
        self.rig.record.line("worker %s registers as %s" % (self.name, state))
        self.rig.store.put("servers", self.name, {
            "service": SERVICE, "address": "127.0.0.1:%d" % self.port, "zone": "hall-a",
            "version": "v1", "slots": 96, "state": state, "coldLeftMs": 0, "sequence": 1,
            "born": self.born})

    def exit(self):
        """Ends as a process does: its connections are closed."""
        self.rig.record.line("worker %s exits" % self.name)
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                attempt = message[1].get("x-attempt-id", "")
                if message[1].get("x-expect-instance") != self.name:
                    writer.write(format_answer(421, b"", ["X-Not-Run: 1"]))
                    continue
                self.runs.append((self.rig.record.now(), attempt))
                self.rig.record.line("worker %s runs %s" % (self.name, attempt))
                await asyncio.sleep(self.work_s)
                writer.write(format_answer(200, attempt.encode(), [
                    "X-Attempt-Id: " + attempt, "X-Response-Seal: seal.%s" % self.name,
                    "Keep-Alive: timeout=5"]))
                await writer.drain()
                self.finished.add(attempt)
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Gateway:
    """A gateway process with the settings of one machine."""

    def __init__(self, rig, node, cloud_port, seeds=()):
        self.rig = rig
        self.node = node
        self.ports = {name: free_port() for name in ("front", "ready", "control", "relay")}
        self.process = None
        self.path = os.path.join(rig.dir, "%s-%d.conf" % (node, self.ports["front"]))
        self.log_path = self.path[:-len(".conf")] + ".log"
        template = os.path.join(REPOSITORY, "deploy/gateway.toml.template")
        with open(template, encoding="utf-8") as file:
            text = file.read()
        fields = {
            "node": node, "zone": "hall-a", "ip": "127.0.0.1", "bootstrap": True,
            "zones": {"hall-a": "gyeongnam"},
            "listen": {name: "127.0.0.1:%d" % self.ports[name]
                       for name in ("front", "ready", "control")},
            "portRange": [self.ports["relay"], self.ports["relay"]],
            "seeds": ["127.0.0.1:%d" % port for port in seeds],
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4200,
                       "linkMbps": 1000.0},
            "platform": {"address": "127.0.0.1:%d" % rig.store_port},
            "cloud": {"address": "127.0.0.1:%d" % cloud_port},
            "bounds": BOUNDS,
        }
        self.fields = fields
        self.template = text

    def start(self, bootstrap):
        self.fields["bootstrap"] = bootstrap
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(render(self.template, self.fields))
        command = gateway_command(self.path)
        self.rig.record.line("gateway %s starts at port %d" % (self.node, self.ports["front"]))
        with open(self.log_path, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(command, cwd=REPOSITORY, stdout=log, stderr=log)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def memory_mb(self):
        """Returns the memory that is resident, 0 if the process has ended."""
        try:
            with open("/proc/%d/status" % self.process.pid, encoding="utf-8") as file:
                found = re.search(r"VmRSS:\s+(\d+)", file.read())
        except OSError:
            return 0
        return int(found.group(1)) // 1024 if found else 0

    async def until_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CantRun("gateway %s is not ready" % self.node)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["ready"])
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            message = await read_message(reader)
            writer.close()
        except OSError:
            return False
        return message is not None and " 200 " in message[0] + " "


def gateway_command(settings):
    """Returns the command of deploy/system.toml, for settings at another path."""
    with open(os.path.join(REPOSITORY, "deploy/system.toml"), encoding="utf-8") as file:
        run = re.search(r'^run = "([^"]*)"', file.read(), re.MULTILINE).group(1)
    words = run.replace("/etc/pistachiodrift/boot.conf", settings).split(" ")
    words[0] = os.path.join(REPOSITORY, words[0])
    if not os.access(words[0], os.X_OK):
        raise CantRun("%s: not built" % words[0])
    return words


def reset(writer):
    """Closes a connection with a reset."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Rig:
    """All stand-ins of a case, and the gateways."""

    def __init__(self, record, directory):
        self.record = record
        self.dir = directory
        self.store = Store(record)
        self.store_port = None
        self.gateways = []

    async def start_store(self, configuration):
        server = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
        self.store_port = server.sockets[0].getsockname()[1]
        self.store.put("config", "main", configuration)

    async def start_cloud(self, on_call):
        """Starts the API for duties at a port of its own; returns the port."""
        async def serve(reader, writer):
            while (message := await read_message(reader)) is not None:
                on_call(message[0].split(" ")[1], message[1], message[2])
                writer.write(format_answer(200, b"{}"))
            writer.close()
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    def add_gateway(self, node, cloud_port):
        seeds = [other.ports["control"] for other in self.gateways[:3]]
        gateway = Gateway(self, node, cloud_port, seeds)
        self.gateways.append(gateway)
        return gateway

    def stop(self):
        for gateway in self.gateways:
            gateway.signal(signal.SIGKILL)
            if gateway.process:
                gateway.process.wait()


def configuration(body_bytes=4194304):
    """Returns a configuration with a safe and an unsafe route."""
    def route(name, kind, attempts):
        return {"name": name, "host": HOST, "pathPrefix": "/%s/" % name, "kind": kind,
                "service": SERVICE, "timeoutMs": 1500, "goalMs": 100, "priority": 0,
                "maxAttempts": attempts}
    return {
        "version": 3,
        "routes": [route("station-call", "unsafe", 1), route("torque-check", "safe", 2)],
        "services": [{"name": SERVICE, "maxConns": 480, "healthPath": "/health"}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": body_bytes,
                   "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
        "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
    }


def format_request(route, method, attempt, body, deadline_ms=1500):
    """Returns a client's request as bytes."""
    return ("%s /%s/2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n"
            "Authorization: Bearer %s\r\nContent-Length: %d\r\n\r\n"
            % (method, route, HOST, attempt, deadline_ms, KEY, len(body))).encode() + body


def main(play, directory):
    """Plays a case and exits: 1 if the rule was broken, 0 if it held, 2 if it can't run."""
    record = Record(os.path.join(directory, "record.txt"))

    async def run():
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            rig = Rig(record, temporary)
            try:
                return await asyncio.wait_for(play(rig), 110)
            finally:
                rig.stop()

    try:
        broken = asyncio.run(run())
    except (CantRun, asyncio.TimeoutError, OSError) as error:
        record.line("can't run: %r" % error)
        print("can't run: %r" % error)
        leave(2)
    leave(1 if broken else 0)


def leave(status):
    """Exits at once: the connections that are still open need no orderly end."""
    sys.stdout.flush()
    os._exit(status)
