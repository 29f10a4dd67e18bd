"""The adviser's answers about steps and workers, in this leader's term.

Which workers may run a step does not change, but a ticket is valid for a limited time.
"""

from collections.abc import Iterable
import dataclasses

from marigoldsill.protocol import adviser
from marigoldsill.protocol import task_names

# Maximum time from a grant to the arrival of the start at the worker: a commit and two
# calls take some tens of milliseconds, a retried call takes up to this.
_START_DELAY_S = 0.5
# A ticket with a short validity is still used for this share of it.
_MIN_USED_SHARE = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class _Answer:
    """The answer about a worker: a ticket, or none if it may not run the step."""

    text: str = ""
    until_s: float = 0.0


class Tickets:
    """The adviser's answers; called with the replica's lock held."""

    def __init__(self):
        self._answers: dict[task_names.StepKey, dict[str, _Answer]] = {}

    def record_answer(
        self,
        key: task_names.StepKey,
        worker_ids: Iterable[str],
        tickets: Iterable[adviser.Ticket],
        *,
        valid_ms: int,
        now_s: float,
    ) -> None:
        """Records an answer that has just arrived.

        Args:
            key: The step.
            worker_ids: The workers that the request named.
            tickets: Tickets for the workers that may run the step.
            valid_ms: How long a ticket is valid.
            now_s: When the answer arrived.
        """
        valid_s = valid_ms / 1000
        used_s = max(valid_s - _START_DELAY_S, valid_s * _MIN_USED_SHARE)
        answers = self._answers.setdefault(key, {})
        answers |= {worker_id: _Answer() for worker_id in worker_ids}
        answers |= {
            t.worker_id: _Answer(t.text, now_s + used_s) for t in tickets
        }

    def find_ticket(
        self, key: task_names.StepKey, worker_id: str, *, now_s: float
    ) -> str:
        """Returns a ticket to start a step's tasks on a worker now, or an empty string."""
        answer = self._answers.get(key, {}).get(worker_id)
        if answer is None or now_s >= answer.until_s:
            return ""
        return answer.text

    def unknown_workers(
        self,
        key: task_names.StepKey,
        worker_ids: Iterable[str],
        *,
        now_s: float,
    ) -> list[str]:
        """Returns the workers without a valid answer.

        Args:
            key: The step.
            worker_ids: The workers to check.
            now_s: The current time.
        """
        answers = self._answers.get(key, {})
        return [
            worker_id
            for worker_id in worker_ids
            if _is_unknown(answers.get(worker_id), now_s)
        ]

    def drop_step(self, key: task_names.StepKey) -> None:
        """Drops the answers about a step, as a worker refused one of its tickets."""
        self._answers.pop(key, None)

    def retain_steps(self, keys: Iterable[task_names.StepKey]) -> None:
        """Drops the answers about all steps except some."""
        kept = set(keys)
        self._answers = {k: v for k, v in self._answers.items() if k in kept}


def _is_unknown(answer: _Answer | None, now_s: float) -> bool:
    return answer is None or (bool(answer.text) and now_s >= answer.until_s)
