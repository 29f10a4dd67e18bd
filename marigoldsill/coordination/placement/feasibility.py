"""Whether a task could run on any known worker, and the reason if not."""

from marigoldsill.coordination.placement import task_view as task_view_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import amounts


def infeasibility_reason(
    task_view: task_view_module.TaskView,
    declared: ttypes.Resources,
    capacities: list[ttypes.Resources],
    team: ttypes.Team | None,
) -> str:
    """Why a task can never run, or an empty string if it can.

    An estimate alone never makes a task infeasible: it is feasible if either the
    declared size or the estimate fits. While no worker is known, no task is
    reported as larger than the workers.

    Args:
        task_view: The task.
        declared: The resources that the operator declared.
        capacities: The distinct capacities of all known workers.
        team: The task's team, if it is known.
    """
    if capacities and not any(
        task_view_module.fits_any(size, capacities)
        for size in (declared, task_view.demand)
    ):
        return (
            f"asks for {amounts.describe(declared)}, more than any known "
            "worker has; declare less, or add a worker that holds it"
        )
    if team is not None and not amounts.within_quota(declared, team.quota):
        return (
            f"asks for {amounts.describe(declared)}, more than the whole "
            f"quota of team {team.name!r} ({amounts.describe(team.quota)})"
        )
    return ""


def choose_reservation(
    task_view: task_view_module.TaskView,
    declared: ttypes.Resources,
    capacities: list[ttypes.Resources],
) -> ttypes.Resources:
    """The resources to reserve: the estimate if it fits, else the declared."""
    if task_view_module.fits_any(task_view.demand, capacities):
        return task_view.demand
    return declared
