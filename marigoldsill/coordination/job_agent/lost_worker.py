"""Ends the runs of a lost worker and marks those that may have crashed it."""

from marigoldsill.coordination.held_runs import crash_suspects
from marigoldsill.coordination.held_runs import held_runs
from marigoldsill.coordination.job_agent import agent_metrics
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import logs


def end_runs(
    worker: ttypes.PoolWorker,
    held: held_runs.HeldRuns,
    *,
    unresponsive_s: float,
) -> list[ttypes.RunEnd]:
    """Logs and counts the loss of a worker, and returns the ends of its runs.

    Args:
        worker: The incarnation that has ended.
        held: The runs that it may have.
        unresponsive_s: Time since its last answer.
    """
    ages_s = held.min_ages_s()
    ages_ms = {key: int(1000 * age_s) for key, age_s in ages_s.items()}
    # A draining worker shuts down as planned, so no run is suspected.
    suspects = (
        frozenset() if worker.draining else crash_suspects.suspects(ages_s)
    )
    startups = crash_suspects.startups(ages_s)
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
            # The worker may have crashed before it began a run without an answer.
            suspects_count=(
                len(suspects)
                if (task, run) in suspects and held.has_begun((task, run))
                else 0
            ),
            age_ms=age_ms,
            has_begun=held.has_begun((task, run)),
            # No shutdown is planned for the moment in which a run begins.
            is_excused=worker.draining and (task, run) not in startups,
        )
        for (task, run), age_ms in ages_ms.items()
    ]
