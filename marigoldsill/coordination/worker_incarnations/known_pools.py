"""The pools that exist, by which an agent tells its worker from other writers.

Only the leader knows the routing, so what an agent knows may be some seconds old, or
older while it has no connection to the leader. So no worker is refused for its pool
alone: the pool only decides between two announcements of one incarnation. If that is
decided wrongly because a pool is new, the worker's next heartbeat after the news
corrects it.
"""

from collections.abc import Iterable

from marigoldsill import errors

# Maximum length of a pool's name in an error message, in characters.
_SHOWN_LENGTH_LIMIT = 40


class KnownPools:
    """Names of the pools that the leader has sent; not known before the first routing."""

    def __init__(self):
        self._names: frozenset[str] = frozenset()

    def update(self, names: Iterable[str]) -> None:
        """Replaces the names; none means that the leader has no routing yet."""
        self._names = frozenset(names) or self._names

    def check(self, pool: str, *, instead_of: str) -> None:
        """Checks that a pool that an incarnation names instead of another one exists.

        Raises:
            ConflictError: It does not exist.
        """
        if pool == instead_of or pool in self._names or not self._names:
            return
        raise errors.ConflictError(
            f"unknown pool {pool[:_SHOWN_LENGTH_LIMIT]!r} instead of "
            f"{instead_of[:_SHOWN_LENGTH_LIMIT]!r}: expected the same pool in all "
            "heartbeats of an incarnation, and one of the configuration"
        )

    def only_has(self, pool: str, *, not_pool: str) -> bool:
        """Whether one pool exists and another one does not."""
        return pool in self._names and not_pool not in self._names
