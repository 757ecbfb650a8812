"""Only one executor may run the step of a gang. It fails all that it starts for 6.5 s, once."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
from advice import Advice  # noqa: E402
from installation import CannotRun, config, route, run_case, wait_until  # noqa: E402

EXECUTORS = 12
GANG = "00000000000000cc"
MEMBERS = 2
GREY_S = 6.5
WORK_S = 1.0
CALM_S = 4.0
FINISH_S = 14.0
IDLE_S = 3.0
ADVICE = {"decision_ms": 9.3, "period_ms": 0.13, "valid_ms": 2000}


def body(installation, trouble):
    grey = threading.Event()
    installation.add_executors(EXECUTORS, lambda task: 0.02 if grey.is_set() else WORK_S,
                               labels=lambda n: ["b" if n == 0 else "a", "r1-1"])
    executor = installation.executors[0]
    executor.end_of = lambda task, run: "failed" if grey.is_set() else "done"
    for machine in installation.executors[1:]:
        machine.work_s = lambda task: WORK_S
    advice = Advice(*installation.advice_address, lambda step, worker: worker == executor.id, installation.record,
                    **ADVICE)
    for machine in installation.executors:
        machine.has_ticket = lambda ticket, task, worker: (not task.startswith(GANG)
                                                           or advice.is_valid(ticket, task, worker))
    routes = (route("gangs", "/gangs/", 1, advice=ADVICE), route("short", "/short/", 0, attempts=1))
    if not installation.put_config(config(1, *routes)):
        raise CannotRun("no config was acknowledged")
    short = {"task_spec": "check", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 512, "required_label": "b",
                                              "estimated_ms": int(WORK_S * 1000)}]}
    gang = {"task_spec": "gang", "steps": [{"count": MEMBERS, "cpu": 2000, "mem_mb": 1024, "gang": True,
                                            "estimated_ms": int(WORK_S * 1000)}]}
    began = time.monotonic()
    if trouble:
        installation.record("grey")
        grey.set()
    if not installation.submit("/short/%016x" % 1, short):
        raise CannotRun("the short job was not accepted")
    if not wait_until(lambda: installation.state("/short/%016x" % 1) in ("failed", "completed"), 10):
        raise CannotRun("the short job did not end")
    if not installation.submit("/gangs/" + GANG, gang):
        raise CannotRun("the gang was not accepted")
    if trouble:
        time.sleep(max(0.0, began + GREY_S - time.monotonic()))
        grey.clear()
        installation.record("sound again")
        time.sleep(CALM_S)
    # No further traffic. The executor that may run the gang is sound and empty.
    if wait_until(lambda: installation.state("/gangs/" + GANG) == "completed", FINISH_S):
        return None
    idle_since = time.monotonic()
    end = idle_since + 20
    broken = None
    while time.monotonic() < end:
        if installation.state("/gangs/" + GANG) == "completed":
            break
        if any(task.startswith(GANG) for task in list(executor.runs)):
            idle_since = time.monotonic()
        elif time.monotonic() - idle_since > IDLE_S and broken is None:
            broken = "LOST: an accepted gang has nothing running for 3 s, %d s after the last traffic" % FINISH_S
        time.sleep(0.05)
    installation.record("state at the end: %s; calls for advice: %d" % (installation.state("/gangs/" + GANG),
                                                                          advice.calls))
    advice.close()
    return broken


run_case(__file__, body, with_advice=True)
