"""A small deployment on loopback addresses: three managers and two gateways, started with the commands and templates of
the deploy file, and executors that are stand-ins. Used by the scripts of the cases."""

import http.client
import json
import os
import pathlib
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from link import Link  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parents[2]
HERE = pathlib.Path(__file__).resolve().parent
HOST = "queue.example"
PREFIX = "/jobs/"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 115

BASE = {
    "zone": "a", "bootstrap": True, "fault_tolerance": {"machines": 1}, "limits": {"max_fds": 1024},
    "bounds": {"max_hold_ms": 10000, "gang_timeout_ms": 3000},
}


class CannotRun(Exception):
    pass


def render(text, fields):
    """Fills in the few kinds of placeholder that the templates of the deploy folder use."""
    def value(name):
        found = fields
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part, "")
        return found

    def section(match):
        found = value(match[1])
        entries = found if isinstance(found, list) else [found] if found else []
        return "".join(match[2].replace("{{.}}", str(entry)) for entry in entries)

    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, text, flags=re.S)

    def single(match):
        found = value(match[1])
        return str(found).lower() if isinstance(found, bool) else str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", single, text)


def free_ports(ip, count):
    sockets = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Advice(BaseHTTPRequestHandler):
    """A stand-in for the service at `advice`: all executors may run all steps."""

    protocol_version = "HTTP/1.1"

    def do_POST(self):
        body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        data = json.dumps({"good": [[worker, "ticket"] for worker in body["workers"]]}).encode()
        self.send_response(200)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *arguments):
        pass


class Process:
    lock = threading.Lock()
    is_over = False  # Nothing is started once the case has ended, by no thread of it either.

    def __init__(self, words, log):
        self.words, self.log = [str(word) for word in words], log
        self.start()

    def start(self):
        with Process.lock, open(self.log, "ab") as log:
            if not Process.is_over:
                self.child = subprocess.Popen(self.words, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def kill(self):
        if self.child.poll() is None:
            os.kill(self.child.pid, signal.SIGKILL)
        self.child.wait()


class Small:
    """The deployment. `record` notes what clients send and are answered."""

    def __init__(self, record, managers=3, gateways=2):
        self.begin = time.monotonic()
        self.record_file = pathlib.Path(record)
        self.record_file.write_text("", encoding="utf-8")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="yw-review-"))
        self.net = f"127.{random.randrange(2, 250)}.{random.randrange(1, 250)}"
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        self.processes, self.workers, self.links = [], {}, {}
        ips = [f"{self.net}.{number + 1}" for number in range(managers)]
        inner, control = free_ports(ips[0], 2)
        self.control = [(ip, control) for ip in ips]
        seeds = [f"{ip}:{control}" for ip in ips[:3]]
        self.advice = ThreadingHTTPServer((f"{self.net}.200", 0), Advice)
        threading.Thread(target=self.advice.serve_forever, daemon=True).start()
        advice = "%s:%d" % self.advice.server_address
        common = dict(BASE, seeds=seeds, port_range=[inner, inner + 15], advice=advice)
        self.managers, self.callers, self.ready, self.gateways = [], [], [], []
        try:
            self.start(ips, inner, control, common, gateways)
        except BaseException:
            self.close()
            raise

    def start(self, ips, inner, control, common, gateways):
        for number, ip in enumerate(ips):
            fields = dict(common, node=f"core-a-{number + 1}", ip=ip, data_dir=str(self.folder / f"disk-{number + 1}"),
                          bind_addrs={"control": f"{ip}:{control}"})
            self.managers.append(self.program("manager", fields))
        for number in range(gateways):
            ip = f"{self.net}.{20 + number}"
            front, ready = [port for port in free_ports(ip, 3) if port != inner][:2]
            fields = dict(common, node=f"front-a-{number + 1}", ip=ip,
                          bind_addrs={"frontend": f"{ip}:{front}", "ready": f"{ip}:{ready}"})
            self.gateways.append(self.program("gateway", fields))
            self.callers.append((ip, front))
            self.ready.append((ip, ready))

    def program(self, role, fields):
        words = shlex.split(self.deploy["roles"][role]["run"])
        if not (ROOT / words[0]).exists():
            raise CannotRun(f"{words[0]} isn't built")
        template = (ROOT / self.deploy["roles"][role]["template"]).read_text(encoding="utf-8")
        file = self.folder / f"{fields['node']}.conf"
        file.write_text(render(template, fields), encoding="utf-8")
        words = [str(file) if word == "/etc/yuccawheel/settings.conf" else word for word in words]
        process = Process(words, self.folder / f"{fields['node']}.log")
        self.processes.append(process)
        return process

    def worker(self, name, kind="a", rack="r1", cpu=16000, service="svc", linked=False):
        """Starts an executor. One that is linked is called, and calls, through `self.links[name]`."""
        ip = f"{self.net}.{100 + len(self.workers)}"
        port = free_ports(ip, 1)[0]
        control, said = self.control, f"{ip}:{port}"
        if linked:
            links = [Link((ip, 0), (ip, port)), *(Link((ip, 0), address) for address in self.control)]
            self.links[name] = links
            said = "%s:%d" % links[0].address
            control = [link.address for link in links[1:]]
        control = ",".join(f"{at[0]}:{at[1]}" for at in control)
        process = Process([sys.executable, HERE / "worker.py", ip, port, said, name, service, kind, rack, cpu, control,
                           self.record_file], self.folder / f"{name}.log")
        self.processes.append(process)
        self.workers[name] = process
        return process

    def note(self, event, **fields):
        with open(self.record_file, "a", encoding="utf-8") as file:
            file.write(json.dumps({"t": round(time.time(), 3), "who": "case", "event": event, **fields}) + "\n")

    def events(self, **wanted):
        lines = [json.loads(line) for line in self.record_file.read_text(encoding="utf-8").splitlines()]
        return [line for line in lines if all(line.get(key) == value for key, value in wanted.items())]

    def call(self, address, method, path, body=None, headers=None, timeout=3.0):
        """Returns the status and the body of the answer; status 0 if there is none."""
        connection = http.client.HTTPConnection(*address, timeout=timeout)
        try:
            connection.request(method, path, body, headers or {})
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def put(self, config):
        """Sends a configuration to the managers in turn, as an operator does. Returns whether it was acknowledged."""
        body = json.dumps(config)
        for address in self.control:
            status, answer = self.call(address, "POST", "/config/put", body, {"Content-Type": "application/json"})
            self.note("config", version=config["version"], routes=len(config["routes"]), bytes=len(body),
                      to=address[0], status=status)
            if status == 200:
                return True
            if status in (400, 409, 412, 413, 422):
                return False
        return False

    def job(self, method, key, body=None, gateway=0, prefix=PREFIX):
        headers = {"Host": HOST, "Content-Type": "application/json", "Yuccawheel-Deadline-Ms": "3000"}
        status, answer = self.call(self.callers[gateway], method, prefix + key, body, headers, timeout=4.0)
        self.note("request", method=method, job=key, status=status, answer=answer.decode(errors="replace"))
        return status, answer

    def submit(self, key, job, prefix=PREFIX):
        def accepted():
            return self.job("POST", key, json.dumps(job), prefix=prefix)[0] == 200

        self.wait(accepted, f"job {key} is accepted", 20)

    def state(self, key):
        status, answer = self.job("GET", key)
        return json.loads(answer)["state"] if status == 200 else status

    def wait(self, condition, what, limit_s, step_s=0.2):
        end = time.monotonic() + limit_s
        while not (found := condition()):
            if time.monotonic() > min(end, self.begin + LIMIT_S):
                raise CannotRun(f"waited for {limit_s} s: {what}")
            time.sleep(step_s)
        return found

    def wait_ready(self, config):
        self.wait(lambda: self.put(config), "the first configuration is acknowledged", 30, 0.5)
        for address in self.ready:
            self.wait(lambda at=address: self.call(at, "GET", "/readyz")[0] == 200, "a gateway is ready", 20)

    def close(self):
        with Process.lock:
            Process.is_over = True
        for process in self.processes:
            process.kill()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


def config(version, routes=(), attempts=3):
    """A configuration with the queue of the cases, without advice, and further routes."""
    queue = {"name": "queue", "host": HOST, "path_prefix": PREFIX, "route_type": "unsafe", "timeout_ms": 3000,
             "slo_ms": 1000, "priority": 0, "service": "svc", "attempts": attempts, "stretch": 3.0}
    service = {"name": "svc", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": False,
               "admission_control": False, "spare": False}
    return {"version": version, "routes": [queue, *routes], "services": [service],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def main(case, folder):
    """Runs `case(small)`, which returns what broke the rule, or nothing. Exits with 1, 0, or 2 if it can't run."""
    small, code = None, 2
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    try:
        small = Small(pathlib.Path(folder) / "record.txt")
        broken = case(small)
        small.note("verdict", trouble=TROUBLE, broken=broken)
        print(f"BROKEN: {broken}" if broken else "held")
        code = 1 if broken else 0
    except CannotRun as error:
        print(f"cannot run: {error}")
        if small:
            small.note("verdict", trouble=TROUBLE, cannot_run=str(error))
    finally:
        if small:
            small.close()
    sys.exit(code)
