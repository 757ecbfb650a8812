#!/usr/bin/env python3
"""Example: vans of a mobile library, with an urgent service, an all-at-once job and two batch jobs."""

from datetime import timedelta

from yuccawheel import AllAtOnceJob, BatchJob, Configuration, Resources, Service, Team

configuration = Configuration(
    Team("desk", guaranteed=Resources(cpu=64, memory="256GiB")),
    Team("routes", guaranteed=Resources(cpu=128, memory="512GiB")),
    # Readers wait for the answer at the van, so a spare replica is kept in each zone.
    Service(
        "loan-checks",
        "desk",
        Resources(cpu=2, memory="4GiB"),
        replicas=6,
        priority=90,
        urgent=True,
        max_disruption=1,
    ),
    # One task per van. All crates are packed from the same plan, so the routes are planned all at once or not at all.
    AllAtOnceJob(
        "route-plan",
        "routes",
        Resources(cpu=4, memory="8GiB"),
        tasks=12,
        run_time=timedelta(minutes=20),
        deadline=timedelta(hours=4),
        priority=60,
        payload="plan --day tomorrow",
    ),
    BatchJob(
        "catalogue-rebuild",
        "routes",
        Resources(cpu=2, memory="6GiB"),
        tasks=40,
        run_time=timedelta(minutes=45),
        deadline=timedelta(hours=10),
        payload="rebuild --holdings",
    ),
    # Not repeatable: a reservation that ran twice would promise one book to two families.
    BatchJob(
        "school-reservations",
        "desk",
        Resources(cpu=1, memory="1GiB"),
        tasks=1,
        run_time=timedelta(minutes=5),
        repeatable=False,
        payload="reserve --schools",
    ),
)

print(configuration)
