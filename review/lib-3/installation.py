"""Starts the project's programs with the commands and templates of the deploy file, on loopback addresses."""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

from executor import Executor

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "nony24.example"


def _render(text, values):
    """Fills in the placeholders and sections that the project's templates use."""
    def find(name, scope):
        for part in name.split("."):
            if isinstance(scope, list):
                scope = scope[int(part)] if int(part) < len(scope) else None
            else:
                scope = scope.get(part) if isinstance(scope, dict) else None
        return scope

    def section(match):
        value = find(match[1], values)
        if value in (None, False, [], ""):
            return ""
        items = value if isinstance(value, list) else [value]
        return "".join(match[2].replace("{{.}}", str(item)) for item in items)

    def place(match):
        value = find(match[1], values)
        return "" if value is None else str(value).lower() if isinstance(value, bool) else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", place, text)


def _free_port(ips):
    while True:
        port = random.randrange(20_000, 32_000)
        try:
            for ip in ips:
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return port
        except OSError:
            continue


class Installation:
    """Three managers, some gateways and executors. `end` ends all that was started."""

    BOUNDS = {"max_hold_ms": 10_000, "gang_timeout_ms": 3_000}

    def __init__(self, case, gateways=1, with_advice=False):
        self.case = case
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        self.log = open(os.path.join(case, "record.txt"), "w", buffering=1)
        self.log_lock = threading.Lock()
        self.began = time.time()
        self.processes = {}
        self.executors = []
        net = "127.%d.%d." % (random.randrange(10, 250), random.randrange(1, 250))
        self.manager_ips = [net + str(n) for n in (1, 2, 3)]
        self.gateway_ips = [net + str(10 + n) for n in range(gateways)]
        self.executor_net = net
        ips = self.manager_ips + self.gateway_ips
        self.control, self.frontend, self.ready, self.inner = (_free_port(ips) for _ in range(4))
        self.advice_address = (net + "40", _free_port([net + "40"])) if with_advice else None
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.managers = [(ip, self.control) for ip in self.manager_ips]

    def start_all(self):
        for index, ip in enumerate(self.manager_ips):
            self._configure("manager", index, ip, bootstrap=True)
            self.start("manager-%d" % (index + 1))
        for index, ip in enumerate(self.gateway_ips):
            self._configure("gateway", index, ip, bootstrap=True)
            self.start("gateway-%d" % (index + 1))

    def end(self):
        for executor in self.executors:
            executor.close()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def record(self, line):
        with self.log_lock:
            self.log.write("%8.3f  %s\n" % (time.time() - self.began, line))

    def _configure(self, role, index, ip, bootstrap):
        name = "%s-%d" % (role, index + 1)
        data = os.path.join(self.folder, name)
        os.makedirs(data, exist_ok=True)
        values = {
            "zone": "zone-%d" % (index % 3 + 1), "node": name, "ip": ip, "port_range": [self.inner, self.inner],
            "bind_addrs": {"control": "%s:%d" % (ip, self.control), "frontend": "%s:%d" % (ip, self.frontend),
                           "ready": "%s:%d" % (ip, self.ready)},
            "seeds": ["%s:%d" % manager for manager in self.managers], "bootstrap": bootstrap,
            "fault_tolerance": {"machines": 1}, "data_dir": data, "limits": {"max_fds": 4096}, "bounds": self.BOUNDS,
        }
        if self.advice_address:
            values["advice"] = "%s:%d" % self.advice_address
        with open(os.path.join(ROOT, self.roles[role]["template"])) as file:
            text = _render(file.read(), values)
        with open(os.path.join(self.folder, name + ".conf"), "w") as file:
            file.write(text)

    def start(self, name):
        role = name.split("-")[0]
        words = self.roles[role]["run"].split()
        command = [os.path.join(self.folder, name + ".conf") if word.startswith("/etc/") else word for word in words]
        output = open(os.path.join(self.folder, name + ".log"), "ab")
        keep = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        self.processes[name] = subprocess.Popen(command, cwd=ROOT, stdout=output, stderr=output, env=keep,
                                                stdin=subprocess.DEVNULL)
        output.close()
        self.record("started %s" % name)

    def signal(self, name, number):
        self.record("%s to %s" % (signal.Signals(number).name, name))
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    def logs(self, name):
        with open(os.path.join(self.folder, name + ".log"), errors="replace") as file:
            return file.read()

    def add_executors(self, count, work_s, **options):
        for _ in range(count):
            number = len(self.executors)
            own = {key: value(number) if callable(value) and key in ("labels", "capacity") else value
                   for key, value in options.items()}
            self.executors.append(Executor(number, self.executor_net + str(50 + number), self.managers, work_s,
                                           self.record, **own))

    # The operator.

    def call(self, address, method, path, body=None, headers=None, timeout=3.0, quiet=False):
        """One request. Returns the status, 0 without an answer, and the decoded body."""
        connection = http.client.HTTPConnection(*address, timeout=timeout)
        status, answer = 0, {}
        try:
            data = None if body is None else json.dumps(body)
            connection.request(method, path, data, dict({"Content-Type": "application/json"}, **(headers or {})))
            response = connection.getresponse()
            status, text = response.status, response.read()
            answer = json.loads(text) if text else {}
        except (OSError, ValueError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        if not quiet:
            self.record("%s %s at %s -> %d %s" % (method, path, address[0], status, json.dumps(answer)[:200]))
        return status, answer

    def put_config(self, config, within_s=15.0):
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            for manager in self.managers:
                status, _ = self.call(manager, "POST", "/config/put", config, timeout=1.0)
                if status == 200:
                    return True
            time.sleep(0.2)
        return False

    # Requesters.

    def queue(self, method, path, body=None, gateway=0, timeout=3.0, quiet=False):
        headers = {"Host": HOST, "Yuccawheel-Deadline-Ms": str(int(timeout * 1000))}
        return self.call((self.gateway_ips[gateway], self.frontend), method, path, body, headers, timeout, quiet)

    def submit(self, path, job, within_s=15.0):
        """Hands a job in until it is accepted or refused for good, as a requester does."""
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            status, _ = self.queue("POST", path, job)
            if status == 200:
                return True
            time.sleep(0.3)
        return False

    def state(self, path, quiet=True):
        status, answer = self.queue("GET", path, quiet=quiet)
        return answer.get("state") if status == 200 else status


def route(name, prefix, priority, **more):
    return dict({"name": name, "host": HOST, "path_prefix": prefix, "route_type": "unsafe", "timeout_ms": 3000,
                 "slo_ms": 1000, "priority": priority, "service": "service-1", "attempts": 3, "stretch": 2.0}, **more)


def config(version, *routes):
    return {"version": version, "routes": list(routes),
            "services": [{"name": "service-1", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": False,
                          "admission_control": False, "spare": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def wait_until(condition, within_s, step_s=0.05):
    end = time.monotonic() + within_s
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(step_s)
    return False


class CannotRun(Exception):
    """The case couldn't be set up."""


def run_case(case_file, body, **options):
    """Runs `body(installation, trouble)`, which returns why the rule is broken or None. Exits with 1, 0 or 2."""
    case = os.path.dirname(os.path.abspath(case_file))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # Ends what was started.
    broken = None
    try:
        installation = Installation(case, **options)
        try:
            installation.start_all()
            broken = body(installation, trouble)
            for name, process in installation.processes.items():
                code = process.poll()
                if code is not None and code >= 0:
                    installation.record("%s ended by itself with %d" % (name, code))
            installation.record("broken: %s" % broken if broken else "held")
        finally:
            installation.end()
    except CannotRun as reason:
        print("could not run: %s" % reason)
        sys.exit(2)
    except Exception:  # A fault of the script, or programs that aren't built
        traceback.print_exc()
        sys.exit(2)
    print("broken: %s" % broken if broken else "held")
    sys.exit(1 if broken else 0)
