"""Draws the faults of a soak and their times from a seed."""

from collections.abc import Iterator
from collections.abc import Sequence
import random

from soak import faults
from soak import machines as machines_module
from soak import proxy

# Time between the starts of two faults, and their duration; some faults overlap.
_INTERVALS_S = (0.2, 1.5)
_DURATIONS_S = (0.2, 4.0)
# Duration of the faults that may outlast a lease, which is 7 s, and their share.
_LONG_DURATIONS_S = (4.0, 12.0)
_LONG_SHARE = 0.15
# A lost disk is a loss of its own: no other fault affects a member for this long
# before and after it.
_DISK_DISTANCE_S = 6.0
# Time until the first disk is lost, and from each one to the next.
_FIRST_DISK_LOSS_S = (2.0, 30.0)
_DISK_LOSS_INTERVALS_S = (20.0, 40.0)
# The share of soaks with a certain series of faults, after which a group was never
# found again and which random draws alone seldom produce.
_SERIES_SHARE = 0.25
_SERIES_DISK_LOSS_S = (2.0, 3.0)
_SERIES_DURATIONS_S = (0.2, 1.0)
_DELAYS_S = (0.005, 0.1)
_MEMBER_SHARE = 0.45
# Seeds without a disk do not remember the group, so half of the lists of seeds name
# only these.
_STATELESS_SEEDS_SHARE = 0.5
# Maximum number of seeds in the settings.
_SEEDS_LIMIT = 3
_BOTH_WAYS_SHARE = 0.5
# Reduced CPU capacities of a worker.
_REDUCED_CAPACITIES_MILLICORES = (1_000, 2_000, 4_000)
# Time from the end of a capacity reduction to the next one.
_REDUCTION_INTERVALS_S = (0.5, 3.0)
# Start requests are left unanswered for this long before an agent is killed, and carried
# out after its restart.
_UNANSWERED_S = (0.5, 1.5)
_CALL_DELAYS_S = (1.5, 5.0)
_RESTART_S = (0.2, 0.6)


def draw_plan(
    seed: int,
    *,
    duration_s: float,
    edges: Sequence[str],
    sides: Sequence[str],
    stateless_edges: Sequence[str] = (),
) -> list[faults.PlannedFault]:
    """Draws the faults of one soak.

    Args:
        seed: The seed; equal seeds give equal faults.
        duration_s: The latest start of a fault.
        edges: Edges with a disk.
        sides: The workers' machines.
        stateless_edges: Edges without a disk.
    """
    machines = machines_module.Machines(
        tuple(edges), tuple(stateless_edges), tuple(sides)
    )
    # Separate generators keep the other faults of a seed unchanged.
    reductions = list(
        _draw_capacity_reductions(
            random.Random(f"{seed} resizes"), duration_s, sides
        )
    )
    return [
        *_draw_faults(random.Random(seed), duration_s, machines),
        *reductions,
        *_draw_agent_restarts(random.Random(f"{seed} restarts"), reductions),
    ]


def _draw_faults(
    numbers: random.Random,
    duration_s: float,
    machines: machines_module.Machines,
) -> Iterator[faults.PlannedFault]:
    is_series = numbers.random() < _SERIES_SHARE
    draw_disk_plan = _draw_series if is_series else _draw_disk_losses
    disk_plan = list(draw_disk_plan(numbers, duration_s, machines))
    yield from disk_plan
    disk_losses = [
        item for item in disk_plan if isinstance(item.fault, faults.DiskLoss)
    ]
    at_s = numbers.uniform(*_INTERVALS_S)
    while at_s < duration_s:
        fault_duration_s = _draw_duration_s(numbers)
        is_member_fault = numbers.random() < _MEMBER_SHARE
        if is_member_fault and not any(
            is_close(loss, at_s, fault_duration_s) for loss in disk_losses
        ):
            yield faults.PlannedFault(
                at_s, fault_duration_s, _draw_member_fault(numbers, machines)
            )
        else:
            yield faults.PlannedFault(
                at_s, fault_duration_s, _draw_other_fault(numbers, machines)
            )
        at_s += numbers.uniform(*_INTERVALS_S)


def _draw_capacity_reductions(
    numbers: random.Random, duration_s: float, sides: Sequence[str]
) -> Iterator[faults.PlannedFault]:
    """Draws reductions of the capacity of one worker at a time."""
    at_s = numbers.uniform(*_REDUCTION_INTERVALS_S)
    while at_s < duration_s:
        fault_duration_s = numbers.uniform(*_LONG_DURATIONS_S)
        fault = faults.CapacityReduction(
            numbers.choice(sides),
            numbers.choice(_REDUCED_CAPACITIES_MILLICORES),
        )
        yield faults.PlannedFault(at_s, fault_duration_s, fault)
        at_s += fault_duration_s + numbers.uniform(*_REDUCTION_INTERVALS_S)


def _draw_agent_restarts(
    numbers: random.Random, reductions: Sequence[faults.PlannedFault]
) -> Iterator[faults.PlannedFault]:
    """Draws agents that are killed with unanswered starts as capacity is reduced.

    An agent that refuses a run after its restart must prevent the earlier start.
    """
    for reduction in reductions:
        worker = reduction.fault.worker
        unanswered_s = numbers.uniform(*_UNANSWERED_S)
        yield faults.PlannedFault(
            max(0.0, reduction.at_s - unanswered_s),
            unanswered_s,
            faults.DelayedCalls(
                worker, "run-start", numbers.uniform(*_CALL_DELAYS_S)
            ),
        )
        yield faults.PlannedFault(
            reduction.at_s,
            numbers.uniform(*_RESTART_S),
            faults.ProcessKill(worker),
        )


def _draw_series(
    numbers: random.Random,
    duration_s: float,
    machines: machines_module.Machines,
) -> Iterator[faults.PlannedFault]:
    """Draws a lost disk, a change of the seeds and then a loss of power."""
    disk_s = numbers.uniform(*_SERIES_DISK_LOSS_S)
    fault_duration_s = numbers.uniform(*_SERIES_DURATIONS_S)
    power_s = disk_s + fault_duration_s + _DISK_DISTANCE_S
    loss = faults.DiskLoss(numbers.choice(machines.members))
    seeds = faults.SeedsChange(_draw_seeds(numbers, machines))
    if power_s < duration_s:
        yield faults.PlannedFault(disk_s, fault_duration_s, loss)
        yield faults.PlannedFault(numbers.uniform(disk_s, power_s), 0.0, seeds)
        yield faults.PlannedFault(
            power_s, _draw_duration_s(numbers), faults.PowerLoss(machines.all)
        )


def _draw_disk_losses(
    numbers: random.Random,
    duration_s: float,
    machines: machines_module.Machines,
) -> Iterator[faults.PlannedFault]:
    at_s = numbers.uniform(*_FIRST_DISK_LOSS_S)
    while at_s < duration_s:
        fault_duration_s = _draw_duration_s(numbers)
        loss = faults.DiskLoss(numbers.choice(machines.members))
        yield faults.PlannedFault(at_s, fault_duration_s, loss)
        at_s += numbers.uniform(*_DISK_LOSS_INTERVALS_S)


def _draw_duration_s(numbers: random.Random) -> float:
    is_long = numbers.random() < _LONG_SHARE
    return numbers.uniform(*(_LONG_DURATIONS_S if is_long else _DURATIONS_S))


def is_close(
    disk: faults.PlannedFault, at_s: float, fault_duration_s: float
) -> bool:
    """Whether a fault of a member would be too close to a lost disk."""
    return (
        at_s + fault_duration_s > disk.at_s - _DISK_DISTANCE_S
        and at_s < disk.at_s + disk.duration_s + _DISK_DISTANCE_S
    )


def _draw_member_fault(
    numbers: random.Random, machines: machines_module.Machines
) -> faults.Fault:
    match numbers.randrange(12):
        case 0:
            return faults.PowerLoss(machines.all)
        case 1:
            return faults.GroupTermination(machines.members)
        case 2 | 3:
            return _draw_link_fault(numbers, machines.members, machines.members)
        case 4 | 5:
            return _draw_partition(numbers, machines.all)
        case _:
            return _draw_process_fault(numbers, machines.members)


def _draw_process_fault(
    numbers: random.Random, names: Sequence[str]
) -> faults.Fault:
    kind = numbers.choice(
        (
            faults.ProcessKill,
            faults.ProcessTermination,
            faults.ProcessPause,
            faults.ProcessReload,
        )
    )
    return kind(numbers.choice(names))


def _draw_other_fault(
    numbers: random.Random, machines: machines_module.Machines
) -> faults.Fault:
    side = numbers.choice(machines.sides)
    match numbers.randrange(9):
        case 0:
            others = (*machines.stateless_edges, *machines.sides)
            return _draw_process_fault(numbers, others)
        case 1:
            return faults.WorkerCrash(side, keeps_id=numbers.random() < 0.5)
        case 2:
            return faults.DelayedCalls(
                side, numbers.choice(("run-start", "run-stop"))
            )
        case 3:
            return faults.SeedsChange(_draw_seeds(numbers, machines))
        case 4:
            return faults.LinkFault(
                numbers.choice(machines.edges), _draw_mode(numbers)
            )
        case 5:
            return faults.LinkFault(side, _draw_mode(numbers))
        case 6:
            return faults.ForeignHeartbeats(side, numbers.randrange(1 << 32))
        case _:
            others = (*machines.stateless_edges, *machines.sides)
            return _draw_link_fault(numbers, others, machines.edges)


def _draw_link_fault(
    numbers: random.Random, callers: Sequence[str], targets: Sequence[str]
) -> faults.ControlLinkFault:
    """Disturbs the connections from one caller to one target or to all targets."""
    caller = numbers.choice(callers)
    others = [name for name in targets if name != caller]
    drawn_targets = numbers.sample(others, numbers.choice((1, len(others))))
    is_both = numbers.random() < _BOTH_WAYS_SHARE
    return faults.ControlLinkFault(
        (caller,), tuple(drawn_targets), is_both, _draw_mode(numbers)
    )


def _draw_partition(
    numbers: random.Random, names: Sequence[str]
) -> faults.ControlLinkFault:
    """Partitions the machines into two parts."""
    shuffled = numbers.sample(names, len(names))
    count = numbers.randrange(1, len(shuffled))
    one, other = tuple(shuffled[:count]), tuple(shuffled[count:])
    is_both = numbers.random() < _BOTH_WAYS_SHARE
    mode = numbers.choice((proxy.Blackhole(), proxy.ResetAll()))
    return faults.ControlLinkFault(one, other, is_both, mode)


def _draw_seeds(
    numbers: random.Random, machines: machines_module.Machines
) -> tuple[str, ...]:
    """Draws seeds from all edges, or only from those without a disk."""
    is_stateless = numbers.random() < _STATELESS_SEEDS_SHARE
    names = machines.stateless_edges if is_stateless else ()
    names = names or machines.edges
    return tuple(numbers.sample(names, min(_SEEDS_LIMIT, len(names))))


def _draw_mode(numbers: random.Random) -> proxy.Mode:
    return numbers.choice(
        (
            proxy.Delay(numbers.uniform(*_DELAYS_S)),
            proxy.OneWay(to_target=True),
            proxy.OneWay(to_target=False),
            proxy.Blackhole(),
            proxy.ResetOpen(),
            proxy.ResetAll(),
        )
    )
