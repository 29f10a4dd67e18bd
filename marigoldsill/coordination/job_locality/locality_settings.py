"""The settings of where tasks go; the defaults leave every decision as it was."""

import dataclasses
import math

from marigoldsill import errors


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class LocalitySettings:
    """What a deployment switches on.

    Attributes:
        remote_run_ratio: Run time of a task outside of its preferred rack, divided by
            its run time there. At 1.0 no task waits for its rack.
        spreads_racks: Whether wide steps are spread over racks, and ties between
            workers go to the least loaded data centre.
        worker_ramp_up_s: How long a worker that appears is filled step by step; 0
            to fill it at once, whether it is cold or not.
    """

    remote_run_ratio: float = 1.0
    spreads_racks: bool = False
    worker_ramp_up_s: float = 0.0

    def __post_init__(self):
        """Checks the settings.

        Raises:
            SettingsError: A number is out of range.
        """
        if not 1.0 <= self.remote_run_ratio < math.inf:
            raise errors.SettingsError(
                f"remote run ratio is {self.remote_run_ratio!r}; accepted is a "
                "number of 1.0 or more"
            )
        if not 0.0 <= self.worker_ramp_up_s < math.inf:
            raise errors.SettingsError(
                f"worker ramp-up is {self.worker_ramp_up_s!r} s; accepted is a "
                "number of 0 or more"
            )

    @property
    def awaits_racks(self) -> bool:
        """Whether tasks may wait for a worker in their preferred rack."""
        return self.remote_run_ratio > 1.0

    @property
    def ramps_workers(self) -> bool:
        """Whether workers that appear are filled step by step."""
        return self.worker_ramp_up_s > 0.0
