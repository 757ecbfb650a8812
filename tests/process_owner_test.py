"""Tests that a zone's tasks keep running while its schedulers are killed, paused and restarted."""

import time
import unittest

import jobs
from cluster import Cluster, wait_until
from journal import check_journal

REPLICAS = 4
TASKS = 150


class OwnerTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster({"a": 3}, stores=["a"])
        self.addCleanup(self.cluster.stop)
        self.cluster.start()
        self.cluster.workers("a", 4, milli_cpu=8000, memory_mib=32768, wait_ms=300)
        document = jobs.document(jobs.team(), jobs.service("desk", REPLICAS), jobs.batch("rebuild", TASKS, run_ms=300))
        self.ids = self.cluster.accept(document, "first", expected_version=0)
        wait_until(lambda: self.ended() > TASKS // 10, "a tenth of the tasks is done")

    def ended(self):
        return sum(record.detail == "finished" for record in self.cluster.records())

    def owner(self):
        """Returns the VM whose scheduler owns the zone."""
        def find():
            owners = [vm for vm in self.cluster.vms if self.cluster.owns(vm)]
            return owners[0] if owners else None

        return wait_until(find, "a scheduler owns the zone")

    def check(self, starts_of_services=REPLICAS):
        self.cluster.wait_succeeded(self.ids["rebuild"])
        check_journal(self.cluster.records())
        service = str(self.ids["desk"])
        starts = [record for record in self.cluster.records() if record.kind == "start" and record.index[0] == service]
        self.assertEqual(len(starts), starts_of_services, "a change of owner must not restart services")
        self.assertEqual(len([index for index in self.cluster.running() if index[0] == service]), REPLICAS)

    def test_killed_owner_is_replaced_and_its_tasks_keep_running(self):
        owner = self.owner()
        owner.scheduler.kill()
        self.check()
        owner.scheduler.start()
        self.cluster.wait_ready(owner, "scheduler")
        self.check()

    def test_paused_owner_gives_up_the_zone_when_it_resumes(self):
        owner = self.owner()
        owner.scheduler.pause()
        wait_until(lambda: any(self.cluster.owns(vm) for vm in self.cluster.vms if vm is not owner), "a new owner")
        wait_until(lambda: self.ended() > TASKS // 3, "the new owner places tasks")
        owner.scheduler.resume()
        time.sleep(1)
        self.check()
        self.assertEqual([self.cluster.owns(vm) for vm in self.cluster.vms].count(True), 1)

    def test_every_scheduler_restarts_at_once(self):
        for vm in self.cluster.vms:
            vm.scheduler.kill()
        for vm in self.cluster.vms:
            vm.scheduler.start()
        self.check()


if __name__ == "__main__":
    unittest.main()
