"""Tests that a leader's loop applies the limit on jobs under way."""

from collections.abc import Callable
from collections.abc import Iterator

import pytest

from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.job_queueing import concurrency_limits
from marigoldsill.coordination.jobs import scheduler as scheduler_module
from marigoldsill.coordination.jobs import scheduling_settings
from marigoldsill.coordination.jobs import service as service_module
from marigoldsill.protocol.generated import ttypes
from tests import one_process
from tests.coordination.job_placing import leader_harness
from tests.coordination.jobs import builders

_Leader = tuple[service_module.JobService, replica_module.Replica]
_StartLeader = Callable[[str], _Leader]


@pytest.fixture
def start_leader() -> Iterator[_StartLeader]:
    """Starts a leader with a limit and one worker of 9 cores."""
    schedulers = []

    def start(limit: str) -> _Leader:
        member = ttypes.Member(
            name="c1", address="", http_address="", data_centre="d"
        )
        replica = replica_module.Replica(member=member)
        scheduler = scheduler_module.JobScheduler(
            replica=replica,
            job_retention_s=60.0,
            settings=scheduling_settings.SchedulingSettings(
                job_concurrency=concurrency_limits.parse(limit)
            ),
        )
        service = service_module.JobService(
            replica=replica, lease_ms=7_000, on_change=scheduler.wake
        )
        service.replace_routing(
            builders.routing(queues=[builders.queue(stretch_ratio=2.0)])
        )
        scheduler.start(service)
        schedulers.append(scheduler)
        worker = builders.pool_worker(
            "a1", capacity=leader_harness.resources(9, 64)
        )
        service.agent_report(builders.agent_report("a1", worker, sequence=1))
        return service, replica

    yield start
    for scheduler in schedulers:
        scheduler.stop()


def _submit(service: service_module.JobService, job_id: str) -> None:
    step = builders.step(
        3, **leader_harness.best_effort_fields(cores=2), estimated_ms=60_000
    )
    address = ttypes.JobAddress(
        host="jobs.example", path=f"/{builders.QUEUE}/{job_id}"
    )
    service.submit_job(address, builders.job(job_id, step))


def _started_jobs(replica: replica_module.Replica) -> set[str]:
    with replica.lock:
        runs = replica.tables.jobs.runs_by_agent.get("a1", {})
        return {task.split(".")[0] for task, _ in runs}


@pytest.mark.parametrize(
    ("limit", "started"),
    [
        ("unlimited", {"j1", "j2", "s"}),
        ("count:1", {"j1", "s"}),
        ("predicted-end", {"j1", "s"}),
    ],
)
def test_a_second_job_is_held_back_only_with_a_limit(
    start_leader: _StartLeader, limit: str, started: set[str]
) -> None:
    service, replica = start_leader(limit)
    _submit(service, "j1")
    one_process.wait_until(
        lambda: _started_jobs(replica) == {"j1"}, what="the first job"
    )
    _submit(service, "j2")
    address = ttypes.JobAddress(
        host="jobs.example", path=f"/{builders.QUEUE}/s"
    )
    # It is decided in a round that the second job's submission precedes.
    service.submit_job(address, builders.job("s", builders.step(1)))
    one_process.wait_until(
        lambda: "s" in _started_jobs(replica),
        what="the job that is not limited",
    )
    assert _started_jobs(replica) == started
