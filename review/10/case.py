"""One executor of eight crashes twice. Since then the lasting task that ran there keeps it for itself: a job that needs that
executor isn't started any more, though it is nearly empty."""

import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from small import TROUBLE, config, main  # noqa: E402

SERVICE, LATER = "00000000000000a1", "00000000000000c3"
WORKERS = 8
SPECIAL = "i-3"  # The only executor of kind "b".
CRASHES = 2
DOWN_S = 2.0  # At most 4.5 s in the site file
WORK_S = 8.0  # From a return to the next crash
WATCH_S = 40


def case(small):
    small.wait_ready(config(1))
    for number in range(WORKERS):
        name = f"i-{number}"
        small.worker(name, kind="b" if name == SPECIAL else "a", rack=f"r{number}")
    step = {"count": 1, "cpu": 1000, "mem_mb": 256, "required_label": "b"}
    small.submit(SERVICE, {"task_spec": "{}", "steps": [dict(step, estimated_ms=60000, long_running=True)]})
    small.wait(lambda: small.events(event="started"), "the service runs", 20)
    for _ in range(CRASHES):
        time.sleep(WORK_S)
        if TROUBLE:
            small.note("crash", worker=SPECIAL, down_s=DOWN_S)
            small.workers[SPECIAL].kill()
            time.sleep(DOWN_S)
            small.workers[SPECIAL].start()
    time.sleep(10)  # Nothing happens any more.
    small.submit(LATER, {"task_spec": json.dumps({"run_ms": 500}), "steps": [dict(step, estimated_ms=500)]})
    accepted = time.time()
    task = f"{LATER}.0.0.0"
    while time.time() < accepted + WATCH_S and not small.events(event="started", task=task):
        time.sleep(0.2)
    started = small.events(event="started", task=task)
    waited = (started[0]["t"] if started else time.time()) - accepted
    small.note("seen", waited_s=round(waited, 1), started=bool(started), states=[small.state(SERVICE), small.state(LATER)])
    if waited > 3:
        return (f"a task of 1 core {'waited' if started else 'has waited'} for {waited:.1f} s, with one task of 1 core on "
                "its executor of 16 and no crash for over 10 s")
    return None


main(case, pathlib.Path(__file__).resolve().parent)
