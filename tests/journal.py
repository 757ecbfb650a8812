"""Reads the journal of the fake workers and checks it for violations of the platform's guarantees."""


class Record:
    """One line of the journal: an event of a task on a worker. `time` is in seconds of the boot clock."""

    def __init__(self, line):
        nanoseconds, self.kind, self.task, self.worker, self.incarnation, self.detail = line.split()
        self.time = int(nanoseconds) / 1e9
        self.index = tuple(self.task.split(".")[:2])


def read_journal(path):
    if not path.exists():
        return []
    lines = path.read_text().splitlines(keepends=True)
    return sorted((Record(line) for line in lines if line.endswith("\n")), key=lambda record: record.time)


def journal_faults(records):
    """Returns all violations in a journal: those recorded by the workers and tasks that ran twice at the same time."""
    faults = [f"{r.worker}: {r.detail} {r.task}" for r in records if r.kind == "violation"]
    running = {}
    for record in records:
        if record.kind == "start":
            other = running.get(record.index)
            if other:
                faults.append(f"{record.task} on {record.worker} while {other.task} runs on {other.worker}")
            running[record.index] = record
        elif record.kind == "end":
            current = running.get(record.index)
            if current and (current.task, current.worker) == (record.task, record.worker):
                del running[record.index]
    return faults


def check_journal(records):
    faults = journal_faults(records)
    if faults:
        raise AssertionError("\n".join(faults))
