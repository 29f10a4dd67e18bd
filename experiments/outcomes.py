"""Records the outcome of a simulated day for callers and users."""

from collections.abc import Iterable
import dataclasses

from experiments import arrivals as arrivals_module
from experiments import simulated_workers

# A late result earns reduced credit up to this multiple of its objective.
_LATE_LIMIT_OBJECTIVES = 3.0
_LATE_CREDIT = 0.15
# Latency-critical tasks are credited by intervals of this length; a step with a
# tail latency over its target weighs four times against the credit.
_INTERVAL_S = 2.0
_OVER_TARGET_WEIGHT = 4.0
_START_ALLOWANCE_S = 1.0


@dataclasses.dataclass(slots=True)
class Outcome:
    """The outcome of one day.

    Attributes:
        filling_credit: Credit of best-effort jobs, weighted by their work, as
            a share of the possible credit.
        filling_in_time: Share of them that completed within their objective.
        filling_unserved: Share of them that completed too late for any credit
            or not at all.
        batch_credit: Credit of batch jobs, weighted in the same way.
        serving_credit: Mean credit of the intervals of latency-critical jobs.
        serving_unserved: Share of these intervals without credit.
        worth: Earned share of the worth of all jobs and intervals.
        unserved: Share of jobs and intervals that earned nothing.
        over_s: Seconds that latency-critical tasks were over their target.
        use: Core-seconds of the workers, by use.
    """

    filling_credit: float
    filling_in_time: float
    filling_unserved: float
    batch_credit: float
    serving_credit: float
    serving_unserved: float
    worth: float
    unserved: float
    over_s: float
    use: simulated_workers.CoreSeconds

    def figures(self) -> dict[str, float]:
        """Returns all figures by name."""
        values = dataclasses.asdict(self)
        use = values.pop("use")
        return values | {f"use_{name}": value for name, value in use.items()}


class OutcomeRecorder:
    """Records completions and latencies of a day and computes its outcome."""

    def __init__(
        self,
        arrivals: Iterable[arrivals_module.Arrival],
        worths: tuple[float, float, float],
    ):
        self._worths = worths
        self._arrivals = {a.job.job_id: a for a in arrivals}
        self._completed_s: dict[str, float] = {}
        self._scores: dict[tuple[str, int], float] = {}
        self._over_s = 0.0

    def record_completion(self, job_id: str, completed_s: float) -> None:
        """Records the first completion of a job."""
        self._completed_s.setdefault(job_id, completed_s)

    def observe_workers(
        self, workers: Iterable[simulated_workers.SimulatedWorker], now_s: float
    ) -> None:
        """Records one step of the tail latencies of latency-critical tasks."""
        interval = int(now_s / _INTERVAL_S)
        for worker in workers:
            for run in worker.runs.values():
                target_ms = run.step.tail_target_ms
                if not target_ms or not run.tail_ms:
                    continue
                key = run.job_id, interval
                score = 1.0
                if run.tail_ms > target_ms:
                    self._over_s += simulated_workers.STEP_S
                    score = 1.0 - _OVER_TARGET_WEIGHT
                self._scores[key] = self._scores.get(key, 0.0) + score

    def summarize(
        self, now_s: float, use: simulated_workers.CoreSeconds
    ) -> Outcome:
        """Returns the outcome of the day up to now."""
        interval_credits = self._interval_credits(now_s)
        serving_credit = sum(interval_credits) / max(1, len(interval_credits))
        best_effort = self._job_credits(arrivals_module.BEST_EFFORT, now_s)
        batch = self._job_credits(arrivals_module.BATCH, now_s)
        filling_worth, serving_worth, batch_worth = self._worths
        all_credits = [
            (worth * filling_worth, credit) for worth, credit in best_effort
        ]
        all_credits += [(serving_worth, credit) for credit in interval_credits]
        all_credits += [
            (worth * batch_worth, credit) for worth, credit in batch
        ]
        return Outcome(
            filling_credit=_weighted_credit(best_effort),
            filling_in_time=_share_with_credit(best_effort, 1.0),
            filling_unserved=_share_with_credit(best_effort, 0.0),
            batch_credit=_weighted_credit(batch),
            serving_credit=serving_credit,
            serving_unserved=sum(p <= 0 for p in interval_credits)
            / max(1, len(interval_credits)),
            worth=_weighted_credit(all_credits),
            unserved=_share_with_credit(all_credits, 0.0),
            over_s=self._over_s,
            use=use,
        )

    def _interval_credits(self, now_s: float) -> list[float]:
        """Returns the 0 to 1 credits of latency-critical jobs' intervals."""
        steps_per_interval = _INTERVAL_S / simulated_workers.STEP_S
        interval_credits = []
        for job_id, arrival in self._arrivals.items():
            if arrival.job.queue != arrivals_module.LATENCY_CRITICAL:
                continue
            width = arrival.job.steps[0].tasks_count
            first = (
                int((arrival.arrival_s + _START_ALLOWANCE_S) / _INTERVAL_S) + 1
            )
            for interval in range(first, int(now_s / _INTERVAL_S)):
                score = (
                    self._scores.get((job_id, interval), 0.0)
                    / steps_per_interval
                    / width
                )
                interval_credits.append(max(0.0, score))
        return interval_credits

    def _job_credits(
        self, queue: str, now_s: float
    ) -> list[tuple[float, float]]:
        """Returns worth and credit of each job that completed or is overdue."""
        work_by_job = {
            job_id: _work_core_s(arrival)
            for job_id, arrival in self._arrivals.items()
            if arrival.job.queue == queue
        }
        mean_work = sum(work_by_job.values()) / max(1, len(work_by_job))
        job_credits = []
        for job_id, work in work_by_job.items():
            arrival = self._arrivals[job_id]
            objective_s = _objective_s(arrival)
            elapsed_s = (
                self._completed_s.get(job_id, float("inf")) - arrival.arrival_s
            )
            if (
                elapsed_s == float("inf")
                and now_s - arrival.arrival_s < objective_s
            ):
                continue
            credit = 1.0 if elapsed_s <= objective_s else _LATE_CREDIT
            if elapsed_s > _LATE_LIMIT_OBJECTIVES * objective_s:
                credit = 0.0
            job_credits.append((0.3 + 0.7 * work / mean_work, credit))
        return job_credits


def _objective_s(arrival: arrivals_module.Arrival) -> float:
    queue = next(
        q for q in arrivals_module.QUEUES if q.name == arrival.job.queue
    )
    chain_s = sum(max(step) for step in arrival.run_times_s if step)
    return queue.stretch_ratio * chain_s + queue.latency_target_ms / 1000


def _work_core_s(arrival: arrivals_module.Arrival) -> float:
    return sum(
        sum(run_s) * step.resources.cpu_millicores / 1000
        for step, run_s in zip(
            arrival.job.steps, arrival.run_times_s, strict=True
        )
    )


def _weighted_credit(job_credits: list[tuple[float, float]]) -> float:
    total_worth = sum(worth for worth, _ in job_credits)
    return sum(worth * credit for worth, credit in job_credits) / max(
        total_worth, 1e-9
    )


def _share_with_credit(
    job_credits: list[tuple[float, float]], credit: float
) -> float:
    return sum(c == credit for _, c in job_credits) / max(1, len(job_credits))
