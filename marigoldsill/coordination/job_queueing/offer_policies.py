"""The interface of policies that decide which waiting steps a round offers."""

import abc
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import urgency as urgency_module
from marigoldsill.coordination.job_queueing import usage as usage_module
from marigoldsill.protocol.generated import ttypes


@dataclasses.dataclass(slots=True, frozen=True)
class RoundContext:
    """What a policy may look at in one round; must not be changed.

    Attributes:
        usage: The resources that runs of each queue and job reserve.
        capacity_of: Returns the capacity of a pool's eligible workers.
        urgency: The learnt run times, from which ends can be predicted.
        now_s: The time of the round.
        now_unix_ms: The same as wall-clock time.
    """

    usage: usage_module.Usage
    capacity_of: Callable[[str], ttypes.Resources]
    urgency: urgency_module.Urgency
    now_s: float
    now_unix_ms: int


class OfferPolicy(abc.ABC):
    """Reorders the waiting steps of a round, or holds some of them back.

    A policy is created for each term of a leader and used by one thread. It must offer
    long-running steps and steps of jobs that it does not know in their given order,
    and must not hold a step back forever.
    """

    @abc.abstractmethod
    def offer(
        self,
        waiting: Sequence[backlog_module.WaitingStep],
        context: RoundContext,
    ) -> list[backlog_module.WaitingStep]:
        """Returns the steps to place, the first one first.

        Args:
            waiting: The steps that the backlog or the previous policy offers.
            context: The state of the round.
        """
