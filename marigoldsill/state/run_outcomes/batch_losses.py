"""Gives up batch jobs of intent files that may crash the workers that start them."""

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module
from marigoldsill.state.run_outcomes import crash_attribution
from marigoldsill.state.run_outcomes import worker_losses


def give_up(
    tables: tables_module.Tables, task: ttypes.Task, now_unix_ms: int
) -> bool:
    """Counts the loss of a task's worker, and fails a batch job lost too often in a row.

    Services and watchers are never given up.

    Returns:
        Whether it was given up.
    """
    granted_ms = now_unix_ms - task.started_unix_ms
    is_early = granted_ms <= worker_losses.EARLY_LOSS_LIMIT_MS
    losses_count = task.losses_count + 1 if is_early else 0
    tables.change_task(task.name, losses_count=losses_count)
    is_limited = task.kind == ttypes.Kind.BATCH_JOB and not task.final_stop
    if not is_limited or losses_count < crash_attribution.CRASHES_LIMIT:
        return False
    tables.change_task(
        task.name,
        state=ttypes.TaskState.FAILED,
        reason=f"{losses_count} workers in a row were lost as it started",
    )
    return True
