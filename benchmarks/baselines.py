"""Baseline placement policies to compare with the decision engine."""

import random

from marigoldsill.coordination.placement import capacity_index
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import amounts
from marigoldsill.state import tables as tables_module


class FirstFitPlacement:
    """Places tasks by declared sizes on the first worker that fits.

    Tasks are considered in order of arrival, services first; tasks that do not
    fit are skipped.
    """

    def __init__(
        self,
        *,
        shuffled: bool = False,
        sharing: bool = True,
        reacts: bool = False,
        seed: int = 3,
    ):
        self._shuffled = shuffled
        self._sharing = sharing
        self._reacts = reacts
        self._random = random.Random(seed)
        self._workers_over_target: list[str] = []

    def apply_changes(self, tables, changes, *, live, now) -> None:
        """Does nothing, as decisions read the tables."""

    def observe(self, tables, measurements, *, now) -> None:
        """Records the workers on which a service is over its latency target."""
        for measurement in measurements:
            task = tables.tasks.get(measurement.usage.task)
            owner = tables.owner_record(task) if task else None
            if isinstance(owner, ttypes.Service) and (
                measurement.usage.latency_p99_us
                > 1000 * owner.latency_target_ms
            ):
                self._workers_over_target.append(measurement.worker)

    def run_round(self, tables, *, now) -> list:
        """Assigns what fits; if it reacts, evicts where a target was missed."""
        bodies = []
        if self._reacts and self._workers_over_target:
            bodies.append(
                ttypes.EvictRuns(evictions=self._choose_evictions(tables))
            )
        self._workers_over_target.clear()
        bodies.append(
            ttypes.AssignRuns(assignments=self._choose_assignments(tables))
        )
        return bodies

    def _choose_evictions(
        self, tables: tables_module.Tables
    ) -> list[ttypes.Eviction]:
        largest_tasks = (
            max(
                (
                    task
                    for task in tables.tasks_on(worker)
                    if task.kind == ttypes.Kind.BATCH_JOB
                    and task.state == ttypes.TaskState.RUNNING
                ),
                key=lambda task: task.reserved.cpu_millicores,
                default=None,
            )
            for worker in sorted(set(self._workers_over_target))
        )
        return [
            ttypes.Eviction(task=task.name, epoch=task.epoch, reason="")
            for task in largest_tasks
            if task is not None
        ]

    def _choose_assignments(
        self, tables: tables_module.Tables
    ) -> list[ttypes.Assignment]:
        free_capacity = {
            name: capacity_index.free_capacity(tables, worker)
            for name, worker in tables.workers.items()
        }
        kinds_by_worker = {
            name: {task.kind for task in tables.tasks_on(name)}
            for name in free_capacity
        }
        tasks_counts = {
            name: len(tables.tasks_on(name)) for name in free_capacity
        }
        waiting = sorted(
            (tables.tasks[name] for name in tables.queued),
            key=lambda task: (task.kind, task.queued_unix_ms, task.name),
        )
        assignments = []
        for task in waiting:
            resources = tables.owner_record(task).resources
            names = list(free_capacity)
            if self._shuffled:
                self._random.shuffle(names)
            if task.kind == ttypes.Kind.SERVICE:
                # Spread over workers, as the decision engine does.
                names.sort(key=tasks_counts.get)
            other_kind = (
                ttypes.Kind.SERVICE
                if task.kind == ttypes.Kind.BATCH_JOB
                else ttypes.Kind.BATCH_JOB
            )
            fitting_workers = (
                name
                for name in names
                if amounts.fits(resources, free_capacity[name])
                and (self._sharing or other_kind not in kinds_by_worker[name])
            )
            worker = next(fitting_workers, None)
            if worker is None:
                continue
            free_capacity[worker] = amounts.subtract(
                free_capacity[worker], resources
            )
            kinds_by_worker[worker].add(task.kind)
            tasks_counts[worker] += 1
            assignments.append(
                ttypes.Assignment(task.name, task.epoch + 1, worker, resources)
            )
        return assignments
