"""A small deployment on loopback addresses: managers and gateways, started with the commands of the deploy file and
settings from its templates. Processes that end are started again, as the platform does."""

import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
CLAIM_HOST = 254  # Last byte of the address whose listening socket claims a /24 network
CLAIM_PORT = 20000
GATEWAYS_FROM = 20  # Last byte of the first gateway's address
STAND_IN_HOST = 100  # Last byte of the address of stand-ins
MAX_CASE_S = 115  # A script may run for 120 s.
RESTART_DELAY_S = 0.5  # "A process that exits or is killed is restarted after a short delay"
HOST = "queues.example"
PREFIX = "/jobs/"
SERVICE = "service-a"


class CaseError(RuntimeError):
    """The case could not run, which says nothing about the rule."""


def render(template, values):
    """Fills in a template of the deploy file: {{a}}, {{a.b}}, {{a.0}} and sections over lists."""
    def value(path, context):
        for part in path.split("."):
            if isinstance(context, list):
                context = context[int(part)] if int(part) < len(context) else None
            else:
                context = context.get(part) if isinstance(context, dict) else None
        return context

    def section(match):
        found = value(match[1], values)
        items = found if isinstance(found, list) else [found] if found else []
        return "".join(match[2].replace("{{.}}", str(item)) for item in items)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL)

    def placeholder(match):
        found = value(match[1], values)
        return "" if found is None else str(found).lower() if isinstance(found, bool) else str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", placeholder, text)


def request(address, method, path, body=None, headers=None, timeout=5.0):
    """Sends one request on a channel of its own and returns (status, body); (0, b"") without a complete answer."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def wait_until(condition, what, timeout):
    """Waits until `condition()` is true and returns its value."""
    end = time.monotonic() + timeout
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise CaseError(f"timed out after {timeout} s: {what}")
        time.sleep(0.05)


class Record:
    """Writes record.txt: one line for each thing sent, answered or run, with the seconds since the start."""

    def __init__(self, folder):
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._started = time.monotonic()
        self._lock = threading.Lock()

    def __call__(self, event, **fields):
        with self._lock:
            if not self._file.closed:
                words = " ".join(f"{key}={value}" for key, value in fields.items())
                self._file.write(f"{time.monotonic() - self._started:8.3f} {event} {words}".rstrip() + "\n")

    def close(self):
        with self._lock:
            self._file.close()


class Daemon:
    """One process of a role. If it ends, it is started again after a short delay until close()."""

    def __init__(self, role, name, settings, log, record):
        self.role, self.name, self.settings, self._log, self._record = role, name, settings, log, record
        self.ends = []  # Exit codes of ends that nobody asked for
        self.keep_down = False
        self._closing = False
        self._asked = False
        self.lock = threading.Lock()
        self._start()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def _start(self):
        command = DEPLOY["roles"][self.role]["run"].replace("/etc/yuccawheel/settings.conf", str(self.settings)).split()
        command[0] = str(ROOT / command[0])
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with open(self._log, "ab") as log:
            self.child = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=ROOT,
                                          env=environment)
        self._record("process_started", name=self.name)

    def _watch(self):
        while True:
            code = self.child.wait()
            if self._closing:
                return
            if not self._asked:
                self.ends.append(code)
            self._record("process_ended", name=self.name, code=code, asked=self._asked)
            time.sleep(RESTART_DELAY_S)
            while self.keep_down and not self._closing:
                time.sleep(0.02)
            with self.lock:
                if self._closing:
                    return
                self._asked = False
                self._start()

    def signal(self, number):
        """Sends a signal. After SIGTERM and SIGKILL the end of the process is not its own."""
        with self.lock:
            if number in (signal.SIGTERM, signal.SIGKILL):
                self._asked = True
            if self.child.poll() is None:
                os.kill(self.child.pid, number)
        self._record("signal", name=self.name, number=int(number))

    def close(self):
        with self.lock:
            self._closing = True
            if self.child.poll() is None:
                os.kill(self.child.pid, signal.SIGCONT)
                os.kill(self.child.pid, signal.SIGKILL)
        self.child.wait()
        self._thread.join(5)

    def log_text(self):
        return self._log.read_text(encoding="utf-8", errors="replace")


class Deployment:
    """Managers, gateways and the addresses of all. `bounds` are those of the platform's settings fields."""

    def __init__(self, record, managers=3, gateways=3, advice=None, max_hold_ms=10_000):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="yw-review-"))
        self.advice = advice
        self._max_hold_ms = max_hold_ms
        self._claim = None
        while self._claim is None:
            self.net = f"127.{random.randrange(1, 255)}.{random.randrange(0, 255)}"
            try:
                self._claim = socket.create_server((f"{self.net}.{CLAIM_HOST}", CLAIM_PORT))
            except OSError:
                continue
        self.manager_ips = [f"{self.net}.{number}" for number in range(1, managers + 1)]
        self.gateway_ips = [f"{self.net}.{GATEWAYS_FROM + number}" for number in range(gateways)]
        self.stand_in_ip = f"{self.net}.{STAND_IN_HOST}"
        self.inner, control, caller, ready = self._free_ports(4)
        self.control = [(ip, control) for ip in self.manager_ips]
        self.callers = [(ip, caller) for ip in self.gateway_ips]
        self.ready = [(ip, ready) for ip in self.gateway_ips]
        self.managers, self.gateways = [], []

    def _free_ports(self, count):
        sockets = [socket.create_server((self.manager_ips[0], 0)) for _ in range(count)]
        ports = [sock.getsockname()[1] for sock in sockets]
        for sock in sockets:
            sock.close()
        return ports

    def _settings(self, role, name, ip, addresses):
        values = {
            "node": name, "zone": "zone-1", "ip": ip, "bootstrap": True, "bind_addrs": addresses,
            "port_range": [self.inner, self.inner + 15], "seeds": [f"{at}:{port}" for at, port in self.control[:3]],
            "fault_tolerance": {"machines": 1}, "data_dir": str(self.folder / f"data-{name}"),
            "bounds": {"max_hold_ms": self._max_hold_ms},
            "advice": f"{self.advice[0]}:{self.advice[1]}" if self.advice else None,
        }
        file = self.folder / f"{name}.conf"
        template = (ROOT / DEPLOY["roles"][role]["template"]).read_text(encoding="utf-8")
        file.write_text(render(template, values), encoding="utf-8")
        return file

    def _daemon(self, role, name, ip, addresses):
        settings = self._settings(role, name, ip, addresses)
        return Daemon(role, name, settings, self.folder / f"{name}.log", self.record)

    def start(self):
        for number, (ip, port) in enumerate(self.control, 1):
            self.managers.append(self._daemon("manager", f"core-{number}", ip, {"control": f"{ip}:{port}"}))
        for number, (ip, port) in enumerate(self.callers, 1):
            addresses = {"frontend": f"{ip}:{port}", "ready": f"{ip}:{self.ready[number - 1][1]}"}
            self.gateways.append(self._daemon("gateway", f"frontend-{number}", ip, addresses))
        for address in self.ready:
            wait_until(lambda at=address: request(at, "GET", "/readyz")[0] == 200, "a gateway is ready", 20)

    def configure(self, version=1, attempts=3, queues=None):
        """Sends a configuration until it is acknowledged. `queues` maps path prefixes to further fields of routes."""
        routes = []
        for number, (prefix, fields) in enumerate((queues or {PREFIX: {}}).items()):
            route = {"name": f"queue-{number}", "host": HOST, "path_prefix": prefix, "route_type": "unsafe",
                     "timeout_ms": 3000, "slo_ms": 3000, "priority": 1, "service": SERVICE, "attempts": attempts,
                     "stretch": 2.0}
            if self.advice:
                route["advice"] = {"decision_ms": 5.0, "period_ms": 0.1, "valid_ms": 2000}
            routes.append(route | fields)
        service = {"name": SERVICE, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": False,
                   "admission_control": False, "spare": False}
        limits = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                  "idle_timeout_ms": 15000}
        body = json.dumps({"version": version, "routes": routes, "services": [service], "limits": limits})

        def acknowledged():
            return any(request(at, "POST", "/config/put", body)[0] == 200 for at in self.control)

        wait_until(acknowledged, "the configuration is acknowledged", 20)
        self.record("configuration_acknowledged", version=version)

    def call(self, method, key, body=None, prefix=PREFIX, gateways=None, timeout=5.0):
        """Sends a request about a job as a client does: to the next gateway while there is no clear answer."""
        headers = {"Host": HOST, "Content-Type": "application/json", "Yuccawheel-Deadline-Ms": "3000"}
        status, answer = 0, b""
        for address in gateways or random.sample(self.callers, len(self.callers)):
            status, answer = request(address, method, f"{prefix}{key}", body, headers, timeout)
            self.record("client", method=method, job=key or "-", to=address[0], status=status,
                        answer=answer.decode(errors="replace") if method == "GET" else "")
            if status not in (0, 429, 502, 503, 504):
                break
        return status, answer

    def submit(self, key, steps, prefix=PREFIX, timeout=20):
        body = json.dumps({"task_spec": "work", "steps": steps})
        wait_until(lambda: self.call("POST", key, body, prefix)[0] == 200, f"job {key} is accepted", timeout)

    def state(self, key, prefix=PREFIX):
        status, answer = self.call("GET", key, prefix=prefix)
        return json.loads(answer)["state"] if status == 200 else status

    def close(self, keep_logs=False):
        for daemon in self.managers + self.gateways:
            daemon.close()
        self._claim.close()
        if not keep_logs:
            shutil.rmtree(self.folder, ignore_errors=True)


def _give_up(number, frame):
    raise CaseError(f"ended by signal {number}")


def run_case(folder, case):
    """Runs `case(record, trouble)`, which returns whether the rule was broken, and returns the exit code of the
    script: 1 if so, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # Processes that were started end in any case.
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _give_up)
    signal.alarm(MAX_CASE_S)
    record = Record(pathlib.Path(folder))
    record("case", trouble=trouble)
    try:
        broken = case(record, trouble)
        record("verdict", broken=broken)
        print("the rule was broken" if broken else "the rule held")
        return 1 if broken else 0
    except (CaseError, OSError, subprocess.SubprocessError) as error:
        record("could_not_run", reason=repr(error))
        print(f"the case could not run: {error}")
        return 2
    finally:
        record.close()
