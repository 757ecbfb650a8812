"""Stand-ins for executors and for the advice service, as the platform's pages describe them."""

import http.client
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from deployment import SERVICE

MAX_HOLD_MS = 10_000
MAX_WAIT_MS = 2_000
ENDS_AT_A_TIME = 500  # "The others are returned again (500 at a time)"
HEARTBEAT_S = 1.5
STOP_S = 0.05


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass  # Answers to processes that were killed can't be written.


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def do_POST(self):
        body = json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))) or "{}")
        outcome = self.server.answer(self.path, body, self.headers)
        if outcome is None:  # No answer: the channel stays open until the caller gives up.
            time.sleep(5)
            self.close_connection = True
            return
        data = json.dumps(outcome[1]).encode()
        self.send_response(outcome[0])
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def setup(self):
        super().setup()
        self.server.channels.add(self.connection)

    def finish(self):
        self.server.channels.discard(self.connection)
        try:
            super().finish()
        except OSError:
            pass

    def log_message(self, *arguments):
        pass


def _listen(address):
    server = _Server(address, _Handler)
    server.channels = set()
    return server


def _serve(server):
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()


class AdviceService:
    """Every executor may run every step. `steps` lists the steps that were asked about."""

    def __init__(self, ip, record):
        self.steps = []
        self._record = record
        self._server = _listen((ip, 0))
        self._server.answer = self._answer
        self.address = self._server.server_address
        _serve(self._server)

    def _answer(self, path, body, headers):
        self.steps.append(body["step"])
        self._record("advice", step=body["step"], workers=len(body["workers"]))
        return 200, {"good": [[worker, f"ticket-{worker}"] for worker in body["workers"]], "valid_ms": 2000}

    def close(self):
        self._server.shutdown()
        self._server.server_close()


class Executor:
    """One machine that runs tasks. Each of its lives has its own counts, clock and `born`.

    `run_s(task, spec)` says how long a task works; None for ever. `ignore_starts`, if set, is asked about each start
    with (task, run); a start for which it returns a time is left unanswered and carried out that many seconds later."""

    def __init__(self, deployment, name, cpu=64_000, mem_mb=262_144, labels=("a", "r1-1"), run_s=lambda task: 1.0):
        self.deployment, self.record = deployment, deployment.record
        self.base_name, self.cpu, self.mem_mb, self.labels, self.run_s = name, cpu, mem_mb, list(labels), run_s
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self.starts = []  # (time, task, run, life)
        self.done = {}  # Task -> [(life, number of the end, time)]
        self.noted = {}  # Life -> highest last_seen
        self.lives = 0
        self.ignore_starts = None
        self.address = None
        self.alive = False
        self.checked_in_life = 0  # Latest life of which a check-in was taken
        self._closed = False
        self._start_life(new_id=True)
        threading.Thread(target=self._report, daemon=True).start()
        threading.Thread(target=self._work, daemon=True).start()

    def _start_life(self, new_id):
        with self.lock:
            self.lives += 1
            if new_id:
                self.id = f"i-{self.base_name}-{self.lives}"
            self.born = int(time.time() * 1000)
            self._began = time.monotonic()
            self.seq, self.fence, self.lease_until, self.next_end = 0, 0, 0, 1
            self.runs, self.ended, self.highest = {}, [], {}
            self.server = _listen(self.address or (self.deployment.stand_in_ip, 0))
            self.address = self.server.server_address
            life = self.lives
            self.server.answer = lambda path, body, headers: self._answer(life, path, body, headers)
            _serve(self.server)
            self.alive = True
        self.record("executor_life", executor=self.id, life=self.lives, address=self.address[1])

    def crash(self):
        """Ends the process: its port refuses, its channels are reset, all that ran is gone."""
        with self.lock:
            if not self.alive:
                return
            self.alive = False
            self.record("executor_crashed", executor=self.id, life=self.lives, runs=" ".join(sorted(self.runs)) or "-")
            self.runs = {}
            server = self.server
            self.changed.notify_all()
        threading.Thread(target=server.shutdown, daemon=True).start()
        server.socket.close()
        for channel in list(server.channels):
            try:
                channel.shutdown(2)
            except OSError:
                pass

    def restart(self, new_id=True, new_address=False):
        if new_address:
            self.address = None
        self._start_life(new_id)

    def close(self):
        self._closed = True
        self.crash()

    def clock(self):
        return int((time.monotonic() - self._began) * 1000)

    def report_body(self):
        return {"service": SERVICE, "address": "%s:%d" % self.address, "zone": "zone-1", "version": "v1", "slots": 8,
                "state": "ready", "cold_remaining_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0}, "labels": self.labels,
                "clock_ms": self.clock(), "seq": self.seq, "born": self.born}

    def check_in(self):
        """Sends one check-in, to the next manager if one gives no 2xx within a second. Returns whether it was taken."""
        with self.lock:
            if not self.alive:
                return False
            self.seq += 1
            life, name, body = self.lives, self.id, json.dumps(self.report_body())
        for address in self.deployment.control:
            try:
                connection = http.client.HTTPConnection(*address, timeout=1)
                connection.request("POST", f"/instances/{name}/heartbeat", body, {"Content-Type": "application/json"})
                status = connection.getresponse().status
            except (OSError, http.client.HTTPException):
                status = 0
            finally:
                connection.close()
            self.record("check_in", executor=name, life=life, to=address[0], status=status)
            if status == 200:
                self.checked_in_life = life
                return True
        return False

    def _report(self):
        next_at = 0.0
        life = 0
        while not self._closed:
            if self.alive and (life != self.lives or time.monotonic() >= next_at):
                life = self.lives
                next_at = time.monotonic() + HEARTBEAT_S
                self.check_in()
            time.sleep(0.02)

    def _work(self):
        while not self._closed:
            with self.lock:
                now = time.monotonic()
                lapsed = self.alive and self.runs and self.clock() > self.lease_until
                for task, (run, ends_at) in list(self.runs.items()):
                    if lapsed or (ends_at is not None and now >= ends_at):
                        self._end(task, run, "lapsed" if lapsed else "done")
            time.sleep(0.01)

    def _end(self, task, run, how):
        del self.runs[task]
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.ended.append([self.next_end, task, run, how, ""])
        if how == "done":
            self.done.setdefault(task, []).append((self.lives, self.next_end, time.monotonic()))
        self.record("end", executor=self.id, number=self.next_end, task=task, run=run, how=how)
        self.next_end += 1
        self.changed.notify_all()

    def _answer(self, life, path, body, headers):
        if life != self.lives or not self.alive:
            return None
        if headers.get("Yuccawheel-Expect-Instance") != self.id:
            return 421, {"clock_ms": self.clock()}
        with self.lock:
            fenced = body.get("fencing_token", 0) < self.fence
            if fenced:
                return 409, {"clock_ms": self.clock(), "reason": "fence"}
            self.fence = body.get("fencing_token", 0)
        if path == "/hold":
            return self._hold(life, body)
        if path == "/run-stop":
            return self._stop(body)
        if path == "/run-start":
            late = self.ignore_starts(body["task"], body["run"]) if self.ignore_starts else None
            if late is None:
                return self._begin(life, body)
            self.record("start_unanswered", executor=self.id, task=body["task"], run=body["run"], late_s=late)
            threading.Timer(late, self._begin, (life, body)).start()
            return None
        return 400, {"clock_ms": self.clock()}

    def _extend(self, body):
        self.lease_until = max(self.lease_until, min(body.get("until_ms", 0), self.clock() + MAX_HOLD_MS))

    def _begin(self, life, body):
        with self.lock:
            if life != self.lives or not self.alive:
                return None
            task, run, reason = body["task"], body["run"], None
            if body.get("fencing_token", 0) < self.fence:
                reason = "fence"
            elif body["until_ms"] <= self.clock():
                reason = "late"
            elif run <= self.highest.get(task, 0):
                reason = "old"
            if reason != "fence" and reason != "late":
                self._extend(body)
            if reason is None and task not in self.runs:
                work_s = self.run_s(task)
                self.runs[task] = (run, None if work_s is None else time.monotonic() + work_s)
                self.starts.append((time.monotonic(), task, run, self.lives))
            self.record("start", executor=self.id, task=task, run=run, answer=reason or "ok")
            return (409, {"clock_ms": self.clock(), "reason": reason}) if reason else (200, {"clock_ms": self.clock()})

    def _stop(self, body):
        with self.lock:
            task, run = body["task"], body["run"]
            running = self.runs.get(task)
            if running and running[0] <= run:
                self._end(task, running[0], "stopped")
            self.highest[task] = max(run, self.highest.get(task, 0))
            self.record("stop", executor=self.id, task=task, run=run, was_running=running is not None)
            return 200, {"clock_ms": self.clock()}

    def _hold(self, life, body):
        until = time.monotonic() + min(body.get("wait_ms", 0), MAX_WAIT_MS) / 1000
        with self.lock:
            self._extend(body)
            seen = body.get("last_seen", 0)
            self.noted[life] = max(seen, self.noted.get(life, 0))
            self.ended = [row for row in self.ended if row[0] > seen]
            while not self.ended and time.monotonic() < until and self.alive and life == self.lives:
                self.changed.wait(until - time.monotonic())
            if not self.alive or life != self.lives:
                return None
            running = [[task, run, "", 100] for task, (run, _) in self.runs.items()]
            listed = self.ended[:ENDS_AT_A_TIME]
            self.record("hold", executor=self.id, last_seen=seen, running=len(running), ended=len(listed),
                        unlisted=len(self.ended) - len(listed))
            return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "ended": listed}
