"""An index of the workers by free capacity, updated incrementally.

No event causes a scan of all workers: a worker is refreshed when its record or
its runs change, and candidates come from buckets (see `worker_buckets`).
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from marigoldsill.coordination.placement import worker_buckets
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import amounts
from marigoldsill.state import tables as tables_module


@dataclasses.dataclass(slots=True)
class WorkerView:
    """One worker as placement sees it.

    Attributes:
        record: The worker's record.
        free: Free capacity, without what is held for waiting tasks.
        charges: Resources counted for each run that may be alive, by task.
        is_schedulable: Whether it may be given new runs.
    """

    record: ttypes.Worker
    free: ttypes.Resources
    charges: dict[str, ttypes.Resources]
    is_schedulable: bool


class CapacityIndex:
    """Free capacity by worker, and workers by free capacity.

    Attributes:
        views: The workers by name.
        schedulable: Those that may be given new runs, by free processor time.
        increases_count: How often the free capacity of a worker may have
            increased.
    """

    def __init__(self, *, seed: int = 1):
        self.views: dict[str, WorkerView] = {}
        self.schedulable = worker_buckets.WorkerBuckets(seed=seed)
        self.increases_count = 0
        self._holds: dict[str, dict[str, ttypes.Resources]] = {}
        self._capacity_counts: dict[tuple[int, int, int], int] = {}

    def refresh(
        self,
        tables: tables_module.Tables,
        name: str,
        *,
        is_available: bool,
        charge: Callable[[ttypes.Task], ttypes.Resources],
    ) -> WorkerView | None:
        """Updates one worker from its record and runs.

        Args:
            tables: The state.
            name: The worker's name.
            is_available: Whether its agent holds a live lease and its health
                status allows new runs.
            charge: Returns the resources counted for a run, at least its
                reservation.

        Returns:
            The updated worker, or None if it has no record.
        """
        record = tables.workers.get(name)
        old = self.views.get(name)
        self._count_capacity(old, record)
        if record is None:
            self.views.pop(name, None)
            self.schedulable.remove(name)
            return None
        charges = {
            task: charge(tables.tasks[task])
            for task in tables.tasks_by_worker.get(name, ())
        }
        view = WorkerView(
            record=record,
            free=_remaining(
                record.capacity,
                charges.values(),
                self._holds.get(name, {}).values(),
            ),
            charges=charges,
            is_schedulable=is_available
            and record.state == ttypes.WorkerState.ACTIVE,
        )
        self.views[name] = view
        self._update_buckets(name, view)
        if view.is_schedulable and (
            old is None or not _is_no_larger(view.free, old.free)
        ):
            self.increases_count += 1
        return view

    def subtract_free(self, name: str, demand: ttypes.Resources) -> None:
        """Subtracts a grant that is not in the state yet."""
        view = self.views[name]
        view.free = amounts.subtract(view.free, demand)
        self._update_buckets(name, view)

    def add_free(self, name: str, amount: ttypes.Resources) -> None:
        """Adds capacity that is no longer held."""
        view = self.views.get(name)
        if view is not None:
            view.free = amounts.add(view.free, amount)
            self._update_buckets(name, view)

    def set_hold(self, name: str, task: str, demand: ttypes.Resources) -> None:
        """Holds capacity for a task from the next `refresh` on."""
        self._holds.setdefault(name, {})[task] = demand

    def remove_hold(self, name: str, task: str) -> None:
        """Ends a hold from the next `refresh` on."""
        held = self._holds.get(name, {})
        held.pop(task, None)
        if not held:
            self._holds.pop(name, None)

    def hold_amount(self, name: str, task: str) -> ttypes.Resources:
        """The capacity that a worker holds for a task."""
        return self._holds.get(name, {}).get(task, amounts.ZERO)

    def distinct_capacities(self) -> Iterator[ttypes.Resources]:
        """The distinct capacities of all known workers."""
        return (
            ttypes.Resources(*capacity) for capacity in self._capacity_counts
        )

    def _update_buckets(self, name: str, view: WorkerView) -> None:
        if view.is_schedulable:
            centre = view.record.data_centre
            self.schedulable.put(name, centre, view.free)
        else:
            self.schedulable.remove(name)

    def _count_capacity(
        self, old: WorkerView | None, record: ttypes.Worker | None
    ) -> None:
        """Updates how many workers have each capacity."""
        before = _as_tuple(old.record.capacity) if old is not None else None
        after = _as_tuple(record.capacity) if record is not None else None
        if before == after:
            return
        if before is not None:
            self._capacity_counts[before] -= 1
            if not self._capacity_counts[before]:
                del self._capacity_counts[before]
        if after is not None:
            self._capacity_counts[after] = (
                self._capacity_counts.get(after, 0) + 1
            )


def free_capacity(
    tables: tables_module.Tables, worker: ttypes.Worker
) -> ttypes.Resources:
    """Capacity of a worker that is not reserved by runs that may be alive."""
    return _remaining(
        worker.capacity,
        (task.reserved for task in tables.tasks_on(worker.name)),
        (),
    )


def _remaining(
    capacity: ttypes.Resources,
    taken: Iterable[ttypes.Resources],
    held: Iterable[ttypes.Resources],
) -> ttypes.Resources:
    cpu = capacity.cpu_millicores
    memory = capacity.memory_bytes
    accelerators = capacity.accelerators_count
    for items in (taken, held):
        for item in items:
            cpu -= item.cpu_millicores
            memory -= item.memory_bytes
            accelerators -= item.accelerators_count
    return ttypes.Resources(cpu, memory, accelerators)


def _as_tuple(capacity: ttypes.Resources) -> tuple[int, int, int]:
    return (
        capacity.cpu_millicores,
        capacity.memory_bytes,
        capacity.accelerators_count,
    )


def _is_no_larger(new: ttypes.Resources, old: ttypes.Resources) -> bool:
    return amounts.fits(new, old)
