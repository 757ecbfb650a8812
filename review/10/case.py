"""A gang that can't start yet is handed in. A small job that fits many times over beside it isn't started any more."""

import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from small import TROUBLE, config, main  # noqa: E402

SERVICE, GANG, SMALL = "00000000000000a1", "00000000000000b2", "00000000000000c3"
WORKERS = 4
CPU = 16000  # Of each executor, in thousandths of a core
SERVICE_CPU = 7000  # 44 % of all is in use.
GANG_CPU = 10000  # Fits on no executor beside the service, on each without it
WATCH_S = 45


def case(small):
    # As in the site file: gangs have priority 1, the others 2.
    urgent = dict(config(1)["routes"][0], name="gangs", path_prefix="/gangs/", priority=1, stretch=2.2, slo_ms=1000)
    both = config(1, [urgent])
    both["routes"][0].update(priority=2, stretch=4.0, slo_ms=3000)
    small.wait_ready(both)
    for number in range(WORKERS):
        small.worker(f"i-{number}", rack=f"r{number}", cpu=CPU)
    small.submit(SERVICE, {"task_spec": "{}", "steps": [{"count": WORKERS, "cpu": SERVICE_CPU, "mem_mb": 256,
                                                         "estimated_ms": 60000, "long_running": True,
                                                         "max_per_server": 1}]})
    small.wait(lambda: len(small.events(event="started")) >= WORKERS, "the service runs", 20)
    time.sleep(3)
    if TROUBLE:
        small.submit(GANG, {"task_spec": json.dumps({"run_ms": 16000}),
                            "steps": [{"count": WORKERS, "cpu": GANG_CPU, "mem_mb": 1024, "estimated_ms": 16000,
                                       "gang": True}]}, prefix="/gangs/")
    time.sleep(5)
    small.submit(SMALL, {"task_spec": json.dumps({"run_ms": 1000}),
                         "steps": [{"count": 1, "cpu": 1000, "mem_mb": 256, "estimated_ms": 1000}]})
    accepted = time.time()
    task = f"{SMALL}.0.0.0"
    while time.time() < accepted + WATCH_S and not small.events(event="started", task=task):
        time.sleep(0.2)
    started = small.events(event="started", task=task)
    waited = (started[0]["t"] if started else time.time()) - accepted
    in_use = WORKERS * SERVICE_CPU / (WORKERS * CPU)
    small.note("seen", waited_s=round(waited, 1), started=bool(started), state=small.state(SMALL), share_in_use=in_use)
    if waited > 3:
        return (f"a task of 1 core {'waited' if started else 'has waited'} for {waited:.1f} s, with "
                f"{1 - in_use:.0%} of the executors' cores free, {(CPU - SERVICE_CPU) // 1000} on each")
    return None


main(case, pathlib.Path(__file__).resolve().parent)
