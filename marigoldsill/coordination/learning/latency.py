"""Load and tail latency of each service, from measurements of its instances.

A guard protects services from errors of the learnt interference model: if a service's
instances with neighbours miss the target clearly more often than those without,
sharing with that service is suspended for a time that doubles with each suspension.
"""

import dataclasses
import math

from marigoldsill.coordination.learning import (
    interference as interference_module,
)
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import logs

_MIN_LOAD_WINDOW_S = 20.0
_IDLE_S = 60.0
_PEAK_HALF_LIFE_S = 600.0
# Time constant of the miss rates, in samples.
_GUARD_DECAY_COUNT = 60.0
_GUARD_MIN_SAMPLES_COUNT = 20.0
_GUARD_SUSPENSION_S = 60.0
_GUARD_SUSPENSION_LIMIT_S = 960.0
_GUARD_MARGIN_RATIO = 0.05
# Share of the headroom below the target that sharing may use: the minimum, and what
# the weight of batch work may add to it.
_HEADROOM_SHARE_MIN = 0.1
_HEADROOM_SHARE_SPAN = 0.4


@dataclasses.dataclass(slots=True)
class _MissRate:
    """An exponentially decaying share of measurements over the target."""

    count: float = 0.0
    missed: float = 0.0

    def add(self, missed: bool) -> None:
        decay = 1 - 1 / _GUARD_DECAY_COUNT
        self.count = self.count * decay + 1
        self.missed = self.missed * decay + missed

    def ratio(self) -> float:
        return self.missed / self.count if self.count else 0.0


@dataclasses.dataclass(slots=True)
class _Service:
    """Measurements of one service.

    Attributes:
        peak_millicores: The peak CPU usage of an instance, before decay.
        peak_s: When the peak was measured.
        load: The load step of the latest measurement.
        load_measured_s: When each load step was last measured.
        shared: Miss rate of instances with neighbours.
        alone: Miss rate of instances without neighbours.
        first_checked_s: When the service was first checked for being idle.
        suspended_until_s: When the suspension of sharing ends.
        next_suspension_s: How long the next suspension lasts.
    """

    peak_millicores: float = 0.0
    peak_s: float = -math.inf
    load: int = 0
    load_measured_s: list[float] = dataclasses.field(
        default_factory=lambda: [-math.inf] * interference_module.LOADS_COUNT
    )
    shared: _MissRate = dataclasses.field(default_factory=_MissRate)
    alone: _MissRate = dataclasses.field(default_factory=_MissRate)
    first_checked_s: float = math.inf
    suspended_until_s: float = -math.inf
    next_suspension_s: float = _GUARD_SUSPENSION_S


class ServiceLatencies:
    """Tracks the load of every service and guards its target.

    Attributes:
        guard_margin_ratio: By how much the miss rate of instances with neighbours may
            exceed that of instances without.
    """

    def __init__(self):
        self.guard_margin_ratio = _GUARD_MARGIN_RATIO
        self._services: dict[str, _Service] = {}

    def observe(
        self,
        service: str,
        *,
        cpu_millicores: int,
        latency_ratio: float,
        shared: bool | None,
        measured_s: float,
        now_s: float,
    ) -> int:
        """Records a measurement of an instance.

        Args:
            service: The service's name.
            cpu_millicores: The CPU usage of the instance.
            latency_ratio: The tail latency divided by its target.
            shared: Whether the instance had neighbours when it was measured; None if
                that is not known.
            measured_s: When it was measured.
            now_s: The current time.

        Returns:
            The load step of the measurement.
        """
        known = self._services.setdefault(service, _Service())
        load = _record_load(known, cpu_millicores, measured_s)
        if shared is not None:
            rate = known.shared if shared else known.alone
            rate.add(latency_ratio > 1)
            self._update_guard(service, known, now_s)
        return load

    def current_load(self, service: str) -> int:
        """Returns the load step of a service's latest measurement."""
        known = self._services.get(service)
        return known.load if known is not None else 0

    def peak_load(self, service: str, *, ahead_s: float, now_s: float) -> int:
        """Returns the highest load step to expect within a time ahead.

        This is the highest load step in a time of the same length before now.

        Args:
            service: The service's name.
            ahead_s: The length of the time ahead.
            now_s: The current time.
        """
        known = self._services.get(service)
        if known is None:
            return 0
        since_s = now_s - max(ahead_s, _MIN_LOAD_WINDOW_S)
        steps = (
            i
            for i, measured_s in enumerate(known.load_measured_s)
            if measured_s >= since_s
        )
        return max(steps, default=known.load)

    def is_idle(self, service: str, *, now_s: float) -> bool:
        """Whether no measurement shows a call of a service in the last minute.

        Without calls there is no tail latency to learn from or to degrade. A service
        that has been observed for less than a minute is not idle.
        """
        known = self._services.setdefault(service, _Service())
        known.first_checked_s = min(known.first_checked_s, now_s)
        measured_s = max(known.load_measured_s)
        return now_s - max(known.first_checked_s, measured_s) > _IDLE_S

    def is_suspended(self, service: str, *, now_s: float) -> bool:
        """Whether the guard forbids sharing with a service now."""
        known = self._services.get(service)
        return known is not None and now_s < known.suspended_until_s

    def _update_guard(
        self, service: str, known: _Service, now_s: float
    ) -> None:
        if now_s < known.suspended_until_s:
            return
        if known.shared.count < _GUARD_MIN_SAMPLES_COUNT:
            return
        allowed = known.alone.ratio() + self.guard_margin_ratio
        if known.shared.ratio() <= allowed:
            return
        known.suspended_until_s = now_s + known.next_suspension_s
        known.next_suspension_s = min(
            2 * known.next_suspension_s, _GUARD_SUSPENSION_LIMIT_S
        )
        known.shared = _MissRate()
        logs.event(
            "sharing_suspended",
            level="WARNING",
            service=service,
            seconds=round(known.suspended_until_s - now_s),
        )


def latency_limit(
    policy: ttypes.Policy,
    prediction: interference_module.Prediction,
    *,
    guarded: bool = False,
) -> float:
    """Returns the tail latency, in units of the target, that sharing may cause.

    The limit is the latency without neighbours plus a share of the headroom up to the
    target. The share grows with the weight of batch work; it is at its minimum for a
    service that the guard protects.
    """
    weight = policy.batch_weight + policy.latency_weight
    batch_share = policy.batch_weight / weight if weight > 0 else 0.5
    share = _HEADROOM_SHARE_MIN
    if not guarded:
        share += _HEADROOM_SHARE_SPAN * batch_share
    return prediction.alone + share * max(1 - prediction.alone, 0.0)


def _record_load(
    known: _Service, cpu_millicores: int, measured_s: float
) -> int:
    age_s = max(measured_s - known.peak_s, 0.0)
    decayed_millicores = known.peak_millicores * 0.5 ** (
        age_s / _PEAK_HALF_LIFE_S
    )
    if cpu_millicores >= decayed_millicores:
        known.peak_millicores, known.peak_s = cpu_millicores, measured_s
        decayed_millicores = cpu_millicores
    load = interference_module.load_step(
        cpu_millicores / max(decayed_millicores, 1)
    )
    known.load = load
    known.load_measured_s[load] = max(known.load_measured_s[load], measured_s)
    return load
