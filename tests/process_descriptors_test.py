"""Tests managers and a gateway that have few file descriptors, under more connections than those."""

import os
import resource
import socket
import threading
import time
import unittest

from cluster import wait_until
from process_called_workers_test import CalledWorkersCase

STEP = {"count": 2, "cpu": 1000, "mem_mb": 100, "estimated_ms": 300}
# Larger than the log between two snapshots, so that files are created meanwhile.
LARGE_JOBS = 40
LARGE_PAYLOAD = "x" * 200_000


class IdleClients:
    """Connections that send nothing, opened again whenever they are closed."""

    def __init__(self, addresses, count):
        self.addresses, self.sockets, self.closed = addresses, [None] * count, False
        self.thread = threading.Thread(target=self._hold)
        self.thread.start()

    def _hold(self):
        while not self.closed:
            for number, held in enumerate(self.sockets):
                if held is None or self._is_closed(held):
                    if held is not None:
                        held.close()
                    self.sockets[number] = self._connect(self.addresses[number % len(self.addresses)])
            time.sleep(0.05)

    @staticmethod
    def _is_closed(held):
        try:
            return held.recv(1) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    @staticmethod
    def _connect(address):
        connection = socket.socket()
        connection.setblocking(False)
        connection.connect_ex(address)
        return connection

    def close(self):
        self.closed = True
        self.thread.join()
        for held in self.sockets:
            if held is not None:
                held.close()


class DescriptorsCase(CalledWorkersCase):
    def hold_connections(self, addresses, count):
        clients = IdleClients(addresses, count)
        self.addCleanup(clients.close)
        return clients

    def submit_large_jobs(self, first):
        for key in range(first, first + LARGE_JOBS):
            self.submit(key, [STEP], LARGE_PAYLOAD)

    def assert_all_run(self):
        daemons = self.managers + [self.gateway]
        self.assertEqual([daemon.child.poll() for daemon in daemons], [None] * len(daemons))


class LowLimitTest(DescriptorsCase):
    max_open_files = 256

    # Guards against managers that end on "Too many open files": connections took all file descriptors, and the log found
    # none for its next file.
    def test_connections_leave_descriptors_to_the_log_and_to_operators(self):
        self.hold_connections(self.control + [self.caller], 1_000)
        self.submit_large_jobs(1)
        for key in (1, LARGE_JOBS):
            self.wait_state(key, "completed")
        self.assertEqual(self.put(2), 200)
        self.assert_all_run()


class ExhaustedTest(DescriptorsCase):
    @staticmethod
    def set_limit(process, limit):
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (limit, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))

    # Guards against a process that ends, or never recovers, when it can open nothing more although its settings allow it.
    def test_processes_without_descriptors_recover(self):
        self.submit(1, [STEP])
        self.wait_state(1, "completed")
        daemons = self.managers + [self.gateway]
        for process in daemons:
            self.set_limit(process, len(os.listdir(f"/proc/{process.pid}/fd")))
        clients = self.hold_connections(self.control + [self.caller], 50)
        wait_until(lambda: all("event=accept_failed" in process.log_text() for process in daemons),
                   "no process can accept a connection")
        self.assert_all_run()
        clients.close()
        for process in daemons:
            self.set_limit(process, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        self.submit_large_jobs(2)
        self.wait_state(LARGE_JOBS, "completed")
        self.assert_all_run()

    # The log's next file can't be created: the managers wait for a descriptor, as for space on a full disk.
    def test_log_without_descriptors_recovers(self):
        leader = self.leader()
        self.set_limit(leader, len(os.listdir(f"/proc/{leader.pid}/fd")))
        self.submit_large_jobs(1)
        self.wait_state(LARGE_JOBS, "completed")
        self.assert_all_run()
        self.set_limit(leader, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        self.submit(LARGE_JOBS + 1, [STEP])
        self.wait_state(LARGE_JOBS + 1, "completed")
        self.assert_all_run()


if __name__ == "__main__":
    unittest.main()
