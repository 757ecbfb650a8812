"""Tests that every process that is stopped under steady load answers each request that it has read, and ends by itself."""

import http.client
import itertools
import json
import signal
import socket
import threading
import time
import unittest

from cluster import TOKEN, Cluster, wait_until
from load import CountingUpstream, wait_served
from process_called_workers_test import CalledWorker, CalledWorkersCase

UNREAD_S = 0.2  # A request that the process has had for less may not have been read when its connection ends.
CLIENT_TIMEOUT_S = 10
STEP = {"count": 1, "cpu": 1000, "mem_mb": 100, "estimated_ms": 60_000}


class SteadyClients:
    """Clients that keep sending requests on open connections, each its next one after the last answer. They open new
    connections, to the addresses in turn, until they are stopped.

    `ask` returns (method, path, body, headers) of a client's next request. `outcomes` lists (what was asked, status)
    of all answers, `lost` what was asked of requests whose connection ended without a whole answer."""

    def __init__(self, addresses, ask, count, pause_s=0.0):
        self.addresses, self.ask, self.pause_s = addresses, ask, pause_s
        self.outcomes, self.lost = [], []
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self._run, args=(number,), daemon=True) for number in range(count)]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def wait_for_answers(self, count):
        known = len(self.outcomes)
        wait_until(lambda: len(self.outcomes) >= known + count, f"{count} more answers")

    def _run(self, number):
        for turn in itertools.count(number):
            if self.stopping.is_set():
                return
            connection = http.client.HTTPConnection(*self.addresses[turn % len(self.addresses)],
                                                    timeout=CLIENT_TIMEOUT_S)
            try:
                connection.connect()
                connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                while not self.stopping.is_set() and self._exchange(connection):
                    self.stopping.wait(self.pause_s)
            except OSError:
                self.stopping.wait(0.05)
            finally:
                connection.close()

    def _exchange(self, connection):
        """Sends one request and returns whether the connection is still open."""
        asked = self.ask()
        connection.request(*asked)
        sent = time.monotonic()
        try:
            answer = connection.getresponse()
            answer.read()
        except (OSError, http.client.HTTPException):
            if time.monotonic() - sent > UNREAD_S:
                self.lost.append(asked[:2])
            return False
        self.outcomes.append((asked[:2], answer.status))
        return not answer.will_close


class DrainingCase(CalledWorkersCase):
    drain_limit_s = 4.0

    def setUp(self):
        super().setUp()
        self.leader()
        with open(self.gateway_file, "a", encoding="utf-8") as file:
            file.write(f"drain_limit: {self.drain_limit_s:.0f}s\n")
        self.gateway.terminate()
        self.gateway.start()
        wait_until(lambda: self.call(self.ready, "GET", "/readyz")[0] == 200, "the gateway is ready again")
        self.clients = []

    def steady(self, *arguments, **options):
        clients = SteadyClients(*arguments, **options)
        self.addCleanup(clients.stop)
        self.clients.append(clients)
        return clients

    def check_ends(self, process, limit_s):
        """Stops a process, which must end by itself in time, and checks that no client lost an answer."""
        begin = time.monotonic()
        process.signal(signal.SIGTERM)
        self.assertEqual(process.child.wait(CLIENT_TIMEOUT_S), 0)
        took = time.monotonic() - begin
        time.sleep(2 * UNREAD_S)
        print(f"{process.name} ended after {took:.2f} s, {sum(len(c.outcomes) for c in self.clients)} answers")
        self.assertEqual([lost for clients in self.clients for lost in clients.lost], [])
        self.assertLess(took, limit_s)
        self.assertNotIn("drain_cut_off", process.log_text())


class GatewayTest(DrainingCase):
    def read(self):
        return "GET", "/jobs/0000000000000001", None, {"Host": "host.example"}

    # Guards against a drain that ends only at a moment without requests, which never comes under steady load.
    def test_ends_under_steady_reads(self):
        for worker in self.workers:
            worker.run_s = 60
        self.submit(1, [STEP])
        self.wait_state(1, "running")
        reads = self.steady([self.caller], self.read, 40)
        slow_reads = self.steady([self.caller], self.read, 40, pause_s=0.05)
        health = self.steady([self.ready], lambda: ("GET", "/readyz", None, {}), 4)
        for clients in (reads, slow_reads, health):
            clients.wait_for_answers(50)
        self.check_ends(self.gateway, self.drain_limit_s / 2)

    def test_submits_and_cancels_get_true_answers(self):
        keys = itertools.count(1000)
        body = json.dumps({"task_spec": "work", "steps": [STEP]})

        def submit():
            return "POST", f"/jobs/{next(keys):016x}", body, {"Host": "host.example"}

        def cancel():
            return "DELETE", f"/jobs/{max(1000, next(keys) - 100):016x}", None, {"Host": "host.example"}

        submits = self.steady([self.caller], submit, 20)
        self.steady([self.caller], cancel, 5)
        submits.wait_for_answers(100)
        self.check_ends(self.gateway, self.drain_limit_s / 2)
        for clients in self.clients:
            clients.stop()
        self.gateway.start()
        wait_until(lambda: self.call(self.ready, "GET", "/readyz")[0] == 200, "the gateway is ready again")
        for (_, path), status in submits.outcomes:
            known = self.call(self.caller, "GET", path, None, {"Host": "host.example"})[0] == 200
            if status in (200, 503):
                self.assertEqual(known, status == 200, f"{path} was answered {status}")
            else:
                self.assertEqual(status, 504)

    # Guards against requests that are cut off at the drain limit because no manager answers them.
    def test_requests_without_a_manager_are_answered_before_the_end(self):
        for manager in self.managers:
            manager.pause()
        body = json.dumps({"task_spec": "work", "steps": [STEP]})
        headers = {"Host": "host.example", "Yuccawheel-Deadline-Ms": "60000"}
        submits = self.steady([self.caller], lambda: ("POST", "/jobs/0000000000000002", body, headers), 10)
        time.sleep(0.5)
        self.check_ends(self.gateway, self.drain_limit_s)
        self.assertIn(504, {status for _, status in submits.outcomes})
        for manager in self.managers:
            manager.resume()


class ManagerTest(DrainingCase):
    def setUp(self):
        super().setUp()
        self.numbers = itertools.count(1)
        self.reported = CalledWorker(self.workers[0].address[0], [], "i-steady")
        self.addCleanup(self.reported.close)

    def report(self):
        number = next(self.numbers)
        body = {"service": "service", "address": "%s:%d" % self.reported.address, "zone": "zone", "version": "v1",
                "slots": 8, "state": "ready", "cold_remaining_ms": 0, "labels": ["kind", "rack"],
                "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0}, "clock_ms": number, "seq": number,
                "born": self.reported.born}
        return "POST", "/instances/i-steady/heartbeat", json.dumps(body), {"Content-Type": "application/json"}

    def test_each_manager_in_turn_ends_under_steady_reports_and_submits(self):
        keys = itertools.count(1000)
        body = json.dumps({"task_spec": "work", "steps": [dict(STEP, estimated_ms=300)]})
        self.steady(self.control, self.report, 30)
        self.steady(self.control, lambda: ("GET", "/config/get", None, {}), 10)
        submits = self.steady([self.caller], lambda: ("POST", f"/jobs/{next(keys):016x}", body,
                                                      {"Host": "host.example"}), 10)
        for manager in [self.leader()] + self.managers:
            submits.wait_for_answers(30)
            self.check_ends(manager, 3.0)
            manager.start()
            self.leader()
            submits.wait_for_answers(30)

    # Guards against configurations that are cut off because too few managers are connected to commit them.
    def test_leader_without_followers_answers_before_its_end(self):
        leader = self.leader()
        address = self.control[self.managers.index(leader)]
        for manager in self.managers:
            if manager is not leader:
                manager.pause()
        versions = itertools.count(100)

        def put():
            body = json.dumps({"version": next(versions), "routes": [], "services": [{"name": "service"}],
                               "limits": {}})
            return "POST", "/config/put", body, {"Content-Type": "application/json"}

        puts = self.steady([address], put, 5)
        time.sleep(0.3)
        self.check_ends(leader, 4.0)
        self.assertNotIn(200, {status for _, status in puts.outcomes})
        for manager in self.managers:
            manager.resume()


class EntryTest(unittest.TestCase):
    """An entry, a scheduler and a store of a zone, with an upstream that needs 50 ms for a request."""

    SERVICE = "loan-check"

    def setUp(self):
        self.cluster = Cluster({"a": 2}, stores=["a"], settings={"drain_delay": "1s", "drain_limit": "5s"})
        self.addCleanup(self.cluster.stop)
        self.cluster.start()
        self.upstream = CountingUpstream(self.cluster, "a", self.SERVICE, delay=0.05)
        self.addCleanup(self.upstream.close)
        wait_served(self.cluster, self.SERVICE)
        self.cluster.workers("a", 2)
        self.clients = []

    steady = DrainingCase.steady
    check_ends = DrainingCase.check_ends

    def test_entry_scheduler_and_store_end_under_steady_requests(self):
        vm = self.cluster.vms[0]
        operator = {"Authorization": f"Bearer {TOKEN}"}
        numbers = itertools.count(1)

        def call():
            return "POST", f"/serve/{self.SERVICE}/x", b"body", {"Yw-Key": f"{int(time.time())}-{next(numbers)}"}

        calls = self.steady([vm.address["caller"]], call, 20)
        operators = self.steady([vm.address["operator"]], lambda: ("GET", "/v1/workers", None, operator), 5)
        health = [vm.address[kind] for kind in ("entry_health", "scheduler_health", "store_health")]
        self.steady(health, lambda: ("GET", "/readyz", None, {}), 9)
        announcement = json.dumps(self.upstream.announcement)
        self.steady([vm.address["upstream"]], lambda: ("POST", "/v1/upstreams", announcement, {}), 5)
        calls.wait_for_answers(50)
        operators.wait_for_answers(5)
        self.assertGreater(sum(status == 200 for _, status in calls.outcomes), 0)
        self.check_ends(vm.entry, 4.0)
        self.check_ends(vm.scheduler, 4.0)
        self.check_ends(vm.store, 4.0)


if __name__ == "__main__":
    unittest.main()
