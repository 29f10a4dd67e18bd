"""Choice of the runs to evict, within a budget of evictions per minute."""

from collections.abc import Iterable
import dataclasses
import math

from marigoldsill.coordination.placement import fleet as fleet_module
from marigoldsill.coordination.placement import task_view as task_view_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import amounts
from marigoldsill.state import tables as tables_module

# Costs of an eviction, in seconds of work.
_RESTART_COST_S = 5.0
_URGENCY_COST_S = 30.0
_LATE_COST_S = 600.0
_SLACK_SCALE_S = 600.0
# Minimum time between the start of a run and its eviction.
_MIN_RUN_TIME_S = 10.0
_RUN_TIME_DOUBLINGS_LIMIT = 6
# A batch run may be evicted for another one of the same urgency only if its slack
# is more than this many times the run time that the other one has left.
_SLACK_MARGIN = 2.0


class EvictionBudget:
    """A token bucket filled according to `Policy.eviction_share_limit`.

    The limit is the share of the running batch runs that may be evicted in a
    minute.
    """

    def __init__(self):
        self._left = 1.0
        self._refilled_s: float | None = None

    def refill(
        self, policy: ttypes.Policy, running_count: int, *, now_s: float
    ) -> None:
        """Adds the evictions allowed for the time since the last call."""
        per_minute = max(policy.eviction_share_limit * running_count, 0.0)
        limit = max(per_minute, 1.0) if policy.eviction_share_limit > 0 else 0.0
        if self._refilled_s is None:
            self._left = limit
        else:
            passed_s = max(now_s - self._refilled_s, 0.0)
            self._left += limit * passed_s / 60
        self._left = min(self._left, limit)
        self._refilled_s = now_s

    def try_consume(self, count: int = 1) -> bool:
        """Consumes some evictions, if all of them are allowed."""
        if self._left < count:
            return False
        self._left -= count
        return True


@dataclasses.dataclass(slots=True, frozen=True)
class VictimSet:
    """Runs whose eviction would free enough capacity on a worker.

    Attributes:
        worker: The worker's name.
        victims: The runs to evict.
        cost_s: The total cost of their eviction, in seconds of work.
    """

    worker: str
    victims: list[ttypes.Task]
    cost_s: float


class Evictor:
    """Chooses runs to evict, each at most once in a round.

    Attributes:
        budget: The evictions that are allowed now.
    """

    def __init__(self, fleet: fleet_module.Fleet):
        self._fleet = fleet
        self._evicted: set[str] = set()
        self.budget = EvictionBudget()

    def begin_round(self, policy: ttypes.Policy, *, now_s: float) -> None:
        """Clears the evictions of the last round and refills the budget."""
        self._evicted.clear()
        self.budget.refill(policy, self._fleet.batch_runs_count, now_s=now_s)

    def will_continue(self, task: ttypes.Task) -> bool:
        """Whether a run is active and was not evicted in this round."""
        return is_active(task) and task.name not in self._evicted

    def evict(self, task: ttypes.Task, reason: str) -> ttypes.Eviction:
        """Marks a run as evicted in this round and returns its eviction."""
        self._evicted.add(task.name)
        return ttypes.Eviction(task=task.name, epoch=task.epoch, reason=reason)

    def cost_s(
        self,
        tables: tables_module.Tables,
        task: ttypes.Task,
        *,
        now: fleet_module.Now,
    ) -> float:
        """The cost of evicting a batch run, in seconds of work.

        It covers the work lost since the last checkpoint, the restart, the
        urgency, and how little slack is left before the deadline.
        """
        task_view = task_view_module.build(tables, task, self._fleet.estimates)
        if task_view is None:
            return 0.0
        lost_s = 0.0
        if not task_view.is_checkpointable:
            lost_s = self._fleet.estimates.progress_ms(task) / 1000
        cost_s = _RESTART_COST_S + lost_s + _URGENCY_COST_S * task_view.urgency
        slack_s = (task_view.latest_start_unix_ms - now.unix_ms) / 1000
        if math.isinf(slack_s):
            return cost_s
        needed_s = lost_s + _RESTART_COST_S
        if slack_s < needed_s:
            return cost_s + _LATE_COST_S
        return cost_s + _LATE_COST_S / (1 + slack_s / _SLACK_SCALE_S)

    def has_min_run_time(
        self, task: ttypes.Task, *, now: fleet_module.Now
    ) -> bool:
        """Whether a run has been running long enough to be evicted.

        The minimum doubles with each earlier eviction of the task.
        """
        doublings = min(task.evictions_count, _RUN_TIME_DOUBLINGS_LIMIT)
        min_ms = 1000 * _MIN_RUN_TIME_S * 2**doublings
        return now.unix_ms - task.started_unix_ms >= min_ms

    def find_victims(
        self,
        tables: tables_module.Tables,
        task_view: task_view_module.TaskView,
        workers: Iterable[str],
        *,
        now: fleet_module.Now,
        clear_batch: bool = False,
    ) -> VictimSet | None:
        """Finds the cheapest evictions that free capacity for a task.

        Args:
            tables: The state.
            task_view: The task that needs capacity.
            workers: The workers to search.
            now: The time of the round.
            clear_batch: Whether all batch runs on the worker must be evicted.
        """
        choices = (
            self._find_victims_on(tables, task_view, worker, now, clear_batch)
            for worker in workers
        )
        found = [choice for choice in choices if choice is not None]
        return min(found, key=lambda choice: choice.cost_s, default=None)

    def _find_victims_on(
        self,
        tables: tables_module.Tables,
        task_view: task_view_module.TaskView,
        worker: str,
        now: fleet_module.Now,
        clear_batch: bool,
    ) -> VictimSet | None:
        view = self._fleet.capacity_index.views[worker]
        free = view.free
        running = [
            (self.cost_s(tables, task, now=now), task)
            for task in (tables.tasks[name] for name in view.charges)
            if self._may_evict(tables, task_view, task, now)
        ]
        running.sort(key=lambda pair: (pair[0], pair[1].name))
        if clear_batch:
            batch = len(self._fleet.colocated_runs(worker).batch)
            if batch != len(running):
                return None
        victims: list[ttypes.Task] = []
        cost_s = 0.0
        for one_cost_s, task in running:
            if amounts.fits(task_view.demand, free) and not clear_batch:
                break
            victims.append(task)
            cost_s += one_cost_s
            free = amounts.add(free, view.charges[task.name])
        if not victims or not amounts.fits(task_view.demand, free):
            return None
        return VictimSet(worker, victims, cost_s)

    def _may_evict(
        self,
        tables: tables_module.Tables,
        task_view: task_view_module.TaskView,
        task: ttypes.Task,
        now: fleet_module.Now,
    ) -> bool:
        """Whether a run may be evicted for the task of `task_view`."""
        if task.kind != ttypes.Kind.BATCH_JOB or not self.will_continue(task):
            return False
        other = task_view_module.build(tables, task, self._fleet.estimates)
        if other is None or other.urgency > task_view.urgency:
            return False
        if not self.has_min_run_time(task, now=now):
            return False
        if other.urgency < task_view.urgency:
            return True
        if task_view.task.kind != ttypes.Kind.BATCH_JOB:
            return False
        slack_ms = other.latest_start_unix_ms - now.unix_ms
        return slack_ms > _SLACK_MARGIN * task_view.remaining_ms


def is_active(task: ttypes.Task) -> bool:
    """Whether a run was granted and has not been ordered to stop."""
    return task.state in (
        ttypes.TaskState.ASSIGNED,
        ttypes.TaskState.RUNNING,
    )
