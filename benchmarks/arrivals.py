"""What a scenario declares: its services, and batch jobs as they arrive."""

import random

from benchmarks import scenarios
from marigoldsill.protocol.generated import ttypes

GB = 1 << 30
START_UNIX_MS = 1_800_000_000_000
_BACKLOG_COUNT = 60


def plan(
    scenario: scenarios.Scenario, source: random.Random
) -> list[tuple[float, ttypes.BatchJob]]:
    """Jobs with their times, the last first; the same for every decider."""
    families = scenario.families
    work_s = sum(f.share * f.cores * f.run_time_s for f in families)
    rate = scenario.offered_cores / work_s
    arrivals, at_s = [], 0.0
    while at_s < scenario.duration_s:
        family = source.choices(families, [f.share for f in families])[0]
        deadline_s = 0.0
        if source.random() < scenario.deadline_share:
            deadline_s = at_s + source.uniform(2, 4) * (family.run_time_s)
        arrivals.append((at_s, _job(family, len(arrivals), deadline_s)))
        # A backlog at the start, then a steady stream.
        if len(arrivals) > _BACKLOG_COUNT:
            at_s += source.expovariate(rate)
    return arrivals[::-1]


def service(spec: scenarios.ServiceSpec) -> ttypes.Service:
    """A service as its team declares it."""
    return ttypes.Service(
        name=spec.name,
        resources=ttypes.Resources(spec.cores * 1000, 8 * GB, 0),
        instances_count=spec.instances_count,
        latency_target_ms=spec.target_ms,
    )


def _job(
    family: scenarios.Family, number: int, deadline_s: float
) -> ttypes.BatchJob:
    deadline_unix_ms = 0
    if deadline_s:
        deadline_unix_ms = START_UNIX_MS + int(deadline_s * 1000)
    return ttypes.BatchJob(
        name=f"{family.name}-{number}",
        resources=ttypes.Resources(
            int(1000 * family.cores * family.declared_ratio), 2 * GB, 0
        ),
        run_time_ms=int(1000 * family.run_time_s * family.declared_ratio),
        deadline_unix_ms=deadline_unix_ms,
        checkpointable=family.checkpointable,
    )
