"""Measures how long the cell has no leader of the agreed log while every store is restarted in turn.
Usage: bench/rolling_restart.py [ROUNDS]; YW_BIN names the programs. Prints one JSON object; times in milliseconds."""

import datetime
import json
import pathlib
import statistics
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "tests"))
from cluster import Cluster, wait_until  # noqa: E402

SETTINGS = {"heartbeat": "500ms", "lease": "10s"}


def times_of(process, event):
    """Returns when a process has logged an event, since its last start."""
    mark = f"event={event}"
    lines = [line.split() for line in process.log_text().splitlines()]
    stamps = [words[0].removeprefix("time=") for words in lines if mark in words]
    return [datetime.datetime.fromisoformat(stamp).timestamp() for stamp in stamps]


def restart_all(cluster):
    """Restarts each store and returns, for each that led, the time from its stop until another one led."""
    gaps = []
    for vm in cluster.vms:
        others = [other.store for other in cluster.vms if other is not vm]
        leads = {store.name: times_of(store, "store_leads") for store in [vm.store, *others]}
        led = max(leads, key=lambda name: max(leads[name], default=0)) == vm.store.name
        vm.store.terminate()
        stopped = times_of(vm.store, "drain_started")[0]
        if led:
            known = sum(len(leads[store.name]) for store in others)
            wait_until(lambda: sum(len(times_of(store, "store_leads")) for store in others) > known, "a new leader")
            gaps.append((max(max(times_of(store, "store_leads"), default=0) for store in others) - stopped) * 1000)
        vm.store.start()
        cluster.wait_ready(vm, "store")
        time.sleep(1)
    return gaps


def main():
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    with Cluster({"a": 1, "b": 1, "c": 1}, settings=SETTINGS) as cluster:
        cluster.start()
        gaps = [gap for _ in range(rounds) for gap in restart_all(cluster)]
        if gaps:
            print(json.dumps({"leaders_stopped": len(gaps), "median": round(statistics.median(gaps)),
                              "most": round(max(gaps)), "sum_of_a_round": round(sum(gaps) / rounds)}))


if __name__ == "__main__":
    main()
