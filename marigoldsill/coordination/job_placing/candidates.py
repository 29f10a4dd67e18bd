"""Workers on which a class of tasks may start, the best first, kept between rounds."""

from collections.abc import Callable
import dataclasses
import heapq

from marigoldsill.coordination.job_placing import capacity_index
from marigoldsill.coordination.job_placing import free_capacity
from marigoldsill.coordination.job_placing import interference_model
from marigoldsill.coordination.job_placing import scoring
from marigoldsill.protocol.generated import ttypes

# Superseded entries are dropped once the heap has more than this many entries per
# valid one, beyond a minimum.
_ENTRIES_RATIO = 4
_MIN_ENTRIES_COUNT = 64
# Rounds after which an unused class is dropped.
_UNUSED_ROUNDS_LIMIT = 100

Scorer = Callable[[free_capacity.FreeCapacity], scoring.Score | None]


class Candidates:
    """A heap of scored workers; a score is kept until its worker changes."""

    __slots__ = ("_heap", "_scorer", "_stamps", "_updates_count")

    def __init__(self, scorer: Scorer):
        """Creates an empty heap.

        Args:
            scorer: Scores a worker; returns None if no task may start there.
        """
        self._scorer = scorer
        self._heap: list[tuple] = []
        self._stamps: dict[str, int] = {}
        self._updates_count = 0

    def update(self, free: free_capacity.FreeCapacity, ordinal: int) -> None:
        """Scores a new or changed worker.

        Args:
            free: The worker.
            ordinal: Breaks ties between equal scores; the lowest is first.
        """
        score = self._scorer(free)
        if score is None:
            self._stamps.pop(free.agent, None)
            return
        self._updates_count += 1
        self._stamps[free.agent] = self._updates_count
        lowest_first = tuple(-item for item in score)
        entry = (lowest_first, ordinal, self._updates_count, free)
        heapq.heappush(self._heap, entry)
        self._drop_superseded()

    def discard(self, agent: str) -> None:
        """Removes a worker."""
        self._stamps.pop(agent, None)

    def find_best(
        self, accepts: Callable[[free_capacity.FreeCapacity], bool]
    ) -> free_capacity.FreeCapacity | None:
        """Returns the best accepted worker, which stays a candidate, or None.

        Args:
            accepts: Whether a worker is acceptable; called from the best on.
        """
        if not self._heap:
            return None
        found = self.find_similar(accepts, limit=1)
        return found[0] if found else None

    def find_similar(
        self,
        accepts: Callable[[free_capacity.FreeCapacity], bool],
        *,
        limit: int,
        tolerance_of: Callable[[free_capacity.FreeCapacity], float] = (
            lambda best: 0.0
        ),
    ) -> list[free_capacity.FreeCapacity]:
        """Returns the best accepted worker and those that are almost as good.

        Args:
            accepts: Whether a worker is acceptable; called from the best on.
            limit: Maximum number of workers.
            tolerance_of: Returns from the best worker how much lower the last item of
                a score may be; the other items have to be equal.
        """
        checked = []
        found: list[free_capacity.FreeCapacity] = []
        worst: tuple[float, ...] = ()
        while self._heap and len(found) < limit:
            entry = heapq.heappop(self._heap)
            if not self._is_valid(entry):
                continue
            checked.append(entry)
            if found and entry[0] > worst:
                break
            if accepts(entry[-1]):
                if not found:
                    *equal, last = entry[0]
                    worst = (*equal, last + tolerance_of(entry[-1]))
                found.append(entry[-1])
        for entry in checked:
            heapq.heappush(self._heap, entry)
        return found

    def _is_valid(self, entry: tuple) -> bool:
        _, _, stamp, free = entry
        return self._stamps.get(free.agent) == stamp

    def _drop_superseded(self) -> None:
        limit = _ENTRIES_RATIO * len(self._stamps) + _MIN_ENTRIES_COUNT
        if len(self._heap) > limit:
            self._heap = [e for e in self._heap if self._is_valid(e)]
            heapq.heapify(self._heap)


@dataclasses.dataclass(slots=True, frozen=True)
class _TaskClass:
    """Everything on which the score of a worker for a task depends."""

    pool: str
    image: str
    is_best_effort: bool
    is_latency_critical: bool
    cpu_millicores: int
    memory_bytes: int
    accelerators_count: int
    required_label: str
    preferred_rack: str
    ignores_limits: bool


@dataclasses.dataclass(slots=True)
class _Entry:
    """The candidates of a class, up to a position of the change log."""

    candidates: Candidates
    position: int
    used_round: int


class CandidateCache:
    """Candidates of the task classes that are in use; used by one thread."""

    def __init__(
        self,
        index: capacity_index.CapacityIndex,
        interference: interference_model.InterferenceModel,
    ):
        self._index = index
        self._interference = interference
        self._entries: dict[_TaskClass, _Entry] = {}
        self._round = 0

    def get_candidates(
        self, step: ttypes.Step, pool: str, *, ignores_limits: bool = False
    ) -> Candidates:
        """Returns the workers where a step's tasks may start now.

        Args:
            step: The requirements of the tasks.
            pool: The pool of the step's queue.
            ignores_limits: Whether tasks start without limits on interference.
        """
        task_class = _class_of(step, pool, ignores_limits)
        entry = self._entries.get(task_class)
        if entry is None:
            entry = self._create_entry(step, pool, ignores_limits)
            self._entries[task_class] = entry
        entry.used_round = self._round
        self._update(entry)
        return entry.candidates

    def end_round(self) -> None:
        """Ends a round and drops classes that have not been used recently."""
        self._round += 1
        if self._round % _UNUSED_ROUNDS_LIMIT:
            return
        oldest = self._round - _UNUSED_ROUNDS_LIMIT
        self._entries = {
            task_class: entry
            for task_class, entry in self._entries.items()
            if entry.used_round >= oldest
        }

    def _create_entry(
        self, step: ttypes.Step, pool: str, ignores_limits: bool
    ) -> _Entry:
        scorer = (
            scoring.score_without_limits
            if ignores_limits
            else scoring.score_within_limits
        )
        candidates = Candidates(
            lambda free: scorer(free, step, pool, self._interference)
        )
        return _Entry(candidates, position=-1, used_round=self._round)

    def _update(self, entry: _Entry) -> None:
        """Scores the workers that changed since the last update."""
        position = self._index.position
        if entry.position == position:
            return
        for agent in self._index.changed_since(entry.position):
            free = self._index.workers.get(agent)
            if free is None:
                entry.candidates.discard(agent)
            else:
                entry.candidates.update(free, self._index.ordinal(agent))
        entry.position = position


def _class_of(step: ttypes.Step, pool: str, ignores_limits: bool) -> _TaskClass:
    required = step.resources
    return _TaskClass(
        pool=pool,
        image=step.image,
        is_best_effort=step.best_effort,
        is_latency_critical=bool(step.tail_target_ms),
        cpu_millicores=required.cpu_millicores,
        memory_bytes=required.memory_bytes,
        accelerators_count=required.accelerators_count,
        required_label=step.required_label,
        preferred_rack=step.preferred_rack,
        ignores_limits=ignores_limits,
    )
