"""A short seeded run of the fault soak. tools/fault_soak runs more seeds, longer and larger."""

import unittest

from fault_soak import run_seed


class FaultSoakTest(unittest.TestCase):
    def test_promises_hold_under_overlapping_faults(self):
        for seed in (1, 2):
            self.assertEqual(run_seed(seed, 20), [], f"seed {seed}")


if __name__ == "__main__":
    unittest.main()
