"""Detects a leader whose processor is overloaded.

All threads of a leader share one interpreter. When it is saturated, threads wait for
each other; the first sign is that timers fire late.
"""

import dataclasses

from marigoldsill.coordination.jobs import job_metrics
from marigoldsill.transport import logs

_INTERVAL_S = 10.0
# A median lag above this means that the interpreter is saturated, and that decisions
# are delayed by as much.
_MEDIAN_LAG_LIMIT_S = 0.05
_ROUNDS_LIMIT = 5_000


@dataclasses.dataclass(slots=True, frozen=True)
class RoundTimes:
    """Times of one scheduling round.

    Attributes:
        lag_s: How late the timer before the round fired.
        round_s: How long the round took, including its commits.
        delay_s: The time from the first change that the round considered to the
            commit of its grants; None if it granted nothing.
    """

    lag_s: float
    round_s: float
    delay_s: float | None


class LeaderLoad:
    """Collects the times of rounds and logs them at intervals."""

    def __init__(self):
        self._rounds: list[RoundTimes] = []
        self._first_s = 0.0

    def observe(self, times: RoundTimes, *, now_s: float) -> None:
        """Adds the times of a round that has just ended."""
        job_metrics.ROUND_SECONDS.observe(times.round_s)
        job_metrics.ROUND_LAG_SECONDS.observe(times.lag_s)
        if times.delay_s is not None:
            job_metrics.DECISION_SECONDS.observe(times.delay_s)
        if not self._rounds:
            self._first_s = now_s
        self._rounds.append(times)
        passed_s = now_s - self._first_s
        if passed_s >= _INTERVAL_S or len(self._rounds) >= _ROUNDS_LIMIT:
            rounds, self._rounds = self._rounds, []
            _log_rounds(rounds, passed_s)


def _log_rounds(rounds: list[RoundTimes], passed_s: float) -> None:
    lags_s = sorted(times.lag_s for times in rounds)
    rounds_s = sorted(times.round_s for times in rounds)
    delays_s = sorted(
        times.delay_s for times in rounds if times.delay_s is not None
    )
    fields = {
        "passed_s": round(passed_s, 1),
        "rounds_count": len(rounds),
        "round_p50_ms": _quantile_ms(rounds_s, 0.5),
        "round_p99_ms": _quantile_ms(rounds_s, 0.99),
        "lag_p50_ms": _quantile_ms(lags_s, 0.5),
        "lag_p99_ms": _quantile_ms(lags_s, 0.99),
        "decisions_count": len(delays_s),
        "decision_p50_ms": _quantile_ms(delays_s, 0.5),
        "decision_p99_ms": _quantile_ms(delays_s, 0.99),
    }
    if _quantile(lags_s, 0.5) > _MEDIAN_LAG_LIMIT_S:
        logs.event("leader_overloaded", level="WARNING", **fields)
    else:
        logs.event("leader_load", **fields)


def _quantile_ms(ordered_s: list[float], share: float) -> float:
    return round(_quantile(ordered_s, share) * 1000, 1)


def _quantile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
