"""Decides from a task's losses whether it is suspected of crashes or given up.

Two mistakes are possible: a task that crashes its workers takes one after the other
with it, and a sound task on bad workers loses its job. So a few crashes that are typical
of a faulty task fail its job, and a larger number of any crashes. Two of these at least
must be known to have come after the begin of the run. It is not known where a start
request timed out, or the agent ended as well. Two of the few crashes must be known to
have come before the end of the run, too: a run may be done, and its worker crash before
the agent reads that. Losses without evidence that the worker has ended only steer
placement: an agent that is cut off or frozen causes them, too.

All functions read `JobTask.losses` and nothing else.
"""

from collections.abc import Iterable

from marigoldsill.protocol.generated import ttypes

# Number of workers that end under a task, at any age, at which its job fails.
CRASHES_LIMIT = 5
# How many of these workers must be known to have begun the run.
_BEGUN_CRASHES_MIN = 2
# Number of crashes at similar ages, of which the task is suspected, at which its job
# fails. It is lower for the only suspect of a crash: a worker may crash for another
# reason just after a start, but that is unlikely to happen on two workers in a row.
_SUSPECTED_CRASHES_LIMIT = 3
_SOLE_SUSPECT_CRASHES_LIMIT = 2
# Before how many of these crashes the run must be known to have been at work.
_AT_WORK_CRASHES_MIN = 2
# A run that may have been over for at most this long counts as at work at the crash.
_UNSEEN_LIMIT_MS = 25
# A task that crashes workers usually does so at a similar age each time, so crashes at a
# far lower age than the longest one had another cause. The margin covers the interval
# between two listings of the worker, by which a reported age may be too low.
_CRASH_AGE_RATIO = 2
_CRASH_AGE_MARGIN_MS = 1_500
# A run that has worked for so long shows that earlier crashes had another cause.
_LONG_RUN_MS = 600_000
# Number of early losses of begun runs from which a task is a suspect, whoever saw them.
_SUSPECT_LOSSES = 2


def is_suspect(task: ttypes.JobTask) -> bool:
    """Whether a task may have crashed its workers, so that it starts apart."""
    if not task.losses:
        return False
    return (
        bool(_suspected_crashes(task))
        or _early_begun_count(task) >= _SUSPECT_LOSSES
    )


def needs_exclusive_start(task: ttypes.JobTask) -> bool:
    """Whether a suspect must not start together with other suspects."""
    if not task.losses:
        return False
    return (
        len(_suspected_crashes(task)) > 1
        or _early_begun_count(task) > _SUSPECT_LOSSES
    )


def early_loss_agents(task: ttypes.JobTask) -> set[str]:
    """Returns the agents whose workers were lost shortly after the task began."""
    return {loss.agent for loss in early_losses(task)}


def early_losses(task: ttypes.JobTask) -> list[ttypes.WorkerLoss]:
    """Returns the losses shortly after a start, whether the worker has ended or not."""
    if not task.losses:
        return []
    losses = _recent_losses(task)
    return [loss for loss in _at_similar_ages(losses) if loss.is_early]


def crashes_count(task: ttypes.JobTask) -> int:
    """Returns how many crashes a task is suspected of."""
    return len(_suspected_crashes(task))


def give_up_reason(name: str, task: ttypes.JobTask) -> str:
    """Returns why a task fails its job, with the losses that count, or empty.

    Args:
        name: The task's name.
        task: The task.
    """
    suspected = _suspected_crashes(task)
    at_work_count = sum(map(_was_at_work, suspected))
    if (
        len(suspected) >= _suspected_limit(suspected)
        and at_work_count >= _AT_WORK_CRASHES_MIN
    ):
        return (
            f"{len(suspected)} workers crashed as task {name} started: "
            f"{_describe(suspected)}"
        )
    crashes = _crashes(_recent_losses(task))
    begun_count = sum(loss.has_begun for loss in crashes)
    if len(crashes) >= CRASHES_LIMIT and begun_count >= _BEGUN_CRASHES_MIN:
        return (
            f"{len(crashes)} workers ended under task {name}: "
            f"{_describe(crashes)}"
        )
    return ""


def _early_begun_count(task: ttypes.JobTask) -> int:
    return sum(loss.has_begun for loss in early_losses(task))


def _suspected_limit(suspected: list[ttypes.WorkerLoss]) -> int:
    """Returns how many suspected crashes fail a job."""
    sole = [loss for loss in suspected if loss.suspects_count == 1]
    if len({loss.agent for loss in sole}) > 1:
        return _SOLE_SUSPECT_CRASHES_LIMIT
    return _SUSPECTED_CRASHES_LIMIT


def _suspected_crashes(task: ttypes.JobTask) -> list[ttypes.WorkerLoss]:
    return [
        loss
        for loss in _one_per_worker(_at_similar_ages(_recent_losses(task)))
        if loss.suspects_count and loss.has_begun
    ]


def _was_at_work(loss: ttypes.WorkerLoss) -> bool:
    """Whether there is evidence that the run had not ended before the crash."""
    return 0 <= loss.unseen_ms <= _UNSEEN_LIMIT_MS


def _recent_losses(task: ttypes.JobTask) -> list[ttypes.WorkerLoss]:
    """Returns the losses after the last run that worked for long."""
    long_runs = [
        index
        for index, loss in enumerate(task.losses)
        if (loss.age_ms if loss.is_crash_seen else loss.since_grant_ms)
        > _LONG_RUN_MS
    ]
    return task.losses[long_runs[-1] + 1 :] if long_runs else task.losses


def _crashes(losses: Iterable[ttypes.WorkerLoss]) -> list[ttypes.WorkerLoss]:
    return _one_per_worker(loss for loss in losses if loss.has_worker_ended)


def _one_per_worker(
    losses: Iterable[ttypes.WorkerLoss],
) -> list[ttypes.WorkerLoss]:
    """Returns the loss of each incarnation that tells most, in their order."""
    by_worker: dict[tuple[str, str], ttypes.WorkerLoss] = {}
    for loss in losses:
        known = by_worker.setdefault((loss.agent, loss.worker_id), loss)
        if (loss.has_begun, loss.suspects_count) > (
            known.has_begun,
            known.suspects_count,
        ):
            by_worker[loss.agent, loss.worker_id] = loss
    return list(by_worker.values())


def _at_similar_ages(
    losses: list[ttypes.WorkerLoss],
) -> list[ttypes.WorkerLoss]:
    """Returns the losses that are not at a far lower age than another one."""
    longest_ms = max((loss.age_ms for loss in losses), default=0)
    return [
        loss
        for loss in losses
        if longest_ms <= _CRASH_AGE_RATIO * loss.age_ms + _CRASH_AGE_MARGIN_MS
    ]


def _describe(losses: Iterable[ttypes.WorkerLoss]) -> str:
    return "; ".join(map(_describe_loss, losses))


def _describe_loss(loss: ttypes.WorkerLoss) -> str:
    cause = "ended, as its agent found later"
    if loss.is_crash_seen:
        cause = (
            f"crashed, age {loss.age_ms} ms (suspects: {loss.suspects_count})"
        )
    if not loss.has_begun:
        cause += ", not known to have begun it"
    return (
        f"run {loss.run} on {loss.agent} worker {loss.worker_id} {cause}, "
        f"{loss.since_grant_ms} ms after its grant"
    )
