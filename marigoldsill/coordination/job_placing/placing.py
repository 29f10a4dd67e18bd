"""Chooses workers for waiting tasks; looks at no clock and no network."""

from collections.abc import Sequence

from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import gangs
from marigoldsill.coordination.job_placing import rooms as rooms_module
from marigoldsill.coordination.job_placing import sharing as sharing_module
from marigoldsill.coordination.job_placing import tickets as tickets_module
from marigoldsill.coordination.job_placing import worker_health
from marigoldsill.coordination.learning import strain
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes

# Grants in one command, which bounds how long a round holds the lock.
_GRANTS_LIMIT = 300
# Up to here a task that fills may be put beside one that serves, at its usual
# load. Agents slow it down while that load is higher.
_STRAIN_LIMIT = strain.at_ratio(0.74)
# A task begins at its whole speed and is slowed down only once it is there and
# seen, so none begins where that would bring a tail over its target. With what was
# not listed yet taken as loaded, lasting tasks got 0.931 of their worth instead of
# 0.917, and 3.4% of all calls earned nothing instead of 3.8% (ten played days).
_START_LIMIT = strain.at_ratio(1.0)
# What a worker where nothing serves counts as, in shares of the strain that is
# left: tasks that hardly disturb leave it to those that do.
_APART_COST = 0.1
_FULL_COST = 0.3
_LEAST_LEFT = 1e-6
# A job that has had nothing running for so long gets a task in any case: no job
# may stand idle for 3 s while less than half of a pool is in use.
_IDLE_LIMIT_S = 2.0
# Beside tasks that it presses hard such a start costs their users about what it
# earns, so while tasks with room of their own hold more than this share of a pool,
# which leaves a margin over that half, a job waits for about the time that large
# jobs take. Lasting tasks got 0.915 of their worth instead of 0.903 (means of ten
# played days).
_FULL_POOL_SHARE = 0.6
_FULL_POOL_IDLE_LIMIT_S = 20.0
_DISTURBANCE_LIMIT = 0.2
# Tasks that fill may ask for a little more than is left: their declarations
# are rough. Far beyond that all of them only get slower, so they wait.
_OVERFILL_SHARE = 0.1


class Placing:
    """One round of choices, by what was learnt so far."""

    def __init__(
        self,
        sharing: sharing_module.Sharing,
        health: worker_health.WorkerHealth,
        tickets: tickets_module.Tickets,
    ):
        self._sharing = sharing
        self._health = health
        self._tickets = tickets

    def place(
        self,
        steps: Sequence[backlog_module.WaitingStep],
        rooms: Sequence[rooms_module.Room],
        *,
        now_s: float,
    ) -> list[ttypes.RunGrant]:
        """Grants for waiting tasks, in order, as far as there is room."""
        grants: list[ttypes.RunGrant] = []
        for waiting in steps:
            if len(grants) >= _GRANTS_LIMIT:
                break
            candidates = [
                room for room in rooms if self._may_run(waiting, room, now_s)
            ]
            if waiting.step.gang:
                grants += self._place_gang(waiting, candidates)
                continue
            granted = self._place_step(waiting, candidates)
            if not granted and _is_idle_too_long(waiting, rooms, now_s):
                granted = self._place_anyway(waiting, candidates)
            grants += granted
        return grants

    def _may_run(
        self,
        waiting: backlog_module.WaitingStep,
        room: rooms_module.Room,
        now_s: float,
    ) -> bool:
        """Whether a worker takes a step's tasks, with a ticket if it must."""
        if not room.takes(waiting.step, waiting.queue.pool):
            return False
        if not waiting.queue.advised:
            return True
        worker_id = room.worker.worker_id
        return bool(self._tickets.ticket(waiting.key, worker_id, now_s=now_s))

    def _place_anyway(
        self,
        waiting: backlog_module.WaitingStep,
        candidates: list[rooms_module.Room],
    ) -> list[ttypes.RunGrant]:
        """Begins one task of a job that has nothing running.

        Its worker is where it disturbs least; the agent gives it the speed
        that is left. So every job goes on, however slowly.
        """
        fitting = [r for r in candidates if _has_room(r, waiting)]
        if not fitting:
            return []
        step = waiting.step
        room = min(
            fitting,
            key=lambda r: (self._disturbance(r, step), -r.unused_share),
        )
        return [self._grant(waiting, waiting.waiting[0], room)]

    def _place_gang(
        self,
        waiting: backlog_module.WaitingStep,
        candidates: list[rooms_module.Room],
    ) -> list[ttypes.RunGrant]:
        """Begins all members under one number, or none."""
        if any(task.runs or task.done for task in waiting.tasks):
            return []
        run = 1 + max(task.last_run for task in waiting.tasks)
        by_agent = {room.agent: room for room in candidates}
        for group in gangs.groups(waiting.step, candidates):
            agents = self._agents_for_gang(waiting, group)
            if agents:
                return [
                    self._grant(waiting, index, by_agent[agent], run=run)
                    for index, agent in enumerate(agents)
                ]
        return []

    def _agents_for_gang(
        self,
        waiting: backlog_module.WaitingStep,
        group: list[rooms_module.Room],
    ) -> list[str]:
        """An agent for each member, or none if not all of them fit."""
        tried = [room.copy() for room in group]
        agents: list[str] = []
        for index in range(len(waiting.tasks)):
            room = self._choose(waiting, index, tried)
            if room is None:
                return []
            self.take(room, waiting.key, waiting.step)
            agents.append(room.agent)
        return agents

    def _place_step(
        self,
        waiting: backlog_module.WaitingStep,
        candidates: list[rooms_module.Room],
    ) -> list[ttypes.RunGrant]:
        grants = []
        for index in waiting.waiting:
            room = self._choose(waiting, index, candidates)
            if room is None:
                break
            grants.append(self._grant(waiting, index, room))
        return grants

    def _grant(
        self,
        waiting: backlog_module.WaitingStep,
        index: int,
        room: rooms_module.Room,
        *,
        run: int | None = None,
    ) -> ttypes.RunGrant:
        self.take(room, waiting.key, waiting.step)
        return ttypes.RunGrant(
            task=waiting.task_name(index),
            run=run or waiting.tasks[index].last_run + 1,
            agent=room.agent,
            worker_id=room.worker.worker_id,
        )

    def best_for_filling(
        self,
        step: ttypes.Step,
        pool: str,
        rooms: Sequence[rooms_module.Room],
        *,
        limit: float,
    ) -> rooms_module.Room | None:
        """Where a task that fills would do best, if it would do well.

        Args:
            step: The task's step.
            pool: The pool of its queue.
            rooms: Where it may go.
            limit: The share of the strain left there that it may take.
        """
        fitting = [
            room
            for room in rooms
            if room.takes(step, pool)
            and self._may_fill(room, step)
            and self._disturbance(room, step) <= limit
        ]
        return max(
            fitting, key=lambda r: self._preference(step, r), default=None
        )

    def take(
        self,
        room: rooms_module.Room,
        key: task_names.StepKey,
        step: ttypes.Step,
    ) -> None:
        """Counts one more task of a step on a worker."""
        room.take(key, step)
        if step.tail_target_ms:
            room.serving = [*room.serving, self._sharing.granted(step)]
        if step.fills:
            image, share = step.image, _share(room, step)
            room.serving = [
                sharing_module.Serving(
                    s.image,
                    s.strain + self._sharing.added(s.image, image, share),
                    s.strain_now
                    + self._sharing.added_at_most(s.image, image, share),
                )
                for s in room.serving
            ]

    def _choose(
        self,
        waiting: backlog_module.WaitingStep,
        index: int,
        candidates: list[rooms_module.Room],
    ) -> rooms_module.Room | None:
        step = waiting.step
        fitting = [r for r in candidates if _has_room(r, waiting)]
        if step.fills:
            fitting = [room for room in fitting if self._may_fill(room, step)]
        if waiting.tasks[index].failures_count:
            fitting = self._not_avoided(waiting.task_name(index), fitting)
        if not fitting:
            return None
        return max(fitting, key=lambda room: self._preference(step, room))

    def _not_avoided(
        self, task: str, fitting: list[rooms_module.Room]
    ) -> list[rooms_module.Room]:
        """Workers where a task has not failed, or all if there is none."""
        avoided = self._health.avoided(task)
        others = [r for r in fitting if r.worker.worker_id not in avoided]
        return others or fitting

    def _may_fill(self, room: rooms_module.Room, step: ttypes.Step) -> bool:
        """Whether a task that fills gets its speed and disturbs nobody."""
        capacity = room.worker.capacity.cpu_millicores
        lack = step.resources.cpu_millicores - room.unused_millicores
        if lack > _OVERFILL_SHARE * capacity:
            return False
        if not self._bears_start(room, step):
            return False
        return self._disturbance(room, step) <= _DISTURBANCE_LIMIT

    def _bears_start(self, room: rooms_module.Room, step: ttypes.Step) -> bool:
        """Whether those that serve bear one more at its whole speed now."""
        image, share = step.image, _share(room, step)
        return all(
            s.strain_now + self._sharing.added_at_most(s.image, image, share)
            <= _START_LIMIT
            for s in room.serving
        )

    def _disturbance(self, room: rooms_module.Room, step: ttypes.Step) -> float:
        """The share of the strain left there that a task that fills takes."""
        image, share = step.image, _share(room, step)
        return max(
            (
                self._sharing.added(s.image, image, share)
                / max(_LEAST_LEFT, _STRAIN_LIMIT - s.strain)
                for s in room.serving
            ),
            default=0.0,
        )

    def _preference(
        self, step: ttypes.Step, room: rooms_module.Room
    ) -> tuple[float, ...]:
        """How well a worker suits a task; the highest is chosen.

        Tasks that serve users are packed on the largest workers, those of one
        image together, so that as many workers as can be are left to tasks that
        fill and would disturb them: large jobs got 0.75 of their worth instead of
        0.68 with the smallest workers first (ten played days). All others go
        beside those that serve, whom they don't disturb.
        """
        is_near = room.worker.rack == step.preferred_rack
        serves = bool(room.serving)
        if step.tail_target_ms:
            others = [s for s in room.serving if s.image != step.image]
            whole = room.worker.capacity.cpu_millicores
            return is_near, serves, whole, -len(others), -room.cpu_millicores
        if step.fills:
            apart = 0.0 if serves else _APART_COST
            cost = self._disturbance(room, step) + apart
            return is_near, _FULL_COST * room.unused_share - cost
        return is_near, serves, room.unused_share


def _share(room: rooms_module.Room, step: ttypes.Step) -> float:
    """Tenths of a worker that a task asks for."""
    return room.share_of(step.resources.cpu_millicores)


def _is_idle_too_long(
    waiting: backlog_module.WaitingStep,
    rooms: Sequence[rooms_module.Room],
    now_s: float,
) -> bool:
    """Whether a job that fills has had nothing running for too long."""
    idle_s = now_s - waiting.idle_since_s
    if not waiting.step.fills or idle_s <= _IDLE_LIMIT_S:
        return False
    if idle_s > _FULL_POOL_IDLE_LIMIT_S:
        return True
    own = [room for room in rooms if room.worker.pool == waiting.queue.pool]
    whole = sum(room.worker.capacity.cpu_millicores for room in own)
    left = sum(room.cpu_millicores for room in own)
    return whole - left <= _FULL_POOL_SHARE * whole


def _has_room(
    room: rooms_module.Room, waiting: backlog_module.WaitingStep
) -> bool:
    """Whether a task fits, as many of its step as may be there counted."""
    limit = waiting.step.spread_limit
    if limit and room.by_step.get(waiting.key, 0) >= limit:
        return False
    return room.fits(waiting.step)
