#!/usr/bin/env python3
"""Example: calligraphy studios with urgent services, all-at-once jobs and a billing job that is not repeatable."""

from datetime import timedelta

from yuccawheel import AllAtOnceJob, BatchJob, Configuration, Resources, Service, Team

STUDIOS = ["antigua", "coban", "quetzal", "zacapa"]

configuration = Configuration()
for studio in STUDIOS:
    configuration.add(
        Team(studio, guaranteed=Resources(cpu=48, memory="192GiB", accelerators=1)),
        Service(
            f"preview-{studio}",
            studio,
            Resources(cpu=1, memory="2GiB"),
            replicas=2,
            priority=80,
            urgent=True,
        ),
        # The pieces of a suite share ink and paper settings, so they are rendered at the same time.
        AllAtOnceJob(
            f"suite-{studio}",
            studio,
            Resources(cpu=2, memory="4GiB"),
            tasks=8,
            run_time=timedelta(minutes=15),
            deadline=timedelta(hours=6),
            priority=40,
            payload=f"render --hand {studio}",
        ),
    )

configuration.add(
    BatchJob(
        "envelopes",
        "antigua",
        Resources(cpu=1, memory="1536MiB"),
        tasks=300,
        run_time=timedelta(seconds=90),
        payload="address --all-guests",
    ),
    BatchJob(
        "billing",
        "quetzal",
        Resources(cpu=1, memory="1GiB"),
        tasks=1,
        run_time=timedelta(minutes=10),
        repeatable=False,
        payload="bill --month",
    ),
)

print(configuration)
