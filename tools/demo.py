"""Runs settings/demo.toml on free loopback ports and checks the answers.

Starts the stand-ins, three entries, stewards and ledgers, sends a streamed
model request, a lookup, a booking and its repeat, edits the operators' table,
prints the answers, and stops all processes that it started.
"""

import itertools
import json
import os
import pathlib
import re
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
HOSTS = ["host-1", "host-2", "host-3"]
WAIT_SECONDS = 60
STOP_SECONDS = 30
FIRST_PORT = 20000
PORTS = 12000
PORT_STEP = 37
# Ports in the settings file. Each is replaced by a distinct free port.
PORT = re.compile(r"\b17\d{3}\b")


class DemoError(Exception):
    """An answer or a process did not behave as expected."""


def is_free(port):
    """Whether the port can be bound for TCP and UDP at present."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def free_ports(count):
    """Finds free ports outside the range of outgoing connections."""
    start = os.getpid() * PORT_STEP
    candidates = (FIRST_PORT + (start + i) % PORTS for i in range(PORTS))
    return list(itertools.islice(filter(is_free, candidates), count))


def write_settings(directory):
    """Writes the settings with free ports. Returns the file and the port mapping."""
    text = (ROOT / "settings/demo.toml").read_text()
    wanted = sorted(set(PORT.findall(text)))
    ports = dict(zip(wanted, free_ports(len(wanted))))
    text = PORT.sub(lambda found: str(ports[found[0]]), text)
    text = text.replace('"../charts"', f'"{ROOT / "charts"}"')
    path = pathlib.Path(directory) / "demo.toml"
    path.write_text(text)
    return path, ports


class Demo:
    """The processes of one run and the URLs of their ports."""

    def __init__(self, directory):
        self.directory = pathlib.Path(directory)
        self.settings, self.ports = write_settings(directory)
        self.processes = []

    def url(self, port):
        """Returns the base URL of a port that the settings file names."""
        return f"http://127.0.0.1:{self.ports[str(port)]}"

    def start(self, program, *arguments):
        """Starts a program of the build; its output goes to a file."""
        name = f"{pathlib.Path(program).name}-{len(self.processes)}"
        with open(self.directory / f"{name}.log", "wb") as log:
            process = subprocess.Popen(
                [BUILD / program, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.processes.append((name, process))
        return process

    def start_all(self):
        """Starts the stand-ins, then the daemons of each host."""
        stand_ins = "tests/stand_ins"
        self.start(
            f"{stand_ins}/platform/firefly-standin-platform",
            f"--port={self.ports['17000']}",
        )
        for port, fencing in ((17500, True), (17501, True), (17502, False)):
            checks = ["--checks-fencing"] if fencing else []
            self.start(
                f"{stand_ins}/engine/firefly-standin-engine",
                f"--port={self.ports[str(port)]}",
                *checks,
            )
        for port in (17600, 17601):
            self.start(
                f"{stand_ins}/service/firefly-standin-service",
                f"--port={self.ports[str(port)]}",
            )
        for host in HOSTS:
            arguments = ["--settings", str(self.settings), "--host", host]
            for daemon in ("ledger", "steward", "entry"):
                self.start(f"main/firefly-{daemon}", *arguments)

    def stop_all(self):
        """Stops all processes, the newest first. Returns whether all stopped in time."""
        clean = True
        for _, process in reversed(self.processes):
            if process.poll() is None:
                process.terminate()
        for name, process in reversed(self.processes):
            try:
                process.wait(STOP_SECONDS)
            except subprocess.TimeoutExpired:
                print(f"{name} did not stop")
                process.kill()
                process.wait()
                clean = False
        return clean

    def output(self):
        """Prints the end of each process's output after a failed run."""
        for name, _ in self.processes:
            text = (self.directory / f"{name}.log").read_text(errors="replace")
            print(f"--- {name}\n{text[-1500:]}")


def ask(url, body=None, headers=None, method=None):
    """Makes an HTTP request. Returns the status, or 0 if it failed, and the body."""
    data = body.encode() if body is not None else None
    request = urllib.request.Request(
        url, data=data, headers=headers or {}, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=WAIT_SECONDS) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except OSError:
        return 0, ""


def wait_for(what, condition):
    """Waits until the condition holds; fails after WAIT_SECONDS."""
    end = time.monotonic() + WAIT_SECONDS
    while not condition():
        if time.monotonic() > end:
            raise DemoError(f"gave up waiting for {what}")
        time.sleep(0.1)


def expect(what, found, wanted):
    """Prints the value found and fails if it differs from the expected one."""
    print(f"{what}: {found}")
    if found != wanted:
        raise DemoError(f"{what}: expected {wanted}")


def stream_text(entry):
    """Streams an answer. Returns its status, its text, and whether it is complete."""
    body = {
        "model": "assistant",
        "messages": [{"role": "user", "content": "Which pitch is free?"}],
        "max_tokens": 8,
        "stream": True,
    }
    status, answer = ask(f"{entry}/v1/chat/completions", json.dumps(body))
    events = re.findall(r"^data: (.*)$", answer, re.M)
    text = ""
    for event in events[:-1]:
        delta = json.loads(event)["choices"][0]["delta"]
        text += delta.get("content", "")
    return status, text, events[-1:] == ["[DONE]"]


def show_model(demo):
    """Checks that each entry streams the same answer."""
    texts = set()
    for port in (17100, 17200, 17300):
        status, text, whole = stream_text(demo.url(port))
        expect(f"stream through {demo.url(port)}", (status, whole), (200, True))
        texts.add(text)
    expect("different answers", len(texts), 1)
    expect("tokens", len(next(iter(texts)).split()), 8)
    print(f"answer: {next(iter(texts))}")


def show_lookup(demo):
    """Checks a lookup of the plain service."""
    url = f"{demo.url(17100)}/services/desk/lookup?pitch=7"
    status, body = ask(url, "")
    expect("lookup", (status, json.loads(body)), (200, {"items": "pitch=7"}))


def show_booking(demo):
    """Checks that a booking repeated at another entry runs once."""
    body, key = '{"pitch": 7}', {"Idempotency-Key": "demo-1"}
    first = ask(f"{demo.url(17100)}/services/desk/book", body, key)
    expect("booking", first[0], 201)
    print(f"booked: {first[1]}")
    again = ask(f"{demo.url(17200)}/services/desk/book", body, key)
    expect("its repeat at another entry", again, first)
    runs = 0
    for port in (17600, 17601):
        counts = json.loads(ask(f"{demo.url(port)}/counts")[1])
        runs += counts["bookings"].get("demo-1", 0)
    expect("times that it ran", runs, 1)


def show_table(demo):
    """Checks that an edit of the operators' table takes effect at all entries."""
    entries = [
        part
        for port in (17101, 17201, 17301)
        for part in ("--entry", demo.url(port))
    ]
    program = BUILD / "main/fireflyctl"
    exported = subprocess.run(
        [program, "table", "export", *entries],
        capture_output=True,
        text=True,
        check=False,
    )
    expect("table export", exported.returncode, 0)
    lines = exported.stdout.splitlines()
    cells = [line.split(",") for line in lines]
    limit = cells[0].index("max_concurrent")
    for row in cells[1:]:
        row[limit] = "12"
    table = demo.directory / "table.csv"
    table.write_text("\n".join(",".join(row) for row in cells) + "\n")
    applied = subprocess.run(
        [program, "table", "apply", str(table), *entries],
        capture_output=True,
        text=True,
        check=False,
    )
    print(applied.stdout + applied.stderr, end="")
    expect("table apply", applied.returncode, 0)
    for port in (17101, 17201, 17301):
        answer = json.loads(ask(f"{demo.url(port)}/admin/table")[1])
        expect(f"table at {demo.url(port)}", answer["version"], 1)


def run(demo):
    """Runs each check in turn."""
    demo.start_all()
    for port in (17101, 17201, 17301):
        ready = f"{demo.url(port)}/readyz"
        wait_for(f"{ready}", lambda ready=ready: ask(ready)[0] == 200)
    leading = [f"{demo.url(port)}/fleet" for port in (17105, 17205, 17305)]
    wait_for(
        "a steward that leads",
        lambda: any('"leading":true' in ask(url)[1] for url in leading),
    )
    print("three entries are ready and a steward leads")
    show_model(demo)
    show_lookup(demo)
    show_booking(demo)
    show_table(demo)


def main():
    with tempfile.TemporaryDirectory(prefix="firefly-demo-") as directory:
        demo = Demo(directory)
        try:
            run(demo)
            right = True
        except DemoError as error:
            print(f"FAILED: {error}")
            demo.output()
            right = False
        finally:
            clean = demo.stop_all()
    print("demo: all as it should be" if right and clean else "demo: FAILED")
    return 0 if right and clean else 1


if __name__ == "__main__":
    sys.exit(main())
