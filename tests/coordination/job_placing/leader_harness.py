"""A harness for tests that runs placement rounds as a leader does."""

from marigoldsill.coordination.job_locality import locality_settings
from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import interference_model
from marigoldsill.coordination.job_placing import placement as placement_module
from marigoldsill.coordination.job_placing import tickets as tickets_module
from marigoldsill.coordination.job_placing import urgency as urgency_module
from marigoldsill.coordination.leadership import commands
from marigoldsill.coordination.learning import worker_health
from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import builders

_GIGABYTE = 1 << 30


def resources(cores: float, gigabytes: int = 1) -> ttypes.Resources:
    return ttypes.Resources(
        cpu_millicores=int(cores * 1000), memory_bytes=gigabytes * _GIGABYTE
    )


class LeaderHarness:
    """The state and agents of a leader, on a simulated clock."""

    def __init__(
        self,
        *queues: ttypes.Queue,
        locality: locality_settings.LocalitySettings | None = None,
    ):
        self.state = builders.State(*queues)
        self.locality = locality or locality_settings.LocalitySettings()
        self.interference = interference_model.InterferenceModel()
        self.backlog = backlog_module.Backlog()
        self.urgency = urgency_module.Urgency()
        self.health = worker_health.WorkerHealth()
        self.tickets = tickets_module.Tickets()
        self.placement = self._create_placement()
        self.now_s = 100.0
        self.views: dict[str, agents_module.AgentView] = {}
        self.ineligible: set[str] = set()

    def begin_term(self) -> None:
        """Goes on as a new leader, which knows only the state and the reports."""
        self.state.tables.jobs.changed_jobs.update(self.state.tables.jobs.jobs)
        self.backlog = backlog_module.Backlog()
        self.placement = self._create_placement()

    def _create_placement(self) -> placement_module.Placement:
        return placement_module.Placement(
            interference=self.interference,
            health=self.health,
            tickets=self.tickets,
            locality=self.locality,
            predict_run_ms=self.urgency.run_times.predict_ms,
        )

    def set_worker(self, agent: str, cores: int = 8, **fields: object) -> None:
        """Adds a worker, or replaces its description."""
        values = {"pool": builders.POOL, "rack": "r1", "labels": ["a", "r1"]}
        worker = ttypes.PoolWorker(
            worker_id=f"{agent}-incarnation1",
            capacity=resources(cores, 64),
            **(values | fields),
        )
        self.views[agent] = agents_module.AgentView(agent, worker=worker)

    def submit(self, job_id: str, *steps: ttypes.Step) -> None:
        self.state.submit(builders.job(job_id, *steps))

    def run_round(self) -> dict[str, str]:
        """Places and grants waiting tasks; returns agents by task."""
        jobs = self.state.tables.jobs
        self.backlog.refresh(jobs, jobs.pop_changed_jobs(), now_s=self.now_s)
        self.refresh_workers()
        waiting = self.backlog.rank_steps(
            self.urgency, now_unix_ms=builders.NOW_UNIX_MS
        )
        grants = self.placement.place(waiting, now_s=self.now_s)
        assert self.state.grant(*grants) == len(grants)
        self.health.observe_command(
            commands.new(
                command_id="", grant_runs=ttypes.GrantRuns(grants=grants)
            )
        )
        return {grant.task: grant.agent for grant in grants}

    def refresh_workers(self) -> None:
        """Computes the free capacity of all workers."""
        for view in self.views.values():
            self.placement.refresh(
                self.state.tables.jobs,
                view,
                is_eligible=view.name not in self.ineligible,
                now_s=self.now_s,
            )

    def report_tail(
        self, agent: str, task: str, *, tail_ms: int, after_s: float = 1.0
    ) -> None:
        """Reports the tail latency of a latency-critical task."""
        sample = ttypes.RunSample(task=task, run=1, percent=100, load=tail_ms)
        self.report_samples(agent, sample, after_s=after_s)

    def report_samples(
        self, agent: str, *samples: ttypes.RunSample, after_s: float = 1.0
    ) -> None:
        """Reports the runs of a worker, some time later."""
        self.now_s += after_s
        view = self.views[agent]
        view.samples = {(s.task, s.run): s for s in samples}
        view.sampled_s = self.now_s
        self.interference.learn(self.state.tables.jobs, [view])

    def record_end(self, end: ttypes.RunEnd) -> None:
        """Records the end of a run in the state and in the worker health."""
        self.state.end(end)
        record = ttypes.RecordRunEnds(ends=[end])
        self.health.observe_command(
            commands.new(command_id="", record_run_ends=record)
        )


def latency_critical_fields(
    image: str = "desk", cores: float = 4
) -> dict[str, object]:
    return {
        "long_running": True,
        "image": image,
        "tail_target_ms": 100,
        "resources": resources(cores),
    }


def latency_critical(image: str = "desk", cores: float = 4) -> ttypes.Step:
    return builders.step(**latency_critical_fields(image, cores))


def best_effort_fields(
    image: str = "heavy", cores: float = 4
) -> dict[str, object]:
    return {"image": image, "best_effort": True, "resources": resources(cores)}


def best_effort(image: str = "heavy", cores: float = 4) -> ttypes.Step:
    return builders.step(**best_effort_fields(image, cores))
