"""Runs yuccactl against a cluster of daemons: submissions, conflicts, all queries, and failover to another entry."""

import json
import subprocess
import sys
import time
import unittest
import urllib.request

from cluster import BIN, ROOT, Cluster, text

SERVICE = """services:
  - name: preview
    team: studio
    replicas: {replicas}
    resources: {{cpu: 0.5, memory: 256MiB}}
    payload: "sleep: 'long' # é"
teams:
  - {{name: studio, guaranteed: {{cpu: 1.5, memory: 1GiB}}}}
"""
JOB = """batch:
  - {name: suite, team: studio, tasks: 3, run_time: 100ms, resources: {cpu: 1, memory: 256MiB}}
"""
UNPLACEABLE_JOB = """batch:
  - {name: huge, team: studio, tasks: 1, run_time: 1s, resources: {cpu: 1000, memory: 1TiB}}
"""
FAILING_JOBS = "batch:\n" + "".join(
    f"  - {{name: broken-{number}, team: studio, tasks: 2, run_time: 100ms, resources: {{cpu: 1, memory: 256MiB}}}}\n"
    for number in range(6)
)


class Operator:
    """Runs yuccactl against both entries of a cluster."""

    def __init__(self, cluster):
        self.folder = cluster.folder
        self.options = ["--token-file", str(cluster.folder / "token"), "--format", "json", "--interval", "100ms"]
        for vm in cluster.vms:
            self.options += ["--entry", text(vm.address["operator"])]

    def run(self, *arguments):
        done = subprocess.run(
            [BIN / "yuccactl", *arguments, *self.options], capture_output=True, check=False, text=True, timeout=120
        )
        lines = done.stdout.splitlines()[-1:] if arguments[0] == "watch" else [done.stdout]
        return done.returncode, json.loads(lines[0] if done.stdout else "null")

    def document(self, name, content):
        path = self.folder / name
        path.write_text(content)
        return str(path)

    def submit(self, name, content, *arguments):
        return self.run("submit", self.document(name, content), *arguments)


class YuccactlAgainstDaemons(unittest.TestCase):
    def test_commands_against_running_cluster(self):
        with Cluster({"a": 1, "b": 1}, stores=["a"]) as cluster:
            cluster.start()
            worker_processes = [cluster.workers(zone, 2) for zone in cluster.zones]
            operator = Operator(cluster)
            self.check_configuration(operator)
            self.check_jobs(operator)
            self.check_queries(operator)
            self.check_task_counts(operator)
            self.check_quarantine(operator, worker_processes)
            self.check_report(operator)
            self.check_traffic_by_kind(cluster.vms[0])
            # With the first entry killed, the second one serves the same commands.
            cluster.vms[0].entry.kill()
            self.assertEqual(operator.run("config")[1]["version"], 3)
            self.assertEqual(operator.submit("job.yaml", JOB)[0], 0)

    def check_configuration(self, operator):
        example = subprocess.run(
            [sys.executable, ROOT / "examples/bibliobus.py"], capture_output=True, check=True, text=True
        ).stdout
        code, answer = operator.submit("bibliobus.yaml", example, "--wait", "60s")
        self.assertEqual((code, answer["version"], len(answer["jobs"]), answer["resent"]), (0, 1, 3, False))
        self.assertEqual(operator.submit("preview.yaml", SERVICE.format(replicas=1))[0], 0)
        code, plan = operator.submit("preview.yaml", SERVICE.format(replicas=2), "--dry-run")
        self.assertEqual(code, 0)
        self.assertEqual({change["item"]: change["change"] for change in plan["changes"]},
                         {"service preview": "changed", "team studio": "unchanged"})
        # A submission that expects an older version than the one in force is refused as a conflict.
        code, answer = operator.submit("late.yaml", SERVICE.format(replicas=5), "--expected-version", "1")
        self.assertEqual((code, answer["answer"]["winner"]["version"]), (3, 2))
        self.assertEqual(operator.submit("preview.yaml", SERVICE.format(replicas=2))[1]["version"], 3)
        services = {service["name"]: service for service in operator.run("config")[1]["services"]}
        self.assertEqual(services["preview"]["replicas"], 2)

    def check_jobs(self, operator):
        code, answer = operator.submit("job.yaml", JOB)
        self.assertEqual(code, 0)
        code, _ = operator.run("watch", str(answer["jobs"][0]["id"]), "--wait", "100s")
        self.assertEqual(code, 0)
        self.assertEqual(operator.run("get", "suite")[1]["succeeded"], 3)
        self.assertEqual(operator.submit("never.yaml", UNPLACEABLE_JOB)[0], 0)
        self.assertIn("zones", operator.run("explain", "huge")[1])
        self.assertEqual(operator.run("cancel", "huge")[0], 0)
        self.assertEqual(operator.run("cancel", "huge")[0], 0)
        self.assertEqual(operator.run("get", "nothing-of-the-kind")[0], 1)

    def check_queries(self, operator):
        self.assertEqual(len(operator.run("workers")[1]["workers"]), 4)
        worker = operator.run("workers")[1]["workers"][0]["name"]
        self.assertEqual(operator.run("drain", worker)[0], 0)
        self.assertEqual(operator.run("undrain", worker)[0], 0)
        self.assertEqual(operator.run("drain", "no-such-vm")[0], 1)
        names = {job["name"] for job in operator.run("list")[1]["jobs"]}
        self.assertTrue({"suite", "preview", "route-plan"} <= names, names)
        for command in (["upstreams"], ["config", "status"], ["store", "status"], ["report", "--since", "1h"]):
            self.assertEqual(operator.run(*command)[0], 0, command)

    def wait_for_answer(self, operator, command, holds):
        """Repeats a command until `holds` accepts its answer, for about 30 s plus the commands; returns the answer."""
        answer = None
        for _ in range(300):
            answer = operator.run(*command)[1]
            if holds(answer):
                return answer
            time.sleep(0.1)
        self.fail(f"{command}: {answer}")

    def check_task_counts(self, operator):
        job = self.wait_for_answer(operator, ["get", "preview"], lambda job: job["running"] == 2)
        self.assertEqual((job["waiting"], job["tasks"]), (0, 2))
        wide = UNPLACEABLE_JOB.replace("huge", "wide").replace("tasks: 1", "tasks: 5")
        self.assertEqual(operator.submit("wide.yaml", wide)[0], 0)
        rows = {job["name"]: job for job in reversed(operator.run("list")[1]["jobs"])}  # newest first
        self.assertEqual([(rows[name]["running"], rows[name]["waiting"]) for name in ("wide", "preview", "suite")],
                         [(0, 5), (2, 0), (0, 0)])
        self.assertEqual(operator.run("cancel", "wide")[0], 0)

    def check_quarantine(self, operator, worker_processes):
        # Several jobs fail on each worker, but none on enough workers for the failures to count against the job.
        for process in worker_processes:
            process.command("fail * on")
        self.assertEqual(operator.submit("broken.yaml", FAILING_JOBS)[0], 0)
        answer = self.wait_for_answer(operator, ["workers"],
                                 lambda answer: any(row["state"] == "quarantined" for row in answer["workers"]))
        for process in worker_processes:
            process.command("fail * off")
        reasons = [row["reason"] for row in answer["workers"] if row["state"] == "quarantined"]
        self.assertRegex(reasons[0], "failures in a row counted, the last one of job .* tried again in [0-9]+ s")

    def check_report(self, operator):
        code, report = operator.run("report", "--since", "1h")
        self.assertEqual(code, 0)
        self.assertGreater(report["starts"], report["retries"])
        self.assertGreater(report["retries"], 0)
        self.assertTrue(report["retried"])
        self.assertGreaterEqual(report["wait_p99_ms"], report["wait_p50_ms"])
        self.assertGreater(report["packing_percent"], 0)
        rows = {(row["role"], row["node"]): row for row in report["daemons"]}
        self.assertEqual(sorted(role for role, _ in rows), ["entry", "entry", "scheduler", "scheduler", "store"])
        for row in rows.values():
            self.assertGreater(row["sent_bytes_per_s"], 0, row)
            self.assertGreater(row["resident_kib"], 0, row)

    def check_traffic_by_kind(self, vm):
        with urllib.request.urlopen(f"http://{text(vm.address['entry_health'])}/metrics", timeout=10) as answer:
            lines = [line.split() for line in answer.read().decode().splitlines() if line.startswith("yw_control_")]
        values = {name: int(value) for name, value in lines}
        for direction in ("sent", "received"):
            kinds = [value for name, value in values.items() if name.startswith(f"yw_control_kind_{direction}_bytes{{")]
            self.assertGreater(len(kinds), 3, values)
            self.assertEqual(sum(kinds), values[f"yw_control_{direction}_bytes"], values)


if __name__ == "__main__":
    unittest.main()
