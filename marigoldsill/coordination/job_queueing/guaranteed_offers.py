"""Chooses waiting steps up to the guaranteed shares, the least used share first."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import heapq
import itertools
import math

from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_queueing import shares as shares_module
from marigoldsill.protocol import task_names
from marigoldsill.state import amounts
from marigoldsill.state.run_outcomes import crash_attribution

# Shares take turns after parts of this size, relative to their guarantee.
_PART_RATIO = 0.1

_StepsByShare = Mapping[
    shares_module.ShareKey, Sequence[backlog_module.WaitingStep]
]
# Everything by which a task of a share may fit on other workers than another.
_TaskClass = tuple


class Progress:
    """Which classes of tasks got a grant when they were offered last."""

    def __init__(self):
        self._offered: dict[_TaskClass, dict[task_names.StepKey, int]] = {}
        self._blocked: set[_TaskClass] = set()

    def observe(self, by_share: _StepsByShare) -> None:
        """Compares the waiting steps with those that were offered last."""
        counts = {
            step.key: len(step.waiting_indexes)
            for step in itertools.chain.from_iterable(by_share.values())
        }
        self._blocked = {
            task_class
            for task_class, offered in self._offered.items()
            if all(
                counts.get(key, 0) >= count for key, count in offered.items()
            )
        }
        self._offered = {}

    def record_offer(
        self, task_class: _TaskClass, step: backlog_module.WaitingStep
    ) -> None:
        """Records that a step is offered in this round."""
        offered = self._offered.setdefault(task_class, {})
        offered[step.key] = len(step.waiting_indexes)

    def is_blocked(self, task_class: _TaskClass) -> bool:
        """Whether no task of a class was granted although some were offered."""
        return task_class in self._blocked


@dataclasses.dataclass(slots=True)
class GuaranteedOffers:
    """The steps that are guaranteed capacity in a round.

    Attributes:
        parts: The parts of steps to offer first, in order.
        steps: The steps that they belong to, each once.
        taken_counts: How many waiting tasks of each step the parts have.
    """

    parts: list[backlog_module.WaitingStep] = dataclasses.field(
        default_factory=list
    )
    steps: list[backlog_module.WaitingStep] = dataclasses.field(
        default_factory=list
    )
    taken_counts: dict[task_names.StepKey, int] = dataclasses.field(
        default_factory=dict
    )

    def remaining(
        self, waiting: Iterable[backlog_module.WaitingStep]
    ) -> list[backlog_module.WaitingStep]:
        """Returns what of the waiting steps is not in a part."""
        return [
            _part_of(step, taken, len(step.waiting_indexes))
            for step in waiting
            if (taken := self.taken_counts.get(step.key, 0))
            < len(step.waiting_indexes)
        ]

    def add(self, step: backlog_module.WaitingStep, tasks_count: int) -> None:
        """Adds a part of a step, which may extend the last part."""
        start = self.taken_counts.get(step.key, 0)
        end = start + tasks_count
        if not start:
            self.steps.append(step)
        elif self.parts[-1].key == step.key:
            start -= len(self.parts.pop().waiting_indexes)
        self.taken_counts[step.key] = end
        self.parts.append(_part_of(step, start, end))


class _Share:
    """A share below its guarantee, with what it was offered in this round.

    A step that fits on no worker must not hide the steps after it. Tasks of a class
    that got no grant last time therefore count only within their class.
    """

    def __init__(
        self,
        steps: Sequence[backlog_module.WaitingStep],
        status: shares_module.ShareStatus,
        progress: Progress,
    ):
        self._status = status
        self._progress = progress
        self._by_blocked_class: dict[_TaskClass, shares_module.ShareStatus] = {}
        self._task_ratios: dict[_TaskClass, float] = {}
        self._offers = self._choose_offers(steps)

    @property
    def used_ratio(self) -> float:
        """How much of the guarantee is in use or offered."""
        return self._status.usage_ratio / self._status.guaranteed_ratio

    def next_offer(self) -> tuple[backlog_module.WaitingStep, int] | None:
        """Returns a step and how many more of its tasks to offer, or None."""
        return next(self._offers, None)

    def _choose_offers(
        self, steps: Sequence[backlog_module.WaitingStep]
    ) -> Iterator[tuple[backlog_module.WaitingStep, int]]:
        for step in steps:
            task_class = _class_of(step)
            remaining_count = len(step.waiting_indexes)
            while remaining_count:
                status = self._status_for(task_class)
                if status.is_covered:
                    break
                part_count = remaining_count
                if not step.step.gang:
                    ratio = self._task_ratio(task_class, step)
                    part_count = _part_size(remaining_count, ratio, status)
                remaining_count -= part_count
                self._progress.record_offer(task_class, step)
                self._count(task_class, step, part_count)
                yield step, part_count

    def _task_ratio(
        self, task_class: _TaskClass, step: backlog_module.WaitingStep
    ) -> float:
        ratio = self._task_ratios.get(task_class)
        if ratio is None:
            ratio = amounts.dominant_share(
                step.step.resources, self._status.capacity
            )
            self._task_ratios[task_class] = ratio
        return ratio

    def _status_for(self, task_class: _TaskClass) -> shares_module.ShareStatus:
        if not self._progress.is_blocked(task_class):
            return self._status
        return self._by_blocked_class.setdefault(task_class, self._status)

    def _count(
        self,
        task_class: _TaskClass,
        step: backlog_module.WaitingStep,
        tasks_count: int,
    ) -> None:
        resources = amounts.multiply(step.step.resources, tasks_count)
        if self._progress.is_blocked(task_class):
            status = self._by_blocked_class[task_class]
            self._by_blocked_class[task_class] = status.add(resources)
        else:
            self._status = self._status.add(resources)


def choose(
    below: _StepsByShare,
    statuses: Mapping[shares_module.ShareKey, shares_module.ShareStatus],
    progress: Progress,
) -> GuaranteedOffers:
    """Chooses steps of shares up to their guarantees.

    Args:
        below: The waiting steps of each share that is below its guarantee.
        statuses: What each share uses.
        progress: Which classes of tasks got grants before; records the offers.
    """
    offers = GuaranteedOffers()
    shares = {
        key: _Share(steps, statuses[key], progress)
        for key, steps in below.items()
    }
    heap = [(share.used_ratio, key) for key, share in shares.items()]
    heapq.heapify(heap)
    while heap:
        _, key = heapq.heappop(heap)
        offer = shares[key].next_offer()
        if offer is not None:
            offers.add(*offer)
            heapq.heappush(heap, (shares[key].used_ratio, key))
    return offers


def _class_of(waiting: backlog_module.WaitingStep) -> _TaskClass:
    step = waiting.step
    needs_own_class = (
        step.gang
        or step.spread_limit
        or waiting.queue.advised
        or waiting.suspects_count
    )
    return (
        waiting.queue.pool,
        waiting.queue.name,
        step.resources.cpu_millicores,
        step.resources.memory_bytes,
        step.resources.accelerators_count,
        step.required_label,
        step.best_effort,
        step.image,
        waiting.key if needs_own_class else None,
    )


def _part_size(
    tasks_count: int, task_ratio: float, status: shares_module.ShareStatus
) -> int:
    """Returns how many of some tasks to offer before another share's turn.

    Args:
        tasks_count: The number of the tasks.
        task_ratio: The dominant share of one of them.
        status: What the share uses.
    """
    if not task_ratio:
        return tasks_count
    missing_ratio = status.guaranteed_ratio - status.usage_ratio
    part_ratio = min(missing_ratio, _PART_RATIO * status.guaranteed_ratio)
    return max(1, min(tasks_count, math.ceil(part_ratio / task_ratio)))


def _part_of(
    waiting: backlog_module.WaitingStep, start: int, end: int
) -> backlog_module.WaitingStep:
    """Returns a step with only some of its waiting tasks."""
    if start == 0 and end == len(waiting.waiting_indexes):
        return waiting
    indexes = waiting.waiting_indexes[start:end]
    suspects_count = waiting.suspects_count and sum(
        crash_attribution.is_suspect(waiting.tasks[index]) for index in indexes
    )
    return dataclasses.replace(
        waiting,
        waiting_indexes=indexes,
        # Only the first part may start a task of an idle job beyond the limits.
        idle_since_s=math.inf if start else waiting.idle_since_s,
        suspects_count=suspects_count,
    )
