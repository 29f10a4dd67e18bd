"""Counts losses of workers against the tasks that may have caused them.

The leader may record a run as lost before its agent reports what became of it, and
agents that were cut off report in any order. So each loss remembers whether it was
explained.

If the agent ended with its worker, nobody knows whether the task caused the loss. Such
losses shortly after a start count as well, up to a higher limit than crashes of which
the task is suspected. A loss that was only concluded from an expired lease counts for
placement, but never fails a job: an agent that is cut off or frozen causes it, too.
"""

from collections.abc import Iterable

from marigoldsill.protocol.generated import ttypes

# Number of crashes at which a task fails its job. It is lower for the only suspect of a
# crash: a worker may crash for another reason just after a start, but that is unlikely
# to happen on two workers in a row.
_SOLE_SUSPECT_CRASHES_LIMIT = 2
_CRASHES_LIMIT = 3
# A task that crashes workers does so at a similar age each time, so a run that exceeds
# the ratio and margin resets the count. The margin covers the interval between two
# listings of the worker, by which a reported age may be too low.
_CRASH_AGE_RATIO = 2
_CRASH_AGE_MARGIN_MS = 1_500
# Number of workers that ended shortly after a start at which a task fails its job,
# suspected or not.
EARLY_LOSSES_LIMIT = 5
# A run that is recorded as lost later than this after its grant was not starting any
# more. Covers the lease of its agent, an election and starts that are carried out late.
EARLY_LOSS_LIMIT_MS = 60_000
# The same for the age of a run that its agent saw.
_EARLY_AGE_LIMIT_MS = 30_000
# After this time it has outlived earlier losses even if a clock was set forward.
_LONG_RUN_MS = 600_000
# Number of such losses from which a task is a suspect without a crash that an agent saw.
_SUSPECT_LOSSES = 2
# Maximum number of losses of a task to remember.
_REMEMBERED_LIMIT = 16


def record(
    task: ttypes.JobTask,
    end: ttypes.RunEnd,
    run: ttypes.JobRun | None,
    now_unix_ms: int,
    *,
    is_from_agent: bool,
) -> bool:
    """Records the loss of a worker under a run, or that there was none after all.

    Args:
        task: The task.
        end: How a run of it ended.
        run: The run, or None if its end was recorded before.
        now_unix_ms: When the end was recorded.
        is_from_agent: Whether an agent reported the end; else a leader concluded it.

    Returns:
        Whether that changed what is known of the task's losses.
    """
    match end.kind:
        case ttypes.RunEndKind.LOST if run is not None and not end.is_excused:
            loss = _remember_loss(task, run, now_unix_ms)
            loss.is_from_agent = is_from_agent
            loss.is_worker_gone = end.is_worker_gone
            _record_unexplained(task, loss)
            return True
        case ttypes.RunEndKind.LOST if run is None and end.is_worker_gone:
            loss = _find_unexplained(task, end)
            if loss is None or loss.is_worker_gone:
                return False
            loss.is_worker_gone = loss.is_from_agent = True
            return True
        case ttypes.RunEndKind.CRASHED:
            loss = _unexplained_loss(task, end, run, now_unix_ms)
            if loss is not None:
                _explain(task, loss, end)
            return loss is not None
        case _ if run is None:
            # Only a worker that has outlived the run, or never had it, lists its end.
            return _remove_unexplained(task, end)
    return False


def early_count(task: ttypes.JobTask) -> int:
    """Returns how many workers were lost shortly after the task began there."""
    return sum(loss.is_early for loss in task.losses)


def is_suspect(task: ttypes.JobTask) -> bool:
    """Whether a task may have crashed its workers, so that it starts apart."""
    if task.crashes_count:
        return True
    return bool(task.losses) and early_count(task) >= _SUSPECT_LOSSES


def needs_exclusive_start(task: ttypes.JobTask) -> bool:
    """Whether a suspect must not start together with other suspects."""
    return task.crashes_count > 1 or early_count(task) > _SUSPECT_LOSSES


def early_loss_agents(task: ttypes.JobTask) -> set[str]:
    """Returns the agents whose workers were lost shortly after the task began."""
    return {loss.agent for loss in task.losses if loss.is_early}


def give_up_reason(task: ttypes.JobTask, end: ttypes.RunEnd) -> str:
    """Returns why a task fails its job after a loss was recorded, or empty."""
    crashes = [
        loss for loss in task.losses if loss.is_early and loss.is_worker_gone
    ]
    is_sole_suspect = end.suspects_count == 1
    limit = _CRASHES_LIMIT
    if is_sole_suspect and len({loss.agent for loss in crashes}) > 1:
        limit = _SOLE_SUSPECT_CRASHES_LIMIT
    if end.suspects_count and task.crashes_count >= limit:
        counted = [loss for loss in task.losses if loss.suspects_count]
        return (
            f"{task.crashes_count} workers crashed as task {end.task} started: "
            f"{describe(counted)}"
        )
    if len(crashes) >= EARLY_LOSSES_LIMIT:
        return (
            f"{len(crashes)} workers ended as task {end.task} started: "
            f"{describe(crashes)}"
        )
    return ""


def describe(losses: Iterable[ttypes.WorkerLoss]) -> str:
    """Returns which workers ended under which runs, and how that is known."""
    return "; ".join(map(_describe_loss, losses))


def _describe_loss(loss: ttypes.WorkerLoss) -> str:
    if loss.is_explained:
        cause = (
            f"crashed, age {loss.age_ms} ms (suspects: {loss.suspects_count})"
        )
    else:
        cause = "ended, as its agent found later"
    return (
        f"run {loss.run} on {loss.agent} worker {loss.worker_id} {cause}, "
        f"{loss.since_grant_ms} ms after its grant"
    )


def _record_unexplained(task: ttypes.JobTask, loss: ttypes.WorkerLoss) -> None:
    """Counts the loss of a run of which nobody knows the reason."""
    if loss.since_grant_ms > _LONG_RUN_MS:
        for other in task.losses:
            other.is_early = False
    loss.is_early = loss.since_grant_ms <= EARLY_LOSS_LIMIT_MS


def _remember_loss(
    task: ttypes.JobTask, run: ttypes.JobRun, now_unix_ms: int
) -> ttypes.WorkerLoss:
    """Returns the loss of a run, which the task remembers from now on."""
    loss = ttypes.WorkerLoss(
        run=run.run,
        agent=run.agent,
        worker_id=run.worker_id,
        since_grant_ms=now_unix_ms - run.granted_unix_ms,
    )
    # Generated records share one default list among all instances.
    task.losses = [*task.losses, loss][-_REMEMBERED_LIMIT:]
    return loss


def _remove_unexplained(task: ttypes.JobTask, end: ttypes.RunEnd) -> bool:
    loss = _find_unexplained(task, end)
    if loss is None or (
        end.kind == ttypes.RunEndKind.LOST and not end.is_excused
    ):
        return False
    task.losses = [other for other in task.losses if other is not loss]
    return True


def _find_unexplained(
    task: ttypes.JobTask, end: ttypes.RunEnd
) -> ttypes.WorkerLoss | None:
    unexplained = (loss for loss in task.losses if not loss.is_explained)
    return next((loss for loss in unexplained if loss.run == end.run), None)


def _unexplained_loss(
    task: ttypes.JobTask,
    end: ttypes.RunEnd,
    run: ttypes.JobRun | None,
    now_unix_ms: int,
) -> ttypes.WorkerLoss | None:
    """Returns the loss that a report is the first one to explain, or None."""
    if run is None:
        return _find_unexplained(task, end)
    return _remember_loss(task, run, now_unix_ms)


def _explain(
    task: ttypes.JobTask, loss: ttypes.WorkerLoss, end: ttypes.RunEnd
) -> None:
    """Counts a crash against a suspected task."""
    if end.age_ms > (
        _CRASH_AGE_RATIO * task.crash_age_ms + _CRASH_AGE_MARGIN_MS
    ):
        # The run outlived earlier crashes, so the task did not cause them.
        task.crashes_count = task.crash_age_ms = 0
    for other in task.losses:
        other.is_early &= _are_similar_ages(other.age_ms, end.age_ms)
    loss.is_explained = loss.is_worker_gone = loss.is_from_agent = True
    loss.age_ms = end.age_ms
    loss.suspects_count = end.suspects_count
    # A task that is not suspected may be at fault as well, if it crashes workers later
    # than most tasks do or was beside one that had just started.
    loss.is_early = end.age_ms <= _EARLY_AGE_LIMIT_MS
    if not end.suspects_count:
        return
    task.crashes_count += 1
    task.crash_age_ms = max(task.crash_age_ms, end.age_ms)


def _are_similar_ages(one_ms: int, other_ms: int) -> bool:
    low_ms, high_ms = sorted((one_ms, other_ms))
    return high_ms <= _CRASH_AGE_RATIO * low_ms + _CRASH_AGE_MARGIN_MS
