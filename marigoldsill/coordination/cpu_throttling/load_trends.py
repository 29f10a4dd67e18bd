"""Load trends of latency-critical tasks, used to throttle others before a rise.

Samples lag: a tail latency covers the last half second, listings are a quarter of a
second apart, and a quota takes a tenth of a second to show. Without the trend, a load
that rises during this time would push a tail latency past its target.
"""

from collections.abc import Mapping
import dataclasses

from marigoldsill.protocol import task_names

# From the middle of the period that a tail latency covers until a quota based on it
# shows.
_LEAD_S = 0.6
# Samples closer together than this reflect rounding rather than a trend.
_MIN_INTERVAL_S = 0.2
# Weight of the newest sample in a trend.
_NEWEST_SHARE = 0.5
# A load that swings by half within 10 s raises utilization by 0.11 a second. A faster
# rise is interference that is not well known.
_RISE_LIMIT_PER_S = 0.12


@dataclasses.dataclass(slots=True, frozen=True)
class _Trend:
    """The trend of one task's utilization without interference.

    Attributes:
        utilization: The utilization at the last sample.
        sampled_s: When the last sample was taken.
        rise_per_s: By how much the utilization rises per second.
    """

    utilization: float
    sampled_s: float
    rise_per_s: float = 0.0

    def updated(self, utilization: float, now_s: float) -> "_Trend":
        elapsed_s = now_s - self.sampled_s
        if elapsed_s < _MIN_INTERVAL_S:
            return self
        newest_per_s = (utilization - self.utilization) / elapsed_s
        rise_per_s = (
            _NEWEST_SHARE * newest_per_s + (1 - _NEWEST_SHARE) * self.rise_per_s
        )
        return _Trend(
            utilization, now_s, min(max(rise_per_s, 0.0), _RISE_LIMIT_PER_S)
        )


class LoadTrends:
    """The trends of the latency-critical tasks on one worker."""

    def __init__(self):
        self._trends: dict[task_names.RunKey, _Trend] = {}

    def update(
        self, utilizations: Mapping[task_names.RunKey, float], *, now_s: float
    ) -> None:
        """Updates the trends, and drops those of tasks that are no longer given.

        Args:
            utilizations: The utilization of each task without interference.
            now_s: The time of the samples.
        """
        self._trends = {
            key: self._trends[key].updated(utilization, now_s)
            if key in self._trends
            else _Trend(utilization, now_s)
            for key, utilization in utilizations.items()
        }

    def expected_rise(self, key: task_names.RunKey) -> float:
        """Returns by how much a utilization will have risen once a quota shows."""
        return self._trends[key].rise_per_s * _LEAD_S
