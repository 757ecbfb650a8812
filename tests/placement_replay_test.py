"""Replays all traces and checks the expectations in them, which guard against changes in scheduling behaviour."""

import glob
import os
import subprocess
import unittest


class ReplayTest(unittest.TestCase):
    def test_traces_meet_their_outcomes(self):
        traces = sorted(glob.glob("traces/*.jsonl"))
        self.assertGreaterEqual(len(traces), 8)
        bench = os.path.join(os.environ["YW_BIN"], "yw-bench")
        result = subprocess.run([bench, "replay", *traces], capture_output=True, text=True, check=False)
        self.assertEqual(result.returncode, 0, result.stdout + result.stderr)


if __name__ == "__main__":
    unittest.main()
