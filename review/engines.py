"""A stand-in for the model runners of a deployment: they prefill prompts, hand
over KV caches, stream events and follow orders that change their stage. A
runner crashes when it begins to write an answer to a request that `is_deadly`
picks; it is back after some seconds under a new id."""

import json
import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import lib

HEARTBEAT_S = 1.2
DOWN_S = 3.0
ROLE_SWITCH_S = 3.0
EVENTS = 10
EVENT_GAP_S = 0.012
TOKENS_PER_MS = 61.8

SERVICE = {
    "name": "rota-assistant",
    "healthPath": "/health",
    "maxConns": 370,
    "protocol": "h1",
    "tls": False,
    "engine": {
        "slots": 64,
        "kvTokens": 468310,
        "kvTokenBytes": 163840,
        "linkMbps": 1900000.0,
        "moves": True,
        "backups": True,
        "stride": 12,
        "most": 12,
        "kvHoldS": 5.0,
        "roleSwitchS": ROLE_SWITCH_S,
        "pinMs": 4000.0,
        "holdMs": 2000.0,
        "models": [{"name": "m"}],
    },
}


class Engine:
    def __init__(self, number, zone, stage, fleet):
        self._number = number
        self._zone = zone
        self._fleet = fleet
        self._lock = threading.Lock()
        self._life = 0
        self.stage = stage
        self._start()
        threading.Thread(target=self._heartbeat, daemon=True).start()

    def _start(self):
        with self._lock:
            self._life += 1
            self.id = "i-%02d-%d" % (self._number, self._life)
            self.handles = {}
            self._switching = False
            self._sequence = 0
            self._born = int(time.time() * 1000)
            life = self._life
            self.up = True
            self.server = lib.Server(lambda wire: self._serve(wire, life))
        self._publish()

    def _publish(self):
        self._sequence += 1
        self._fleet.store.put(
            "keyed.servers",
            self.id,
            {
                "service": "rota-assistant",
                "address": self.server.address,
                "zone": self._zone,
                "version": "v1",
                "slots": 64,
                "state": "ready",
                "coldLeftMs": 0,
                "stage": self.stage,
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "seqNo": self._sequence,
                "born": self._born,
            },
        )

    def _heartbeat(self):
        while True:
            time.sleep(HEARTBEAT_S)
            if self.up:
                self._publish()

    def _crash(self, life, why):
        with self._lock:
            if not self.up or life != self._life:
                return
            self.up = False
            gone = self.id
            server = self.server
        self._fleet.on_crash(gone, why)
        server.stop()
        threading.Timer(DOWN_S, self._start).start()
        threading.Timer(
            3 * HEARTBEAT_S, lambda: self._fleet.store.put("keyed.servers", gone, None)
        ).start()

    def _switch(self, stage):
        with self._lock:
            self._switching = True

        def done():
            with self._lock:
                if self.up:
                    self.stage = stage
                    self._switching = False
            if self.up:
                self._publish()

        threading.Timer(ROLE_SWITCH_S, done).start()

    def _serve(self, wire, life):
        while self.up and life == self._life:
            request = wire.message()
            if request.target == "/-/order":
                order = json.loads(request.body)
                self._fleet.record(
                    "%s gets the order %s" % (self.id, json.dumps(order, sort_keys=True))
                )
                if self.stage == order["stage"]:
                    wire.send(lib.compose("HTTP/1.1 200 OK", []))
                else:
                    wire.send(lib.compose("HTTP/1.1 202 Accepted", []))
                    self._switch(order["stage"])
            elif request.target.startswith("/-/kv-handle/"):
                self.handles.pop(request.target.split("/")[-1], None)
                wire.send(lib.compose("HTTP/1.1 200 OK", []))
            elif request.target == "/-/report":
                body = json.dumps({"stage": self.stage, "busy": self._switching}).encode()
                wire.send(lib.compose("HTTP/1.1 200 OK", [], body))
            else:
                self._on_request(wire, request, life)

    def _on_request(self, wire, request, life):
        request_id = request.get("Fireflyrouter-Request-Id")
        echo = [("Fireflyrouter-Request-Id", request_id)]
        prompt = int(request.get("Fireflyrouter-Token-Count", "0,0").split(",")[0])
        read_s = prompt / TOKENS_PER_MS / 1000
        wants_prefill = request.get("Fireflyrouter-Stage") == "prefill"
        if (
            request.get("Fireflyrouter-Expect-Instance") != self.id
            or wants_prefill != (self.stage == "prefill")
        ):
            wire.send(lib.compose("HTTP/1.1 421 Misdirected Request", echo))
            return
        not_run = echo + [("Fireflyrouter-Not-Run", "1")]
        if self._switching:
            wire.send(lib.compose("HTTP/1.1 503 Service Unavailable", not_run))
            return
        self._fleet.on_reach(request, request_id, self.id, wants_prefill)
        if wants_prefill:
            time.sleep(read_s)
            handle = os.urandom(6).hex()
            self.handles[handle] = request_id
            body = json.dumps({"kvHandle": handle, "tokens": prompt, "version": 1}).encode()
            wire.send(
                lib.compose(
                    "HTTP/1.1 200 OK", echo + [("Content-Type", "application/json")], body
                )
            )
            return
        source = request.get("Fireflyrouter-Kv-Source")
        if source:
            address, _, handle = source.partition("/")
            if not self._fleet.take_handle(address, handle):
                wire.send(lib.compose("HTTP/1.1 503 Service Unavailable", not_run))
                return
            time.sleep(0.01)
        else:
            time.sleep(2 * read_s)
        self._fleet.on_run(request, request_id, self.id)
        if self._fleet.is_deadly(request):
            self._crash(life, request_id)
            return
        head = ["HTTP/1.1 200 OK"]
        head += ["%s: %s" % it for it in echo]
        head += [
            "Fireflyrouter-Response-Stamp: s." + request_id,
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        wire.send(("\r\n".join(head) + "\r\n\r\n").encode())
        for n in range(1, EVENTS + 1):
            if not self.up or life != self._life:
                return
            event = ("id: %d\ndata: %s.%d\n\n" % (n, request_id, n)).encode()
            wire.send(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(EVENT_GAP_S)
        wire.send(b"0\r\n\r\n")


class Fleet:
    """The runners of one service, and what they saw."""

    def __init__(self, store, record, zones, prefill, decode, is_deadly):
        self.store = store
        self.record = record
        self.is_deadly = is_deadly
        self._lock = threading.Lock()
        self.crashes = []  # (time, request id)
        self.reached = []  # (time, request id, whether only to prefill)
        stages = ["prefill"] * prefill + ["decode"] * decode
        self.engines = [
            Engine(i, zones[i % len(zones)], stage, self) for i, stage in enumerate(stages)
        ]

    def take_handle(self, address, handle):
        for it in self.engines:
            if it.up and it.server.address == address:
                return it.handles.pop(handle, None) is not None
        return False

    def on_crash(self, engine, request_id):
        with self._lock:
            self.crashes.append((time.monotonic(), request_id))
        self.record("%s crashes as it begins to answer %s" % (engine, request_id))

    def on_reach(self, request, request_id, engine, prefill):
        with self._lock:
            self.reached.append((time.monotonic(), request_id, prefill))

    def on_run(self, request, request_id, engine):
        self.record("%s runs %s" % (engine, request_id))


def ask(relay, host, path, request_id, parts, record, body, deadline_ms=5000):
    """Sends one streaming request; returns the status, or 0, and whether the
    stream came to its end."""
    tokens = sum(n for _, n in parts)
    status = 0
    try:
        wire = relay.connect()
        wire.sock.settimeout(deadline_ms / 1000 + 1)
        wire.send(
            lib.compose(
                "POST %s HTTP/1.1" % path,
                [
                    ("Host", host),
                    ("Fireflyrouter-Request-Id", request_id),
                    ("Fireflyrouter-Model", "m"),
                    ("Fireflyrouter-Token-Count", "%d,120" % tokens),
                    (
                        "Fireflyrouter-Prompt-Prefix",
                        ",".join("%x:%d" % it for it in parts),
                    ),
                    ("Fireflyrouter-Deadline-Ms", str(deadline_ms)),
                ],
                body,
            )
        )
        first, headers = wire.head()
        status = int(first.split(" ")[1])
        if headers.get("transfer-encoding") == "chunked":
            for _ in wire.chunks():
                pass
        else:
            wire.exactly(int(headers.get("content-length", "0")))
        whole = True
        wire.close()
    except (OSError, lib.Closed, ValueError):
        whole = False
    record(
        "client gets %s%s for %s from %s"
        % (status or "no answer", "" if whole else ", cut", request_id, relay.name)
    )
    return status, whole
