"""The service that says which workers may run a step, by a policy of its own."""

import abc
from collections.abc import Sequence
import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Ticket:
    """Leave to start tasks of one step on one life of a worker.

    Attributes:
        worker_id: The life of the worker.
        text: What each start has to show.
    """

    worker_id: str
    text: str


class Adviser(abc.ABC):
    """Asked by the leader, one call at a time."""

    @abc.abstractmethod
    def advise(
        self, step: str, worker_ids: Sequence[str], *, timeout_s: float
    ) -> list[Ticket]:
        """Tickets for those of some workers that may run a step.

        Args:
            step: The step's name, as `task_names.name_of_step` gives it.
            worker_ids: Lives of workers, at most 100.
            timeout_s: How long to wait for the answer.

        Raises:
            AdviserBusyError: Too many calls wait; this one was not taken.
            TransportError: No answer came.
            PlatformError: The answer can't be read.
        """
