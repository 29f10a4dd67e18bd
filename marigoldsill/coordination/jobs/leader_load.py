"""How near the leader of jobs is to the limit of its processor.

All that a leader does shares one interpreter. When that is used up, threads wait
for their turn, which shows first as timers that fire late.
"""

import dataclasses

from marigoldsill.coordination.jobs import job_metrics
from marigoldsill.transport import logs

_INTERVAL_S = 10.0
# A timer that fires so late in the median means that the interpreter is used up
# and that decisions are delayed by as much.
_LAG_LIMIT_S = 0.05
_SAMPLES_LIMIT = 5_000


@dataclasses.dataclass(slots=True, frozen=True)
class RoundTimes:
    """Times of one round of decisions, in seconds.

    Attributes:
        lag_s: How late the timer before it fired.
        round_s: How long it took, its commits included.
        delay_s: From the first change that it took in to the commit of its
            grants; None if it granted nothing.
    """

    lag_s: float
    round_s: float
    delay_s: float | None


class LeaderLoad:
    """Collects times of rounds, and logs them at intervals while leading."""

    def __init__(self):
        self._rounds: list[RoundTimes] = []
        self._begun_s = 0.0

    def observe(self, times: RoundTimes, *, now_s: float) -> None:
        """Takes the times of a round that has just ended."""
        job_metrics.ROUND_SECONDS.observe(times.round_s)
        job_metrics.ROUND_LAG_SECONDS.observe(times.lag_s)
        if times.delay_s is not None:
            job_metrics.DECISION_SECONDS.observe(times.delay_s)
        if not self._rounds:
            self._begun_s = now_s
        self._rounds.append(times)
        passed_s = now_s - self._begun_s
        if passed_s >= _INTERVAL_S or len(self._rounds) >= _SAMPLES_LIMIT:
            rounds, self._rounds = self._rounds, []
            _log(rounds, passed_s)


def _log(rounds: list[RoundTimes], passed_s: float) -> None:
    lags_s = sorted(times.lag_s for times in rounds)
    rounds_s = sorted(times.round_s for times in rounds)
    delays_s = sorted(
        times.delay_s for times in rounds if times.delay_s is not None
    )
    fields = {
        "passed_s": round(passed_s, 1),
        "rounds_count": len(rounds),
        "round_p50_ms": _milliseconds(rounds_s, 0.5),
        "round_p99_ms": _milliseconds(rounds_s, 0.99),
        "lag_p50_ms": _milliseconds(lags_s, 0.5),
        "lag_p99_ms": _milliseconds(lags_s, 0.99),
        "decisions_count": len(delays_s),
        "decision_p50_ms": _milliseconds(delays_s, 0.5),
        "decision_p99_ms": _milliseconds(delays_s, 0.99),
    }
    if _quantile(lags_s, 0.5) > _LAG_LIMIT_S:
        logs.event("leader_overloaded", level="WARNING", **fields)
    else:
        logs.event("leader_load", **fields)


def _milliseconds(ordered_s: list[float], share: float) -> float:
    return round(_quantile(ordered_s, share) * 1000, 1)


def _quantile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
