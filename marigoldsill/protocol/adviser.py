"""The external service that decides on which workers a step may run."""

import abc
from collections.abc import Sequence
import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Ticket:
    """Permission to start tasks of one step on one incarnation of a worker.

    Attributes:
        worker_id: The incarnation of the worker.
        text: The text that each start has to present.
    """

    worker_id: str
    text: str


class Adviser(abc.ABC):
    """The interface to the adviser; the leader makes one call at a time."""

    @abc.abstractmethod
    def advise(
        self, step: str, worker_ids: Sequence[str], *, timeout_s: float
    ) -> list[Ticket]:
        """Requests tickets for those of some workers that may run a step.

        Args:
            step: The step's name, as returned by `task_names.name_of_step`.
            worker_ids: Incarnations of workers, at most 100.
            timeout_s: How long to wait for the answer.

        Raises:
            AdviserBusyError: Too many calls are waiting; this one was rejected.
            TransportError: No answer came.
            PlatformError: The answer cannot be read.
        """
