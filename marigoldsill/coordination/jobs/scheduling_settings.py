"""Settings of the optional parts of the leader's decisions about jobs."""

import dataclasses

from marigoldsill.coordination.job_admission import admission_settings
from marigoldsill.coordination.job_locality import locality_settings
from marigoldsill.coordination.job_queueing import concurrency_limits
from marigoldsill.coordination.job_queueing import job_concurrency
from marigoldsill.coordination.job_queueing import offer_policies
from marigoldsill.coordination.job_queueing import share_order
from marigoldsill.coordination.job_queueing import shares as shares_module


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class SchedulingSettings:
    """What a deployment switches on; the defaults decide as without these parts.

    Attributes:
        admission: What bounds the jobs that wait. With the default only jobs that
            surely would be of no use are rejected.
        shares: The guaranteed shares of queues; None for none.
        job_concurrency: The limit on best-effort jobs under way in a pool; None
            without a limit.
        locality: Where tasks go.
    """

    admission: admission_settings.AdmissionSettings = dataclasses.field(
        default_factory=admission_settings.AdmissionSettings
    )
    shares: shares_module.ShareSettings | None = None
    job_concurrency: concurrency_limits.ConcurrencyLimit | None = None
    locality: locality_settings.LocalitySettings = (
        locality_settings.LocalitySettings()
    )

    def create_offer_policies(self) -> list[offer_policies.OfferPolicy]:
        """Creates the policies of one term, in the order in which they apply."""
        policies: list[offer_policies.OfferPolicy] = []
        if self.shares is not None:
            policies.append(share_order.ShareOrder(self.shares))
        if self.job_concurrency is not None:
            policies.append(
                job_concurrency.JobConcurrency(self.job_concurrency)
            )
        return policies
