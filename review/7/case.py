"""Tasks of two services fail once each, by their own fault. Those of the second are never started again, on executors that
are nearly empty, and a job that is handed in later isn't started either."""

import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from small import TROUBLE, config, main  # noqa: E402

FIRST, SECOND, LATER = "00000000000000a1", "00000000000000b2", "00000000000000c3"
WORKERS = 3
CPU = 16000  # Of each executor, in thousandths of a core
FAILS_MS = {FIRST: 4000, SECOND: 4300}  # After the first start of each task
WATCH_S = 25


def service(key):
    faults = [FAILS_MS[key]] if TROUBLE else []
    return {"task_spec": json.dumps({"fails_after_ms": faults}),
            "steps": [{"count": WORKERS, "cpu": 1000, "mem_mb": 256, "estimated_ms": 60000, "long_running": True,
                       "max_per_server": 1}]}


def running(small, key):
    """Returns the tasks of a job that are at work, by the record of the executors."""
    found = set()
    for event in small.events():
        if event.get("task", "").startswith(key):
            (found.add if event["event"] == "started" else found.discard)(event["task"])
    return found


def case(small):
    small.wait_ready(config(1))
    for number in range(WORKERS):
        small.worker(f"i-{number}", rack=f"r{number}", cpu=CPU)
    for key in (FIRST, SECOND):
        small.submit(key, service(key))
    small.wait(lambda: len(running(small, FIRST) | running(small, SECOND)) == 2 * WORKERS, "both services run", 20)
    time.sleep(max(FAILS_MS.values()) / 1000 + 6)  # All faults are over for some seconds.
    small.submit(LATER, {"task_spec": json.dumps({"run_ms": 500}),
                         "steps": [{"count": 1, "cpu": 1000, "mem_mb": 256, "estimated_ms": 500}]})
    time.sleep(WATCH_S)
    missing = 2 * WORKERS - len(running(small, FIRST)) - len(running(small, SECOND))
    started = small.events(event="started", task=f"{LATER}.0.0.0")
    states = {key: small.state(key) for key in (FIRST, SECOND, LATER)}
    small.note("seen", missing=missing, states=states, cores_in_use=2 * WORKERS - missing, cores=WORKERS * CPU // 1000)
    if missing:
        return f"{missing} tasks that last weren't started again for {WATCH_S} s; states {states}"
    if not started:
        return f"the later job wasn't started for {WATCH_S} s; states {states}"
    return None


main(case, pathlib.Path(__file__).resolve().parent)
