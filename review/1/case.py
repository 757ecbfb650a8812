"""An executor's capacity shrinks while it runs, and tasks that fill are waiting."""

import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))
from deployment import Deployment, run_case, wait_until  # noqa: E402
from executors import AdviceService, Executor  # noqa: E402

STEADY, FILLING = "00000000000000a1", "00000000000000b2"
CPU, SHRUNK_CPU = 64_000, 32_000
WATCH_S = 25.0
ENDS_FOR_FAULT = 3  # "processes end by themselves three times in the day"


def case(record, trouble):
    deployment = Deployment(record, managers=3, gateways=2)
    executors = []
    advice = AdviceService(deployment.stand_in_ip, record)
    deployment.advice = advice.address
    try:
        deployment.start()
        deployment.configure()
        executors += [Executor(deployment, name, cpu=CPU, run_s=lambda task: 60.0 if task.startswith(STEADY) else 1.0)
                      for name in ("one", "two")]
        time.sleep(2.0)
        # 60 of 64 cores of each executor are in use, and most of the memory is free.
        deployment.submit(STEADY, [{"count": 6, "cpu": 20_000, "mem_mb": 1000, "estimated_ms": 60_000}])
        wait_until(lambda: sum(len(each.runs) for each in executors) == 6, "all tasks run", 20)
        if trouble:
            executors[0].cpu = SHRUNK_CPU
            wait_until(executors[0].check_in, "the new capacity is reported", 5)
        time.sleep(2.0)
        deployment.call("POST", FILLING, json.dumps({"task_spec": "work", "steps": [
            {"count": 4, "cpu": 2000, "mem_mb": 1000, "estimated_ms": 1000, "fills": True}]}))
        time.sleep(WATCH_S)
        ends = {daemon.name: len(daemon.ends) for daemon in deployment.gateways + deployment.managers}
        state = deployment.state(FILLING)
        record("result", ends=json.dumps(ends), filling_job=state)
        return sum(len(daemon.ends) >= ENDS_FOR_FAULT for daemon in deployment.managers) * 2 >= len(deployment.managers)
    finally:
        for executor in executors:
            executor.close()
        deployment.close()
        advice.close()


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).parent, case))
