"""Settings of the optional parts of the leader's decisions about jobs."""

from collections.abc import Callable
import dataclasses
import functools

from marigoldsill.coordination.job_admission import admission_settings
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
    """

    admission: admission_settings.AdmissionSettings = dataclasses.field(
        default_factory=admission_settings.AdmissionSettings
    )
    shares: shares_module.ShareSettings | None = None

    def create_offer_policies(self) -> list[offer_policies.OfferPolicy]:
        """Creates the policies of one term, in the order in which they apply."""
        factories: list[Callable[[], offer_policies.OfferPolicy]] = []
        if self.shares is not None:
            factories.append(
                functools.partial(share_order.ShareOrder, self.shares)
            )
        return [create() for create in factories]
