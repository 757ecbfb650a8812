"""Configuration documents for process tests, built with the operators' library."""

import json

import cluster as _cluster  # noqa: F401  (adds the operators' library to the path)
from yuccawheel import AllAtOnceJob, BatchJob, Configuration, Resources, Service, Team

TEAM = "desk"
SMALL = Resources(cpu=1, memory="1GiB")


def payload(**values):
    return json.dumps(values)


def team():
    return Team(TEAM, guaranteed=Resources(cpu=64, memory="256GiB"))


def service(name, replicas, detached_for="5s"):
    return Service(name, TEAM, SMALL, replicas=replicas, detached_for=detached_for)


def batch(name, tasks, run_ms=200, result="ok", detached_for="5s", **options):
    return BatchJob(name, TEAM, SMALL, tasks=tasks, run_time="1s", detached_for=detached_for,
                    payload=payload(run_ms=run_ms, result=result), **options)


def gang(name, tasks, run_ms=200, detached_for="5s"):
    return AllAtOnceJob(name, TEAM, SMALL, tasks=tasks, run_time="1s", detached_for=detached_for,
                        payload=payload(run_ms=run_ms))


def document(*items):
    return str(Configuration(*items))
