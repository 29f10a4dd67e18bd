"""Guard rails: likely mistakes in a plan, which operators must acknowledge by name.

`GUARDS` lists them all. Each is a function that yields a message for every mistake it
finds. docs/GUARDS.md explains them to operators.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

from marigoldsill.coordination.plans import drain_guards
from marigoldsill.coordination.plans import guard_context
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import changes as changes_module
from marigoldsill.state import tables as tables_module

# A size or time that changes by this factor is probably in the wrong unit.
UNIT_SLIP_RATIO = 10
SCALE_DOWN_RATIO = 2
MIN_DISRUPTED_COUNT = 3

_RESOURCE_FIELDS = ttypes.Resources.__slots__
_TIME_FIELDS = (
    "timeout_ms",
    "latency_target_ms",
    "run_time_ms",
    "absence_limit_ms",
)


def check_plan(context: guard_context.GuardContext) -> list[ttypes.Guard]:
    """Returns all guard rails that a plan hits."""
    return [
        ttypes.Guard(name=name, message=message)
        for name, guard in GUARDS.items()
        for message in guard(context)
    ]


def check_unit_slip(context: guard_context.GuardContext) -> Iterator[str]:
    """Finds sizes and times that differ greatly from earlier ones of that name.

    Sizes are compared with the declared and the observed ones, and with the largest
    worker.
    """
    for change in context.changes:
        new = _declared_record(change)
        if new is None:
            continue
        old = _current_record(context.dry_run.before, change)
        yield from _check_size_slips(context, new, old)
        yield from _check_time_slips(new, old)
        yield from _check_largest_worker(context, new)


def check_live_callers(context: guard_context.GuardContext) -> Iterator[str]:
    """Finds services with callers that are removed or scaled down considerably."""
    for change in context.changes:
        old = _current_record(context.dry_run.before, change)
        if not isinstance(old, ttypes.Service):
            continue
        if old.name not in context.observations.called_services:
            continue
        if change.verb == ttypes.ChangeVerb.REMOVE:
            yield f"service {old.name!r} has callers now and would be removed"
        elif _is_scaled_down(old, change.service_after):
            yield (
                f"service {old.name!r} has callers now and would go from "
                f"{old.instances_count} to "
                f"{change.service_after.instances_count} instances"
            )


def check_eviction_share(context: guard_context.GuardContext) -> Iterator[str]:
    """Checks that at most a share of the running tasks would stop or move."""
    tables = context.dry_run.before
    running_count = sum(len(names) for names in tables.tasks_by_worker.values())
    disrupted = {
        subject
        for verb, subject in changes_module.disruption_keys(context.effects)
        if verb != ttypes.EffectVerb.NEVER_RUNS
    }
    limit = tables.policy.eviction_share_limit
    if (
        len(disrupted) >= MIN_DISRUPTED_COUNT
        and len(disrupted) > limit * running_count
    ):
        yield (
            f"{len(disrupted)} of {running_count} running tasks would stop or "
            f"move; the policy's eviction_share_limit is {limit:g}"
        )


def check_watcher_nowhere(context: guard_context.GuardContext) -> Iterator[str]:
    """Finds watchers that would have no worker to run on."""
    affected = {effect.subject for effect in context.effects}
    tables = context.dry_run.after
    tasks = (tables.tasks.get(name) for name in sorted(affected))
    for task in tasks:
        if task is None or task.kind != ttypes.Kind.WATCHER:
            continue
        if tables.owner_record(task) is None or context.dry_run.can_run(task):
            continue
        yield f"watcher {task.owner!r} would have no worker that can hold it"


def check_deadline_missed(context: guard_context.GuardContext) -> Iterator[str]:
    """Finds deadlines that cannot be met according to the predicted run times."""
    for change in context.changes:
        job = change.batch_job_after
        if job is None or not job.deadline_unix_ms:
            continue
        remaining_ms = job.deadline_unix_ms - context.observations.now_unix_ms
        needed_ms = context.observations.predict_run_time_ms(
            job.name, job.run_time_ms
        )
        if needed_ms > remaining_ms:
            yield (
                f"batch job {job.name!r} probably takes "
                f"{needed_ms / 1000:.0f} s ({job.run_time_ms / 1000:.0f} s "
                "were declared), but its deadline is "
                f"{remaining_ms / 1000:.0f} s from now"
            )


GUARDS: dict[str, Callable[[guard_context.GuardContext], Iterable[str]]] = {
    "unit-slip": check_unit_slip,
    "live-callers": check_live_callers,
    "eviction-share": check_eviction_share,
    "watcher-nowhere": check_watcher_nowhere,
    "deadline-missed": check_deadline_missed,
    "last-worker": drain_guards.check_last_worker,
    "last-data-centre": drain_guards.check_last_data_centre,
    "service-capacity": drain_guards.check_service_capacity,
}


def _declared_record(change: ttypes.Change) -> object | None:
    return (
        change.service_after or change.batch_job_after or change.watcher_after
    )


def _current_record(
    tables: tables_module.Tables, change: ttypes.Change
) -> object | None:
    kind, _, name = change.subject.partition("/")
    match kind:
        case "service":
            return tables.services.get(name)
        case "batch_job":
            return tables.batch_jobs.get(name)
        case "watcher":
            return tables.watchers.get(name)
        case _:
            return None


def _check_size_slips(
    context: guard_context.GuardContext, new: object, old: object
) -> Iterator[str]:
    peak_usage = context.observations.peak_usage_by_owner.get(new.name)
    for field in _RESOURCE_FIELDS:
        value = getattr(new.resources, field)
        declared = getattr(old.resources, field) if old is not None else 0
        known = max(
            declared,
            getattr(peak_usage, field) if peak_usage is not None else 0,
        )
        if value != declared and _is_unit_slip(value, known):
            yield (
                f"{new.name!r}: {field} is {value}, but {known} was "
                "declared or seen before"
            )


def _check_time_slips(new: object, old: object) -> Iterator[str]:
    if old is None:
        return
    for field in _TIME_FIELDS:
        value, known = getattr(new, field, 0), getattr(old, field, 0)
        if _is_unit_slip(value, known):
            yield f"{new.name!r}: {field} is {value}, but was {known} before"


def _check_largest_worker(
    context: guard_context.GuardContext, new: object
) -> Iterator[str]:
    workers = context.dry_run.before.workers.values()
    for field in _RESOURCE_FIELDS:
        value = getattr(new.resources, field)
        largest = max(
            (getattr(w.capacity, field) for w in workers), default=value
        )
        if value > largest:
            yield (
                f"{new.name!r}: {field} is {value}, but the largest worker "
                f"has {largest}"
            )


def _is_unit_slip(value: int, known: int) -> bool:
    """Whether two values differ by so much that a unit is probably wrong."""
    if not value or not known:
        return False
    return value >= UNIT_SLIP_RATIO * known or known >= UNIT_SLIP_RATIO * value


def _is_scaled_down(old: ttypes.Service, new: ttypes.Service) -> bool:
    return new.instances_count * SCALE_DOWN_RATIO <= old.instances_count
