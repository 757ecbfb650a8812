"""Tests that batch jobs of a zone that is partitioned for long move to another zone and never run in two at once."""

import http.client
import unittest

import cluster as _cluster  # noqa: F401  (adds the operators' library to the path)
from cluster import Cluster, wait_until
from journal import check_journal
from yuccawheel import BatchJob, Configuration, Resources, Team

TASKS = 8
RUN_MS = 25000  # Longer than the time until the job moves, so that a task that kept running would overlap


class DetachedTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster({"a": 1, "b": 1, "c": 1}, relays=True)
        self.addCleanup(self.cluster.stop)
        self.cluster.start()
        for zone in self.cluster.zones:
            self.cluster.workers(zone, 2, milli_cpu=8000, memory_mib=32768, wait_ms=300)

    def job(self, vm):
        try:
            status, body = self.cluster.operator("GET", "/v1/jobs/rebuild", vm=vm)
        except (OSError, http.client.HTTPException):
            return None
        return body if status == 200 else None

    def test_job_of_a_partitioned_zone_moves_and_never_runs_twice_at_once(self):
        small = Resources(cpu=1, memory="512MiB")
        document = Configuration(
            Team("vans", guaranteed=Resources(cpu=8, memory="16GiB")),
            BatchJob("rebuild", "vans", small, tasks=TASKS, run_time="25s", detached_for="6s",
                     payload=f'{{"run_ms": {RUN_MS}}}'))
        status, answer = wait_until(lambda: self.cluster.submit(document, "first", 0), "the submission is answered")
        self.assertEqual(status, 200, answer)
        first = self.cluster.vms[0]
        zone = wait_until(lambda: self.job(first)["zones"], "the job has a zone")[0]["zone"]
        wait_until(self.cluster.records, "tasks run")
        outside = next(vm for vm in self.cluster.vms if vm.zone != zone)
        self.cluster.cut(zone)

        def done_elsewhere():
            job = self.job(outside)
            return job and job["state"] == "succeeded" and job["zones"][0]["zone"] != zone

        wait_until(done_elsewhere, "the job has moved and succeeded")
        self.cluster.cut(zone, "none")
        inside = next(vm for vm in self.cluster.vms if vm.zone == zone)
        wait_until(lambda: (self.job(inside) or {}).get("state") == "succeeded", "the zone has rejoined")
        check_journal(self.cluster.records())


if __name__ == "__main__":
    unittest.main()
