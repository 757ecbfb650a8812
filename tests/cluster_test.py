"""Tests that clusters and their relays don't share addresses."""

import random
import unittest

from cluster import Cluster


class AddressTest(unittest.TestCase):
    def cluster(self, **arguments):
        cluster = Cluster(**arguments)
        self.addCleanup(cluster.stop)
        return cluster

    def test_relays_use_no_address_of_a_daemon(self):
        cluster = self.cluster(zones={"a": 1, "b": 1}, relays=True)
        for vm in cluster.vms:
            for role in ("store", "scheduler", "entry"):
                cluster.settings_file(vm, role)
        relays = [relay.address[0] for relay in cluster._links.values()]
        self.assertTrue(relays)
        self.assertTrue(set(relays).isdisjoint(vm.ip for vm in cluster.vms))

    def test_two_clusters_share_no_address(self):
        state = random.getstate()
        self.addCleanup(random.setstate, state)
        first = self.cluster()
        random.setstate(state)
        second = self.cluster()
        self.assertTrue({vm.ip for vm in first.vms}.isdisjoint(vm.ip for vm in second.vms))


if __name__ == "__main__":
    unittest.main()
