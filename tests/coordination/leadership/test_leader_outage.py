"""Tests what callers get that submit jobs while no leader answers."""

from collections.abc import Iterator
import dataclasses
import heapq
import threading
import time

import pytest

from marigoldsill import errors
from marigoldsill.coordination.jobs import client as client_module
from marigoldsill.coordination.leadership import control_addresses
from marigoldsill.coordination.leadership import leader_outage
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import deadlines

_RETRIES_COUNT = 4


def _outage(*, began_s: float, failed_s: float) -> leader_outage.LeaderOutage:
    outage = leader_outage.LeaderOutage()
    outage.record_failure(now_s=began_s)
    outage.record_failure(now_s=failed_s)
    return outage


def test_an_outage_is_long_only_after_the_time_of_an_election() -> None:
    assert not _outage(began_s=10.0, failed_s=11.0).is_long(now_s=11.0)
    assert _outage(began_s=10.0, failed_s=12.0).is_long(now_s=12.0)


def test_an_old_failure_proves_no_outage() -> None:
    assert not _outage(began_s=10.0, failed_s=12.0).is_long(now_s=20.0)


def test_an_answer_ends_an_outage() -> None:
    outage = _outage(began_s=10.0, failed_s=12.0)
    outage.record_answer(now_s=12.1)
    assert not outage.is_long(now_s=12.1)
    assert not outage.is_ongoing
    assert outage.record_failure(now_s=12.2)


def test_the_delay_grows_with_the_age_of_the_outage_up_to_a_limit() -> None:
    outage = _outage(began_s=10.0, failed_s=12.0)
    delays_ms = [
        outage.retry_after_ms("j1", now_s=now_s) for now_s in (10.5, 13.0, 60.0)
    ]
    assert delays_ms == sorted(delays_ms)
    assert delays_ms[0] >= 1_000
    assert delays_ms[1] >= 3_000
    assert delays_ms[2] <= 6_500


def test_callers_rejected_together_return_at_different_times() -> None:
    outage = _outage(began_s=10.0, failed_s=13.0)
    delays_ms = [
        outage.retry_after_ms(f"j{number}", now_s=13.0) for number in range(40)
    ]
    assert max(delays_ms) - min(delays_ms) > 600


@dataclasses.dataclass(slots=True, order=True)
class _Attempt:
    """An attempt of a caller at a virtual time."""

    at_s: float
    caller: int
    number: int


@pytest.mark.parametrize("lasts_s", [4.0, 8.0, 12.0])
def test_callers_of_an_outage_are_told_at_once_and_served_after_it(
    lasts_s: float,
) -> None:
    """Plays ten callers a second through an outage; each retries four times."""
    outage = leader_outage.LeaderOutage()
    attempts = [
        _Attempt(at_s=0.1 * number, caller=number, number=0)
        for number in range(int(10 * lasts_s))
    ]
    heapq.heapify(attempts)
    served: set[int] = set()
    held_s: list[float] = []
    while attempts:
        attempt = heapq.heappop(attempts)
        now_s = attempt.at_s
        if now_s >= lasts_s:
            served.add(attempt.caller)
            continue
        # The entry's own search fails beside the callers' attempts.
        outage.record_failure(now_s=now_s)
        waits_s = 0.0 if outage.is_long(now_s=now_s) else 1.4
        held_s.append(waits_s)
        if now_s + waits_s >= lasts_s:
            served.add(attempt.caller)
        elif attempt.number < _RETRIES_COUNT:
            delay_ms = outage.retry_after_ms(
                f"j{attempt.caller}", now_s=now_s + waits_s
            )
            at_s = now_s + waits_s + delay_ms / 1000
            heapq.heappush(
                attempts, _Attempt(at_s, attempt.caller, attempt.number + 1)
            )
    assert len(served) == int(10 * lasts_s)
    assert sum(held_s) <= 1.4 * 15


class _Control:
    """Answers of control in place of real calls: none until it is back."""

    def __init__(self):
        self.is_back = threading.Event()
        self.submitted: list[str] = []

    def call_once(
        self, method: str, requests: tuple, _timeout_s: float
    ) -> ttypes.JobReply:
        if not self.is_back.is_set():
            time.sleep(0.02)
            raise errors.NoQuorumError("no leader", retry_after_ms=500)
        if method == "submit_job":
            self.submitted.append(requests[1].job_id)
        return ttypes.JobReply(outcome=ttypes.JobOutcome.ACCEPTED)


@pytest.fixture(name="control")
def _control() -> _Control:
    return _Control()


@pytest.fixture(name="client")
def _client(
    control: _Control, monkeypatch: pytest.MonkeyPatch
) -> Iterator[client_module.JobClient]:
    client = client_module.JobClient(
        addresses=control_addresses.ControlAddresses(["127.0.0.1:1"])
    )
    monkeypatch.setattr(client, "_call_once", control.call_once)
    yield client
    client.close()


def _submit(client: client_module.JobClient, job_id: str) -> ttypes.JobReply:
    return client.submit(
        ttypes.JobAddress(host="jobs.example", path=f"/fast/{job_id}"),
        ttypes.Job(job_id=job_id),
        context=client_module.CallContext(
            deadlines.Deadline(time.monotonic() + 2.9)
        ),
    )


def _rejection_s(client: client_module.JobClient, job_id: str) -> float:
    begin_s = time.monotonic()
    with pytest.raises(errors.NoQuorumError) as caught:
        _submit(client, job_id)
    assert caught.value.retry_after_ms >= 1_000
    return time.monotonic() - begin_s


def test_a_submission_is_rejected_at_once_in_a_long_outage(
    client: client_module.JobClient, control: _Control
) -> None:
    """Guards against callers that wait for a leader that surely does not come soon.

    Each submission was held for the time of an election, however long control had
    been down, and its caller lost that time for another attempt.
    """
    assert _rejection_s(client, "j1") > 1.0
    # The entry's own attempts prove that the outage goes on, without any caller.
    time.sleep(2.0)
    assert _rejection_s(client, "j2") < 0.5
    assert control.submitted == []


def test_a_new_leader_is_noticed_without_a_caller(
    client: client_module.JobClient, control: _Control
) -> None:
    _rejection_s(client, "j1")
    time.sleep(1.0)
    control.is_back.set()
    time.sleep(1.0)
    assert _submit(client, "j2").outcome == ttypes.JobOutcome.ACCEPTED
    assert control.submitted == ["j2"]


def test_a_search_ends_when_no_caller_has_come_for_some_time(
    client: client_module.JobClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_module, "_CALLERS_LIMIT_S", 1.6)
    _rejection_s(client, "j1")
    time.sleep(1.0)
    assert not client._outage.is_ongoing


def test_a_closed_client_ends_its_search(
    client: client_module.JobClient,
) -> None:
    _rejection_s(client, "j1")
    client.close()
    client._search_pool.shutdown(wait=True)
