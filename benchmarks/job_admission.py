"""Time of decisions whether jobs are accepted, and of the summary they are based on.

The load is 20,000 waiting tasks of 50 queues on 300 workers, once in steps of 20 tasks
and once in steps of one. The pool is full, so that a decision looks at all of the
summary. The share of the time is the median time of a summary, divided by the interval
at which summaries follow.
"""

import statistics
import time

from benchmarks import table
from marigoldsill.coordination.job_admission import (
    admission as admission_module,
)
from marigoldsill.coordination.job_admission import admission_settings
from marigoldsill.coordination.job_admission import load_publisher
from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import interference_model
from marigoldsill.coordination.job_placing import placement as placement_module
from marigoldsill.coordination.job_placing import tickets as tickets_module
from marigoldsill.coordination.job_placing import urgency as urgency_module
from marigoldsill.coordination.learning import worker_health
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import state_machine
from marigoldsill.state import tables as tables_module

_WORKERS_COUNT = 300
_QUEUES_COUNT = 50
_TASKS_COUNT = 20_000
_STEP_SIZES = (20, 1)
_SUMMARIES_COUNT = 7
_DECISIONS_COUNT = 300
_DECISION_LIMIT_MS = 1.0
_SHARE_LIMIT = 0.06
_MILLICORES = (500, 1_000, 2_000, 3_500)
_ESTIMATES_MS = (500, 2_000, 9_000)
_GIB = 1 << 30
_POOL = "pool"
_TERM = 1
_SETTLED_S = 60.0
_NOW_UNIX_MS = 1_000_000


def run() -> list[table.Row]:
    """Measures decisions and summaries for steps of two sizes."""
    return [row for size in _STEP_SIZES for row in _measure(size)]


def _measure(step_size: int) -> list[table.Row]:
    leader = _Leader(step_size)
    rounds_ms = [leader.run_round() for _ in range(_SUMMARIES_COUNT)]
    first_ms, *summaries_ms = [
        leader.publish() for _ in range(_SUMMARIES_COUNT)
    ]
    decisions_ms = sorted(
        leader.decide(number) for number in range(_DECISIONS_COUNT)
    )
    summary_ms = statistics.median(summaries_ms)
    interval_ms = (leader.publisher.next_s - leader.now_s) * 1_000
    load = f"{_TASKS_COUNT} tasks in steps of {step_size}"
    return [
        table.Row(
            f"job_admission: a decision, {load}",
            statistics.median(decisions_ms),
            "ms",
            _DECISION_LIMIT_MS,
            "max",
        ),
        table.Row(
            f"job_admission: the 99th of 100 decisions, {load}",
            decisions_ms[int(0.99 * len(decisions_ms))],
            "ms",
            _DECISION_LIMIT_MS,
            "max",
        ),
        table.Row(f"job_admission: the first summary, {load}", first_ms, "ms"),
        table.Row(f"job_admission: a summary, {load}", summary_ms, "ms"),
        table.Row(
            f"job_admission: a round without changes, {load}",
            statistics.median(rounds_ms),
            "ms",
        ),
        table.Row(
            f"job_admission: share of the time spent on summaries, {load}",
            summary_ms / interval_ms,
            "ratio",
            _SHARE_LIMIT,
            "max",
        ),
    ]


class _Leader:
    """A leader's waiting jobs on full workers, without replication and agents."""

    def __init__(self, step_size: int):
        self.now_s = 0.0
        self.publisher = load_publisher.LoadPublisher(term=_TERM, now_s=0.0)
        self._tables = tables_module.Tables()
        self._urgency = urgency_module.Urgency()
        for number in range(_QUEUES_COUNT):
            for estimated_ms in 2 * _ESTIMATES_MS:
                self._urgency.run_times.observe(
                    f"q{number}", estimated_ms=estimated_ms, run_ms=estimated_ms
                )
        self._backlog = backlog_module.Backlog()
        self._placement = placement_module.Placement(
            interference=interference_model.InterferenceModel(),
            health=worker_health.WorkerHealth(),
            tickets=tickets_module.Tickets(),
        )
        self._admission = admission_module.Admission(
            admission_settings.AdmissionSettings(), urgency=self._urgency
        )
        self._admission.begin_term(_TERM)
        self._step_size = step_size
        self._queues = [
            ttypes.Queue(
                name=f"q{number}",
                host="h",
                path_prefix=f"/q{number}/",
                pool=_POOL,
                priority=number % 2,
            )
            for number in range(_QUEUES_COUNT)
        ]
        routing = ttypes.Routing(
            version=1,
            queues=self._queues,
            pools=[ttypes.Pool(name=_POOL)],
            document=b"1",
        )
        self._apply(replace_routing=ttypes.ReplaceRouting(routing=routing))
        for number in range(_TASKS_COUNT // step_size):
            self._apply(submit_job=ttypes.SubmitJob(job=self._make_job(number)))
        self._add_workers()
        touched = self._tables.jobs.pop_changed_jobs()
        self._backlog.refresh(self._tables.jobs, touched, now_s=0.0)
        self._admission.observe_jobs(self._tables.jobs, touched)
        self._waiting = self._rank()

    def run_round(self) -> float:
        """Ranks and places without a change; returns the milliseconds."""
        self.now_s += 1.0
        begin_s = time.perf_counter()
        self._waiting = self._rank()
        self._placement.place(self._waiting, now_s=self.now_s)
        return (time.perf_counter() - begin_s) * 1_000

    def publish(self) -> float:
        """Publishes a summary; returns the milliseconds."""
        self.now_s += _SETTLED_S
        begin_s = time.perf_counter()
        summary = self.publisher.summarize(
            self._backlog,
            self._waiting,
            self._urgency,
            self._placement,
            pools=self._tables.jobs.pools,
            now_s=self.now_s,
            now_unix_ms=_NOW_UNIX_MS,
            is_order_final=True,
        )
        self._admission.publish(summary)
        return (time.perf_counter() - begin_s) * 1_000

    def decide(self, number: int) -> float:
        """Decides on one more job; returns the milliseconds."""
        job = self._make_job(_TASKS_COUNT + number)
        queue = self._queues[number % _QUEUES_COUNT]
        begin_s = time.perf_counter()
        self._admission.judge(job, queue, term=_TERM, now_s=self.now_s)
        return (time.perf_counter() - begin_s) * 1_000

    def _rank(self) -> list[backlog_module.WaitingStep]:
        return self._backlog.rank_steps(
            self._urgency,
            now_unix_ms=_NOW_UNIX_MS + int(self.now_s * 1_000),
        )

    def _make_job(self, number: int) -> ttypes.Job:
        step = ttypes.Step(
            tasks_count=self._step_size,
            resources=ttypes.Resources(
                cpu_millicores=_MILLICORES[number % len(_MILLICORES)],
                memory_bytes=_GIB,
            ),
            after=[],
            estimated_ms=_ESTIMATES_MS[number % len(_ESTIMATES_MS)],
        )
        return ttypes.Job(
            job_id=f"j{number}",
            queue=f"q{number % _QUEUES_COUNT}",
            command="",
            steps=[step],
        )

    def _add_workers(self) -> None:
        """Adds workers without free processor time."""
        for number in range(_WORKERS_COUNT):
            name = f"a{number}"
            worker = ttypes.PoolWorker(
                worker_id=name,
                pool=_POOL,
                data_centre="d",
                rack="r",
                labels=[],
                capacity=ttypes.Resources(
                    cpu_millicores=100, memory_bytes=64 * _GIB
                ),
            )
            view = agents_module.AgentView(name, worker=worker)
            self._placement.refresh(self._tables.jobs, view, is_eligible=True)

    def _apply(self, **body: object) -> None:
        command = ttypes.Command(
            command_id="", proposed_unix_ms=_NOW_UNIX_MS, **body
        )
        state_machine.apply(self._tables, command)


if __name__ == "__main__":
    print(table.render(run()), end="")
