"""Predicts for plans where the waiting tasks would be placed now."""

from marigoldsill.coordination.learning import estimates as estimates_module
from marigoldsill.coordination.placement import (
    placement_simulator as placement_simulator_module,
)
from marigoldsill.coordination.placement import task_view as task_view_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module

SEARCHES_LIMIT = 100
_NOT_SEARCHED = placement_simulator_module.PredictedPlacement(
    ttypes.EffectVerb.WAIT,
    "",
    [],
    "too many tasks wait to say where it would go",
)


def predict_placements(
    tables: tables_module.Tables,
) -> dict[str, placement_simulator_module.PredictedPlacement]:
    """Predicts the placement of each waiting task, in the order of placement.

    A plan must stay cheap however long the queue is: equal tasks share a search
    that found no free capacity, and after many searches the remaining tasks are
    predicted to wait without a search.
    """
    simulation = _QueueSimulation(tables)
    return {
        task_view.task.name: simulation.add_task(
            tables.owner_record(task_view.task)
        )
        for task_view in _sorted_queue(tables)
    }


class _QueueSimulation:
    """Places tasks one after another on a copy of the free capacity."""

    def __init__(self, tables: tables_module.Tables):
        self._simulator = placement_simulator_module.PlacementSimulator(tables)
        self._waits: dict[
            tuple, placement_simulator_module.PredictedPlacement
        ] = {}
        self._searches_count = 0

    def add_task(
        self,
        owner: ttypes.Service | ttypes.BatchJob | ttypes.Watcher,
    ) -> placement_simulator_module.PredictedPlacement:
        """Predicts the placement of one more task of an owner."""
        key = (owner.team, owner.urgency, *_as_tuple(owner.resources))
        if key in self._waits:
            return self._waits[key]
        if self._searches_count >= SEARCHES_LIMIT:
            return _NOT_SEARCHED
        predicted = self._simulator.add_task(owner)
        # The sum of the free capacity and of what evictions may free only shrinks
        # from here on, so equal tasks wait too.
        match predicted.verb:
            case ttypes.EffectVerb.WAIT:
                self._searches_count += 1
                self._waits[key] = predicted
            case ttypes.EffectVerb.EVICT:
                self._searches_count += 1
        return predicted


def assign_queued(
    tables: tables_module.Tables, *, limit: int
) -> list[ttypes.Assignment]:
    """Grants for the waiting tasks that can start without an eviction."""
    starts = (
        (name, predicted)
        for name, predicted in predict_placements(tables).items()
        if predicted.verb == ttypes.EffectVerb.START
    )
    return [
        _assignment(tables, name, predicted)
        for _, (name, predicted) in zip(range(limit), starts, strict=False)
    ]


def _as_tuple(resources: ttypes.Resources) -> tuple[int, ...]:
    return tuple(getattr(resources, name) for name in resources.__slots__)


def _sorted_queue(
    tables: tables_module.Tables,
) -> list[task_view_module.TaskView]:
    """The waiting tasks in the order of placement, with their declared sizes."""
    declared = estimates_module.Estimates()
    waiting = (tables.tasks[name] for name in tables.queued)
    known = (task_view_module.build(tables, task, declared) for task in waiting)
    return sorted(
        (task_view for task_view in known if task_view is not None),
        key=lambda task_view: task_view.sort_key,
    )


def _assignment(
    tables: tables_module.Tables,
    name: str,
    predicted: placement_simulator_module.PredictedPlacement,
) -> ttypes.Assignment:
    task = tables.tasks[name]
    return ttypes.Assignment(
        task=name,
        epoch=task.epoch + 1,
        worker=predicted.worker,
        reserved=tables.owner_record(task).resources,
        reason=predicted.reason,
    )
