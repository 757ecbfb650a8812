"""Tests that all entries together keep the limits of slots and connections of executors."""

import collections
import time
import unittest
import zlib

from cluster import Cluster, wait_until
from load import Callers, CountingUpstream, wait_served

SERVICE = "loan-check"
LONG_RUN_S = 1.5  # Longer than the restart of an entry
LONG_RUN_ONE_IN = 5
SHORT_RUN_S = 0.02
MAX_LOAN_S = 20.4
CALLERS = 40


def run_time(key):
    return LONG_RUN_S if zlib.crc32(key.encode()) % LONG_RUN_ONE_IN == 0 else SHORT_RUN_S


class LimitsTest(unittest.TestCase):
    """Three entries share two executors; an entry of another zone only has borrowed slots. One executor accepts as many
    connections as requests, so that idle connections must be closed in time."""

    def setUp(self):
        self.cluster = Cluster({"a": 3, "b": 1}, stores=["a"], relays=True)
        self.addCleanup(self.cluster.stop)
        self.cluster.start()
        self.upstreams = [CountingUpstream(self.cluster, "a", SERVICE, run_time, executor="e-wide"),
                          CountingUpstream(self.cluster, "a", SERVICE, run_time, executor="e-tight", connections=8)]
        for upstream in self.upstreams:
            self.addCleanup(upstream.close)
        wait_served(self.cluster, SERVICE)
        self.callers = Callers(self.cluster, SERVICE, threads=CALLERS)
        self.addCleanup(self.callers.stop)

    def restart(self, vm):
        vm.entry.kill()
        vm.entry.start()
        self.cluster.wait_ready(vm, "entry")

    def check(self):
        for upstream in self.upstreams:
            name, limit = upstream.announcement["executor"], upstream.announcement["connections"]
            print(f"{name}: {sum(upstream.runs.values())} runs, peaks: {upstream.peak_running} of 8 requests "
                  f"and {upstream.peak_connections} connections of {limit}")
        for upstream in self.upstreams:
            limit = upstream.announcement["connections"]
            self.assertEqual(upstream.peak_running, 8, "the load uses all slots and never exceeds them")
            self.assertLessEqual(upstream.peak_connections, limit, upstream.announcement["executor"])
        runs = sum((upstream.runs for upstream in self.upstreams), collections.Counter())
        self.assertEqual([key for key, count in runs.items() if count > 1], [])

    def test_limits_hold_while_entries_are_killed_and_a_zone_is_partitioned(self):
        inside, outside = self.cluster.vms[:3], self.cluster.vms[3]
        self.callers.wait_for_outcomes(300)
        for vm in inside:
            self.restart(vm)
            self.callers.wait_for_outcomes(200)
        self.assertGreater(self.callers.served[outside.name], 0, "the other zone borrows slots")
        self.cluster.cut("b")
        end = time.monotonic() + MAX_LOAN_S
        self.restart(inside[0])
        wait_until(lambda: time.monotonic() > end, "every loan has expired")
        self.callers.wait_for_outcomes(200)
        outside.entry.kill()
        self.callers.wait_for_outcomes(100)
        self.cluster.cut("b", "none")
        outside.entry.start()
        self.cluster.wait_ready(outside, "entry")
        self.callers.wait_for_outcomes(200)
        self.callers.stop()
        outcomes = collections.Counter(self.callers.outcomes.values())
        print(f"sent {len(self.callers.outcomes)}, outcomes {dict(outcomes)}, served {dict(self.callers.served)}")
        self.check()


if __name__ == "__main__":
    unittest.main()
