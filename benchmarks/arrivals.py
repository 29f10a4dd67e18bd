"""Generates the services and the arriving batch jobs of a scenario."""

import random

from benchmarks import scenarios
from marigoldsill.protocol.generated import ttypes

GIB = 1 << 30
START_UNIX_MS = 1_800_000_000_000
_BACKLOG_JOBS_COUNT = 60


def generate(
    scenario: scenarios.Scenario, random_source: random.Random
) -> list[tuple[float, ttypes.BatchJob]]:
    """Returns jobs with arrival times, latest first, the same for any policy."""
    families = scenario.families
    mean_work_core_s = sum(f.share * f.cores * f.run_time_s for f in families)
    rate_per_s = scenario.offered_cores / mean_work_core_s
    arrivals, at_s = [], 0.0
    while at_s < scenario.duration_s:
        family = random_source.choices(families, [f.share for f in families])[0]
        deadline_s = 0.0
        if random_source.random() < scenario.deadline_share:
            deadline_s = at_s + random_source.uniform(2, 4) * (
                family.run_time_s
            )
        arrivals.append((at_s, _make_job(family, len(arrivals), deadline_s)))
        # The first jobs are a backlog; the others arrive at a steady rate.
        if len(arrivals) > _BACKLOG_JOBS_COUNT:
            at_s += random_source.expovariate(rate_per_s)
    return arrivals[::-1]


def make_service(spec: scenarios.ServiceSpec) -> ttypes.Service:
    """Returns a service as its team declares it."""
    return ttypes.Service(
        name=spec.name,
        resources=ttypes.Resources(spec.cores * 1000, 8 * GIB, 0),
        instances_count=spec.instances_count,
        latency_target_ms=spec.target_ms,
    )


def _make_job(
    family: scenarios.JobFamily, number: int, deadline_s: float
) -> ttypes.BatchJob:
    deadline_unix_ms = 0
    if deadline_s:
        deadline_unix_ms = START_UNIX_MS + int(deadline_s * 1000)
    return ttypes.BatchJob(
        name=f"{family.name}-{number}",
        resources=ttypes.Resources(
            int(1000 * family.cores * family.declared_ratio), 2 * GIB, 0
        ),
        run_time_ms=int(1000 * family.run_time_s * family.declared_ratio),
        deadline_unix_ms=deadline_unix_ms,
        checkpointable=family.checkpointable,
    )
