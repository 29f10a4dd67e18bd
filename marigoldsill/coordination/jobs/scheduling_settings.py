"""Settings of the optional parts of the leader's decisions about jobs."""

from collections.abc import Callable
import dataclasses
import functools

from marigoldsill.coordination.job_queueing import concurrency_limits
from marigoldsill.coordination.job_queueing import job_concurrency
from marigoldsill.coordination.job_queueing import offer_policies


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class SchedulingSettings:
    """What a deployment switches on; the defaults decide as without these parts.

    Attributes:
        job_concurrency: The limit on best-effort jobs under way in a pool; None
            without a limit.
    """

    job_concurrency: concurrency_limits.ConcurrencyLimit | None = None

    def create_offer_policies(self) -> list[offer_policies.OfferPolicy]:
        """Creates the policies of one term, in the order in which they apply."""
        factories: list[Callable[[], offer_policies.OfferPolicy]] = []
        if self.job_concurrency is not None:
            factories.append(
                functools.partial(
                    job_concurrency.JobConcurrency, self.job_concurrency
                )
            )
        return [create() for create in factories]
