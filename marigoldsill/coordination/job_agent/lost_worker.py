"""Ends the runs of a lost worker and marks those that may have crashed it."""

from marigoldsill.coordination.held_runs import run_starts
from marigoldsill.coordination.job_agent import agent_metrics
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import logs


def end_runs(
    worker: ttypes.PoolWorker,
    starts: run_starts.RunStarts,
    *,
    unresponsive_s: float,
) -> list[ttypes.RunEnd]:
    """Logs and counts the loss of a worker, and returns the ends of its runs.

    Args:
        worker: The incarnation that has ended.
        starts: The runs started on it.
        unresponsive_s: Time since its last answer.
    """
    ages_ms = {
        key: int(1000 * age_s) for key, age_s in starts.min_ages_s().items()
    }
    # A draining worker shuts down as planned, so no run is suspected.
    suspects = frozenset() if worker.draining else starts.crash_suspects()
    startups = starts.startups()
    agent_metrics.WORKER_LOSSES.labels(
        "planned" if worker.draining else "unplanned"
    ).inc()
    logs.event(
        "worker_lost",
        level="WARNING",
        worker_id=worker.worker_id,
        draining=worker.draining,
        silent_ms=int(1000 * unresponsive_s),
        runs_count=len(ages_ms),
        youngest_ms=min(ages_ms.values(), default=0),
        suspects_count=len(suspects),
    )
    kind = ttypes.RunEndKind.CRASHED
    if worker.draining:
        kind = ttypes.RunEndKind.LOST
    return [
        ttypes.RunEnd(
            task=task,
            run=run,
            kind=kind,
            detail=(
                f"worker {worker.worker_id} is gone; the run was on it for "
                f"{age_ms} ms or more"
            ),
            suspects_count=len(suspects) if (task, run) in suspects else 0,
            age_ms=age_ms,
            # No shutdown is planned for the moment in which a run begins.
            is_excused=worker.draining and (task, run) not in startups,
        )
        for (task, run), age_ms in ages_ms.items()
    ]
