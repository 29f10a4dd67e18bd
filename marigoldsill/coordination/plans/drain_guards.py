"""Guard rails of plans that drain a worker or evacuate a data centre."""

import collections
from collections.abc import Iterator

from marigoldsill.coordination.plans import guard_context
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module


def check_last_worker(context: guard_context.GuardContext) -> Iterator[str]:
    """Finds services that run only on workers that would be drained."""
    tables = context.dry_run.before
    drained = _drained_workers(context)
    owners = sorted(
        {
            task.owner
            for worker in drained
            for task in tables.tasks_on(worker)
            if task.kind == ttypes.Kind.SERVICE
        }
    )
    for owner in owners:
        if _workers_of(tables, owner) <= drained:
            yield (
                f"service {owner!r} runs nowhere else than on {', '.join(sorted(drained))}; "
                "it would not answer until it has started elsewhere"
            )


def check_last_data_centre(
    context: guard_context.GuardContext,
) -> Iterator[str]:
    """Finds evacuations that leave no data centre where tasks can start."""
    for name in _evacuated_data_centres(context):
        if not any(
            worker.state == ttypes.WorkerState.ACTIVE
            for worker in context.dry_run.after.workers.values()
        ):
            yield (
                f"no worker outside of data centre {name!r} takes tasks; all "
                "work would wait until the evacuation ends"
            )


def check_service_capacity(
    context: guard_context.GuardContext,
) -> Iterator[str]:
    """Finds services without capacity for an instance outside of a data centre."""
    if not _evacuated_data_centres(context):
        return
    tables = context.dry_run.after
    waiting = [
        tables.tasks[effect.subject].owner
        for effect in context.effects
        if effect.verb == ttypes.EffectVerb.MOVE
        and effect.subject not in context.dry_run.starts
        and tables.tasks[effect.subject].kind == ttypes.Kind.SERVICE
    ]
    for owner, count in sorted(collections.Counter(waiting).items()):
        yield (
            f"no other worker has capacity now for {count} of "
            f"{len(tables.tasks_of(owner))} instances of service {owner!r}"
        )


def _drained_workers(context: guard_context.GuardContext) -> set[str]:
    """Returns the workers that the plan drains, alone or with their data centre."""
    evacuated = _evacuated_data_centres(context)
    return {
        change.subject.partition("/")[2]
        for change in context.changes
        if change.verb == ttypes.ChangeVerb.DRAIN
    } | {
        worker.name
        for worker in context.dry_run.before.workers.values()
        if worker.data_centre in evacuated
    }


def _evacuated_data_centres(context: guard_context.GuardContext) -> list[str]:
    return [
        change.subject.partition("/")[2]
        for change in context.changes
        if change.verb == ttypes.ChangeVerb.EVACUATE
    ]


def _workers_of(tables: tables_module.Tables, owner: str) -> set[str]:
    return {
        task.worker
        for task in tables.tasks_of(owner)
        if tables_module.occupies_worker(task)
    }
