"""Measures how long the replicated log has no leader while every store is restarted in turn.
Usage: bench/rolling_restart.py [ROUNDS]; YW_BIN is the folder of the programs. Prints one JSON object; times in
milliseconds."""

import datetime
import json
import pathlib
import statistics
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "tests"))
from cluster import Cluster, wait_until  # noqa: E402

SETTINGS = {"heartbeat": "500ms", "lease": "10s"}


def event_times(process, event):
    """Returns the times at which a process has logged an event."""
    marker = f"event={event}"
    lines = [line.split() for line in process.log_text().splitlines()]
    stamps = [words[0].removeprefix("time=") for words in lines if marker in words]
    return [datetime.datetime.fromisoformat(stamp).timestamp() for stamp in stamps]


def restart_all(cluster):
    """Restarts each store. Returns, for each store that was the leader, the ms from its stop to the next leader."""
    gaps = []
    for vm in cluster.vms:
        others = [other.store for other in cluster.vms if other is not vm]
        lead_times = {store.name: event_times(store, "store_leads") for store in [vm.store, *others]}
        was_leader = max(lead_times, key=lambda name: max(lead_times[name], default=0)) == vm.store.name
        vm.store.terminate()
        stopped = event_times(vm.store, "drain_started")[0]
        if was_leader:
            previous_count = sum(len(lead_times[store.name]) for store in others)
            wait_until(lambda: sum(len(event_times(store, "store_leads")) for store in others) > previous_count,
                       "another store is the leader")
            gaps.append((max(max(event_times(store, "store_leads"), default=0) for store in others) - stopped) * 1000)
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
