"""Tests of an agent's admission control."""

from concurrent import futures
import dataclasses
import itertools
import threading
import time

import pytest

from marigoldsill import settings
from marigoldsill.coordination.requests import admission as admission_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import deadlines

_LONG_S = 20.0


def _create_admission(
    *, queue_count: int = 1, **services: int
) -> admission_module.AdmissionController:
    admission = admission_module.AdmissionController(queue_count=queue_count)
    admission.replace_endpoints(
        [
            ttypes.EndpointInfo(
                service_name=service,
                address=f"127.0.0.1:{number}",
                slots_count=slots,
                connections_count=60,
                task=f"{service}/0",
            )
            for number, (service, slots) in enumerate(services.items(), 1)
        ]
    )
    return admission


def _acquire(
    admission,
    service: str = "a",
    budget_s: float = _LONG_S,
    *,
    idempotent: bool = True,
):
    return admission.acquire(
        service,
        deadline=deadlines.Deadline.after(budget_s),
        idempotent=idempotent,
        register_cancel=lambda cancel: None,
    )


def _refusal_reason(call) -> ttypes.RefusalReason:
    with pytest.raises(ttypes.Refused) as caught:
        call()
    return caught.value.reason


def _wait_until_queued(admission, count: int = 1) -> None:
    end_s = time.monotonic() + _LONG_S
    while admission.request_counts()[1] < count:
        assert time.monotonic() < end_s
        time.sleep(0.005)


def test_full_queue_refuses_at_once_with_a_retry_after_time():
    admission = _create_admission(a=1)
    slots = _acquire(admission)
    admission.release(
        "a", slots, busy_s=2.0, is_answered=True, is_unreachable=False
    )
    _acquire(admission)
    with futures.ThreadPoolExecutor(1) as pool:
        queued = pool.submit(_acquire, admission)
        _wait_until_queued(admission)
        with pytest.raises(ttypes.Refused) as caught:
            _acquire(admission)
        assert caught.value.reason == ttypes.RefusalReason.OVERLOADED
        # One slot, with two requests of 2 s each: one in flight, one queued.
        assert caught.value.retry_after_ms == 4000
        admission.release(
            "a", slots, busy_s=2.0, is_answered=True, is_unreachable=False
        )
        assert queued.result() is slots


def test_request_is_refused_at_once_if_its_wait_exceeds_the_deadline():
    admission = _create_admission(a=1)
    admission.release(
        "a",
        _acquire(admission),
        busy_s=40.0,
        is_answered=True,
        is_unreachable=False,
    )
    _acquire(admission)
    reason = _refusal_reason(lambda: _acquire(admission, budget_s=_LONG_S))
    assert reason == ttypes.RefusalReason.TOO_LATE
    assert admission.request_counts() == (1, 0)


def test_full_service_does_not_affect_another_service():
    admission = _create_admission(a=1, b=1)
    _acquire(admission, "a")
    assert _acquire(admission, "b").info.service_name == "b"


def test_drain_refuses_new_and_queued_requests():
    admission = _create_admission(a=1)
    _acquire(admission)
    with futures.ThreadPoolExecutor(1) as pool:
        queued = pool.submit(_acquire, admission)
        _wait_until_queued(admission)
        admission.set_draining("stop", draining=True)
        assert _refusal_reason(queued.result) == ttypes.RefusalReason.DRAINING
    assert (
        _refusal_reason(lambda: _acquire(admission))
        == ttypes.RefusalReason.DRAINING
    )
    assert [e.draining for e in admission.announced_endpoints()] == [True]
    admission.set_draining("configuration", draining=False)
    assert admission.is_draining


def test_draining_run_gets_no_new_requests():
    admission = _create_admission(a=2)
    _acquire(admission)
    assert admission.drain_task("a/0") == 1
    assert (
        _refusal_reason(lambda: _acquire(admission))
        == ttypes.RefusalReason.DRAINING
    )


def test_cancelled_request_is_removed_from_the_queue():
    admission = _create_admission(a=1)
    _acquire(admission)
    cancels = []
    with futures.ThreadPoolExecutor(1) as pool:
        queued = pool.submit(
            admission.acquire,
            "a",
            deadline=deadlines.Deadline.after(_LONG_S),
            idempotent=True,
            register_cancel=cancels.append,
        )
        _wait_until_queued(admission)
        while not cancels:
            time.sleep(0.005)
        cancels[0]()
        assert _refusal_reason(queued.result) == ttypes.RefusalReason.CANCELLED
    assert admission.request_counts() == (1, 0)


def test_requests_in_flight_never_exceed_the_slots():
    admission = admission_module.AdmissionController(queue_count=100)
    admission.replace_endpoints(_create_admission(a=3).announced_endpoints())
    lock = threading.Lock()
    in_flight, maximum = [0], [0]

    def run_request() -> None:
        slots = _acquire(admission)
        with lock:
            in_flight[0] += 1
            maximum[0] = max(maximum[0], in_flight[0])
        time.sleep(0.002)
        with lock:
            in_flight[0] -= 1
        admission.release(
            "a", slots, busy_s=0.002, is_answered=True, is_unreachable=False
        )

    with futures.ThreadPoolExecutor(20) as pool:
        list(pool.map(lambda _: run_request(), range(60)))
    assert maximum[0] == 3
    assert admission.request_counts() == (0, 0)


def _release(admission, slots, *, busy_s: float, is_answered: bool = True):
    admission.release(
        "a",
        slots,
        busy_s=busy_s,
        is_answered=is_answered,
        is_unreachable=False,
    )


def test_keyed_request_that_cannot_be_answered_in_time_is_not_begun() -> None:
    # It was begun in a free slot and cut off, and its key stayed unknown for ever.
    admission = _create_admission(a=2)
    for busy_s in (0.6, 0.4, 0.5):
        _release(admission, _acquire(admission), busy_s=busy_s)
    reason = _refusal_reason(
        lambda: _acquire(admission, budget_s=0.3, idempotent=False)
    )
    assert reason == ttypes.RefusalReason.TOO_LATE
    assert admission.request_counts() == (0, 0)
    for idempotent, budget_s in ((False, 0.45), (True, 0.3)):
        assert _acquire(admission, budget_s=budget_s, idempotent=idempotent)


def test_keyed_request_whose_slot_comes_too_late_is_not_begun() -> None:
    admission = _create_admission(a=1)
    _release(admission, _acquire(admission), busy_s=0.2)
    slots = _acquire(admission)
    with futures.ThreadPoolExecutor(1) as pool:
        queued = pool.submit(
            _acquire, admission, budget_s=0.65, idempotent=False
        )
        _wait_until_queued(admission)
        time.sleep(0.5)
        _release(admission, slots, busy_s=0.5)
        assert _refusal_reason(queued.result) == ttypes.RefusalReason.TOO_LATE
    assert admission.request_counts() == (0, 0)


def test_keyed_requests_are_begun_again_when_answers_are_old(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    admission = _create_admission(a=1)
    _release(admission, _acquire(admission), busy_s=5.0)
    now_s = time.monotonic()
    monkeypatch.setattr(time, "monotonic", lambda: now_s + 11.0)
    assert _acquire(admission, budget_s=0.3, idempotent=False)


def test_request_that_was_cut_off_does_not_count_as_a_fast_answer() -> None:
    admission = _create_admission(a=1)
    _release(admission, _acquire(admission), busy_s=0.5)
    _release(admission, _acquire(admission), busy_s=0.1, is_answered=False)
    reason = _refusal_reason(
        lambda: _acquire(admission, budget_s=0.3, idempotent=False)
    )
    assert reason == ttypes.RefusalReason.TOO_LATE


def _default_queue_count() -> int:
    [field] = (
        f
        for f in dataclasses.fields(settings.AgentSettings)
        if f.name == "queue_count"
    )
    return field.default


@pytest.mark.parametrize(
    ("work_s", "budget_s", "queued_count"), [(0.05, 1.5, 50), (0.2, 1.1, 26)]
)
def test_default_queue_takes_what_can_be_answered_in_time(
    monkeypatch: pytest.MonkeyPatch,
    work_s: float,
    budget_s: float,
    queued_count: int,
) -> None:
    # With 20 at most, requests were refused that would have waited 0.2 of 1.5 s.
    now_s = time.monotonic()
    monkeypatch.setattr(time, "monotonic", lambda: now_s)
    admission = _create_admission(queue_count=_default_queue_count(), a=10)
    _release(admission, _acquire(admission), busy_s=work_s)
    with futures.ThreadPoolExecutor(60) as pool:
        burst = [
            pool.submit(_acquire, admission, "a", budget_s) for _ in range(60)
        ]
        decided = itertools.islice(
            futures.as_completed(burst), 60 - queued_count
        )
        refused = [c for c in decided if c.exception() is not None]
        counts = admission.request_counts()
        admission.set_draining("stop", draining=True)
    assert counts == (10, queued_count)
    assert {c.exception().reason for c in refused} <= {
        ttypes.RefusalReason.TOO_LATE
    }
