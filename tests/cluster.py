"""Clusters of separate processes on loopback addresses, for tests and the demo."""

import atexit
import errno
import http.client
import itertools
import json
import os
import pathlib
import random
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "fakes"))
sys.path.insert(0, str(ROOT / "operator"))
from journal import read_journal  # noqa: E402
from relay import Relay  # noqa: E402

BIN = pathlib.Path(os.environ.get("YW_BIN", ROOT / "build" / "bin"))
OVERALL_TIMEOUT_S = 120
POLL_INTERVAL_S = 0.05
TOKEN = "loopback-token-for-tests"
RELAY_HOST = 252  # Last byte of the relays' address
FAKE_HOST = 253  # Last byte of the fakes' address
CLAIM_HOST = 254  # Last byte of the address whose listening socket claims a /24 network
CLAIM_PORT = 20000


def running_elsewhere(workers, worker, task):
    """Returns the called workers other than `worker` on which a task runs. Their common lock must be held."""
    found = []
    for other in workers:
        other.end_due_runs()
        if other is not worker and task in other.runs:
            found.append(other)
    return found


def wait_until(condition, what, timeout=OVERALL_TIMEOUT_S):
    """Waits until `condition()` is true and returns its value."""
    end = time.monotonic() + timeout
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise AssertionError(f"timed out after {timeout} s: {what}")
        time.sleep(POLL_INTERVAL_S)


def request(address, method, path, body=None, headers=None, timeout=30):
    """Sends one request and returns (status, headers, body). Raises OSError or HTTPException if the answer is
    incomplete."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read()
    finally:
        connection.close()


class Process:
    """Child process and its log file."""

    def __init__(self, name, arguments, folder, stdin=subprocess.DEVNULL, max_open_files=None):
        self.name = name
        self.arguments = [str(argument) for argument in arguments]
        self.log = folder / f"{name}.log"
        self._stdin = stdin
        self._max_open_files = max_open_files
        self.start()

    def start(self):
        self._log_start = self.log.stat().st_size if self.log.exists() else 0
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(self.arguments, stdin=self._stdin, stdout=log, stderr=log,
                                          preexec_fn=self._lower_limit if self._max_open_files else None)
        self.pid = self.child.pid

    def _lower_limit(self):
        resource.setrlimit(resource.RLIMIT_NOFILE, (self._max_open_files, self._max_open_files))

    def signal(self, number):
        if self.child.poll() is None:
            os.kill(self.pid, number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.child.wait()

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def terminate(self, timeout=OVERALL_TIMEOUT_S):
        """Sends SIGTERM and returns the exit code, or None if the process had to be killed after `timeout`."""
        self.resume()
        self.signal(signal.SIGTERM)
        try:
            return self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def peak_memory_mb(self):
        """Returns the most resident memory since the start of the process; 0 if it has ended."""
        try:
            status = pathlib.Path(f"/proc/{self.pid}/status").read_text(encoding="utf-8")
        except OSError:
            return 0
        peak = re.search(r"VmHWM:\s*(\d+)", status)
        return int(peak[1]) // 1024 if peak else 0

    def command(self, line):
        """Writes one command line to the standard input of a fake."""
        self.child.stdin.write((line + "\n").encode())
        self.child.stdin.flush()

    def log_text(self):
        """Returns the log since the last start of the process."""
        return self.log.read_bytes()[self._log_start:].decode(errors="replace")


class Vm:
    """Addresses of one entry VM and the daemons on it."""

    def __init__(self, name, zone, ip, has_store):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.has_store = has_store
        kinds = ["caller", "operator", "upstream", "entry", "entry_health", "worker", "scheduler", "scheduler_health"]
        kinds += ["store", "store_health"]
        self.address = dict(zip(kinds, free_addresses(ip, len(kinds))))
        self.entry = self.scheduler = self.store = None


def free_addresses(ip, count):
    """Returns `count` addresses with free ports of `ip`, found by binding to port 0."""
    sockets = [socket.create_server((ip, 0)) for _ in range(count)]
    addresses = [sock.getsockname() for sock in sockets]
    for sock in sockets:
        sock.close()
    return addresses


def claim_network():
    """Claims a random /24 network of 127.0.0.0/8 that no other cluster uses. Returns its first three bytes and the
    socket that holds the claim until it is closed."""
    while True:
        network = f"127.{random.randrange(1, 255)}.{random.randrange(0, 255)}"
        try:
            return network, socket.create_server((f"{network}.{CLAIM_HOST}", CLAIM_PORT))
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise


def text(address):
    """Formats an address as HOST:PORT."""
    return f"{address[0]}:{address[1]}"


class Cluster:
    """Daemons of several availability zones. `zones` maps each zone to its number of VMs; the first VM of each zone in
    `stores` runs a store replica. With `relays`, zones reach each other through relays that `cut` can silence.

    Every cluster claims its own /24 network of 127.0.0.0/8, so that clusters don't share addresses. The ports of the
    daemons are chosen before the daemons start; relays and fakes, whose ports the system chooses, use other addresses
    so that they can't take these ports. `bin_folder` returns the folder of a daemon's binary by the name of the process;
    without it all daemons run from `BIN`."""

    def __init__(self, zones=None, stores=None, relays=False, settings=None, bin_folder=None):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="yuccawheel-"))
        self.zones = zones or {"a": 1, "b": 1}
        self.settings = {"heartbeat": "200ms", "lease": "3s", "drain_delay": "1s", "drain_limit": "20s"}
        self.settings.update(settings or {})
        self.processes = []
        self.vms = []
        self.journal = self.folder / "journal.txt"
        self._bin_folder = bin_folder or (lambda process: BIN)
        self._links = {}
        self._relays = relays
        self._net, self._claim = claim_network()
        self.fake_ip = f"{self._net}.{FAKE_HOST}"
        numbers = itertools.count(1)
        store_zones = list(self.zones) if stores is None else stores
        for zone, count in self.zones.items():
            for index in range(1, count + 1):
                has_store = zone in store_zones and index == 1
                self.vms.append(Vm(f"{zone}{index}", zone, f"{self._net}.{next(numbers)}", has_store))
        # unittest runs no cleanups when the process is interrupted.
        atexit.register(self.stop)
        signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
        token = self.folder / "token"
        token.write_text(TOKEN + "\n")
        token.chmod(0o600)

    def __enter__(self):
        return self

    def __exit__(self, kind, value, traceback):
        self.stop()

    # Settings

    def _seen_from(self, zone, vm, kind):
        """Returns the address at which processes of `zone` reach a listener of `vm`."""
        if not self._relays or zone == vm.zone:
            return text(vm.address[kind])
        key = (zone, vm.name, kind)
        if key not in self._links:
            self._links[key] = Relay((f"{self._net}.{RELAY_HOST}", 0), vm.address[kind])
        return text(self._links[key].address)

    def _peers(self, zone, role):
        lines = []
        for vm in self.vms:
            if role == "store" and not vm.has_store:
                continue
            line = f"  - {{node: {role}-{vm.name}, zone: {vm.zone}, address: '{self._seen_from(zone, vm, role)}'"
            if role == "scheduler":
                line += f", worker_address: '{self._seen_from(zone, vm, 'worker')}'"
            lines.append(line.replace("'", "") + "}")
        return "\n".join(lines)

    def settings_file(self, vm, role):
        lines = ["cluster: loopback", f"zone: {vm.zone}", f"node: {role}-{vm.name}", "listen:"]
        lines += [f"  inner: {text(vm.address[role])}", f"  health: {text(vm.address[role + '_health'])}"]
        if role == "entry":
            lines += [f"  {kind}: {text(vm.address[kind])}" for kind in ("caller", "operator", "upstream")]
            lines.append(f"token_file: {self.folder / 'token'}")
        if role == "scheduler":
            lines.append(f"  worker: {text(vm.address['worker'])}")
        if role == "store":
            lines.append(f"data_dir: {self.data_dir(vm)}")
        for key, value in self.settings.items():
            lines.append(f"{key}: {value}")
        roles = ["store"] if role == "store" else ["store", "entry", "scheduler"]
        for peer_role, key in (("store", "stores"), ("entry", "entries"), ("scheduler", "schedulers")):
            if peer_role in roles:
                lines += [f"{key}:", self._peers(vm.zone, peer_role)]
        path = self.folder / f"{role}-{vm.name}.yaml"
        path.write_text("\n".join(lines) + "\n")
        return path

    def data_dir(self, vm):
        path = self.folder / f"data-{vm.name}"
        path.mkdir(exist_ok=True)
        return path

    # Processes

    def spawn(self, name, arguments, stdin=subprocess.DEVNULL):
        process = Process(name, arguments, self.folder, stdin)
        self.processes.append(process)
        return process

    def start(self):
        """Forms the cluster, starts every daemon and waits until all are ready."""
        first = next(vm for vm in self.vms if vm.has_store)
        program = self._bin_folder(f"store-{first.name}") / "yw-store"
        form = [program, "--settings", self.settings_file(first, "store"), "--form"]
        subprocess.run(form, check=True, stdout=subprocess.DEVNULL)
        for vm in self.vms:
            if vm.has_store:
                vm.store = self.daemon(vm, "store")
        for vm in self.vms:
            vm.scheduler = self.daemon(vm, "scheduler")
            vm.entry = self.daemon(vm, "entry")
        for vm in self.vms:
            for role in ("store", "scheduler", "entry"):
                if role != "store" or vm.has_store:
                    self.wait_ready(vm, role)
        wait_until(self.all_vote, "every store replica is a voter")

    def voters(self):
        """Returns the generation of each voting store replica by node name."""
        status, answer = self.operator("GET", "/v1/store")
        replicas = answer["replicas"] if status == 200 else []
        return {replica["node"]: replica["generation"] for replica in replicas if replica["voter"]}

    def all_vote(self):
        """Returns whether every store replica has caught up and votes."""
        return len(self.voters()) == sum(vm.has_store for vm in self.vms)

    def daemon(self, vm, role):
        name = f"{role}-{vm.name}"
        return self.spawn(name, [self._bin_folder(name) / f"yw-{role}", "--settings", self.settings_file(vm, role)])

    def is_ready(self, vm, role):
        try:
            return request(vm.address[f"{role}_health"], "GET", "/readyz", timeout=5)[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def wait_ready(self, vm, role):
        process = getattr(vm, role)

        def ready():
            if process.child.poll() is not None:
                raise AssertionError(f"{process.name} ended:\n{process.log_text()[-2000:]}")
            return self.is_ready(vm, role)

        wait_until(ready, f"{process.name} is ready")

    def owns(self, vm):
        """Returns whether a VM's scheduler owns its zone according to its log."""
        if vm.scheduler.child.poll() is not None:
            return False
        log = vm.scheduler.log_text()
        return log.rfind("event=zone_acquired") > log.rfind("event=zone_given_up")

    def workers(self, zone, count, **options):
        """Starts one process that runs `count` fake workers of a zone; `options` are flags of fake-worker."""
        vms = [vm for vm in self.vms if vm.zone == zone]
        arguments = [BIN / "fake-worker", "--count", count, "--zone", zone]
        arguments += ["--scheduler", ",".join(text(vm.address["worker"]) for vm in vms)]
        arguments += ["--entry", ",".join(text(vm.address["upstream"]) for vm in vms)]
        arguments += ["--journal", self.journal]
        for key, value in ({"name": f"w-{zone}"} | options).items():
            arguments += [f"--{key.replace('_', '-')}", value]
        return self.spawn(f"workers-{zone}-{len(self.processes)}", arguments, subprocess.PIPE)

    def kill_workers(self, process):
        """Kills a fake worker process and writes the ends of its tasks to the journal on its behalf."""
        process.kill()
        now = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        name = process.arguments[process.arguments.index("--name") + 1]
        lost = [record for record in self.running().values() if record.worker.rsplit("-", 1)[0] == name]
        with open(self.journal, "a", encoding="ascii") as journal:
            for record in lost:
                journal.write(f"{now} end {record.task} {record.worker} {record.incarnation} lost\n")

    def stop(self):
        """Stops every process of this cluster and removes its files unless YW_KEEP_LOGS is set."""
        for process in self.processes:
            process.resume()
            process.signal(signal.SIGTERM)
        end = time.monotonic() + 10
        for process in self.processes:
            try:
                process.child.wait(max(0, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
        for link in self._links.values():
            link.close()
        self._claim.close()
        if "YW_KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Faults

    def cut(self, zone, direction="both"):
        """Silences the links between `zone` and the other zones in a direction: "out" (sent by `zone`), "in" (sent to
        `zone`) or "both". "none" restores them."""
        for (viewer, vm_name, _), relay in self._links.items():
            target_zone = vm_name.rstrip("0123456789")
            if viewer == zone:
                relay.silence({"out": "forward", "in": "backward"}.get(direction, direction))
            elif target_zone == zone:
                relay.silence({"out": "backward", "in": "forward"}.get(direction, direction))

    # Operators and callers

    def operator(self, method, path, body=None, headers=None, vm=None, timeout=30):
        """Sends an operator request and returns (status, decoded body)."""
        all_headers = {"Authorization": f"Bearer {TOKEN}"} | (headers or {})
        address = (vm or self.vms[0]).address["operator"]
        status, _, answer = request(address, method, path, body, all_headers, timeout)
        return status, json.loads(answer or b"{}")

    def submit(self, document, submission, expected_version=None, vm=None, timeout=30):
        headers = {"Yw-Submission": submission}
        if expected_version is not None:
            headers["Yw-Expected-Version"] = str(expected_version)
        return self.operator("POST", "/v1/submissions", str(document), headers, vm, timeout)

    def accept(self, document, submission, expected_version=None, vm=None):
        """Resubmits until the submission is accepted, as `yuccactl` does, and returns the job ids by name."""
        def answered():
            try:
                status, answer = self.submit(document, submission, expected_version, vm)
            except (OSError, http.client.HTTPException):
                return None
            if status in (503, 504):
                return None
            if status != 200:
                raise AssertionError(f"submission {submission}: {status} {answer}")
            return answer

        jobs = wait_until(answered, f"submission {submission} is accepted")["jobs"]
        ids = {job["name"]: job["id"] for job in jobs}
        services = [line for line in document.splitlines() if line == "services:"]
        return ids | (self._service_ids(vm) if services else {})

    def _service_ids(self, vm):
        status, answer = self.operator("GET", "/v1/jobs", vm=vm)
        if status != 200:
            raise AssertionError(f"jobs: {status} {answer}")
        return {job["name"]: job["id"] for job in answer["jobs"] if job["kind"] == "service"}

    def job(self, job, vm=None):
        status, answer = self.operator("GET", f"/v1/jobs/{job}", vm=vm)
        return answer if status == 200 else None

    def wait_succeeded(self, job, vm=None):
        """Waits until every task of a job has succeeded."""
        def succeeded():
            try:
                found = self.job(job, vm)
            except (OSError, http.client.HTTPException):
                return False
            return found is not None and found["succeeded"] == found["tasks"]

        wait_until(succeeded, f"job {job} succeeds")

    def running(self):
        """Returns the start record of each running task by task index, according to the journal."""
        running = {}
        for record in self.records():
            if record.kind == "start":
                running[record.index] = record
            elif record.kind == "end" and running.get(record.index) and running[record.index].task == record.task:
                del running[record.index]
        return running

    def call(self, service, rest="", method="GET", body=None, headers=None, vm=None, timeout=30):
        """Sends a request to a service and returns (status, headers, body)."""
        address = (vm or self.vms[0]).address["caller"]
        return request(address, method, f"/serve/{service}/{rest}", body, headers, timeout)

    # Journal of the fake workers

    def records(self):
        return read_journal(self.journal)
