"""What is derived of each waiting step for the summaries of the load.

Most steps wait through many summaries. Their facts are kept as long as their queue and
the predicted run time are the same, so that a summary of many steps stays cheap.
"""

import dataclasses

from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import urgency as urgency_module
from marigoldsill.protocol.generated import ttypes

# Facts are derived anew once the predicted run time differs by more than this share.
_DRIFT_SHARE = 0.05


@dataclasses.dataclass(slots=True, frozen=True)
class StepFacts:
    """What is worth keeping of a step from one summary to the next.

    Attributes:
        queue: The queue as it was when the facts were derived.
        group: Steps with an equal group may be summarized together.
        run_ms: The predicted run time of a task.
        latest_start_unix_ms: When its job becomes too late to be of use.
    """

    queue: ttypes.Queue
    group: tuple[str, str, bool, int, int]
    run_ms: float
    latest_start_unix_ms: float


class FactsDeriver:
    """Derives the facts of steps for one summary; computes what repeats once."""

    def __init__(self, urgency: urgency_module.Urgency):
        self._urgency = urgency
        self._run_times_ms: dict[tuple[str, int], float] = {}
        self._occurrence: tuple[str, int] | None = None
        self._useful_until_unix_ms = 0.0
        self._paths_ms: list[float] = []

    def refresh(
        self, step: backlog_module.WaitingStep, before: StepFacts | None
    ) -> StepFacts:
        """Returns the facts of a step, those from before if they still hold."""
        run_ms = self._predict_ms(step)
        if (
            before is not None
            and before.queue is step.queue
            and abs(run_ms - before.run_ms) <= _DRIFT_SHARE * before.run_ms
        ):
            return before
        return self._derive(step, run_ms)

    def _predict_ms(self, step: backlog_module.WaitingStep) -> float:
        key = step.queue.name, step.step.estimated_ms
        run_ms = self._run_times_ms.get(key)
        if run_ms is None:
            run_ms = self._urgency.run_times.predict_ms(*key)
            self._run_times_ms[key] = run_ms
        return run_ms

    def _derive(
        self, step: backlog_module.WaitingStep, run_ms: float
    ) -> StepFacts:
        job, queue = step.job, step.queue
        job_id, occurrence, number = step.key
        if (job_id, occurrence) != self._occurrence:
            self._occurrence = job_id, occurrence
            self._paths_ms = self._urgency.longest_paths_ms(job, queue)
            self._useful_until_unix_ms = self._urgency.useful_until_unix_ms(
                job, queue, occurrence
            )
        required = step.step.resources
        return StepFacts(
            queue=queue,
            group=(
                queue.pool,
                queue.name,
                step.step.best_effort,
                required.cpu_millicores,
                required.memory_bytes,
            ),
            run_ms=run_ms,
            latest_start_unix_ms=(
                self._useful_until_unix_ms - self._paths_ms[number]
            ),
        )
