"""Places waiting tasks, and makes room for those that may ask for it."""

import dataclasses
import math

from marigoldsill.coordination import eviction as eviction_module
from marigoldsill.coordination import fleet as fleet_module
from marigoldsill.coordination import sharing as sharing_module
from marigoldsill.coordination.placement import amounts
from marigoldsill.coordination.placement import facts as facts_module
from marigoldsill.coordination.placement import feasibility
from marigoldsill.coordination.placement import queue as queue_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module

_CANDIDATES_COUNT = 16
_WORKERS_LIMIT = 24
_HOLD_S = 30.0
_STARVED_MS = 60_000
_STARVED_RATIO = 3.0
_STARVED_HOLDS_SHARE = 0.01
_WAIT_FADING = 0.02
_AVOIDED_COUNT = 4
_HARM_COST = 4.0
_PACKING_COST = 0.5
_SOLITUDE_COST = 1.0
_DISTURBING_RATIO = 0.1
_SAME_WORKER_COST = 8.0
_SAME_RACK_COST = 2.0
_USED_COST = 0.5
_NOT_ALLOWED_COST = 4.0
_AVOIDED_COST = 100.0


@dataclasses.dataclass(slots=True, frozen=True)
class _Hold:
    worker: str
    until_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class _Place:
    worker: str
    verdict: sharing_module.Verdict
    cost: float


class Starts:
    """The waiting tasks and where they go."""

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        sharing: sharing_module.Sharing,
        evictions: eviction_module.Evictions,
    ):
        self.queue = queue_module.TaskQueue()
        self._fleet = fleet
        self._sharing = sharing
        self._evictions = evictions
        self._holds: dict[str, _Hold] = {}
        self._avoided: dict[str, list[str]] = {}
        self._freed_count = 0
        self._usual_wait_ms = 0.0

    def put(
        self,
        tables: tables_module.Tables,
        task: ttypes.Task,
        *,
        now: fleet_module.Now,
        not_before_unix_ms: float = 0.0,
    ) -> None:
        """Queues a waiting task, or queues it again with fresh estimates."""
        facts = self._facts(tables, task)
        if facts is None:
            return
        ready = max(facts.ready_unix_ms, not_before_unix_ms)
        facts = dataclasses.replace(facts, ready_unix_ms=ready)
        self.queue.put(facts, now_unix_ms=now.unix_ms)

    def drop(self, name: str) -> None:
        """Takes out a task that does not wait any more."""
        self.queue.remove(name)
        self._end_hold(name)

    def avoid(self, task: str, worker: str) -> None:
        """Has a task tried elsewhere after it failed on a worker."""
        avoided = self._avoided.setdefault(task, [])
        if worker not in avoided:
            avoided.append(worker)
        del avoided[:-_AVOIDED_COUNT]

    def forget(self, task: str) -> None:
        """Drops what was kept about a task that ended."""
        self._avoided.pop(task, None)

    def place(
        self,
        tables: tables_module.Tables,
        *,
        now: fleet_module.Now,
        limit: int,
        tries_limit: int,
    ) -> tuple[list[ttypes.Assignment], list[ttypes.Eviction], dict[str, str]]:
        """Grants and evictions of one round, and why tasks go on waiting."""
        self._drop_old_holds(now)
        if self._fleet.index.freed_count != self._freed_count:
            self._freed_count = self._fleet.index.freed_count
            self.queue.resume_few()
        grants: list[ttypes.Assignment] = []
        victims: list[ttypes.Eviction] = []
        waiting: dict[str, str] = {}
        round_ = self.queue.next_round(
            now_unix_ms=now.unix_ms, limit=tries_limit
        )
        for facts in round_:
            grant, reason = self._try(tables, facts, now, victims)
            if grant is not None:
                grants.append(grant)
                waited_ms = now.unix_ms - facts.task.queued_unix_ms
                self._usual_wait_ms += _WAIT_FADING * (
                    waited_ms - self._usual_wait_ms
                )
                self.queue.placed(facts)
            else:
                waiting[facts.task.name] = reason
                self.queue.step_aside(facts)
            if len(grants) >= limit:
                break
        return grants, victims, waiting

    def fits_elsewhere(
        self,
        tables: tables_module.Tables,
        task: ttypes.Task,
        *,
        now: fleet_module.Now,
    ) -> str:
        """A worker that would take a run if it moved, or an empty text."""
        facts = self._facts(tables, task)
        if facts is None:
            return ""
        place = self._best(tables, facts, now)
        if place is None or place.worker == task.worker:
            return ""
        return place.worker

    def hold(
        self,
        tables: tables_module.Tables,
        task: ttypes.Task,
        worker: str,
        *,
        now: fleet_module.Now,
    ) -> None:
        """Holds room on a worker for a task that will move there."""
        facts = self._facts(tables, task)
        if facts is not None:
            self._hold(facts, worker, now)

    def _facts(
        self, tables: tables_module.Tables, task: ttypes.Task
    ) -> facts_module.Facts | None:
        facts = facts_module.of(tables, task, self._fleet.estimates)
        if facts is None:
            return None
        declared = tables.owner_record(task).resources
        capacities = list(self._fleet.index.largest_capacities())
        wanted = feasibility.bounded(facts, declared, capacities)
        return dataclasses.replace(facts, wanted=wanted)

    def _try(
        self,
        tables: tables_module.Tables,
        facts: facts_module.Facts,
        now: fleet_module.Now,
        victims: list[ttypes.Eviction],
    ) -> tuple[ttypes.Assignment | None, str]:
        team = tables.teams.get(facts.team)
        if team is not None:
            held = self._fleet.holdings.of_team(facts.team)
            with_it = amounts.add(held, facts.wanted)
            if not amounts.within_quota(with_it, team.quota):
                return None, f"waits: team {facts.team!r} holds its quota"
        place = self._held_place(tables, facts)
        place = place or self._best(tables, facts, now)
        if place is not None:
            return self._grant(facts, place), ""
        if facts.task.name in self._holds:
            return None, "waits: room is being made for it"
        choice = self._make_room(tables, facts, now)
        if choice is not None:
            victims += [
                self._evictions.choose(
                    task, f"gave way on {choice.worker} to {facts.task.name}"
                )
                for task in choice.victims
            ]
            self._hold(facts, choice.worker, now)
            return None, "waits: room is being made for it"
        self._hold_if_starved(facts, now)
        declared = tables.owner_record(facts.task).resources
        return None, (
            "waits: no worker where it may run has "
            f"{amounts.describe(declared)} free"
        )

    def _grant(
        self, facts: facts_module.Facts, place: _Place
    ) -> ttypes.Assignment:
        if place.verdict.explores:
            self._sharing.explore(place.worker)
        self._fleet.take(place.worker, facts)
        return ttypes.Assignment(
            task=facts.task.name,
            epoch=facts.task.epoch + 1,
            worker=place.worker,
            reserved=facts.wanted,
            reason=_reason(facts, place),
        )

    def _best(
        self,
        tables: tables_module.Tables,
        facts: facts_module.Facts,
        now: fleet_module.Now,
    ) -> _Place | None:
        places = [
            place
            for name in self._candidates(facts)
            if (place := self._judge(tables, facts, name, now)) is not None
        ]
        return min(places, key=lambda p: (p.cost, p.worker), default=None)

    def _candidates(self, facts: facts_module.Facts) -> list[str]:
        """Workers to judge; a service looks first where it has least."""
        index = self._fleet.index
        if facts.task.kind == ttypes.Kind.SERVICE:
            centres = sorted(
                index.data_centres(),
                key=lambda c: self._fleet.holdings.instances(
                    facts.task.owner, f"dc:{c}"
                ),
            )
            found = (
                index.candidates(
                    facts.wanted, limit=_CANDIDATES_COUNT, data_centre=centre
                )
                for centre in centres
            )
            return next((names for names in found if names), [])
        return index.candidates(facts.wanted, limit=_CANDIDATES_COUNT)

    def _judge(
        self,
        tables: tables_module.Tables,
        facts: facts_module.Facts,
        worker: str,
        now: fleet_module.Now,
    ) -> _Place | None:
        policy = tables.policy
        match facts.task.kind:
            case ttypes.Kind.BATCH_JOB:
                if not self._may_be_unknown(facts, worker):
                    return None
                verdict = self._sharing.of_batch(
                    policy,
                    worker,
                    facts.family,
                    now=now,
                    ahead_s=facts.remaining_ms / 1000,
                )
                if not verdict.allowed:
                    return None
                cost = self._packing_cost(facts, worker)
                cost += _HARM_COST * verdict.harm
                cost += self._solitude_cost(facts, worker)
            case ttypes.Kind.SERVICE:
                verdict = self._sharing.of_service(
                    policy, worker, facts.task.owner, now=now
                )
                if not verdict.allowed and not policy.sharing_allowed:
                    return None
                cost = self._spread_cost(facts, worker)
                cost += _NOT_ALLOWED_COST * (not verdict.allowed)
                if math.isfinite(verdict.harm):
                    cost += _HARM_COST * policy.latency_weight * verdict.harm
            case _:
                verdict = sharing_module.Verdict(allowed=True)
                cost = self._spread_cost(facts, worker)
        if worker in self._avoided.get(facts.task.name, ()):
            cost += _AVOIDED_COST
        return _Place(worker, verdict, cost)

    def _may_be_unknown(self, facts: facts_module.Facts, worker: str) -> bool:
        """Whether a run's size is known, or no other unknown one is there.

        A declaration may be ten times too small; one such run at a time
        bounds by how much a worker can be overrun before it is measured.
        """
        estimates = self._fleet.estimates
        if estimates.is_known(facts.family):
            return True
        batch = self._fleet.residents(worker).batch
        return all(estimates.is_known(n.family) for n in batch)

    def _packing_cost(self, facts: facts_module.Facts, worker: str) -> float:
        """Low where little is left over: large holes stay for large runs."""
        view = self._fleet.index.views[worker]
        left = amounts.subtract(view.free, facts.wanted)
        return _PACKING_COST * amounts.largest_share(left, view.record.capacity)

    def _solitude_cost(self, facts: facts_module.Facts, worker: str) -> float:
        """Keeps workers without services for families that disturb them."""
        if self._fleet.residents(worker).services:
            return 0.0
        added = self._fleet.interference.family_added(facts.family)
        return _SOLITUDE_COST * max(0.0, 1 - added / _DISTURBING_RATIO)

    def _spread_cost(self, facts: facts_module.Facts, worker: str) -> float:
        view = self._fleet.index.views[worker]
        holdings = self._fleet.holdings
        owner = facts.task.owner
        rack = f"dc:{view.record.data_centre}/rack:{view.record.rack}"
        residents = self._fleet.residents(worker)
        here = sum(run.service == owner for run in residents.services)
        free = amounts.largest_share(view.free, view.record.capacity)
        return (
            _SAME_WORKER_COST * here
            + _SAME_RACK_COST * holdings.instances(owner, rack)
            + _USED_COST * (1 - free)
        )

    def _held_place(
        self, tables: tables_module.Tables, facts: facts_module.Facts
    ) -> _Place | None:
        """The place held for a task, once it is free."""
        hold = self._holds.get(facts.task.name)
        if hold is None:
            return None
        view = self._fleet.index.views.get(hold.worker)
        if view is None or not view.open:
            self._end_hold(facts.task.name)
            return None
        held = self._fleet.index.held_for(hold.worker, facts.task.name)
        if not amounts.fits(facts.wanted, amounts.add(view.free, held)):
            return None
        alone = _must_be_alone(tables.policy, facts)
        if alone and self._fleet.residents(hold.worker).batch:
            return None
        self._end_hold(facts.task.name)
        verdict = sharing_module.Verdict(allowed=True)
        return _Place(hold.worker, verdict, 0.0)

    def _make_room(
        self,
        tables: tables_module.Tables,
        facts: facts_module.Facts,
        now: fleet_module.Now,
    ) -> eviction_module.Choice | None:
        if not _may_force(facts, now):
            return None
        choice = self._evictions.room_for(
            tables,
            facts,
            self._fleet.index.sample_open(_WORKERS_LIMIT),
            now=now,
            clear_batch=_must_be_alone(tables.policy, facts),
        )
        if choice is None:
            return None
        if not self._evictions.budget.take(len(choice.victims)):
            return None
        return choice

    def _hold_if_starved(
        self, facts: facts_module.Facts, now: fleet_module.Now
    ) -> None:
        """Keeps smaller runs from taking all that ends before a large one."""
        views = self._fleet.index.views
        waited_ms = now.unix_ms - facts.task.queued_unix_ms
        if waited_ms < max(_STARVED_MS, _STARVED_RATIO * self._usual_wait_ms):
            return
        if len(self._holds) >= 1 + len(views) * _STARVED_HOLDS_SHARE:
            return
        names = [
            name
            for name in self._fleet.index.sample_open(_WORKERS_LIMIT)
            if not self._fleet.residents(name).services
            and amounts.fits(facts.wanted, views[name].record.capacity)
        ]
        if names:
            best = max(names, key=lambda n: views[n].free.cpu_millicores)
            self._hold(facts, best, now)

    def _hold(
        self,
        facts: facts_module.Facts,
        worker: str,
        now: fleet_module.Now,
    ) -> None:
        self._end_hold(facts.task.name)
        until_s = now.monotonic_s + _HOLD_S
        self._holds[facts.task.name] = _Hold(worker, until_s)
        self._fleet.index.hold(worker, facts.task.name, facts.wanted)
        self._fleet.index.take(worker, facts.wanted)

    def _end_hold(self, task: str) -> None:
        hold = self._holds.pop(task, None)
        if hold is None:
            return
        held = self._fleet.index.held_for(hold.worker, task)
        self._fleet.index.release(hold.worker, task)
        self._fleet.index.give_back(hold.worker, held)

    def _drop_old_holds(self, now: fleet_module.Now) -> None:
        old = [
            task
            for task, hold in self._holds.items()
            if hold.until_s < now.monotonic_s
        ]
        for task in old:
            self._end_hold(task)


def _may_force(facts: facts_module.Facts, now: fleet_module.Now) -> bool:
    """Whether others may give way: services, watchers and late jobs."""
    if facts.task.kind != ttypes.Kind.BATCH_JOB:
        return True
    if not math.isfinite(facts.latest_start_unix_ms):
        return False
    margin_ms = 0.2 * facts.remaining_ms
    deadline_ms = facts.latest_start_unix_ms + facts.remaining_ms
    soon = facts.latest_start_unix_ms - margin_ms <= now.unix_ms
    return soon and now.unix_ms < deadline_ms


def _must_be_alone(policy: ttypes.Policy, facts: facts_module.Facts) -> bool:
    service = facts.task.kind == ttypes.Kind.SERVICE
    return service and not policy.sharing_allowed


def _reason(facts: facts_module.Facts, place: _Place) -> str:
    if facts.task.epoch:
        verb = f"moved to {place.worker}"
    else:
        verb = f"placed on {place.worker}"
    if place.verdict.explores:
        return f"{verb}: tried there to learn how it disturbs"
    if place.verdict.harm:
        return f"{verb}: least disturbance expected there"
    return f"{verb}: best fit"
