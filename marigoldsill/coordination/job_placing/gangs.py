"""Gang scheduling: all tasks of a gang start together, or none does."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import heapq
import itertools
import types

from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import (
    candidates as candidates_module,
)
from marigoldsill.coordination.job_placing import capacity_index
from marigoldsill.coordination.job_placing import evictions
from marigoldsill.coordination.job_placing import free_capacity
from marigoldsill.coordination.job_placing import interference_model
from marigoldsill.coordination.job_placing import scoring
from marigoldsill.coordination.job_placing import worker_choice
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables

# Gangs tried in one round. Each attempt copies all workers that admit the gang.
_GANGS_LIMIT = 4
_NO_WORKERS: Mapping[str, free_capacity.FreeCapacity] = types.MappingProxyType(
    {}
)


class GangSelector:
    """Selects the gangs to try in each round, least recently tried first."""

    def __init__(self):
        self._tried_round: dict[task_names.StepKey, int] = {}
        self._round = 0

    def choose(
        self, waiting: Iterable[task_names.StepKey]
    ) -> set[task_names.StepKey]:
        """Returns the gangs to try in this round."""
        self._round += 1
        tried_round = {key: self._tried_round.get(key, 0) for key in waiting}
        chosen = heapq.nsmallest(
            _GANGS_LIMIT, tried_round, key=tried_round.__getitem__
        )
        self._tried_round = tried_round | dict.fromkeys(chosen, self._round)
        return set(chosen)


def worker_groups(
    step: ttypes.Step, workers: Sequence[free_capacity.FreeCapacity]
) -> Iterator[list[free_capacity.FreeCapacity]]:
    """Yields sets of workers to try for a whole gang, the best first.

    A gang that is slower across racks is tried on single racks first, starting with
    the rack that has the most free processor time.
    """
    if step.same_rack:
        by_rack = sorted(workers, key=lambda free: free.worker.rack)
        racks = [
            list(group)
            for _, group in itertools.groupby(
                by_rack, key=lambda free: free.worker.rack
            )
        ]
        yield from sorted(racks, key=_free_millicores, reverse=True)
    yield list(workers)


def choose_agents(
    waiting: backlog_module.WaitingStep,
    *,
    chooser: worker_choice.WorkerChooser,
    index: capacity_index.CapacityIndex,
    interference: interference_model.InterferenceModel,
    now_s: float,
    fallback: Mapping[str, free_capacity.FreeCapacity] = _NO_WORKERS,
) -> list[str]:
    """Returns an agent for each member of a gang, or none if not all members fit.

    Args:
        waiting: The gang.
        chooser: Chooses a worker for each member.
        index: Workers on which tasks may start; not changed.
        interference: The learnt interference between images.
        now_s: The time of the round.
        fallback: Workers by agent that are used where no other fits, in place of
            the ones in the index; not changed.
    """
    step, pool = waiting.step, waiting.queue.pool
    accepts = chooser.acceptance_for(waiting, now_s)
    admitted = [
        free
        for free in (index.workers | fallback).values()
        if free.admits(step, pool) and accepts(free)
    ]

    def score(free: free_capacity.FreeCapacity) -> scoring.Score | None:
        found = scoring.score_within_limits(free, step, pool, interference)
        return None if found is None else (free.agent not in fallback, *found)

    for group in worker_groups(step, admitted):
        candidates = candidates_module.Candidates(score)
        for free in group:
            candidates.update(free.copy(), index.ordinal(free.agent))
        agents: list[str] = []
        for number in range(len(waiting.tasks)):
            free = chooser.choose(waiting, number, candidates, now_s)
            if free is None:
                break
            free.reserve(waiting.key, step, interference)
            candidates.update(free, index.ordinal(free.agent))
            agents.append(free.agent)
        else:
            return agents
    return []


def runs_of_incomplete_gangs(
    jobs: job_tables.JobTables, job_ids: Iterable[str]
) -> list[evictions.Eviction]:
    """Returns the runs to evict of gangs in which some members have no run.

    These runs could only wait for the others, so they are evicted until the whole
    gang starts again.
    """
    return [
        run
        for job_id in job_ids
        if (record := jobs.jobs.get(job_id)) is not None
        and record.state not in job_tables.ENDED
        for occurrence in record.open
        for number, step in enumerate(record.job.steps)
        if step.gang
        for run in _runs_of_incomplete_gang(job_id, occurrence, number)
    ]


def _runs_of_incomplete_gang(
    job_id: str, occurrence: ttypes.Occurrence, number: int
) -> list[evictions.Eviction]:
    tasks = occurrence.steps[number].tasks
    if all(task.runs or task.done for task in tasks):
        return []
    return [
        evictions.Eviction(
            key=(
                task_names.name_of(job_id, occurrence.number, number, index),
                run.run,
            ),
            agent=run.agent,
        )
        for index, task in enumerate(tasks)
        for run in task.runs
    ]


def _free_millicores(workers: Sequence[free_capacity.FreeCapacity]) -> int:
    return sum(free.cpu_millicores for free in workers)
