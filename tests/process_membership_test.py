"""Tests the membership states: a paused daemon becomes suspected, a stopping one announces that it leaves."""

import unittest

from cluster import Cluster, wait_until


class MembershipTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster({"a": 1, "b": 1}, stores=["a"])
        self.addCleanup(self.cluster.stop)
        self.cluster.start()
        self.first, self.second = self.cluster.vms

    def wait_state(self, state):
        """Waits until the last state of the second entry in the log of the first one is `state`."""
        mark = f"event=member_changed node=entry-{self.second.name} "

        def seen():
            lines = [line for line in self.first.entry.log_text().splitlines() if mark in line]
            return lines and f"state={state} " in lines[-1]

        wait_until(seen, f"{self.second.name} is {state}")

    def test_paused_entry_is_suspected_until_it_resumes(self):
        self.wait_state("alive")
        self.second.entry.pause()
        self.wait_state("suspected")
        self.assertIn(f"event=peer_closed node=entry-{self.second.name} reason=silent", self.first.entry.log_text())
        self.second.entry.resume()
        self.wait_state("alive")

    def test_stopping_entry_announces_that_it_leaves(self):
        self.wait_state("alive")
        self.assertEqual(self.second.entry.terminate(), 0)
        self.wait_state("left")
        self.assertIn(f"event=peer_closed node=entry-{self.second.name} reason=left", self.first.entry.log_text())
        self.second.entry.start()
        self.wait_state("alive")


if __name__ == "__main__":
    unittest.main()
