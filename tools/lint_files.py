"""Runs clang-tidy in parallel over the files of the compilation database."""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import re
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
CACHE = pathlib.Path(os.environ["LINT_CACHE"])
WORKERS = max(1, (os.cpu_count() or 2) - 1)


def escape(name):
    """Escapes a file name for clang-tidy's POSIX regular expressions."""
    return re.sub(r"([][(){}.*+?^$|\\])", r"\\\1", name)


def built_folders(database):
    """The top-level folders that hold the sources of the build."""
    return sorted(
        {pathlib.Path(e["file"]).relative_to(ROOT).parts[0] for e in database}
    )


def header_filter(folders):
    """Matches the headers in these folders of this checkout, and no others."""
    return f"^{escape(str(ROOT))}/({'|'.join(map(escape, folders))})/"


def rules(folders):
    """What a verdict depends on besides the code: checks, filter, linter."""
    version = subprocess.run(
        ["clang-tidy", "--version"], capture_output=True, check=True
    ).stdout
    files = (ROOT / ".clang-tidy", pathlib.Path(__file__))
    return b"".join(f.read_bytes() for f in files) + repr(folders).encode() + version


def cache_key(entry, rules_used):
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
    # -C keeps comments, as a NOLINT in a header affects the result.
    text = subprocess.run(
        kept + ["-E", "-P", "-C"], cwd=entry["directory"], capture_output=True
    ).stdout
    source = pathlib.Path(entry["file"]).read_bytes()
    digest = hashlib.sha256()
    for part in (text, source, rules_used, "\0".join(kept).encode()):
        digest.update(part.replace(str(ROOT).encode(), b"ROOT"))
    return digest.hexdigest()


def check(entry, headers, rules_used):
    """Lints one file. Returns its output, empty when it is clean."""
    mark = CACHE / cache_key(entry, rules_used)
    if mark.exists():
        return ""
    done = subprocess.run(
        [
            "clang-tidy",
            "-quiet",
            f"-header-filter={headers}",
            "-p",
            str(ROOT / "build"),
            entry["file"],
        ],
        capture_output=True,
        text=True,
    )
    if done.returncode == 0 and "warning:" not in done.stdout:
        mark.touch()
        return ""
    return done.stdout or done.stderr


def main():
    database = json.loads((ROOT / "build/compile_commands.json").read_text())
    folders = built_folders(database)
    headers, rules_used = header_filter(folders), rules(folders)
    names = {str((ROOT / name).resolve()) for name in sys.argv[1:]}
    entries = [e for e in database if not names or e["file"] in names]
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        for output in pool.map(lambda e: check(e, headers, rules_used), entries):
            if output:
                failed += 1
                print(output)
    print(f"lint: {len(entries)} files, {failed} with findings")
    return 1 if failed else 0


sys.exit(main())
