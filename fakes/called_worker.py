"""Stand-ins for called workers, which take orders and send heartbeats, and for the eligibility service. They run as
threads of the test process, in real time."""

import http.client
import json
import random
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

RUN_CHECK_INTERVAL_S = 0.01
MAX_LEASE_MS = 10_000
REPORT_INTERVAL_S = 0.3
LEAVE_RETRY_S = 0.2


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
        status, answer = self.server.answer(self.path, body, self.headers)
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

    def _answer(self, path, body, headers):
        self.queries += 1
        return 200, {"good": [[worker, "ticket"] for worker in body["workers"]], "valid_ms": 2000}

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class CalledWorker:
    """One worker. `starts` lists the started runs as (task, run).

    `observer` is told what happens, with the lock held: `started(worker, task)` before a run is added,
    `ended(worker, number, task, outcome)`, `acknowledged(worker, number)`, `lapsed(worker)` when its lease has expired,
    and `restarted(worker)`. Workers with a common observer need a common `lock`. `link` is the address that the worker
    reports, if orders go through a relay. A run that is told to stop goes on for `stop_s`; the clock runs at
    `clock_rate`.
    """

    def __init__(self, ip, managers, name, run_s=0.3, cpu=16000, observer=None, lock=None, link=None, stop_s=0.0,
                 clock_rate=1.0):
        self.name = name
        self.observer = observer
        self.silent = False  # Sends no reports
        self.down_until = 0.0
        self.lease_until = 0
        self.link = link
        self.managers = managers
        self.run_s = run_s
        self.cpu = cpu
        self.stop_s = stop_s
        self.clock_rate = clock_rate
        self.outcome = "done"  # Outcome of runs that end by themselves
        self.refused_share = 0.0  # Of orders: refuses them, and does nothing
        self.unanswered_share = 0.0  # Of orders: carries them out and closes the connection without an answer
        self.random = random.Random(name)
        self.paused = threading.Event()  # Cleared while the process stands still
        self.paused.set()
        self.late_s = 0.0  # Orders get no answer and are carried out after this time
        self.report_delay_s = 0.0  # Reports are sent after this time, also those of earlier incarnations
        self.draining = False
        self.drain_acknowledged = threading.Event()
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.lock = lock or threading.RLock()
        self.runs = {}
        self.stopping = set()  # Tasks of runs that have been told to stop
        self.ended = []
        self.next_end = 1
        self.highest_ended_run = {}
        self.fence = None  # Highest one seen; none before the first order
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
        return int((time.monotonic() - self.started_at) * 1000 * self.clock_rate)

    def close(self):
        if self.closed:
            return
        self.closed = True
        self.server.shutdown()
        self.server.server_close()

    def pause(self, pause_s):
        """Answers and ends nothing for this time, as a process that is stopped. Its clock goes on."""
        self.paused.clear()
        time.sleep(pause_s)
        self.paused.set()

    def crash(self, down_s):
        """Ends all runs without a trace. The next incarnation answers after this time."""
        with self.lock:
            self.born = int(time.time() * 1000)
            self.started_at = time.monotonic()
            self.down_until = time.monotonic() + down_s
            self.runs, self.ended, self.highest_ended_run = {}, [], {}
            self.stopping.clear()
            self.fence = None
            self.next_end = 1
            self.sequence = self.lease_until = 0
            self._tell("restarted")

    def leave(self, drain_s, max_wait_s, lose_acknowledgement=False):
        """Drains, and goes on until its last report is acknowledged, or for `max_wait_s`, also if the acknowledgement
        gets lost. Then all runs end with it."""
        self.draining = True
        self.drain_acknowledged.wait(max_wait_s)
        time.sleep(drain_s)
        end = time.monotonic() + max_wait_s
        while time.monotonic() < end:
            if not self.silent and self.send_report("leave", {"born": self.born}) and not lose_acknowledgement:
                break
            time.sleep(LEAVE_RETRY_S)
        with self.lock:
            self.end_due_runs()
            self._end_with_process()
        self.close()

    def _end_with_process(self):
        self.down_until = float("inf")
        self.runs = {}

    def _tell(self, event, *arguments):
        if self.observer:
            getattr(self.observer, event)(self, *arguments)

    def send_report(self, action, body):
        """Sends a report to the managers in turn. Returns whether one has acknowledged it."""
        for manager in self.managers:
            connection = http.client.HTTPConnection(*manager, timeout=1)
            try:
                connection.request("POST", f"/instances/{self.name}/{action}", json.dumps(body))
                if connection.getresponse().status == 200:
                    return True
            except (OSError, http.client.HTTPException):
                continue
            finally:
                connection.close()
        return False

    def _report(self):
        while not self.closed:
            self.paused.wait()
            if self.silent or time.monotonic() < self.down_until:
                time.sleep(RUN_CHECK_INTERVAL_S)
                continue
            self.sequence += 1
            draining = self.draining
            body = {
                "service": "service",
                "address": "%s:%d" % (self.link or self.address),
                "zone": "zone",
                "version": "v1",
                "slots": 8,
                "state": "draining" if draining else "ready",
                "cold_remaining_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0},
                "labels": ["kind", "rack"],
                "clock_ms": self.clock(),
                "seq": self.sequence,
                "born": self.born,
            }
            if self.report_delay_s > 0:
                threading.Timer(self.report_delay_s, self.send_report, ("heartbeat", body)).start()
            elif self.send_report("heartbeat", body) and draining:
                self.drain_acknowledged.set()
            time.sleep(REPORT_INTERVAL_S)

    def end_due_runs(self):
        """Ends the runs whose time is over, and all if the lease has expired."""
        now = time.monotonic()
        lapsed = self.lease_until and self.clock() > self.lease_until
        for task, (run, ends_at) in list(self.runs.items()):
            if task in self.runs and (lapsed or now >= ends_at):  # The end of one run may end others.
                outcome = "stopped" if task in self.stopping else self.outcome
                self._end(task, run, "lapsed" if lapsed else outcome)
        if lapsed:
            self.lease_until = 0
            self._tell("lapsed")

    def _extend_lease(self, body):
        until = min(body.get("until_ms", 0), self.clock() + MAX_LEASE_MS)
        self.lease_until = max(until, self.lease_until)

    def _end(self, task, run, outcome):
        del self.runs[task]
        self.stopping.discard(task)
        self.highest_ended_run[task] = max(run, self.highest_ended_run.get(task, 0))
        self.ended.append([self.next_end, task, run, outcome, ""])
        self._tell("ended", self.next_end, task, outcome)
        self.next_end += 1

    def _answer(self, path, body, headers):
        born = self.born
        self.paused.wait()
        if self.closed or born != self.born or time.monotonic() < self.down_until:
            raise ConnectionAbortedError("the worker is closed")
        if headers.get("Yuccawheel-Expect-Instance", self.name) != self.name:
            return 421, {}
        if self.random.random() < self.refused_share:
            return 503, {}
        if self.late_s > 0:
            threading.Thread(target=self._carry_out_late, args=(path, body), daemon=True).start()
            raise ConnectionAbortedError("the order is not answered")
        answer = self._poll(body) if path == "/hold" else self.carry_out(path, body)
        if self.random.random() < self.unanswered_share:
            raise ConnectionAbortedError("the answer is lost")
        return answer

    def _carry_out_late(self, path, body):
        """Carries out an order later, also in the next incarnation if that has the same address."""
        link = self.link
        time.sleep(self.late_s)
        self.paused.wait()
        if not self.closed and link == self.link and time.monotonic() >= self.down_until:
            with self.lock:
                # Kinder than real workers, which may get a late order before any other one.
                if self.fence is None:
                    return
                if path == "/hold":
                    self._take_poll(body)
                else:
                    self.carry_out(path, body)

    def _admit(self, body):
        """Returns whether an order's fencing token is not lower than an earlier one, and remembers it."""
        fence = body.get("fencing_token", 0)
        if self.fence is not None and fence < self.fence:
            return False
        self.fence = fence
        return True

    def carry_out(self, path, body):
        """Carries out a start or stop order. Returns the status and the body of the answer."""
        with self.lock:
            self.end_due_runs()
            answer = {"clock_ms": self.clock()}
            if not self._admit(body):
                return 409, dict(answer, reason="fence")
            self._extend_lease(body)
            task, run = body["task"], body["run"]
            if path == "/run-stop":
                if task in self.runs and self.runs[task][0] <= run and task not in self.stopping:
                    self._stop(task)
                self.highest_ended_run[task] = max(run, self.highest_ended_run.get(task, 0))
                return 200, answer
            if self.runs.get(task, (0,))[0] == run:
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

    def _stop(self, task):
        run, ends_at = self.runs[task]
        if self.stop_s > 0:
            self.stopping.add(task)
            self.runs[task] = (run, min(ends_at, time.monotonic() + self.stop_s))
        else:
            self._end(task, run, "stopped")

    def run_time(self, order):
        return self.run_s

    def _take_poll(self, body):
        """Renews the lease and forgets the ends that are acknowledged. Returns whether the fence allows it."""
        self.end_due_runs()
        if not self._admit(body):
            return False
        self._extend_lease(body)
        self._tell("acknowledged", body["last_seen"])
        self.ended = [row for row in self.ended if row[0] > body["last_seen"]]
        return True

    def _poll(self, body):
        end = time.monotonic() + body.get("wait_ms", 0) / 1000
        born = self.born
        with self.lock:
            if not self._take_poll(body):
                return 409, {"clock_ms": self.clock(), "reason": "fence"}
        while True:
            self.paused.wait()
            if self.closed or born != self.born or time.monotonic() < self.down_until:
                raise ConnectionAbortedError("the worker is closed")
            with self.lock:
                self.end_due_runs()
                if self.ended or time.monotonic() >= end:
                    running = [[task, run, "", 100] for task, (run, _) in self.runs.items()]
                    return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "ended": self.ended}
            time.sleep(RUN_CHECK_INTERVAL_S)
