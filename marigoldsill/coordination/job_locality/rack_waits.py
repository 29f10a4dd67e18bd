"""Delay scheduling: how long a task waits for a worker in its preferred rack.

Answers many tasks that want one rack while other racks are idle. A task that starts
elsewhere takes longer by a known ratio. It waits if its turn in the rack is expected
before that extra run time is used up, and never longer than that, so that waiting costs
at most what starting elsewhere would have cost. Tasks whose turn comes later start
elsewhere at once. Where much of the pool is idle, starting elsewhere delays nobody else,
and a queue at a rack that is full anyway only delays its tasks. So no task begins to wait
there, and beyond that the longest wait grows with the share of the pool in use.
"""

import dataclasses
import enum
import math

from marigoldsill.coordination.job_locality import rack_forecast
from marigoldsill.protocol import task_names

# How long a task keeps the time since when it waits while it has no choice. It is longer
# than the rest of a pool is usually full.
_UNOFFERED_LIMIT_S = 60.0
# How long a forecast and the decisions to wait by it hold, unless a worker in the rack
# fits. It bounds the cost of rounds that follow each other quickly. Decisions by one
# forecast end together, so the tasks book their turns anew in their order.
FORECAST_VALIDITY_S = 0.25

# Up to this share of a pool in use, what starts elsewhere delays nobody else.
_IDLE_POOL_SHARE = 0.6

# A step, and the index of one of its tasks.
TaskKey = tuple[task_names.StepKey, int]


class Verdict(enum.StrEnum):
    """Whether a task waits for its rack; otherwise why it starts elsewhere."""

    WAIT = "wait"
    NO_WORKER = "no_worker"
    TURN_TOO_LATE = "turn_too_late"
    WAITED = "waited"
    JOB_IDLE = "job_idle"


@dataclasses.dataclass(slots=True, frozen=True)
class RackRequest:
    """A task that could start now, but outside of its preferred rack.

    Attributes:
        key: The task.
        cpu_millicores: The processor time that it needs.
        run_s: Its expected run time in the rack.
        idle_deadline_s: When its job would have been idle for too long; infinite
            without such a limit.
        used_share: The share of its pool that is in use, from 0 to 1.
    """

    key: TaskKey
    cpu_millicores: int
    run_s: float
    idle_deadline_s: float
    used_share: float


@dataclasses.dataclass(slots=True, frozen=True)
class Decision:
    """What one task does.

    Attributes:
        verdict: Whether it waits, or why not.
        is_new: Whether it waits from now on.
        limit_s: The maximum duration of its wait.
    """

    verdict: Verdict
    is_new: bool = False
    limit_s: float = 0.0


@dataclasses.dataclass(slots=True)
class _Wait:
    """The wait of one task.

    Attributes:
        since_s: When it began.
        forecast_s: When the forecast was made by which the task waits.
        end_s: When it ends at the latest.
        rack_version: The version of the rack at which no worker in it fitted.
    """

    since_s: float
    forecast_s: float
    end_s: float
    rack_version: int = -1


class RackWaits:
    """Decides which tasks wait for their rack; hints of one term."""

    def __init__(self, *, remote_run_ratio: float):
        """Creates the decisions without waiting tasks.

        Args:
            remote_run_ratio: Run time outside of the preferred rack, divided by the
                run time there.
        """
        self._extra_ratio = remote_run_ratio - 1
        self._waits: dict[TaskKey, _Wait] = {}
        self._pruned_s = -math.inf
        self._waiting_count = 0

    def is_settled(self, key: TaskKey, *, now_s: float) -> bool:
        """Returns whether a decision to wait still holds."""
        wait = self._waits.get(key)
        return (
            wait is not None
            and now_s < wait.end_s
            and now_s - wait.forecast_s < FORECAST_VALIDITY_S
        )

    def is_unchanged(
        self, key: TaskKey, *, rack_version: int, now_s: float
    ) -> bool:
        """Returns whether a task waits, and no worker in its rack has changed."""
        wait = self._waits.get(key)
        return (
            wait is not None
            and wait.rack_version == rack_version
            and self.is_settled(key, now_s=now_s)
        )

    def record_version(self, key: TaskKey, *, rack_version: int) -> None:
        """Records that no worker fits a waiting task at a version of its rack."""
        self._waits[key].rack_version = rack_version

    def decide(
        self,
        request: RackRequest,
        forecast: rack_forecast.RackForecast,
        *,
        now_s: float,
    ) -> Decision:
        """Decides whether a task waits, and books its turn if it does.

        Args:
            request: The task.
            forecast: The capacity that comes free in its rack.
            now_s: The time of the round.
        """
        wait = self._waits.get(request.key)
        since_s = now_s if wait is None else wait.since_s
        limit_s = self._extra_ratio * request.run_s
        latest_start_s = min(since_s + limit_s, request.idle_deadline_s)
        latest_turn_s = latest_start_s
        if wait is None:
            # A task that waits already is not turned away by a short idle moment.
            latest_turn_s = min(
                latest_turn_s, now_s + limit_s * _scarcity(request.used_share)
            )
        verdict = Verdict.WAIT
        if now_s >= since_s + limit_s:
            verdict = Verdict.WAITED
        elif now_s >= request.idle_deadline_s:
            verdict = Verdict.JOB_IDLE
        elif (
            forecast.book(
                request.cpu_millicores,
                run_s=request.run_s,
                latest_start_s=latest_turn_s,
            )
            is None
        ):
            verdict = Verdict.TURN_TOO_LATE
        if verdict is Verdict.WAIT:
            self._waits[request.key] = _Wait(
                since_s, forecast.made_s, latest_start_s
            )
        return Decision(
            verdict,
            is_new=wait is None,
            limit_s=max(0.0, latest_start_s - since_s),
        )

    def waited_s(self, key: TaskKey, *, now_s: float) -> float:
        """Returns how long a task has waited; 0 if it has not."""
        wait = self._waits.get(key)
        return 0.0 if wait is None else now_s - wait.since_s

    def drop(self, key: TaskKey) -> None:
        """Drops a task that starts."""
        self._waits.pop(key, None)

    def end_round(self, *, now_s: float) -> int:
        """Drops tasks that are not offered any more; returns how many wait now."""
        if now_s - self._pruned_s >= FORECAST_VALIDITY_S:
            self._pruned_s = now_s
            self._waits = {
                key: wait
                for key, wait in self._waits.items()
                if now_s - wait.forecast_s < _UNOFFERED_LIMIT_S
            }
            self._waiting_count = sum(
                now_s - wait.forecast_s < FORECAST_VALIDITY_S
                for wait in self._waits.values()
            )
        return self._waiting_count


def _scarcity(used_share: float) -> float:
    """Returns how scarce a pool's capacity is: 0 where much is idle, 1 if none is."""
    return max(0.0, (used_share - _IDLE_POOL_SHARE) / (1 - _IDLE_POOL_SHARE))
