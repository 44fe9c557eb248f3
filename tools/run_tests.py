"""Runs the test programs and the model checks, and counts single tests.

CppUTest programs report each of their tests; a check run by a script counts as
one test for each line "PASS name" or "FAIL name" that it prints. Failures of
tests listed in KNOWN-RED.txt are printed but do not affect the exit code.
"""

import concurrent.futures
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
TESTS = ROOT / "build/tests"
SINGLE_RUN_SECONDS = 600
# Process-level tests start a dozen daemons each, so they run one at a time.
PROCESS_SUFFIX = "_process_test"
CPPUTEST_LINE = re.compile(r"^TEST\((\w+), (\w+)\)")


def known_red():
    """Names of the tests that KNOWN-RED.txt lists, as 'Group.Name'."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    found = re.findall(r"^test: (\S+)", path.read_text(), re.M)
    return set(found)


def run(command):
    """Runs one program. Returns (exit code, output)."""
    try:
        done = subprocess.run(
            command,
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            errors="replace",
            timeout=SINGLE_RUN_SECONDS,
        )
        return done.returncode, done.stdout
    except subprocess.TimeoutExpired as error:
        text = error.stdout or b""
        if isinstance(text, bytes):
            text = text.decode(errors="replace")
        return 124, text + "\ntimed out"


def cpputest(program):
    """Runs a CppUTest program. Returns its name, passed, failed and output."""
    code, output = run([str(program), "-v"])
    passed, failed = [], []
    current = None
    broken = False
    for line in output.splitlines():
        found = CPPUTEST_LINE.match(line)
        if found:
            if current:
                (failed if broken else passed).append(current)
            current, broken = f"{found[1]}.{found[2]}", False
        if re.search(r"error: Failure in TEST\(", line):
            broken = True
    if current:
        crashed = code != 0 and not broken and not failed
        (failed if broken or crashed else passed).append(current)
    if code != 0 and not failed:
        failed.append(f"{program.name}.exit-code-{code}")
    return program.name, passed, failed, output


def script(path):
    """Runs a check that prints PASS and FAIL lines."""
    code, output = run([str(path)])
    passed = re.findall(r"^PASS (\S+)", output, re.M)
    failed = re.findall(r"^FAIL (\S+)", output, re.M)
    if code != 0 and not failed or not passed and not failed:
        failed.append(f"{path.name}.exit-code-{code}")
    return path.name, passed, failed, output


def programs():
    """Returns the test programs of the build, process-level ones in a second list."""
    found = [
        p
        for p in sorted(TESTS.rglob("*_test"))
        if p.is_file() and os.access(p, os.X_OK)
    ]
    slow = [p for p in found if p.name.endswith(PROCESS_SUFFIX)]
    return [p for p in found if p not in slow], slow


def main():
    quick = "--quick" in sys.argv
    fast, slow = programs()
    scripts = sorted((ROOT / "tests").rglob("*.check"))
    scripts += sorted((ROOT / "models").glob("*.check"))
    results = []
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        results += pool.map(cpputest, fast)
    if not quick:
        results += [script(path) for path in scripts]
        results += [cpputest(path) for path in slow]
    red = known_red()
    passed = failed = 0
    for name, good, bad, output in results:
        excused = [t for t in bad if t in red]
        real = [t for t in bad if t not in red]
        passed += len(good)
        failed += len(real)
        print(f"{name}: {len(good)} passed, {len(real)} failed")
        for test in excused:
            print(f"  known red: {test}")
        for test in real:
            print(f"  FAILED {test}")
        if real:
            print(output[-8000:])
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


sys.exit(main())
