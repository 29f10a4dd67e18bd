"""Tests that runs which were over as their worker crashed do not fail their job."""

from collections.abc import Callable

import pytest

from marigoldsill import errors
from marigoldsill.protocol import run_worker
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from tests.coordination.jobs import builders
from tests.coordination.jobs import fake_worker
from tests.coordination.jobs import stepped_agent

_TASK = builders.task_name()
_CRASHES_LIMIT = 5
_REFUSED_CONNECTION = errors.TransportError("refused", sent=False, refused=True)
_UNWELL = errors.WorkerUnwellError("503")

Happening = Callable[["_Host"], None]


class _WaitingWorker(fake_worker.FakeWorker):
    """A worker that crashes while a renewal waits for an end of a run.

    Attributes:
        clock: The clock, which goes on while the renewal waits.
        wait_s: How long the next renewal takes until it fails; 0 to answer.
        error: What the next renewal raises.
    """

    def __init__(self, host_clock: "_Clock"):
        super().__init__()
        self.clock = host_clock
        self.wait_s = 0.0
        self.error: errors.MarigoldsillError = fake_worker.BROKEN_CONNECTION

    def renew_lease(
        self, worker_id: str, **arguments: object
    ) -> run_worker.RunListing:
        """Lists runs, or waits for an end and fails."""
        wait_s, self.wait_s = self.wait_s, 0.0
        if not wait_s:
            return super().renew_lease(worker_id, **arguments)
        self.clock.pass_time(wait_s)
        raise self.error


class _Clock:
    """A clock that only a test moves on."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch):
        self._now_s = clock.now_s()
        monkeypatch.setattr(clock, "now_s", lambda: self._now_s)

    def pass_time(self, duration_s: float) -> None:
        self._now_s += duration_s


class _Host:
    """An agent and its worker, which has a run of a task at work."""

    def __init__(self, host_clock: _Clock, run: int):
        self.key = (_TASK, run)
        self.clock = host_clock
        self.worker = _WaitingWorker(host_clock)
        self.agent = stepped_agent.make_agent(self.worker)
        self.agent.receive_order(stepped_agent.RUN, key=self.key)
        self.agent.run_until_settled()

    def fail_renewal(
        self, wait_s: float, error: errors.MarigoldsillError
    ) -> None:
        """Lets a renewal fail after it has waited."""
        self.worker.wait_s = wait_s
        self.worker.error = error
        self.agent.call_incarnations(rounds_count=1)

    def end_run(self) -> None:
        """Ends the run; the agent does not read that yet."""
        self.worker.end_run(self.key, ttypes.RunEndKind.DONE)

    def crash(self) -> ttypes.RunEnd:
        """Restarts the worker; returns the end that the agent reports."""
        self.worker.restart("a1-incarnation2")
        self.agent.crash_worker()
        return self.agent.state.ends[self.key]


@pytest.fixture
def host_clock(monkeypatch: pytest.MonkeyPatch) -> _Clock:
    return _Clock(monkeypatch)


def _crashes_until_failed(host_clock: _Clock, happen: Happening) -> int:
    """Returns how many crashes of workers that are the same fail a job."""
    state = builders.State()
    state.submit(builders.job())
    for run in range(1, 10):
        grant = builders.grant(_TASK, run, f"a{run}")
        assert state.grant(grant) == 1
        host = _Host(host_clock, run)
        happen(host)
        state.end(host.crash())
        if state.state_of() == ttypes.JobState.FAILED:
            return run
    return 0


def _be_done_unread(host: _Host) -> None:
    host.end_run()
    host.clock.pass_time(0.08)


def _be_done_while_renewals_are_refused(host: _Host) -> None:
    for _ in range(3):
        host.fail_renewal(0.01, _UNWELL)
    host.end_run()
    host.fail_renewal(0.01, _UNWELL)


def _be_done_while_cut_off(host: _Host) -> None:
    host.fail_renewal(1.5, fake_worker.NO_ANSWER)
    host.end_run()


def _be_done_after_a_reset(host: _Host) -> None:
    host.fail_renewal(0.5, fake_worker.BROKEN_CONNECTION)
    host.fail_renewal(0.01, _UNWELL)
    host.end_run()
    host.clock.pass_time(0.1)


@pytest.mark.parametrize(
    "happen",
    [
        _be_done_unread,
        _be_done_while_renewals_are_refused,
        _be_done_while_cut_off,
        _be_done_after_a_reset,
    ],
)
def test_job_is_not_failed_for_crashes_after_unread_ends_of_its_task(
    host_clock: _Clock, happen: Happening
) -> None:
    """Guards against a sound job lost since its workers crash for another reason."""
    assert _crashes_until_failed(host_clock, happen) == _CRASHES_LIMIT


def _crash_at_startup(host: _Host) -> None:
    host.clock.pass_time(0.02)


def _crash_while_a_renewal_waits(host: _Host) -> None:
    host.fail_renewal(0.9, fake_worker.BROKEN_CONNECTION)


def _crash_and_be_away(host: _Host) -> None:
    host.fail_renewal(0.9, fake_worker.BROKEN_CONNECTION)
    for _ in range(5):
        host.fail_renewal(0.01, _REFUSED_CONNECTION)


def _crash_while_a_renewal_waits_and_is_sent_again(host: _Host) -> None:
    host.fail_renewal(0.9, errors.OtherWorkerError("421"))


@pytest.mark.parametrize(
    "happen",
    [
        _crash_at_startup,
        _crash_while_a_renewal_waits,
        _crash_and_be_away,
        _crash_while_a_renewal_waits_and_is_sent_again,
    ],
)
def test_task_that_is_at_work_at_two_crashes_fails_its_job(
    host_clock: _Clock, happen: Happening
) -> None:
    assert _crashes_until_failed(host_clock, happen) == 2


@pytest.mark.parametrize(
    ("wait_s", "error"),
    [
        # Longer than the worker was to wait.
        (1.4, fake_worker.BROKEN_CONNECTION),
        # The worker may have crashed before the call.
        (0.05, fake_worker.BROKEN_CONNECTION),
        # The next incarnation may have waited.
        (0.9, errors.OtherWorkerError("other", answering_id="a1-incarnation2")),
        (0.9, fake_worker.NO_ANSWER),
    ],
)
def test_renewal_that_may_not_have_waited_shows_no_run_at_work(
    host_clock: _Clock, wait_s: float, error: errors.MarigoldsillError
) -> None:
    host = _Host(host_clock, 1)
    host.clock.pass_time(0.3)
    host.fail_renewal(wait_s, error)
    assert host.crash().unseen_ms >= 300


def test_answered_renewal_takes_back_that_one_had_broken(
    host_clock: _Clock,
) -> None:
    """Guards against connections that break long before a crash."""
    host = _Host(host_clock, 1)
    host.fail_renewal(0.9, fake_worker.BROKEN_CONNECTION)
    host.agent.renew_lease()
    host.clock.pass_time(0.4)
    assert host.crash().unseen_ms == pytest.approx(400, abs=1)
