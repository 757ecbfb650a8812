"""Measures how long other processes keep their connection to one that is killed, paused, cut off or stopped, and how
many connections are closed without a fault. Usage: bench/membership.py [ROUNDS [QUIET_SECONDS]]; YW_BIN is the folder
of the programs. Prints one JSON object; times in milliseconds."""

import datetime
import json
import pathlib
import re
import statistics
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "tests"))
from cluster import Cluster, wait_until  # noqa: E402

CLOSED = re.compile(r"time=(\S+) .*event=peer_closed node=(\S+) reason=(.*)")
SETTINGS = {"heartbeat": "500ms", "lease": "10s"}


def closed_connections(process):
    """Returns (time, node, reason) of each connection that a process has closed."""
    found = CLOSED.findall(process.log_text())
    return [(datetime.datetime.fromisoformat(at).timestamp(), node, reason) for at, node, reason in found]


def other_entries(cluster, vm):
    return [other.entry for other in cluster.vms if other is not vm]


def measure(cluster, vm, fault, recover):
    """Returns, for each other entry, the ms from the fault until it closed its connection to the entry of `vm`."""
    node = f"entry-{vm.name}"
    before = {entry.name: len(closed_connections(entry)) for entry in other_entries(cluster, vm)}
    fault_at = time.time()
    drained_at = fault()
    times = []
    for entry in other_entries(cluster, vm):
        def closed(entry=entry):
            return [found for found in closed_connections(entry)[before[entry.name]:] if found[1] == node]

        times.append((wait_until(closed, f"{entry.name} closes its connection to {node}")[0][0]
                      - (drained_at or fault_at)) * 1000)
    recover()
    wait_until(lambda: cluster.is_ready(vm, "entry"), "the entry is ready again")
    time.sleep(3)
    return times


def stop_gracefully(vm):
    """Stops the entry and returns the time at which its drain finished."""
    vm.entry.terminate()
    line = next(line for line in vm.entry.log_text().splitlines() if "event=drain_finished" in line)
    return datetime.datetime.fromisoformat(line.split()[0].removeprefix("time=")).timestamp()


def summary(times):
    return {"median": round(statistics.median(times)), "most": round(max(times)), "count": len(times)}


def main():
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    quiet_seconds = int(sys.argv[2]) if len(sys.argv) > 2 else 60
    with Cluster({"a": 1, "b": 1, "c": 1}, relays=True, settings=SETTINGS) as cluster:
        cluster.start()
        quiet_since = time.time()
        time.sleep(quiet_seconds)
        daemons = [process for process in cluster.processes if process.name.startswith(("entry", "scheduler", "store"))]
        false_positives = [found for process in daemons for found in closed_connections(process)
                           if found[0] > quiet_since]
        vm = cluster.vms[2]
        result = {"quiet_seconds": quiet_seconds, "connections_given_up": len(false_positives)}
        cases = {
            "kill": (lambda: vm.entry.kill(), lambda: vm.entry.start()),
            "pause": (lambda: vm.entry.pause(), lambda: vm.entry.resume()),
            "silent_relay": (lambda: cluster.cut("c"), lambda: cluster.cut("c", "none")),
            "graceful_stop": (lambda: stop_gracefully(vm), lambda: vm.entry.start()),
        }
        for name, (fault, recover) in cases.items():
            times = [one for _ in range(rounds) for one in measure(cluster, vm, fault, recover)]
            result[name] = summary(times)
    print(json.dumps(result))


if __name__ == "__main__":
    main()
