"""Teams, services, batch jobs and all-at-once jobs."""

from dataclasses import dataclass, fields
from datetime import timedelta
from typing import Optional, Union

from yuccawheel import checks
from yuccawheel.errors import FieldError

MAX_TASKS = 100_000
MAX_MILLI_CPU = 1_024_000
MAX_MEMORY_MIB = 16 * 1024 * 1024
MAX_ACCELERATORS = 64
MAX_TEAM_FACTOR = 10_000  # Limit of a team's guarantee, as a multiple of the limit of one task.
MAX_PAYLOAD_BYTES = 16 * 1024

Time = Union[timedelta, str]

CHECKS = {
    "name": checks.check_name,
    "team": checks.check_name,
    "replicas": checks.integer(1, MAX_TASKS),
    "tasks": checks.integer(1, MAX_TASKS),
    "run_time": checks.duration(timedelta(milliseconds=1), timedelta(days=30)),
    "priority": checks.integer(-100, 100),
    "urgent": checks.check_flag,
    "deadline": checks.duration(timedelta(seconds=1), timedelta(days=365)),
    "repeatable": checks.check_flag,
    "max_disruption": checks.integer(1, MAX_TASKS),
    "detached_for": checks.duration(timedelta(seconds=1), timedelta(days=1)),
    "payload": checks.text(MAX_PAYLOAD_BYTES),
}


@dataclass(frozen=True)
class Resources:
    """Cores, memory such as "16GiB", and whole accelerators."""

    cpu: Union[int, float]
    memory: str
    accelerators: int = 0


@dataclass(frozen=True)
class Team:
    """A team and its guaranteed resources in each zone."""

    name: str
    guaranteed: Resources

    def __post_init__(self):
        _check_field(self, "name", checks.check_name)
        _check_resources(self, "guaranteed", 0, MAX_TEAM_FACTOR)


@dataclass(frozen=True)
class _Job:
    """Common fields of services and jobs."""

    name: str
    team: str
    resources: Resources

    def __post_init__(self):
        for field in fields(self):
            value = getattr(self, field.name)
            if field.name != "resources" and not (value is None and field.default is None):
                _check_field(self, field.name, CHECKS[field.name])
        _check_resources(self, "resources", 1, 1)


@dataclass(frozen=True)
class Service(_Job):
    """Replicas that run until they are removed."""

    replicas: int
    priority: int = 0
    urgent: bool = False
    max_disruption: int = 1
    detached_for: Optional[Time] = None
    payload: str = ""

    def __post_init__(self):
        super().__post_init__()
        if self.max_disruption > self.replicas:
            raise FieldError(_title(self), "max_disruption", self.max_disruption, "at most the number of replicas")


@dataclass(frozen=True)
class BatchJob(_Job):
    """Tasks that start independently, each as soon as there is capacity for it."""

    tasks: int
    run_time: Time
    priority: int = 0
    urgent: bool = False
    deadline: Optional[Time] = None
    repeatable: bool = True
    detached_for: Optional[Time] = None
    payload: str = ""


@dataclass(frozen=True)
class AllAtOnceJob(BatchJob):
    """Tasks that all start together or not at all."""


def _title(owner):
    return f"{type(owner).__name__} {getattr(owner, 'name', '')!r}"


def _check_field(owner, name, check, value=None):
    value = getattr(owner, name) if value is None else value
    try:
        object.__setattr__(owner, name, check(value))
    except ValueError as error:
        raise FieldError(_title(owner), name, value, str(error)) from None


def _check_resources(owner, name, lowest, factor):
    amounts = getattr(owner, name)
    if not isinstance(amounts, Resources):
        raise FieldError(_title(owner), name, amounts, "Resources")
    checked = {
        "cpu": checks.cores(lowest, MAX_MILLI_CPU * factor),
        "memory": checks.memory(lowest, MAX_MEMORY_MIB * factor),
        "accelerators": checks.integer(0, MAX_ACCELERATORS * factor),
    }
    for field, check in checked.items():
        value = getattr(amounts, field)
        try:
            check(value)
        except ValueError as error:
            raise FieldError(_title(owner), f"{name}.{field}", value, str(error)) from None
