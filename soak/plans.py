"""The faults of a whole soak, and the arguments that run it again."""

from soak import fault_losses
from soak import fault_plans
from soak import fault_series
from soak import faults
from soak import machines as machines_module
from soak import misbehaviour_plans
from tests.platform import system as system_module


def draw_plan(
    seed: int,
    duration_s: float,
    system: system_module.System,
    *,
    has_series: bool,
    has_losses: bool,
    has_misbehaviour: bool,
) -> list[faults.PlannedFault]:
    """Draws the faults of one soak.

    Args:
        seed: The seed; equal seeds give equal faults.
        duration_s: The latest start of a fault.
        system: The system whose machines are affected.
        has_series: Whether series of faults come beside the others.
        has_losses: Whether workers are lost in series.
        has_misbehaviour: Whether there are also faults beside which others misbehave.
    """
    members = system.member_names()
    machines = machines_module.Machines(
        members=tuple(members),
        stateless_edges=tuple(
            name for name in system.running_edges() if name not in members
        ),
        sides=tuple(system.workers),
    )
    plan = fault_plans.draw_plan(
        seed,
        duration_s=duration_s,
        edges=machines.members,
        sides=machines.sides,
        stateless_edges=machines.stateless_edges,
    )
    series = (
        fault_series.draw_series(
            seed, duration_s=duration_s, machines=machines, other_faults=plan
        )
        if has_series
        else ()
    )
    losses = (
        fault_losses.draw_losses(seed, duration_s=duration_s, machines=machines)
        if has_losses
        else ()
    )
    misbehaviour = (
        misbehaviour_plans.draw(seed, duration_s=duration_s, machines=machines)
        if has_misbehaviour
        else ()
    )
    return [*plan, *series, *losses, *misbehaviour]


def replay_arguments(
    seed: int,
    duration_s: float,
    workers_count: int,
    edges_count: int,
    *,
    has_series: bool,
    has_losses: bool,
    has_misbehaviour: bool,
) -> str:
    """Returns the arguments that run a soak again."""
    return (
        f"--seeds 1 --first {seed} --seconds {duration_s:g} "
        f"--workers {workers_count} --edges {edges_count}"
        f"{' --series' if has_series else ''}"
        f"{' --losses' if has_losses else ''}"
        f"{' --misbehaviour' if has_misbehaviour else ''}"
    )
