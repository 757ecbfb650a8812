"""Callers' load for whole-process tests: an upstream that counts what ran, and callers behind a balancer."""

import collections
import http.client
import http.server
import json
import threading
import time

from cluster import free_addresses, request, text

HEARTBEAT_S = 0.2
BALANCER_INTERVAL_S = 0.1


class CountingUpstream:
    """Upstream of one zone that answers `/REST` with the key it got, after `delay` seconds, and counts runs by key."""

    def __init__(self, cluster, zone, service, delay=0.0):
        self.runs = collections.Counter()
        self._service = service
        self._delay = delay
        self._entries = [vm.address["upstream"] for vm in cluster.vms if vm.zone == zone]
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        address = free_addresses(cluster.fake_ip, 1)[0]
        self._announcement = {
            "executor": f"e-{zone}", "incarnation": 1, "address": text(address), "slots": 8, "connections": 64,
            "services": [service], "state": "serving",
        }
        self._server = http.server.ThreadingHTTPServer(address, self._handler_class())
        self._server.daemon_threads = True
        for target in (self._server.serve_forever, self._announce):
            threading.Thread(target=target, daemon=True).start()

    def close(self):
        self._stopped.set()
        self._server.shutdown()
        self._server.server_close()

    def _handler_class(self):
        upstream = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_POST(self):
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                key = self.headers["Yw-Key"]
                with upstream._lock:
                    upstream.runs[key] += 1
                time.sleep(upstream._delay)
                self.send_response(200)
                self.send_header("Content-Length", str(len(key)))
                self.end_headers()
                self.wfile.write(key.encode())

            def log_message(self, *arguments):
                pass

        return Handler

    def _announce(self):
        body = json.dumps(self._announcement)
        while not self._stopped.wait(HEARTBEAT_S):
            for entry in self._entries:
                try:
                    request(entry, "POST", "/v1/upstreams", body, {"Content-Type": "application/json"}, timeout=2)
                except (OSError, http.client.HTTPException):
                    continue


class Callers:
    """Threads that send non-repeatable requests, each with a key of its own, through the entries that are ready."""

    def __init__(self, cluster, service, threads=8):
        self._cluster = cluster
        self._service = service
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._ready = []
        self.outcomes = {}  # key -> (status, verdict), or ("none", "") without a whole answer
        self._look()
        self._threads = [threading.Thread(target=self._balance)]
        self._threads += [threading.Thread(target=self._send, args=(number,)) for number in range(threads)]
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def count(self):
        with self._lock:
            return len(self.outcomes)

    def _look(self):
        self._ready = [vm for vm in self._cluster.vms if self._cluster.is_ready(vm, "entry")]

    def _balance(self):
        while not self._stopped.wait(BALANCER_INTERVAL_S):
            self._look()

    def _send(self, thread_number):
        number = 0
        while not self._stopped.is_set():
            ready = self._ready
            if not ready:
                time.sleep(BALANCER_INTERVAL_S)
                continue
            number += 1
            vm = ready[number % len(ready)]
            key = issue_key(vm)
            outcome = send(self._cluster, self._service, key, vm)
            key = key or f"unissued-{thread_number}-{number}"
            with self._lock:
                self.outcomes[key] = outcome


def issue_key(vm):
    """Returns a new key whose home is the entry's zone, or nothing if the entry can't be reached or leaves."""
    try:
        status, _, answer = request(vm.address["caller"], "POST", "/v1/keys")
    except (OSError, http.client.HTTPException):
        return None
    return json.loads(answer)["key"] if status == 200 else None


def send(cluster, service, key, vm):
    """Sends one non-repeatable request. Returns (status, verdict)."""
    if key is None:
        return "no key", ""
    try:
        status, headers, answer = cluster.call(service, "x", "POST", b"body", {"Yw-Key": key}, vm)
    except (OSError, http.client.HTTPException):
        return "none", ""
    if status == 200 and answer != key.encode():
        return "wrong answer", headers["Yw-Verdict"]
    return status, headers["Yw-Verdict"]
