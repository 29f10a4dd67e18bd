"""Records losses of workers under the runs of a task, with what is known of each.

The leader may record a run as lost before its agent reports what became of it, and
agents that were cut off report in any order. So a loss may learn later, once, that its
agent saw the worker crash. `crash_attribution` reads the record.
"""

from marigoldsill.protocol.generated import ttypes

# A run that is recorded as lost later than this after its grant was not starting any
# more. Covers the lease of its agent, an election and starts that are carried out late.
EARLY_LOSS_LIMIT_MS = 60_000
# The same for the age of a run that its agent saw.
_EARLY_AGE_LIMIT_MS = 30_000
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
        case ttypes.RunEndKind.LOST if not end.is_excused:
            return _record_lost(
                task, end, run, now_unix_ms, is_from_agent=is_from_agent
            )
        case ttypes.RunEndKind.CRASHED:
            return _record_crash(task, end, run, now_unix_ms)
        case _ if run is None:
            # Only a worker that has outlived the run, or never had it, lists its end.
            return _withdraw(task, end)
    return False


def _record_lost(
    task: ttypes.JobTask,
    end: ttypes.RunEnd,
    run: ttypes.JobRun | None,
    now_unix_ms: int,
    *,
    is_from_agent: bool,
) -> bool:
    """Records a loss that nobody saw, or that its worker turned out to have ended."""
    if run is not None:
        loss = _remember_loss(task, run, now_unix_ms)
        loss.is_early = loss.since_grant_ms <= EARLY_LOSS_LIMIT_MS
        loss.is_from_agent = is_from_agent
        loss.has_worker_ended = end.has_worker_ended
        loss.has_begun = end.has_begun
        return True
    loss = _find_unseen(task, end) if end.has_worker_ended else None
    if loss is None or loss.has_worker_ended:
        return False
    loss.has_worker_ended = loss.is_from_agent = True
    loss.has_begun = end.has_begun
    return True


def _record_crash(
    task: ttypes.JobTask,
    end: ttypes.RunEnd,
    run: ttypes.JobRun | None,
    now_unix_ms: int,
) -> bool:
    """Records a crash that an agent saw; only the first report of a run counts."""
    if run is None:
        loss = _find_unseen(task, end)
    else:
        loss = _remember_loss(task, run, now_unix_ms)
    if loss is None:
        return False
    loss.is_crash_seen = loss.has_worker_ended = loss.is_from_agent = True
    loss.age_ms = end.age_ms
    loss.has_begun = end.has_begun
    loss.suspects_count = end.suspects_count
    loss.unseen_ms = end.unseen_ms
    loss.is_early = end.age_ms <= _EARLY_AGE_LIMIT_MS
    return True


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
    losses = [*task.losses, loss]
    if len(losses) > _REMEMBERED_LIMIT:
        # The oldest of those with the least evidence goes first.
        losses.remove(min(losses[:-1], key=_evidence_of))
    task.losses = losses
    return loss


def _withdraw(task: ttypes.JobTask, end: ttypes.RunEnd) -> bool:
    loss = _find_unseen(task, end)
    # A later incarnation may have listed the end of a run that it began late.
    if loss is None or loss.has_worker_ended:
        return False
    task.losses = [other for other in task.losses if other is not loss]
    return True


def _find_unseen(
    task: ttypes.JobTask, end: ttypes.RunEnd
) -> ttypes.WorkerLoss | None:
    unseen = (loss for loss in task.losses if not loss.is_crash_seen)
    return next((loss for loss in unseen if loss.run == end.run), None)


def _evidence_of(loss: ttypes.WorkerLoss) -> tuple[bool, bool]:
    """Returns a sort key: how much is known of a loss."""
    return loss.has_worker_ended, loss.has_begun
