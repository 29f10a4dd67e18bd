"""Ids of incarnations of workers that keep their name when they restart.

The id of such an incarnation is its worker's name, a separator and its start time. The
id of any other incarnation is a name of its own. No name contains the separator.
"""

SEPARATOR = "@"


def compose(name: str, started_unix_ms: int) -> str:
    """Returns the id of the incarnation of a worker that started at a time."""
    return f"{name}{SEPARATOR}{started_unix_ms}"


def name_of(incarnation_id: str) -> str:
    """Returns the name by which the incarnation's worker is called."""
    return incarnation_id.partition(SEPARATOR)[0]


def started_unix_ms_of(incarnation_id: str) -> int | None:
    """Returns when the incarnation started, or None if its id does not tell."""
    started = incarnation_id.partition(SEPARATOR)[2]
    return int(started) if started else None


def keeps_name(incarnation_id: str) -> bool:
    """Whether the incarnation's worker keeps its name when it restarts.

    A later incarnation then carries out calls that were meant for this one.
    """
    return SEPARATOR in incarnation_id


def share_name(one_id: str, other_id: str) -> bool:
    """Whether calls to one incarnation may be carried out by the other."""
    has_start = SEPARATOR in one_id or SEPARATOR in other_id
    return has_start and name_of(one_id) == name_of(other_id)
