"""Request load for process tests: an upstream that counts runs, and callers behind a load balancer."""

import collections
import http.client
import http.server
import json
import socket
import sys
import threading
import time

from cluster import free_addresses, request, text, wait_until

HEARTBEAT_S = 0.2
BALANCER_INTERVAL_S = 0.1
TCP_ESTABLISHED = 1


class CountingUpstream:
    """Upstream of one zone that answers each request with its key. Counts runs by key and the peaks of concurrent runs
    and open connections.

    `delay` is the run time of a request in seconds, or a function that returns it for a key."""

    def __init__(self, cluster, zone, service, delay=0.0, executor=None, slots=8, connections=64):
        self.runs = collections.Counter()
        self.peak_running = 0
        self.peak_connections = 0
        self.last_run = 0.0  # Monotonic time at which the last request arrived
        self._running = 0
        self._silent = False
        self._last_heartbeat = 0.0
        self._held = {}  # Key -> event that ends the hold of its runs
        self._sockets = {}  # Open connection -> whether a request runs on it
        self._delay = delay if callable(delay) else lambda key: delay
        self._entries = [vm.address["upstream"] for vm in cluster.vms if vm.zone == zone]
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        address = free_addresses(cluster.fake_ip, 1)[0]
        self.announcement = {
            "executor": executor or f"e-{zone}", "incarnation": 1, "address": text(address), "slots": slots,
            "connections": connections, "services": [service], "state": "serving",
        }
        self._server = CountingServer(address, self)
        for target in (self._server.serve_forever, self._announce):
            threading.Thread(target=target, daemon=True).start()

    def close(self):
        self._stopped.set()
        self._server.shutdown()
        self._server.server_close()

    def connection_opened(self, connection):
        """Updates the peak of connections. A connection counts until its entry has closed it and its request ended."""
        with self._lock:
            self._sockets[connection] = False
            held = sum(running or is_established(known) for known, running in self._sockets.items())
            self.peak_connections = max(self.peak_connections, held)

    def connection_closed(self, connection):
        with self._lock:
            del self._sockets[connection]

    def leave(self):
        """Announces from now on that the upstream is leaving. Returns the time of the last heartbeat before."""
        self.announcement["state"] = "leaving"
        return self._last_heartbeat

    def stop_heartbeats(self):
        """Stops the heartbeats. Returns the time of the last one."""
        self._silent = True
        return self._last_heartbeat

    def hold(self, key):
        """Makes runs of a key last until `release`."""
        self._held[key] = threading.Event()

    def release(self, key):
        self._held[key].set()

    def run(self, connection, key):
        """Runs one request. The run ends before the answer is sent, since the entry may send the next request as soon
        as it has the answer."""
        with self._lock:
            self.runs[key] += 1
            self.last_run = time.monotonic()
            self._running += 1
            self.peak_running = max(self.peak_running, self._running)
            self._sockets[connection] = True
        if key in self._held:
            self._held[key].wait()
        time.sleep(self._delay(key))
        with self._lock:
            self._running -= 1
            self._sockets[connection] = False

    def _announce(self):
        while not self._stopped.wait(HEARTBEAT_S):
            if self._silent:
                continue
            body = json.dumps(self.announcement)
            self._last_heartbeat = time.monotonic()
            for entry in self._entries:
                try:
                    request(entry, "POST", "/v1/upstreams", body, {"Content-Type": "application/json"}, timeout=2)
                except (OSError, http.client.HTTPException):
                    continue


class CountingServer(http.server.ThreadingHTTPServer):
    """HTTP server that reports the opening and closing of connections to its upstream."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, address, upstream):
        self.upstream = upstream
        super().__init__(address, CountingHandler)

    def process_request(self, connection, client):
        self.upstream.connection_opened(connection)
        super().process_request(connection, client)

    def shutdown_request(self, connection):
        self.upstream.connection_closed(connection)
        super().shutdown_request(connection)

    def handle_error(self, connection, client):
        """Ignores connection errors: killed entries may drop their connections at any time."""
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(connection, client)


class CountingHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def do_POST(self):
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        key = self.headers["Yw-Key"]
        self.server.upstream.run(self.connection, key)
        self.send_response(200)
        self.send_header("Content-Length", str(len(key)))
        self.end_headers()
        self.wfile.write(key.encode())

    def log_message(self, *arguments):
        pass


def is_established(connection):
    """Returns whether neither side has closed a connection."""
    return connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_ESTABLISHED


class Callers:
    """Threads that send non-repeatable requests with distinct keys through the entries that are ready.

    The entry that issues a key and the one that gets the request differ for part of the requests. A request without an
    answer is resent at once through another entry."""

    def __init__(self, cluster, service, threads=8, vms=None):
        self._cluster = cluster
        self._vms = vms or cluster.vms
        self._service = service
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._ready = []
        self.outcomes = {}  # Key -> (status, verdict), or ("none", "") without a complete answer
        self.resent = {}  # Key -> outcome of the resend
        self.served = collections.Counter()  # Requests answered with (200, "ran") by VM
        self._refresh_ready()
        self._threads = [threading.Thread(target=self._refresh_loop)]
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

    def wait_for_outcomes(self, more):
        """Waits until the callers have got `more` further outcomes."""
        goal = self.count() + more
        wait_until(lambda: self.count() >= goal, f"{more} more requests have an outcome")

    def _refresh_ready(self):
        self._ready = [vm for vm in self._vms if self._cluster.is_ready(vm, "entry")]

    def _refresh_loop(self):
        while not self._stopped.wait(BALANCER_INTERVAL_S):
            self._refresh_ready()

    def _send(self, thread_number):
        number = 0
        while not self._stopped.is_set():
            ready = self._ready
            if not ready:
                time.sleep(BALANCER_INTERVAL_S)
                continue
            number += 1
            vm = ready[number % len(ready)]
            key = issue_key(ready[(number + number // len(ready) % 2) % len(ready)])
            outcome = send(self._cluster, self._service, key, vm)
            resent = self._resend(key, vm) if outcome[0] == "none" else None
            key = key or f"unissued-{thread_number}-{number}"
            with self._lock:
                if resent:
                    self.resent[key] = resent
                self.outcomes[key] = outcome
                self.served[vm.name] += outcome == (200, "ran")


    def _resend(self, key, first):
        others = [vm for vm in self._ready if vm is not first]
        return send(self._cluster, self._service, key, others[0]) if others else None


def issue_key(vm):
    """Returns a new key issued by an entry, whose home is the entry's zone. Returns None if the entry issues none."""
    try:
        status, _, answer = request(vm.address["caller"], "POST", "/v1/keys")
    except (OSError, http.client.HTTPException):
        return None
    return json.loads(answer)["key"] if status == 200 else None


def wait_served(cluster, service):
    """Waits until every entry serves a request with a key that it issued."""
    for vm in cluster.vms:
        wait_until(lambda vm=vm: send(cluster, service, issue_key(vm), vm)[0] == 200, "every entry serves a request")


def send(cluster, service, key, vm):
    """Sends one non-repeatable request and returns its outcome, (status, verdict)."""
    if key is None:
        return "no key", ""
    try:
        status, headers, answer = cluster.call(service, "x", "POST", b"body", {"Yw-Key": key}, vm)
    except (OSError, http.client.HTTPException):
        return "none", ""
    if status == 200 and answer != key.encode():
        return "wrong answer", headers["Yw-Verdict"]
    return status, headers["Yw-Verdict"]
