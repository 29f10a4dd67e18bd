"""Ends the runs of a lost worker and marks those that may have crashed it."""

from marigoldsill.coordination.held_runs import crash_suspects
from marigoldsill.coordination.held_runs import held_runs
from marigoldsill.coordination.job_agent import agent_metrics
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from marigoldsill.transport import logs


def end_runs(
    worker: ttypes.PoolWorker,
    held: held_runs.HeldRuns,
    *,
    is_planned: bool,
    unresponsive_s: float,
    lease_limit_s: float,
) -> list[ttypes.RunEnd]:
    """Logs and counts the loss of a worker, and returns the ends of its runs.

    Args:
        worker: The incarnation that has ended.
        held: The runs that it may have.
        is_planned: Whether it announced that it drains, or its end.
        unresponsive_s: Time since its last answer.
        lease_limit_s: The longest lease that it accepts.
    """
    had_begun = _begun_runs(held, lease_limit_s=lease_limit_s)
    ages_s = held.min_ages_s()
    ages_ms = {key: int(1000 * age_s) for key, age_s in ages_s.items()}
    suspects = frozenset() if is_planned else crash_suspects.suspects(ages_s)
    startups = crash_suspects.startups(ages_s)
    agent_metrics.WORKER_LOSSES.labels(
        "planned" if is_planned else "unplanned"
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
    if is_planned:
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
                if (task, run) in suspects & had_begun
                and held.has_begun((task, run))
                else 0
            ),
            age_ms=age_ms,
            has_begun=(task, run) in had_begun,
            # No shutdown is planned for the moment in which a run begins.
            is_excused=is_planned and (task, run) not in startups,
            has_worker_ended=is_planned and (task, run) in startups,
            unseen_ms=-1 if is_planned else _unseen_ms(held, (task, run)),
        )
        for (task, run), age_ms in ages_ms.items()
    ]


def _unseen_ms(held: held_runs.HeldRuns, key: task_names.RunKey) -> int:
    """Returns for how long a run may have been over at the crash; -1 if unknown."""
    seen_s = held.seen_s(key)
    if seen_s is None:
        return -1
    return int(1000 * held.contact.unseen_s(seen_s, now_s=clock.now_s()))


def _begun_runs(
    held: held_runs.HeldRuns, *, lease_limit_s: float
) -> set[task_names.RunKey]:
    """Returns the runs that were probably on the worker as it ended.

    They had begun, or their start request broke off, and neither were they stopped nor
    may their lease have expired by then.
    """
    if held.contact.silence_s(now_s=clock.now_s()) > lease_limit_s:
        return set()
    return {
        key
        for key in held.min_ages_s()
        if (held.has_begun(key) or key in held.contact.broken_starts)
        and not held.is_stop_answered(key)
    }
