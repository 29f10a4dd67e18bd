"""Settings of the optional parts of the leader's decisions about jobs."""

from collections.abc import Callable
import dataclasses

from marigoldsill.coordination.job_locality import locality_settings
from marigoldsill.coordination.job_queueing import offer_policies


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class SchedulingSettings:
    """What a deployment switches on; the defaults decide as without these parts.

    Attributes:
        locality: Where tasks go.
    """

    locality: locality_settings.LocalitySettings = (
        locality_settings.LocalitySettings()
    )

    def create_offer_policies(self) -> list[offer_policies.OfferPolicy]:
        """Creates the policies of one term, in the order in which they apply."""
        factories: list[Callable[[], offer_policies.OfferPolicy]] = []
        return [create() for create in factories]
