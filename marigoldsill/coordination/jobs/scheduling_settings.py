"""Settings of the optional parts of the leader's decisions about jobs."""

from collections.abc import Callable
import dataclasses

from marigoldsill.coordination.job_admission import admission_settings
from marigoldsill.coordination.job_queueing import offer_policies


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class SchedulingSettings:
    """What a deployment switches on; the defaults decide as without these parts.

    Attributes:
        admission: What bounds the jobs that wait. With the default only jobs that
            surely would be of no use are rejected.
    """

    admission: admission_settings.AdmissionSettings = dataclasses.field(
        default_factory=admission_settings.AdmissionSettings
    )

    def create_offer_policies(self) -> list[offer_policies.OfferPolicy]:
        """Creates the policies of one term, in the order in which they apply."""
        factories: list[Callable[[], offer_policies.OfferPolicy]] = []
        return [create() for create in factories]
