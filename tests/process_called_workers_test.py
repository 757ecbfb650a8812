"""Tests managers and a gateway as separate processes, with fakes of called workers and of the eligibility service."""

import http.client
import json
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "fakes"))
from called_worker import CalledWorker, EligibilityService  # noqa: E402
from cluster import (BIN, FAKE_HOST, Process, claim_network, free_addresses, request, running_elsewhere,  # noqa: E402
                     wait_until)

MANAGERS = 3
GATEWAY_HOST = 9
REFUSAL_S = 0.5  # Long enough for a task to be placed elsewhere.


def settings(role, ip, ports, seeds, folder, extra):
    lines = ["cluster: test", "zone: zone", f"node: {role}-{ip.rsplit('.', 1)[1]}", "listen:"]
    lines += [f'  {name}: "{ip}:{port}"' for name, port in ports.items()]
    lines += ["seeds:"] + [f'  - "{seed}"' for seed in seeds] + extra
    file = folder / f"{role}-{ip}.yaml"
    file.write_text("\n".join(lines) + "\n", encoding="utf-8")
    return file


class CalledWorkersCase(unittest.TestCase):
    """Three managers and a gateway. Subclasses may lower what one of these processes may have open."""

    max_open_files = None
    worker_count = 3

    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="yw-called-"))
        self.addCleanup(shutil.rmtree, self.folder, True)
        net, claim = claim_network()
        self.addCleanup(claim.close)
        self.ips = [f"{net}.{number}" for number in range(1, MANAGERS + 1)]
        self.gateway_ip = f"{net}.{GATEWAY_HOST}"
        inner, control = (address[1] for address in free_addresses(self.ips[0], 2))
        self.control = [(ip, control) for ip in self.ips]
        self.caller, self.ready = free_addresses(self.gateway_ip, 2)
        self.seeds = [f"{ip}:{control}" for ip in self.ips]
        self.service = EligibilityService(f"{net}.{FAKE_HOST}")
        self.addCleanup(self.service.close)
        self.managers = []
        for ip in self.ips:
            extra = ["new_cluster: true", f"data_dir: {self.folder / ip}"]
            file = settings("manager", ip, {"inner": inner, "control": control}, self.seeds, self.folder, extra)
            self.managers.append(self.daemon("yw-manager", f"manager-{ip}", file))
        ports = {"inner": inner, "caller": self.caller[1], "health": self.ready[1]}
        extra = ['eligibility_service: "%s:%d"' % self.service.address, "drain_delay: 0s"]
        self.gateway_file = settings("gateway", self.gateway_ip, ports, self.seeds, self.folder, extra)
        self.gateway = self.daemon("yw-gateway", "gateway", self.gateway_file)
        wait_until(lambda: self.call(self.ready, "GET", "/readyz")[0] == 200, "the gateway is ready")
        wait_until(lambda: self.put(1) == 200, "the configuration is accepted")
        self.workers = [CalledWorker(f"{net}.{FAKE_HOST}", self.control, f"i-{number}")
                        for number in range(self.worker_count)]
        for worker in self.workers:
            self.addCleanup(worker.close)

    def daemon(self, program, name, file):
        process = Process(name, [BIN / program, "--settings", file], self.folder, max_open_files=self.max_open_files)
        self.addCleanup(process.kill)
        return process

    @staticmethod
    def call(address, method, path, body=None, headers=None):
        try:
            status, _, answer = request(address, method, path, body, headers, timeout=5)
            return status, answer
        except (OSError, http.client.HTTPException):
            return 0, b""

    def put(self, version, service="service", attempts=3):
        route = {"name": "queue", "host": "host.example", "path_prefix": "/jobs/", "route_type": "unsafe",
                 "timeout_ms": 3000, "slo_ms": 500, "priority": 0, "service": service, "attempts": attempts,
                 "stretch": 2.0, "advice": {"decision_ms": 5.0, "period_ms": 0.1, "valid_ms": 2000}}
        body = json.dumps({"version": version, "routes": [route], "services": [{"name": "service"}], "limits": {}})
        statuses = [self.call(address, "POST", "/config/put", body)[0] for address in self.control]
        return 200 if 200 in statuses else statuses[0]

    def job(self, method, key, body=None):
        headers = {"Host": "host.example", "Content-Type": "application/json"}
        return self.call(self.caller, method, f"/jobs/{key:016x}", body, headers)

    def submit(self, key, steps, payload="work"):
        body = json.dumps({"task_spec": payload, "steps": steps})
        wait_until(lambda: self.job("POST", key, body)[0] == 200, f"job {key} is accepted")

    def state(self, key):
        status, answer = self.job("GET", key)
        return json.loads(answer)["state"] if status == 200 else status

    def wait_state(self, key, state):
        wait_until(lambda: self.state(key) == state, f"job {key} is {state}")

    def leader(self):
        """Returns the manager that is the leader according to its log."""
        def find():
            leading = [manager for manager in self.managers if manager.child.poll() is None
                       and manager.log_text().rfind("event=leading ") > manager.log_text().rfind("event=leading_ended")]
            return leading[0] if len(leading) == 1 else None

        return wait_until(find, "one manager leads")

    def starts(self):
        return [start for worker in self.workers for start in worker.starts]


class DoubleRuns:
    """Observes workers, and lists the tasks that are started while they run on another one."""

    def __init__(self, workers):
        self.found = []
        self._workers = workers
        lock = threading.RLock()
        for worker in workers:
            worker.lock = lock
            worker.observer = self

    def started(self, worker, task):
        for other in running_elsewhere(self._workers, worker, task):
            self.found.append(f"{task} is started on {worker.name} while it runs on {other.name}")

    def ended(self, worker, number, task, outcome):
        pass

    def acknowledged(self, worker, last_seen):
        pass

    def lapsed(self, worker):
        pass


class CalledWorkersTest(CalledWorkersCase):
    def test_jobs_run_once_through_a_change_of_leader(self):
        step = {"count": 4, "cpu": 1000, "mem_mb": 100, "estimated_ms": 300}
        for key in range(1, 11):
            self.submit(key, [step, dict(step, after=[0], gang=True)])
        self.leader().kill()
        for key in range(11, 21):
            self.submit(key, [step])
        for key in range(1, 21):
            self.wait_state(key, "completed")
        tasks = [task for task, _ in self.starts()]
        self.assertEqual(len(tasks), 10 * 8 + 10 * 4, "without a lost worker, every task runs once")
        self.assertEqual(len(set(tasks)), len(tasks))
        self.assertGreater(self.service.queries, 0)
        self.assertEqual(self.state(99), 410)

    def test_cancelled_job_stops(self):
        for worker in self.workers:
            worker.run_s = 60
        self.submit(1, [{"count": 3, "cpu": 1000, "mem_mb": 100, "estimated_ms": 60000}])
        wait_until(lambda: len(self.starts()) == 3, "all tasks run")
        self.assertEqual(self.job("DELETE", 1)[0], 200)
        wait_until(lambda: not any(worker.runs for worker in self.workers), "all tasks are stopped")
        self.assertEqual(self.state(1), "cancelled")

    def test_every_manager_has_the_newest_configuration_after_restarts(self):
        self.assertEqual(self.put(7), 200)
        self.assertEqual(self.put(5), 200)
        self.assertEqual(self.put(9, service="unknown"), 400)
        for manager in self.managers:
            manager.kill()
        for manager in self.managers:
            manager.start()
        for address in self.control:
            answer = wait_until(lambda at=address: self.read_configuration(at), "a configuration is read")
            self.assertEqual(answer["version"], 7)

    def read_configuration(self, address):
        status, answer = self.call(address, "GET", "/config/get")
        return json.loads(answer) if status == 200 else None

    def test_sighup_reloads_settings_and_ends_no_process(self):
        text = self.gateway_file.read_text(encoding="utf-8")
        self.gateway.signal(signal.SIGHUP)
        self.gateway_file.write_text(text.replace(f'  - "{self.seeds[2]}"\n', ""), encoding="utf-8")
        wait_until(lambda: "event=settings_reloaded" in self.gateway.log_text(), "settings are reloaded")
        self.gateway_file.write_text(text + "no_such_key: 1\n", encoding="utf-8")
        wait_until(lambda: "event=settings_faulty" in self.gateway.log_text(), "faulty settings are logged")
        for manager in self.managers:
            manager.signal(signal.SIGHUP)
        self.submit(1, [{"count": 1, "cpu": 1000, "mem_mb": 100, "estimated_ms": 300}])
        self.wait_state(1, "completed")
        self.assertEqual([manager.child.poll() for manager in self.managers], [None] * MANAGERS)

    def test_invalid_requests_are_refused_and_unreachable_managers_reported(self):
        host = {"Host": "host.example"}
        self.assertEqual(self.call(self.caller, "GET", "/other/", None, host)[0], 404)
        self.assertEqual(self.job("POST", 1, "not json")[0], 400)
        self.assertEqual(self.job("POST", 1, json.dumps({"task_spec": "", "steps": []}))[0], 400)
        self.assertEqual(self.state(1), 410)
        for manager in self.managers:
            manager.kill()
        status, headers, _ = request(self.caller, "POST", "/jobs/" + "0" * 15 + "2",
                                     json.dumps({"task_spec": "", "steps": [{"count": 1}]}), host, timeout=10)
        self.assertIn(status, (503, 504))
        self.assertGreaterEqual(int(headers["Retry-After"]), 1)

    # Guards against gateways that end again and again after one report of another writer: its id was not UTF-8, so that
    # queries about the worker could not be written.
    def test_report_with_an_unreadable_id_ends_no_process(self):
        self.submit(1, [{"count": 1, "cpu": 1000, "mem_mb": 100, "estimated_ms": 300}])
        self.wait_state(1, "completed")
        report = {"service": "service", "address": "127.0.0.1:9", "zone": "zone", "state": "ready",
                  "capacity": {"cpu": 64000, "mem_mb": 65536}, "labels": ["kind", "rack"], "clock_ms": 1, "seq": 1,
                  "born": 1}
        body = json.dumps(report).encode()
        head = b"POST /instances/i-\xc3\x28\xff/heartbeat HTTP/1.1\r\nHost: control\r\nConnection: close\r\n"
        for address in self.control:
            with socket.create_connection(address, timeout=5) as connection:
                connection.sendall(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
                self.assertIn(b" 400 ", connection.recv(4096).split(b"\r\n")[0])
        for key in (2, 3):
            self.submit(key, [{"count": 4, "cpu": 1000, "mem_mb": 100, "estimated_ms": 300}])
            self.wait_state(key, "completed")
        self.assertIsNone(self.gateway.child.poll())
        self.assertEqual([manager.child.poll() for manager in self.managers], [None] * MANAGERS)

    # Guards against an overload that feeds itself: a follower that waits for a busy leader leaves the report unanswered,
    # and the worker sends it to the next manager, which passes it on as well.
    def test_followers_acknowledge_reports_while_the_leader_is_busy(self):
        report = json.dumps({"service": "service", "address": "127.0.0.1:9", "zone": "zone", "state": "ready",
                             "capacity": {"cpu": 1000, "mem_mb": 1000}, "labels": ["kind", "rack"], "clock_ms": 1,
                             "seq": 1, "born": 1})
        answers = []
        for _ in range(20):  # Another leader may be elected before the follower answers.
            leader = self.managers.index(self.leader())
            self.managers[leader].pause()
            status, answer = self.call(self.control[leader - 1], "POST", "/instances/i-9/heartbeat", report)
            self.managers[leader].resume()
            answers.append((status, answer))
            if status == 200 and json.loads(answer)["heartbeat_addr"] == "%s:%d" % self.control[leader]:
                return
        self.fail(f"no follower acknowledged a report: {answers}")

    def trace(self, key):
        """Returns the trace of a job that yuccactl extracts from the logs: (event, fields) in order of time."""
        logs = sorted(str(file) for file in self.folder.glob("*.log"))
        answer = subprocess.run([BIN / "yuccactl", "trace", f"{key:016x}", *logs, "--format", "json"],
                                capture_output=True, text=True, timeout=30)
        return [(line["event"], line["fields"]) for line in json.loads(answer.stdout)] if answer.returncode == 0 else []

    def wait_trace(self, key, event, **fields):
        """Waits until the trace has an event with these fields, since logs are written with a delay. Returns the
        positions of its lines in the trace."""
        return wait_until(lambda: [place for place, (name, found) in enumerate(self.trace(key))
                                   if name == event and fields.items() <= found.items()],
                          f"the trace of {key} has {event} {fields}")

    def test_logs_show_why_a_job_was_refused(self):
        for manager in self.managers:
            manager.kill()
        body = json.dumps({"task_spec": "work", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 100}]})
        self.assertIn(self.job("POST", 1, body)[0], (503, 504))
        self.wait_trace(1, "request_given_up", connected="false")
        self.assertNotIn("job_accepted", [event for event, _ in self.trace(1)])

    def test_logs_show_that_a_silent_worker_delayed_a_job(self):
        for worker in self.workers:
            worker.run_s = 2
        self.submit(1, [{"count": 1, "cpu": 1000, "mem_mb": 100, "estimated_ms": 300}])
        lost = wait_until(lambda: [worker for worker in self.workers if worker.starts], "the task is started")[0]
        lost.close()
        self.wait_state(1, "completed")
        silent = self.wait_trace(1, "worker_does_not_answer", worker=lost.name)[0]
        given_up = self.wait_trace(1, "worker_given_up", worker=lost.name, reason="lease_over")[0]
        again = self.wait_trace(1, "task_placed", run="2")[0]
        end = self.wait_trace(1, "job_ended", phase="completed")[0]
        self.assertEqual(sorted([silent, given_up, again, end]), [silent, given_up, again, end])
        fields = self.trace(1)[end][1]
        self.assertGreater(int(fields["after_ms"]), int(fields["objective_ms"]))

    def test_logs_show_that_a_job_failed_through_its_own_tasks(self):
        for worker in self.workers:
            worker.outcome = "failed"
        self.submit(1, [{"count": 1, "cpu": 1000, "mem_mb": 100, "estimated_ms": 300}])
        self.wait_state(1, "failed")
        end = self.wait_trace(1, "job_ended", phase="failed")[0]
        ends = self.wait_trace(1, "task_ended", how="failed")
        self.assertEqual(len(ends), 3, "one for each allowed attempt")
        self.assertLess(ends[-1], end)

    # Guards against requests that a gateway reads while it only waits for its peers to hear that it leaves: they were
    # lost when it ended.
    def test_requests_on_open_connections_are_answered_until_the_gateway_ends(self):
        connection = http.client.HTTPConnection(*self.caller, timeout=5)
        self.addCleanup(connection.close)

        def ask():
            connection.request("GET", "/jobs/0000000000000001", None, {"Host": "host.example"})
            answer = connection.getresponse()
            return answer.status, answer.read()

        self.assertEqual(ask()[0], 410)
        for manager in self.managers:
            manager.pause()  # They don't hear it, so that the gateway waits.
        self.gateway.signal(signal.SIGTERM)
        wait_until(lambda: "event=drain_finished" in self.gateway.log_text(), "the drain has ended")
        self.assertEqual(ask()[0], 503)
        self.assertEqual(self.gateway.child.wait(5), 0)
        for manager in self.managers:
            manager.resume()

    def start_one_task(self, key, run_s):
        """Submits a job of one task and waits until it runs. Returns the worker that runs it."""
        for worker in self.workers:
            worker.run_s = run_s
        self.submit(key, [{"count": 1, "cpu": 1000, "mem_mb": 100, "estimated_ms": 300}])
        start = (f"{key:016x}.0.0.0", 1)
        return wait_until(lambda: next((worker for worker in self.workers if start in worker.starts), None),
                          "the task is started")

    # Guards against a task that runs twice at once: the runs of a worker that said that it leaves were placed elsewhere
    # while it went on, as the acknowledgement was still on its way.
    def test_tasks_of_a_worker_that_leaves_start_nowhere_else_before_they_end(self):
        doubles = DoubleRuns(self.workers)
        leaving = self.start_one_task(1, run_s=3)
        leaving.silent = True
        leaving.send_report("leave", {"born": leaving.born})
        self.wait_state(1, "completed")
        self.assertEqual(doubles.found, [])

    # Guards against a task that runs twice at once: its start order was sent again after the connection had been closed
    # without an answer, and the refusal of the second one was taken for both.
    def test_task_whose_start_was_carried_out_unanswered_and_then_refused_starts_nowhere_else(self):
        self.start_one_task(1, run_s=0.1)  # Leaves connections open.
        self.wait_state(1, "completed")
        doubles = DoubleRuns(self.workers)
        lossy = []

        def lose_first_answer(worker):
            original = worker.carry_out

            def carry_out(path, body):
                answer = original(path, body)
                if path == "/run-start" and not lossy:
                    lossy.append(worker)
                    worker.refused_share = worker.unanswered_share = 1.0
                return answer

            worker.carry_out = carry_out

        for worker in self.workers:
            lose_first_answer(worker)
        worker = self.start_one_task(2, run_s=3)
        time.sleep(REFUSAL_S)
        worker.refused_share = worker.unanswered_share = 0.0
        self.wait_state(2, "completed")
        self.assertEqual(doubles.found, [])

    def test_stopped_processes_exit_with_success(self):
        self.assertEqual(self.gateway.terminate(), 0)
        for manager in self.managers:
            self.assertEqual(manager.terminate(), 0)


if __name__ == "__main__":
    unittest.main()
