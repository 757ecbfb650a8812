"""Callers' requests while entry processes die, restart and drain. Counts what was sent, answered and run."""

import collections
import unittest

from cluster import Cluster, wait_until
from load import Callers, CountingUpstream, issue_key, send

SERVICE = "loan-check"


class RequestsTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster({"a": 3}, stores=["a"])
        self.addCleanup(self.cluster.stop)
        self.cluster.start()
        self.upstream = CountingUpstream(self.cluster, "a", SERVICE, delay=0.02)
        self.addCleanup(self.upstream.close)
        for vm in self.cluster.vms:
            wait_until(lambda vm=vm: send(self.cluster, SERVICE, issue_key(vm), vm)[0] == 200, "every entry serves")
        self.callers = Callers(self.cluster, SERVICE)
        self.addCleanup(self.callers.stop)

    def load(self, more):
        """Lets the callers get so many further outcomes."""
        goal = self.callers.count() + more
        wait_until(lambda: self.callers.count() >= goal, f"{more} more requests")

    def check(self, runs):
        """What a caller was told is what happened, and nothing ran twice."""
        for key, (status, verdict) in self.callers.outcomes.items():
            self.assertLessEqual(runs[key], 1, key)
            if verdict == "ran":
                self.assertEqual(runs[key], 1, key)
            if verdict == "not-run":
                self.assertEqual(runs[key], 0, key)
            self.assertNotEqual(status, "wrong answer", key)

    def summary(self):
        counts = collections.Counter(self.callers.outcomes.values())
        print(f"sent {len(self.callers.outcomes)}, outcomes {dict(counts)}, run {sum(self.upstream.runs.values())}")

    def test_rolling_restart_loses_no_request(self):
        for vm in self.cluster.vms:
            self.load(100)
            self.assertEqual(vm.entry.terminate(), 0, vm.entry.log_text()[-2000:])
            self.load(50)
            vm.entry.start()
            self.cluster.wait_ready(vm, "entry")
        self.load(100)
        self.callers.stop()
        self.summary()
        lost = {key: outcome for key, outcome in self.callers.outcomes.items() if outcome != (200, "ran")}
        self.assertEqual(lost, {})
        self.check(self.upstream.runs)

    def test_killed_entry_doubles_nothing_and_resends_learn_the_verdict(self):
        self.load(100)
        for vm in self.cluster.vms[:2]:
            vm.entry.kill()
            self.load(50)
            vm.entry.start()
            self.cluster.wait_ready(vm, "entry")
            self.load(50)
        self.callers.stop()
        self.summary()
        self.check(self.upstream.runs)
        unanswered = [key for key, outcome in self.callers.outcomes.items() if outcome[0] == "none"]
        for number, key in enumerate(unanswered):
            before = self.upstream.runs[key]
            status, verdict = send(self.cluster, SERVICE, key, self.cluster.vms[number % 3])
            self.assertLessEqual(self.upstream.runs[key], 1, (key, before, status, verdict))
            if verdict == "not-run":
                self.assertEqual(self.upstream.runs[key], 0, key)


if __name__ == "__main__":
    unittest.main()
