"""What tasks of a scenario really use and how they disturb each other.

The decisions never see this; they get late and noisy measurements of it.
"""

import math
import random

from hdrh import histogram

from benchmarks import scenarios
from marigoldsill.protocol.generated import ttypes

_SPREAD = 0.35  # of one request's latency, in logarithms
_P99_OVER_MEDIAN = math.exp(2.326 * _SPREAD)
_REQUESTS_PER_STEP = 6
_THROTTLED_RATE = 0.35


def rate(task: ttypes.Task) -> float:
    """How fast a task works, against one that isn't throttled."""
    return _THROTTLED_RATE if task.throttled else 1.0


class TrueBehaviour:
    """Use, latency and disturbance, by a scenario's hidden factors."""

    def __init__(self, scenario: scenarios.Scenario, source: random.Random):
        self._scenario = scenario
        self._random = source
        self._families = {f.name: f for f in scenario.families}
        self._services = {s.name: s for s in scenario.services}

    def cpu_millicores(self, task: ttypes.Task, *, now_s: float) -> float:
        """What a task really uses."""
        if task.state == ttypes.TaskState.ASSIGNED:
            return 0.0
        if task.kind == ttypes.Kind.SERVICE:
            spec = self._services[task.owner]
            return 1000 * spec.cores * self._load(spec, now_s)
        return 1000 * rate(task) * self.family(task).cores

    def family(self, task: ttypes.Task) -> scenarios.Family:
        """The family of a batch job's task."""
        return self._families[task.owner.partition("-")[0]]

    def serve(
        self,
        task: ttypes.Task,
        tasks: list[ttypes.Task],
        *,
        crowding: float,
        now_s: float,
        latency: histogram.HdrHistogram,
    ) -> int:
        """Serves some requests; their true tail latency, in microseconds."""
        spec = self._services[task.owner]
        load = self._load(spec, now_s)
        added = sum(
            spec.added[self.family(other).name] * self._noise(other, now_s)
            for other in tasks
            if other.kind == ttypes.Kind.BATCH_JOB
            and other.state != ttypes.TaskState.ASSIGNED
        )
        median_ms = spec.median_ms * (1 + 0.8 * load**2)
        median_ms *= (1 + added * (0.4 + 1.2 * load**2)) * crowding**3
        for _ in range(_REQUESTS_PER_STEP):
            latency_ms = median_ms * math.exp(self._random.gauss(0, _SPREAD))
            ratio = latency_ms / spec.target_ms
            latency.record_value(max(1, int(1000 * ratio)))
        return int(1000 * median_ms * _P99_OVER_MEDIAN)

    def _load(self, spec: scenarios.ServiceSpec, now_s: float) -> float:
        wave = math.sin(2 * math.pi * (now_s / 600 + spec.phase))
        return 0.5 + 0.4 * wave

    def _noise(self, other: ttypes.Task, now_s: float) -> float:
        in_wave = int(now_s / 120) % 3 == 2
        if in_wave and self.family(other).noisy:
            return rate(other) * self._scenario.wave_factor
        return rate(other)
