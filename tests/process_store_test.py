"""Tests store replicas that are killed or lose their disks, and concurrent and resent operator submissions."""

import http.client
import shutil
import threading
import unittest

import jobs
from cluster import TOKEN, Cluster, wait_until

ROUNDS = 5


class StoreTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster({"a": 1, "b": 1, "c": 1})
        self.addCleanup(self.cluster.stop)
        self.cluster.start()
        self.accepted = {}

    def submit(self, name):
        """Submits a batch job that stays waiting, since the cluster has no workers."""
        ids = self.cluster.accept(jobs.document(jobs.batch(name, 1)), name)
        self.accepted[name] = ids[name]

    def check_nothing_lost(self):
        """Checks that every entry knows every accepted job and that a resend gets the first answer."""
        for vm in self.cluster.vms:
            wait_until(lambda vm=vm: all(self.cluster.job(job, vm) for job in self.accepted.values()),
                       f"{vm.name} knows every accepted job")
        for name, job in self.accepted.items():
            status, answer = self.cluster.submit(jobs.document(jobs.batch(name, 1)), name)
            self.assertEqual((status, answer["resent"], answer["jobs"][0]["id"]), (200, True, job))

    def replace_disk(self, vm):
        """Replaces a replica's disk by an empty one and waits until the replica's new generation votes."""
        old = self.cluster.voters().get(f"store-{vm.name}")
        vm.store.kill()
        shutil.rmtree(self.cluster.data_dir(vm))
        self.cluster.data_dir(vm)
        vm.store.start()
        wait_until(lambda: self.cluster.voters().get(f"store-{vm.name}") not in (None, old)
                   and self.cluster.all_vote(), f"the new replica on {vm.name} has caught up")

    def leader(self):
        def find():
            status, answer = self.cluster.operator("GET", "/v1/store")
            names = [vm for vm in self.cluster.vms if status == 200 and answer.get("leader") == f"store-{vm.name}"]
            return names[0] if names else None

        return wait_until(find, "the store has a leader")

    def test_leader_is_killed_repeatedly(self):
        self.cluster.accept(jobs.document(jobs.team()), "team", expected_version=0)
        for number in range(ROUNDS):
            self.submit(f"before-{number}")
            leader = self.leader()
            leader.store.kill()
            self.submit(f"during-{number}")
            leader.store.start()
            self.cluster.wait_ready(leader, "store")
        self.check_nothing_lost()

    def test_stopped_leader_hands_over_its_leadership(self):
        self.cluster.accept(jobs.document(jobs.team()), "team", expected_version=0)
        for number in range(ROUNDS):
            leader = self.leader()
            self.assertEqual(leader.store.terminate(), 0)
            self.assertIn("event=store_hands_over", leader.store.log_text())
            self.submit(f"after-{number}")
            leader.store.start()
            self.cluster.wait_ready(leader, "store")
        self.check_nothing_lost()

    def test_second_disk_is_lost_right_after_the_repair_of_the_first(self):
        self.cluster.accept(jobs.document(jobs.team()), "team", expected_version=0)
        for number in range(ROUNDS):
            self.submit(f"job-{number}")
        first, second = self.cluster.vms[0], self.cluster.vms[1]
        self.replace_disk(first)
        second.store.kill()
        shutil.rmtree(self.cluster.data_dir(second))
        self.submit("after-the-second-loss")
        self.check_nothing_lost()
        self.replace_disk(second)
        self.check_nothing_lost()

    def test_all_replicas_are_killed_at_once(self):
        self.cluster.accept(jobs.document(jobs.team()), "team", expected_version=0)
        self.submit("before")
        for vm in self.cluster.vms:
            vm.store.kill()
        for vm in self.cluster.vms:
            vm.store.start()
        self.submit("after")
        self.check_nothing_lost()

    def test_one_of_several_submissions_for_the_same_version_wins(self):
        for version in range(ROUNDS):
            answers = {}

            def race(vm, version=version, answers=answers):
                document = jobs.document(jobs.team(), jobs.service(f"service-{vm.name}-{version}", 1))
                answers[vm.name] = self.cluster.submit(document, f"race-{vm.name}-{version}", version, vm)

            threads = [threading.Thread(target=race, args=(vm,)) for vm in self.cluster.vms]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            statuses = sorted(status for status, _ in answers.values())
            self.assertEqual(statuses, [200, 409, 409], answers)
            winner = next(name for name, (status, _) in answers.items() if status == 200)
            for status, answer in answers.values():
                if status == 409:
                    self.assertEqual(answer["error"], "version_conflict")
                    self.assertEqual(answer["winner"], {"version": version + 1,
                                                        "submission": f"race-{winner}-{version}"})

    def test_resend_after_a_lost_answer_adds_nothing(self):
        self.cluster.accept(jobs.document(jobs.team()), "team", expected_version=0)
        document = jobs.document(jobs.batch("once", 1))
        connection = http.client.HTTPConnection(*self.cluster.vms[0].address["operator"])
        connection.request("POST", "/v1/submissions", document,
                           {"Authorization": f"Bearer {TOKEN}", "Yw-Submission": "once"})
        connection.close()
        self.leader().store.kill()
        first = self.cluster.accept(document, "once", vm=self.cluster.vms[1])
        again = self.cluster.accept(document, "once", vm=self.cluster.vms[2])
        self.assertEqual(first, again)
        status, answer = self.cluster.operator("GET", "/v1/jobs")
        self.assertEqual((status, [job["name"] for job in answer["jobs"]]), (200, ["once"]))


if __name__ == "__main__":
    unittest.main()
