"""An upstream that says that it leaves, or that falls silent, gets no new request from any entry of any zone."""

import time
import unittest

from cluster import Cluster
from load import Callers, CountingUpstream, wait_served

SERVICE = "loan-check"
LIMIT_S = 3  # After its last heartbeat that says that it serves.
RELAY_INTERVAL_S = 1  # Entries tell each other at least so often that an upstream lives.
HELD_BACK_S = 1.2  # With the above less than the time after which entries close a silent connection.


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
        self.callers.wait_more(300)
        for vm in self.cluster.vms:
            self.assertGreater(self.callers.served[vm.name], 0, f"{vm.name} sends requests to the upstream")

    def check_nothing_runs(self, since):
        time.sleep(max(0, since + LIMIT_S - time.monotonic()))
        before = sum(self.upstream.runs.values())
        time.sleep(LIMIT_S)
        self.callers.wait_more(50)
        after = sum(self.upstream.runs.values())
        print(f"{before} requests until {LIMIT_S} s after the last heartbeat that said serving, {after - before} later; "
              f"the last one came {self.upstream.last_run - since:.2f} s after it")
        self.assertEqual(after, before)

    def test_leaving(self):
        since = self.upstream.leave()
        self.check_nothing_runs(since)

    def test_silent(self):
        since = self.upstream.fall_silent()
        self.check_nothing_runs(since)

    def test_silent_while_the_news_for_another_zone_is_held_back(self):
        # All load comes from the other zone, so it holds on to the slots that it has borrowed.
        self.callers.stop()
        self.callers = Callers(self.cluster, SERVICE, threads=24, vms=self.cluster.vms[2:])
        self.addCleanup(self.callers.stop)
        self.callers.wait_more(300)
        self.cluster.cut("b", "in")
        time.sleep(RELAY_INTERVAL_S)
        since = self.upstream.fall_silent()
        time.sleep(HELD_BACK_S)
        self.cluster.cut("b", "none")
        self.check_nothing_runs(since)


if __name__ == "__main__":
    unittest.main()
