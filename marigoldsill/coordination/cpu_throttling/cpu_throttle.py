"""Throttles best-effort tasks so that latency-critical ones meet their targets.

The agent decides from its worker's listings, several times a second and without a call
to control, because interference changes within seconds. From the utilization of a
latency-critical task and the known interference between each pair of images it
calculates the utilization of the task without interference. It divides the remaining
headroom among the best-effort tasks, starting with those that interfere least.
"""

from collections.abc import Mapping
import dataclasses
import math

from marigoldsill.coordination.cpu_throttling import load_trends
from marigoldsill.coordination.learning import utilization
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes

_TARGET_UTILIZATION = utilization.from_latency_ratio(0.92)
_HIGH_UTILIZATION = utilization.from_latency_ratio(0.92)
# Minimum time between two cuts: a quota takes 0.1 s to show, and a sampled tail latency
# covers the last half second.
_CUT_INTERVAL_S = 0.5
# Quotas rise gradually, as the interference estimate may be too low.
_RISE_LIMIT_PERCENT = 25
_INITIAL_PERCENT = 25
# A pair of images that adds less utilization per tenth of the worker in use is light,
# so its best-effort tasks start at full speed.
_LIGHT_INTERFERENCE = 0.02
_FULL_PERCENT = 100
# A task with a smaller quota makes almost no progress, so it is stopped.
_MIN_PERCENT = 8
# Smaller changes are not worth a call to the worker.
_MIN_CHANGE_PERCENT = 5
# If the known interference explains less than this share of an excess, tasks are stopped
# unless their image is known to be light; light ones keep a share of their quota.
_MIN_EXPLAINED_SHARE = 0.4
_LIGHT_KEPT_SHARE = 0.5
_TENTHS = 10

ImagePair = tuple[str, str]


@dataclasses.dataclass(slots=True)
class _BestEffort:
    """A best-effort run.

    Attributes:
        key: The run.
        image: The image that it runs.
        used_tenths: Tenths of the worker that it uses.
        full_speed_tenths: Tenths of the worker that it would use at full speed.
        percent: Its quota.
    """

    key: task_names.RunKey
    image: str
    used_tenths: float
    full_speed_tenths: float
    percent: int


@dataclasses.dataclass(slots=True, frozen=True)
class _LatencyCritical:
    """A latency-critical run.

    Attributes:
        key: The run.
        image: The image that it runs.
        utilization: Its utilization, including interference.
    """

    key: task_names.RunKey
    image: str
    utilization: float


class CpuThrottle:
    """CPU quotas of the best-effort tasks on one worker.

    Attributes:
        interference_by_pair: What a tenth of the worker in use by a best-effort image
            adds to the utilization of a latency-critical one;
            by (latency-critical, best-effort) image.
    """

    def __init__(self):
        self.interference_by_pair: dict[ImagePair, float] = {}
        self._percents: dict[task_names.RunKey, int] = {}
        self._last_cut_s = 0.0
        self._trends = load_trends.LoadTrends()

    def percent(self, key: task_names.RunKey) -> int:
        """Returns the quota of a best-effort run, in percent of its full speed."""
        return self._percents.get(key, _FULL_PERCENT)

    def initial_percent(
        self, order: ttypes.RunOrder, latency_critical_images: set[str]
    ) -> int:
        """Returns the quota of a best-effort run at its start, and sets it if unset.

        Args:
            order: The order to start the run.
            latency_critical_images: Images of the worker's latency-critical tasks.
        """
        key = (order.task, order.run)
        if key not in self._percents:
            is_light = self._is_light(latency_critical_images, order.image)
            percent = _FULL_PERCENT if is_light else _INITIAL_PERCENT
            self._percents[key] = percent
        return self._percents[key]

    def update(
        self,
        orders: Mapping[task_names.RunKey, ttypes.RunOrder],
        samples: Mapping[task_names.RunKey, ttypes.RunSample],
        *,
        capacity_millicores: int,
        now_s: float,
    ) -> None:
        """Updates the quotas from the worker's newest samples.

        Args:
            orders: The orders for runs on the worker.
            samples: The worker's samples of its runs.
            capacity_millicores: The worker's CPU capacity.
            now_s: The time of the samples.
        """
        tenth = max(1, capacity_millicores) / _TENTHS
        sampled = [
            (key, order, samples[key])
            for key, order in orders.items()
            if key in samples
        ]
        best_effort = [
            _BestEffort(
                key=key,
                image=order.image,
                used_tenths=sample.load / tenth,
                full_speed_tenths=order.cpu_millicores / tenth,
                percent=self.percent(key),
            )
            for key, order, sample in sampled
            if order.best_effort
        ]
        latency_critical = [
            _LatencyCritical(
                key,
                order.image,
                utilization.from_tail_latency(
                    sample.load, order.tail_target_ms
                ),
            )
            for key, order, sample in sampled
            if order.tail_target_ms and sample.load
        ]
        sampled_percents = {task.key: task.percent for task in best_effort}
        # A run that is not sampled yet keeps its quota until it is.
        self._percents = {
            key: sampled_percents.get(key, percent)
            for key, percent in self._percents.items()
            if key in orders
        } | sampled_percents
        self._trends.update(
            {
                task.key: task.utilization
                - self._total_interference(task, best_effort)
                for task in latency_critical
            },
            now_s=now_s,
        )
        if not best_effort:
            return
        if self._has_unexplained_excess(latency_critical, best_effort):
            if now_s >= self._last_cut_s + _CUT_INTERVAL_S:
                self._last_cut_s = now_s
                self._cut_all(latency_critical, best_effort)
            return
        self._divide_headroom(latency_critical, best_effort)

    def _has_unexplained_excess(
        self,
        latency_critical: list[_LatencyCritical],
        best_effort: list[_BestEffort],
    ) -> bool:
        """Whether known interference does not explain a high utilization."""
        return any(
            task.utilization > _HIGH_UTILIZATION
            and self._total_interference(task, best_effort)
            < _MIN_EXPLAINED_SHARE * (task.utilization - _TARGET_UTILIZATION)
            for task in latency_critical
        )

    def _cut_all(
        self,
        latency_critical: list[_LatencyCritical],
        best_effort: list[_BestEffort],
    ) -> None:
        """Reduces the quotas of light tasks and stops the others."""
        images = {task.image for task in latency_critical}
        for task in best_effort:
            is_light = self._is_light(images, task.image)
            kept_share = _LIGHT_KEPT_SHARE if is_light else 0.0
            self._set_percent(task, task.percent * kept_share)

    def _is_light(self, latency_critical_images: set[str], image: str) -> bool:
        """Whether an image is known to interfere little with each of the others."""
        return all(
            self.interference_by_pair.get((other, image), math.inf)
            < _LIGHT_INTERFERENCE
            for other in latency_critical_images
        )

    def _divide_headroom(
        self,
        latency_critical: list[_LatencyCritical],
        best_effort: list[_BestEffort],
    ) -> None:
        """Divides the headroom, starting with the tasks that interfere least."""
        headrooms = [
            _TARGET_UTILIZATION
            - (task.utilization - self._total_interference(task, best_effort))
            - self._trends.expected_rise(task.key)
            for task in latency_critical
        ]
        for task in sorted(
            best_effort,
            key=lambda t: self._largest_interference(latency_critical, t),
        ):
            limit_percent = min(
                task.percent + _RISE_LIMIT_PERCENT, _FULL_PERCENT
            )
            interference_per_percent = [
                self._pair_interference(other, task)
                * task.full_speed_tenths
                / _FULL_PERCENT
                for other in latency_critical
            ]
            allowed_percent = min(
                (
                    headroom / per_percent
                    for headroom, per_percent in zip(
                        headrooms, interference_per_percent, strict=True
                    )
                    if per_percent > 0
                ),
                default=limit_percent,
            )
            percent = max(0.0, min(limit_percent, allowed_percent))
            headrooms = [
                headroom - per_percent * percent
                for headroom, per_percent in zip(
                    headrooms, interference_per_percent, strict=True
                )
            ]
            self._set_percent(task, percent)

    def _total_interference(
        self, task: _LatencyCritical, best_effort: list[_BestEffort]
    ) -> float:
        """What best-effort tasks add to a utilization now, as far as known."""
        return sum(
            self._pair_interference(task, other) * other.used_tenths
            for other in best_effort
        )

    def _largest_interference(
        self, latency_critical: list[_LatencyCritical], task: _BestEffort
    ) -> float:
        return max(
            (
                self._pair_interference(other, task)
                for other in latency_critical
            ),
            default=0.0,
        )

    def _pair_interference(
        self, latency_critical: _LatencyCritical, best_effort: _BestEffort
    ) -> float:
        """What a tenth of the worker in use by a task adds to a utilization."""
        return self.interference_by_pair.get(
            (latency_critical.image, best_effort.image), 0.0
        )

    def _set_percent(self, task: _BestEffort, percent: float) -> None:
        """Sets a quota in whole percent, unless the change is small."""
        whole_percent = int(percent)
        if whole_percent < _MIN_PERCENT:
            whole_percent = 0
        is_small = abs(whole_percent - task.percent) < _MIN_CHANGE_PERCENT
        if is_small and whole_percent not in (0, _FULL_PERCENT):
            return
        self._percents[task.key] = whole_percent
