"""Stand-in for the service at `advice`: names the executors that may run a step, with tickets for a limited time."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    wbufsize = -1
    disable_nagle_algorithm = True

    def do_POST(self):
        body = json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))) or "{}")
        status, answer = self.server.advice.answer(body) if self.path == "/advise" else (404, {})
        data = json.dumps(answer).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()

    def log_message(self, *arguments):
        pass


class Advice:
    """`may_run(step, worker)` says whether an executor may run a step; that doesn't change."""

    def __init__(self, ip, port, may_run, record, decision_ms, period_ms, valid_ms):
        self.may_run = may_run
        self.record = record
        self.decision_s, self.period_s, self.valid_s = decision_ms / 1000, period_ms / 1000, valid_ms / 1000
        self.lock = threading.Lock()
        self.serving = threading.Lock()
        self.tickets = {}  # ticket -> (step, worker, valid until)
        self.calls = 0
        self.server = ThreadingHTTPServer((ip, port), _Handler)
        self.server.daemon_threads = True
        self.server.advice = self
        threading.Thread(target=self.server.serve_forever, kwargs={"poll_interval": 0.02}, daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()

    def answer(self, body):
        step, workers = body["step"], body["workers"]
        with self.serving:
            time.sleep(self.decision_s + self.period_s * len(workers))
        good = []
        with self.lock:
            self.calls += 1
            for worker in workers:
                if self.may_run(step, worker):
                    ticket = "t%d-%s" % (self.calls, worker)
                    self.tickets[ticket] = (step, worker, time.monotonic() + self.valid_s)
                    good.append([worker, ticket])
        self.record("advice for %s on %d executors: %d may run it" % (step, len(workers), len(good)))
        return 200, {"good": good}

    def is_valid(self, ticket, task, worker):
        with self.lock:
            step, named, until = self.tickets.get(ticket, ("", "", 0.0))
        return task.rsplit(".", 1)[0] == step and worker == named and time.monotonic() <= until
