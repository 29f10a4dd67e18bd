"""Predicts run times of a queue's tasks from rough estimates and observed runs.

Estimates are wrong by factors that differ between queues. The logarithm of the run time
is modelled as a linear function of the logarithm of the estimate, fitted to the runs of
the queue. Where estimates say little, the line is flat and the prediction is the
queue's usual run time.
"""

from collections.abc import Iterable
import dataclasses
import math

from marigoldsill.protocol.generated import ttypes

# The prior of the slope, and the number of samples that it weighs as much as.
_PRIOR_SLOPE = 0.5
_PRIOR_SAMPLES_COUNT = 4.0
_PRIOR_VARIANCE = 0.5
# From this number of samples on, older samples decay, so that the line follows changes
# of a queue's work.
_SAMPLES_LIMIT = 300.0
_MIN_MS = 10
# From this number of samples on, an estimate that is wrong by a factor of 7 changes a
# prediction by less than a factor of 1.5.
_LEARNT_SAMPLES_COUNT = 4


@dataclasses.dataclass(slots=True)
class _Line:
    """A fitted line, held as decaying moments of its samples."""

    count: float = 0.0
    mean_x: float = 0.0
    mean_y: float = 0.0
    variance_x: float = 0.0
    covariance: float = 0.0

    def add(self, x: float, y: float) -> None:
        self.count = min(self.count + 1, _SAMPLES_LIMIT)
        rate = 1 / self.count
        delta_x, delta_y = x - self.mean_x, y - self.mean_y
        self.mean_x += rate * delta_x
        self.mean_y += rate * delta_y
        self.variance_x += rate * (delta_x**2 * (1 - rate) - self.variance_x)
        product = delta_x * delta_y * (1 - rate)
        self.covariance += rate * (product - self.covariance)

    def predict(self, x: float) -> float:
        if not self.count:
            return x
        prior = _PRIOR_SAMPLES_COUNT * _PRIOR_VARIANCE
        slope = (self.count * self.covariance + prior * _PRIOR_SLOPE) / (
            self.count * self.variance_x + prior
        )
        slope = min(max(slope, 0.0), 1.0)
        # Few samples say little about the mean either.
        weight = self.count / (self.count + 1)
        line = self.mean_y + slope * (x - self.mean_x)
        return weight * line + (1 - weight) * x


class RunTimeModel:
    """Learns the run times of each queue."""

    def __init__(self):
        self._lines: dict[str, _Line] = {}

    def observe(
        self, queue: str, *, estimated_ms: float, run_ms: float
    ) -> None:
        """Updates the model with a run that completed unthrottled.

        Args:
            queue: The queue's name.
            estimated_ms: The estimated run time.
            run_ms: The observed run time.
        """
        line = self._lines.setdefault(queue, _Line())
        line.add(_log(estimated_ms), _log(run_ms))

    def restore(self, lines: Iterable[ttypes.RunTimesLine]) -> None:
        """Restores the lines that an earlier leader recorded."""
        for record in lines:
            self._lines[record.queue] = _Line(
                count=record.samples_count,
                mean_x=record.estimate_mean,
                mean_y=record.run_mean,
                variance_x=record.estimate_variance,
                covariance=record.covariance,
            )

    def records(self) -> list[ttypes.RunTimesLine]:
        """Returns the line of each queue, to be recorded."""
        return [
            ttypes.RunTimesLine(
                queue=queue,
                samples_count=line.count,
                estimate_mean=line.mean_x,
                run_mean=line.mean_y,
                estimate_variance=line.variance_x,
                covariance=line.covariance,
            )
            for queue, line in self._lines.items()
        ]

    def is_learnt(self, queue: str) -> bool:
        """Whether predictions of a queue rest on runs more than on estimates."""
        line = self._lines.get(queue)
        return line is not None and line.count >= _LEARNT_SAMPLES_COUNT

    def predict_ms(self, queue: str, estimated_ms: float) -> float:
        """Returns the expected run time of a task, in milliseconds."""
        line = self._lines.get(queue)
        if line is None:
            return max(estimated_ms, _MIN_MS)
        return math.exp(line.predict(_log(estimated_ms)))


def _log(milliseconds: float) -> float:
    return math.log(max(milliseconds, _MIN_MS))
