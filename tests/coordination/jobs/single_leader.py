"""A leader with a single in-memory replica, to which agents report."""

from collections.abc import Iterable

from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.jobs import scheduler as scheduler_module
from marigoldsill.coordination.jobs import scheduling_settings
from marigoldsill.coordination.jobs import service as service_module
from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import builders

LEASE_MS = 7_000
_DEFAULT_SETTINGS = scheduling_settings.SchedulingSettings()


class Leader:
    """A leader's scheduler and service, to which agents report."""

    def __init__(
        self,
        settings: scheduling_settings.SchedulingSettings = _DEFAULT_SETTINGS,
        *,
        replica: replica_module.Replica | None = None,
    ):
        self.replica = replica or replica_module.Replica(
            member=ttypes.Member(
                name="c1", address="", http_address="", data_centre="d"
            )
        )
        self.scheduler = scheduler_module.JobScheduler(
            replica=self.replica, job_retention_s=60.0, settings=settings
        )
        self.service = service_module.JobService(
            replica=self.replica,
            lease_ms=LEASE_MS,
            on_change=self.scheduler.wake,
        )
        self.sequence = 0
        if self.replica.is_leader:
            self.service.replace_routing(builders.routing())

    def report(
        self,
        agent: str,
        cores: int = 4,
        ends: Iterable[ttypes.RunEnd] = (),
        incarnation: int = 1,
        known_term: int = 0,
    ) -> ttypes.AgentReply:
        self.sequence += 1
        return self.service.agent_report(
            builders.agent_report(
                agent,
                builders.pool_worker(agent, cores=cores),
                *ends,
                sequence=self.sequence,
                incarnation=incarnation,
                known_term=known_term,
            )
        )

    def submit(
        self, job_id: str, *steps: ttypes.Step, queue: str = builders.QUEUE
    ) -> None:
        address = ttypes.JobAddress(
            host="jobs.example", path=f"/{queue}/{job_id}"
        )
        job = builders.job(job_id, *steps)
        self.service.submit_job(address, job)

    @property
    def runs(self) -> dict[str, list[str]]:
        """The tasks with a run, by agent."""
        with self.replica.lock:
            runs = self.replica.tables.jobs.runs_by_agent
            return {a: sorted(t for t, _ in r) for a, r in runs.items()}
