"""Tests of silent partitions of a zone: its connections to other zones stay open, but no data arrives."""

import http.client
import unittest

import jobs
from cluster import Cluster, request, wait_until
from journal import check_journal
from load import CountingUpstream, issue_key, send

SERVICE = "loan-check"
REPLICAS = 6
TASKS = 120


class PartitionTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster({"a": 1, "b": 1, "c": 2}, stores=["a", "b", "c"], relays=True)
        self.addCleanup(self.cluster.stop)
        self.cluster.start()
        for zone in self.cluster.zones:
            self.cluster.workers(zone, 3, milli_cpu=8000, memory_mib=32768, wait_ms=300)
        self.upstream = CountingUpstream(self.cluster, "c", SERVICE)
        self.addCleanup(self.upstream.close)
        self.inside = [vm for vm in self.cluster.vms if vm.zone == "c"]
        self.outside = [vm for vm in self.cluster.vms if vm.zone != "c"]
        document = jobs.document(jobs.team(), jobs.service("desk", REPLICAS, detached_for="60s"),
                                 jobs.batch("rebuild", TASKS, run_ms=500, detached_for="60s"))
        self.ids = self.cluster.accept(document, "first", expected_version=0)
        wait_until(lambda: len(self.cluster.records()) > TASKS // 4, "tasks run")
        for vm in self.inside:
            wait_until(lambda vm=vm: send(self.cluster, SERVICE, issue_key(vm), vm)[0] == 200, "zone c serves")

    def owner_inside(self):
        return next((vm for vm in self.inside if self.cluster.owns(vm)), None)

    def outcome(self, number, vm):
        try:
            return self.cluster.submit(jobs.document(jobs.batch(f"cut-{number}", 1)), f"cut-{number}", vm=vm)
        except (OSError, http.client.HTTPException):
            return None

    def serve_inside(self):
        for number in range(20):
            vm = self.inside[number % len(self.inside)]
            key = issue_key(vm)
            self.assertEqual(send(self.cluster, SERVICE, key, vm), (200, "ran"), key)
            self.assertEqual(self.upstream.runs[key], 1, key)

    def check_joined(self, submitted):
        """Checks after the partition that no task ran twice at once and that every VM knows every accepted job."""
        self.cluster.wait_succeeded(self.ids["rebuild"])
        for vm in self.cluster.vms:
            wait_until(lambda vm=vm: all(self.cluster.job(job, vm) for job in submitted), f"{vm.name} knows every job")
        check_journal(self.cluster.records())

    def run_cut(self, direction):
        self.cluster.cut("c", direction)
        self.serve_inside()
        refused = wait_until(lambda: self.outcome("inside", self.inside[0]), "the partitioned zone answers an operator")
        self.assertIn(refused[0], (503, 504), refused)
        self.assertEqual(refused[1]["verdict"], "not-run" if refused[0] == 503 else "may-have-run")
        accepted = self.cluster.accept(jobs.document(jobs.batch("outside", 4)), "outside", vm=self.outside[0])
        self.cluster.wait_succeeded(accepted["outside"], self.outside[0])
        self.serve_inside()
        self.cluster.cut("c", "none")
        self.check_joined(accepted.values())
        self.serve_inside()

    def test_cut_in_both_directions(self):
        self.run_cut("both")

    def test_cut_of_outgoing_data(self):
        self.run_cut("out")

    def test_cut_of_incoming_data(self):
        self.run_cut("in")

    def test_owner_is_killed_inside_the_partitioned_zone(self):
        owner = wait_until(self.owner_inside, "zone c has an owner")
        self.cluster.cut("c")
        owner.scheduler.kill()
        self.serve_inside()
        owner.scheduler.start()
        self.cluster.cut("c", "none")
        self.check_joined([])

    def check_recovered(self, vm, role, version):
        self.cluster.wait_ready(vm, role)
        self.assertIn(f"event=configuration_applied version={version}", getattr(vm, role).log_text())

    def test_daemons_restart_inside_the_partitioned_zone(self):
        """Restarted daemons apply the last configuration version from before the partition and serve callers."""
        self.cluster.accept(jobs.document(jobs.service("late", 1)), "late", expected_version=1)
        for vm in self.inside:
            for process in (vm.entry, vm.scheduler):
                wait_until(lambda process=process: "applied version=2" in process.log_text(), "version 2 in zone c")
        owner = wait_until(self.owner_inside, "zone c has an owner")
        standby = next(vm for vm in self.inside if vm is not owner)
        self.cluster.cut("c")
        for role in ("entry", "scheduler"):
            getattr(standby, role).kill()
            getattr(standby, role).start()
            self.check_recovered(standby, role, 2)
        self.serve_inside()
        self.cluster.cut("c", "none")
        self.check_joined([])

    def test_daemon_that_cannot_learn_the_configuration_stays_unready(self):
        first, second = self.inside
        self.cluster.cut("c")
        second.entry.pause()
        first.scheduler.kill()
        first.scheduler.start()
        answer = wait_until(lambda: self.unready(first.scheduler, "entry-c2"), "the log names the silent entry")
        self.assertIn("configuration unknown", answer)
        address = first.address["scheduler_health"]
        self.assertEqual(request(address, "GET", "/readyz")[0], 503)
        self.assertIn(b"entry-c2", request(address, "GET", "/readyz")[2])
        second.entry.resume()
        self.check_recovered(first, "scheduler", 1)

    def test_zone_of_one_vm_recovers_one_process_at_a_time(self):
        vm = next(vm for vm in self.outside if vm.zone == "b")
        for process in (vm.entry, vm.scheduler):
            wait_until(lambda process=process: "applied version=1" in process.log_text(), "version 1 in zone b")
        self.cluster.cut("b")
        for role in ("scheduler", "entry"):
            getattr(vm, role).kill()
            getattr(vm, role).start()
            self.check_recovered(vm, role, 1)
        for process in (vm.entry, vm.scheduler):
            process.kill()
        for process in (vm.entry, vm.scheduler):
            process.start()
        wait_until(lambda: self.unready(vm.scheduler, "entry-b1"), "the scheduler waits for the entry")
        wait_until(lambda: self.unready(vm.entry, "scheduler-b1"), "the entry waits for the scheduler")
        self.assertFalse(self.cluster.is_ready(vm, "scheduler"))
        self.assertFalse(self.cluster.is_ready(vm, "entry"))
        self.cluster.cut("b", "none")
        for role in ("scheduler", "entry"):
            self.check_recovered(vm, role, 1)
        self.check_joined([])

    def test_paused_process_does_not_delay_the_configuration_of_its_zone(self):
        paused = self.inside[1].entry
        paused.pause()
        self.cluster.accept(jobs.document(jobs.service("late", 1)), "late", expected_version=1)
        others = [process for vm in self.cluster.vms for process in (vm.entry, vm.scheduler) if process is not paused]
        for process in others:
            wait_until(lambda process=process: "applied version=2" in process.log_text(), f"version 2 at {process.name}")
        paused.resume()
        wait_until(lambda: "applied version=2" in paused.log_text(), "version 2 at the process that was paused")
        self.check_joined([])

    def unready(self, process, node):
        lines = [line for line in process.log_text().splitlines() if "event=configuration_waits" in line]
        return next((line for line in lines if line.rstrip('"').endswith(f": {node}")), None)


if __name__ == "__main__":
    unittest.main()
