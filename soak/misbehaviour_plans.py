"""Draws the faults beside which clients, workers and other writers misbehave."""

from collections.abc import Iterator
import itertools
import random

from soak import faults
from soak import machines as machines_module

# Edges without a disk are paused in turn, so that submissions wait there while their
# clients cancel elsewhere.
_PAUSES_S = (0.5, 3.5)
_PAUSE_INTERVALS_S = (0.3, 1.0)
# At most this share of the workers is bad from time to time.
_BAD_WORKERS_SHARE = 0.5
_BAD_SPELLS_S = (2.0, 6.0)
_GOOD_SPELLS_S = (1.0, 4.0)
# The share of spells in which a worker is bad at each start, and how often else.
_ALWAYS_SHARE = 0.5
_BAD_SHARES = (0.3, 0.8)
# How long another writer uses a worker's id, and the time until the next one does.
_MISUSES_S = (1.0, 5.0)
_MISUSE_PAUSES_S = (0.5, 2.0)


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
    worker_numbers = random.Random(f"{seed} bad workers")
    id_numbers = random.Random(f"{seed} misused ids")
    limit = max(1, int(_BAD_WORKERS_SHARE * len(machines.sides)))
    workers = worker_numbers.sample(
        machines.sides, worker_numbers.randint(1, limit)
    )
    return [
        *_draw_pauses(pause_numbers, duration_s, machines),
        *itertools.chain.from_iterable(
            _draw_bad_spells(worker_numbers, duration_s, worker)
            for worker in workers
        ),
        *_draw_misused_ids(id_numbers, duration_s, machines),
    ]


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


def _draw_bad_spells(
    numbers: random.Random, duration_s: float, worker: str
) -> Iterator[faults.PlannedFault]:
    at_s = numbers.uniform(*_GOOD_SPELLS_S)
    while at_s < duration_s:
        spell_s = numbers.uniform(*_BAD_SPELLS_S)
        is_always = numbers.random() < _ALWAYS_SHARE
        share = numbers.uniform(*_BAD_SHARES)
        share = 1.0 if is_always else share
        if numbers.random() < 0.5:
            fault = faults.BadWorker(worker, refused_share=share)
        else:
            fault = faults.BadWorker(worker, failed_share=share)
        yield faults.PlannedFault(at_s, spell_s, fault)
        at_s += spell_s + numbers.uniform(*_GOOD_SPELLS_S)


def _draw_misused_ids(
    numbers: random.Random,
    duration_s: float,
    machines: machines_module.Machines,
) -> Iterator[faults.PlannedFault]:
    at_s = numbers.uniform(*_MISUSE_PAUSES_S)
    while at_s < duration_s:
        misuse_s = numbers.uniform(*_MISUSES_S)
        worker = numbers.choice(machines.sides)
        fault = faults.MisusedId(worker, numbers.randrange(1 << 32))
        yield faults.PlannedFault(at_s, misuse_s, fault)
        at_s += misuse_s + numbers.uniform(*_MISUSE_PAUSES_S)
