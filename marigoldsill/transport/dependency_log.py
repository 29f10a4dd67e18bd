"""Logs when a dependency of this process is lost and regained, once each."""

from marigoldsill.transport import clock
from marigoldsill.transport import logs


class DependencyLog:
    """Tracks the calls to one dependency; used by one thread."""

    def __init__(self, dependency: str):
        """Initializes the state as if the last call had succeeded.

        Args:
            dependency: Name of the dependency in the log.
        """
        self._dependency = dependency
        self._lost_s: float | None = None
        self._failures_count = 0

    def record_failure(self, kind: str, reason: str) -> None:
        """Records a call that failed."""
        self._failures_count += 1
        if self._lost_s is not None:
            return
        self._lost_s = clock.now_s()
        logs.event(
            "dependency_lost",
            level="WARNING",
            dependency=self._dependency,
            kind=kind,
            reason=reason,
        )

    def record_success(self) -> None:
        """Records a call that was answered."""
        if self._lost_s is None:
            return
        logs.event(
            "dependency_regained",
            dependency=self._dependency,
            away_ms=round((clock.now_s() - self._lost_s) * 1000),
            failures_count=self._failures_count,
        )
        self._lost_s = None
        self._failures_count = 0
