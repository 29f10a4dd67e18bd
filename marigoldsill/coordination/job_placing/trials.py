"""Runs that show whether a worker on probation is healthy."""

from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.learning import worker_health
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables


def count_conclusive_runs(
    jobs: job_tables.JobTables,
    view: agents_module.AgentView,
    health: worker_health.WorkerHealth,
) -> int:
    """Counts the runs on a worker that will show whether it is healthy.

    These were granted while it was on probation. Long-running tasks never end, and tasks throttled to 0 make no progress. If they
    counted, a worker on probation would never get another run, while long-running tasks
    wait for its capacity.
    """
    return sum(
        health.is_probe(key)
        and _is_conclusive(jobs.step_of(key[0]), view.samples.get(key))
        for key in jobs.runs_by_agent.get(view.name, ())
    )


def _is_conclusive(
    step: ttypes.Step | None, sample: ttypes.RunSample | None
) -> bool:
    if step is None or step.long_running:
        return False
    return sample is None or sample.quota_percent > 0
