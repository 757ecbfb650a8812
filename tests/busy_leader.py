#!/usr/bin/env python3
"""Experiment: is the configuration read and changed in time, and do gangs start as a whole, while the leader is slow?
It is stopped and continued in short turns, under the load of many workers. Usage: busy_leader.py [PAUSE_MS RUN_MS]"""

import json
import pathlib
import sys
import threading
import time
import unittest

from cluster import FAKE_HOST, Process, wait_until
from process_called_workers_test import CalledWorkersCase

FARM = pathlib.Path(__file__).resolve().parent.parent / "fakes" / "worker_farm.py"
WORKERS = 400
SUBMITTERS = 8
ANSWER_LIMIT_S = 1.0  # Operators turn to the next manager after this time
LOAD_S = 15
TURNS = [30, 10]  # Milliseconds in which the leader is stopped, and in which it runs


class Pauses:
    """Stops and continues a process in short turns, so that it is slow without being silent."""

    def __init__(self, process):
        self.process, self.closed = process, False
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self):
        while not self.closed:
            self.process.pause()
            time.sleep(TURNS[0] / 1000)
            self.process.resume()
            time.sleep(TURNS[1] / 1000)

    def close(self):
        self.closed = True
        self.thread.join()


class BusyLeaderTest(CalledWorkersCase):
    worker_count = 0

    def setUp(self):
        super().setUp()
        self.summary_file = self.folder / "farm.json"
        seeds = ",".join(self.seeds)
        network = self.ips[0].rsplit(".", 1)[0]
        self.farm = Process("farm", [sys.executable, FARM, f"{network}.{FAKE_HOST}", seeds, WORKERS, self.summary_file],
                            self.folder)
        self.addCleanup(self.farm.kill)
        leader = self.leader()
        wait_until(lambda: leader.log_text().count("event=worker_joined") == WORKERS, "all workers have joined")
        self.next_key = 0
        self.lock = threading.Lock()

    def submit_until(self, end):
        while time.monotonic() < end:
            with self.lock:
                self.next_key += 1
                key = self.next_key
            gang = key % 4 == 0
            step = {"count": 20, "cpu": 4000, "mem_mb": 100, "estimated_ms": 1000, "gang": gang}
            body = json.dumps({"task_spec": "1000/20" if gang else "1000", "steps": [step]})
            self.job("POST", key, body)

    def test_configuration_is_answered_in_time_while_the_leader_is_overloaded(self):
        end = time.monotonic() + LOAD_S
        submitters = [threading.Thread(target=self.submit_until, args=(end,)) for _ in range(SUBMITTERS)]
        pauses = Pauses(self.leader())
        self.addCleanup(pauses.close)
        for submitter in submitters:
            submitter.start()
        late, version = [], 1
        while time.monotonic() < end:
            for address in self.control:
                begin = time.monotonic()
                status, answer = self.call(address, "GET", "/config/get")
                taken = time.monotonic() - begin
                if status != 200 or taken > ANSWER_LIMIT_S or json.loads(answer)["version"] != version:
                    late.append((address, status, round(taken, 2)))
            version += 1
            begin = time.monotonic()
            if self.put(version) != 200 or time.monotonic() - begin > ANSWER_LIMIT_S * len(self.control):
                late.append(("put", version, round(time.monotonic() - begin, 2)))
        pauses.close()
        for submitter in submitters:
            submitter.join()
        self.farm.terminate()
        summary = json.loads(self.summary_file.read_text(encoding="utf-8"))
        print(summary, "jobs", self.next_key, "versions", version)
        self.assertEqual(late, [])
        self.assertEqual(summary["outcomes"].get("alone", 0), 0, "members of gangs that waited in vain")


if __name__ == "__main__":
    if len(sys.argv) == 3:
        TURNS = [int(argument) for argument in sys.argv[1:]]
    unittest.main(argv=sys.argv[:1])
