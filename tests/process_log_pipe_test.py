"""Tests that a daemon serves requests and exits normally when it can't write to its standard output."""

import fcntl
import os
import pathlib
import select
import shutil
import signal
import subprocess
import tempfile
import threading
import unittest

import process_called_workers_test as called
from cluster import BIN, claim_network, free_addresses, request, wait_until

MIN_PIPE_BYTES = 4096
REQUESTS = 60  # Each is refused, since no manager runs, and logs more than 100 bytes
END_TIMEOUT_S = 60


class LogPipeTest(unittest.TestCase):
    def start(self, stdout):
        folder = pathlib.Path(tempfile.mkdtemp(prefix="yw-log-pipe-"))
        self.addCleanup(shutil.rmtree, folder, True)
        net, claim = claim_network()
        self.addCleanup(claim.close)
        ip = f"{net}.1"
        self.caller, health, inner, seed = free_addresses(ip, 4)
        ports = {"inner": inner[1], "caller": self.caller[1], "health": health[1]}
        extra = ["drain_delay: 0s"]
        file = called.settings("gateway", ip, ports, [f"{ip}:{seed[1]}"], folder, extra)
        self.child = subprocess.Popen([BIN / "yw-gateway", "--settings", file], stdout=stdout, stdin=subprocess.DEVNULL)
        self.addCleanup(self.end)
        wait_until(lambda: self.answers(health), "the gateway serves")

    def end(self):
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait()

    @staticmethod
    def answers(address):
        try:
            return request(address, "GET", "/healthz")[0] == 200
        except OSError:
            return False

    def check_refusals_and_end(self):
        statuses = []
        threads = [threading.Thread(target=lambda: statuses.append(request(self.caller, "GET", "/jobs/1")[0]))
                   for _ in range(REQUESTS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(len(statuses), REQUESTS)
        self.assertLessEqual(set(statuses), {503, 504})
        os.kill(self.child.pid, signal.SIGTERM)
        self.assertEqual(self.child.wait(timeout=END_TIMEOUT_S), 0)

    def test_full_pipe(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, MIN_PIPE_BYTES)
        self.addCleanup(os.close, writer)
        self.start(writer)
        self.check_refusals_and_end()
        self.assertEqual(select.select([], [writer], [], 0)[1], [], "the pipe is full")

    def test_pipe_without_reader(self):
        reader, writer = os.pipe()
        self.start(writer)
        os.close(writer)
        os.close(reader)
        self.check_refusals_and_end()

    def test_full_device(self):
        with open("/dev/full", "wb") as output:
            self.start(output)
        self.check_refusals_and_end()


if __name__ == "__main__":
    unittest.main()
