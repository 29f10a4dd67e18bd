"""Estimates of resource sizes and run times, from observed and declared ones.

Each estimate is learnt as the logarithm of the ratio of observed to declared, because
declarations are wrong by factors. With few samples the estimate stays near the
declaration. A new job starts from the estimate of its family.
"""

import dataclasses
import functools
import math
import re

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import amounts

# The declaration weighs as much as this number of samples.
_PRIOR_SAMPLES_COUNT = 2.0
# From this number of samples on, older samples decay.
_SAMPLES_LIMIT = 200.0
_PRIOR_DEVIATION = 0.2
_MARGIN_DEVIATIONS = 2.0
_CPU_MARGIN_RATIO = 1.05
_MEMORY_MARGIN_RATIO = 1.15
_RATIO_LIMIT = 100.0
# Decay of the largest logarithm with each sample.
_LARGEST_DECAY = 1e-6
# From this number of samples on, the largest logarithm may exceed the mean by three
# standard deviations only, or by a factor of 2 if that is more.
_OUTLIER_SAMPLES_COUNT = 10
_OUTLIER_MARGIN = math.log(2)
_SAMPLE_INTERVAL_S = 2.0
_FAMILIES_LIMIT = 50_000
_MIN_CPU_MILLICORES = 50
_MIN_MEMORY_BYTES = 1 << 20
_NUMERIC_SUFFIX = re.compile(r"[-._]?[0-9]+$")


@functools.lru_cache(maxsize=_FAMILIES_LIMIT)
def family_of(name: str) -> str:
    """Returns the family of a name: the name without the number at its end."""
    return _NUMERIC_SUFFIX.sub("", name) or name


@dataclasses.dataclass(slots=True)
class _LogRatio:
    """Statistics of the logarithm of the ratio of observed to declared."""

    count: float = 0.0
    mean: float = 0.0
    variance: float = 0.0
    largest: float = -math.inf

    def add(self, ratio: float) -> None:
        value = math.log(min(max(ratio, 1 / _RATIO_LIMIT), _RATIO_LIMIT))
        self.count = min(self.count + 1, _SAMPLES_LIMIT)
        limited = value
        if self.count >= _OUTLIER_SAMPLES_COUNT:
            margin = max(3 * math.sqrt(self.variance), _OUTLIER_MARGIN)
            limited = min(value, self.mean + margin)
        self.largest = max(limited, self.largest - _LARGEST_DECAY)
        change = value - self.mean
        self.mean += change / self.count
        self.variance += (
            change * (value - self.mean) - self.variance
        ) / self.count

    def estimate(self, *, margin_ratio: float) -> float:
        """Returns a ratio that the next sample will rarely exceed."""
        weight = self.count / (self.count + _PRIOR_SAMPLES_COUNT)
        deviation = math.sqrt(
            weight * self.variance + (1 - weight) * _PRIOR_DEVIATION**2
        )
        if not self.count:
            return 1.0
        return margin_ratio * math.exp(
            weight * self.mean + _MARGIN_DEVIATIONS * deviation * weight
        )

    def peak(self, *, margin_ratio: float) -> float:
        """Returns the largest recent ratio, with a margin."""
        if not self.count:
            return 1.0
        weight = self.count / (self.count + _PRIOR_SAMPLES_COUNT)
        return margin_ratio * math.exp(weight * self.largest)

    def typical(self) -> float:
        """Returns the geometric mean of the ratios, with the declaration as prior."""
        weight = self.count / (self.count + _PRIOR_SAMPLES_COUNT)
        return math.exp(weight * self.mean)


@dataclasses.dataclass(slots=True)
class _Family:
    """What was learnt of the tasks of one family."""

    cpu: _LogRatio = dataclasses.field(default_factory=_LogRatio)
    memory: _LogRatio = dataclasses.field(default_factory=_LogRatio)
    run_time: _LogRatio = dataclasses.field(default_factory=_LogRatio)


@dataclasses.dataclass(slots=True)
class _PeakUsage:
    """The peak usage of one run, reached in two consecutive measurements.

    A single measurement may be wrong by a factor.
    """

    sampled_s: float
    cpu_millicores: int = 0
    memory_bytes: int = 0
    progress_ms: int = 0
    previous_cpu_millicores: int = 0
    previous_memory_bytes: int = 0

    def add(self, usage: ttypes.Usage) -> None:
        cpu = min(usage.cpu_millicores, self.previous_cpu_millicores)
        memory = min(usage.memory_bytes, self.previous_memory_bytes)
        self.cpu_millicores = max(self.cpu_millicores, cpu)
        self.memory_bytes = max(self.memory_bytes, memory)
        self.previous_cpu_millicores = usage.cpu_millicores
        self.previous_memory_bytes = usage.memory_bytes
        self.progress_ms = usage.progress_ms


class Estimates:
    """Estimates of sizes and run times, learnt by family of the owners."""

    def __init__(self):
        self._families: dict[str, _Family] = {}
        self._peaks: dict[str, _PeakUsage] = {}

    def is_due(self, task: str, *, measured_s: float) -> bool:
        """Whether a measurement was made long enough after the last one used."""
        peak = self._peaks.get(task)
        return peak is None or measured_s >= peak.sampled_s + _SAMPLE_INTERVAL_S

    def observe(
        self,
        task: ttypes.Task,
        declared: ttypes.Resources,
        usage: ttypes.Usage,
        *,
        measured_s: float,
        is_unthrottled: bool = True,
    ) -> None:
        """Updates the estimates from one measurement.

        The CPU estimate ignores throttled runs, because their usage does not show what
        they would use otherwise.

        Args:
            task: The task of the run.
            declared: The resources declared by the task's owner.
            usage: The measured usage.
            measured_s: When it was measured.
            is_unthrottled: Whether the run is known to have been unthrottled.
        """
        peak = self._peaks.get(task.name)
        if peak is None:
            peak = self._peaks[task.name] = _PeakUsage(measured_s)
        peak.sampled_s = measured_s
        peak.add(usage)
        family = self._get_or_create_family(task.owner)
        if is_unthrottled and usage.cpu_millicores and declared.cpu_millicores:
            family.cpu.add(usage.cpu_millicores / declared.cpu_millicores)
        if usage.memory_bytes and declared.memory_bytes:
            family.memory.add(usage.memory_bytes / declared.memory_bytes)

    def observe_run_time(
        self, owner: str, *, declared_ms: int, took_ms: int
    ) -> None:
        """Updates the run time of an owner's family from a completed job."""
        if declared_ms > 0 and took_ms > 0:
            self._get_or_create_family(owner).run_time.add(
                took_ms / declared_ms
            )

    def recommended_size(
        self, owner: str, declared: ttypes.Resources, *, is_steady: bool = True
    ) -> ttypes.Resources:
        """Returns the resources to reserve for a new run of an owner.

        Args:
            owner: The owner's name.
            declared: The resources declared by the owner.
            is_steady: Whether the CPU usage is about constant, as that of batch jobs
                is. Otherwise the peak usage is reserved.
        """
        family = self._families.get(family_of(owner))
        if family is None:
            return declared
        cpu_ratio = family.cpu.peak(margin_ratio=_CPU_MARGIN_RATIO)
        if is_steady:
            cpu_ratio = family.cpu.estimate(margin_ratio=_CPU_MARGIN_RATIO)
        size = amounts.scale(
            declared,
            cpu_ratio=cpu_ratio,
            memory_ratio=family.memory.peak(margin_ratio=_MEMORY_MARGIN_RATIO),
        )
        return ttypes.Resources(
            max(size.cpu_millicores, _MIN_CPU_MILLICORES),
            max(size.memory_bytes, _MIN_MEMORY_BYTES),
            size.accelerators_count,
        )

    def run_time_ms(self, owner: str, declared_ms: int) -> float:
        """Returns the expected run time of a job, in milliseconds."""
        family = self._families.get(family_of(owner))
        if family is None:
            return declared_ms
        return declared_ms * family.run_time.typical()

    def is_known(self, family: str) -> bool:
        """Whether the CPU usage of any run of a family was learnt."""
        known = self._families.get(family)
        return known is not None and known.cpu.count > 0

    def charged_resources(self, task: ttypes.Task) -> ttypes.Resources:
        """Returns the resources charged for a run: the larger of reserved and used."""
        peak = self._peaks.get(task.name)
        if peak is None:
            return task.reserved
        return ttypes.Resources(
            max(task.reserved.cpu_millicores, peak.cpu_millicores),
            max(task.reserved.memory_bytes, peak.memory_bytes),
            task.reserved.accelerators_count,
        )

    def progress_ms(self, task: ttypes.Task) -> int:
        """Returns the work that a run has done, as of the last measurement."""
        peak = self._peaks.get(task.name)
        return max(task.worked_ms, peak.progress_ms if peak else 0)

    def remove_run(self, task: str) -> None:
        """Removes the measurements of a run that ended."""
        self._peaks.pop(task, None)

    def _get_or_create_family(self, owner: str) -> _Family:
        name = family_of(owner)
        family = self._families.get(name)
        if family is None:
            if len(self._families) >= _FAMILIES_LIMIT:
                self._families.pop(next(iter(self._families)))
            family = self._families[name] = _Family()
        return family
