"""Runs two availability zones with fake workers, submits an example, sends requests and prints where the tasks ran."""

import collections
import json
import pathlib
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests"))
from cluster import BIN, Cluster, text, wait_until  # noqa: E402
from journal import check_journal  # noqa: E402

EXAMPLE = ROOT / "examples" / "bibliobus.py"
SERVICE = "loan-checks"
JOBS = {"route-plan": 12, "catalogue-rebuild": 40, "school-reservations": 1}
WORKERS_PER_ZONE = 4
REQUESTS = 200


def main():
    with Cluster({"a": 1, "b": 1}) as cluster:
        cluster.start()
        print(f"zones a and b are ready")
        for zone in cluster.zones:
            cluster.workers(zone, WORKERS_PER_ZONE)
        wait_until(lambda: len(workers(cluster)) == 2 * WORKERS_PER_ZONE, "all workers have joined")
        submitted_at = submit_example(cluster)
        jobs = wait_until(lambda: finished_jobs(cluster), "all batch and all-at-once jobs have finished")
        serve_requests(cluster)
        names = {str(job["id"]): job["name"] for job in jobs}
        print_placements(cluster.records(), names, submitted_at)
        check_journal(cluster.records())
        stop(cluster)
    print("demo: all steps succeeded")


def yuccactl(cluster, *arguments):
    entries = [option for vm in cluster.vms for option in ("--entry", text(vm.address["operator"]))]
    command = [BIN / "yuccactl", *arguments, *entries, "--token-file", cluster.folder / "token"]
    done = subprocess.run([str(part) for part in command], capture_output=True, text=True, timeout=60, check=False)
    if done.returncode != 0:
        raise AssertionError(f"yuccactl {' '.join(map(str, arguments))}: {done.returncode}\n{done.stdout}{done.stderr}")
    return done.stdout


def workers(cluster):
    return json.loads(yuccactl(cluster, "workers", "--format", "json"))["workers"]


def submit_example(cluster):
    """Submits the example and returns the time of the submission on the boot clock, which the journal uses."""
    environment = {"PYTHONPATH": str(ROOT / "operator"), "PATH": "/usr/bin:/bin", "PYTHONDONTWRITEBYTECODE": "1"}
    document = subprocess.run([sys.executable, EXAMPLE], env=environment, capture_output=True, check=True).stdout
    file = cluster.folder / "example.yaml"
    file.write_bytes(document)
    submitted_at = time.clock_gettime(time.CLOCK_BOOTTIME)
    print(yuccactl(cluster, "submit", file))
    return submitted_at


def finished_jobs(cluster):
    """Returns all jobs once every task of the example's finite jobs has succeeded; None before that."""
    jobs = json.loads(yuccactl(cluster, "list", "--format", "json"))["jobs"]
    succeeded = {job["name"]: job["succeeded"] for job in jobs if job["name"] in JOBS}
    return jobs if succeeded == JOBS else None


def serve_requests(cluster):
    """Sends requests through the entries in turn and checks each response."""
    for vm in cluster.vms:
        wait_until(lambda vm=vm: cluster.call(SERVICE, "echo", vm=vm)[0] == 200, f"{vm.name} serves {SERVICE}")
    durations = []
    for number in range(REQUESTS):
        vm = cluster.vms[number % len(cluster.vms)]
        body = f"loan {number}".encode()
        headers = {"Yw-Repeatable": "yes", "Yw-Urgency": "urgent"}
        started = time.monotonic()
        status, answered, answer = cluster.call(SERVICE, "echo", "POST", body, headers, vm)
        durations.append(time.monotonic() - started)
        if (status, answered["Yw-Verdict"], answer) != (200, "ran", body):
            raise AssertionError(f"request {number}: {status} {answered['Yw-Verdict']} {answer!r}")
    durations.sort()
    print(f"{REQUESTS} complete responses; median {durations[REQUESTS // 2] * 1000:.1f} ms, "
          f"max {durations[-1] * 1000:.1f} ms")


def print_placements(records, names, submitted_at):
    tasks_by_worker = collections.defaultdict(collections.Counter)
    waits = collections.defaultdict(list)
    for record in records:
        if record.kind == "start":
            job = names[record.index[0]]
            tasks_by_worker[job][record.worker] += 1
            waits[job].append(record.time - submitted_at)
    print("\njob                   tasks  waited from submission to start   ran on")
    for job, workers_of_job in sorted(tasks_by_worker.items()):
        where = ", ".join(f"{worker} ({count})" for worker, count in sorted(workers_of_job.items()))
        span = f"{min(waits[job]):.2f} s to {max(waits[job]):.2f} s"
        print(f"{job:<20} {len(waits[job]):>6}  {span:<32}  {where}")


def stop(cluster):
    codes = {process.name: process.terminate() for process in reversed(cluster.processes)}
    print("\nstopped: " + ", ".join(f"{name} ({code})" for name, code in codes.items()))
    if any(code != 0 for code in codes.values()):
        raise AssertionError("a process exited with a non-zero code")


if __name__ == "__main__":
    main()
