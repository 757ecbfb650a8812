"""The embedding examples build and run against the installed coordination package, outside the source tree."""

import os
import pathlib
import subprocess
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("YW_BIN", ROOT / "build" / "bin")).parent

REGISTER = """\
voters: 3
written after the leader's disk was lost: second
read at the replaced replica: second
"""
WORKER = """\
first owner may command: yes
second owner gets the worker during the lease: no
second owner gets the worker after the lease: yes
first owner's late command is admitted: no
first attempt may run: yes
resend may run: no, it learns: 42 invoices
resend after a day learns: may-have-run
"""


def run(*command):
    done = subprocess.run([str(part) for part in command], capture_output=True, text=True, check=False)
    if done.returncode != 0:
        raise AssertionError(f"{command}: exit code {done.returncode}\n{done.stdout}{done.stderr}")
    return done.stdout


class EmbeddingTest(unittest.TestCase):
    def test_examples_build_against_the_installed_package(self):
        with tempfile.TemporaryDirectory(prefix="yuccawheel-") as name:
            folder = pathlib.Path(name)
            run("cmake", "--install", BUILD, "--component", "coordination", "--prefix", folder / "prefix")
            run("cmake", "-S", ROOT / "examples" / "embedding", "-B", folder / "build", "-G", "Ninja",
                f"-DCMAKE_PREFIX_PATH={folder / 'prefix'}")
            run("cmake", "--build", folder / "build")
            self.assertEqual(run(folder / "build" / "replicated_register", folder / "disks"), REGISTER)
            self.assertEqual(run(folder / "build" / "fenced_worker"), WORKER)


if __name__ == "__main__":
    unittest.main()
