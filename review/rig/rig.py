"""Stand-ins for the users' platform, for the cases of the second review.

One asyncio loop holds the platform's store, its API for duties, the runners and
the clients. The relays are real processes, started with the command of
deploy/system.toml and with settings that are filled into its template.
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
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Machines and runners have loopback addresses of their own; cases that run side by
# side use other ones.
NET = f"127.{20 + os.getpid() % 200}"


def free_port(host="127.0.0.1", kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


# ---------------------------------------------------------------- template


def lookup(scopes, path):
    if path == ".":
        return scopes[-1][0]
    parts = path.split(".")
    for value, _ in reversed(scopes):
        found = value
        for part in parts:
            if isinstance(found, dict) and part in found:
                found = found[part]
            elif isinstance(found, list) and part.isdigit() and int(part) < len(found):
                found = found[int(part)]
            else:
                found = None
                break
        if found is not None:
            return found
    return None


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(as_text(it) for it in value)
    if isinstance(value, dict):
        return json.dumps(value)
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value)


def fill(text, scopes):
    """Fills in a template as DEPLOY.md describes it."""
    out = []
    while True:
        tag = re.search(r"\{\{([#^]?)([^{}]+)\}\}", text)
        if not tag:
            out.append(text)
            return "".join(out)
        out.append(text[: tag.start()])
        kind, name = tag.group(1), tag.group(2)
        rest = text[tag.end():]
        if kind:
            end = rest.index("{{/" + name + "}}")
            inner, text = rest[:end], rest[end + len(name) + 5:]
            value = lookup(scopes, name)
            there = value is not None and value is not False
            if kind == "^":
                out.append("" if there else fill(inner, scopes))
            elif isinstance(value, list):
                for i, it in enumerate(value):
                    last = i + 1 == len(value)
                    out.append(fill(inner, scopes + [(it, (i, last))]))
            elif isinstance(value, dict):
                for i, (key, it) in enumerate(value.items()):
                    out.append(fill(inner, scopes + [(it, (key, i + 1 == len(value)))]))
            elif there:
                out.append(fill(inner, scopes + [(value, (0, True))]))
            continue
        text = rest
        if name == ",":
            out.append("" if scopes[-1][1][1] else ",")
        elif name == "@":
            out.append(str(scopes[-1][1][0]))
        elif name.endswith("|json"):
            out.append(json.dumps(lookup(scopes, name[:-5])))
        else:
            out.append(as_text(lookup(scopes, name)))


# ---------------------------------------------------------------- HTTP/1.1


class Message:
    def __init__(self, start, headers, body):
        self.start, self.headers, self.body = start, headers, body

    def get(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        key, _, value = line.partition(":")
        headers.append((key.strip(), value.strip()))
    return Message(lines[0], headers, b"")


async def read_chunked(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size:
            body += await reader.readexactly(size)
        line = await reader.readline()
        if not size:
            while line not in (b"\r\n", b""):
                line = await reader.readline()
            return body


async def read_request(reader):
    message = await read_head(reader)
    if message.get("Transfer-Encoding").lower() == "chunked":
        message.body = await read_chunked(reader)
    elif message.get("Content-Length"):
        message.body = await reader.readexactly(int(message.get("Content-Length")))
    return message


def compose(status, headers, body=b"", reason="OK"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{key}: {value}" for key, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """Serves each connection with self.answer(); subclasses override it."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    async def stop(self):
        if self.server:
            self.server.close()
        for it in list(self.writers):
            it.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if not await self.answer(request, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, reader, writer):
        raise NotImplementedError


# ------------------------------------------------------------ the platform


class Part:
    def __init__(self):
        self.first = 0
        self.records = []  # (time, payload)
        self.newest = {}  # key -> (offset, value)

    @property
    def end(self):
        return self.first + len(self.records)


class Store(HttpServer):
    """The platform's store in its form as a log."""

    ANSWER_S = 0.004

    def __init__(self, host, port, keep_s):
        super().__init__(host, port)
        self.keep_s = keep_s
        self.parts = {}
        self.changed = asyncio.Condition()
        self.calls = 0

    def part(self, topic):
        part = self.parts.setdefault(topic, Part())
        limit = time.monotonic() - self.keep_s
        gone = 0
        while gone < len(part.records) and part.records[gone][0] < limit:
            gone += 1
        if gone:
            del part.records[:gone]
            part.first += gone
        return part

    async def append(self, topic, payloads):
        part = self.part(topic)
        offset = part.end
        for payload in payloads:
            if topic.startswith("keyed."):
                n = payload[0]
                key, value = payload[1:1 + n].decode(), payload[1 + n:]
                if value:
                    part.newest[key] = (part.end, value)
                else:
                    part.newest.pop(key, None)
            part.records.append((time.monotonic(), payload))
        async with self.changed:
            self.changed.notify_all()
        return offset

    async def put(self, topic, key, value):
        """Writes as the operator and the runners do."""
        name = key.encode()
        data = json.dumps(value).encode() if value is not None else b""
        return await self.append(topic, [bytes([len(name)]) + name + data])

    def fault(self, request, query):
        """Overridden by cases: returns a status instead of an answer."""
        return None

    async def answer(self, request, reader, writer):
        self.calls += 1
        method, target, _ = request.start.split(" ")
        path, _, text = target.partition("?")
        query = dict(it.partition("=")[::2] for it in text.split("&") if it)
        await asyncio.sleep(self.ANSWER_S)
        status = self.fault(request, query)
        if status:
            writer.write(compose(status, [], reason="Unavailable"))
            await writer.drain()
            return True
        topic = query.get("topic", "")
        if path == "/-/log-append":
            data, payloads = request.body, []
            while data:
                n = struct.unpack(">I", data[:4])[0]
                payloads.append(data[4:4 + n])
                data = data[4 + n:]
            offset = await self.append(topic, payloads)
            body = json.dumps({"offset": offset, "endOffset": offset + len(payloads)})
            writer.write(compose(200, [("Content-Type", "application/json")], body.encode()))
        elif path == "/-/log-newest":
            part = self.part(topic)
            after = query.get("after", "")
            keys = sorted(k for k in part.newest if k > after)
            items = [
                {"key": k, "value": base64.b64encode(part.newest[k][1]).decode(),
                 "offset": part.newest[k][0]} for k in keys[:500]]
            body = json.dumps({"items": items, "hasMore": len(keys) > 500, "endOffset": part.end})
            writer.write(compose(200, [("Content-Type", "application/json")], body.encode()))
        elif path == "/-/log-read":
            await self.read(topic, query, writer)
        else:
            writer.write(compose(404, [], reason="Not Found"))
        await writer.drain()
        return True

    async def read(self, topic, query, writer):
        source = int(query.get("source", 0))
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        part = self.part(topic)
        while source >= part.end and time.monotonic() < until:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    pass
        part = self.part(topic)
        if source < part.first or source > part.end:
            body = json.dumps({"first": part.first}).encode()
            writer.write(compose(410, [("Content-Type", "application/json")], body, "Gone"))
            return
        body = struct.pack(">QQ", part.end, part.first)
        room = int(query.get("maxKb", 1024)) * 1024
        for _, payload in part.records[source - part.first:]:
            room -= 4 + len(payload)
            if room < 0:
                break
            body += struct.pack(">I", len(payload)) + payload
        writer.write(compose(200, [("Content-Type", "application/octet-stream")], body))


class Cloud(HttpServer):
    """The platform's API for duties. Notes each call on arrival."""

    def __init__(self, host, port, record):
        super().__init__(host, port)
        self.record = record
        self.calls = []

    async def answer(self, request, reader, writer):
        self.calls.append({
            "at": time.monotonic(),
            "peer": writer.get_extra_info("peername")[0],
            "path": request.start.split(" ")[1],
            "holder": request.get("Fireflyrouter-Duty-Holder"),
            "token": int(request.get("Fireflyrouter-Fence-Token") or -1),
            "body": json.loads(request.body or b"{}")})
        call = self.calls[-1]
        self.record(f"platform got {call['path']} from {call['holder']} "
                    f"token {call['token']} window {call['body'].get('window')} "
                    f"counts {json.dumps(call['body'].get('counts'), sort_keys=True)}")
        writer.write(compose(200, []))
        await writer.drain()
        return True


# ------------------------------------------------------------------ runners


class Runner(HttpServer):
    """A plain service's runner. Keeps what it ran by request id."""

    def __init__(self, host, port, store, service, zone, record, work_s=0.015, slots=6):
        super().__init__(host, port)
        self.store, self.service, self.zone, self.record = store, service, zone, record
        self.work_s, self.slots = work_s, slots
        self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.state, self.seq = "ready", 0
        self.ran = []
        self.beating = None
        self.extra = {}

    def entry(self):
        self.seq += 1
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "coldLeftMs": 0, "seqNo": self.seq, "born": self.born, **self.extra}

    async def start(self):
        await super().start()
        self.beating = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            await self.store.put("keyed.servers", self.id, self.entry())
            await asyncio.sleep(1.2)

    async def stop(self):
        if self.beating:
            self.beating.cancel()
        await super().stop()

    def stamp(self, request):
        return [("Fireflyrouter-Request-Id", request.get("Fireflyrouter-Request-Id")),
                ("Fireflyrouter-Response-Stamp", "3e1b.%s.%08x" % (self.id, random.getrandbits(32)))]

    def misdirected(self, request):
        expected = request.get("Fireflyrouter-Expect-Instance")
        return bool(expected) and expected != self.id

    async def answer(self, request, reader, writer):
        if self.misdirected(request):
            writer.write(compose(421, [
                ("Fireflyrouter-Request-Id", request.get("Fireflyrouter-Request-Id")),
                ("Fireflyrouter-Instance-Id", self.id)], b"", "Misdirected"))
            await writer.drain()
            return True
        self.ran.append(request)
        await asyncio.sleep(self.work_s)
        writer.write(compose(200, self.stamp(request), b"x" * 100))
        await writer.drain()
        return True


# ------------------------------------------------------------------- relays


class Relay:
    """One machine with its relay process, as the platform runs it."""

    def __init__(self, rig, name, ip, zone):
        self.rig, self.name, self.ip, self.zone = rig, name, ip, zone
        self.process = None
        self.settings = rig.folder / f"{name}.toml"
        self.output = open(rig.folder / f"{name}.log", "ab")
        self.starts = 0

    @property
    def front(self):
        return self.ip, self.rig.ports["front"]

    def fields(self):
        rig = self.rig
        listen = {key: f"{self.ip}:{rig.ports[key]}" for key in ("front", "ready", "control")}
        return {
            "nodeName": self.name, "role": "relay", "machineClass": "edge",
            "serves": ["edge", "control_plane"], "ip": self.ip, "zone": self.zone,
            "region": "region", "zones": {it: "region" for it in rig.zones},
            "listen": listen,
            "innerPortRange": [rig.ports["inner"], rig.ports["inner2"]],
            "seeds": rig.seeds, "bootstrap": self.starts == 0, "inLossBudget": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
            "contracts": rig.contracts, "bounds": rig.bounds,
            "platform": {"address": rig.store_address(self), "form": "log", "writesPerS": 400,
                         "readsPerS": 2000, "parts": 12, "appendMs": 2.0, "partMbS": 20.0,
                         "readMbS": 80.0, "recordBytes": 262144, "requestBytes": 2097152,
                         "keep_s": rig.keep_s, "partMb": 200, "minTtlMs": 1000},
            **({"cloud": rig.cloud_fields} if rig.cloud_fields else {}),
        }

    async def start(self):
        role = rig_role()
        text = (ROOT / role["template"]).read_text()
        self.settings.write_text(fill(text, [(self.fields(), (0, True))]))
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["FIREFLYROUTER_NODE_FILE"] = str(self.settings)
        self.starts += 1
        self.process = await asyncio.create_subprocess_exec(
            *role["run"].split(), cwd=ROOT, env=environment,
            stdin=asyncio.subprocess.DEVNULL, stdout=self.output, stderr=self.output)
        self.rig.record(f"{self.name} started, process {self.starts}")

    def signal(self, number):
        self.rig.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ended(self, timeout):
        try:
            code = await asyncio.wait_for(self.process.wait(), timeout)
            self.rig.record(f"{self.name} ended with {code}")
            return code
        except asyncio.TimeoutError:
            return None

    def running(self):
        return self.process is not None and self.process.returncode is None

    async def ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.rig.ports["ready"]), 1)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200" in line
        except (OSError, asyncio.TimeoutError):
            return False


def rig_role():
    """The role of the deploy file, which has one."""
    text = (ROOT / "deploy/system.toml").read_text()
    role = text[text.index("[roles."):]
    return {key: re.search(rf'^{key} = "([^"]*)"', role, re.M).group(1)
            for key in ("run", "template")}


SMALL_BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "maxSkewMs": 5000, "retryBudgetRatio": 0.2,
    "retryWindowS": 10, "retryBudgetSlack": 58, "recoveryS": 12, "transitMs": 120,
    "retryAfterS": 7.8, "enforceFencing": True, "leaseMs": 3000, "thawSlackMs": 300}


class Rig:
    def __init__(self, zones=("yard-a", "yard-b", "yard-c"), keep_s=300, bounds=None,
                 contracts=("base", "drain", "config", "cost", "retry", "recover",
                            "split", "stream", "engine", "platform")):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="rig-"))
        self.begin = time.monotonic()
        self.lines = []
        self.zones, self.keep_s = list(zones), keep_s
        self.bounds = dict(SMALL_BOUNDS, **(bounds or {}))
        self.contracts = list(contracts)
        self.ports = {key: free_port() for key in ("front", "ready", "control")}
        self.ports["inner"] = free_port(kind=socket.SOCK_DGRAM)
        self.ports["inner2"] = free_port(kind=socket.SOCK_DGRAM)
        self.store = Store("127.0.0.1", free_port(), keep_s)
        self.cloud, self.cloud_fields = None, None
        self.relays, self.runners, self.seeds, self.others = [], [], [], []

    def record(self, text):
        self.lines.append(f"{time.monotonic() - self.begin:8.3f} {text}")

    def store_address(self, relay):
        return self.store.address

    def add_cloud(self, duties):
        self.cloud = Cloud("127.0.0.1", free_port(), self.record)
        self.cloud_fields = {"address": self.cloud.address, "ratePerS": 50.0,
                             "duties": duties, "dutyPerS": 50.0}

    def add_relays(self, count):
        for i in range(count):
            zone = self.zones[i % len(self.zones)]
            # Every machine has an address of its own; the ports are the same.
            relay = Relay(self, f"edge-{zone}-{i // len(self.zones) + 1}", f"{NET}.7.{i + 1}", zone)
            self.relays.append(relay)
        self.seeds = [f"{it.ip}:{self.ports['control']}" for it in self.relays[:3]]

    def add_runner(self, service, zone, cls=Runner, **options):
        host = f"{NET}.8.{len(self.runners) + 1}"
        runner = cls(host, free_port(host), self.store, service, zone, self.record, **options)
        self.runners.append(runner)
        return runner

    async def configure(self, config):
        await self.store.put("keyed.op", "config", config)
        self.record(f"operator: configuration {config['version']} acknowledged")

    async def start(self, config):
        await self.store.start()
        if self.cloud:
            await self.cloud.start()
        for it in self.runners:
            await it.start()
        await self.configure(config)
        for it in self.relays:
            await it.start()
            # "All machines start within 0.3 s of each other."
            await asyncio.sleep(0.25 / len(self.relays))

    async def all_ready(self, timeout=10):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if all([await it.ready() for it in self.relays]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        for it in self.relays:
            if it.running():
                try:
                    it.process.send_signal(signal.SIGCONT)
                    it.process.kill()
                except ProcessLookupError:
                    pass
                await it.process.wait()
            it.output.close()
        for it in self.runners + self.others + ([self.cloud] if self.cloud else []) + [self.store]:
            await it.stop()

    def logs(self, pattern):
        """Lines of the relays' own logs that match, with the relay's name."""
        found = []
        for it in self.relays:
            for line in (self.folder / f"{it.name}.log").read_text(errors="replace").splitlines():
                if re.search(pattern, line):
                    found.append((it.name, line))
        return found

    def finish(self, folder, verdict):
        self.record(verdict)
        (pathlib.Path(folder) / "record.txt").write_text("\n".join(self.lines) + "\n")
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def request_id():
    return "%016x" % random.getrandbits(64)


async def ask(address, method, path, host, headers=(), body=b"", timeout=3.0, request=None):
    """One client attempt on a connection of its own: (status, head, body)."""
    request = request or request_id()
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}",
             f"Fireflyrouter-Request-Id: {request}",
             f"Fireflyrouter-Deadline-Ms: {int(timeout * 1000)}"]
    lines += [f"{key}: {value}" for key, value in headers]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    lines.append("Connection: close")
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1)
    except (OSError, asyncio.TimeoutError):
        return 0, None, b"no connection"
    try:
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        head = await asyncio.wait_for(read_head(reader), timeout + 1)
        if head.get("Transfer-Encoding").lower() == "chunked":
            data = await asyncio.wait_for(read_chunked(reader), timeout + 1)
        elif head.get("Content-Length"):
            data = await asyncio.wait_for(
                reader.readexactly(int(head.get("Content-Length"))), timeout + 1)
        else:
            data = await asyncio.wait_for(reader.read(), timeout + 1)
        return int(head.start.split(" ")[1]), head, data
    except asyncio.TimeoutError:
        return -1, None, b"no answer"
    except (asyncio.IncompleteReadError, ConnectionError):
        return -2, None, b"cut"
    finally:
        writer.close()


def check_build():
    program = ROOT / rig_role()["run"].split()[0]
    if not program.exists():
        print(f"{program} is missing: build the deploy file first", file=sys.stderr)
        sys.exit(2)
