"""Proposals in the log whose callers wait for the result."""

from concurrent import futures

from marigoldsill import errors
from marigoldsill.protocol.generated import ttypes


class PendingProposals:
    """Pending proposals by log index; the caller must serialise calls."""

    def __init__(self):
        self._waiting: dict[int, tuple[int, futures.Future]] = {}

    @property
    def count(self) -> int:
        """The number of pending proposals."""
        return len(self._waiting)

    def add(self, index: int, term: int) -> futures.Future:
        """Returns a future for the result of the entry at `index`."""
        future = futures.Future()
        self._waiting[index] = (term, future)
        return future

    def resolve(
        self, entry: ttypes.LogEntry, result: ttypes.CommandResult | None
    ) -> None:
        """Completes the proposal of an applied entry.

        Args:
            entry: The entry.
            result: Its result, or None if applying it failed.
        """
        term, future = self._waiting.pop(entry.index, (0, None))
        if future is None:
            return
        if term == entry.term and result is not None:
            future.set_result(result)
            return
        future.set_exception(
            _unknown_outcome("the entry was replaced or could not be applied")
        )

    def fail_all(self, reason: str) -> None:
        """Fails all proposals, because the outcome of their entries is unknown."""
        waiting, self._waiting = self._waiting, {}
        for _, future in waiting.values():
            future.set_exception(_unknown_outcome(reason))


def _unknown_outcome(reason: str) -> errors.UnknownOutcomeError:
    return errors.UnknownOutcomeError(
        f"the command was logged, but {reason}; it may still be "
        "applied. Propose it again with the same command id for its result.",
        retry_after_ms=500,
    )
