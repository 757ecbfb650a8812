"""Ends beyond the first 500 of a list: one start order without an answer, while 600 tasks of one executor end."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))
from deployment import Deployment, run_case, wait_until  # noqa: E402
from executors import Executor  # noqa: E402

TASKS = 600  # Of a tenth of a core each, on an executor of 64 cores
WORK_S = 6.0
LARGE, SMALL = "00000000000000a1", "00000000000000b2"
LATE_S = 4.0  # The unanswered order is carried out this much later; the pages allow 2 to 12 s.


def case(record, trouble):
    deployment = Deployment(record, managers=3, gateways=2)
    executors = []
    try:
        deployment.start()
        deployment.configure()
        first = Executor(deployment, "first", run_s=lambda task: WORK_S if task.startswith(LARGE) else 1.0,
                         labels=("a", "r1-1"))
        executors += [first, Executor(deployment, "second", run_s=lambda task: WORK_S, labels=("b", "r1-2"))]
        time.sleep(2.0)
        step = {"count": TASKS, "cpu": 100, "mem_mb": 100, "estimated_ms": int(WORK_S * 1000), "required_label": "a"}
        deployment.submit(LARGE, [step])
        wait_until(lambda: len(first.starts) >= TASKS, "all tasks have started", 30)
        if trouble:
            first.ignore_starts = lambda task, run: LATE_S if task.startswith(SMALL) else None
        # The small job is handed in shortly before the first tasks of the large one end.
        time.sleep(max(0.0, first.starts[0][0] + WORK_S - 0.25 - time.monotonic()))
        deployment.submit(SMALL, [{"count": 1, "cpu": 1000, "mem_mb": 100, "estimated_ms": 1000,
                                   "required_label": "a"}])
        time.sleep(4.0)
        first.ignore_starts = None
        for job in (LARGE, SMALL):
            wait_until(lambda at=job: deployment.state(at) == "completed", f"job {job} is completed", 50)
        time.sleep(1.0)
        return started_after_done(record, executors)
    finally:
        for executor in executors:
            executor.close()
        deployment.close()


def started_after_done(record, executors):
    """TWICE: a start after a run has ended `done`, if that end is taken note of then or later."""
    again = 0
    for executor in executors:
        for task, ends in executor.done.items():
            life, number, at = ends[0]
            noted = executor.noted.get(life, 0) >= number
            for other in executors:
                for started, name, run, _ in other.starts:
                    if name == task and started > at and noted:
                        again += 1
                        record("twice", task=task, run=run, first_end=number, last_seen=executor.noted[life])
    record("result", tasks_started_again=again)
    return again > 0


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).parent, case))
