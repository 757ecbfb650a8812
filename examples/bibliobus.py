#!/usr/bin/env python3
"""Mobile library vans: answers at the van door first, then the day's routes, then the catalogue."""

from datetime import timedelta

from yuccawheel import AllAtOnceJob, BatchJob, Configuration, Resources, Service, Team

configuration = Configuration(
    Team("desk", guaranteed=Resources(cpu=64, memory="256GiB")),
    Team("routes", guaranteed=Resources(cpu=128, memory="512GiB")),
    # Readers wait at the van door, so a replica is kept in reserve in each zone.
    Service(
        "loan-checks",
        "desk",
        Resources(cpu=2, memory="4GiB"),
        replicas=6,
        priority=90,
        urgent=True,
        max_disruption=1,
    ),
    # One task a van; all crates are packed from the same plan, so either all routes are planned or none.
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
    # A reservation booked twice would promise one book to two families.
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
