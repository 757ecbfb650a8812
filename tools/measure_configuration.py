#!/usr/bin/env python3
"""Measures the time from sending a configuration change until the last daemon has applied it.

Starts each deployment (nine entry VMs in three zones, and eight in four zones) on loopback, submits changes, and reads
the times from the daemons' logs. Prints JSON.
"""

import argparse
import datetime
import json
import pathlib
import re
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests"))
from cluster import Cluster, wait_until  # noqa: E402

APPLIED = re.compile(r"time=(\S+) .*event=configuration_applied version=(\d+)")
DEPLOYMENTS = {"bibliobus": {"a": 3, "b": 3, "c": 3}, "caligrafia": {"a": 2, "b": 2, "c": 2, "d": 2}}
STORES = ["a", "b", "c"]


def applied_at(process, version):
    """Returns the Unix time at which a daemon logged that it applied a version or a later one; None if it did not."""
    for match in APPLIED.finditer(process.log_text()):
        if int(match.group(2)) >= version:
            return datetime.datetime.fromisoformat(match.group(1).replace("Z", "+00:00")).timestamp()
    return None


def measure(zones, changes):
    times = []
    with Cluster(zones, stores=STORES) as cluster:
        cluster.start()
        daemons = [process for vm in cluster.vms for process in (vm.entry, vm.scheduler)]
        for version in range(1, changes + 1):
            document = f"teams:\n  - {{name: team{version}, guaranteed: {{cpu: 1, memory: 1GiB}}}}\n"
            sent = time.time()
            status, answer = cluster.submit(document, f"change-{version}", version - 1)
            if status != 200:
                raise SystemExit(f"change {version} was refused: {answer}")
            wait_until(lambda v=version: all(applied_at(daemon, v) for daemon in daemons),
                       f"every daemon has applied version {version}")
            times.append(max(applied_at(daemon, version) for daemon in daemons) - sent)
    times.sort()
    return {"daemons": len(daemons), "changes": changes, "p50_ms": round(1000 * times[len(times) // 2], 1),
            "max_ms": round(1000 * times[-1], 1)}


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--changes", type=int, default=40)
    options = parser.parse_args()
    print(json.dumps({name: measure(zones, options.changes) for name, zones in DEPLOYMENTS.items()}, indent=2))


if __name__ == "__main__":
    main()
