"""Chooses workers for waiting tasks; looks at no clock and no network."""

from collections.abc import Sequence

from marigoldsill.coordination.jobs import backlog as backlog_module
from marigoldsill.coordination.jobs import rooms as rooms_module
from marigoldsill.protocol.generated import ttypes

# Grants in one command, which bounds how long a round holds the lock.
_GRANTS_LIMIT = 300


def place(
    steps: Sequence[backlog_module.WaitingStep],
    rooms: Sequence[rooms_module.Room],
) -> list[ttypes.RunGrant]:
    """Grants for waiting tasks, in order, as far as there is room."""
    grants: list[ttypes.RunGrant] = []
    for waiting in steps:
        if len(grants) >= _GRANTS_LIMIT:
            break
        candidates = [r for r in rooms if _may_run(waiting, r)]
        grants += _place_step(waiting, candidates)
    return grants


def _may_run(
    waiting: backlog_module.WaitingStep, room: rooms_module.Room
) -> bool:
    label = waiting.step.required_label
    return (
        room.worker.pool == waiting.queue.pool
        and not room.worker.draining
        and (not label or label in room.worker.labels)
    )


def _place_step(
    waiting: backlog_module.WaitingStep,
    candidates: list[rooms_module.Room],
) -> list[ttypes.RunGrant]:
    grants = []
    for index in waiting.waiting:
        room = _choose(waiting, candidates)
        if room is None:
            break
        room.take(waiting.key, waiting.step)
        grants.append(
            ttypes.RunGrant(
                task=waiting.task_name(index),
                run=waiting.tasks[index].last_run + 1,
                agent=room.agent,
                worker_id=room.worker.worker_id,
            )
        )
    return grants


def _choose(
    waiting: backlog_module.WaitingStep,
    candidates: list[rooms_module.Room],
) -> rooms_module.Room | None:
    step = waiting.step
    fitting = [
        room
        for room in candidates
        if room.fits(step) and not _is_crowded(room, waiting)
    ]
    if not fitting:
        return None
    return max(fitting, key=lambda room: _preference(step, room))


def _preference(
    step: ttypes.Step, room: rooms_module.Room
) -> tuple[bool, bool, float]:
    """How well a worker suits a task; the highest is chosen.

    Tasks that serve users are kept apart from those that fill, because these
    disturb them. All others go beside those that serve, whom they don't
    disturb, and so leave the rest of the fleet to tasks that fill.
    """
    is_near = room.worker.rack == step.preferred_rack
    serves = room.serving_count > 0
    if step.tail_target_ms:
        return is_near, serves, -room.fills_millicores
    if step.fills:
        return is_near, not serves, room.unfilled_share
    return is_near, serves, room.unfilled_share


def _is_crowded(
    room: rooms_module.Room, waiting: backlog_module.WaitingStep
) -> bool:
    limit = waiting.step.spread_limit
    return bool(limit) and room.by_step.get(waiting.key, 0) >= limit
