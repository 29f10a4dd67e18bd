"""Evicts runs for shares below their guarantee, and reports on shares."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence

from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import evictions
from marigoldsill.coordination.job_placing import placement as placement_module
from marigoldsill.coordination.job_queueing import claims as claims_module
from marigoldsill.coordination.job_queueing import offer_policies
from marigoldsill.coordination.job_queueing import reclaim as reclaim_module
from marigoldsill.coordination.job_queueing import share_order
from marigoldsill.coordination.job_queueing import shares as shares_module
from marigoldsill.coordination.jobs import evictor as evictor_module
from marigoldsill.coordination.jobs import job_metrics
from marigoldsill.coordination.jobs import orders as orders_module
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables
from marigoldsill.transport import logs

# Minimum time between two searches for runs to evict, which look at all workers.
_SEARCH_INTERVAL_S = 0.1
# Minimum time between two updates of the metrics.
_METRICS_INTERVAL_S = 1.0
_UNGUARANTEED_LABEL = "none"
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
        self._waiting_shares: set[shares_module.ShareKey] = set()
        self._measured: set[shares_module.ShareKey] = set()
        self._searched_s = 0.0
        self._measured_s = 0.0
        if settings is not None:
            logs.event(
                "shares_in_force",
                shares=",".join(
                    f"{name}={ratio:g}"
                    for name, ratio in settings.ratios.items()
                ),
                reclaim_s=settings.reclaim_s,
            )

    def admits(self, agent: str, waiting: backlog_module.WaitingStep) -> bool:
        """Returns whether a step may use a worker's capacity now."""
        return self._claims.admits(agent, waiting)

    def reclaim(
        self,
        jobs: job_tables.JobTables,
        waiting: Sequence[backlog_module.WaitingStep],
        grants: Sequence[ttypes.RunGrant],
        *,
        placement: placement_module.Placement,
        agents: agents_module.Agents,
        orders: orders_module.Orders,
        evictor: evictor_module.Evictor,
        now_s: float,
    ) -> None:
        """Evicts runs for steps that the round has not granted.

        Called with the replica's lock held.

        Args:
            jobs: The jobs, with the runs that may be alive.
            waiting: The steps that waited at the start of the round.
            grants: The grants of the round.
            placement: The free capacity of all workers.
            agents: The agents' reports.
            orders: Knows which runs have been evicted.
            evictor: Evicts the chosen runs.
            now_s: The time of the round.
        """
        if self._order is None:
            return
        granted = [task_names.parse(grant.task).step_key for grant in grants]
        workers = placement.index.workers
        self._end_claims(granted, waiting, workers.keys(), now_s)
        self._update_metrics(now_s)
        granted_keys = set(granted)
        due = [
            step
            for step in self._order.due_steps
            if step.waiting.key not in granted_keys
            and not step.waiting.step.gang
        ]
        self._log_waits(due)
        may_begin = [
            step
            for step in due
            if self._claims.may_begin(step.key, now_s=now_s)
        ]
        if not may_begin or now_s - self._searched_s < _SEARCH_INTERVAL_S:
            return
        self._searched_s = now_s
        reclaims = reclaim_module.choose_reclaims(
            [reclaim_module.Demand(s.waiting, s.key) for s in may_begin],
            reclaim_module.Fleet(
                workers=list(workers.values()),
                runs=self._list_runs(jobs, workers, agents, orders),
                statuses=self._statuses_with(waiting, granted),
                claims=self._claims,
                accepts=lambda step, free: placement.accepts(
                    step, free, now_s=now_s
                ),
                now_s=now_s,
            ),
        )
        self._begin(reclaims, evictor, now_s)

    def _begin(
        self,
        reclaims: Sequence[reclaim_module.Reclaim],
        evictor: evictor_module.Evictor,
        now_s: float,
    ) -> None:
        for key in sorted({reclaim.claim.key for reclaim in reclaims}):
            own = [r for r in reclaims if r.claim.key == key]
            evicted = [run for r in own for run in r.evicted]
            if not self._claims.of_share(key):
                logs.event(
                    "share_reclaim_started",
                    pool=key.pool,
                    share=key.share,
                    tasks_count=len(own),
                    runs_count=len(evicted),
                )
            self._claims.begin([r.claim for r in own], now_s=now_s)
            job_metrics.SHARE_RECLAIMED_RUNS.labels(key.pool, key.share).inc(
                len(evicted)
            )
            evictor.evict_reclaimed(
                [evictions.Eviction(run.key, run.agent) for run in evicted],
                share=key.share,
            )

    def _end_claims(
        self,
        granted: Sequence[task_names.StepKey],
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
            logs.event(
                "share_reclaim_ended",
                pool=reclaim.key.pool,
                share=reclaim.key.share,
                took_ms=round(reclaim.took_s * 1000),
                granted_count=reclaim.granted_count,
                failed_count=reclaim.failed_count,
            )

    def _log_waits(self, due: Sequence[share_order.DueStep]) -> None:
        """Logs the shares that begin to wait for their guarantee."""
        waiting_shares = {step.key for step in due}
        for key in sorted(waiting_shares - self._waiting_shares):
            first = next(step for step in due if step.key == key)
            status = self._order.statuses[key]
            logs.event(
                "share_waits",
                pool=key.pool,
                share=key.share,
                usage_ratio=round(status.usage_ratio, 3),
                guaranteed_ratio=status.guaranteed_ratio,
                step=task_names.name_of_step(first.waiting.key),
                waited_ms=round(first.waited_s * 1000),
            )
        self._waiting_shares = waiting_shares

    def _update_metrics(self, now_s: float) -> None:
        if now_s - self._measured_s < _METRICS_INTERVAL_S:
            return
        self._measured_s = now_s
        statuses = self._order.statuses
        for key in self._measured - statuses.keys():
            labels = key.pool, key.share or _UNGUARANTEED_LABEL
            job_metrics.SHARE_USAGE_RATIO.labels(*labels).set(0)
        self._measured.update(statuses)
        for key, status in statuses.items():
            labels = key.pool, key.share or _UNGUARANTEED_LABEL
            job_metrics.SHARE_USAGE_RATIO.labels(*labels).set(
                status.usage_ratio
            )
            job_metrics.SHARE_GUARANTEED_RATIO.labels(*labels).set(
                status.guaranteed_ratio
            )

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
        workers: Iterable[str],
        agents: agents_module.Agents,
        orders: orders_module.Orders,
    ) -> dict[str, list[reclaim_module.RunningTask]]:
        """Returns the runs on the workers where tasks may start, by agent."""
        return {
            agent: [
                self._describe_run(jobs, agent, live, agents, orders)
                for live in jobs.runs_by_agent.get(agent, {}).values()
            ]
            for agent in workers
        }

    def _describe_run(
        self,
        jobs: job_tables.JobTables,
        agent: str,
        live: job_tables.LiveRun,
        agents: agents_module.Agents,
        orders: orders_module.Orders,
    ) -> reclaim_module.RunningTask:
        record = jobs.jobs[live.address.job_id]
        step = record.job.steps[live.address.step]
        task = job_tables.find_task(record, live.address)
        key = (live.task, live.run)
        view = agents.get(agent)
        sample = None if view is None else view.samples.get(key)
        percent = 0 if sample is None else sample.percent
        lost_ms = 0 if step.checkpointing else percent / 100 * step.estimated_ms
        return reclaim_module.RunningTask(
            key=key,
            agent=agent,
            step=step,
            share=self._settings.key_of(jobs.queue_of(record)),
            is_ending=key in orders.evicted
            or record.state in job_tables.ENDED
            or task is None
            or task.done,
            lost_core_ms=lost_ms * step.resources.cpu_millicores / 1000,
        )
