"""The policies of one term, applied in order, with the usage that they look at."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import urgency as urgency_module
from marigoldsill.coordination.job_queueing import offer_policies
from marigoldsill.coordination.job_queueing import usage as usage_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables


class PolicyChain:
    """Applies policies one after the other; costs nothing if there are none.

    Attributes:
        policies: The policies in order.
    """

    def __init__(self, policies: Sequence[offer_policies.OfferPolicy] = ()):
        self.policies = tuple(policies)
        self._usage = usage_module.Usage()

    def refresh(
        self, jobs: job_tables.JobTables, job_ids: Iterable[str]
    ) -> None:
        """Updates the usage of some jobs; called with the replica's lock held."""
        if self.policies:
            self._usage.refresh(jobs, job_ids)

    def offer(
        self,
        waiting: list[backlog_module.WaitingStep],
        *,
        capacity_of: Callable[[str], ttypes.Resources],
        urgency: urgency_module.Urgency,
        now_s: float,
        now_unix_ms: int,
    ) -> list[backlog_module.WaitingStep]:
        """Returns the steps to place now; the arguments are those of `RoundContext`."""
        if not self.policies:
            return waiting
        context = offer_policies.RoundContext(
            usage=self._usage,
            capacity_of=capacity_of,
            urgency=urgency,
            now_s=now_s,
            now_unix_ms=now_unix_ms,
        )
        for policy in self.policies:
            waiting = policy.offer(waiting, context)
        return waiting
