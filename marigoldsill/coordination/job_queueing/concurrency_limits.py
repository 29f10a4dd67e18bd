"""Limits on the best-effort jobs of a pool that are under way at once.

In an overload of large jobs, starting each of them as soon as one of its tasks fits
spreads the capacity over all, and most end late. A limit lets those that have started
end first. It only decides; which jobs it applies to is up to the caller.
"""

import abc
from collections.abc import Sequence
import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class PredictedJob:
    """What a job still needs, by the learnt run times.

    Attributes:
        job_id: The job.
        time_left_s: Time until the end of its objective; negative if it is late.
        critical_path_s: Length of the critical path of what is not done.
        core_time_s: Core time of the tasks that are not done.
    """

    job_id: str
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

        They can if, for each objective, the core time of all jobs that have to end by
        then fits into the time left. A job alone is always allowed.
        """
        others = [job for job in under_way if not job.is_hopeless]
        if not others:
            return True
        core_time_s = 0.0
        for job in sorted(
            [*others, candidate], key=lambda job: job.time_left_s
        ):
            core_time_s += job.core_time_s
            if core_time_s > cores_count * job.time_left_s:
                return False
        return True
