"""Whether batch runs and services may share a worker, and at what cost."""

import dataclasses
import math

from marigoldsill.coordination.learning import colocation
from marigoldsill.coordination.placement import fleet as fleet_module
from marigoldsill.protocol.generated import ttypes

# Share of a service's instances that may be used for exploration at a time.
_EXPLORATION_SHARE = 0.1
_KNOWN_SAMPLES_COUNT = 5
_EXPLORATION_PENALTY = 0.05
# Standard deviations of a prediction that must stay within the limit: the minimum,
# and what the highest latency weight adds.
_MIN_DEVIATIONS_COUNT = 1.0
_DEVIATIONS_SPAN = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class SharingAssessment:
    """The expected effect of sharing a worker.

    Attributes:
        is_allowed: Whether the services there would stay within their limits.
        added_latency_ratio: What is added to their tail latencies, in units of
            the targets.
        is_exploration: Whether sharing is allowed only to learn its effect,
            which is not known well enough yet.
    """

    is_allowed: bool
    added_latency_ratio: float = 0.0
    is_exploration: bool = False


_UNSHARED = SharingAssessment(is_allowed=True)
_REFUSED = SharingAssessment(is_allowed=False, added_latency_ratio=math.inf)


class SharingEvaluator:
    """Assesses sharing by learnt interference and the operators' weights."""

    def __init__(self, fleet: fleet_module.Fleet):
        self._fleet = fleet
        self._exploring: dict[str, set[str]] = {}

    def assess_batch(
        self,
        policy: ttypes.Policy,
        worker: str,
        family: str,
        *,
        now: fleet_module.Now,
        ahead_s: float,
    ) -> SharingAssessment:
        """Assesses one more batch run beside the services on a worker.

        Args:
            policy: The operators' weights.
            worker: The worker.
            family: The run's family.
            now: The time of the round.
            ahead_s: How long the run is expected to last.
        """
        runs = self._fleet.colocated_runs(worker)
        if not runs.services:
            return _UNSHARED
        if not policy.sharing_allowed:
            return _REFUSED
        added = colocation.Neighbour("", family)
        neighbours = [*runs.batch, added]
        added_ratio, is_exploration = 0.0, False
        for run in runs.services:
            if self._fleet.latencies.is_suspended(
                run.service, now_s=now.monotonic_s
            ):
                return _REFUSED
            prediction = self._fleet.predict_latency(
                run.service, neighbours, now=now, ahead_s=ahead_s
            )
            limit = self._fleet.latency_limit(
                policy, run.service, prediction, now=now
            )
            if prediction.mean > limit:
                return _REFUSED
            margin = _deviations_count(policy) * prediction.deviation
            is_idle = self._fleet.latencies.is_idle(
                run.service, now_s=now.monotonic_s
            )
            if prediction.mean + margin > limit and not is_idle:
                if not self._may_explore(run.service, worker, runs):
                    return _REFUSED
                is_exploration = True
            added_ratio += self._added_latency_ratio(run.service, family)
        return SharingAssessment(
            True,
            added_ratio + is_exploration * _EXPLORATION_PENALTY,
            is_exploration,
        )

    def assess_service(
        self,
        policy: ttypes.Policy,
        worker: str,
        service: str,
        *,
        now: fleet_module.Now,
    ) -> SharingAssessment:
        """Assesses a service's instance beside the batch runs on a worker."""
        batch = self._fleet.colocated_runs(worker).batch
        if not batch:
            return _UNSHARED
        if not policy.sharing_allowed:
            return _REFUSED
        prediction = self._fleet.predict_latency(service, batch, now=now)
        added_ratio = prediction.mean - prediction.alone
        limit = self._fleet.latency_limit(policy, service, prediction, now=now)
        return SharingAssessment(prediction.mean <= limit, added_ratio)

    def record_exploration(self, worker: str) -> None:
        """Records that a run was placed on a worker to learn its effect."""
        for run in self._fleet.colocated_runs(worker).services:
            self._exploring.setdefault(run.service, set()).add(worker)

    def record_measurement(self, service: str, worker: str) -> None:
        """Records that a service was measured beside neighbours on a worker."""
        self._exploring.get(service, set()).discard(worker)

    def _may_explore(
        self, service: str, worker: str, runs: colocation.ColocatedRuns
    ) -> bool:
        if any(not self._is_known(service, n.family) for n in runs.batch):
            return False
        exploring = self._exploring.get(service, set())
        if worker in exploring:
            return False
        count = self._fleet.allocations.count_all_instances(service)
        return len(exploring) < max(1, _EXPLORATION_SHARE * count)

    def _is_known(self, service: str, family: str) -> bool:
        """Whether a pair has enough samples at the service's present load."""
        load = self._fleet.latencies.current_load(service)
        count = self._fleet.interference.samples_count(
            service, family, load=load
        )
        return count >= _KNOWN_SAMPLES_COUNT

    def _added_latency_ratio(self, service: str, family: str) -> float:
        load = self._fleet.latencies.current_load(service)
        return self._fleet.interference.added_latency_ratio(
            service, family, load=load
        )


def _deviations_count(policy: ttypes.Policy) -> float:
    """How many standard deviations must stay within the limit."""
    weight = policy.batch_weight + policy.latency_weight
    share = policy.latency_weight / weight if weight > 0 else 0.5
    return _MIN_DEVIATIONS_COUNT + _DEVIATIONS_SPAN * share
