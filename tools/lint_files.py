"""Runs clang-tidy in parallel over the files of the compilation database."""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
CACHE = pathlib.Path(os.environ["LINT_CACHE"])
WORKERS = max(1, (os.cpu_count() or 2) - 1)


def entries(wanted):
    """The compilation database's entries, or only those of the wanted files."""
    database = json.loads((ROOT / "build/compile_commands.json").read_text())
    names = {str((ROOT / name).resolve()) for name in wanted}
    return [e for e in database if not names or e["file"] in names]


def cache_key(entry):
    """Hash of everything that affects the result, independent of the checkout's path."""
    words = shlex.split(entry["command"])
    if words and words[0].endswith("ccache"):
        words = words[1:]
    kept, skip = [], False
    for word in words:
        if skip:
            skip = False
        elif word in ("-o", "-c"):
            skip = word == "-o"
        else:
            kept.append(word)
    text = subprocess.run(
        kept + ["-E", "-P"], cwd=entry["directory"], capture_output=True
    ).stdout
    digest = hashlib.sha256(text.replace(str(ROOT).encode(), b"ROOT"))
    digest.update(pathlib.Path(entry["file"]).read_bytes())
    digest.update((ROOT / ".clang-tidy").read_bytes())
    return digest.hexdigest()


def check(entry):
    """Lints one file. Returns its output, empty when it is clean."""
    mark = CACHE / cache_key(entry)
    if mark.exists():
        return ""
    done = subprocess.run(
        ["clang-tidy", "-quiet", "-p", str(ROOT / "build"), entry["file"]],
        capture_output=True,
        text=True,
    )
    if done.returncode == 0 and "warning:" not in done.stdout:
        mark.touch()
        return ""
    return done.stdout or done.stderr


def main():
    failed = 0
    found = entries(sys.argv[1:])
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        for output in pool.map(check, found):
            if output:
                failed += 1
                print(output)
    print(f"lint: {len(found)} files, {failed} with findings")
    return 1 if failed else 0


sys.exit(main())
