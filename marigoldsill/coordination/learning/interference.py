"""Interference of batch runs with services, learnt by pair and load.

A service's tail latency, in units of its target, is modelled as its latency without
neighbours plus an increase by each neighbour. Every term has a mean and a variance and
is corrected by each measurement in proportion to its variance (a Kalman filter with a
diagonal covariance). Few samples therefore leave a term near its prior, and the effect
of an unknown neighbour is not attributed to a well-known term.
"""

from collections.abc import Iterable
import dataclasses
import math

from marigoldsill.coordination.learning import colocation
from marigoldsill.coordination.learning import kalman_filter

# Load steps for the terms of services, and the coarser step of pairs for each of them.
LOADS_COUNT = 10
_PAIR_LOADS = (0, 0, 0, 0, 0, 1, 1, 1, 2, 2)
_ALONE_MEAN = 0.3
_ALONE_VARIANCE = 0.1
# Variance of a term taken from another load step.
_NEAREST_VARIANCE = 0.01
_PAIR_MEAN = 0.06
_PAIR_VARIANCE = 0.02
# Factor on the variance of a related term that a new pair starts from.
_RELATED_VARIANCE_RATIO = 4.0
# Increase of a term's variance with each sample.
_ALONE_DRIFT = 1e-6
_PAIR_DRIFT = 2e-6
# Variance of the measurement noise: a constant, and a factor on the squared latency.
_NOISE_VARIANCE = 0.0004
_RELATIVE_NOISE_VARIANCE = 0.02
_LATENCY_RATIO_LIMIT = 5.0
_TERMS_LIMIT = 200_000


@dataclasses.dataclass(slots=True, frozen=True)
class Prediction:
    """A predicted tail latency in units of the target.

    Attributes:
        mean: The expected value.
        deviation: The standard deviation of the prediction.
        alone: The expected value without neighbours.
    """

    mean: float
    deviation: float
    alone: float


class ServiceInterference:
    """Learns the interference of batch families with services."""

    def __init__(self):
        self._alone_terms: dict[tuple[str, int], kalman_filter.Term] = {}
        self._pair_terms: dict[tuple[str, str, int], kalman_filter.Term] = {}
        self._family_terms: dict[str, kalman_filter.Term] = {}

    def observe(
        self,
        service: str,
        neighbours: Iterable[colocation.Neighbour],
        *,
        load: int,
        latency_ratio: float,
    ) -> None:
        """Updates the terms with one measurement.

        Args:
            service: The service that was measured.
            neighbours: The batch runs on the worker at that time.
            load: The service's load step at that time, from 0.
            latency_ratio: The tail latency divided by its target.
        """
        shares = _shares(neighbours)
        alone = self._alone_term(service, load)
        pairs = {f: self._pair_term(service, f, load) for f in shares}
        self._store(service, load, alone, pairs)
        terms = [(alone, 1.0)] + [
            (pairs[family], share) for family, share in shares.items()
        ]
        measured = min(latency_ratio, _LATENCY_RATIO_LIMIT)
        noise = _NOISE_VARIANCE + _RELATIVE_NOISE_VARIANCE * measured**2
        kalman_filter.correct(terms, measured, noise_variance=noise)
        for term, _ in terms:
            term.variance += _ALONE_DRIFT if term is alone else _PAIR_DRIFT
        for family, share in shares.items():
            self._update_family(family, pairs[family], share)

    def predict(
        self,
        service: str,
        neighbours: Iterable[colocation.Neighbour],
        *,
        load: int,
    ) -> Prediction:
        """Predicts a service's tail latency with the given neighbours."""
        alone = self._alone_term(service, load)
        mean, variance = alone.mean, alone.variance
        for family, share in _shares(neighbours).items():
            term = self._pair_term(service, family, load)
            mean += term.mean * share
            variance += term.variance * share**2
        return Prediction(mean, math.sqrt(variance), alone.mean)

    def added_latency_ratio(
        self, service: str, family: str, *, load: int
    ) -> float:
        """Returns the expected latency increase of a service by one run of a family."""
        return self._pair_term(service, family, load).mean

    def family_latency_ratio(self, family: str) -> float:
        """Returns the mean increase of services' latencies by one run of a family."""
        term = self._family_terms.get(family)
        return term.mean if term is not None else _PAIR_MEAN

    def samples_count(self, service: str, family: str, *, load: int) -> int:
        """Returns how many samples a pair has at a load."""
        return self._pair_term(service, family, load).samples_count

    def _alone_term(self, service: str, load: int) -> kalman_filter.Term:
        """Returns the service's own term.

        A term without samples is created on each call, so that it reflects what has
        been learnt at other loads in the meantime.
        """
        term = self._alone_terms.get((service, load))
        if term is not None:
            return term
        nearest = self._nearest(self._alone_terms, (service,), load)
        if nearest is None:
            return kalman_filter.Term(_ALONE_MEAN, _ALONE_VARIANCE)
        return kalman_filter.Term(nearest.mean, _NEAREST_VARIANCE)

    def _pair_term(
        self, service: str, family: str, load: int
    ) -> kalman_filter.Term:
        step = _PAIR_LOADS[load]
        term = self._pair_terms.get((service, family, step))
        return term or self._new_pair_term(service, family, step)

    def _store(
        self,
        service: str,
        load: int,
        alone: kalman_filter.Term,
        pairs: dict[str, kalman_filter.Term],
    ) -> None:
        """Stores the terms that a measurement updates, within the limit."""
        self._alone_terms[service, load] = alone
        for family, term in pairs.items():
            self._pair_terms[service, family, _PAIR_LOADS[load]] = term
        while len(self._pair_terms) > _TERMS_LIMIT:
            del self._pair_terms[next(iter(self._pair_terms))]

    def _new_pair_term(
        self, service: str, family: str, load: int
    ) -> kalman_filter.Term:
        """Returns a new term, derived from the closest term that has samples."""
        related = self._nearest(self._pair_terms, (service, family), load)
        if related is None:
            related = self._family_terms.get(family)
        if related is None or not related.samples_count:
            return kalman_filter.Term(_PAIR_MEAN, _PAIR_VARIANCE)
        variance = min(
            related.variance * _RELATED_VARIANCE_RATIO, _PAIR_VARIANCE
        )
        return kalman_filter.Term(
            related.mean, max(variance, related.mean**2 / 4)
        )

    def _update_family(
        self, family: str, pair: kalman_filter.Term, share: float
    ) -> None:
        term = self._family_terms.setdefault(
            family, kalman_filter.Term(_PAIR_MEAN, _PAIR_VARIANCE)
        )
        term.samples_count += 1
        rate = share / min(term.samples_count + 1, 50)
        term.mean += rate * (pair.mean - term.mean)

    def _nearest(
        self, terms: dict, key_prefix: tuple[str, ...], load: int
    ) -> kalman_filter.Term | None:
        """Returns the term with samples at the load closest to the given one."""
        others = sorted(range(LOADS_COUNT), key=lambda other: abs(other - load))
        found = (terms.get((*key_prefix, other)) for other in others)
        return next((t for t in found if t and t.samples_count), None)


def load_step(load_ratio: float) -> int:
    """Returns the load step of a load, given as a share of the peak load.

    The latency of a service without neighbours is learnt for each step. The increase by
    a neighbour is measured less often, so it is learnt for a few groups of steps.
    """
    return min(int(load_ratio * LOADS_COUNT), LOADS_COUNT - 1)


def _shares(neighbours: Iterable[colocation.Neighbour]) -> dict[str, float]:
    shares: dict[str, float] = {}
    for neighbour in neighbours:
        share = shares.get(neighbour.family, 0.0) + neighbour.share
        shares[neighbour.family] = share
    return shares
