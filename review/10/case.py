"""One executor crashes three times; the job that only it can run is shown as `failed`, and its task isn't started again."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from small import TROUBLE, config, main  # noqa: E402

KEY = "5c0e7a21d94b36f8"
TASK = f"{KEY}.0.0.0"
WORKERS = 8
SPECIAL = "i-3"  # The only executor of kind "b".
CRASHES = 3
DOWN_S = 2.0  # At most 4.5 s in the site file
WORK_S = 6.0  # From a start to the next crash


def case(small):
    small.wait_ready(config(1))
    for number in range(WORKERS):
        small.worker(f"i-{number}", kind="b" if f"i-{number}" == SPECIAL else "a", rack=f"r{number}")
    small.submit(KEY, {"task_spec": "{}", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 256, "estimated_ms": 60000,
                                                     "required_label": "b", "long_running": True}]})
    for crash in range(CRASHES):
        small.wait(lambda: len(small.events(event="started", task=TASK)) > crash or not TROUBLE, "the task starts", 15)
        time.sleep(WORK_S)
        if TROUBLE:
            small.note("crash", worker=SPECIAL, down_s=DOWN_S)
            small.workers[SPECIAL].kill()
            time.sleep(DOWN_S)
            small.workers[SPECIAL].start()
    # From now on all is calm. The task has to be there again 6 s after its last run, and the job must not be `failed`.
    time.sleep(14)
    state = small.state(KEY)
    starts = small.events(event="started", task=TASK)
    failed = small.events(event="ended", how="failed")
    up = [event["t"] for event in small.events(event="up", who=SPECIAL)][-1]
    again = [start for start in starts if start["t"] >= up]
    if state in ("failed", "cancelled", "completed") and not failed:
        return f"the job is shown as {state}: {len(starts)} starts, {len(failed)} ends `failed`"
    if not again:
        return f"the task hasn't been started since its executor came back {time.time() - up:.1f} s ago; state {state}"
    return None


main(case, pathlib.Path(__file__).resolve().parent)
