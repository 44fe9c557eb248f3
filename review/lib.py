"""Stand-ins for the platform, the runners and the clients of a small
deployment, on loopback addresses, and a launcher for real relays.

Only the Python standard library is used.
"""

import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

BROKEN = 1
HELD = 0
NOT_RUN = 2

RUN_LIMIT_S = 115  # a run must end within 120 s


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, case_dir):
        self._file = open(os.path.join(case_dir, "record.txt"), "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def __call__(self, text):
        with self._lock:
            self._file.write("%8.3f %s\n" % (self.now(), text))
            self._file.flush()


class Closed(Exception):
    """The peer closed or reset the connection."""


class Message:
    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


class Wire:
    """HTTP/1.1 messages on one socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buf = b""

    def _more(self):
        try:
            data = self.sock.recv(65536)
        except OSError as error:
            raise Closed(str(error)) from error
        if not data:
            raise Closed("end of connection")
        self.buf += data

    def line(self):
        while b"\r\n" not in self.buf:
            self._more()
        line, self.buf = self.buf.split(b"\r\n", 1)
        return line

    def exactly(self, n):
        while len(self.buf) < n:
            self._more()
        data, self.buf = self.buf[:n], self.buf[n:]
        return data

    def head(self):
        first = self.line().decode("latin-1")
        headers = {}
        while True:
            line = self.line().decode("latin-1")
            if not line:
                return first, headers
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()

    def chunks(self):
        while True:
            size = int(self.line().split(b";")[0], 16)
            if size == 0:
                while self.line():
                    pass
                return
            yield self.exactly(size)
            self.exactly(2)

    def message(self):
        first, headers = self.head()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b"".join(self.chunks())
        else:
            body = self.exactly(int(headers.get("content-length", "0")))
        return Message(first, headers, body)

    def send(self, data):
        try:
            self.sock.sendall(data)
        except OSError as error:
            raise Closed(str(error)) from error

    def gone(self):
        """Whether the peer has closed the connection."""
        try:
            self.sock.setblocking(False)
            try:
                return self.sock.recv(1, socket.MSG_PEEK) == b""
            finally:
                self.sock.setblocking(True)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def close(self, reset=False):
        try:
            if reset:
                self.sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            self.sock.close()
        except OSError:
            pass


def compose(first, headers, body=b""):
    lines = [first]
    lines += ["%s: %s" % (name, value) for name, value in headers]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """A listening socket with one thread for each connection."""

    def __init__(self, serve, ip="127.0.0.1"):
        self._serve = serve
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind((ip, 0))
        self._sock.listen(1024)
        self.ip = ip
        self.port = self._sock.getsockname()[1]
        self._wires = set()
        self._lock = threading.Lock()
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    def _accept(self):
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._run, args=(Wire(sock),), daemon=True).start()

    def _run(self, wire):
        with self._lock:
            self._wires.add(wire)
        try:
            self._serve(wire)
        except (Closed, ValueError, IndexError):
            pass
        finally:
            with self._lock:
                self._wires.discard(wire)
            wire.close()

    def stop(self):
        """Stops listening and resets all connections, as in a crash."""
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._sock.close()
        self.reset_all()

    def reset_all(self):
        with self._lock:
            wires = list(self._wires)
        for wire in wires:
            try:
                wire.sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
                wire.sock.shutdown(socket.SHUT_RD)
            except OSError:
                pass
            wire.close()


class Store:
    """The platform's metadata store, a log with compacted topics."""

    def __init__(self):
        self._cond = threading.Condition()
        self._records = {}
        self._newest = {}
        self.server = Server(self._serve)

    @property
    def url(self):
        return "http://" + self.server.address

    def put(self, topic, key, value):
        """Writes a key of a compacted topic; None drops it."""
        data = b"" if value is None else json.dumps(value).encode()
        record = bytes([len(key)]) + key.encode() + data
        with self._cond:
            records = self._records.setdefault(topic, [])
            records.append(record)
            newest = self._newest.setdefault(topic, {})
            if value is None:
                newest.pop(key, None)
            else:
                newest[key] = (data, len(records) - 1)
            self._cond.notify_all()

    def _serve(self, wire):
        while True:
            request = wire.message()
            path, _, query = request.target.partition("?")
            args = dict(urllib.parse.parse_qsl(query))
            topic = args.get("topic", "")
            if path == "/-/log-newest":
                wire.send(self._on_newest(topic, args))
            elif path == "/-/log-read":
                wire.send(self._on_read(topic, args))
            elif path == "/-/log-append":
                wire.send(self._on_append(topic, request.body))
            else:
                wire.send(compose("HTTP/1.1 404 Not Found", []))

    @staticmethod
    def _ok(body, kind="application/json"):
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        return compose("HTTP/1.1 200 OK", [("Content-Type", kind)], body)

    def _on_newest(self, topic, args):
        with self._cond:
            items = [
                {"key": key, "value": base64.b64encode(data).decode(), "offset": offset}
                for key, (data, offset) in sorted(self._newest.get(topic, {}).items())
                if key > args.get("after", "")
            ]
            end = len(self._records.get(topic, []))
        page = items[:500]
        return self._ok(
            {"items": page, "hasMore": len(items) > len(page), "endOffset": end}
        )

    def _on_read(self, topic, args):
        source = int(args.get("source", "0"))
        until = time.monotonic() + int(args.get("waitMs", "0")) / 1000
        with self._cond:
            while len(self._records.get(topic, [])) <= source:
                left = until - time.monotonic()
                if left <= 0:
                    break
                self._cond.wait(left)
            records = self._records.get(topic, [])
            data = struct.pack(">QQ", len(records), 0)
            for record in records[source:]:
                data += struct.pack(">I", len(record)) + record
        return self._ok(data, "application/octet-stream")

    def _on_append(self, topic, body):
        with self._cond:
            records = self._records.setdefault(topic, [])
            first = len(records)
            while body:
                (n,) = struct.unpack(">I", body[:4])
                records.append(body[4 : 4 + n])
                body = body[4 + n :]
            self._cond.notify_all()
            return self._ok({"offset": first, "endOffset": len(records)})


def free_host(index):
    """A loopback address of this run; several runs may go on at once."""
    pid = os.getpid()
    return "127.%d.%d.%d" % (1 + pid // 250 % 250, 1 + pid % 250, 1 + index)


def free_ports(hosts):
    """Two TCP ports and two UDP ports that are free on all of the addresses;
    the ports are the same on all machines of a day."""
    kinds = [socket.SOCK_STREAM] * 2 + [socket.SOCK_DGRAM] * 2
    for base in random.Random(os.getpid()).sample(range(10000, 30000, 10), 200):
        try:
            for i, kind in enumerate(kinds):
                for host in hosts:
                    with socket.socket(socket.AF_INET, kind) as it:
                        it.bind((host, base + i))
        except OSError:
            continue
        return [base + i for i in range(len(kinds))]
    raise NotRun("no free ports")


class Relay:
    """A relay process, started with the command of the deploy file."""

    def __init__(self, index, zone, store, seeds, directory, ports):
        self.front, self.status, self.inner_first, self.inner_last = ports
        self.name = "edge-%d" % (index + 1)
        self.ip = free_host(index)
        self._file = os.path.join(directory, self.name + ".toml")
        self._log = os.path.join(directory, self.name + ".log")
        self.process = None
        # deploy/relay.toml.in, filled in with the bounds of the small sites.
        text = """
[host]
id = "%s"
domain = "%s"
callers = "%s:%d"
status = "%s:%d"
[peers]
port = %d
fact_port = %d
seeds = [%s]
[log_service]
url = "%s"
[relay]
stop_grace_ms = 8000
[engines]
lease_ms = 3000
[engines.decode]
prompt_tokens_per_s = 26000
output_tokens_per_s = 15400
token_gap_ms = 4.2
copy_tokens_per_s = 1400000
[engines.prefill]
prompt_tokens_per_s = 61800
copy_tokens_per_s = 1400000
[log]
level = "info"
layout = "json"
""" % (
            self.name,
            zone,
            self.ip,
            self.front,
            self.ip,
            self.status,
            self.inner_first,
            self.inner_last,
            ",".join('"%s:8144"' % it for it in seeds),
            store.url,
        )
        with open(self._file, "w", encoding="utf-8") as file:
            file.write(text)

    def start(self):
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["FIREFLYROUTER_NODE_FILE"] = self._file
        log = open(self._log, "a", encoding="utf-8")
        self.process = subprocess.Popen(
            ["target/main/firefly-relay"],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def connect(self, timeout=5.0):
        sock = socket.create_connection((self.ip, self.front), timeout=timeout)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return Wire(sock)

    def ready(self):
        try:
            sock = socket.create_connection((self.ip, self.status), timeout=0.5)
            sock.settimeout(0.5)
            wire = Wire(sock)
            wire.send(
                ("GET /readyz HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n" % self.ip).encode()
            )
            status = wire.message().status
            wire.close()
            return status == 200
        except (OSError, Closed, ValueError):
            return False


class Deployment:
    """Relays, the store and runners; ends all processes on close()."""

    def __init__(
        self,
        relays,
        zones=("glasgow-yard", "edinburgh-yard", "stirling-yard"),
        store=None,
    ):
        self.directory = tempfile.mkdtemp(prefix="firefly-review-")
        self.store = store or Store()
        self.zones = zones
        seeds = [free_host(i) for i in range(min(3, relays))]
        ports = free_ports([free_host(i) for i in range(relays)])
        self.relays = [
            Relay(i, zones[i % len(zones)], self.store, seeds, self.directory, ports)
            for i in range(relays)
        ]

    def configure(self, routes, services, version=1, limits=None):
        self.store.put(
            "keyed.op",
            "config",
            {
                "version": version,
                "routes": routes,
                "services": services,
                "limits": limits
                or {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 4194304,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
            },
        )

    def start(self, record, settle_s=3.0):
        for relay in self.relays:
            relay.start()
        self.wait_ready(record)
        time.sleep(settle_s)  # contactMs: the machines are in touch

    def wait_ready(self, record):
        until = time.monotonic() + 15
        for relay in self.relays:
            while not relay.ready():
                if time.monotonic() > until:
                    record("relay %s does not get ready" % relay.name)
                    raise NotRun("a relay does not get ready")
                time.sleep(0.05)
        record("all relays are ready")

    def close(self):
        for relay in self.relays:
            relay.kill()
        shutil.rmtree(self.directory, ignore_errors=True)


class NotRun(Exception):
    """The case could not run."""


def main(case, case_dir):
    """Runs case(record); it returns whether the rule was broken."""
    record = Record(case_dir)
    program = os.path.join(ROOT, "target/main/firefly-relay")
    if not os.access(program, os.X_OK):
        record("target/main/firefly-relay is missing: build with the deploy file first")
        print("not run: target/main/firefly-relay is missing")
        sys.exit(NOT_RUN)

    def give_up():
        record("the run took too long")
        os.kill(os.getpid(), signal.SIGTERM)

    def on_term(*_):
        raise NotRun("stopped")

    signal.signal(signal.SIGTERM, on_term)
    timer = threading.Timer(RUN_LIMIT_S, give_up)
    timer.daemon = True
    timer.start()
    record("TROUBLE=%d" % TROUBLE)
    try:
        broken = case(record)
    except NotRun as error:
        record("not run: %s" % error)
        print("not run: %s" % error)
        code = NOT_RUN
    except Exception as error:  # a fault of the stand-ins is no verdict
        record("not run: %r" % error)
        print("not run: %r" % error)
        code = NOT_RUN
    else:
        code = BROKEN if broken else HELD
        verdict = "the rule was broken" if broken else "the rule held"
        record(verdict)
        print(verdict)
    sys.stdout.flush()
    os._exit(code)
