"""The worker's listings of its runs, and when the last one was made at the earliest."""

from marigoldsill.protocol import run_worker
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes


class Listings:
    """The listings of a worker.

    Not thread-safe: the owner's lock must be held for every call.

    Attributes:
        running: Samples of the runs that the current incarnation listed last.
        complete_count: How many listings had no unreadable row of a run.
    """

    def __init__(self):
        self.running: dict[task_names.RunKey, ttypes.RunSample] = {}
        self.complete_count = 0
        # Whether the last one had all rows of runs and all unacknowledged ends.
        self._is_whole = False

    @property
    def next_count(self) -> int:
        """The count of complete ones beyond which one was certainly made from now on.

        A listing in progress now may have been made before.
        """
        return self.complete_count + 1

    def lack(self, key: task_names.RunKey, *, after_count: int) -> bool:
        """Whether the last one has neither a run nor its end.

        Args:
            key: The run.
            after_count: The count of complete ones beyond which the last one has to be.
        """
        return (
            key not in self.running
            and self._is_whole
            and self.complete_count > after_count
        )

    def record(self, listing: run_worker.RunListing) -> None:
        """Records a listing."""
        is_complete = not listing.unread_running_count
        self._is_whole = is_complete and not listing.is_ends_partial
        if is_complete:
            # In an incomplete listing, a run that is not listed may be running.
            self.complete_count += 1
        self.running = {(r.task, r.run): r for r in listing.running}

    def clear(self) -> None:
        """Removes the runs of an incarnation that has ended."""
        self.running = {}
