"""What goes wrong, and when: drawn from a seed."""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import random

from soak import proxy

# Faults come this far apart and last so long, in seconds, so that some overlap.
_APART_S = (0.2, 1.5)
_LASTS_S = (0.2, 4.0)
# A lost disk is one more loss: nothing else happens to a member so long before
# and after it.
_DISK_APART_S = 6.0
_DELAYS_S = (0.005, 0.1)
_EDGE_SHARE = 0.45
_DISK_SHARE = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class Killed:
    """A process is killed, and started again after a while."""

    process: str


@dataclasses.dataclass(slots=True, frozen=True)
class Stopped:
    """A process gets SIGTERM, and is started again after its end."""

    process: str


@dataclasses.dataclass(slots=True, frozen=True)
class Paused:
    """A process stands still for a while."""

    process: str


@dataclasses.dataclass(slots=True, frozen=True)
class Reloaded:
    """A process gets SIGHUP."""

    process: str


@dataclasses.dataclass(slots=True, frozen=True)
class DiskLost:
    """A process is killed and comes back with an empty folder."""

    process: str


@dataclasses.dataclass(slots=True, frozen=True)
class Reborn:
    """A worker crashes and runs again, empty, under a new id."""

    worker: str


@dataclasses.dataclass(slots=True, frozen=True)
class Disobedient:
    """A worker answers no calls of a kind and carries them out later."""

    worker: str
    call: str


@dataclasses.dataclass(slots=True, frozen=True)
class Link:
    """Something is wrong with the connections to an address."""

    name: str
    mode: proxy.Mode


Fault = (
    Killed
    | Stopped
    | Paused
    | Reloaded
    | DiskLost
    | Reborn
    | Disobedient
    | Link
)


@dataclasses.dataclass(slots=True, frozen=True)
class Planned:
    """A fault and its time.

    Attributes:
        at_s: From the beginning of the soak.
        lasts_s: How long it lasts.
        fault: What it is.
    """

    at_s: float
    lasts_s: float
    fault: Fault


def draw(
    seed: int,
    *,
    duration_s: float,
    edges: Sequence[str],
    sides: Sequence[str],
) -> list[Planned]:
    """The faults of one soak."""
    return list(_draw(random.Random(seed), duration_s, edges, sides))


def _draw(
    numbers: random.Random,
    duration_s: float,
    edges: Sequence[str],
    sides: Sequence[str],
) -> Iterator[Planned]:
    at_s = numbers.uniform(*_APART_S)
    disk_free_s = _DISK_APART_S
    edge_free_s = 0.0
    while at_s < duration_s:
        lasts_s = numbers.uniform(*_LASTS_S)
        is_edge = numbers.random() < _EDGE_SHARE
        if is_edge and at_s >= disk_free_s and numbers.random() < _DISK_SHARE:
            yield Planned(at_s, lasts_s, DiskLost(numbers.choice(edges)))
            edge_free_s = at_s + lasts_s + _DISK_APART_S
            disk_free_s = edge_free_s + _DISK_APART_S
        elif is_edge and at_s >= edge_free_s:
            yield Planned(at_s, lasts_s, _of_process(numbers, edges))
            disk_free_s = max(disk_free_s, at_s + lasts_s + _DISK_APART_S)
        else:
            yield Planned(at_s, lasts_s, _of_side(numbers, edges, sides))
        at_s += numbers.uniform(*_APART_S)


def _of_process(numbers: random.Random, names: Sequence[str]) -> Fault:
    kind = numbers.choice((Killed, Stopped, Paused, Reloaded))
    return kind(numbers.choice(names))


def _of_side(
    numbers: random.Random, edges: Sequence[str], sides: Sequence[str]
) -> Fault:
    side = numbers.choice(sides)
    match numbers.randrange(5):
        case 0:
            return _of_process(numbers, sides)
        case 1:
            return Reborn(side)
        case 2:
            return Disobedient(side, numbers.choice(("run-start", "run-stop")))
        case 3:
            return Link(numbers.choice(edges), _mode(numbers))
        case _:
            return Link(side, _mode(numbers))


def _mode(numbers: random.Random) -> proxy.Mode:
    return numbers.choice(
        (
            proxy.Delayed(numbers.uniform(*_DELAYS_S)),
            proxy.OneWay(to_target=True),
            proxy.OneWay(to_target=False),
            proxy.Silent(),
            proxy.Reset(),
        )
    )
