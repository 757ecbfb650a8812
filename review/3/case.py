"""One check-in of another writer, whose id holds bytes that can't be read, among those of sound executors."""

import json
import pathlib
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))
from deployment import Deployment, run_case, wait_until  # noqa: E402
from executors import AdviceService, Executor  # noqa: E402

ODD_ID = b"i-\xc3\x28\xff"  # Not UTF-8
JOBS = 40
INTERVAL_S = 0.5
WATCH_S = 20.0
ENDS_FOR_FAULT = 3  # "processes end by themselves three times in the day"
MACHINES_FOR_FAULT = 2  # "on a tenth of the machines in use (two at least)"


def send_odd_check_in(deployment, sound):
    """Sends a check-in like that of a sound executor, but for its id, its address, where nothing listens, and `born`."""
    body = json.dumps(sound.report_body() | {"address": f"{deployment.net}.101:9", "seq": 1,
                                             "born": sound.born + 1}).encode()
    head = b"POST /instances/" + ODD_ID + b"/heartbeat HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
    statuses = []
    for address in deployment.control:
        with socket.create_connection(address, timeout=2) as sock:
            sock.sendall(head + b"Content-Length: %d\r\nConnection: close\r\n\r\n" % len(body) + body)
            statuses.append(sock.recv(65536).split(b"\r\n")[0].decode(errors="replace"))
        if " 200" in statuses[-1] or " 4" in statuses[-1]:
            break
    deployment.record("odd_check_in", statuses=statuses)


def case(record, trouble):
    deployment = Deployment(record, managers=3, gateways=3)
    executors = []
    advice = AdviceService(deployment.stand_in_ip, record)
    deployment.advice = advice.address
    try:
        deployment.start()
        deployment.configure()
        executors += [Executor(deployment, name, run_s=lambda task: 0.5) for name in ("one", "two", "three")]
        time.sleep(2.0)
        first = "00000000000000a0"
        deployment.submit(first, [{"count": 2, "cpu": 1000, "mem_mb": 100, "estimated_ms": 500}])
        wait_until(lambda: deployment.state(first) == "completed", "a job is completed before the disruption", 20)
        if trouble:
            send_odd_check_in(deployment, executors[0])
        end = time.monotonic() + WATCH_S
        answers = {}
        for number in range(JOBS):
            if time.monotonic() > end:
                break
            body = json.dumps({"task_spec": "work", "steps": [{"count": 2, "cpu": 1000, "mem_mb": 100,
                                                               "estimated_ms": 500}]})
            key = f"{0xb000 + number:016x}"
            answers[key] = deployment.call("POST", key, body, timeout=3.5)[0]
            time.sleep(INTERVAL_S)
        ends = {daemon.name: len(daemon.ends) for daemon in deployment.gateways + deployment.managers}
        record("result", ends=json.dumps(ends), accepted=sum(status == 200 for status in answers.values()),
               sent=len(answers))
        return sum(count >= ENDS_FOR_FAULT for count in ends.values()) >= MACHINES_FOR_FAULT
    finally:
        for executor in executors:
            executor.close()
        deployment.close()
        advice.close()


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).parent, case))
