"""Logs and measures who has its guaranteed share, and who waits for it."""

from collections.abc import Mapping
from collections.abc import Sequence

from marigoldsill.coordination.job_queueing import claims as claims_module
from marigoldsill.coordination.job_queueing import reclaim_fleet
from marigoldsill.coordination.job_queueing import share_metrics
from marigoldsill.coordination.job_queueing import shares as shares_module
from marigoldsill.protocol import task_names
from marigoldsill.transport import logs

# Minimum time between two updates of the gauges.
_METRICS_INTERVAL_S = 1.0
# A share whose steps find capacity for at least this long no longer waits. Shares that
# wait again and again write a line each time.
_CALM_S = 5.0
_UNGUARANTEED_LABEL = "none"


class ShareReporter:
    """Reports on the shares of one term."""

    def __init__(self):
        self._last_due_s: dict[shares_module.ShareKey, float] = {}
        self._measured: set[shares_module.ShareKey] = set()
        self._measured_s = 0.0

    def log_settings(self, settings: shares_module.ShareSettings) -> None:
        """Logs the shares at the start of a term."""
        ratios = settings.ratios.items()
        logs.event(
            "shares_in_force",
            shares=",".join(f"{name}={ratio:g}" for name, ratio in ratios),
            reclaim_s=settings.reclaim_s,
        )

    def observe(
        self,
        statuses: Mapping[shares_module.ShareKey, shares_module.ShareStatus],
        due: Sequence[reclaim_fleet.DueStep],
        *,
        now_s: float,
    ) -> bool:
        """Reports on the shares of a round.

        Args:
            statuses: What each share uses.
            due: The steps that wait for capacity guaranteed to them.
            now_s: The time of the round.

        Returns:
            Whether a share has begun to wait.
        """
        if now_s - self._measured_s >= _METRICS_INTERVAL_S:
            self._measured_s = now_s
            self._measure(statuses)
        self._last_due_s = {
            key: last_s
            for key, last_s in self._last_due_s.items()
            if now_s - last_s < _CALM_S
        }
        has_begun = False
        for step in due:
            if step.key not in self._last_due_s:
                has_begun = True
                _log_wait(step, statuses[step.key])
            self._last_due_s[step.key] = now_s
        return has_begun

    def log_started(
        self, key: shares_module.ShareKey, tasks_count: int, runs_count: int
    ) -> None:
        """Logs that runs are evicted for some tasks of a share."""
        logs.event(
            "share_reclaim_started",
            pool=key.pool,
            share=key.share,
            tasks_count=tasks_count,
            runs_count=runs_count,
        )

    def log_ended(self, ended: claims_module.EndedReclaim) -> None:
        """Logs that a share has nothing to reclaim any more."""
        logs.event(
            "share_reclaim_ended",
            pool=ended.key.pool,
            share=ended.key.share,
            took_ms=round(ended.took_s * 1000),
            granted_count=ended.granted_count,
            failed_count=ended.failed_count,
        )

    def count_evictions(
        self, key: shares_module.ShareKey, runs_count: int
    ) -> None:
        """Counts runs that are evicted for a share."""
        labels = key.pool, key.share
        share_metrics.RECLAIMED_RUNS.labels(*labels).inc(runs_count)

    def _measure(
        self,
        statuses: Mapping[shares_module.ShareKey, shares_module.ShareStatus],
    ) -> None:
        for key in self._measured - statuses.keys():
            share_metrics.USAGE_RATIO.labels(*_labels_of(key)).set(0)
        self._measured.update(statuses)
        for key, status in statuses.items():
            labels = _labels_of(key)
            share_metrics.USAGE_RATIO.labels(*labels).set(status.usage_ratio)
            share_metrics.GUARANTEED_RATIO.labels(*labels).set(
                status.guaranteed_ratio
            )


def _labels_of(key: shares_module.ShareKey) -> tuple[str, str]:
    return key.pool, key.share or _UNGUARANTEED_LABEL


def _log_wait(
    step: reclaim_fleet.DueStep, status: shares_module.ShareStatus
) -> None:
    logs.event(
        "share_waits",
        pool=step.key.pool,
        share=step.key.share,
        usage_ratio=round(status.usage_ratio, 3),
        guaranteed_ratio=status.guaranteed_ratio,
        step=task_names.name_of_step(step.waiting.key),
        waited_ms=round(step.waited_s * 1000),
    )
