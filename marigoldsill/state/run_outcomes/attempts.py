"""Counts failed runs of tasks against the limit of their queue.

A run of a gang is one attempt, however many of its members fail in it. Their ends are
recorded in any order and by several commands, so a gang's attempts are told apart by the
number of the run, which its members share.
"""

from collections.abc import Sequence

from marigoldsill.protocol.generated import ttypes


def record_failure(task: ttypes.JobTask, step: ttypes.Step, run: int) -> None:
    """Records that a run of a task failed.

    Args:
        task: The task.
        step: The step that it belongs to.
        run: The number of the run.
    """
    task.failures_count += 1
    if step.gang and not step.long_running:
        task.failed_runs = [*(task.failed_runs or ()), run]


def failed_count(step: ttypes.Step, members: Sequence[ttypes.JobTask]) -> int:
    """Returns how many attempts at a task or a gang have failed.

    Args:
        step: The step of the task or gang.
        members: All members of the gang, or the task alone.
    """
    if not step.gang:
        return sum(task.failures_count for task in members)
    return len({run for task in members for run in task.failed_runs or ()})


def are_exhausted(
    step: ttypes.Step,
    members: Sequence[ttypes.JobTask],
    queue: ttypes.Queue,
) -> bool:
    """Returns whether a task or a gang has failed as often as its queue allows."""
    if step.long_running:
        return False
    return failed_count(step, members) >= queue.attempts_limit
