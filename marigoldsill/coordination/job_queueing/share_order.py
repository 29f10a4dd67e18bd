"""Orders waiting steps by guaranteed shares.

Answers a queue whose callers submit more than the capacity: without shares its steps
take everything that their priority and urgency allow, and the callers of other queues
wait behind them.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import itertools
import math

from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_queueing import guaranteed_offers
from marigoldsill.coordination.job_queueing import offer_policies
from marigoldsill.coordination.job_queueing import reclaim_fleet
from marigoldsill.coordination.job_queueing import shares as shares_module
from marigoldsill.protocol import task_names
from marigoldsill.state import amounts

# A step whose job has been without a run for about the run time of large jobs goes
# before those that only borrow.
_AGED_S = 20.0


class ShareOrder(offer_policies.OfferPolicy):
    """Offers steps of shares below their guarantee first, then all others.

    Among the shares below their guarantee, the one that has least of it comes first.
    A step counts as if it was granted, in parts, so a wide step takes no more than
    the guarantee before others. Within a share the given order holds. What the shares
    leave idle may be borrowed by every queue, in the given order; ahead of that come
    the steps that have waited longest in each queue, once they have waited too long.

    Attributes:
        statuses: The shares in each pool, as of the last round.
        due_steps: The steps of the last round for which runs of other shares may be
            evicted, in the order in which they were offered.
    """

    def __init__(self, settings: shares_module.ShareSettings):
        """Creates the policy of one term.

        Args:
            settings: The guaranteed shares.
        """
        self._settings = settings
        self.statuses: dict[
            shares_module.ShareKey, shares_module.ShareStatus
        ] = {}
        self.due_steps: list[reclaim_fleet.DueStep] = []
        self._waiting_since_s: dict[task_names.StepKey, float] = {}
        self._progress = guaranteed_offers.Progress()

    def offer(
        self,
        waiting: Sequence[backlog_module.WaitingStep],
        context: offer_policies.RoundContext,
    ) -> list[backlog_module.WaitingStep]:
        """Returns all waiting steps in another order, wide ones in parts."""
        by_share: dict[
            shares_module.ShareKey, list[backlog_module.WaitingStep]
        ] = {}
        # Steps of a queue share one record of it.
        keys: dict[int, shares_module.ShareKey] = {}
        for step in waiting:
            key = keys.get(id(step.queue))
            if key is None:
                key = self._settings.key_of(step.queue)
                keys[id(step.queue)] = key
            by_share.setdefault(key, []).append(step)
        self._update_statuses(by_share, context)
        below = {
            key: steps
            for key, steps in by_share.items()
            if not self.statuses[key].is_covered
        }
        self._progress.observe(by_share)
        guaranteed = guaranteed_offers.choose(
            below, self.statuses, self._progress
        )
        self._update_due_steps(below, guaranteed, context.now_s)
        rest = guaranteed.remaining(waiting)
        aged = _choose_aged(rest, context.now_s)
        aged_keys = {step.key for step in aged}
        others = (step for step in rest if step.key not in aged_keys)
        return [*guaranteed.parts, *aged, *others]

    def _update_statuses(
        self,
        by_share: Iterable[shares_module.ShareKey],
        context: offer_policies.RoundContext,
    ) -> None:
        allocated = self._settings.sum_usage(context.usage)
        self.statuses = {
            key: shares_module.ShareStatus(
                guaranteed_ratio=self._settings.ratio_of(key),
                allocated=allocated.get(key, amounts.ZERO),
                capacity=context.capacity_of(key.pool),
            )
            for key in {*allocated, *by_share}
        }

    def _update_due_steps(
        self,
        below: dict[shares_module.ShareKey, list[backlog_module.WaitingStep]],
        guaranteed: guaranteed_offers.GuaranteedOffers,
        now_s: float,
    ) -> None:
        before = self._waiting_since_s
        self._waiting_since_s = {
            step.key: before.get(step.key, now_s)
            for step in itertools.chain.from_iterable(below.values())
        }
        self.due_steps = [
            reclaim_fleet.DueStep(
                step, self._settings.key_of(step.queue), waited_s
            )
            for step in guaranteed.steps
            if (waited_s := now_s - self._waiting_since_s[step.key])
            >= self._settings.reclaim_s
        ]


def _choose_aged(
    steps: Iterable[backlog_module.WaitingStep], now_s: float
) -> list[backlog_module.WaitingStep]:
    """Returns the step of each queue that has waited longest, if for too long."""
    oldest: dict[tuple[str, str], backlog_module.WaitingStep] = {}
    for step in steps:
        if now_s - step.idle_since_s < _AGED_S:
            continue
        queue = (step.queue.pool, step.queue.name)
        first = oldest.get(queue)
        since_s = math.inf if first is None else first.idle_since_s
        if step.idle_since_s < since_s:
            oldest[queue] = step
    return sorted(oldest.values(), key=lambda step: step.idle_since_s)
