"""Tests an entry's calls to the leader when no leader answers."""

import socket
import time

import pytest

from marigoldsill import errors
from marigoldsill.coordination.jobs import client as client_module
from marigoldsill.coordination.leadership import control_addresses
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import deadlines
from tests import one_process

_TIMEOUT_S = 60.0


def test_a_call_fails_before_its_deadline_if_no_leader_is_found() -> None:
    client = client_module.JobClient(
        addresses=control_addresses.ControlAddresses(
            [one_process.free_address()]
        )
    )
    deadline = deadlines.Deadline(time.monotonic() + _TIMEOUT_S)
    with pytest.raises(errors.NoQuorumError) as caught:
        client.submit(
            ttypes.JobAddress(host="jobs.example", path="/fast/1"),
            ttypes.Job(job_id="1"),
            context=client_module.CallContext(deadline),
        )
    assert caught.value.retry_after_ms
    assert deadline.remaining_s() > _TIMEOUT_S / 2


def test_a_call_with_unknown_outcome_fails_before_its_deadline() -> None:
    with socket.create_server(("127.0.0.1", 0)) as unresponsive:
        port = unresponsive.getsockname()[1]
        client = client_module.JobClient(
            addresses=control_addresses.ControlAddresses([f"127.0.0.1:{port}"])
        )
        deadline = deadlines.Deadline(time.monotonic() + _TIMEOUT_S)
        with pytest.raises(errors.UnknownOutcomeError):
            client.submit(
                ttypes.JobAddress(host="jobs.example", path="/fast/1"),
                ttypes.Job(job_id="1"),
                context=client_module.CallContext(deadline),
            )
    assert deadline.remaining_s() > _TIMEOUT_S / 2


class _ElectionTime:
    """Answers of control around a change of leader, in place of real calls.

    Attributes:
        calls: The ids of the jobs that were handed in.
    """

    def __init__(
        self, *, first_failure: errors.MarigoldsillError, lasts_s: float
    ):
        self.calls: list[str] = []
        self._first_failure = first_failure
        self._end_s = time.monotonic() + lasts_s

    def call_once(
        self, _method: str, requests: tuple, timeout_s: float
    ) -> ttypes.JobReply:
        self.calls.append(requests[1].job_id)
        if time.monotonic() >= self._end_s:
            return ttypes.JobReply(outcome=ttypes.JobOutcome.ACCEPTED)
        time.sleep(min(timeout_s, 0.1))
        if len(self.calls) == 1:
            raise self._first_failure
        raise errors.NoQuorumError("no leader of control", retry_after_ms=500)


def _submit(
    monkeypatch: pytest.MonkeyPatch,
    election: _ElectionTime,
    **context: object,
) -> ttypes.JobReply:
    client = client_module.JobClient(
        addresses=control_addresses.ControlAddresses(["127.0.0.1:1"])
    )
    monkeypatch.setattr(client, "_call_once", election.call_once)
    return client.submit(
        ttypes.JobAddress(host="jobs.example", path="/fast/1"),
        ttypes.Job(job_id="1"),
        context=client_module.CallContext(
            deadlines.Deadline(time.monotonic() + 2.9), **context
        ),
    )


def test_a_job_that_may_have_been_accepted_is_settled_by_the_next_leader(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an unknown outcome that the job's id could have settled.

    A leader was lost after it was sent a job. The entry gave up before the next one
    was elected, and the caller was told that the job might or might not run.
    """
    election = _ElectionTime(
        first_failure=errors.UnknownOutcomeError("the leader was lost"),
        lasts_s=2.2,
    )
    reply = _submit(monkeypatch, election)
    assert reply.outcome == ttypes.JobOutcome.ACCEPTED
    assert set(election.calls) == {"1"}


def test_a_job_that_reached_nobody_is_rejected_early(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    election = _ElectionTime(
        first_failure=errors.NoQuorumError("nobody", retry_after_ms=500),
        lasts_s=60.0,
    )
    begin_s = time.monotonic()
    with pytest.raises(errors.NoQuorumError) as caught:
        _submit(monkeypatch, election)
    assert caught.value.retry_after_ms
    assert time.monotonic() - begin_s < 2.0


@pytest.mark.parametrize(
    "failure",
    [
        errors.NoQuorumError("nobody", retry_after_ms=500),
        errors.UnknownOutcomeError("the leader was lost"),
    ],
)
def test_a_job_is_not_sent_any_more_once_its_caller_has_left(
    monkeypatch: pytest.MonkeyPatch, failure: errors.MarigoldsillError
) -> None:
    """Guards against a job that is accepted after its caller cancelled it elsewhere."""
    election = _ElectionTime(first_failure=failure, lasts_s=0.5)
    with pytest.raises(
        (errors.NotRunError, errors.UnknownOutcomeError)
    ) as caught:
        _submit(
            monkeypatch, election, is_abandoned=lambda: bool(election.calls)
        )
    assert election.calls == ["1"]
    is_unknown = isinstance(failure, errors.UnknownOutcomeError)
    assert (caught.value is failure) == is_unknown


def test_a_read_without_an_answer_is_reported_as_not_done() -> None:
    """Guards against reads that are answered as if they might have changed something.

    A member without a majority answered a read later than the timeout of one
    attempt. The entry then reported an unknown outcome (502), although nothing was
    done and the caller could have tried another process (503).
    """
    with socket.create_server(("127.0.0.1", 0)) as unresponsive:
        port = unresponsive.getsockname()[1]
        client = client_module.JobClient(
            addresses=control_addresses.ControlAddresses([f"127.0.0.1:{port}"])
        )
        deadline = deadlines.Deadline(time.monotonic() + 0.9)
        context = client_module.CallContext(deadline)
        address = ttypes.JobAddress(host="jobs.example", path="/fast/1")
        with pytest.raises(errors.NoQuorumError) as caught:
            client.get_routing(context=context)
        assert caught.value.retry_after_ms
        with pytest.raises(errors.NoQuorumError):
            client.get_state(address, context=context)
        with pytest.raises(errors.NoQuorumError):
            client.count_pending(address, context=context)


def test_a_repeated_call_tells_the_leader_since_when_it_is_repeated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    ages_ms: list[int] = []
    client = client_module.JobClient(
        addresses=control_addresses.ControlAddresses(["127.0.0.1:1"])
    )

    def call_once(
        _method: str, requests: tuple, _timeout_s: float
    ) -> ttypes.JobReply:
        ages_ms.append(requests[0].call_age_ms)
        if len(ages_ms) < 3:
            time.sleep(0.1)
            raise errors.UnknownOutcomeError("the leader was lost")
        return ttypes.JobReply(outcome=ttypes.JobOutcome.ACCEPTED)

    monkeypatch.setattr(client, "_call_once", call_once)
    client.submit(
        ttypes.JobAddress(host="jobs.example", path="/fast/1"),
        ttypes.Job(job_id="1"),
        context=client_module.CallContext(
            deadlines.Deadline(time.monotonic() + 2.9)
        ),
    )
    client.close()
    assert ages_ms[0] < 100 <= ages_ms[1] < ages_ms[2]
