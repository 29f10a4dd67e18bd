"""Quarantines workers that fail their runs, without blaming them for broken jobs.

A failure counts against its worker by how the same family did on other workers: in
full if it succeeded there, hardly if it only failed there. Each success offsets one
failure, and the record starts anew when all are offset (a CUSUM test). So a worker that
begins to fail is found after as few failures as a new one, however many runs succeeded
there before. It is quarantined for failures of several families if its share of failures
since then is far above the fleet's. It is then put on probation with one run at a time,
and is restored by a successful run.
"""

import collections
from collections.abc import Set
import dataclasses
import enum
import math

from marigoldsill.coordination.learning import blame as blame_module

_RECENT_COUNT = 24
# Minimum blame that successes have not offset, number of blamed families and share of
# failures for a quarantine. The share also has to exceed the fleet's by the factor.
_MIN_BLAME = 2.5
_MIN_FAMILIES = 2
_MIN_FAILURE_SHARE = 0.5
_FLEET_SHARE_FACTOR = 3.0
_FLEET_DECAY = 0.999
_COOLDOWN_S = 30.0
_COOLDOWN_LIMIT_S = 1920.0
_WINDOW_S = 600.0
# Several times the number of workers of one control group. The limit is needed where
# every start of a worker counts as another worker, so that their number keeps growing.
_WORKERS_LIMIT = 20_000


class HealthStatus(enum.Enum):
    """The health status of a worker, which decides what runs it may have."""

    GOOD = "good"
    QUARANTINED = "quarantined"
    PROBATION = "probation"


@dataclasses.dataclass(slots=True)
class _Worker:
    """The failure record of a worker.

    Attributes:
        recent: When its latest runs were recorded, their families and whether they
            succeeded.
        status: Its health status.
        is_stalled: Whether it is quarantined or on probation because it stalled, and
            not for failures. Only then does progress restore it.
        until_s: When its quarantine ends.
        cooldown_s: How long its quarantine lasts; doubles if it fails on probation.
    """

    recent: collections.deque[tuple[float, str, bool]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_RECENT_COUNT)
    )
    status: HealthStatus = HealthStatus.GOOD
    is_stalled: bool = False
    until_s: float = 0.0
    cooldown_s: float = _COOLDOWN_S

    @property
    def began_s(self) -> float:
        """When its quarantine began."""
        return self.until_s - self.cooldown_s


class Quarantine:
    """Tracks failures by worker and family, and quarantines workers."""

    def __init__(
        self,
        *,
        min_blame: float = _MIN_BLAME,
        cooldown_s: float = _COOLDOWN_S,
    ):
        """Initializes the tracker without any failure.

        Args:
            min_blame: The minimum blame for which a worker is quarantined.
            cooldown_s: How long the first quarantine of a worker lasts.
        """
        self._min_blame = min_blame
        self._cooldown_s = cooldown_s
        self._workers: dict[str, _Worker] = {}
        self._blame = blame_module.Blame()
        self._fleet_failed = 0.0
        self._fleet_count = 0.0
        self._quarantined: set[str] = set()

    def status_of(self, worker: str) -> HealthStatus:
        """Returns the health status of a worker."""
        known = self._workers.get(worker)
        return known.status if known is not None else HealthStatus.GOOD

    def record_success(
        self, worker: str, family: str, *, now_s: float, is_probe: bool = True
    ) -> bool:
        """Records a successful run; returns whether it restored the worker.

        Args:
            worker: The worker.
            family: The family of the run's task.
            now_s: The current time.
            is_probe: Whether the run started since the worker is on probation;
                ignored otherwise. Earlier runs do not decide on the probation.
        """
        self._blame.record_success(worker, family)
        known = self._get_or_create(worker)
        known.recent.append((now_s, family, True))
        self._update_fleet(failed=False)
        if known.status != HealthStatus.PROBATION or not is_probe:
            return False
        known.status = HealthStatus.GOOD
        known.cooldown_s = self._cooldown_s
        known.recent.clear()
        return True

    def record_failure(
        self, worker: str, family: str, *, now_s: float, is_probe: bool = True
    ) -> str:
        """Records a failed run.

        Args:
            worker: The worker.
            family: The family of the run's task.
            now_s: The current time.
            is_probe: As for `record_success`.

        Returns:
            Why the worker is quarantined now, or an empty string.
        """
        self._blame.record_failure(worker, family)
        known = self._get_or_create(worker)
        known.recent.append((now_s, family, False))
        self._update_fleet(failed=True)
        if known.status == HealthStatus.QUARANTINED:
            return ""
        if known.status == HealthStatus.PROBATION:
            if not is_probe:
                return ""
            if (
                self._blame.weight(worker, family)
                <= blame_module.FAILED_ELSEWHERE_WEIGHT
            ):
                return ""
            return self._start_quarantine(
                worker, known, "failed again when probed", now_s
            )
        return self._evaluate(worker, known, now_s)

    def quarantine_stalled(self, worker: str, *, now_s: float) -> bool:
        """Quarantines a worker whose runs stalled; returns whether that is new."""
        known = self._get_or_create(worker)
        if known.status == HealthStatus.QUARANTINED:
            return False
        self._start_quarantine(worker, known, "", now_s, is_stalled=True)
        return True

    def restore_stalled(self, worker: str) -> bool:
        """Ends a quarantine or probation for a stall; returns whether there was one.

        A quarantine for failures continues: a run that makes progress may still fail.
        """
        known = self._workers.get(worker)
        if known is None or known.status == HealthStatus.GOOD:
            return False
        if not known.is_stalled:
            return False
        known.status = HealthStatus.GOOD
        self._quarantined.discard(worker)
        return True

    def restore_quarantine(self, worker: str, *, now_s: float) -> None:
        """Restores a quarantine that an earlier leader recorded."""
        known = self._get_or_create(worker)
        known.status = HealthStatus.QUARANTINED
        known.until_s = now_s + known.cooldown_s
        self._quarantined.add(worker)

    def begin_probations(
        self,
        *,
        now_s: float,
        wanted: Set[str] = frozenset(),
        wanted_cooldown_s: float = math.inf,
    ) -> list[str]:
        """Puts workers whose quarantine has ended on probation and returns them.

        Args:
            now_s: The current time.
            wanted: Workers whose quarantine lasts no longer than that time.
            wanted_cooldown_s: That time.
        """
        due = [
            worker
            for worker in self._quarantined
            if self._workers[worker].until_s <= now_s
            or (
                worker in wanted
                and self._workers[worker].began_s + wanted_cooldown_s <= now_s
            )
        ]
        for worker in due:
            self._workers[worker].status = HealthStatus.PROBATION
            self._quarantined.discard(worker)
        return due

    def _get_or_create(self, worker: str) -> _Worker:
        """Returns a worker's record, creating it if necessary.

        Beyond the limit, the least recently used records are dropped.
        """
        known = self._workers.pop(worker, None)
        if known is None:
            known = _Worker(cooldown_s=self._cooldown_s)
        # The records are in order of use, the most recently used one last.
        self._workers[worker] = known
        while len(self._workers) > _WORKERS_LIMIT:
            oldest = next(iter(self._workers))
            del self._workers[oldest]
            self._quarantined.discard(oldest)
        return known

    def _evaluate(self, worker: str, known: _Worker, now_s: float) -> str:
        recent = self._runs_since_change(worker, known, now_s)
        failed = {family for _, family, succeeded in recent if not succeeded}
        blame = sum(
            self._blame.weight(worker, f)
            for _, f, succeeded in recent
            if not succeeded
        )
        successes_count = sum(succeeded for _, _, succeeded in recent)
        if blame - successes_count < self._min_blame:
            return ""
        blamed = {f for f in failed if self._blame.weight(worker, f) > 0.5}
        if len(blamed) < _MIN_FAMILIES and not self._is_certain(blamed, worker):
            return ""
        share = blame / (blame + successes_count)
        fleet_share = self._fleet_failed / max(self._fleet_count, 1.0)
        if share < max(
            _MIN_FAILURE_SHARE, min(_FLEET_SHARE_FACTOR * fleet_share, 0.9)
        ):
            return ""
        reason = (
            f"{share:.0%} of its last {len(recent)} runs failed, "
            f"{fleet_share:.0%} in the whole fleet"
        )
        return self._start_quarantine(worker, known, reason, now_s)

    def _runs_since_change(
        self, worker: str, known: _Worker, now_s: float
    ) -> list[tuple[float, str, bool]]:
        """Returns the recent runs since successes last offset all failures."""
        since_change: list[tuple[float, str, bool]] = []
        balance = 0.0
        for run in known.recent:
            recorded_s, family, succeeded = run
            if recorded_s <= now_s - _WINDOW_S:
                continue
            balance += -1 if succeeded else self._blame.weight(worker, family)
            since_change.append(run)
            if balance <= 0:
                since_change, balance = [], 0.0
        return since_change

    def _is_certain(self, families: set[str], worker: str) -> bool:
        """Whether all families that fail here succeeded on other workers."""
        return bool(families) and all(
            self._blame.weight(worker, family)
            >= blame_module.SUCCEEDED_ELSEWHERE_WEIGHT
            for family in families
        )

    def _start_quarantine(
        self,
        worker: str,
        known: _Worker,
        reason: str,
        now_s: float,
        *,
        is_stalled: bool = False,
    ) -> str:
        if known.status == HealthStatus.PROBATION:
            known.cooldown_s = min(2 * known.cooldown_s, _COOLDOWN_LIMIT_S)
        known.status = HealthStatus.QUARANTINED
        known.is_stalled = is_stalled
        known.until_s = now_s + known.cooldown_s
        known.recent.clear()
        self._quarantined.add(worker)
        return reason

    def _update_fleet(self, *, failed: bool) -> None:
        self._fleet_count = self._fleet_count * _FLEET_DECAY + 1
        self._fleet_failed = self._fleet_failed * _FLEET_DECAY + failed
