#!/usr/bin/env python3
"""Runs clang-tidy on the given sources in parallel. Sources that passed before with the same digest are skipped.

The digest covers the source, all headers of this repository that it includes, and .clang-tidy.
"""

import concurrent.futures
import hashlib
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
CACHE = ROOT / "build" / "lint-cache"
INCLUDE = re.compile(r'^\s*#\s*include\s+"([^"]+)"', re.MULTILINE)


def collect_includes(path, seen):
    """Adds a file and the headers of this repository that it includes, directly or indirectly, to `seen`."""
    if path in seen or not path.is_file():
        return
    seen.add(path)
    for name in INCLUDE.findall(path.read_text(encoding="utf-8")):
        for folder in (path.parent, ROOT / "src", ROOT):
            collect_includes((folder / name).resolve(), seen)


def digest(source):
    files = set()
    collect_includes(source, files)
    content = hashlib.sha256((ROOT / ".clang-tidy").read_bytes())
    for path in sorted(files):
        content.update(str(path.relative_to(ROOT)).encode() + b"\0" + path.read_bytes())
    return content.hexdigest()


def run_clang_tidy(source):
    """Returns the findings of clang-tidy in a source; empty if there are none."""
    stamp = CACHE / digest(source)
    if stamp.exists():
        return ""
    command = ["clang-tidy", "--quiet", "-p", str(ROOT / "build"), str(source)]
    result = subprocess.run(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, check=False)
    if result.returncode == 0:
        stamp.touch()
        return ""
    return result.stdout or result.stderr or f"{source}: clang-tidy failed\n"


def main():
    CACHE.mkdir(parents=True, exist_ok=True)
    sources = [(ROOT / name).resolve() for name in sys.argv[1:]]
    jobs = max(1, (os.cpu_count() or 2) - 2)
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        findings = [text for text in pool.map(run_clang_tidy, sources) if text]
    print("".join(findings), end="")
    return 1 if findings else 0


sys.exit(main())
