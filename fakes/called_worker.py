"""Stand-ins for called workers, which take orders and send heartbeats, and for the eligibility service. They run as
threads of the test process, in real time."""

import http.client
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

RUN_CHECK_INTERVAL_S = 0.01
MAX_LEASE_MS = 10_000


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True

    def handle_error(self, request, client_address):
        pass  # Writing an answer to a manager that was killed fails.


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def setup(self):
        super().setup()
        self.incarnation = self.server.incarnation()

    def do_POST(self):
        body = json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))) or "{}")
        if self.incarnation != self.server.incarnation():
            raise ConnectionAbortedError("a connection ends with the process that accepted it")
        status, answer = self.server.answer(self.path, body)
        data = json.dumps(answer).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *arguments):
        pass


class EligibilityService:
    """Answers that every worker is eligible for every step. `queries` counts the queries."""

    def __init__(self, ip):
        self.queries = 0
        self.server = _Server((ip, 0), _Handler)
        self.server.answer = self._answer
        self.server.incarnation = lambda: 0
        self.address = self.server.server_address
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def _answer(self, path, body):
        self.queries += 1
        return 200, {"good": [[worker, "ticket"] for worker in body["workers"]], "valid_ms": 2000}

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class CalledWorker:
    """One worker. `starts` lists the started runs as (task, run).

    `observer` is told what happens, with the lock held: `started(worker, task)` before a run is added,
    `ended(worker, number, task, outcome)`, `acknowledged(worker, number)` and `restarted(worker)`. Workers with a
    common observer need a common `lock`. `link` is the address that the worker reports, if orders go through a relay.
    """

    def __init__(self, ip, managers, name, run_s=0.3, cpu=16000, observer=None, lock=None, link=None):
        self.name = name
        self.observer = observer
        self.silent = False  # Sends no reports
        self.down_until = 0.0
        self.lease_until = 0
        self.link = link
        self.managers = managers
        self.run_s = run_s
        self.cpu = cpu
        self.outcome = "done"  # Outcome of runs that end by themselves
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.lock = lock or threading.RLock()
        self.runs = {}
        self.ended = []
        self.next_end = 1
        self.highest_ended_run = {}
        self.starts = []
        self.sequence = 0
        self.closed = False
        self.server = _Server((ip, 0), _Handler)
        self.server.answer = self._answer
        self.server.incarnation = lambda: self.born
        self.address = self.server.server_address
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self._report, daemon=True).start()

    def clock(self):
        return int((time.monotonic() - self.started_at) * 1000)

    def close(self):
        self.closed = True
        self.server.shutdown()
        self.server.server_close()

    def crash(self, down_s):
        """Ends all runs without a trace. The next incarnation answers after this time."""
        with self.lock:
            self.born = int(time.time() * 1000)
            self.started_at = time.monotonic()
            self.down_until = time.monotonic() + down_s
            self.runs, self.ended, self.highest_ended_run = {}, [], {}
            self.next_end = 1
            self.sequence = self.lease_until = 0
            self._tell("restarted")

    def _tell(self, event, *arguments):
        if self.observer:
            getattr(self.observer, event)(self, *arguments)

    def _report(self):
        while not self.closed:
            if self.silent or time.monotonic() < self.down_until:
                time.sleep(RUN_CHECK_INTERVAL_S)
                continue
            self.sequence += 1
            body = {
                "service": "service",
                "address": "%s:%d" % (self.link or self.address),
                "zone": "zone",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0},
                "labels": ["kind", "rack"],
                "clock_ms": self.clock(),
                "seq": self.sequence,
                "born": self.born,
            }
            for manager in self.managers:
                try:
                    connection = http.client.HTTPConnection(*manager, timeout=1)
                    connection.request("POST", f"/instances/{self.name}/heartbeat", json.dumps(body))
                    if connection.getresponse().status == 200:
                        break
                except (OSError, http.client.HTTPException):
                    continue
                finally:
                    connection.close()
            time.sleep(0.3)

    def end_due_runs(self):
        """Ends the runs whose time is over, and all if the lease has expired."""
        now = time.monotonic()
        lapsed = self.lease_until and self.clock() > self.lease_until
        for task, (run, ends_at) in list(self.runs.items()):
            if task in self.runs and (lapsed or now >= ends_at):  # The end of one run may end others.
                self._end(task, run, "lapsed" if lapsed else self.outcome)

    def _extend_lease(self, body):
        until = min(body.get("until_ms", 0), self.clock() + MAX_LEASE_MS)
        self.lease_until = max(until, self.lease_until)

    def _end(self, task, run, outcome):
        del self.runs[task]
        self.highest_ended_run[task] = max(run, self.highest_ended_run.get(task, 0))
        self.ended.append([self.next_end, task, run, outcome, ""])
        self._tell("ended", self.next_end, task, outcome)
        self.next_end += 1

    def _answer(self, path, body):
        if self.closed or time.monotonic() < self.down_until:
            raise ConnectionAbortedError("the worker is closed")
        if path == "/hold":
            return self._poll(body)
        with self.lock:
            self.end_due_runs()
            self._extend_lease(body)
            answer = {"clock_ms": self.clock()}
            task, run = body["task"], body["run"]
            if path == "/run-stop":
                if task in self.runs and self.runs[task][0] <= run:
                    self._end(task, self.runs[task][0], "stopped")
                self.highest_ended_run[task] = max(run, self.highest_ended_run.get(task, 0))
                return 200, answer
            if run <= self.highest_ended_run.get(task, 0):
                return 409, dict(answer, reason="old")
            if body["until_ms"] <= answer["clock_ms"]:
                return 409, dict(answer, reason="late")
            if task not in self.runs:
                self._tell("started", task)
                self.runs[task] = (run, time.monotonic() + self.run_time(body))
                self.starts.append((task, run))
            return 200, answer

    def run_time(self, order):
        return self.run_s

    def _poll(self, body):
        end = time.monotonic() + body.get("wait_ms", 0) / 1000
        born = self.born
        with self.lock:
            self.end_due_runs()
            self._extend_lease(body)
            self._tell("acknowledged", body["last_seen"])
        while True:
            if self.closed or born != self.born or time.monotonic() < self.down_until:
                raise ConnectionAbortedError("the worker is closed")
            with self.lock:
                self.end_due_runs()
                self.ended = [row for row in self.ended if row[0] > body["last_seen"]]
                if self.ended or time.monotonic() >= end:
                    running = [[task, run, "", 100] for task, (run, _) in self.runs.items()]
                    return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "ended": self.ended}
            time.sleep(RUN_CHECK_INTERVAL_S)
