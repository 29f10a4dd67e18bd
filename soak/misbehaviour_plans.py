"""Draws the faults beside which clients, workers and other writers misbehave."""

from collections.abc import Iterator
import random

from soak import faults
from soak import machines as machines_module

# Edges without a disk are paused in turn, so that submissions wait there while their
# clients cancel elsewhere.
_PAUSES_S = (0.5, 3.5)
_PAUSE_INTERVALS_S = (0.3, 1.0)


def draw(
    seed: int, *, duration_s: float, machines: machines_module.Machines
) -> list[faults.PlannedFault]:
    """Draws the faults of one soak.

    Args:
        seed: The seed; equal seeds give equal faults.
        duration_s: The latest start of a fault.
        machines: The machines.
    """
    pause_numbers = random.Random(f"{seed} pauses")
    return [*_draw_pauses(pause_numbers, duration_s, machines)]


def _draw_pauses(
    numbers: random.Random,
    duration_s: float,
    machines: machines_module.Machines,
) -> Iterator[faults.PlannedFault]:
    at_s = numbers.uniform(*_PAUSE_INTERVALS_S)
    while at_s < duration_s and machines.stateless_edges:
        pause_s = numbers.uniform(*_PAUSES_S)
        edge = numbers.choice(machines.stateless_edges)
        yield faults.PlannedFault(at_s, pause_s, faults.ProcessPause(edge))
        at_s += pause_s + numbers.uniform(*_PAUSE_INTERVALS_S)
