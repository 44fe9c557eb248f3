"""Model runners and clients of streams, as PROTOCOL.md describes them."""

import asyncio
import json
import random
import time

import rig as r

HOST = "ficu95.example"
PATH = "/pufi791/"


def config(timeout_ms=5000):
    return {
        "version": 7,
        "routes": [{"name": "r-hh2b9wu", "host": HOST, "pathPrefix": PATH, "kind": "streaming",
                    "timeoutMs": timeout_ms, "targetLatencyMs": 500, "priority": 1,
                    "service": "huvo11a", "maxAttempts": 2, "sticky": True, "resumable": True,
                    "targetGapMs": 200}],
        "services": [{"name": "huvo11a", "healthPath": "/health", "maxConns": 370,
                      "protocol": "h1", "tls": False,
                      "engine": {"slots": 64, "kvTokens": 468310, "kvTokenBytes": 163840,
                                 "linkMbps": 1900000.0, "moves": True, "backups": True,
                                 "stride": 1, "most": 12, "kvHoldS": 5.0, "roleSwitchS": 3.0,
                                 "pinMs": 4000.0, "holdMs": 2000.0, "models": [{"name": "m"}]}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


class Engine(r.Runner):
    """Streams `events` events, `gap_s` apart. Prefills, and carries out orders."""

    events, gap_s, prefill_s, switch_s = 14, 0.12, 0.05, 3.0

    def __init__(self, *args, stage="decode", version="v1", **options):
        super().__init__(*args, slots=64, **options)
        self.version, self.handles, self.orders = version, {}, 0
        self.switching = None
        self.extra = {"stage": stage, "version": version,
                      "models": [{"name": "m", "version": 1, "adapters": []}]}

    async def reply(self, request, writer, status, headers, body=b"", reason="OK"):
        name = "Fireflyrouter-Request-Id"
        if request.get(name):
            headers = [(name, request.get(name))] + headers
        writer.write(r.compose(status, headers, body, reason))
        await writer.drain()
        return True

    async def order(self, request, writer):
        if self.misdirected(request):
            return await self.reply(request, writer, 421, [("Fireflyrouter-Instance-Id", self.id)])
        body = json.loads(request.body)
        if self.switching:
            return await self.reply(request, writer, 409, [], reason="Conflict")
        if body["stage"] == self.extra["stage"]:
            return await self.reply(request, writer, 200, [])
        self.orders += 1
        self.switching = asyncio.create_task(self.switch(body["stage"]))
        return await self.reply(request, writer, 202, [], reason="Accepted")

    async def switch(self, stage):
        await asyncio.sleep(self.switch_s)
        self.extra["stage"], self.switching = stage, None
        await self.store.put("keyed.servers", self.id, self.entry())

    async def answer(self, request, reader, writer):
        if request.start.startswith("POST /-/order"):
            return await self.order(request, writer)
        if request.start.startswith("DELETE /-/kv-handle/"):
            self.handles.pop(request.start.split(" ")[1].rsplit("/", 1)[1], None)
            return await self.reply(request, writer, 200, [])
        if self.misdirected(request):
            return await self.reply(request, writer, 421, [("Fireflyrouter-Instance-Id", self.id)])
        if self.switching:
            return await self.reply(request, writer, 503, [("Fireflyrouter-Not-Run", "1")], reason="Busy")
        prefill = request.get("Fireflyrouter-Stage") == "prefill"
        if prefill != (self.extra["stage"] == "prefill"):
            return await self.reply(request, writer, 421, [("Fireflyrouter-Instance-Id", self.id)])
        if prefill:
            await asyncio.sleep(self.prefill_s)
            handle = "%012x" % random.getrandbits(48)
            self.handles[handle] = time.monotonic()
            body = json.dumps({"kvHandle": handle, "tokens": 1460, "version": 1}).encode()
            return await self.reply(
                request, writer, 200, [("Content-Type", "application/json")], body)
        return await self.stream(request, writer)

    async def stream(self, request, writer):
        self.ran.append(request)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        lines += [f"{key}: {value}" for key, value in self.stamp(request)]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        last = request.get("Last-Event-Id")
        for n in range(int(last) + 1 if last else 1, self.events + 1):
            await asyncio.sleep(self.gap_s)
            event = f"id: {n}\ndata: {self.version} {self.id}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Stream:
    """What one client saw of one stream, over its tries."""

    def __init__(self):
        self.own = random.getrandbits(32)
        self.body = b"%040x" % random.getrandbits(160)
        self.first = None  # id of the try that brought the first event
        self.events = []  # (id, data)
        self.tries = []  # (time, relay, resumed, status, events got)
        self.whole = False


async def one_try(stream, relay, timeout, patience=2.0):
    """One client attempt. Returns the Retry-After of a refusal, or None."""
    request = r.request_id()
    headers = [f"POST {PATH}2f HTTP/1.1", f"Host: {HOST}",
               f"Fireflyrouter-Request-Id: {request}", "Fireflyrouter-Model: m",
               "Fireflyrouter-Token-Count: 1460,80",
               f"Fireflyrouter-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,{stream.own:x}:250",
               f"Fireflyrouter-Deadline-Ms: {int(timeout * 1000)}",
               f"Content-Length: {len(stream.body)}"]
    resumed = bool(stream.events)
    if resumed:
        headers += [f"Last-Event-Id: {stream.events[-1][0]}", f"Resumes: {stream.first}"]
    begin, status, got, after = time.monotonic(), 0, 0, None
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*relay.front), 1)
        writer.write(("\r\n".join(headers) + "\r\n\r\n").encode() + stream.body)
        head = await asyncio.wait_for(r.read_head(reader), timeout)
        status = int(head.start.split(" ")[1])
        if status == 200:
            data = b""
            while True:
                size = int((await asyncio.wait_for(reader.readline(), patience)) or b"x", 16)
                chunk = await asyncio.wait_for(reader.readexactly(size + 2), patience)
                if not size:
                    stream.whole = True
                    break
                data += chunk[:-2]
                while b"\n\n" in data:
                    event, _, data = data.partition(b"\n\n")
                    fields = dict(it.split(": ", 1) for it in event.decode().split("\n"))
                    stream.first = stream.first or request
                    stream.events.append((int(fields["id"]), fields["data"]))
                    got += 1
        else:
            after = float(head.get("Retry-After") or 0.2)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer:
            writer.close()
    stream.tries.append((begin, relay, resumed, status, got))
    return after


async def run_stream(relays, first, deadline=5.0, tries=3):
    """A client: begins at one relay, and takes the stream up again at others."""
    stream, end = Stream(), time.monotonic() + deadline
    order = [first] + random.sample([it for it in relays if it is not first], len(relays) - 1)
    for n in range(tries):
        left = end - time.monotonic()
        if stream.whole or left < 0.2:
            break
        after = await one_try(stream, order[n % len(order)], left)
        if not stream.whole:
            await asyncio.sleep(min(after or 0.05, max(0, end - time.monotonic()) / 3))
    return stream
