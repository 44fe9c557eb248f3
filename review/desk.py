"""A stand-in for sound runners of the booking desk, and its configuration."""

import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import lib

HOST = "desk.example"
SERVICE = {
    "name": "pitch-desk",
    "healthPath": "/health",
    "maxConns": 110,
    "protocol": "h1",
    "tls": False,
}
ROUTE = {
    "name": "pitch-book",
    "host": HOST,
    "pathPrefix": "/book/",
    "kind": "non_idempotent",
    "timeoutMs": 1000,
    "targetLatencyMs": 100,
    "priority": 2,
    "service": "pitch-desk",
    "maxAttempts": 1,
    "sticky": False,
    "resumable": False,
}


class Runner:
    def __init__(self, name, zone, store, work_s, on_run):
        self.name = name
        self._work_s = work_s
        self._on_run = on_run
        self.server = lib.Server(self._serve)
        store.put(
            "keyed.servers",
            name,
            {
                "service": "pitch-desk",
                "address": self.server.address,
                "zone": zone,
                "version": "v1",
                "slots": 6,
                "state": "ready",
                "coldLeftMs": 0,
                "seqNo": 1,
                "born": int(time.time() * 1000),
            },
        )

    def _serve(self, wire):
        while True:
            request = wire.message()
            request_id = request.get("Fireflyrouter-Request-Id")
            if request.get("Fireflyrouter-Expect-Instance") != self.name:
                wire.send(lib.compose("HTTP/1.1 421 Misdirected Request", []))
                continue
            self._on_run(request_id, self.name)
            time.sleep(self._work_s)
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


def booking(request_id, body, deadline_ms=1000):
    return lib.compose(
        "POST /book/1 HTTP/1.1",
        [
            ("Host", HOST),
            ("Fireflyrouter-Request-Id", request_id),
            ("Fireflyrouter-Deadline-Ms", str(deadline_ms)),
        ],
        body,
    )
