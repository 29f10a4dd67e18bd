"""Isolates tasks that are suspected of crashing a worker from other tasks.

A crash ends all runs on the worker, and every task that had just started there is
a suspect. While suspects wait, a few workers are reserved for them, and suspects
start on these in small groups. This narrows down the cause of the next crash.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import math

from marigoldsill.coordination.job_placing import free_capacity
from marigoldsill.coordination.learning import worker_restarts
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state.run_outcomes import crash_attribution

# How long starts on a worker are observed before a suspect starts there: covers the
# commit of the grant, the order to the agent, the start and a crash at startup.
_OBSERVATION_S = 0.5
# Bounds on the number of reserved workers: the share of all workers, and the maximum.
_RESERVED_SHARE = 0.4
_RESERVED_LIMIT = 32
# Maximum number of suspects that start together on one worker. Groups keep the wait
# short when there are many suspects.
_GROUP_LIMIT = 8
# A suspect that has waited for this long starts on any worker, so that isolation does
# not starve its job. After a second crash a suspect waits longer, because a third one,
# even if another task caused it, would fail its job.
_WAIT_LIMIT_S = 2.0
_EXCLUSIVE_WAIT_LIMIT_S = 4.0
# How long a worker stays reserved while no suspect starts on it.
_IDLE_RESERVATION_S = 1.0
# Searches of all workers for one to reserve, in one round.
_SEARCHES_LIMIT = 8

Acceptance = Callable[[free_capacity.FreeCapacity], bool]


@dataclasses.dataclass(slots=True)
class _Reservation:
    """The reservation of a worker for suspects.

    Attributes:
        reserved_s: When the worker was reserved.
        started_s: When the last group of suspects was granted.
        group_count: How many suspects the group has.
        is_exclusive: Whether no other suspect may join the group.
    """

    reserved_s: float
    started_s: float = -math.inf
    group_count: int = 0
    is_exclusive: bool = False

    def is_observed(self, now_s: float) -> bool:
        """Whether the observation of the last group is over."""
        return now_s - self.started_s >= _OBSERVATION_S


class CrashIsolation:
    """Reserves workers for crash suspects; used by one thread."""

    def __init__(self, *, restarts: worker_restarts.WorkerRestarts):
        """Initializes the isolation without reservations.

        Args:
            restarts: Which workers have restarted. A sound suspect on a worker that
                crashes by itself would be taken for the cause.
        """
        self._reservations: dict[str, _Reservation] = {}
        self._started_s: dict[str, float] = {}
        self._waiting_since_s: dict[str, float] = {}
        # The last start of a suspect by agent, and of one that starts exclusively.
        self._suspect_s: dict[str, float] = {}
        self._exclusive_s: dict[str, float] = {}
        self._restarts = restarts
        self._reserved_limit = 1
        self._group_limit = 1
        self._searches_left = _SEARCHES_LIMIT

    def begin_round(
        self, *, suspects_count: int, workers_count: int, now_s: float
    ) -> None:
        """Updates the limits and releases reservations that are no longer needed.

        Args:
            suspects_count: How many suspects wait.
            workers_count: How many workers there are.
            now_s: The time of the round.
        """
        self._reserved_limit = max(
            1, min(_RESERVED_LIMIT, int(_RESERVED_SHARE * workers_count))
        )
        self._searches_left = _SEARCHES_LIMIT
        per_worker_count = math.ceil(suspects_count / self._reserved_limit)
        self._group_limit = max(1, min(_GROUP_LIMIT, per_worker_count))
        if not suspects_count:
            self._waiting_since_s.clear()
        self._reservations = {
            agent: reservation
            for agent, reservation in self._reservations.items()
            if not reservation.is_observed(now_s)
            or (
                suspects_count
                and now_s - max(reservation.reserved_s, reservation.started_s)
                < _IDLE_RESERVATION_S
            )
        }

    def admits(self, agent: str) -> bool:
        """Whether tasks that are not suspects may start on an agent's worker."""
        return agent not in self._reservations

    def record_start(
        self, name: str, task: ttypes.JobTask, agent: str, *, now_s: float
    ) -> None:
        """Records the start of a task, a suspect or another one.

        Args:
            name: The task's name.
            task: The task.
            agent: The agent on whose worker it starts.
            now_s: The time of the round.
        """
        if crash_attribution.is_suspect(task):
            self._waiting_since_s.pop(name, None)
            self._suspect_s[agent] = now_s
        if crash_attribution.needs_exclusive_start(task):
            self._exclusive_s[agent] = now_s
        if self.admits(agent):
            self._started_s[agent] = now_s

    def is_overdue(
        self, name: str, task: ttypes.JobTask, *, now_s: float
    ) -> bool:
        """Whether a suspect has waited longer than isolation may delay it.

        The wait counts from the first call for the suspect.
        """
        since_s = self._waiting_since_s.setdefault(name, now_s)
        limit_s = (
            _EXCLUSIVE_WAIT_LIMIT_S
            if crash_attribution.needs_exclusive_start(task)
            else _WAIT_LIMIT_S
        )
        return now_s - since_s >= limit_s

    def may_start_overdue(
        self, task: ttypes.JobTask, agent: str, *, now_s: float
    ) -> bool:
        """Whether a task that isolation delays no longer may start on a worker.

        One whose next crash may fail its job still starts beside no other suspect:
        suspects that are overdue together may have the cause of the crash among them.
        """
        others_s = self._exclusive_s.get(agent, -math.inf)
        if crash_attribution.needs_exclusive_start(task):
            others_s = self._suspect_s.get(agent, -math.inf)
        elif not crash_attribution.is_suspect(task):
            return True
        return now_s - others_s >= _OBSERVATION_S

    def choose(
        self,
        task: ttypes.JobTask,
        workers: Mapping[str, free_capacity.FreeCapacity],
        accepts: Acceptance,
        *,
        now_s: float,
    ) -> free_capacity.FreeCapacity | None:
        """A reserved worker where a suspect may start now, or None.

        If there is none, another worker is reserved within the limit. The suspect
        can start there once the last starts on it have been observed.

        Args:
            task: The suspect.
            workers: All workers that may be given tasks, by agent.
            accepts: Whether a worker fits the suspect.
            now_s: The time of the round.
        """
        free = self._find_reserved(task, workers, accepts, now_s)
        if free is None:
            self._reserve_worker(task, workers, accepts, now_s)
            free = self._find_reserved(task, workers, accepts, now_s)
        if free is None:
            return None
        self._record_suspect_start(self._reservations[free.agent], task, now_s)
        return free

    def _find_reserved(
        self,
        task: ttypes.JobTask,
        workers: Mapping[str, free_capacity.FreeCapacity],
        accepts: Acceptance,
        now_s: float,
    ) -> free_capacity.FreeCapacity | None:
        fitting = (
            workers[agent]
            for agent in self._reservations
            if agent in workers
            and self._may_start(agent, task, now_s)
            and accepts(workers[agent])
        )
        return min(fitting, key=self._preference(task, now_s), default=None)

    def _reserve_worker(
        self,
        task: ttypes.JobTask,
        workers: Mapping[str, free_capacity.FreeCapacity],
        accepts: Acceptance,
        now_s: float,
    ) -> None:
        """Reserves the worker with the fewest runs, within the limits."""
        is_limited = len(self._reservations) >= self._reserved_limit
        if is_limited or not self._searches_left:
            return
        self._searches_left -= 1
        fitting = (
            free
            for agent, free in workers.items()
            if agent not in self._reservations and accepts(free)
        )
        preference = self._preference(task, now_s)
        free = min(
            fitting,
            key=lambda f: (*preference(f), sum(f.runs_by_step.values())),
            default=None,
        )
        if free is not None:
            self._reservations[free.agent] = _Reservation(reserved_s=now_s)

    def _preference(
        self, task: ttypes.JobTask, now_s: float
    ) -> Callable[[free_capacity.FreeCapacity], tuple[bool, bool]]:
        """Returns a sort key of workers, the ones with the least own faults first."""
        avoided = crash_attribution.early_loss_agents(task)
        return lambda free: (
            free.agent in avoided,
            self._restarts.has_restarted(free.agent, now_s=now_s),
        )

    def _may_start(
        self, agent: str, task: ttypes.JobTask, now_s: float
    ) -> bool:
        reservation = self._reservations.get(agent)
        if reservation is None:
            return False
        if reservation.started_s == now_s:
            is_full = reservation.group_count >= self._group_limit
            return not (
                is_full
                or reservation.is_exclusive
                or crash_attribution.needs_exclusive_start(task)
            )
        others_s = self._started_s.get(agent, -math.inf)
        return (
            reservation.is_observed(now_s)
            and now_s - others_s >= _OBSERVATION_S
        )

    def _record_suspect_start(
        self, reservation: _Reservation, task: ttypes.JobTask, now_s: float
    ) -> None:
        is_first = reservation.started_s != now_s
        reservation.group_count = 1 if is_first else reservation.group_count + 1
        reservation.is_exclusive = crash_attribution.needs_exclusive_start(task)
        reservation.started_s = now_s
