"""The true resource use and interference of a scenario's tasks.

The decisions only receive delayed and noisy measurements of it.
"""

import math
import random

from hdrh import histogram

from benchmarks import scenarios
from marigoldsill.protocol.generated import ttypes

_LATENCY_SPREAD = 0.35  # standard deviation of the logarithm of a latency
_P99_OVER_MEDIAN = math.exp(2.326 * _LATENCY_SPREAD)
_REQUESTS_PER_STEP = 6
_THROTTLED_RATE = 0.35


def work_rate(task: ttypes.Task) -> float:
    """Returns the speed of a task relative to an unthrottled one."""
    return _THROTTLED_RATE if task.throttled else 1.0


class GroundTruth:
    """True use, latency and interference by a scenario's hidden factors."""

    def __init__(
        self, scenario: scenarios.Scenario, random_source: random.Random
    ):
        self._scenario = scenario
        self._random = random_source
        self._families = {f.name: f for f in scenario.families}
        self._services = {s.name: s for s in scenario.services}

    def cpu_millicores(self, task: ttypes.Task, *, now_s: float) -> float:
        """Returns the true CPU use of a task, in millicores."""
        if task.state == ttypes.TaskState.ASSIGNED:
            return 0.0
        if task.kind == ttypes.Kind.SERVICE:
            spec = self._services[task.owner]
            return 1000 * spec.cores * self._utilization(spec, now_s)
        return 1000 * work_rate(task) * self.family(task).cores

    def family(self, task: ttypes.Task) -> scenarios.JobFamily:
        """Returns the family of a batch job's task."""
        return self._families[task.owner.partition("-")[0]]

    def serve_requests(
        self,
        task: ttypes.Task,
        tasks: list[ttypes.Task],
        *,
        overload_ratio: float,
        now_s: float,
        latency: histogram.HdrHistogram,
    ) -> int:
        """Records the latencies of some requests.

        Returns:
            The true tail latency in microseconds.
        """
        spec = self._services[task.owner]
        utilization = self._utilization(spec, now_s)
        interference = sum(
            spec.added[self.family(other).name]
            * self._interference_factor(other, now_s)
            for other in tasks
            if other.kind == ttypes.Kind.BATCH_JOB
            and other.state != ttypes.TaskState.ASSIGNED
        )
        median_ms = spec.median_ms * (1 + 0.8 * utilization**2)
        median_ms *= (
            1 + interference * (0.4 + 1.2 * utilization**2)
        ) * overload_ratio**3
        for _ in range(_REQUESTS_PER_STEP):
            latency_ms = median_ms * math.exp(
                self._random.gauss(0, _LATENCY_SPREAD)
            )
            ratio = latency_ms / spec.target_ms
            latency.record_value(max(1, int(1000 * ratio)))
        return int(1000 * median_ms * _P99_OVER_MEDIAN)

    def _utilization(self, spec: scenarios.ServiceSpec, now_s: float) -> float:
        wave = math.sin(2 * math.pi * (now_s / 600 + spec.phase))
        return 0.5 + 0.4 * wave

    def _interference_factor(self, other: ttypes.Task, now_s: float) -> float:
        in_wave = int(now_s / 120) % 3 == 2
        if in_wave and self.family(other).noisy:
            return work_rate(other) * self._scenario.wave_factor
        return work_rate(other)
