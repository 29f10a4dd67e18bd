"""Capacity held on a worker for a task until the runs evicted for it end."""

import dataclasses

from marigoldsill.coordination.placement import fleet as fleet_module
from marigoldsill.coordination.placement import task_view as task_view_module
from marigoldsill.state import amounts

_HOLD_S = 30.0


@dataclasses.dataclass(slots=True, frozen=True)
class _Hold:
    """A worker that holds capacity for a task, and the end of the hold."""

    worker: str
    until_s: float


class CapacityHolds:
    """Holds for waiting tasks: one worker per task, for a limited time."""

    def __init__(self, fleet: fleet_module.Fleet):
        self._fleet = fleet
        self._holds: dict[str, _Hold] = {}

    def __len__(self) -> int:
        """The number of tasks that capacity is held for."""
        return len(self._holds)

    def __contains__(self, task: str) -> bool:
        """Whether capacity is held for a task."""
        return task in self._holds

    def put(
        self,
        task_view: task_view_module.TaskView,
        worker: str,
        *,
        now: fleet_module.Now,
    ) -> None:
        """Holds capacity for a task on a worker, even if it is not free yet."""
        name = task_view.task.name
        self.release(name)
        self._holds[name] = _Hold(worker, now.monotonic_s + _HOLD_S)
        self._fleet.capacity_index.set_hold(worker, name, task_view.demand)
        self._fleet.capacity_index.subtract_free(worker, task_view.demand)

    def release(self, task: str) -> None:
        """Frees the capacity held for a task, if there is any."""
        hold = self._holds.pop(task, None)
        if hold is None:
            return
        held = self._fleet.capacity_index.hold_amount(hold.worker, task)
        self._fleet.capacity_index.remove_hold(hold.worker, task)
        self._fleet.capacity_index.add_free(hold.worker, held)

    def find_ready_worker(self, task_view: task_view_module.TaskView) -> str:
        """The worker held for a task if its capacity is free, or empty.

        A hold on a worker that may not be given runs is released.
        """
        hold = self._holds.get(task_view.task.name)
        if hold is None:
            return ""
        view = self._fleet.capacity_index.views.get(hold.worker)
        if view is None or not view.is_schedulable:
            self.release(task_view.task.name)
            return ""
        held = self._fleet.capacity_index.hold_amount(
            hold.worker, task_view.task.name
        )
        free = amounts.add(view.free, held)
        return hold.worker if amounts.fits(task_view.demand, free) else ""

    def release_expired(self, *, now: fleet_module.Now) -> None:
        """Releases the holds whose time is over."""
        expired = [
            task
            for task, hold in self._holds.items()
            if hold.until_s < now.monotonic_s
        ]
        for task in expired:
            self.release(task)
