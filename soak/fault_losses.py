"""Draws losses of workers in series, beside which runs of one task are lost repeatedly.

The same few agents fail for seconds each time, and workers crash in turn. A lost run
says nothing of its task then.
"""

from collections.abc import Iterator
import itertools
import random

from soak import faults
from soak import machines as machines_module
from soak import proxy

# Outages of the same agents follow each other until the end of the soak.
_OUTAGES_S = (4.0, 6.0)
# The share of outages that outlast a lease, which is 7 s, and their duration.
_LONG_OUTAGE_SHARE = 0.25
_LONG_OUTAGES_S = (8.0, 9.5)
_OUTAGE_PAUSES_S = (0.3, 1.5)
# At most this share of the agents has outages.
_AFFECTED_AGENTS_SHARE = 0.67
# The share of soaks with flapping workers beside the outages. They crash after equal
# intervals for some time, then pause.
_FLAPPING_SHARE = 0.7
_FLAPPING_S = 6.0
_FLAPPING_INTERVALS_S = (1.2, 2.0)
_FLAPPING_PAUSES_S = (2.0, 4.0)
# The share of flapping workers that are silent before each crash, so that their agents do
# not learn of the ends of runs before it.
_SILENT_SHARE = 0.5
_SILENCES_S = (0.3, 0.9)


def draw_losses(
    seed: int, *, duration_s: float, machines: machines_module.Machines
) -> list[faults.PlannedFault]:
    """Draws the losses of one soak.

    Args:
        seed: The seed; equal seeds give equal losses.
        duration_s: The latest start of a fault.
        machines: The machines; only those of workers are affected.
    """
    outage_numbers = random.Random(f"{seed} outages")
    flapping_numbers = random.Random(f"{seed} flapping")
    limit = max(1, int(_AFFECTED_AGENTS_SHARE * len(machines.sides)))
    agents = outage_numbers.sample(
        machines.sides, outage_numbers.randint(1, limit)
    )
    return [
        *itertools.chain.from_iterable(
            _draw_outages(outage_numbers, duration_s, agent, machines)
            for agent in agents
        ),
        *_draw_flapping(flapping_numbers, duration_s, machines),
    ]


def _draw_outages(
    numbers: random.Random,
    duration_s: float,
    agent: str,
    machines: machines_module.Machines,
) -> Iterator[faults.PlannedFault]:
    """Draws outages of one agent that follow each other."""
    at_s = numbers.uniform(*_OUTAGE_PAUSES_S)
    while at_s < duration_s:
        is_long = numbers.random() < _LONG_OUTAGE_SHARE
        outage_s = numbers.uniform(
            *(_LONG_OUTAGES_S if is_long else _OUTAGES_S)
        )
        yield faults.PlannedFault(
            at_s, outage_s, _draw_outage(numbers, agent, machines)
        )
        at_s += outage_s + numbers.uniform(*_OUTAGE_PAUSES_S)


def _draw_outage(
    numbers: random.Random, agent: str, machines: machines_module.Machines
) -> faults.Fault:
    match numbers.randrange(4):
        case 0:
            return faults.ControlLinkFault(
                (agent,), machines.edges, True, proxy.Blackhole()
            )
        case 1:
            return faults.ProcessPause(agent)
        case 2:
            return faults.ProcessKill(agent)
        case _:
            # The agent is lost together with its worker.
            return faults.PowerLoss((agent,))


def _draw_flapping(
    numbers: random.Random,
    duration_s: float,
    machines: machines_module.Machines,
) -> Iterator[faults.PlannedFault]:
    """Draws groups of workers that crash in turn, each of them repeatedly."""
    if numbers.random() >= _FLAPPING_SHARE:
        return
    at_s = numbers.uniform(*_FLAPPING_PAUSES_S)
    while at_s < duration_s:
        end_s = min(duration_s, at_s + _FLAPPING_S)
        interval_s = numbers.uniform(*_FLAPPING_INTERVALS_S)
        count = numbers.randint(1, len(machines.sides))
        workers = numbers.sample(machines.sides, count)
        for number, worker in enumerate(workers):
            first_s = at_s + interval_s * number / count
            yield from _draw_crashes(
                numbers, worker, first_s, end_s, interval_s
            )
        at_s = end_s + numbers.uniform(*_FLAPPING_PAUSES_S)


def _draw_crashes(
    numbers: random.Random,
    worker: str,
    first_s: float,
    end_s: float,
    interval_s: float,
) -> Iterator[faults.PlannedFault]:
    crash = faults.WorkerCrash(worker, keeps_id=numbers.random() < 0.5)
    is_silent = numbers.random() < _SILENT_SHARE
    silence_s = numbers.uniform(*_SILENCES_S) if is_silent else 0.0
    silence = faults.LinkFault(worker, proxy.Blackhole())
    for number in itertools.count():
        silent_s = first_s + number * interval_s
        if silent_s + silence_s >= end_s:
            return
        if is_silent:
            yield faults.PlannedFault(silent_s, silence_s, silence)
        yield faults.PlannedFault(silent_s + silence_s, 0.0, crash)
