"""Interference between tasks on one worker, learnt from usage samples.

A report holds the tail latencies of a worker's latency-critical tasks and the
processor time used by its best-effort tasks. How much one image adds to the
utilization of another is learnt from all reports, used to place tasks, and published
to all agents, which throttle best-effort tasks accordingly.
"""

from collections.abc import Iterable
import dataclasses

from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.learning import utilization
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables

_TENTHS_PER_WORKER = 10
# A pair is published again when its value has changed by more than this share of the
# published one and by more than this amount.
_CHANGED_SHARE = 0.25
_CHANGED_UTILIZATION = 0.01
# Latency-critical tasks with less progress than this are not learnt from.
_MIN_PROGRESS_PERCENT = 100
# Assumed for a latency-critical task before its first sample, which arrives within
# half a second. It is high, so that only best-effort tasks with little interference
# start beside it. After a complete power loss, all tasks are granted in one round.
_UNSAMPLED_UTILIZATION = utilization.from_latency_ratio(0.92)


@dataclasses.dataclass(slots=True, frozen=True)
class LatencyCriticalTask:
    """A latency-critical task with its predicted utilization.

    Attributes:
        image: The image that it runs.
        usual_utilization: Utilization at its usual load, including the interference
            of the best-effort tasks on its worker.
        current_utilization: Utilization by its last sample, including the
            interference of best-effort tasks that start now.
    """

    image: str
    usual_utilization: float
    current_utilization: float


class InterferenceModel:
    """Learns, predicts and publishes interference between images.

    `learn` is called by one thread.

    Attributes:
        version: Increases whenever the published values change.
    """

    def __init__(self):
        self.version = 0
        self._filter = utilization.UtilizationFilter()
        self._published: dict[tuple[str, str], float] = {}
        self._learnt_samples_s: dict[str, float] = {}

    def restore(self, pairs: Iterable[ttypes.PairInterference]) -> None:
        """Restores the values that an earlier leader recorded."""
        published = dict(self._published)
        for pair in pairs:
            images = pair.latency_critical_image, pair.best_effort_image
            self._filter.restore(*images, pair.added)
            published[images] = pair.added
        self._published = published
        self.version += 1

    def learn(
        self,
        jobs: job_tables.JobTables,
        views: Iterable[agents_module.AgentView],
    ) -> None:
        """Learns from the agents' reports that hold new samples."""
        for view in views:
            if self._learnt_samples_s.get(view.name) != view.sampled_s:
                self._learnt_samples_s[view.name] = view.sampled_s
                self._learn_from(jobs, view)
        self._publish_changes()

    def added_utilization(
        self, latency_critical: str, best_effort: str, tenths: float
    ) -> float:
        """Returns the utilization that a best-effort task adds to another task.

        Args:
            latency_critical: The image of the latency-critical task.
            best_effort: The image of the best-effort task.
            tenths: The processor time that it uses, in tenths of the worker's.
        """
        return (
            self._filter.added_utilization(latency_critical, best_effort)
            * tenths
        )

    def added_utilization_upper_bound(
        self, latency_critical: str, best_effort: str, tenths: float
    ) -> float:
        """Returns `added_utilization` plus one standard deviation."""
        bound = self._filter.added_utilization_upper_bound(
            latency_critical, best_effort
        )
        return bound * tenths

    def is_known(self, latency_critical: str, best_effort: str) -> bool:
        """Returns whether the interference of a pair is known from samples."""
        return self._filter.is_known(latency_critical, best_effort)

    def predict_task(
        self,
        job_id: str,
        step: ttypes.Step,
        sample: ttypes.RunSample | None,
        best_effort: Iterable[tuple[str, float]],
    ) -> LatencyCriticalTask:
        """Predicts the utilization of a latency-critical task.

        Args:
            job_id: The task's job.
            step: Its step.
            sample: Its last sample; None before the first.
            best_effort: Images of the best-effort tasks on its worker, each with the
                processor time that it uses, in tenths of the worker's.
        """
        added = sum(
            self.added_utilization(step.image, i, t) for i, t in best_effort
        )
        current = _UNSAMPLED_UTILIZATION
        if sample is not None and sample.load:
            current = utilization.from_tail_latency(
                sample.load, step.tail_target_ms
            )
        return LatencyCriticalTask(
            step.image, self._filter.recent_average(job_id) + added, current
        )

    def unsampled_task(self, step: ttypes.Step) -> LatencyCriticalTask:
        """Returns the prediction for a task that has just been granted."""
        return LatencyCriticalTask(
            step.image, _UNSAMPLED_UTILIZATION, _UNSAMPLED_UTILIZATION
        )

    def published_pairs(self) -> list[ttypes.PairInterference]:
        """Returns the values for all agents; may be called by other threads."""
        published = self._published
        return [
            ttypes.PairInterference(
                latency_critical_image=latency_critical,
                best_effort_image=best_effort,
                added=added,
            )
            for (latency_critical, best_effort), added in published.items()
        ]

    def _learn_from(
        self, jobs: job_tables.JobTables, view: agents_module.AgentView
    ) -> None:
        addresses = [jobs.address_of(view.name, key) for key in view.samples]
        sampled = [
            (address.job_id, step, sample)
            for address, sample in zip(
                addresses, view.samples.values(), strict=True
            )
            if (step := jobs.step_at(address)) is not None
        ]
        used: dict[str, float] = {}
        for _, step, sample in sampled:
            if step.best_effort:
                tenths = to_worker_tenths(view, sample.load)
                used[step.image] = used.get(step.image, 0.0) + tenths
        for job_id, step, sample in sampled:
            if (
                not step.tail_target_ms
                or sample.percent < _MIN_PROGRESS_PERCENT
            ):
                continue
            self._filter.observe(
                job_id,
                step.image,
                used,
                tail_ms=sample.load,
                target_ms=step.tail_target_ms,
                now_s=view.sampled_s,
            )

    def _publish_changes(self) -> None:
        changed = {
            pair: added
            for pair, added in self._filter.take_changed_pairs().items()
            if _has_changed(added, self._published.get(pair, 0.0))
        }
        if changed:
            # Replaced instead of modified, as another thread may be reading it.
            self._published = self._published | changed
            self.version += 1


def to_worker_tenths(view: agents_module.AgentView, millicores: float) -> float:
    """Converts processor time to tenths of an agent's worker's."""
    capacity_millicores = (
        view.worker.capacity.cpu_millicores if view.worker else 0
    )
    return _TENTHS_PER_WORKER * millicores / max(1, capacity_millicores)


def _has_changed(added: float, published: float) -> bool:
    limit = max(_CHANGED_UTILIZATION, published * _CHANGED_SHARE)
    return abs(added - published) > limit
