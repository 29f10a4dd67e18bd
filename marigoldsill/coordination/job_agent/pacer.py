"""Slows down tasks that fill as soon as those that serve suffer.

The agent decides by what its worker lists, several times a second and without
asking control: what disturbs changes within seconds. All tasks that fill on the
worker share one pace. It falls at once by a ratio while a task that serves is
near its target, and rises slowly while all of them are well below.
"""

from collections.abc import Mapping

from marigoldsill.protocol.generated import ttypes

# Of its target: above the first a tail is too high, below the second calm.
_HIGH_RATIO = 0.8
_CALM_RATIO = 0.5
_FALL_RATIO = 0.5
_RISE_PERCENT = 8
_LOWEST_PERCENT = 0
_HIGHEST_PERCENT = 100
# Below this a task is as good as stopped.
_STOP_PERCENT = 10

RunKey = tuple[str, int]


class Pacer:
    """The pace of the tasks that fill on one worker.

    Attributes:
        percent: What each of them may take of its speed.
    """

    def __init__(self):
        self.percent = _HIGHEST_PERCENT

    def look(
        self,
        orders: Mapping[RunKey, ttypes.RunOrder],
        running: Mapping[RunKey, ttypes.RunLook],
    ) -> None:
        """Takes what the worker lists and sets the pace anew."""
        ratios = [
            running[key].load / order.tail_target_ms
            for key, order in orders.items()
            if order.tail_target_ms and key in running
        ]
        worst = max(ratios, default=0.0)
        if worst > _HIGH_RATIO:
            lower = int(self.percent * _FALL_RATIO)
            self.percent = lower if lower >= _STOP_PERCENT else _LOWEST_PERCENT
        elif worst < _CALM_RATIO:
            self.percent = min(_HIGHEST_PERCENT, self.percent + _RISE_PERCENT)
