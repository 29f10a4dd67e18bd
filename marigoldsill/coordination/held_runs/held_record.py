"""What is known of the runs that a worker may hold."""

from collections.abc import Iterable

from marigoldsill.coordination.held_runs import held_run
from marigoldsill.coordination.held_runs import listings
from marigoldsill.coordination.held_runs import worker_contact
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes

# Stands for each run that is not in the record.
_UNKNOWN = held_run.HeldRun(order=None)


class HeldRecord:
    """Runs that the worker may hold, by (task, run), and what is known of each.

    Not thread-safe: the owner's lock must be held for every call.

    Attributes:
        listings: The worker's listings.
        contact: The contact with the worker.
    """

    def __init__(self):
        self.listings = listings.Listings()
        self._by_run: dict[task_names.RunKey, held_run.HeldRun] = {}
        self.contact = worker_contact.WorkerContact()

    @property
    def listed(self) -> dict[task_names.RunKey, ttypes.RunSample]:
        """Samples of the runs that the worker listed last."""
        return self.listings.running

    def held_keys(self) -> set[task_names.RunKey]:
        """Returns the runs that the worker may hold, whether ordered or not."""
        held = {key for key, run in self._by_run.items() if run.is_held}
        return held | self.listed.keys()

    def unordered_keys(self) -> set[task_names.RunKey]:
        """Returns the runs that the worker may hold without an order in force."""
        return {
            key
            for key, run in self._by_run.items()
            if run.order is None or run.removed_s is not None
        }

    def resources_of(
        self, keys: Iterable[task_names.RunKey]
    ) -> list[ttypes.Resources]:
        """Returns what each of some of its runs reserves."""
        return [self._get(key).resources for key in keys]

    @property
    def are_shared(self) -> bool:
        """Whether best-effort and latency-critical tasks share the worker."""
        return held_run.share_worker(map(self._get, self.listed))

    def knows_all_listed(self) -> bool:
        """Whether it is known what each listed run reserves."""
        return all(self._get(key).order is not None for key in self.listed)

    def is_started(self, key: task_names.RunKey) -> bool:
        """Whether a start request for a run was answered with success."""
        return self._get(key).is_started

    def has_begun(self, key: task_names.RunKey) -> bool:
        """Whether the current incarnation is known to have begun a run."""
        return self._get(key).started_s is not None

    def may_have_begun(self, key: task_names.RunKey) -> bool:
        """Whether a start request may have begun a run, on any incarnation."""
        return self._get(key).may_have_begun

    def was_listed(self, key: task_names.RunKey) -> bool:
        """Whether the current incarnation has listed a run that has not ended."""
        return self._get(key).was_listed

    def seen_s(self, key: task_names.RunKey) -> float | None:
        """Returns when the current incarnation last had a run, or None."""
        return self._get(key).seen_s

    def is_missing(self, key: task_names.RunKey) -> bool:
        """Whether a later listing has neither a started run nor its end."""
        run = self._get(key)
        return run.is_started and self.listings.lack(
            key, after_count=run.start_listings_count
        )

    def is_stop_answered(self, key: task_names.RunKey) -> bool:
        """Whether a stop of a run was answered."""
        return self._get(key).stop_listings_count > 0

    def is_gone_after_stop(self, key: task_names.RunKey) -> bool:
        """Whether a listing made after an answered stop has neither a run nor its end."""
        count = self._get(key).stop_listings_count
        return count > 0 and self.listings.lack(key, after_count=count)

    def min_ages_s(self) -> dict[task_names.RunKey, float]:
        """Returns the minimum age of each run that may be on the current incarnation."""
        ages_s = {
            key: run.min_age_s(self.contact.last_answer_s)
            for key, run in self._by_run.items()
        }
        return {k: age_s for k, age_s in ages_s.items() if age_s is not None}

    def _get(self, key: task_names.RunKey) -> held_run.HeldRun:
        return self._by_run.get(key, _UNKNOWN)
