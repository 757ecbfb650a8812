"""Tests workers that lose power, are killed, hang, pause or fail all their tasks."""

import json
import unittest

import jobs
from cluster import Cluster, request, wait_until
from journal import check_journal

REPLICAS = 3
TASKS = 80


class WorkerTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster({"a": 1})
        self.addCleanup(self.cluster.stop)
        self.cluster.start()
        self.fleets = [self.workers(f"f{number}") for number in range(3)]

    def workers(self, name):
        return self.cluster.workers("a", 2, name=name, rack=name, milli_cpu=8000, memory_mib=32768, wait_ms=300)

    def submit(self, **options):
        document = jobs.document(jobs.team(), jobs.service("desk", REPLICAS), jobs.batch("rebuild", TASKS, **options))
        ids = self.cluster.accept(document, "first", expected_version=0)
        wait_until(lambda: len(self.cluster.records()) > TASKS // 4, "tasks run")
        return ids

    def check(self, ids):
        self.cluster.wait_succeeded(ids["rebuild"])
        wait_until(lambda: self.replicas(ids) == REPLICAS, "every replica runs")
        check_journal(self.cluster.records())

    def replicas(self, ids):
        return sum(index[0] == str(ids["desk"]) for index in self.cluster.running())

    def poll(self, **fields):
        body = {"incarnation": 1, "epoch": [0, 0], "wait_ms": 10} | fields
        return request(self.cluster.vms[0].address["worker"], "POST", "/v1/workers/by-hand/poll", json.dumps(body))

    def test_polls_contain_only_changes(self):
        whole = {"full": True, "rack": "r", "capacity": {"milli_cpu": 1000, "memory_mib": 1024}}
        sequence = 0

        def joined():
            nonlocal sequence
            sequence += 1
            status, _, body = self.poll(sequence=sequence, **whole)
            return status == 200 and "need_full" not in json.loads(body)

        wait_until(joined, "the worker is registered")
        status, _, body = self.poll(sequence=sequence + 1)
        self.assertEqual((status, set(json.loads(body))), (200, {"epoch", "owner", "acknowledged", "lease_ms"}))
        # A full report without the capacity must be refused: it would make the planner forget what the worker holds.
        self.assertEqual(self.poll(sequence=sequence + 2, full=True)[0], 400)
        # A number of the wrong type is refused with the name of its field, and the next poll is answered.
        for fields in ({"incarnation": -1}, {"sequence": 0.5}, {"wait_ms": 1e29}):
            status, _, body = self.poll(**({"sequence": sequence + 3} | fields))
            self.assertEqual(status, 400, body)
            self.assertIn(f"{next(iter(fields))}: found", body.decode())
        self.assertEqual(self.poll(sequence=sequence + 3)[0], 200)

    def test_power_loss_of_every_worker_in_turn(self):
        ids = self.submit(run_ms=300)
        for fleet in self.fleets:
            fleet.command("power *")
        self.check(ids)

    def test_killed_rack_comes_back_empty(self):
        ids = self.submit(run_ms=300)
        self.cluster.kill_workers(self.fleets[0])
        self.fleets[0].start()
        self.check(ids)

    def test_hung_workers_lose_their_tasks_only_after_the_lease(self):
        ids = self.submit(run_ms=1000)
        self.fleets[1].command("hang * on")
        self.check(ids)
        self.fleets[1].command("hang * off")
        self.check(ids)

    def test_resumed_rack_starts_no_stale_tasks(self):
        ids = self.submit(run_ms=1000)
        self.fleets[2].pause()
        self.cluster.wait_succeeded(ids["rebuild"])
        self.fleets[2].resume()
        self.check(ids)

    def test_worker_that_fails_every_task_is_quarantined(self):
        self.fleets[0].command("fail * on")
        ids = self.submit(run_ms=200)
        self.check(ids)
        failed = sum(record.detail == "failed" for record in self.cluster.records())
        self.assertLess(failed, TASKS, "quarantine limits the number of failed attempts")

    def test_task_that_is_not_repeatable_starts_once(self):
        document = jobs.document(jobs.team(), jobs.batch("billing", 8, run_ms=60_000, repeatable=False))
        ids = self.cluster.accept(document, "first", expected_version=0)
        wait_until(lambda: len(self.cluster.records()) == 8, "every task runs")
        for fleet in self.fleets:
            fleet.command("power *")
        wait_until(lambda: self.cluster.job(ids["billing"])["state"] not in ("waiting", "running"), "the job is done")
        starts = [record for record in self.cluster.records() if record.kind == "start"]
        self.assertEqual(len(starts), 8)
        self.assertEqual(self.cluster.job(ids["billing"])["succeeded"], 0)


if __name__ == "__main__":
    unittest.main()
