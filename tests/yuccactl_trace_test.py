"""yuccactl trace merges the log lines of one job from the log files of several processes."""

import json
import os
import pathlib
import shutil
import subprocess
import tempfile
import unittest

YUCCACTL = os.path.join(os.environ.get("YW_BIN", "build/bin"), "yuccactl")
JOB = "00000000000000ab"
GATEWAY = [
    f"time=2026-12-04T05:30:00.000Z level=info event=request_given_up path=/jobs/{JOB} connected=false",
    "time=2026-12-04T05:30:00.000Z level=info event=request_given_up path=/jobs/00000000000000cd connected=false",
    f"time=2026-12-04T05:30:03.000Z level=info event=eligibility_refused step={JOB}.0.0 reason=timeout",
]
MANAGER = [
    "time=2026-12-04T05:29:59.000Z level=info event=leading epoch=1",
    "time=2026-12-04T05:30:01.000Z level=info event=leading epoch=2",
    f"time=2026-12-04T05:30:02.000Z level=info event=job_accepted job={JOB}",
    "an unfinished li",
    f"time=2026-12-04T05:30:04.000Z level=info event=task_placed task={JOB}.0.0.0 worker=w1",
    f"time=2026-12-04T05:30:04.500Z level=info event=task_placed task=1{JOB}.0.0.0 worker=w2",
    "time=2026-12-04T05:30:05.000Z level=warning event=worker_does_not_answer worker=w1",
    "time=2026-12-04T05:30:05.000Z level=warning event=worker_does_not_answer worker=w2",
    f"time=2026-12-04T05:30:06.000Z level=info event=job_ended job={JOB} phase=completed",
    "time=2026-12-04T05:30:07.000Z level=info event=leading_ended epoch=2",
]


class TraceTest(unittest.TestCase):
    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="yw-trace-"))
        self.addCleanup(shutil.rmtree, self.folder, True)
        self.logs = []
        for name, lines in (("manager-1", MANAGER), ("gateway-1", GATEWAY)):
            file = self.folder / f"{name}.log"
            file.write_text("\n".join(lines) + "\n", encoding="utf-8")
            self.logs.append(str(file))

    def trace(self, *arguments):
        return subprocess.run([YUCCACTL, "trace", *arguments], capture_output=True, text=True, timeout=30)

    def test_job_lines_and_related_events_are_in_order(self):
        answer = self.trace(JOB, *self.logs, "--format", "json")
        self.assertEqual(answer.returncode, 0, answer.stderr)
        lines = [(line["source"], line["event"], line["of_job"]) for line in json.loads(answer.stdout)]
        self.assertEqual(lines, [
            ("gateway-1", "request_given_up", True),
            ("manager-1", "leading", False),
            ("manager-1", "job_accepted", True),
            ("gateway-1", "eligibility_refused", True),
            ("manager-1", "task_placed", True),
            ("manager-1", "worker_does_not_answer", False),
            ("manager-1", "job_ended", True),
        ])

    def test_text_output_marks_cluster_events(self):
        lines = self.trace(JOB, *self.logs).stdout.splitlines()
        self.assertEqual(len(lines), 7)
        self.assertTrue(lines[1].startswith("* manager-1"))
        self.assertTrue(lines[2].startswith("  manager-1"))

    def test_exit_codes_of_failures(self):
        self.assertEqual(self.trace(JOB).returncode, 2)
        self.assertEqual(self.trace(JOB, str(self.folder / "none.log")).returncode, 2)
        unknown = self.trace("00000000000000ff", *self.logs)
        self.assertEqual(unknown.returncode, 1)
        self.assertIn("00000000000000ff", unknown.stderr)


if __name__ == "__main__":
    unittest.main()
