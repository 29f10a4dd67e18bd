"""A job counts as waiting until a worker has begun one of its runs."""

from collections.abc import Iterable

import pytest

from marigoldsill.coordination.job_admission import begun_jobs
from marigoldsill.coordination.jobs import service as service_module
from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import builders
from tests.coordination.jobs import single_leader

_ADDRESS = ttypes.JobAddress(host="jobs.example", path=f"/{builders.QUEUE}/j1")
_TASK = builders.task_name()
_END_KINDS_WITH_A_RUN = (
    ttypes.RunEndKind.FAILED,
    ttypes.RunEndKind.CRASHED,
)
_END_KINDS_WITHOUT_A_RUN = (ttypes.RunEndKind.REFUSED, ttypes.RunEndKind.LOST)


class _Leader(single_leader.Leader):
    """A leader with one job, of which the first run is granted to agent a1."""

    def __init__(self):
        super().__init__()
        self.submit("j1", builders.step(2))
        self.grant()

    @property
    def waiting_count(self) -> int:
        return self.service.pending_jobs(_ADDRESS).pending_count

    def grant(self, run: int = 1) -> None:
        self.service.propose(
            grant_runs=ttypes.GrantRuns(grants=[builders.grant(_TASK, run)])
        )

    def list_runs(
        self, *keys: tuple[str, int], ends: Iterable[ttypes.RunEnd] = ()
    ) -> None:
        """Reports what the worker of a1 lists."""
        self.sequence += 1
        self.service.agent_report(
            ttypes.AgentReport(
                agent="a1",
                incarnation=1,
                sequence=self.sequence,
                ends=list(ends),
                running=[
                    ttypes.RunSample(task=task, run=run, percent=0, load=0)
                    for task, run in keys
                ],
                worker_id="a1-incarnation1",
            )
        )

    def change(self) -> None:
        """Has another process lead, which knows the log only."""
        self.service = service_module.JobService(
            replica=self.replica, lease_ms=single_leader.LEASE_MS
        )


@pytest.fixture
def leader() -> _Leader:
    return _Leader()


def test_a_job_waits_while_its_worker_has_not_begun_a_granted_run(
    leader: _Leader,
) -> None:
    leader.list_runs()
    assert leader.waiting_count == 1


def test_a_job_has_begun_once_a_worker_lists_a_run_of_it(
    leader: _Leader,
) -> None:
    leader.list_runs((_TASK, 1))
    assert leader.waiting_count == 0


@pytest.mark.parametrize("kind", _END_KINDS_WITH_A_RUN)
def test_a_job_has_begun_if_a_run_ended_that_was_never_listed(
    leader: _Leader, kind: ttypes.RunEndKind
) -> None:
    end = builders.run_end(_TASK, kind)
    end.has_begun = kind == ttypes.RunEndKind.CRASHED
    leader.list_runs(ends=[end])
    assert leader.waiting_count == 0


def test_a_job_waits_if_its_worker_crashed_before_it_is_known_to_have_begun(
    leader: _Leader,
) -> None:
    leader.list_runs(ends=[builders.run_end(_TASK, ttypes.RunEndKind.CRASHED)])
    assert leader.waiting_count == 1


def test_a_job_with_a_done_task_has_begun(leader: _Leader) -> None:
    leader.list_runs(ends=[builders.run_end(_TASK, ttypes.RunEndKind.DONE)])
    assert leader.waiting_count == 0


@pytest.mark.parametrize("kind", _END_KINDS_WITHOUT_A_RUN)
def test_a_job_waits_if_its_worker_never_began_the_run_that_ended(
    leader: _Leader, kind: ttypes.RunEndKind
) -> None:
    leader.list_runs(ends=[builders.run_end(_TASK, kind)])
    assert leader.waiting_count == 1
    leader.grant(2)
    assert leader.waiting_count == 1


def test_a_job_that_was_stopped_after_it_began_does_not_wait_again(
    leader: _Leader,
) -> None:
    leader.list_runs((_TASK, 1))
    leader.list_runs(ends=[builders.run_end(_TASK, ttypes.RunEndKind.STOPPED)])
    assert leader.waiting_count == 0


def test_a_later_leader_knows_from_the_log_that_a_job_has_begun(
    leader: _Leader,
) -> None:
    end = builders.run_end(
        _TASK, ttypes.RunEndKind.STOPPED, checkpoint_id="saved"
    )
    leader.list_runs(ends=[end])
    leader.change()
    assert leader.waiting_count == 0


def test_a_later_leader_counts_a_running_job_as_begun_once_it_is_listed(
    leader: _Leader,
) -> None:
    leader.list_runs((_TASK, 1))
    leader.change()
    assert leader.waiting_count == 1
    leader.list_runs((_TASK, 1))
    assert leader.waiting_count == 0


def test_jobs_that_are_over_are_forgotten() -> None:
    state = builders.State()
    begun = begun_jobs.BegunJobs()
    for number in range(5_000):
        job_id = f"j{number}"
        task = builders.task_name(0, job_id)
        state.submit(builders.job(job_id))
        state.grant(builders.grant(task))
        sample = ttypes.RunSample(task=task, run=1, percent=0, load=0)
        begun.record_listed(state.tables.jobs, [sample])
        if number:
            state.cancel(job_id)
    assert begun.remembered_count < 2_000
    assert begun.count_waiting(state.tables.jobs, builders.QUEUE) == 0
