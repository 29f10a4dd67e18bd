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
    assert _outage(began_s=10.0, failed_s=15.0).is_long(now_s=15.0)


def test_an_old_failure_proves_no_outage() -> None:
    assert not _outage(began_s=10.0, failed_s=15.0).is_long(now_s=20.0)


def test_an_answer_ends_an_outage() -> None:
    outage = _outage(began_s=10.0, failed_s=15.0)
    outage.record_answer(now_s=15.1)
    assert not outage.is_long(now_s=15.1)
    assert not outage.is_ongoing
    assert outage.record_failure(now_s=15.2)


def test_callers_of_long_jobs_return_later() -> None:
    delays_ms = [
        leader_outage.retry_after_ms("j1", run_time_ms=run_time_ms)
        for run_time_ms in (0.0, 2_000.0, 5_000.0, 600_000.0)
    ]
    assert delays_ms == sorted(delays_ms)
    assert 1_000 <= delays_ms[1] < 2_000 < delays_ms[2]
    assert delays_ms[3] < 6_000


def test_callers_rejected_together_return_at_different_times() -> None:
    delays_ms = [
        leader_outage.retry_after_ms(f"j{number}", run_time_ms=4_000.0)
        for number in range(40)
    ]
    assert max(delays_ms) - min(delays_ms) > 400


@dataclasses.dataclass(slots=True, order=True)
class _Attempt:
    """An attempt of a caller at a virtual time."""

    at_s: float
    caller: int
    number: int


def _play_outage(*, lasts_s: float, run_time_ms: float) -> "_Played":
    """Plays ten callers a second through an outage; each retries four times."""
    outage = leader_outage.LeaderOutage()
    callers_count = int(10 * lasts_s)
    attempts = [
        _Attempt(at_s=0.1 * number, caller=number, number=0)
        for number in range(callers_count)
    ]
    heapq.heapify(attempts)
    played = _Played(callers_count)
    while attempts:
        attempt = heapq.heappop(attempts)
        now_s = attempt.at_s
        # The entry's own search fails beside the callers' attempts.
        if now_s < lasts_s:
            outage.record_failure(now_s=now_s)
        held_s = 0.0
        if not outage.is_long(now_s=now_s):
            held_s = leader_outage.ELECTION_LIMIT_S
        if now_s + held_s >= lasts_s:
            played.waits_s.append(max(0.0, now_s - lasts_s))
            continue
        played.latest_hold_s = now_s if held_s else played.latest_hold_s
        if attempt.number < _RETRIES_COUNT:
            delay_ms = leader_outage.retry_after_ms(
                f"j{attempt.caller}", run_time_ms=run_time_ms
            )
            at_s = now_s + held_s + delay_ms / 1000
            heapq.heappush(
                attempts, _Attempt(at_s, attempt.caller, attempt.number + 1)
            )
    return played


@dataclasses.dataclass(slots=True)
class _Played:
    """What callers of an outage got.

    Attributes:
        callers_count: Number of callers that came during the outage.
        waits_s: From the end of the outage to the return of each caller served.
        latest_hold_s: When a caller was last held although no leader came.
    """

    callers_count: int
    waits_s: list[float] = dataclasses.field(default_factory=list)
    latest_hold_s: float = 0.0


@pytest.mark.parametrize("lasts_s", [4.0, 8.0, 12.0, 16.0])
def test_callers_of_long_jobs_are_all_served_after_an_outage(
    lasts_s: float,
) -> None:
    played = _play_outage(lasts_s=lasts_s, run_time_ms=8_800.0)
    assert len(played.waits_s) == played.callers_count
    assert played.latest_hold_s <= 4.0


def test_callers_of_short_jobs_return_soon_after_an_outage() -> None:
    played = _play_outage(lasts_s=7.0, run_time_ms=2_000.0)
    assert len(played.waits_s) == played.callers_count
    assert max(played.waits_s) < 2.0


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
    """Guards against callers that wait for a leader that hardly comes soon.

    Each submission was held for the time of an election, however long control had
    been down.
    """
    assert _rejection_s(client, "j1") > 1.0
    # The entry's own attempts prove that the outage goes on, without any caller.
    time.sleep(4.0)
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
