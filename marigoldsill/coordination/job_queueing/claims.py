"""Capacity that is being reclaimed for waiting steps of shares.

A claim begins when runs are evicted for a task and ends when the task is granted. Until
then no other share may start tasks on that worker; without this, an evicted run could be
granted again into the capacity that it gave back.
"""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses

from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_queueing import shares as shares_module
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes

# A worker ends an evicted run within about a second; a claim that takes longer failed.
_CLAIM_LIMIT_S = 5.0
# A worker on which a claim failed is not chosen again for this long.
_AVOID_S = 30.0
# A share whose claims fail pauses for this long, and twice as long each time.
_MIN_PAUSE_S = 1.0
_MAX_PAUSE_S = 60.0


@dataclasses.dataclass(slots=True, frozen=True, eq=False)
class Claim:
    """Capacity of a worker that is reclaimed for one task; equal only to itself.

    Attributes:
        key: The share that reclaims it.
        step_key: The step of the task.
        step: The requirements of the task.
        agent: The agent of the worker.
    """

    key: shares_module.ShareKey
    step_key: task_names.StepKey
    step: ttypes.Step
    agent: str


@dataclasses.dataclass(slots=True, frozen=True)
class EndedReclaim:
    """A share whose last claim has ended.

    Attributes:
        key: The share.
        took_s: Since when it had claims.
        granted_count: How many claimed tasks were granted.
        failed_count: How many were not granted in time.
    """

    key: shares_module.ShareKey
    took_s: float
    granted_count: int
    failed_count: int


@dataclasses.dataclass(slots=True)
class _Reclaim:
    """The claims of a share since it last had none."""

    since_s: float
    granted_count: int = 0
    failed_count: int = 0


@dataclasses.dataclass(slots=True)
class _Pause:
    """When a share may claim again after its claims failed."""

    until_s: float
    pause_s: float


class Claims:
    """The claims of one term; used with the replica's lock held, or by its thread."""

    def __init__(self, settings: shares_module.ShareSettings):
        """Creates the claims of one term.

        Args:
            settings: The guaranteed shares.
        """
        self._settings = settings
        self._until_s: dict[Claim, float] = {}
        self._by_agent: dict[str, list[Claim]] = {}
        self._reclaims: dict[shares_module.ShareKey, _Reclaim] = {}
        self._avoided_until_s: dict[str, float] = {}
        self._pauses: dict[shares_module.ShareKey, _Pause] = {}

    def admits(self, agent: str, waiting: backlog_module.WaitingStep) -> bool:
        """Returns whether a step may start on a worker in spite of claims.

        Long-running tasks may, as time in which they do not run is lost.
        """
        claims = self._by_agent.get(agent)
        if not claims or waiting.step.long_running:
            return True
        key = self._settings.key_of(waiting.queue)
        return any(claim.key == key for claim in claims)

    def on_agent(self, agent: str) -> list[Claim]:
        """Returns the claims on one worker."""
        return self._by_agent.get(agent, [])

    def of_share(self, key: shares_module.ShareKey) -> list[Claim]:
        """Returns the claims of a share."""
        return [claim for claim in self._until_s if claim.key == key]

    def may_begin(self, key: shares_module.ShareKey, *, now_s: float) -> bool:
        """Returns whether a share may claim, as it does not pause."""
        pause = self._pauses.get(key)
        return pause is None or now_s >= pause.until_s

    def avoids(self, agent: str, *, now_s: float) -> bool:
        """Returns whether a claim has failed on a worker recently."""
        return now_s < self._avoided_until_s.get(agent, 0.0)

    def begin(self, claims: Iterable[Claim], *, now_s: float) -> None:
        """Begins claims; the runs to be evicted for them are evicted now."""
        for claim in claims:
            self._reclaims.setdefault(claim.key, _Reclaim(now_s))
            self._until_s[claim] = now_s + _CLAIM_LIMIT_S
            self._by_agent.setdefault(claim.agent, []).append(claim)

    def update(
        self,
        *,
        granted: Iterable[tuple[task_names.StepKey, str]],
        waiting: Iterable[task_names.StepKey],
        agents: Collection[str],
        now_s: float,
    ) -> list[EndedReclaim]:
        """Ends claims that are granted, failed, or no longer needed.

        Args:
            granted: The step and the agent of each task granted in this round.
            waiting: All steps that wait.
            agents: The agents on whose workers tasks may start.
            now_s: The time of the round.

        Returns:
            The shares that have no claims any more.
        """
        if not self._by_agent:
            return []
        waiting = set(waiting)
        for step_key, agent in granted:
            self._end_granted(step_key, agent)
        for claim in [*self._until_s]:
            if claim.step_key not in waiting or claim.agent not in agents:
                self._end(claim)
            elif self._until_s[claim] <= now_s:
                self._end_failed(claim, now_s)
        active = {claim.key for claim in self._until_s}
        ended = [key for key in self._reclaims if key not in active]
        return [
            self._describe(key, self._reclaims.pop(key), now_s) for key in ended
        ]

    def _end_granted(self, step_key: task_names.StepKey, agent: str) -> None:
        """Ends the claim of a granted task, if possible on its own worker."""
        claims = [c for c in self._until_s if c.step_key == step_key]
        if not claims:
            return
        claim = next((c for c in claims if c.agent == agent), claims[0])
        self._reclaims[claim.key].granted_count += 1
        self._pauses.pop(claim.key, None)
        self._end(claim)

    def _end_failed(self, claim: Claim, now_s: float) -> None:
        self._avoided_until_s = {
            agent: until_s
            for agent, until_s in self._avoided_until_s.items()
            if until_s > now_s
        }
        self._avoided_until_s[claim.agent] = now_s + _AVOID_S
        before = self._pauses.get(claim.key)
        if before is None or before.until_s <= now_s:
            pause_s = _MIN_PAUSE_S if before is None else 2 * before.pause_s
            pause_s = min(pause_s, _MAX_PAUSE_S)
            self._pauses[claim.key] = _Pause(now_s + pause_s, pause_s)
        self._reclaims[claim.key].failed_count += 1
        self._end(claim)

    def _end(self, claim: Claim) -> None:
        del self._until_s[claim]
        self._by_agent[claim.agent].remove(claim)
        if not self._by_agent[claim.agent]:
            del self._by_agent[claim.agent]

    def _describe(
        self, key: shares_module.ShareKey, reclaim: _Reclaim, now_s: float
    ) -> EndedReclaim:
        return EndedReclaim(
            key,
            now_s - reclaim.since_s,
            reclaim.granted_count,
            reclaim.failed_count,
        )
