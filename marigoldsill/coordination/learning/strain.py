"""How close tasks that serve are to their target, and what brings them there.

A task that serves behaves like a queue: its tail latency is about t0 / (1 - x)
with x its load, so 1 / tail falls in proportion to the load. Tasks that fill on
the same worker add to x by an amount that differs by the pair of images and
drifts. So what is learnt is linear in `strain`, which grows as the reciprocal
of the tail latency falls.
"""

from collections.abc import Mapping
import dataclasses
import math

from marigoldsill.coordination.learning import filtering

# Scales strain so that 0 is a tail of an eighth of the target; any tail that is
# lower has room enough.
_LOWEST_RATIO = 1 / 8
_ALONE_MEAN = 0.5
_ALONE_VARIANCE = 0.04
# A load that swings by half in 10 s changes strain by up to 0.11 a second.
_ALONE_DRIFT_PER_S = 0.01
# For a tenth of the worker in use. Of the images measured, those that hardly
# disturb add 0.01, the others 0.1 to 0.2.
_PAIR_MEAN = 0.03
_PAIR_VARIANCE = 0.004
_PAIR_DRIFT_PER_S = 0.0001
# A pair as an earlier leader knew it: better than unknown, but it has drifted.
_RESTORED_VARIANCE = 0.001
_NOISE_VARIANCE = 0.001
# Tail latencies come in whole milliseconds.
_ROUNDING_MS = 0.5
_TERMS_LIMIT = 10_000
# Loads swing with periods of 10 to 20 s; their mean is taken over about one.
_USUAL_S = 10.0


def of_tail(tail_ms: float, target_ms: float) -> float:
    """The strain that a tail latency shows, from 0 to almost 1."""
    ratio = max(tail_ms / target_ms, _LOWEST_RATIO)
    return 1 - _LOWEST_RATIO / ratio


def at_ratio(ratio: float) -> float:
    """The strain at which a tail is that many times its target."""
    return of_tail(ratio, 1.0)


@dataclasses.dataclass(slots=True)
class _Average:
    """A mean that forgets.

    Attributes:
        mean: Of what was added, the newest weighing most.
        at_s: When something was last added.
    """

    mean: float
    at_s: float

    def add(self, value: float, now_s: float) -> None:
        kept_share = math.exp(-max(0.0, now_s - self.at_s) / _USUAL_S)
        self.mean = value + kept_share * (self.mean - value)
        self.at_s = now_s


class StrainFilter:
    """Learns what each task that serves bears alone, and what others add.

    Tasks of one job share their users' load, so what they bear alone is one
    term, wherever they run; what fills beside them tells them apart.
    """

    def __init__(self):
        self._alone: dict[str, filtering.Term] = {}
        self._pairs: dict[tuple[str, str], filtering.Term] = {}
        self._usual: dict[str, _Average] = {}
        self._changed_pairs: set[tuple[str, str]] = set()

    def observe(
        self,
        job: str,
        image: str,
        shares: Mapping[str, float],
        *,
        tail_ms: float,
        target_ms: float,
        now_s: float,
    ) -> None:
        """Takes one measurement of a task that serves.

        Args:
            job: The task's job.
            image: What it runs.
            shares: Tenths of the worker in use by tasks that fill, by image.
            tail_ms: The tail latency measured.
            target_ms: What it should stay below.
            now_s: When it was measured.
        """
        alone = self._alone.setdefault(
            job, filtering.Term(_ALONE_MEAN, _ALONE_VARIANCE)
        )
        _grow_old(alone, _ALONE_DRIFT_PER_S, _ALONE_VARIANCE, now_s)
        terms = [(alone, 1.0)]
        for filling, share in shares.items():
            pair = self._pair(image, filling)
            _grow_old(pair, _PAIR_DRIFT_PER_S, _PAIR_VARIANCE, now_s)
            terms.append((pair, share))
            self._changed_pairs.add((image, filling))
        seen = of_tail(tail_ms, target_ms)
        rounding = (1 - seen) * _ROUNDING_MS / max(tail_ms, 1.0)
        filtering.correct(
            terms, seen, noise_variance=_NOISE_VARIANCE + rounding**2
        )
        self._note_usual(job, alone.mean, now_s)
        self._limit()

    def restore(self, image: str, filling: str, added: float) -> None:
        """Goes on from what an earlier leader knew of a pair."""
        self._pairs[image, filling] = filtering.Term(added, _RESTORED_VARIANCE)
        self._limit()

    def usual(self, job: str) -> float:
        """The strain that a job's tasks bear alone, over the last seconds."""
        usual = self._usual.get(job)
        return _ALONE_MEAN if usual is None else usual.mean

    def alone(self, job: str) -> float:
        """The strain of a job's tasks without anything that fills."""
        term = self._alone.get(job)
        return _ALONE_MEAN if term is None else term.mean

    def added(self, image: str, filling: str) -> float:
        """What a tenth of the worker in use adds to the strain."""
        term = self._pairs.get((image, filling))
        return _PAIR_MEAN if term is None else term.mean

    def added_at_most(self, image: str, filling: str) -> float:
        """The same with one standard deviation to spare."""
        term = self._pairs.get((image, filling))
        if term is None:
            return _PAIR_MEAN + math.sqrt(_PAIR_VARIANCE)
        return term.mean + math.sqrt(term.variance)

    def take_changed_pairs(self) -> dict[tuple[str, str], float]:
        """What is known of the pairs observed since the last call.

        A pair is the serving image and the filling one.
        """
        changed, self._changed_pairs = self._changed_pairs, set()
        return {
            pair: self._pairs[pair].mean
            for pair in changed
            if pair in self._pairs
        }

    def _pair(self, image: str, filling: str) -> filtering.Term:
        return self._pairs.setdefault(
            (image, filling), filtering.Term(_PAIR_MEAN, _PAIR_VARIANCE)
        )

    def _note_usual(self, job: str, alone: float, now_s: float) -> None:
        usual = self._usual.setdefault(job, _Average(alone, now_s))
        usual.add(alone, now_s)

    def _limit(self) -> None:
        for terms in (self._alone, self._pairs, self._usual):
            while len(terms) > _TERMS_LIMIT:
                del terms[next(iter(terms))]


def _grow_old(
    term: filtering.Term, per_s: float, limit: float, now_s: float
) -> None:
    """Makes a term less certain with the time since it was measured."""
    passed_s = max(0.0, now_s - term.sampled_s) if term.sampled_s else 0.0
    term.sampled_s = now_s
    term.variance = min(limit, term.variance + per_s * passed_s)
