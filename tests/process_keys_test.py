"""Tests that a non-repeatable request runs at most once when it is resent through other entries and zones, also during
a partition."""

import json
import time
import unittest

from cluster import Cluster, request, wait_until
from load import CountingUpstream

SERVICE = "loan-check"
BODY = "book 17"


class KeysTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster({"a": 1, "b": 1, "c": 1}, relays=True)
        self.addCleanup(self.cluster.stop)
        self.cluster.start()
        self.upstreams = {zone: CountingUpstream(self.cluster, zone, SERVICE) for zone in self.cluster.zones}
        for upstream in self.upstreams.values():
            self.addCleanup(upstream.close)
        for vm in self.cluster.vms:
            wait_until(lambda vm=vm: self.served(vm), f"{vm.name} serves")

    def served(self, vm):
        return self.cluster.call(SERVICE, method="POST", body="x", headers={"Yw-Key": "w", "Yw-Repeatable": "yes"},
                                 vm=vm)[0] == 200

    def send(self, vm, key, body=BODY):
        status, headers, _ = self.cluster.call(SERVICE, method="POST", body=body, headers={"Yw-Key": key}, vm=vm)
        return status, headers["Yw-Verdict"]

    def runs(self, key):
        return sum(upstream.runs[key] for upstream in self.upstreams.values())

    def issue(self, vm):
        status, _, body = request(vm.address["caller"], "POST", "/v1/keys")
        self.assertEqual(status, 200)
        return json.loads(body)["key"]

    def test_resends_through_every_zone_run_once(self):
        first = self.cluster.vms[0]
        for key in (self.issue(first), f"{int(time.time())}-chosen"):
            for vm in self.cluster.vms:
                self.assertEqual(self.send(vm, key), (200, "ran"), key)
            self.assertEqual(self.runs(key), 1, key)
            # The verdict "not-run" would mean that no attempt with this key ran.
            self.assertEqual(self.send(first, key, "another book"), (409, "ran"))
        listed = {entry["executor"] for entry in self.cluster.operator("GET", "/v1/upstreams")[1]["upstreams"]}
        self.assertEqual(listed, {"e-a", "e-b", "e-c"})

    def test_partitioned_zone_runs_only_requests_with_its_own_keys(self):
        inside, outside = self.cluster.vms[2], self.cluster.vms[0]
        used, chosen = self.issue(outside), f"{int(time.time())}-chosen"
        self.assertEqual(self.send(outside, used), (200, "ran"))
        self.cluster.cut("c")
        own = self.issue(inside)
        self.assertEqual(self.send(inside, own), (200, "ran"))
        for key in (used, chosen):
            self.assertEqual(self.send(inside, key), (504, "may-have-run"), key)
        self.assertEqual([self.runs(own), self.runs(used), self.runs(chosen)], [1, 1, 0])
        self.cluster.cut("c", "none")
        wait_until(lambda: self.send(inside, used) == (200, "ran"), "the resend gets the verdict of the first attempt")
        self.assertEqual(self.runs(used), 1)


if __name__ == "__main__":
    unittest.main()
