"""Summarizes the load several times a second, at a bounded cost for the scheduler."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import heapq
import math

from marigoldsill.coordination.job_admission import load as load_module
from marigoldsill.coordination.job_admission import step_facts
from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import placement as placement_module
from marigoldsill.coordination.job_placing import step_placement
from marigoldsill.coordination.job_placing import urgency as urgency_module
from marigoldsill.protocol import task_names
from marigoldsill.transport import clock

_INTERVAL_S = 0.25
# A summary is followed by a pause of this many times the time that it took.
_PAUSE_RATIO = 20.0
# Bounds the time of a decision, which looks at all groups of waiting steps.
_GROUPS_LIMIT = 200
# Steps whose needs are all different form a group each; the lightest groups are left
# out, as less work that ranks before a job only makes its acceptance more likely.
_KEPT_GROUPS_LIMIT = 2 * _GROUPS_LIMIT
# Workers that were lost for a shorter time are expected back.
_CAPACITY_WINDOW_S = 30.0
_MILLICORES_PER_CORE = 1_000


@dataclasses.dataclass(slots=True)
class _Group:
    """Neighbouring steps of one kind that are being summarized."""

    steps_count: int = 0
    core_ms: float = 0.0
    run_core_ms: float = 0.0
    latest_start_unix_ms: float = math.inf
    last_key: load_module.OrderKey | None = None


class LoadPublisher:
    """Builds the summaries of one term; used by the scheduler's thread.

    Attributes:
        next_s: When the next summary is due.
    """

    def __init__(self, *, term: int, now_s: float):
        """Creates a publisher that has seen no worker.

        Args:
            term: The term of the leader.
            now_s: When the term began.
        """
        self._term = term
        self.next_s = now_s
        self._begun_s = now_s
        self._facts: dict[task_names.StepKey, step_facts.StepFacts] = {}
        self._without_workers_since_s: dict[str, float] = {}
        self._capacities: dict[str, collections.deque[tuple[float, int]]] = {}

    def is_due(self, *, now_s: float) -> bool:
        """Whether it is time for the next summary."""
        return now_s >= self.next_s

    def summarize(
        self,
        backlog: backlog_module.Backlog,
        waiting: Sequence[backlog_module.WaitingStep],
        urgency: urgency_module.Urgency,
        placement: placement_module.Placement,
        *,
        pools: Iterable[str],
        now_s: float,
        now_unix_ms: int,
        is_order_final: bool,
    ) -> load_module.LoadSummary:
        """Summarizes the load.

        Args:
            backlog: The waiting steps with their ranks.
            waiting: The waiting steps in order.
            urgency: The learnt run times.
            placement: Holds the capacity of the workers on which tasks may start,
                after this round has placed what it could.
            pools: The names of all pools.
            now_s: The time of the round.
            now_unix_ms: The same as wall-clock time.
            is_order_final: Whether no policy changes the order.
        """
        begin_s = clock.now_s()
        work = self._group_steps(backlog, waiting, urgency)
        free_workers = _free_workers(placement)
        summary = load_module.LoadSummary(
            term=self._term,
            term_begun_s=self._begun_s,
            published_s=now_s,
            published_unix_ms=now_unix_ms,
            pools={
                pool: self._pool_load(
                    pool,
                    placement,
                    work.get(pool, []),
                    free_workers.get(pool, []),
                    now_s,
                )
                for pool in pools
            },
            mean_core_times_ms=dict(backlog.mean_core_times_ms),
            is_order_final=is_order_final,
        )
        took_s = clock.now_s() - begin_s
        self.next_s = now_s + max(_INTERVAL_S, _PAUSE_RATIO * took_s)
        return summary

    def _group_steps(
        self,
        backlog: backlog_module.Backlog,
        waiting: Sequence[backlog_module.WaitingStep],
        urgency: urgency_module.Urgency,
    ) -> dict[str, list[load_module.WaitingWork]]:
        """Returns the waiting work of each pool, in order."""
        group_size = max(1, -(-len(waiting) // _GROUPS_LIMIT))
        before, self._facts = self._facts, {}
        open_groups: dict[tuple, _Group] = {}
        work: dict[str, list[load_module.WaitingWork]] = {}
        job_facts = step_facts.FactsDeriver(urgency)
        for step in waiting:
            if not _uses_any_capacity(step):
                continue
            if not urgency.run_times.is_learnt(step.queue.name):
                # Its estimates may be several times too long.
                continue
            facts = job_facts.refresh(step, before.get(step.key))
            self._facts[step.key] = facts
            group = open_groups.get(facts.group)
            if group is None:
                group = open_groups[facts.group] = _Group()
            core_ms = (
                len(step.waiting_indexes) * facts.group[3] * facts.run_ms
            ) / _MILLICORES_PER_CORE
            group.steps_count += 1
            group.core_ms += core_ms
            group.run_core_ms += core_ms * facts.run_ms
            group.last_key = backlog.rank_of(step), step.key
            if facts.latest_start_unix_ms < group.latest_start_unix_ms:
                group.latest_start_unix_ms = facts.latest_start_unix_ms
            if group.steps_count >= group_size:
                del open_groups[facts.group]
                _close(group, facts.group, work)
        for kind, group in open_groups.items():
            _close(group, kind, work)
        return {
            pool: sorted(
                heapq.nlargest(
                    _KEPT_GROUPS_LIMIT, items, key=lambda item: item.core_ms
                ),
                key=lambda item: item.last_key,
            )
            for pool, items in work.items()
        }

    def _pool_load(
        self,
        pool: str,
        placement: placement_module.Placement,
        work: list[load_module.WaitingWork],
        free_workers: list[load_module.FreeWorker],
        now_s: float,
    ) -> load_module.PoolLoad:
        index = placement.index
        millicores = index.pool_capacity(pool).cpu_millicores
        if millicores:
            self._without_workers_since_s.pop(pool, None)
        else:
            self._without_workers_since_s.setdefault(pool, now_s)
        return load_module.PoolLoad(
            capacity_millicores=self._recent_capacity(pool, millicores, now_s),
            no_worker_since_s=self._without_workers_since_s.get(pool, math.inf),
            max_idle_s=step_placement.max_idle_s(
                reserved_share=index.reserved_share(pool)
            ),
            free_workers=free_workers,
            work=work,
        )

    def _recent_capacity(self, pool: str, millicores: int, now_s: float) -> int:
        """Returns the highest capacity of a pool in the last seconds."""
        recent = self._capacities.setdefault(pool, collections.deque())
        while recent and recent[-1][1] <= millicores:
            recent.pop()
        recent.append((now_s, millicores))
        while now_s - recent[0][0] > _CAPACITY_WINDOW_S:
            recent.popleft()
        return recent[0][1]


def _free_workers(
    placement: placement_module.Placement,
) -> dict[str, list[load_module.FreeWorker]]:
    """Returns what is free of the workers of each pool that may start tasks."""
    free_workers: dict[str, list[load_module.FreeWorker]] = {}
    for free in placement.index.workers.values():
        if free.starts_limit != 0 and not free.worker.draining:
            free_workers.setdefault(free.worker.pool, []).append(
                load_module.FreeWorker(
                    cpu_millicores=free.cpu_millicores,
                    idle_millicores=free.idle_millicores,
                    memory_bytes=free.memory_bytes,
                )
            )
    return free_workers


def _uses_any_capacity(step: backlog_module.WaitingStep) -> bool:
    """Returns whether a step's tasks start wherever capacity is free.

    Others may wait while capacity stays free for the steps after them.
    """
    needs = step.step
    return not (
        needs.long_running
        or needs.gang
        or needs.same_rack
        or needs.required_label
        or needs.spread_limit
        or needs.resources.accelerators_count
        or step.suspects_count
        or step.queue.advised
    )


def _close(
    group: _Group,
    kind: tuple[str, str, bool, int, int],
    work: dict[str, list[load_module.WaitingWork]],
) -> None:
    """Adds a complete group to the work of its pool."""
    pool, queue, is_best_effort, cpu_millicores, memory_bytes = kind
    item = load_module.WaitingWork(
        last_key=group.last_key,
        queue=queue,
        is_best_effort=is_best_effort,
        cpu_millicores=cpu_millicores,
        memory_bytes=memory_bytes,
        core_ms=group.core_ms,
        run_ms=group.run_core_ms / max(group.core_ms, 1e-9),
        latest_start_unix_ms=group.latest_start_unix_ms,
        priority=group.last_key[0].priority,
    )
    work.setdefault(pool, []).append(item)
