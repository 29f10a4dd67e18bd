"""Evicts runs of borrowers for shares below their guarantee."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set
import itertools

from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import evictions
from marigoldsill.coordination.job_placing import free_capacity
from marigoldsill.coordination.job_placing import placement as placement_module
from marigoldsill.coordination.job_queueing import claims as claims_module
from marigoldsill.coordination.job_queueing import offer_policies
from marigoldsill.coordination.job_queueing import reclaim as reclaim_module
from marigoldsill.coordination.job_queueing import reclaim_fleet as fleet_module
from marigoldsill.coordination.job_queueing import share_order
from marigoldsill.coordination.job_queueing import share_reporter
from marigoldsill.coordination.job_queueing import shares as shares_module
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import amounts
from marigoldsill.state import job_tables

# Minimum time between two searches for runs to evict, and how many workers each looks
# at. It takes some milliseconds, about as long as a round.
_SEARCH_INTERVAL_S = 0.1
_WORKERS_LIMIT = 32
# The interval once no run on any worker could be evicted.
_RETRY_INTERVAL_S = 0.5
_NO_SHARES = shares_module.ShareSettings(ratios={}, reclaim_s=0.0)


class ShareReclaimer:
    """Reclaims capacity for shares during one term of this leader.

    Nothing is stored: a new leader decides again from what the shares use.
    """

    def __init__(
        self,
        settings: shares_module.ShareSettings | None,
        policies: Iterable[offer_policies.OfferPolicy],
    ):
        """Initializes the reclaimer.

        Args:
            settings: The guaranteed shares; None for none.
            policies: The policies of the term, one of which orders by shares.
        """
        self._settings = settings or _NO_SHARES
        self._order = next(
            (p for p in policies if isinstance(p, share_order.ShareOrder)), None
        )
        self._claims = claims_module.Claims(self._settings)
        self._reporter = share_reporter.ShareReporter()
        self._searched_s = 0.0
        self._next_worker = 0
        self._fruitless_count = 0
        if settings is not None:
            self._reporter.log_settings(settings)

    def admits(self, agent: str, waiting: backlog_module.WaitingStep) -> bool:
        """Returns whether a step may use a worker's capacity now."""
        return self._claims.admits(agent, waiting)

    def reclaim(
        self,
        replica: replica_module.Replica,
        waiting: Sequence[backlog_module.WaitingStep],
        grants: Sequence[ttypes.RunGrant],
        *,
        placement: placement_module.Placement,
        agents: agents_module.Agents,
        evicted: Set[task_names.RunKey],
        evict: Callable[[Iterable[evictions.Eviction], str], None],
        now_s: float,
    ) -> None:
        """Evicts runs for steps that the round has not granted.

        Called without the replica's lock, which is held only to read and to evict.

        Args:
            replica: The jobs, with the runs that may be alive.
            waiting: The steps that waited at the start of the round.
            grants: The grants of the round.
            placement: The free capacity of all workers.
            agents: The agents' reports.
            evicted: The runs that have been evicted, and have not ended.
            evict: Evicts runs for a share.
            now_s: The time of the round.
        """
        if self._order is None:
            return
        granted = [task_names.parse(grant.task).step_key for grant in grants]
        workers = placement.index.workers
        granted_agents = (grant.agent for grant in grants)
        self._end_claims(
            zip(granted, granted_agents, strict=True),
            waiting,
            workers.keys(),
            now_s,
        )
        due = self._find_due(set(granted))
        if self._reporter.observe(self._order.statuses, due, now_s=now_s):
            self._fruitless_count = 0
        allowed = [
            step
            for step in due
            if self._claims.may_begin(step.key, now_s=now_s)
        ]
        if not allowed or not self._may_search(len(workers), now_s):
            return
        self._searched_s = now_s
        sample = self._sample_workers(workers, allowed)
        statuses = self._statuses_with(waiting, granted)
        with replica.lock:
            jobs = replica.tables.jobs
            runs = {
                free.agent: self._list_runs(
                    jobs, agents.get(free.agent), evicted
                )
                for free in sample
            }
            ending = self._sum_ending(jobs, evicted, runs)
        fleet = fleet_module.Fleet(
            workers=sample,
            runs=runs,
            statuses=statuses,
            ending={k: v for k, v in ending.items() if k in statuses},
            claims=self._claims,
            accepts=lambda step, free: placement.accepts(
                step, free, now_s=now_s
            ),
            now_s=now_s,
        )
        reclaims = reclaim_module.choose_reclaims(allowed, fleet)
        self._fruitless_count += len(sample)
        if reclaims:
            self._fruitless_count = 0
            with replica.lock:
                self._begin(replica.tables.jobs, reclaims, evict, now_s)

    def _may_search(self, workers_count: int, now_s: float) -> bool:
        """Returns whether to look for runs; rarely after all workers had none."""
        is_fruitless = self._fruitless_count > workers_count
        interval_s = _RETRY_INTERVAL_S if is_fruitless else _SEARCH_INTERVAL_S
        return now_s - self._searched_s >= interval_s

    def _find_due(
        self, granted: Collection[task_names.StepKey]
    ) -> list[fleet_module.DueStep]:
        """Returns the steps for which runs may be evicted.

        A gang needs several workers at once, for which no runs are evicted.
        """
        return [
            due
            for due in self._order.due_steps
            if due.waiting.key not in granted and not due.waiting.step.gang
        ]

    def _sample_workers(
        self,
        workers: Mapping[str, free_capacity.FreeCapacity],
        due: Iterable[fleet_module.DueStep],
    ) -> list[free_capacity.FreeCapacity]:
        """Returns the next workers in turn of the pools that matter."""
        pools = {step.key.pool for step in due}
        candidates = [
            free for free in workers.values() if free.worker.pool in pools
        ]
        if len(candidates) <= _WORKERS_LIMIT:
            return candidates
        start = self._next_worker % len(candidates)
        self._next_worker = start + _WORKERS_LIMIT
        return [*candidates[start:], *candidates[:start]][:_WORKERS_LIMIT]

    def _begin(
        self,
        jobs: job_tables.JobTables,
        reclaims: Sequence[reclaim_module.Reclaim],
        evict: Callable[[Iterable[evictions.Eviction], str], None],
        now_s: float,
    ) -> None:
        for key in sorted({reclaim.claim.key for reclaim in reclaims}):
            own = [r for r in reclaims if r.claim.key == key]
            evicted = [
                evictions.Eviction(run.key, run.agent)
                for reclaim in own
                for run in reclaim.evicted
                if run.key in jobs.runs_by_agent.get(run.agent, {})
            ]
            if not self._claims.of_share(key):
                self._reporter.log_started(key, len(own), len(evicted))
            self._claims.begin([r.claim for r in own], now_s=now_s)
            self._reporter.count_evictions(key, len(evicted))
            evict(evicted, key.share)

    def _end_claims(
        self,
        granted: Iterable[tuple[task_names.StepKey, str]],
        waiting: Sequence[backlog_module.WaitingStep],
        agents: Collection[str],
        now_s: float,
    ) -> None:
        ended = self._claims.update(
            granted=granted,
            waiting=(step.key for step in waiting),
            agents=agents,
            now_s=now_s,
        )
        for reclaim in ended:
            self._reporter.log_ended(reclaim)

    def _statuses_with(
        self,
        waiting: Sequence[backlog_module.WaitingStep],
        granted: Sequence[task_names.StepKey],
    ) -> dict[shares_module.ShareKey, shares_module.ShareStatus]:
        """Returns the shares with the grants of this round."""
        statuses = dict(self._order.statuses)
        granted_keys = set(granted)
        steps = {s.key: s for s in waiting if s.key in granted_keys}
        for step_key in granted:
            step = steps[step_key]
            key = self._settings.key_of(step.queue)
            statuses[key] = statuses[key].add(step.step.resources)
        return statuses

    def _list_runs(
        self,
        jobs: job_tables.JobTables,
        view: agents_module.AgentView | None,
        evicted: Set[task_names.RunKey],
    ) -> list[fleet_module.RunningTask]:
        """Returns the runs that may be alive on an agent's worker."""
        if view is None:  # a term has begun during the round
            return []
        return [
            self._describe_run(jobs, view, live, evicted)
            for live in jobs.runs_by_agent.get(view.name, {}).values()
        ]

    def _sum_ending(
        self,
        jobs: job_tables.JobTables,
        evicted: Iterable[task_names.RunKey],
        runs: Mapping[str, Iterable[fleet_module.RunningTask]],
    ) -> dict[shares_module.ShareKey, ttypes.Resources]:
        """Returns what evicted runs, and others that have to stop, reserve."""
        ending = {
            run.key: (run.share, run.step)
            for run in itertools.chain.from_iterable(runs.values())
            if run.is_ending
        }
        for key in evicted:
            address = task_names.parse(key[0])
            step = jobs.step_at(address)
            if step is not None and key not in ending:
                queue = jobs.queue_of(jobs.jobs[address.job_id])
                ending[key] = (self._settings.key_of(queue), step)
        totals: dict[shares_module.ShareKey, ttypes.Resources] = {}
        for share, step in ending.values():
            amounts.add_to(totals, share, step.resources)
        return totals

    def _describe_run(
        self,
        jobs: job_tables.JobTables,
        view: agents_module.AgentView,
        live: job_tables.LiveRun,
        evicted: Set[task_names.RunKey],
    ) -> fleet_module.RunningTask:
        record = jobs.jobs[live.address.job_id]
        step = record.job.steps[live.address.step]
        task = job_tables.find_task(record, live.address)
        key = (live.task, live.run)
        sample = view.samples.get(key)
        lost_ms = 0.0
        if sample is not None and not step.checkpointing:
            lost_ms = sample.percent / 100 * step.estimated_ms
        return fleet_module.RunningTask(
            key=key,
            agent=view.name,
            step=step,
            share=self._settings.key_of(jobs.queue_of(record)),
            is_ending=key in evicted
            or record.state in job_tables.ENDED
            or task is None
            or task.done,
            lost_core_ms=lost_ms * step.resources.cpu_millicores / 1000,
        )
