"""Tests that requests run at most once and get true verdicts while entries are killed, restarted and drained."""

import collections
import threading
import unittest

from cluster import Cluster, wait_until
from load import Callers, CountingUpstream, issue_key, send, wait_served

SERVICE = "loan-check"


class RequestsTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster({"a": 3}, stores=["a"])
        self.addCleanup(self.cluster.stop)
        self.cluster.start()
        self.upstream = CountingUpstream(self.cluster, "a", SERVICE, delay=0.02)
        self.addCleanup(self.upstream.close)
        wait_served(self.cluster, SERVICE)
        self.callers = Callers(self.cluster, SERVICE)
        self.addCleanup(self.callers.stop)

    def check(self, runs, outcomes):
        """Checks that no request ran twice and that each verdict matches the number of runs."""
        for key, (status, verdict) in outcomes.items():
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
            self.callers.wait_for_outcomes(100)
            self.assertEqual(vm.entry.terminate(), 0, vm.entry.log_text()[-2000:])
            self.callers.wait_for_outcomes(50)
            vm.entry.start()
            self.cluster.wait_ready(vm, "entry")
        self.callers.wait_for_outcomes(100)
        self.callers.stop()
        self.summary()
        lost = {key: outcome for key, outcome in self.callers.outcomes.items() if outcome != (200, "ran")}
        self.assertEqual(lost, {})
        self.check(self.upstream.runs, self.callers.outcomes)

    def test_killed_entry_causes_no_second_run_and_resends_get_true_verdicts(self):
        self.callers.wait_for_outcomes(100)
        for vm in self.cluster.vms:
            # Repeats the kill until it has left at least one caller without an answer.
            unanswered = len(self.callers.resent)
            while len(self.callers.resent) == unanswered:
                vm.entry.kill()
                self.callers.wait_for_outcomes(50)
                vm.entry.start()
                self.cluster.wait_ready(vm, "entry")
                self.callers.wait_for_outcomes(50)
        self.callers.stop()
        self.summary()
        print(f"resent {len(self.callers.resent)}, outcomes {dict(collections.Counter(self.callers.resent.values()))}, "
              f"run {sum(self.upstream.runs[key] for key in self.callers.resent)}")
        self.check(self.upstream.runs, self.callers.outcomes)
        self.check(self.upstream.runs, self.callers.resent)
        for number, key in enumerate(self.callers.resent):
            last = {key: send(self.cluster, SERVICE, key, self.cluster.vms[number % 3])}
            self.check(self.upstream.runs, last)

    def test_resend_while_the_first_attempt_still_runs(self):
        self.callers.stop()
        first, second, third = self.cluster.vms
        for issuer in (first, second):
            key = issue_key(issuer)
            self.upstream.hold(key)
            sender = threading.Thread(target=send, args=(self.cluster, SERVICE, key, first))
            sender.start()
            wait_until(lambda key=key: self.upstream.runs[key] == 1, "the first attempt runs")
            first.entry.kill()
            sender.join()
            for vm in (second, third):
                self.assertEqual(send(self.cluster, SERVICE, key, vm), (504, "may-have-run"), key)
            self.upstream.release(key)
            first.entry.start()
            self.cluster.wait_ready(first, "entry")
            for vm in self.cluster.vms:
                self.assertEqual(send(self.cluster, SERVICE, key, vm), (504, "may-have-run"), key)
            self.assertEqual(self.upstream.runs[key], 1, key)


if __name__ == "__main__":
    unittest.main()
