"""Waiting tasks in the order in which they are placed.

Tasks of one class share a heap. If the first task of a class fits on no worker,
the others of that class would not fit either. The class is then paused, so that
it never blocks the tasks after it, and is tried again after a growing number of
rounds. While there are few classes, all are tried again as soon as capacity may
have been freed on a worker.
"""

from collections.abc import Iterator
import dataclasses
import heapq

from marigoldsill.coordination.placement import task_view as task_view_module

_PAUSE_LIMIT_ROUNDS = 16
_FEW_CLASSES_COUNT = 32


@dataclasses.dataclass(slots=True)
class _TaskClass:
    """The waiting tasks of one class.

    Attributes:
        heap: Pairs of sort key and name, some of them outdated.
        reason: Why its first task could not be placed, or empty.
        pause_rounds: The length of the last pause.
        resume_round: The round from which on it is tried again.
    """

    heap: list[tuple] = dataclasses.field(default_factory=list)
    reason: str = ""
    pause_rounds: int = 0
    resume_round: int = 0


class TaskQueue:
    """Waiting tasks by class, ordered by urgency and slack."""

    def __init__(self):
        self._views: dict[str, task_view_module.TaskView] = {}
        self._classes: dict[tuple, _TaskClass] = {}
        self._delayed: list[tuple[float, str]] = []
        self._round = 0

    @property
    def waiting_count(self) -> int:
        """The number of waiting tasks."""
        return len(self._views)

    def get(self, name: str) -> task_view_module.TaskView | None:
        """The view with which a task was queued, or None if it is not."""
        return self._views.get(name)

    def put(
        self, task_view: task_view_module.TaskView, *, now_unix_ms: int
    ) -> None:
        """Adds a waiting task, or replaces its view."""
        name = task_view.task.name
        self._views[name] = task_view
        if task_view.earliest_start_unix_ms > now_unix_ms:
            heapq.heappush(
                self._delayed, (task_view.earliest_start_unix_ms, name)
            )
            return
        self._push(task_view)

    def remove(self, name: str) -> None:
        """Removes a task, if it is queued."""
        self._views.pop(name, None)

    def resume(self) -> None:
        """Ends the pauses of all classes."""
        for task_class in self._classes.values():
            task_class.pause_rounds = task_class.resume_round = 0

    def resume_if_few(self) -> None:
        """Ends the pauses of all classes if there are few classes."""
        if len(self._classes) <= _FEW_CLASSES_COUNT:
            self.resume()

    def begin_round(
        self, *, now_unix_ms: int, limit: int
    ) -> Iterator[task_view_module.TaskView]:
        """Yields the tasks to place in a new round, in the order of placement.

        For each task, the caller calls `remove_placed` if it was placed and
        `pause_class` if it fits on no worker.
        """
        self._round += 1
        self._push_due(now_unix_ms)
        heads = [
            (task_class.heap[0][0], key)
            for key, task_class in list(self._classes.items())
            if task_class.resume_round <= self._round
            and self._prune(key, task_class)
        ]
        heapq.heapify(heads)
        for _ in range(limit):
            if not heads:
                return
            _, key = heads[0]
            task_class = self._classes[key]
            task_view = self._views[task_class.heap[0][1]]
            yield task_view
            self._prune(key, task_class)
            if task_class.heap and task_class.resume_round <= self._round:
                heapq.heapreplace(heads, (task_class.heap[0][0], key))
            else:
                heapq.heappop(heads)

    def wait_reason(self, name: str) -> str:
        """Why the first task of a task's class could not be placed, or empty."""
        task_view = self._views.get(name)
        if task_view is None:
            return ""
        task_class = self._classes.get(task_view_module.task_class(task_view))
        return task_class.reason if task_class is not None else ""

    def pause_class(
        self, task_view: task_view_module.TaskView, reason: str
    ) -> None:
        """Pauses the class of a task that fits on no worker in this round."""
        task_class = self._classes[task_view_module.task_class(task_view)]
        task_class.reason = reason
        task_class.pause_rounds = min(
            max(1, 2 * task_class.pause_rounds), _PAUSE_LIMIT_ROUNDS
        )
        task_class.resume_round = self._round + task_class.pause_rounds

    def remove_placed(self, task_view: task_view_module.TaskView) -> None:
        """Removes a task that was placed."""
        task_class = self._classes[task_view_module.task_class(task_view)]
        task_class.pause_rounds = 0
        task_class.reason = ""
        self.remove(task_view.task.name)

    def _push(self, task_view: task_view_module.TaskView) -> None:
        key = task_view_module.task_class(task_view)
        task_class = self._classes.setdefault(key, _TaskClass())
        heapq.heappush(
            task_class.heap, (task_view.sort_key, task_view.task.name)
        )

    def _push_due(self, now_unix_ms: int) -> None:
        """Pushes the tasks whose delay is over."""
        while self._delayed and self._delayed[0][0] <= now_unix_ms:
            _, name = heapq.heappop(self._delayed)
            task_view = self._views.get(name)
            if (
                task_view is not None
                and task_view.earliest_start_unix_ms <= now_unix_ms
            ):
                self._push(task_view)

    def _prune(self, key: tuple, task_class: _TaskClass) -> bool:
        """Removes outdated entries at the front of a class.

        Returns:
            Whether any task is left; a class without one is removed.
        """
        while task_class.heap:
            sort_key, name = task_class.heap[0]
            task_view = self._views.get(name)
            is_current = (
                task_view is not None and task_view.sort_key == sort_key
            )
            if is_current and task_view_module.task_class(task_view) == key:
                return True
            heapq.heappop(task_class.heap)
        del self._classes[key]
        return False
