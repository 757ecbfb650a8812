"""Randomised soak of managers and gateways as separate processes, with called workers, callers and operators.

Faults come in series and overlap: processes are killed, terminated, paused and reloaded, managers lose their disks,
workers crash, move, stand still, drain and leave, refuse orders, lose answers, carry orders out late and send reports
late, and their links are delayed, reset or silenced in one or both directions. Another program sends large, deep, slow and
malformed messages over many connections, and no process may use more memory than a platform gives it. Callers keep their connections until the
gateway closes them. Services of long-running tasks, which fail at times, run all the while, and a gang waits that doesn't
fit beside them. Everything is checked from outside, by what callers, operators and workers see."""

import collections
import http.client
import json
import pathlib
import random
import re
import shutil
import signal
import socket
import tempfile
import threading
import time

from cluster import BIN, FAKE_HOST, Process, claim_network, free_addresses, request, running_elsewhere, wait_until
from called_worker import CalledWorker, EligibilityService
from relay import Relay

PREFIX = "/jobs/"
HOST = "host.example"
WORKER_MILLI_CPU = 16000
GATEWAYS_FROM = 20  # Last byte of the first gateway's address
CONFIGURATION_AGE_S = 2.0  # An acknowledged configuration is in force everywhere within this time.
VISIBLE_S = 3.0  # A job is known on every gateway within this time.
SETTLE_S = 90  # For all accepted jobs to complete after the last fault
REQUEST_TIMEOUT_MS = 3000  # Less than the gateways' drain limit
GANG_TIMEOUT_S = 3.0
SERVICE_SPEC = "service"  # Text of a job whose tasks last
FAILING_RUNS_S = {1: 3.0, 2: 4.5}  # Run of such a task -> time after which it fails
SERVICES = 2
SERVICE_MILLI_CPU = 2500
SERVICE_RESTART_S = 15  # Of all tasks that last, after the last fault
STOP_S = 0.2  # A run goes on for this long after it was told to stop.
CANCEL_S = 3.0 + 2 * STOP_S  # Until no task of a cancelled job runs
CLOCK_RATES = (0.98, 1.0)  # Of workers
MAX_LEAVE_S = 3.0  # A worker that leaves waits no longer for an acknowledgement.
READ_MARGIN_S = 0.3  # A request sent this long before its gateway's end has been read.
MEMORY_MB = {"manager": 256, "gateway": 160}
MAX_OPEN_FILES = 4096  # Of a process, as a platform limits them
ODD_MESSAGES_S = 2.0  # Connections with odd messages are held for this long.
CLOSE_RACE_S = 0.05  # A connection that ends sooner after a request may have been closed before.


def handles_signals(pid):
    """Returns whether a process has handlers of SIGHUP and SIGTERM."""
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    except OSError:
        return False
    caught = int(re.search(r"SigCgt:\s*(\S+)", status)[1], 16)
    return all(caught >> (number - 1) & 1 for number in (signal.SIGHUP, signal.SIGTERM))


def odd_message(draw):
    """Returns a message that is large, deep, incomplete or malformed."""
    length = draw.choice([100, 64 * 1024, 256 * 1024, 4 * 1024 * 1024, 4 * 1024 * 1024])
    unit = draw.choice([b"[", b'{"a":', b"{},", b"a", b"\xff\x00", b'"9e999",'])
    body = (draw.choice([b"", b'{"steps":[', b'{"version":9,"routes":[']) + unit * (length // len(unit) + 1))[:length]
    framing = draw.choice(["whole", "whole", "without its last byte", "chunked", "fields", "inner protocol"])
    if framing == "inner protocol":
        return length.to_bytes(4, "big") + bytes([0, draw.choice([1, 50, 102])]) + bytes(9) + body
    path = draw.choice(["/instances/i-odd/heartbeat", "/instances/i-odd/leave", "/config/put", PREFIX + "0" * 16, "/odd"])
    head = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n".encode()
    if framing == "chunked":
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + f"{length:x}\r\n".encode() + body + b"\r\n"
    fields = b"a:\r\n" * (3000 if framing == "fields" else 0)
    text = head + fields + f"Content-Length: {length}\r\n\r\n".encode() + body
    return text if framing == "whole" else text[:-1]


class Observer:
    """Checks the starts and ends that workers see. Workers call it with their common lock held."""

    def __init__(self, violation):
        self.violation = violation
        self.jobs = {}  # Key -> steps
        self.workers = []
        self.starts = collections.Counter()
        self._crashes = collections.Counter()  # (key, step, member), or (key, step) of a gang -> crashes under it
        self._done = set()
        self._acknowledged = set()
        self._done_ends = collections.defaultdict(dict)  # Worker -> number of the end -> task
        self._superseded = set()  # (worker, task) of ends as done after which the task was started again

    def started(self, worker, task):
        key, occurrence, step, index = task.split(".")
        steps = self.jobs.get(key)
        if steps is None:
            self.violation(f"{worker.name} is told to start {task}, which nobody has submitted")
            return
        self.starts[key] += 1
        for other in running_elsewhere(self.workers, worker, task):
            self.violation(f"{task} is started on {worker.name} while it runs on {other.name}")
        if task in self._acknowledged:
            self.violation(f"{task} is started on {worker.name} after its end was acknowledged")
        for name, ends in self._done_ends.items():
            self._superseded |= {(name, number) for number, done in ends.items() if done == task}
        load = sum(self._milli_cpu(running) for running in worker.runs) + self._milli_cpu(task)
        if load > worker.cpu:
            self.violation(f"{task} brings {worker.name} to {load} of {worker.cpu} millicores")
        for earlier in steps[int(step)].get("after", []):
            unfinished = [member for member in range(steps[earlier]["count"])
                          if f"{key}.{occurrence}.{earlier}.{member}" not in self._done]
            # One end as done stands for a whole gang.
            if len(unfinished) == steps[earlier]["count"] or (unfinished and not steps[earlier].get("gang")):
                self.violation(f"{task} is started before step {earlier} is done")

    def ended(self, worker, number, task, outcome):
        if outcome == "done":
            self._done.add(task)
            self._done_ends[worker.name][number] = task

    def lapsed(self, worker):
        """Ends before this count as never taken note of."""
        self._done_ends[worker.name].clear()

    def acknowledged(self, worker, last_seen):
        ends = self._done_ends[worker.name]
        for number in [number for number in ends if number <= last_seen]:
            task = ends.pop(number)
            self._acknowledged.add(task)
            if (worker.name, number) in self._superseded:
                self.violation(f"the end of {task} on {worker.name} is acknowledged after it was started again")

    def crashed(self, tasks):
        """Counts a crash of a worker on which these tasks run."""
        units = set()
        for task in tasks:
            key, _, step, member = task.split(".")
            units.add((key, step) if self.jobs[key][int(step)].get("gang") else (key, step, member))
        self._crashes.update(units)

    def may_be_given_up(self, key):
        """Two workers must have crashed under a task before its job may fail."""
        return any(count >= 2 for unit, count in self._crashes.items() if unit[0] == key)

    def restarted(self, worker):
        self._done_ends[worker.name].clear()
        self._superseded = {item for item in self._superseded if item[0] != worker.name}

    def gang_members(self, task):
        """Returns the tasks of the gang that a task belongs to; none if it belongs to none."""
        key, occurrence, step, _ = task.split(".")
        spec = self._step(task)
        return [f"{key}.{occurrence}.{step}.{member}" for member in range(spec["count"])] if spec.get("gang") else []

    def is_long_running(self, task):
        return self._step(task).get("long_running", False)

    def _milli_cpu(self, task):
        return self._step(task)["cpu"]

    def _step(self, task):
        key, _, step, _ = task.split(".")
        return self.jobs[key][int(step)]


class SoakWorker(CalledWorker):
    """A worker behind a relay. Tasks run as long as their job's text says; members of a gang from when all are present,
    and they end together."""

    def __init__(self, ip, managers, name, observer, lock, clock_rate, relay=None):
        self.relay = relay or Relay((ip, 0), None)
        self.complete = set()  # Tasks of gangs of which all members are present
        super().__init__(ip, managers, name, cpu=WORKER_MILLI_CPU, observer=observer, lock=lock,
                         link=self.relay.address, stop_s=STOP_S, clock_rate=clock_rate)
        self.relay.target = self.address

    def run_time(self, order):
        if order["task_spec"] == SERVICE_SPEC:
            return FAILING_RUNS_S.get(order["run"], 3600)
        run_s = float(order["task_spec"])
        members = self.observer.gang_members(order["task"])
        if not members:
            return run_s
        present = [(worker, member) for worker in self.observer.workers for member in members
                   if worker.runs.get(member, (0,))[0] == order["run"]]
        if len(present) + 1 < len(members):
            return GANG_TIMEOUT_S
        for worker, member in present:
            worker.runs[member] = (order["run"], time.monotonic() + run_s)
            worker.complete.add(member)
        self.complete.add(order["task"])
        return run_s

    def _end(self, task, run, outcome):
        members = self.observer.gang_members(task)
        if members and outcome == "done" and task not in self.complete:
            outcome = "alone"
        if outcome == "done" and self.observer.is_long_running(task):
            outcome = "failed"
        self.complete.discard(task)
        super()._end(task, run, outcome)
        self._end_others(members, run, outcome if outcome == "done" else "broken")

    def crash(self, down_s):
        with self.lock:
            self.end_due_runs()
            runs = dict(self.runs)
            self.observer.crashed(runs)
            self.complete.clear()
            super().crash(down_s)
            self._end_gangs(runs)

    def move(self, down_s):
        """Crashes. The next incarnation has another address."""
        self.crash(down_s)
        self.relay.close()
        self.relay = Relay((self.relay.address[0], 0), self.address)
        self.link = self.relay.address

    def _end_with_process(self):
        runs = dict(self.runs)
        self.complete.clear()
        super()._end_with_process()
        self._end_gangs(runs)

    def _end_gangs(self, runs):
        for task, (run, _) in runs.items():
            self._end_others(self.observer.gang_members(task), run, "broken")

    def _end_others(self, members, run, outcome):
        for worker in self.observer.workers:
            for member in members:
                if worker.runs.get(member, (0,))[0] == run:
                    worker.complete.discard(member)
                    super(SoakWorker, worker)._end(member, run, outcome)

    def close(self):
        super().close()
        self.relay.close()


class Daemon:
    """A process of the system, with what the soak has done to it."""

    def __init__(self, process, settings, data_dir, address, memory_mb):
        self.process = process
        self.memory_mb = memory_mb  # Limit
        self.exceeded = set()  # Ids of processes that went over it
        self.settings = settings  # Path of the settings file
        self.data_dir = data_dir  # Of a manager
        self.address = address  # Of callers, for a gateway
        self.lock = threading.Lock()  # Held while the process is meant to be down or paused
        self.up = True
        self.unclean_until = 0.0  # Until then, open requests may be lost.

    def is_running(self):
        return self.process.child.poll() is None


class Soak:
    def __init__(self, seed):
        self.seed = seed
        self.random = random.Random(seed)
        self.violations = []
        self.faults = collections.Counter()
        self.outcomes = collections.Counter()
        self.stopping = threading.Event()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="yw-soak-"))
        self.lock = threading.RLock()
        self.accepted = {}  # Key -> time of the first acknowledgement
        self.maybe_accepted = set()  # Submitted without a clear answer
        self.refused = set()  # Every attempt was refused
        self.cancelled = set()
        self.services = []  # Keys of the jobs whose tasks last
        self.blocked_gang = None  # Key of the gang that doesn't fit beside them
        self.acknowledged_versions = []  # (version, time of the acknowledgement)
        self.managers, self.gateways, self.workers, self.threads = [], [], [], []
        self.service = None
        self._settling = False  # Faults have ended, and callers submit nothing more.
        self._disk_lock = threading.Lock()  # Held while a manager's disk is lost and replaced
        self.observer = Observer(self.violation)

    def start(self, managers=3, gateways=3, workers=8, callers=6, readers=4):
        """Starts all processes and fakes, and the load. `close` must be called also if this fails."""
        net, self._claim = claim_network()
        manager_ips = [f"{net}.{number}" for number in range(1, managers + 1)]
        inner, control = (address[1] for address in free_addresses(manager_ips[0], 2))
        self.control = [(ip, control) for ip in manager_ips]
        self.inner = [(ip, inner) for ip in manager_ips]
        seeds = [f"{ip}:{control}" for ip in manager_ips[:3]]
        fake_ip = f"{net}.{FAKE_HOST}"
        self.service = EligibilityService(fake_ip)
        for ip in manager_ips:
            self.managers.append(self._start_manager(ip, {"inner": inner, "control": control}, seeds))
        # Daemons find each other's inner address by its port, which is the same everywhere.
        for number in range(gateways):
            self.gateways.append(self._start_gateway(f"{net}.{GATEWAYS_FROM + number}", inner, seeds))
        self.observer.workers = self.workers
        for _ in range(workers):
            self._add_worker(self.random.choice(CLOCK_RATES))
        wait_until(lambda: self._put(1), "the configuration is accepted")
        for gateway in self.gateways:
            wait_until(lambda at=gateway: self._read_state(at, 0) == 410, "every gateway reaches the leader")
        self._submit_services(workers)
        self.threads = [threading.Thread(target=self._call, args=(random.Random(f"{self.seed} {number}"), number))
                        for number in range(callers)]
        self.threads += [threading.Thread(target=self._read_steadily, args=(random.Random(f"{self.seed} reader {number}"),))
                         for number in range(readers)]
        self.threads.append(threading.Thread(target=self._operate, args=(random.Random(f"{self.seed} operator"),)))
        for thread in self.threads:
            thread.start()

    def violation(self, text):
        with self.lock:
            self.violations.append(text)

    def _add_worker(self, clock_rate, relay=None):
        with self.lock:
            self.workers.append(SoakWorker(self.service.address[0], self.control, f"i-{len(self.workers)}",
                                           self.observer, self.lock, clock_rate, relay))

    # Processes

    def _start_manager(self, ip, ports, seeds):
        extra = ["new_cluster: true", f"data_dir: {self.folder / ip}", "worker_lease: 5s"]
        return self._start("manager", ip, ports, seeds, extra)

    def _start_gateway(self, ip, inner, seeds):
        caller, health = [address[1] for address in free_addresses(ip, 3) if address[1] != inner][:2]
        extra = ['eligibility_service: "%s:%d"' % self.service.address, "drain_delay: 500ms", "drain_limit: 5s"]
        ports = {"inner": inner, "caller": caller, "health": health}
        return self._start("gateway", ip, ports, seeds, extra)

    def _start(self, role, ip, ports, seeds, extra):
        lines = ["cluster: soak", "zone: zone", f"node: {role}-{ip.rsplit('.', 1)[1]}", "listen:"]
        lines += [f'  {name}: "{ip}:{port}"' for name, port in ports.items()]
        lines += ["seeds:"] + [f'  - "{seed}"' for seed in seeds] + extra + [f"max_open_files: {MAX_OPEN_FILES}"]
        file = self.folder / f"{role}-{ip}.yaml"
        file.write_text("\n".join(lines) + "\n", encoding="utf-8")
        process = Process(f"{role}-{ip}", [BIN / f"yw-{role}", "--settings", file], self.folder)
        return Daemon(process, file, self.folder / ip, (ip, ports.get("caller")), MEMORY_MB[role])

    # Faults: each is called in a thread of its own.

    @staticmethod
    def _start_again(daemon):
        """Starts a process and waits until it handles signals: the system ends one that does not."""
        daemon.process.start()
        wait_until(lambda: handles_signals(daemon.process.pid) or not daemon.is_running(), "a process starts")
        daemon.up = True

    def _restart_killed(self, daemon, down_s, lose_disk=False):
        with daemon.lock:
            daemon.up, daemon.unclean_until = False, time.monotonic() + 3600
            daemon.process.kill()
            if lose_disk:
                shutil.rmtree(daemon.data_dir)
                # A blank disk must not form a second cluster.
                text = daemon.settings.read_text(encoding="utf-8")
                daemon.settings.write_text(text.replace("new_cluster: true", "new_cluster: false"), encoding="utf-8")
            time.sleep(down_s)
            self._start_again(daemon)
            daemon.unclean_until = time.monotonic()

    def _restart_terminated(self, daemon, down_s):
        with daemon.lock:
            daemon.up = False
            code = daemon.process.terminate(timeout=20)
            if code != 0:
                self.violation(f"{daemon.process.name} ends with {code} after SIGTERM")
            time.sleep(down_s)
            self._start_again(daemon)

    def _pause(self, daemon, pause_s):
        with daemon.lock:
            daemon.unclean_until = time.monotonic() + 3600
            daemon.process.pause()
            time.sleep(pause_s)
            daemon.process.resume()
            daemon.unclean_until = time.monotonic() + pause_s

    def _reload(self, daemon):
        with daemon.lock:
            daemon.process.signal(signal.SIGHUP)

    def _lose_link(self, worker, direction, for_s):
        worker.silent = direction != "backward"
        worker.relay.silence(direction)
        time.sleep(for_s)
        worker.relay.silence("none")
        worker.silent = False

    def _delay_link(self, worker, delay_s, for_s):
        worker.relay.delay_s = delay_s
        time.sleep(for_s)
        worker.relay.delay_s = 0.0

    @staticmethod
    def _set_for(worker, for_s, **attributes):
        for name, value in attributes.items():
            setattr(worker, name, value)
        time.sleep(for_s)
        for name in attributes:
            setattr(worker, name, 0.0)

    def _replace_worker(self, worker, drain_s, down_s, clock_rate, same_address, lose_acknowledgement):
        """Has a worker leave. Another one takes its place, with another id."""
        if worker.draining:
            return
        worker.leave(drain_s, MAX_LEAVE_S, lose_acknowledgement)
        time.sleep(down_s)
        if same_address:
            worker.relay.reset()
        self._add_worker(clock_rate, worker.relay if same_address else None)

    def _send_odd_messages(self, choices):
        """Sends an odd message to one address over many connections, and holds these."""
        draw = random.Random(choices)
        address = draw.choice(self.control + self.inner + [gateway.address for gateway in self.gateways])
        message = odd_message(draw)
        threads = [threading.Thread(target=self._send_odd_message, args=(address, message))
                   for _ in range(draw.choice([5, 90, 90]))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _send_odd_message(self, address, message):
        try:
            with socket.create_connection(address, timeout=ODD_MESSAGES_S) as connection:
                connection.sendall(message)
                while connection.recv(4096):
                    pass
        except OSError:
            pass  # The connection is refused, closed or silent.

    def _random_fault(self):
        """Returns the name and the action of the next fault. All choices come from the seed."""
        draw = self.random
        manager, gateway = draw.choice(self.managers), draw.choice(self.gateways)
        worker = draw.choice([worker for worker in self.workers if not worker.closed])
        any_daemon = draw.choice(self.managers + self.gateways)
        down_s, pause_s, link_s = draw.uniform(0.1, 2), draw.uniform(0.2, 3), draw.uniform(0.3, 8)
        clock_rate = draw.choice(CLOCK_RATES)
        same_address, lose_acknowledgement = draw.random() < 0.5, draw.random() < 0.5
        direction = draw.choice(["both", "forward", "backward"])
        odd_choices = draw.random()
        return draw.choice([
            ("manager killed", lambda: self._restart_killed(manager, down_s)),
            ("manager terminated", lambda: self._restart_terminated(manager, down_s)),
            ("manager paused", lambda: self._pause(manager, pause_s)),
            ("settings reloaded", lambda: self._reload(any_daemon)),
            ("gateway killed", lambda: self._restart_killed(gateway, down_s)),
            ("gateway terminated", lambda: self._restart_terminated(gateway, down_s)),
            ("gateway paused", lambda: self._pause(gateway, pause_s)),
            ("worker crashed", lambda: worker.crash(down_s)),
            ("worker moved", lambda: worker.move(down_s)),
            ("worker paused", lambda: worker.pause(link_s)),
            ("reports late", lambda: self._set_for(worker, pause_s, report_delay_s=link_s)),
            ("worker link silenced", lambda: self._lose_link(worker, direction, link_s)),
            ("worker link delayed", lambda: self._delay_link(worker, pause_s / 10, link_s)),
            ("worker link reset", worker.relay.reset),
            ("worker leaves", lambda: self._replace_worker(worker, pause_s / 10, down_s, clock_rate, same_address,
                                                           lose_acknowledgement)),
            ("orders refused", lambda: self._set_for(worker, down_s, refused_share=1.0)),
            ("answers lost", lambda: self._set_for(worker, pause_s / 3, unanswered_share=1.0)),
            ("worker grey", lambda: self._set_for(worker, link_s, refused_share=0.4, unanswered_share=0.4)),
            ("orders late", lambda: self._set_for(worker, pause_s / 3, late_s=link_s)),
            ("all managers killed", lambda: self._kill_all_managers(down_s)),
            ("disk lost", lambda: self._lose_disk(manager)),
            *[("odd messages", lambda: self._send_odd_messages(odd_choices))] * 4,
        ])

    def _kill_all_managers(self, down_s):
        threads = [threading.Thread(target=self._restart_killed, args=(manager, down_s)) for manager in self.managers]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    # One lost disk at a time is tolerated, once all managers take part again.
    def _lose_disk(self, manager):
        if all(other.up and not other.lock.locked() for other in self.managers) and self._disk_lock.acquire(False):
            try:
                self._restart_killed(manager, 0.5, lose_disk=True)
                time.sleep(8)
            finally:
                self._disk_lock.release()

    def run(self, seconds):
        """Injects faults for this time, heals everything and checks what is left."""
        end = time.monotonic() + seconds
        running = []
        while time.monotonic() < end:
            name, action = self._random_fault()
            # While a disk is being replaced, a second manager must not be lost.
            if self._disk_lock.locked() and "manager" in name:
                continue
            self.faults[name] += 1
            running.append(threading.Thread(target=action))
            running[-1].start()
            time.sleep(self.random.uniform(0.05, 1.0))
            self._check_processes()
        for thread in running:
            thread.join()
        self._settle()
        self._settle_services()
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        self._check_processes()
        self._check_end()

    def _check_processes(self):
        for daemon in self.managers + self.gateways:
            peak_mb, pid = daemon.process.peak_memory_mb(), daemon.process.pid
            if peak_mb > daemon.memory_mb and pid not in daemon.exceeded:
                daemon.exceeded.add(pid)
                self.violation(f"{daemon.process.name} uses {peak_mb} MB of {daemon.memory_mb}")
            if daemon.lock.acquire(False):
                try:
                    if not daemon.is_running():
                        self.violation(f"{daemon.process.name} has ended by itself with {daemon.process.child.poll()}")
                        daemon.process.start()
                finally:
                    daemon.lock.release()

    def close(self):
        self.stopping.set()
        for worker in self.workers:
            worker.close()
        for daemon in self.managers + self.gateways:
            daemon.process.resume()
            daemon.process.kill()
        if self.service:
            self.service.close()
            self._claim.close()
        if not self.violations:
            shutil.rmtree(self.folder, True)

    # Operator

    def _put(self, version):
        route = {"name": "queue", "host": HOST, "path_prefix": PREFIX, "route_type": "unsafe", "timeout_ms": 3000,
                 "slo_ms": 500, "priority": 0, "service": "service", "attempts": 4, "stretch": 2.0,
                 "advice": {"decision_ms": 5.0, "period_ms": 0.1, "valid_ms": 2000}}
        body = json.dumps({"version": version, "routes": [route], "services": [{"name": "service"}], "limits": {}})
        for address in self.control:
            try:
                if request(address, "POST", "/config/put", body, timeout=1)[0] == 200:
                    return True
            except (OSError, http.client.HTTPException):
                continue
        return False

    def _operate(self, draw):
        newest = 1
        while not self.stopping.wait(0.2):
            if draw.random() < 0.2:
                newest += draw.randrange(1, 4)
                if self._put(newest):
                    self.acknowledged_versions.append((newest, time.monotonic()))
                continue
            sent_at = time.monotonic()
            due = max((version for version, at in self.acknowledged_versions if at + CONFIGURATION_AGE_S < sent_at),
                      default=0)
            try:
                address = draw.choice(self.control)
                status, _, answer = request(address, "GET", "/config/get", timeout=1)
            except (OSError, http.client.HTTPException):
                continue
            if status == 200 and json.loads(answer)["version"] < due:
                self.violation(f"{address} answers with configuration {json.loads(answer)['version']}, not {due}")

    # Callers

    def _call(self, draw, number):
        connections = {}
        mine = []
        serial = 0
        while not self.stopping.wait(draw.uniform(0.05, 0.3)):
            gateway = draw.choice(self.gateways)
            if not self._settling and (not mine or draw.random() < 0.6):
                serial += 1
                key = f"{number:04x}{serial:012x}"
                if self._submit(draw, connections, key):
                    mine.append(key)
                    del mine[:-50]
            elif mine:
                key = draw.choice(mine)
                cancel = not self._settling and draw.random() < 0.1
                if cancel:
                    with self.lock:
                        self.cancelled.add(key)  # Before others can read its effect
                    self._request(connections, gateway, "DELETE", key)
                else:
                    self._check_read(gateway, key, *self._request(connections, gateway, "GET", key))

    def _read_steadily(self, draw):
        """Reads states back to back on kept connections, so that gateways hardly ever have no request in progress."""
        connections = {}
        while not self.stopping.is_set():
            with self.lock:
                known = list(self.accepted)
            gateway = draw.choice(self.gateways)
            key = draw.choice(known) if known else f"{0:016x}"
            status, answer = self._request(connections, gateway, "GET", key)
            if known:
                self._check_read(gateway, key, status, answer)
            if status != 200:
                self.stopping.wait(0.05)

    def _check_read(self, gateway, key, status, answer):
        if status == 200:
            self._check_state(key, json.loads(answer)["state"])
        elif status == 410 and time.monotonic() > self.accepted[key] + VISIBLE_S:
            self.violation(f"job {key} is unknown on {gateway.process.name}")

    def _check_state(self, key, state):
        with self.lock:
            failed = state == "failed" and not self.observer.may_be_given_up(key)
        if failed or (state == "cancelled" and key not in self.cancelled):
            self.violation(f"job {key} is {state} without cause")

    def _submit(self, draw, connections, key):
        """Submits a job until it is accepted or surely refused. Returns whether it was accepted."""
        first = {"count": draw.randrange(1, 5), "cpu": draw.randrange(500, 6000), "mem_mb": 100, "estimated_ms": 300}
        steps = [dict(first, gang=draw.random() < 0.3)]
        if draw.random() < 0.3:
            steps.append({"count": 2, "cpu": 1000, "mem_mb": 100, "estimated_ms": 300, "after": [0]})
        return self._hand_in(draw, connections, key, f"{draw.uniform(0.05, 1.0):.2f}", steps)

    def _submit_services(self, workers):
        draw = random.Random(f"{self.seed} services")
        connections = {}
        for number in range(SERVICES):
            key = f"{0xfffe:04x}{number:012x}"
            step = {"count": workers // 2, "cpu": SERVICE_MILLI_CPU, "mem_mb": 100, "estimated_ms": 60000,
                    "long_running": True, "max_per_server": 1}
            if self._hand_in(draw, connections, key, SERVICE_SPEC, [step]):
                self.services.append(key)
        wait_until(lambda: not any(self._missing_tasks(service) for service in self.services), "the services run")
        key = f"{0xffff:04x}{0:012x}"
        # More members than workers without a service, but not all: one that moves while it is replaced may stay away.
        gang = {"count": workers // 2 + 1, "cpu": WORKER_MILLI_CPU - SERVICE_MILLI_CPU // 2, "mem_mb": 100, "estimated_ms": 300,
                "gang": True}
        if self._hand_in(draw, connections, key, "0.30", [gang]):
            self.blocked_gang = key

    def _hand_in(self, draw, connections, key, spec, steps):
        body = json.dumps({"task_spec": spec, "steps": steps})
        with self.lock:
            self.observer.jobs[key] = steps
        ambiguous = False
        for _ in range(5):
            status, _ = self._request(connections, draw.choice(self.gateways), "POST", key, body)
            self.outcomes[status] += 1
            if status == 200:
                with self.lock:
                    self.accepted[key] = time.monotonic()
                return True
            ambiguous = ambiguous or status not in (429, 503)
            time.sleep(draw.uniform(0.1, 0.5))
        with self.lock:
            (self.maybe_accepted if ambiguous else self.refused).add(key)
        return False

    def _request(self, connections, gateway, method, key, body=None):
        """Sends a request on a connection that is kept. Returns (0, b"") without a complete answer."""
        connection = connections.get(gateway)
        if connection is None:
            connection = connections[gateway] = http.client.HTTPConnection(*gateway.address, timeout=5)
        pid = gateway.process.pid
        sent_at = 0.0
        try:
            headers = {"Host": HOST, "Content-Type": "application/json", "Yuccawheel-Deadline-Ms": REQUEST_TIMEOUT_MS}
            connection.request(method, PREFIX + key, body, headers)
            sent_at = time.monotonic()
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException) as error:
            lost_at = time.monotonic()
            connection.close()
            self._check_lost(gateway, pid, sent_at, lost_at, error)
            return 0, b""

    def _check_lost(self, gateway, pid, sent_at, lost_at, error):
        """A gateway that was only terminated must answer every request that it has read, in time."""
        waited = lost_at - sent_at
        raced = not sent_at or waited < CLOSE_RACE_S
        if raced or gateway.unclean_until > sent_at or gateway.process.pid != pid:
            return
        name = gateway.process.name
        if isinstance(error, TimeoutError):
            self.violation(f"{name} has not answered a request after {waited:.3f} s")
        elif gateway.up and gateway.is_running():
            self.violation(f"{name} closes a connection {waited:.3f} s after a request: {error!r}")
        elif waited > READ_MARGIN_S:
            self.violation(f"{name} cuts off a request while it ends: {error!r}")

    def _read_state(self, gateway, key):
        try:
            status, _, answer = request(gateway.address, "GET", f"{PREFIX}{key:016x}", None, {"Host": HOST}, timeout=5)
        except (OSError, http.client.HTTPException):
            return 0
        return json.loads(answer)["state"] if status == 200 else status

    # The end

    def _settle(self):
        """Waits until every accepted job has ended."""
        self._settling = True
        with self.lock:
            waiting = set(self.accepted) - {*self.services, self.blocked_gang}
        deadline = time.monotonic() + SETTLE_S
        while waiting and time.monotonic() < deadline:
            for key in sorted(waiting):
                state = self._read_state(self.gateways[0], int(key, 16))
                if state in ("completed", "failed", "cancelled"):
                    self._check_state(key, state)
                    waiting.discard(key)
                elif state == 410:
                    self.violation(f"job {key} is lost")
                    waiting.discard(key)
            time.sleep(0.2)
        for key in sorted(waiting)[:5]:
            state = self._read_state(self.gateways[0], int(key, 16))
            self.violation(f"job {key} has not ended after {SETTLE_S} s: {state}")

    def _settle_services(self):
        """Waits until all tasks that last are at work, cancels them, and waits for the gang that they blocked."""
        deadline = time.monotonic() + SERVICE_RESTART_S
        missing = {}
        while time.monotonic() < deadline:
            missing = {key: self._missing_tasks(key) for key in self.services}
            if not any(missing.values()):
                break
            time.sleep(0.2)
        for key, tasks in missing.items():
            if tasks:
                self.violation(f"tasks of {key} that last are not at work after {SERVICE_RESTART_S} s: {tasks}")
        connections = {}
        for key in self.services:
            with self.lock:
                self.cancelled.add(key)
            wait_until(lambda at=key: self._request(connections, self.gateways[0], "DELETE", at)[0] in (200, 202, 204, 410),
                       "a service is cancelled")
        deadline = time.monotonic() + CANCEL_S
        while time.monotonic() < deadline and any(map(self._running_tasks, self.services)):
            time.sleep(0.1)
        deadline = time.monotonic() + SETTLE_S
        state = None
        while self.blocked_gang and time.monotonic() < deadline:
            state = self._read_state(self.gateways[0], int(self.blocked_gang, 16))
            if state in ("completed", "failed"):
                self._check_state(self.blocked_gang, state)
                return
            time.sleep(0.2)
        if self.blocked_gang:
            self.violation(f"the gang {self.blocked_gang} has not ended {SETTLE_S} s after the services: {state}")

    def _missing_tasks(self, key):
        """Returns the tasks of a service that run on no worker; none if its job has ended."""
        state = self._read_state(self.gateways[0], int(key, 16))
        if state in ("failed", "cancelled"):
            self._check_state(key, state)
            return []
        running = self._running_tasks(key)
        tasks = [f"{key}.0.0.{index}" for index in range(self.observer.jobs[key][0]["count"])]
        return [task for task in tasks if task not in running]

    def _running_tasks(self, key):
        with self.lock:
            return {task for worker in self.workers for task in worker.runs if task.startswith(key)}

    def _check_end(self):
        with self.lock:
            for key in self.refused:
                if self.observer.starts[key]:
                    self.violation(f"job {key} was refused and has run")
            for worker in self.workers:
                worker.end_due_runs()
                for task in worker.runs:
                    if task.split(".")[0] in self.cancelled:
                        self.violation(f"{task} of a cancelled job runs on {worker.name}")

    def summary(self):
        counts = {"accepted": len(self.accepted), "refused": len(self.refused), "unclear": len(self.maybe_accepted),
                  "cancelled": len(self.cancelled), "starts": sum(self.observer.starts.values()),
                  "configurations": len(self.acknowledged_versions), "faults": sum(self.faults.values())}
        return " ".join(f"{name}={count}" for name, count in counts.items())


def run_seed(seed, seconds, **sizes):
    """Runs one seed. Returns the violations; the folder with the logs is kept if there are any."""
    soak = Soak(seed)
    try:
        soak.start(**sizes)
        soak.run(seconds)
    finally:
        soak.close()
    print(f"seed {seed}: {soak.summary()} violations={len(soak.violations)}", flush=True)
    for violation in soak.violations[:20]:
        print(f"  {violation}", flush=True)
    if soak.violations:
        print(f"  logs: {soak.folder}", flush=True)
    return soak.violations
