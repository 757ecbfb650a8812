#!/usr/bin/env python3
"""Many called workers in one process. Usage: worker_farm.py IP MANAGER,MANAGER,... COUNT OUTPUT

The payload of a job says how its tasks run: `RUN_MS` or `RUN_MS/GANG_SIZE`. Members of a gang wait GANG_TIMEOUT_S for
the others. On SIGTERM the process writes what its workers saw to OUTPUT, as JSON, and ends."""

import asyncio
import collections
import json
import signal
import sys
import time

GANG_TIMEOUT_S = 3.0
REPORT_INTERVAL_S = 1.5
REPORT_TIMEOUT_S = 1.0
CPU = 16_000


async def read_message(reader):
    """Returns the first line and the body of an HTTP message, or None at the end of the stream."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.split("\r\n")
    length = next((int(line.split(":")[1]) for line in lines if line.lower().startswith("content-length:")), 0)
    return first, await reader.readexactly(length)


class Run:
    def __init__(self, number, payload):
        length, _, members = payload.partition("/")
        self.number = number
        self.run_s = int(length) / 1000
        self.members = int(members or 1)
        self.timer = None


class Worker:
    def __init__(self, farm, name):
        self.farm, self.name = farm, name
        self.started_at = time.monotonic()
        self.born = int(time.time() * 1000)
        self.runs = {}
        self.ended = []
        self.highest_ended_run = {}
        self.next_end = 1
        self.changed = asyncio.Event()
        self.sequence = 0
        self.address = None

    async def listen(self):
        server = await asyncio.start_server(self.serve, self.farm.ip, 0)
        self.address = server.sockets[0].getsockname()

    def clock(self):
        return int((time.monotonic() - self.started_at) * 1000)

    async def serve(self, reader, writer):
        try:
            while True:
                first, body = await read_message(reader)
                status, answer = await self.answer(first.split()[1], json.loads(body or "{}"))
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                             % (status, len(data), data))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, path, body):
        if path == "/hold":
            return await self.poll(body)
        task, number = body["task"], body["run"]
        answer = {"clock_ms": self.clock()}
        if path == "/run-stop":
            if task in self.runs and self.runs[task].number <= number:
                self.end(task, "stopped")
            self.highest_ended_run[task] = max(number, self.highest_ended_run.get(task, 0))
        elif number <= self.highest_ended_run.get(task, 0):
            return 409, dict(answer, reason="old")
        elif task not in self.runs:
            self.runs[task] = Run(number, body["task_spec"])
            self.farm.begin(self, task)
        return 200, answer

    async def poll(self, body):
        end = time.monotonic() + body.get("wait_ms", 0) / 1000
        self.ended = [row for row in self.ended if row[0] > body["last_seen"]]
        while not self.ended and time.monotonic() < end:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                pass
        running = [[task, run.number, "", 100] for task, run in self.runs.items()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "ended": self.ended[:500]}

    def end(self, task, outcome):
        run = self.runs.pop(task)
        if run.timer:
            run.timer.cancel()
        self.highest_ended_run[task] = max(run.number, self.highest_ended_run.get(task, 0))
        self.ended.append([self.next_end, task, run.number, outcome, ""])
        self.next_end += 1
        self.changed.set()
        self.farm.outcomes[outcome] += 1

    async def report(self):
        target, connection = 0, None
        while True:
            self.sequence += 1
            body = json.dumps({
                "service": "service", "address": "%s:%d" % self.address, "zone": "zone", "version": "v1", "slots": 8,
                "state": "ready", "cold_remaining_ms": 0, "labels": ["kind", "rack"],
                "capacity": {"cpu": CPU, "mem_mb": 32768, "gpu": 0},
                "clock_ms": self.clock(), "seq": self.sequence, "born": self.born}).encode()
            for _ in self.farm.managers:
                try:
                    if connection is None:
                        connection = await asyncio.wait_for(
                            asyncio.open_connection(*self.farm.managers[target]), REPORT_TIMEOUT_S)
                    reader, writer = connection
                    writer.write(b"POST /instances/%s/heartbeat HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s"
                                 % (self.name.encode(), len(body), body))
                    first, answer = await asyncio.wait_for(read_message(reader), REPORT_TIMEOUT_S)
                    if first.split()[1] == "200":
                        self.farm.reports += 1
                        named = json.loads(answer).get("heartbeat_addr")
                        if named and named != "%s:%d" % self.farm.managers[target]:
                            writer.close()
                            connection = None
                            target = self.farm.number_of(named)
                        break
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
                self.farm.failed_reports += 1
                if connection:
                    connection[1].close()
                connection = None
                target = (target + 1) % len(self.farm.managers)
            await asyncio.sleep(REPORT_INTERVAL_S)


class Farm:
    def __init__(self, ip, managers):
        self.ip, self.managers = ip, managers
        self.outcomes = collections.Counter()
        self.gangs = collections.defaultdict(list)  # Members that wait, by step and run
        self.reports = self.failed_reports = 0

    def number_of(self, address):
        ip, port = address.rsplit(":", 1)
        return self.managers.index((ip, int(port)))

    def begin(self, worker, task):
        run = worker.runs[task]
        loop = asyncio.get_running_loop()
        if run.members == 1:
            run.timer = loop.call_later(run.run_s, worker.end, task, "done")
            return
        members = self.gangs[(task.rsplit(".", 1)[0], run.number)]
        members.append((worker, task))
        run.timer = loop.call_later(GANG_TIMEOUT_S, worker.end, task, "alone")
        present = [(other, member) for other, member in members
                   if member in other.runs and other.runs[member].number == run.number]
        if len(present) == run.members:
            for other, member in present:
                other.runs[member].timer.cancel()
                other.runs[member].timer = loop.call_later(run.run_s, other.end, member, "done")

    def summary(self):
        return {"outcomes": self.outcomes, "reports": self.reports, "failed_reports": self.failed_reports}


async def main(ip, managers, count, output):
    farm = Farm(ip, managers)
    workers = [Worker(farm, f"i-{number}") for number in range(count)]
    for worker in workers:
        await worker.listen()
    tasks = [asyncio.create_task(worker.report()) for worker in workers]
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()
    for task in tasks:
        task.cancel()
    with open(output, "w", encoding="utf-8") as file:
        json.dump(farm.summary(), file)


if __name__ == "__main__":
    addresses = [(address.rsplit(":", 1)[0], int(address.rsplit(":", 1)[1])) for address in sys.argv[2].split(",")]
    asyncio.run(main(sys.argv[1], addresses, int(sys.argv[3]), sys.argv[4]))
