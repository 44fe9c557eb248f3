"""Configurations come in quick succession while the configuration is large. The
relays read at most 1 MB of the log in each pause, fall behind, and send bookings
to a service that the configuration has left."""

import json
import os
import random
import struct
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import lib

HOST = "desk.example"
MACHINES = 9
CONFIG_APPLY_S = 2.0
RECORD_BYTES = 262144
APPEND_S = 0.002
PART_BYTES_PER_S = 20e6
# `big_config`: the configuration grows by 350 routes, three times.
GROWTH = 350
GROWTHS = 3
# `config_storm`: a change each 0.08 s for 2 s.
STORM_S = 2.0
STORM_GAP_S = 0.08
BOOKING_GAP_S = 0.02


class Store(lib.Store):
    """Returns at most `maxKb` of records for a read, as the real store does."""

    def _on_read(self, topic, args):
        source = int(args.get("source", "0"))
        limit = int(args.get("maxKb", "1024")) * 1024
        until = time.monotonic() + int(args.get("waitMs", "0")) / 1000
        with self._cond:
            while len(self._records.get(topic, [])) <= source:
                left = until - time.monotonic()
                if left <= 0:
                    break
                self._cond.wait(left)
            records = self._records.get(topic, [])
            data = struct.pack(">QQ", len(records), 0)
            size = 0
            for record in records[source:]:
                size += 4 + len(record)
                if size > limit:
                    break
                data += struct.pack(">I", len(record)) + record
        return self._ok(data, "application/octet-stream")

    def put(self, topic, key, value):
        if topic != "keyed.op":
            super().put(topic, key, value)
            return
        # Without spaces, as in the messages that `fleetbench wire` prints.
        data = json.dumps(value, separators=(",", ":")).encode()
        assert len(data) + 1 + len(key) <= RECORD_BYTES, len(data)
        record = bytes([len(key)]) + key.encode() + data
        # An append takes `appendMs` and proceeds at `partMbS`.
        time.sleep(APPEND_S + len(record) / PART_BYTES_PER_S)
        with self._cond:
            records = self._records.setdefault(topic, [])
            records.append(record)
            self._newest.setdefault(topic, {})[key] = (data, len(records) - 1)
            self._cond.notify_all()


class Runner:
    def __init__(self, name, service, zone, store, on_run):
        self.name = name
        self.service = service
        self._zone = zone
        self._store = store
        self._on_run = on_run
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self.server = lib.Server(self._serve)
        threading.Thread(target=self._heartbeat, daemon=True).start()

    def _heartbeat(self):
        while True:
            self._sequence += 1
            self._store.put(
                "keyed.servers",
                self.name,
                {
                    "service": self.service,
                    "address": self.server.address,
                    "zone": self._zone,
                    "version": "v1",
                    "slots": 6,
                    "state": "ready",
                    "coldLeftMs": 0,
                    "seqNo": self._sequence,
                    "born": self._born,
                },
            )
            time.sleep(1.2)

    def _serve(self, wire):
        while True:
            request = wire.message()
            request_id = request.get("Fireflyrouter-Request-Id")
            if request.get("Fireflyrouter-Expect-Instance") != self.name:
                wire.send(lib.compose("HTTP/1.1 421 Misdirected Request", []))
                continue
            self._on_run(self, request_id)
            time.sleep(0.005)
            wire.send(
                lib.compose(
                    "HTTP/1.1 200 OK",
                    [
                        ("Fireflyrouter-Request-Id", request_id),
                        ("Fireflyrouter-Response-Stamp", "s." + request_id),
                    ],
                    b"booked " + request_id.encode(),
                )
            )


def route(name, prefix, service, timeout_ms=1000):
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "non_idempotent",
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 100,
        "priority": 2,
        "service": service,
        "maxAttempts": 1,
        "sticky": False,
        "resumable": False,
    }


class Operator:
    """Writes the configuration; the store's answer is the acknowledgement."""

    def __init__(self, deployment, record):
        self._deployment = deployment
        self._record = record
        self._version = 1
        self.routes = [route("r-book", "/book/", "pitch-desk")]

    def grow(self):
        first = len(self.routes)
        for n in range(first, first + GROWTH):
            self.routes.append(route("r-%d" % n, "/x%d/" % n, "pitch-desk"))

    def write(self, note):
        self._version += random.randint(1, 4)
        services = [
            {"name": it, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": False}
            for it in ("pitch-desk", "pitch-desk-new")
        ]
        self._deployment.configure(self.routes, services, self._version)
        self._record("the store acknowledges version %d: %s" % (self._version, note))
        return time.monotonic()


def case(record):
    store = Store()
    deployment = lib.Deployment(relays=MACHINES, store=store)
    moved_at = []
    late = []
    sent_at = {}

    def on_run(runner, request_id):
        sent, relay = sent_at[request_id]
        if not moved_at or sent < moved_at[0]:
            return
        passed = sent - moved_at[0]
        if runner.service == "pitch-desk" and passed > CONFIG_APPLY_S:
            late.append(request_id)
            record(
                "CONFIG: %s, sent to %s %.0f ms after the acknowledgement, is run by %s of "
                "the old service" % (request_id, relay, passed * 1000, runner.name)
            )

    try:
        operator = Operator(deployment, record)
        operator.write("one route")
        for i in range(6):
            service = "pitch-desk" if i < 3 else "pitch-desk-new"
            Runner("i-%d" % i, service, deployment.zones[i % 3], store, on_run)
        deployment.start(record)
        stop = threading.Event()
        served = [0, 0]

        def bookings(relay, number):
            wire = relay.connect()
            count = 0
            while not stop.wait(BOOKING_GAP_S * MACHINES * random.uniform(0.5, 1.5)):
                count += 1
                request_id = "%08x%08x" % (number, count)
                sent_at[request_id] = (time.monotonic(), relay.name)
                wire.send(
                    lib.compose(
                        "POST /book/%d HTTP/1.1" % count,
                        [
                            ("Host", HOST),
                            ("Fireflyrouter-Request-Id", request_id),
                            ("Fireflyrouter-Deadline-Ms", "1000"),
                        ],
                        b"x" * 600,
                    )
                )
                try:
                    status = wire.message().status
                except lib.Closed:
                    return
                served[0] += 1
                served[1] += status == 200

        for i, relay in enumerate(deployment.relays):
            threading.Thread(target=bookings, args=(relay, i + 1), daemon=True).start()
        time.sleep(2)
        for _ in range(GROWTHS):
            operator.grow()
            operator.write("%d routes" % len(operator.routes))
            time.sleep(2)
        time.sleep(3)
        record("the configuration has %d routes" % len(operator.routes))
        if lib.TROUBLE:
            begin = time.monotonic()
            for n in range(1, round(STORM_S / STORM_GAP_S)):
                operator.routes[1] = route("r-1", "/x1/", "pitch-desk", 1000 + n)
                operator.write("a time-out")
                time.sleep(max(0, begin + n * STORM_GAP_S - time.monotonic()))
        operator.routes[0] = route("r-book", "/book/", "pitch-desk-new")
        moved_at.append(operator.write("/book/ moves to pitch-desk-new"))
        time.sleep(10)
        stop.set()
        time.sleep(0.5)
        record("%d of %d bookings were served" % (served[1], served[0]))
        if served[1] < served[0] // 2:
            raise lib.NotRun("too few bookings were served")
        record("%d bookings were run by the old service more than 2 s late" % len(late))
        return bool(late)
    finally:
        deployment.close()


if __name__ == "__main__":
    lib.main(case, os.path.dirname(os.path.abspath(__file__)))
