"""Marks tasks that cannot run in the present state, and reverts the marks."""

import itertools

from marigoldsill.coordination.learning import estimates as estimates_module
from marigoldsill.coordination.placement import feasibility
from marigoldsill.coordination.placement import task_view as task_view_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module

_MARKS_LIMIT = 500


class ImpossibleTasks:
    """Tracks impossible tasks and the marks to propose for them.

    Attributes:
        capacities: The distinct capacities of all known workers.
        tasks: Tasks that are marked as impossible in the state.
    """

    def __init__(self, estimates: estimates_module.Estimates):
        self.capacities: list[ttypes.Resources] = []
        self.tasks: set[str] = set()
        self._estimates = estimates
        self._marks: dict[str, ttypes.TaskMark] = {}

    def find_reason(
        self, tables: tables_module.Tables, task: ttypes.Task
    ) -> str:
        """Returns why a task can never run, or an empty string if it can."""
        facts = task_view_module.build(tables, task, self._estimates)
        if facts is None:
            return ""
        return feasibility.infeasibility_reason(
            facts,
            tables.owner_record(task).resources,
            self.capacities,
            tables.teams.get(facts.team),
        )

    def mark(self, task: ttypes.Task, reason: str) -> None:
        """Proposes to mark a waiting task as impossible."""
        self._set_mark(task, ttypes.TaskState.IMPOSSIBLE, reason)

    def recheck(self, tables: tables_module.Tables, task: ttypes.Task) -> None:
        """Proposes to queue an impossible task again if it can run now."""
        self.tasks.add(task.name)
        if not self.find_reason(tables, task):
            self._set_mark(task, ttypes.TaskState.QUEUED, "waits for a worker")

    def discard(self, name: str) -> None:
        """Discards the marks of a task that has changed."""
        self.tasks.discard(name)
        self._marks.pop(name, None)

    def pending_marks(
        self, tables: tables_module.Tables
    ) -> list[ttypes.TaskMark]:
        """Returns a bounded number of marks to propose now.

        A command may be lost, so a mark is proposed again until the state contains
        it or the task has changed.
        """
        outdated = [
            name
            for name, mark in self._marks.items()
            if name not in tables.tasks
            or tables.tasks[name].epoch != mark.epoch
        ]
        for name in outdated:
            del self._marks[name]
        return list(itertools.islice(self._marks.values(), _MARKS_LIMIT))

    def _set_mark(
        self, task: ttypes.Task, state: ttypes.TaskState, reason: str
    ) -> None:
        self._marks[task.name] = ttypes.TaskMark(
            task=task.name, epoch=task.epoch, state=state, reason=reason
        )
