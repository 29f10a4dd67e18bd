"""Draws series of faults: one kind of fault that is repeated after short intervals.

Several series come at a time, so that different faults meet on the same machines.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import itertools
import random

from soak import fault_plans
from soak import faults
from soak import machines as machines_module

# Time from the end of one group of series to the start of the next one.
_PAUSES_S = (0.5, 3.0)
_DURATIONS_S = (3.0, 8.0)
_INTERVALS_S = (0.3, 1.5)
# A fault that lasts ends before its repetition.
_ACTIVE_SHARES = (0.4, 1.0)
# A repeated crash of every worker would leave no task that lasts.
_CRASH_INTERVALS_S = (0.6, 1.5)
_RESTART_S = (0.1, 0.5)
# The share of groups that have a series of a kind.
_CALL_SERIES_SHARE = 0.7
_SIDE_SERIES_SHARE = 0.3
_EDGE_SERIES_SHARE = 0.3
# Orders that are carried out late are mostly starts, which may begin a second run.
_DELAYED_CALLS = ("run-start", "run-start", "run-start", "run-stop")
_ALL_SIDES_SHARE = 0.5
_CALL_DELAYS_S = (0.3, 2.0)
_REFUSED_SHARES = (0.2, 0.8)
_REFUSED_STATUSES = (429, 503)


@dataclasses.dataclass(slots=True, frozen=True)
class _Repetition:
    """A fault that a series repeats.

    Attributes:
        fault: The fault.
        interval_s: The time from one start to the next.
        duration_s: How long each lasts.
    """

    fault: faults.Fault
    interval_s: float
    duration_s: float


def draw_series(
    seed: int,
    *,
    duration_s: float,
    machines: machines_module.Machines,
    other_faults: Sequence[faults.PlannedFault] = (),
) -> list[faults.PlannedFault]:
    """Draws the series of faults of one soak.

    Args:
        seed: The seed; equal seeds give equal series.
        duration_s: The latest start of a fault.
        machines: The machines that faults affect.
        other_faults: The faults that come beside the series. No fault of a member comes
            close to the loss of a disk among them.
    """
    numbers = random.Random(f"{seed} series")
    disk_losses = [
        item for item in other_faults if isinstance(item.fault, faults.DiskLoss)
    ]
    return [
        item
        for item in _draw_groups(numbers, duration_s, machines)
        if not _affects_members(item.fault, machines)
        or not any(
            fault_plans.is_close(loss, item.at_s, item.duration_s)
            for loss in disk_losses
        )
    ]


def _affects_members(
    fault: faults.Fault, machines: machines_module.Machines
) -> bool:
    match fault:
        case faults.LeaderKill():
            return True
        case faults.ConnectionReset(names=names):
            return not set(names).isdisjoint(machines.members)
        case faults.ProcessPause() | faults.ProcessReload():
            return fault.process in machines.members
        case _:
            return False


def _draw_groups(
    numbers: random.Random,
    duration_s: float,
    machines: machines_module.Machines,
) -> Iterator[faults.PlannedFault]:
    """Draws groups of series that come at the same time."""
    at_s = numbers.uniform(*_PAUSES_S)
    while at_s < duration_s:
        end_s = min(duration_s, at_s + numbers.uniform(*_DURATIONS_S))
        for repetition in _draw_group(numbers, machines):
            yield from _repeat(numbers, repetition, at_s, end_s)
        at_s = end_s + numbers.uniform(*_PAUSES_S)


def _draw_group(
    numbers: random.Random, machines: machines_module.Machines
) -> Iterator[_Repetition]:
    sides = machines.sides
    if numbers.random() >= _ALL_SIDES_SHARE:
        sides = (numbers.choice(sides),)
    for kinds, names, share in (
        (_CALL_KINDS, sides, _CALL_SERIES_SHARE),
        (_SIDE_KINDS, sides, _SIDE_SERIES_SHARE),
        (_EDGE_KINDS, machines.edges, _EDGE_SERIES_SHARE),
    ):
        for draw in kinds:
            if numbers.random() < share:
                yield from draw(numbers, names)


def _repeat(
    numbers: random.Random,
    repetition: _Repetition,
    started_s: float,
    ended_s: float,
) -> Iterator[faults.PlannedFault]:
    first_s = started_s + numbers.uniform(0.0, repetition.interval_s)
    for number in itertools.count():
        at_s = first_s + number * repetition.interval_s
        if at_s >= ended_s:
            return
        yield faults.PlannedFault(at_s, repetition.duration_s, repetition.fault)


def _lasting(
    numbers: random.Random, affected: Sequence[faults.Fault]
) -> Iterator[_Repetition]:
    """Repeats faults that last for a part of the interval."""
    interval_s = numbers.uniform(*_INTERVALS_S)
    active_s = interval_s * numbers.uniform(*_ACTIVE_SHARES)
    for fault in affected:
        yield _Repetition(fault, interval_s, active_s)


def _draw_resets(
    numbers: random.Random, names: Sequence[str]
) -> Iterator[_Repetition]:
    fault = faults.ConnectionReset(tuple(names))
    yield _Repetition(fault, numbers.uniform(*_INTERVALS_S), 0.0)


def _draw_refused_calls(
    numbers: random.Random, sides: Sequence[str]
) -> Iterator[_Repetition]:
    share = numbers.uniform(*_REFUSED_SHARES)
    status = numbers.choice(_REFUSED_STATUSES)
    yield from _lasting(
        numbers, [faults.RefusedCalls(side, share, status) for side in sides]
    )


def _draw_delayed_calls(
    numbers: random.Random, sides: Sequence[str]
) -> Iterator[_Repetition]:
    call = numbers.choice(_DELAYED_CALLS)
    delay_s = numbers.uniform(*_CALL_DELAYS_S)
    yield from _lasting(
        numbers, [faults.DelayedCalls(side, call, delay_s) for side in sides]
    )


def _draw_crashes(
    numbers: random.Random, sides: Sequence[str]
) -> Iterator[_Repetition]:
    fault = faults.WorkerCrash(
        numbers.choice(sides), keeps_id=numbers.random() < 0.5
    )
    yield _Repetition(fault, numbers.uniform(*_CRASH_INTERVALS_S), 0.0)


def _draw_kills(
    numbers: random.Random, sides: Sequence[str]
) -> Iterator[_Repetition]:
    fault = faults.ProcessKill(numbers.choice(sides))
    yield _Repetition(
        fault, numbers.uniform(*_INTERVALS_S), numbers.uniform(*_RESTART_S)
    )


def _draw_leader_kills(
    numbers: random.Random, _: Sequence[str]
) -> Iterator[_Repetition]:
    yield _Repetition(
        faults.LeaderKill(),
        numbers.uniform(*_INTERVALS_S),
        numbers.uniform(*_RESTART_S),
    )


def _draw_pauses(
    numbers: random.Random, names: Sequence[str]
) -> Iterator[_Repetition]:
    fault = faults.ProcessPause(numbers.choice(names))
    yield from _lasting(numbers, [fault])


def _draw_reloads(
    numbers: random.Random, names: Sequence[str]
) -> Iterator[_Repetition]:
    interval_s = numbers.uniform(*_INTERVALS_S)
    for name in names:
        yield _Repetition(faults.ProcessReload(name), interval_s, 0.0)


_Draw = Callable[[random.Random, Sequence[str]], Iterator[_Repetition]]

_CALL_KINDS: tuple[_Draw, ...] = (
    _draw_resets,
    _draw_refused_calls,
    _draw_delayed_calls,
)
_SIDE_KINDS: tuple[_Draw, ...] = (
    _draw_crashes,
    _draw_kills,
    _draw_pauses,
    _draw_reloads,
)
_EDGE_KINDS: tuple[_Draw, ...] = (
    _draw_resets,
    _draw_leader_kills,
    _draw_pauses,
    _draw_reloads,
)
