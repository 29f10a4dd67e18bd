"""Ends the runs of a lost worker and marks those that may have crashed it."""

from collections.abc import Iterable
import dataclasses

from marigoldsill.coordination.held_runs import crash_suspects
from marigoldsill.coordination.held_runs import held_runs
from marigoldsill.coordination.job_agent import agent_metrics
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from marigoldsill.transport import logs


@dataclasses.dataclass(frozen=True, slots=True)
class _Loss:
    """What is known of the runs of a lost worker.

    Attributes:
        is_planned: Whether the worker announced that it drains, or its end.
        ages_ms: The minimum age of each run that may have been on it.
        had_begun: Runs that were probably on it as it ended.
        startups: Runs that may not have lived longer than a startup.
        suspects: Runs that may have crashed it.
        blamed: The suspects that certainly began, and were probably on it.
        unseen_ms: For how long each run may have been over at a crash, or -1.
    """

    is_planned: bool
    ages_ms: dict[task_names.RunKey, int]
    had_begun: set[task_names.RunKey]
    startups: frozenset[task_names.RunKey]
    suspects: frozenset[task_names.RunKey]
    blamed: frozenset[task_names.RunKey]
    unseen_ms: dict[task_names.RunKey, int]


def end_runs(
    worker: ttypes.PoolWorker,
    held: held_runs.HeldRuns,
    *,
    is_planned: bool,
    unlisted_s: float,
    lease_end_s: float,
) -> list[ttypes.RunEnd]:
    """Logs and counts the loss of a worker, and returns the ends of its runs.

    Args:
        worker: The incarnation that has ended.
        held: The runs that it may have.
        is_planned: Whether it announced that it drains, or its end.
        unlisted_s: Time since its last listing.
        lease_end_s: When the lease of its runs had certainly expired.
    """
    loss = _assess(held, is_planned=is_planned, lease_end_s=lease_end_s)
    agent_metrics.WORKER_LOSSES.labels(
        "planned" if is_planned else "unplanned"
    ).inc()
    logs.event(
        "worker_lost",
        level="WARNING",
        worker_id=worker.worker_id,
        draining=worker.draining,
        silent_ms=int(1000 * unlisted_s),
        runs_count=len(loss.ages_ms),
        youngest_ms=min(loss.ages_ms.values(), default=0),
        suspects_count=len(loss.suspects),
    )
    return [_end_of(key, worker.worker_id, loss) for key in loss.ages_ms]


def _assess(
    held: held_runs.HeldRuns, *, is_planned: bool, lease_end_s: float
) -> _Loss:
    ages_s = held.min_ages_s()
    had_begun = _begun_runs(held, ages_s, lease_end_s=lease_end_s)
    suspects = frozenset() if is_planned else crash_suspects.suspects(ages_s)
    # The worker may have crashed before it began a run without an answer.
    blamed = frozenset(filter(held.has_begun, suspects & had_begun))
    return _Loss(
        is_planned=is_planned,
        ages_ms={key: int(1000 * age_s) for key, age_s in ages_s.items()},
        had_begun=had_begun,
        startups=crash_suspects.startups(ages_s),
        suspects=suspects,
        blamed=blamed,
        unseen_ms=(
            {} if is_planned else {key: _unseen_ms(held, key) for key in ages_s}
        ),
    )


def _unseen_ms(held: held_runs.HeldRuns, key: task_names.RunKey) -> int:
    """Returns for how long a run may have been over at the crash; -1 if unknown."""
    seen_s = held.seen_s(key)
    if seen_s is None:
        return -1
    return int(1000 * held.contact.unseen_s(seen_s, now_s=clock.now_s()))


def _begun_runs(
    held: held_runs.HeldRuns,
    candidates: Iterable[task_names.RunKey],
    *,
    lease_end_s: float,
) -> set[task_names.RunKey]:
    """Returns the runs that were probably on the worker as it ended.

    They had begun, or their start request broke off, and neither were they stopped nor
    may their lease have expired by then.
    """
    if held.contact.ended_s(now_s=clock.now_s()) > lease_end_s:
        return set()
    return {
        key
        for key in candidates
        if (held.has_begun(key) or key in held.contact.broken_starts)
        and not held.is_stop_answered(key)
    }


def _end_of(
    key: task_names.RunKey, worker_id: str, loss: _Loss
) -> ttypes.RunEnd:
    task, run = key
    age_ms = loss.ages_ms[key]
    is_startup = key in loss.startups
    return ttypes.RunEnd(
        task=task,
        run=run,
        kind=(
            ttypes.RunEndKind.LOST
            if loss.is_planned
            else ttypes.RunEndKind.CRASHED
        ),
        detail=(
            f"worker {worker_id} is gone; the run was on it for "
            f"{age_ms} ms or more"
        ),
        suspects_count=len(loss.suspects) if key in loss.blamed else 0,
        age_ms=age_ms,
        has_begun=key in loss.had_begun,
        # No shutdown is planned for the moment in which a run begins.
        is_excused=loss.is_planned and not is_startup,
        has_worker_ended=loss.is_planned and is_startup,
        unseen_ms=loss.unseen_ms.get(key, -1),
    )
