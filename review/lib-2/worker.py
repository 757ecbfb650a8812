#!/usr/bin/env python3
"""A stand-in for one executor, as a process of its own.

Usage: worker.py IP PORT ADDRESS ID SERVICE KIND RACK CPU CONTROL,CONTROL,... RECORD
ADDRESS is what it says of itself.

The `task_spec` of a job is JSON: `run_ms` is how long a task works; without it, the task lasts. `fails_after_ms` lists when
the first runs end `failed` by the task's own fault. Orders, leases, fences, numbered ends and check-ins follow the pages.
Each event is appended to RECORD as a line of JSON. A restart of the process is a new lifetime under the same id, which
knows nothing of the earlier one.
"""

import asyncio
import http.client
import json
import sys
import threading
import time

MAX_HOLD_MS = 10_000
STOP_S = 0.2
HEARTBEAT_S = 1.5
MAX_LISTED = 500


class Worker:
    def __init__(self, address, name, service, kind, rack, cpu, control, record):
        self.address, self.name, self.service, self.kind, self.rack = address, name, service, kind, rack
        self.cpu, self.control, self.record = cpu, control, record
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.runs = {}  # Task -> [run, end of its work or None, end of its stop or 0, how it ends]
        self.ended, self.next_end, self.closed_runs = [], 1, {}
        self.fence, self.lease = 0, 0
        self.changed = asyncio.Event()
        self.sequence = 0

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    def note(self, event, **fields):
        line = json.dumps({"t": round(time.time(), 3), "who": self.name, "born": self.born, "event": event, **fields})
        with open(self.record, "a", encoding="utf-8") as file:
            file.write(line + "\n")

    def end(self, task, how):
        run = self.runs.pop(task)[0]
        self.closed_runs[task] = max(run, self.closed_runs.get(task, 0))
        self.ended.append([self.next_end, task, run, how, ""])
        self.note("ended", task=task, run=run, how=how, number=self.next_end)
        self.next_end += 1
        self.changed.set()

    async def watch(self):
        while True:
            now = time.monotonic()
            lapsed = bool(self.lease) and self.clock() > self.lease
            for task, (_, ends_at, stopping, how) in list(self.runs.items()):
                if lapsed:
                    self.end(task, "lapsed")
                elif stopping and now >= stopping:
                    self.end(task, "stopped")
                elif ends_at is not None and now >= ends_at:
                    self.end(task, how)
            if lapsed:
                self.lease = 0
            await asyncio.sleep(0.01)

    def extend(self, body):
        self.lease = max(self.lease, min(body.get("until_ms", 0), self.clock() + MAX_HOLD_MS))

    def order(self, path, body):
        answer = {"clock_ms": self.clock()}
        if body.get("fencing_token", 0) < self.fence:
            return 409, dict(answer, reason="fence")
        self.fence = body.get("fencing_token", 0)
        task, run = body["task"], body["run"]
        if path == "/run-stop":
            self.closed_runs[task] = max(run, self.closed_runs.get(task, 0))
            if task in self.runs and self.runs[task][0] <= run and not self.runs[task][2]:
                self.runs[task][2] = time.monotonic() + STOP_S
            return 200, answer
        if body["until_ms"] <= self.clock():
            return 409, dict(answer, reason="late")
        self.extend(body)
        if task in self.runs and self.runs[task][0] == run:
            return 200, answer
        if run <= self.closed_runs.get(task, 0) or task in self.runs:
            return 409, dict(answer, reason="old")
        work = json.loads(body["task_spec"])
        faults = work.get("fails_after_ms", [])
        run_ms = faults[run - 1] if run <= len(faults) else work.get("run_ms")
        ends_at = None if run_ms is None else time.monotonic() + run_ms / 1000
        self.runs[task] = [run, ends_at, 0, "failed" if run <= len(faults) else "done"]
        self.note("started", task=task, run=run)
        return 200, answer

    async def hold(self, body):
        if body.get("fencing_token", 0) < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fence = body.get("fencing_token", 0)
        self.extend(body)
        for number, task, run, how, _ in self.ended:
            if number <= body.get("last_seen", 0):
                self.note("noted", task=task, run=run, how=how, number=number)
        self.ended = [row for row in self.ended if row[0] > body.get("last_seen", 0)]
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        running = [[task, run[0], "", 100, 1000] for task, run in self.runs.items()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "ended": self.ended[:MAX_LISTED]}

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                fields = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:])}
                body = json.loads(await reader.readexactly(int(fields.get("content-length", 0))) or b"{}")
                path = head[0].split()[1]
                if fields.get("yuccawheel-expect-instance", self.name) != self.name:
                    status, answer = 421, {"clock_ms": self.clock()}
                elif path == "/hold":
                    status, answer = await self.hold(body)
                else:
                    status, answer = self.order(path, body)
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                             % (status, len(data), data))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def check_in(self):
        target = 0
        while True:
            self.sequence += 1
            body = json.dumps({
                "service": self.service, "address": self.address, "zone": "a", "version": "v1", "slots": 8,
                "state": "ready", "cold_remaining_ms": 0, "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0},
                "labels": [self.kind, self.rack], "clock_ms": self.clock(), "seq": self.sequence, "born": self.born})
            for _ in self.control:
                connection = http.client.HTTPConnection(*self.control[target], timeout=1)
                try:
                    connection.request("POST", f"/instances/{self.name}/heartbeat", body,
                                       {"Content-Type": "application/json"})
                    if connection.getresponse().status == 200:
                        break
                except (OSError, http.client.HTTPException):
                    pass
                finally:
                    connection.close()
                target = (target + 1) % len(self.control)
            time.sleep(HEARTBEAT_S)


async def main():
    ip, port, address, name, service, kind, rack, cpu, control, record = sys.argv[1:]
    addresses = [(at.rsplit(":", 1)[0], int(at.rsplit(":", 1)[1])) for at in control.split(",")]
    worker = Worker(address, name, service, kind, rack, int(cpu), addresses, record)
    server = await asyncio.start_server(worker.serve, ip, int(port))
    worker.note("up")
    threading.Thread(target=worker.check_in, daemon=True).start()
    async with server:
        await worker.watch()


asyncio.run(main())
