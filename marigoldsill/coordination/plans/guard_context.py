"""What guard rails know about the plan that they check."""

from collections.abc import Callable
import dataclasses

from marigoldsill.coordination.plans import dry_run as dry_run_module
from marigoldsill.protocol.generated import ttypes


@dataclasses.dataclass(slots=True, frozen=True)
class Observations:
    """Recent observations of the leader that are not part of the tables.

    Attributes:
        now_unix_ms: The time of planning.
        called_services: Services that received requests lately.
        peak_usage_by_owner: The largest usage observed of the tasks of each owner.
        predict_run_time_ms: Predicts how long a job takes, from its name and its
            declared run time.
    """

    now_unix_ms: int = 0
    called_services: set[str] = dataclasses.field(default_factory=set)
    peak_usage_by_owner: dict[str, ttypes.Resources] = dataclasses.field(
        default_factory=dict
    )
    predict_run_time_ms: Callable[[str, int], float] = (
        lambda owner, declared_ms: declared_ms
    )


@dataclasses.dataclass(slots=True, frozen=True)
class GuardContext:
    """The plan that guards check, and what they know about it.

    Attributes:
        changes: The changes that the operator requests.
        effects: The predicted effects of the changes.
        dry_run: The tables before and after the changes.
        observations: Recent observations of the leader.
    """

    changes: list[ttypes.Change]
    effects: list[ttypes.Effect]
    dry_run: dry_run_module.DryRun
    observations: Observations
