"""A late second copy of a rejection is taken for the answer to the repeat of
the same request on the same connection."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import lib

HOST = "desk.example"
BOOKINGS = 60
# The booking whose rejection is sent twice: 1 of 60 answers, less than the
# share of 0.03 that the site file names for second answers.
COPIED = 30
# One request in five finds the runner full.
FULL_EVERY = 5
# `maxAttempts` of the route. With 3 the booking runs twice (TWICE).
ATTEMPTS = int(os.environ.get("ATTEMPTS", "2"))


class Runner:
    """A runner of the booking desk. It rejects some requests as full, and a
    rejected request is taken when it comes again."""

    def __init__(self, name, zone, deployment, record):
        self.name = name
        self._record = record
        self._lock = threading.Lock()
        self.runs = {}
        self._seen = set()
        self._late = {}
        self.server = lib.Server(self._serve)
        self.entry = {
            "service": "pitch-desk",
            "address": self.server.address,
            "zone": zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldLeftMs": 0,
            "seqNo": 1,
            "born": int(time.time() * 1000),
        }
        self._store = deployment.store
        self.publish()

    def publish(self, state="ready"):
        self.entry["state"] = state
        self.entry["seqNo"] += 1
        self._store.put("keyed.servers", self.name, self.entry)

    def _serve(self, wire):
        late = None
        while True:
            request = wire.message()
            request_id = request.get("Fireflyrouter-Request-Id")
            number = int(request.get("X-Booking", "-1"))
            self._record("%s receives %s (booking %d)" % (self.name, request_id, number))
            if late is not None:
                # The point where the next response is expected.
                self._record("%s sends the second copy of the rejection of %s" % late[1:])
                wire.send(late[0])
                late = None
            if request.get("Fireflyrouter-Expect-Instance") != self.name:
                wire.send(lib.compose("HTTP/1.1 421 Misdirected Request", []))
                continue
            with self._lock:
                is_new = request_id not in self._seen
                self._seen.add(request_id)
            if is_new and number % FULL_EVERY == 0:
                answer = lib.compose(
                    "HTTP/1.1 503 Service Unavailable",
                    [
                        ("Fireflyrouter-Request-Id", request_id),
                        ("Fireflyrouter-Not-Run", "1"),
                    ],
                )
                self._record("%s is full and rejects %s" % (self.name, request_id))
                wire.send(answer)
                if lib.TROUBLE and number == COPIED:
                    late = (answer, self.name, request_id)
                continue
            with self._lock:
                self.runs[request_id] = self.runs.get(request_id, 0) + 1
            self._record("%s runs %s" % (self.name, request_id))
            time.sleep(0.015)
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


def case(record):
    deployment = lib.Deployment(relays=1)
    try:
        deployment.configure(
            routes=[
                {
                    "name": "pitch-book",
                    "host": HOST,
                    "pathPrefix": "/book/",
                    "kind": "non_idempotent",
                    "timeoutMs": 1000,
                    "targetLatencyMs": 100,
                    "priority": 2,
                    "service": "pitch-desk",
                    "maxAttempts": ATTEMPTS,
                    "sticky": False,
                    "resumable": False,
                }
            ],
            services=[
                {
                    "name": "pitch-desk",
                    "healthPath": "/health",
                    "maxConns": 110,
                    "protocol": "h1",
                    "tls": False,
                }
            ],
        )
        runners = [
            Runner("i-%d" % i, zone, deployment, record)
            for i, zone in enumerate(deployment.zones)
        ]
        deployment.start(record)
        # Planned work: two of the three runners are taken away.
        for runner in runners[1:]:
            runner.publish("draining")
            record("%s reports that it is draining" % runner.name)
        time.sleep(4)
        statuses = {}
        wire = deployment.relays[0].connect()
        for number in range(1, BOOKINGS + 1):
            request_id = "%016x" % (0x5EED0000 + number)
            record("client sends %s (booking %d)" % (request_id, number))
            wire.send(
                lib.compose(
                    "POST /book/%d HTTP/1.1" % number,
                    [
                        ("Host", HOST),
                        ("Fireflyrouter-Request-Id", request_id),
                        ("Fireflyrouter-Deadline-Ms", "1000"),
                        ("X-Booking", str(number)),
                    ],
                    b"x" * 600,
                )
            )
            answer = wire.message()
            statuses[request_id] = answer.status
            record("client gets %d for %s" % (answer.status, request_id))
        time.sleep(1)
        broken = False
        served = 0
        for request_id, status in statuses.items():
            runs = sum(it.runs.get(request_id, 0) for it in runners)
            served += status == 200
            if status in (408, 421, 429, 503) and runs > 0:
                record("REFUSED: %s was answered %d and ran" % (request_id, status))
                broken = True
            if runs > 1:
                record("TWICE: %s ran %d times" % (request_id, runs))
                broken = True
        record("%d of %d bookings were served" % (served, BOOKINGS))
        if served < BOOKINGS // 2:
            raise lib.NotRun("too few bookings were served")
        return broken
    finally:
        deployment.close()


if __name__ == "__main__":
    lib.main(case, os.path.dirname(os.path.abspath(__file__)))
