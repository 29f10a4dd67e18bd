"""Utilization of latency-critical tasks, and its increase by interference.

A latency-critical task behaves like a queue: its tail latency is about t0 / (1 - x),
where x is its utilization, so 1 / tail is linear in x. Best-effort tasks on the same
worker add to x by an amount that differs by the pair of images and drifts.
"""

from collections.abc import Mapping
import dataclasses
import math

from marigoldsill.coordination.learning import kalman_filter

# A tail latency of an eighth of the target or less counts as utilization 0.
_MIN_LATENCY_RATIO = 1 / 8
_ALONE_MEAN = 0.5
_ALONE_VARIANCE = 0.04
# A load that oscillates by half in 10 s changes utilization by up to 0.11 per second.
_ALONE_DRIFT_PER_S = 0.01
# Increase by a tenth of the worker in use. Light images add 0.01, others 0.1 to 0.2.
_PAIR_MEAN = 0.03
_PAIR_VARIANCE = 0.004
_PAIR_DRIFT_PER_S = 0.0001
# A pair counts as known once its variance is below this share of the prior's.
_KNOWN_SHARE = 0.75
_KNOWN_SAMPLES_COUNT = 6
# Variance of a pair that an earlier leader recorded, which has drifted since.
_RESTORED_VARIANCE = 0.001
_NOISE_VARIANCE = 0.001
# Tail latencies are reported in whole milliseconds.
_ROUNDING_MS = 0.5
_TERMS_LIMIT = 10_000
# Loads oscillate with periods of 10 to 20 s; the average covers about one period.
_AVERAGE_WINDOW_S = 10.0


def from_tail_latency(tail_ms: float, target_ms: float) -> float:
    """Returns the utilization for a tail latency, from 0 to almost 1."""
    ratio = max(tail_ms / target_ms, _MIN_LATENCY_RATIO)
    return 1 - _MIN_LATENCY_RATIO / ratio


def from_latency_ratio(ratio: float) -> float:
    """Returns the utilization for a ratio of tail latency to target."""
    return from_tail_latency(ratio, 1.0)


@dataclasses.dataclass(slots=True)
class _Average:
    """An exponentially weighted moving average.

    Attributes:
        mean: The average of the added values.
        updated_s: When a value was last added.
    """

    mean: float
    updated_s: float

    def add(self, value: float, now_s: float) -> None:
        previous_weight = math.exp(
            -max(0.0, now_s - self.updated_s) / _AVERAGE_WINDOW_S
        )
        self.mean = value + previous_weight * (self.mean - value)
        self.updated_s = now_s


class UtilizationFilter:
    """Learns utilization without interference, and the increase by best-effort tasks.

    Tasks of one job share the load of its users, so their utilization without
    interference is one term, wherever they run.
    """

    def __init__(self):
        self._alone: dict[str, kalman_filter.Term] = {}
        self._pairs: dict[tuple[str, str], kalman_filter.Term] = {}
        self._averages: dict[str, _Average] = {}
        self._changed_pairs: set[tuple[str, str]] = set()

    def observe(
        self,
        job: str,
        image: str,
        used: Mapping[str, float],
        *,
        tail_ms: float,
        target_ms: float,
        now_s: float,
    ) -> None:
        """Updates the terms with one sample of a latency-critical task.

        Args:
            job: The task's job.
            image: The task's image.
            used: Tenths of the worker in use by best-effort tasks, by image.
            tail_ms: The measured tail latency.
            target_ms: The target of the tail latency.
            now_s: When it was measured.
        """
        alone = self._alone.setdefault(
            job, kalman_filter.Term(_ALONE_MEAN, _ALONE_VARIANCE)
        )
        _add_drift(alone, _ALONE_DRIFT_PER_S, _ALONE_VARIANCE, now_s)
        terms = [(alone, 1.0)]
        for best_effort, tenths in used.items():
            pair = self._pair(image, best_effort)
            _add_drift(pair, _PAIR_DRIFT_PER_S, _PAIR_VARIANCE, now_s)
            terms.append((pair, tenths))
            self._changed_pairs.add((image, best_effort))
        measured = from_tail_latency(tail_ms, target_ms)
        rounding = (1 - measured) * _ROUNDING_MS / max(tail_ms, 1.0)
        kalman_filter.correct(
            terms, measured, noise_variance=_NOISE_VARIANCE + rounding**2
        )
        self._update_average(job, alone.mean, now_s)
        self._enforce_limit()

    def restore(self, image: str, best_effort: str, added: float) -> None:
        """Restores the increase by a pair that an earlier leader recorded."""
        self._pairs[image, best_effort] = kalman_filter.Term(
            added, _RESTORED_VARIANCE
        )
        self._enforce_limit()

    def recent_average(self, job: str) -> float:
        """Returns the average utilization without interference over recent seconds."""
        average = self._averages.get(job)
        return _ALONE_MEAN if average is None else average.mean

    def alone(self, job: str) -> float:
        """Returns the current utilization of a job's tasks without interference."""
        term = self._alone.get(job)
        return _ALONE_MEAN if term is None else term.mean

    def added_utilization(self, image: str, best_effort: str) -> float:
        """Returns the increase in utilization by a tenth of the worker in use.

        Args:
            image: The latency-critical image.
            best_effort: The image of the best-effort tasks that use it.
        """
        term = self._pairs.get((image, best_effort))
        return _PAIR_MEAN if term is None else term.mean

    def added_utilization_upper_bound(
        self, image: str, best_effort: str
    ) -> float:
        """Returns the same increase plus one standard deviation."""
        term = self._pairs.get((image, best_effort))
        if term is None:
            return _PAIR_MEAN + math.sqrt(_PAIR_VARIANCE)
        return term.mean + math.sqrt(term.variance)

    def is_known(self, image: str, best_effort: str) -> bool:
        """Whether the samples of a pair say more than its prior.

        Each sample of a small task says little, but the task also adds little. Such a
        pair is known after a number of samples.
        """
        term = self._pairs.get((image, best_effort))
        if term is None:
            return False
        is_certain = term.variance < _KNOWN_SHARE * _PAIR_VARIANCE
        return is_certain or term.samples_count >= _KNOWN_SAMPLES_COUNT

    def take_changed_pairs(self) -> dict[tuple[str, str], float]:
        """Returns the increases by the pairs observed since the last call.

        A pair consists of a latency-critical image and a best-effort image.
        """
        changed, self._changed_pairs = self._changed_pairs, set()
        return {
            pair: self._pairs[pair].mean
            for pair in changed
            if pair in self._pairs
        }

    def _pair(self, image: str, best_effort: str) -> kalman_filter.Term:
        return self._pairs.setdefault(
            (image, best_effort), kalman_filter.Term(_PAIR_MEAN, _PAIR_VARIANCE)
        )

    def _update_average(self, job: str, alone: float, now_s: float) -> None:
        average = self._averages.setdefault(job, _Average(alone, now_s))
        average.add(alone, now_s)

    def _enforce_limit(self) -> None:
        for terms in (self._alone, self._pairs, self._averages):
            while len(terms) > _TERMS_LIMIT:
                del terms[next(iter(terms))]


def _add_drift(
    term: kalman_filter.Term,
    variance_per_s: float,
    variance_limit: float,
    now_s: float,
) -> None:
    """Increases a term's variance with the time since its last sample."""
    elapsed_s = max(0.0, now_s - term.sampled_s) if term.sampled_s else 0.0
    term.sampled_s = now_s
    term.variance = min(
        variance_limit, term.variance + variance_per_s * elapsed_s
    )
