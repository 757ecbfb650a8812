"""Stand-in for an executor: takes orders over HTTP, holds a lease, runs tasks on a timer and sends check-ins."""

import http.client
import json
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

MAX_HOLD_MS = 10_000
CHECK_IN_S = 1.5
MAX_WAIT_MS = 2_000
MAX_LISTED_ENDS = 500
STEP_S = 0.01


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64
    allow_reuse_address = True

    def handle_error(self, request, client_address):
        pass  # The peer has closed the connection, or the executor is down.


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    wbufsize = -1
    disable_nagle_algorithm = True

    def setup(self):
        super().setup()
        self.server.executor.connections.add(self.connection)
        self.life = self.server.executor.life

    def do_POST(self):
        executor = self.server.executor
        body = json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))) or "{}")
        if executor.down or self.life != executor.life:
            raise ConnectionAbortedError("this lifetime is over")
        if self.headers.get("Yuccawheel-Expect-Instance", executor.id) != executor.id:
            status, answer = 421, {}
        else:
            status, answer = executor.handle(self.path, body, self.life)
        if status is None or executor.down or self.life != executor.life:
            raise ConnectionAbortedError("no answer")
        data = json.dumps(answer).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()

    def log_message(self, *arguments):
        pass


class Executor:
    """One machine for tasks. `work_s(task)` gives how long a run of a task works; None means until it is stopped.

    `record(line)` gets each start, end and life. Members of a gang are timed like other tasks: the cases start those of one
    gang at one time, on one executor."""

    def __init__(self, number, ip, managers, work_s, record, capacity=None, labels=None, stop_s=0.2, end_of=None):
        self.id = "i-%08x" % (0x7F3A9000 + number)
        self.ip = ip
        self.managers = managers
        self.work_s = work_s
        self.record = record
        self.capacity = capacity or {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0}
        self.labels = labels or ["a", "r1-%d" % (number // 8)]
        self.stop_s = stop_s
        self.end_of = end_of or (lambda task, run: "done")
        self.lock = threading.RLock()
        self.life = 0
        self.down = True
        self.closed = False
        self.connections = set()
        self.has_ticket = None  # Of a start on a queue with `advice`: called with (ticket, task, executor id)
        self.history = []  # (time, life, event, task, run, detail)
        self.report_to = None
        self.fixed_port = 0
        self.server = None
        threading.Thread(target=self._tick, daemon=True).start()
        self.boot()

    # Life.

    def boot(self):
        with self.lock:
            self.life += 1
            self.born = int(time.time() * 1000)
            self.started = time.monotonic()
            self.runs = {}  # task -> [run, end time or None, stopping]
            self.ended = []
            self.tombstones = {}  # task -> highest run that was stopped or has ended here
            self.next_end = 1
            self.fence = 0
            self.lease_until = 0
            self.sequence = 0
            self.report_to = None
            self.server = _Server((self.ip, self.fixed_port), _Handler)
            self.server.executor = self
            self.fixed_port = self.server.server_address[1]
            self.down = False
        threading.Thread(target=self.server.serve_forever, kwargs={"poll_interval": 0.02}, daemon=True).start()
        threading.Thread(target=self._check_in, args=(self.life,), daemon=True).start()
        self._note("up", "", 0, "born %d" % self.born)

    def crash(self):
        """Ends the process: all runs end without a trace, and all connections close."""
        with self.lock:
            if self.down:
                return
            self.down = True
            for task, (run, _, _) in self.runs.items():
                self._note("killed", task, run, "")
            self._note("down", "", 0, "")
            self.runs = {}
            server, self.server = self.server, None
            connections, self.connections = self.connections, set()
        server.shutdown()
        server.server_close()
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def close(self):
        self.closed = True
        self.crash()

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    def _note(self, event, task, run, detail):
        self.history.append((time.time(), self.life, event, task, run, detail))
        self.record("%s life %d: %s %s run %d %s" % (self.id, self.life, event, task, run, detail))

    # Check-ins.

    def check_in(self):
        """Calls one manager after the other until one acknowledges."""
        with self.lock:
            self.sequence += 1
            body = {"service": "service-1", "address": "%s:%d" % (self.ip, self.fixed_port), "zone": "zone-1",
                    "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                    "capacity": self.capacity, "labels": self.labels, "clock_ms": self.clock(),
                    "seq": self.sequence, "born": self.born}
            life = self.life
        order = ([self.report_to] if self.report_to else []) + self.managers
        for manager in order:
            if self.down or self.life != life:
                return
            connection = http.client.HTTPConnection(*manager, timeout=1)
            try:
                connection.request("POST", "/instances/%s/heartbeat" % self.id, json.dumps(body),
                                   {"Content-Type": "application/json"})
                response = connection.getresponse()
                data = response.read()
                if 200 <= response.status < 300:
                    address = json.loads(data or b"{}").get("heartbeat_addr", "")
                    if address:
                        host, port = address.rsplit(":", 1)
                        self.report_to = (host, int(port))
                    return
            except (OSError, ValueError, http.client.HTTPException):
                pass
            finally:
                connection.close()
            if manager == self.report_to:
                self.report_to = None

    def _check_in(self, life):
        while not self.closed and self.life == life and not self.down:
            self.check_in()
            time.sleep(CHECK_IN_S)

    # Orders.

    def handle(self, path, body, life):
        if path == "/hold":
            return self._hold(body, life)
        return self._order(path, body)

    def _admit(self, body):
        fence = body.get("fencing_token", 0)
        if fence < self.fence:
            return False
        self.fence = fence
        return True

    def _grant(self, body):
        if "until_ms" in body:
            self.lease_until = max(self.lease_until, min(body["until_ms"], self.clock() + MAX_HOLD_MS))

    def _order(self, path, body):
        with self.lock:
            if self.down:
                return None, {}
            self._advance()
            answer = {"clock_ms": self.clock()}
            if not self._admit(body):
                return 409, dict(answer, reason="fence")
            task, run = body["task"], body["run"]
            if path == "/run-stop":
                if task in self.runs and self.runs[task][0] <= run and not self.runs[task][2]:
                    self.runs[task][1] = time.monotonic() + self.stop_s
                    self.runs[task][2] = True
                self.tombstones[task] = max(run, self.tombstones.get(task, 0))
                return 200, answer
            if path != "/run-start":
                return 400, answer
            if task in self.runs and self.runs[task][0] == run:
                self._grant(body)
                return 200, answer
            if body["until_ms"] <= answer["clock_ms"]:
                return 409, dict(answer, reason="late")
            self._grant(body)
            if task in self.runs or run <= self.tombstones.get(task, 0):
                return 409, dict(answer, reason="old")
            if self.has_ticket and not self.has_ticket(body.get("ticket", ""), task, self.id):
                return 409, dict(answer, reason="ticket")
            work = self.work_s(task)
            self.runs[task] = [run, None if work is None else time.monotonic() + work, False]
            self._note("start", task, run, "")
            return 200, answer

    def _take_hold(self, body):
        if self.down:
            return False
        self._advance()
        if not self._admit(body):
            return False
        self._grant(body)
        self.ended = [row for row in self.ended if row[0] > body.get("last_seen", 0)]
        return True

    def _hold(self, body, life):
        until = time.monotonic() + min(body.get("wait_ms", 0), MAX_WAIT_MS) / 1000
        with self.lock:
            if not self._take_hold(body):
                return 409, {"clock_ms": self.clock(), "reason": "fence"}
        while True:
            with self.lock:
                if self.down or self.life != life:
                    return None, {}
                self._advance()
                if self.ended or time.monotonic() >= until:
                    running = [[task, run, "", 100, 0] for task, (run, _, _) in self.runs.items()]
                    return 200, {"clock_ms": self.clock(), "born": self.born, "running": running,
                                 "ended": self.ended[:MAX_LISTED_ENDS]}
            time.sleep(STEP_S)

    def _advance(self):
        now = time.monotonic()
        lapsed = bool(self.runs) and self.clock() > self.lease_until
        for task, (run, end, stopping) in list(self.runs.items()):
            if lapsed:
                self._end(task, run, "lapsed")
            elif end is not None and now >= end:
                self._end(task, run, "stopped" if stopping else self.end_of(task, run))

    def _end(self, task, run, how):
        del self.runs[task]
        self.tombstones[task] = max(run, self.tombstones.get(task, 0))
        self.ended.append([self.next_end, task, run, how, ""])
        self.next_end += 1
        self._note("end", task, run, how)

    def _tick(self):
        while not self.closed:
            with self.lock:
                if not self.down:
                    self._advance()
            time.sleep(STEP_S)
