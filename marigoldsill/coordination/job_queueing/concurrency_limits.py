"""Limits on the best-effort jobs of a pool that are under way at once.

In an overload of large jobs, starting each of them as soon as one of its tasks fits
spreads the capacity over all, and most end late. A limit lets those that have started
end first. It only decides; which jobs it applies to is up to the caller.
"""

import abc
from collections.abc import Sequence
import dataclasses

from marigoldsill import errors

UNLIMITED = "unlimited"
_PREDICTED_END = "predicted-end"
_COUNT_PREFIX = "count:"
_COUNT_LIMIT = 1_000_000
# Predicted ends allow for the error of run times, for throttled tasks and for wide steps
# that leave capacity unused at their end.
_PREDICTABLE_SHARE = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class PredictedJob:
    """What a job still needs, by the learnt run times.

    Attributes:
        time_left_s: Time until the end of its objective; negative if it is late.
        critical_path_s: Length of the critical path of what is not done.
        core_time_s: Core time of the tasks that are not done.
    """

    time_left_s: float
    critical_path_s: float
    core_time_s: float

    @property
    def slack_s(self) -> float:
        """How long it can wait and still end within its objective."""
        return self.time_left_s - self.critical_path_s

    @property
    def is_hopeless(self) -> bool:
        """Whether it ends late even if nothing of it waits any more."""
        return self.slack_s < 0


class ConcurrencyLimit(abc.ABC):
    """Decides whether one more job of a pool may start."""

    @abc.abstractmethod
    def allows(
        self,
        candidate: PredictedJob,
        under_way: Sequence[PredictedJob],
        *,
        cores_count: float,
    ) -> bool:
        """Returns whether a job may start beside those under way.

        Args:
            candidate: The job that has not started.
            under_way: The jobs that have started, or may start before it.
            cores_count: Cores of the pool that best-effort tasks can use.
        """


@dataclasses.dataclass(slots=True, frozen=True)
class CountLimit(ConcurrencyLimit):
    """Allows a number of jobs under way in each pool.

    Attributes:
        jobs_count: The number, at least 1.
    """

    jobs_count: int

    def allows(
        self,
        candidate: PredictedJob,
        under_way: Sequence[PredictedJob],
        *,
        cores_count: float,
    ) -> bool:
        """Returns whether fewer than the allowed jobs are under way."""
        del candidate, cores_count
        return len(under_way) < self.jobs_count


@dataclasses.dataclass(slots=True, frozen=True)
class PredictedEndLimit(ConcurrencyLimit):
    """Allows as many jobs under way as can all end within their objectives."""

    def allows(
        self,
        candidate: PredictedJob,
        under_way: Sequence[PredictedJob],
        *,
        cores_count: float,
    ) -> bool:
        """Returns whether all jobs that are not hopeless can end in time.

        Jobs under way share the pool, so a job has to wait for as much core time of
        each other job as it needs itself (processor sharing). A job alone is always
        allowed.
        """
        others = [job for job in under_way if not job.is_hopeless]
        if not others:
            return True
        jobs = sorted([*others, candidate], key=lambda job: job.core_time_s)
        usable_cores_count = _PREDICTABLE_SHARE * cores_count
        smaller_core_time_s = 0.0
        for number, job in enumerate(jobs):
            sharing_count = len(jobs) - number
            needed_core_s = (
                smaller_core_time_s + sharing_count * job.core_time_s
            )
            if needed_core_s > usable_cores_count * job.time_left_s:
                return False
            smaller_core_time_s += job.core_time_s
        return True


def parse(text: str) -> ConcurrencyLimit | None:
    """Parses a limit; None if there is none.

    Raises:
        SettingsError: If the text names no limit.
    """
    if text == UNLIMITED:
        return None
    if text == _PREDICTED_END:
        return PredictedEndLimit()
    digits = text.removeprefix(_COUNT_PREFIX)
    if digits != text and _is_count(digits):
        return CountLimit(int(digits))
    raise errors.SettingsError(
        f"invalid limit on jobs under way {text!r}: expected {UNLIMITED!r}, "
        f"{_PREDICTED_END!r} or '{_COUNT_PREFIX}N' with a whole number N from 1 "
        f"to {_COUNT_LIMIT}"
    )


def _is_count(digits: str) -> bool:
    is_number = digits.isascii() and digits.isdecimal()
    is_short = len(digits) <= len(str(_COUNT_LIMIT))
    return is_number and is_short and 1 <= int(digits) <= _COUNT_LIMIT
