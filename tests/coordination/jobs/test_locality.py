"""Tests that a leader's loop decides by the settings of where tasks go."""

from collections.abc import Iterator
import itertools

import pytest

from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.job_locality import locality_settings
from marigoldsill.coordination.jobs import scheduler as scheduler_module
from marigoldsill.coordination.jobs import scheduling_settings
from marigoldsill.coordination.jobs import service as service_module
from marigoldsill.protocol.generated import ttypes
from tests import one_process
from tests.coordination.jobs import builders


class _Leader:
    """A leader to which one worker of 2 cores in each of two racks reports."""

    def __init__(self, ratio: float):
        self.replica = replica_module.Replica(
            member=ttypes.Member(
                name="c1", address="", http_address="", data_centre="d"
            )
        )
        locality = locality_settings.LocalitySettings(remote_run_ratio=ratio)
        self.scheduler = scheduler_module.JobScheduler(
            replica=self.replica,
            job_retention_s=60.0,
            settings=scheduling_settings.SchedulingSettings(locality=locality),
        )
        self.service = service_module.JobService(
            replica=self.replica,
            lease_ms=7_000,
            on_change=self.scheduler.wake,
        )
        self._numbers = itertools.count(1)
        self.service.replace_routing(builders.routing())
        self.scheduler.start(self.service)

    def report(self, agent: str, *ends: ttypes.RunEnd) -> None:
        worker = builders.pool_worker(
            agent, cores=2, data_centre="d", rack=f"rack-{agent}"
        )
        report = builders.agent_report(
            agent, worker, *ends, sequence=next(self._numbers)
        )
        self.service.agent_report(report)

    def submit(self, job_id: str, step: ttypes.Step) -> None:
        address = ttypes.JobAddress(
            host="jobs.example", path=f"/{builders.QUEUE}/{job_id}"
        )
        self.service.submit_job(address, builders.job(job_id, step))

    def agents_of(self, job_id: str) -> set[str]:
        """Returns the agents on which a job has runs."""
        with self.replica.lock:
            runs = self.replica.tables.jobs.runs_by_agent
            return {
                agent
                for agent, by_key in runs.items()
                if any(run.address.job_id == job_id for run in by_key.values())
            }

    def wait_for_runs(self, job_id: str, agent: str) -> None:
        one_process.wait_until(
            lambda: self.agents_of(job_id) == {agent},
            what=f"runs of {job_id} on {agent}",
        )


def _near_step(tasks_count: int = 1, *, estimated_ms: int) -> ttypes.Step:
    return builders.step(
        tasks_count, preferred_rack="rack-a1", estimated_ms=estimated_ms
    )


@pytest.fixture(params=[(3.0, 5_000)])
def leader(request: pytest.FixtureRequest) -> Iterator[_Leader]:
    """A leader whose worker a1 is full, and whose worker a2 is half full.

    The parameter is the ratio and the estimated run time of the tasks on a1.
    """
    ratio, estimated_ms = request.param
    new_leader = _Leader(ratio)
    new_leader.report("a1")
    new_leader.submit("full", _near_step(2, estimated_ms=estimated_ms))
    new_leader.wait_for_runs("full", "a1")
    new_leader.report("a2")
    new_leader.submit("half", builders.step(estimated_ms=60_000))
    new_leader.wait_for_runs("half", "a2")
    yield new_leader
    new_leader.scheduler.stop()


def test_a_task_waits_for_its_rack_and_starts_when_a_run_there_ends(
    leader: _Leader,
) -> None:
    leader.submit("j1", _near_step(estimated_ms=20_000))
    leader.submit("j2", builders.step(estimated_ms=1_000))
    leader.wait_for_runs("j2", "a2")
    assert leader.agents_of("j1") == set()
    name = builders.task_name(0, "full")
    leader.report("a1", builders.run_end(name, ttypes.RunEndKind.DONE))
    leader.wait_for_runs("j1", "a1")


@pytest.mark.parametrize("leader", [(3.0, 500)], indirect=True)
def test_a_task_starts_elsewhere_though_nothing_changes_meanwhile(
    leader: _Leader,
) -> None:
    """Guards against a wait that ends only with the next report or job."""
    leader.submit("j1", _near_step(estimated_ms=1_000))
    leader.wait_for_runs("j1", "a2")


@pytest.mark.parametrize("leader", [(1.0, 5_000)], indirect=True)
def test_without_a_ratio_a_task_starts_elsewhere_at_once(
    leader: _Leader,
) -> None:
    leader.submit("j1", _near_step(estimated_ms=20_000))
    leader.wait_for_runs("j1", "a2")
