"""Tests that an upstream that leaves or stops its heartbeats gets no new requests from the entries of any zone."""

import time
import unittest

from cluster import Cluster
from load import Callers, CountingUpstream, wait_served

SERVICE = "loan-check"
LIMIT_S = 3  # After the last heartbeat with state serving
RELAY_INTERVAL_S = 1  # Maximum interval at which entries relay to each other that an upstream is alive
DELAY_S = 1.2  # Together with RELAY_INTERVAL_S, less than the time after which entries close a silent connection


class LeavingTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster({"a": 2, "b": 1}, stores=["a"], relays=True, settings={"request_timeout": "4s"})
        self.addCleanup(self.cluster.stop)
        self.cluster.start()
        self.upstream = CountingUpstream(self.cluster, "a", SERVICE, delay=0.02)
        self.addCleanup(self.upstream.close)
        wait_served(self.cluster, SERVICE)
        self.callers = Callers(self.cluster, SERVICE, threads=24)
        self.addCleanup(self.callers.stop)
        self.callers.wait_for_outcomes(300)
        for vm in self.cluster.vms:
            self.assertGreater(self.callers.served[vm.name], 0, f"{vm.name} sends requests to the upstream")

    def check_nothing_runs(self, since):
        time.sleep(max(0, since + LIMIT_S - time.monotonic()))
        before = sum(self.upstream.runs.values())
        time.sleep(LIMIT_S)
        self.callers.wait_for_outcomes(50)
        after = sum(self.upstream.runs.values())
        print(f"{before} requests until {LIMIT_S} s after the last serving heartbeat, {after - before} later; "
              f"the last one arrived {self.upstream.last_run - since:.2f} s after it")
        self.assertEqual(after, before)

    def test_leaving(self):
        since = self.upstream.leave()
        self.check_nothing_runs(since)

    def test_silent(self):
        since = self.upstream.stop_heartbeats()
        self.check_nothing_runs(since)

    def test_silent_while_updates_to_another_zone_are_delayed(self):
        # All load comes from the other zone, so that it keeps its borrowed slots.
        self.callers.stop()
        self.callers = Callers(self.cluster, SERVICE, threads=24, vms=self.cluster.vms[2:])
        self.addCleanup(self.callers.stop)
        self.callers.wait_for_outcomes(300)
        self.cluster.cut("b", "in")
        time.sleep(RELAY_INTERVAL_S)
        since = self.upstream.stop_heartbeats()
        time.sleep(DELAY_S)
        self.cluster.cut("b", "none")
        self.check_nothing_runs(since)


if __name__ == "__main__":
    unittest.main()
