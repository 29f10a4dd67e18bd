"""Tests of clients that leave before an answer and cancel elsewhere."""

from collections.abc import Iterator
import random
import socket
import threading

import pytest

from soak import cancellations
from soak import faults
from soak import history as history_module
from soak import invariants
from soak import leaving_clients
from soak import machines as machines_module
from soak import misbehaviour_plans
from soak import workload as workload_module
from tests import soak_histories as histories
from tests.platform import system as system_module

_MACHINES = machines_module.Machines(
    members=("edge-1", "edge-2", "edge-3"),
    stateless_edges=("edge-4", "edge-5", "edge-6"),
    sides=("side-1", "side-2", "side-3"),
)
_SEEDS = range(20)
_DURATION_S = 30.0
_TIMEOUT_S = 5.0


class _ListeningSystem:
    """Two edges at one address, which answer submissions and cancellations.

    Attributes:
        edges: Where each submission and each cancellation went.
        has_left: Whether each client had closed its connection when it cancelled.
    """

    def __init__(self, submission_status: int, cancellation_status: int):
        self.edges: list[tuple[str, str]] = []
        self.has_left: list[bool] = []
        self._submission_status = submission_status
        self._cancellation_status = cancellation_status
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._received = threading.Event()
        self._ended = threading.Event()
        threading.Thread(target=self._serve, daemon=True).start()

    def running_edges(self) -> list[str]:
        return ["edge-1", "edge-2"]

    def client_address(self, edge: str) -> str:
        self.edges.append(("POST", edge))
        self._received.clear()
        self._ended.clear()
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def call(
        self, method: str, _path: str, _body: object = None, *, edge: str
    ) -> system_module.Answer:
        if method == "POST":
            return system_module.Answer(self._submission_status, {})
        self.edges.append((method, edge))
        self._received.wait(_TIMEOUT_S)
        self.has_left.append(self._ended.wait(0.1))
        return system_module.Answer(self._cancellation_status, {})

    def stop(self) -> None:
        self._listener.close()

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection:
                connection.settimeout(_TIMEOUT_S)
                answer = f"HTTP/1.1 {self._submission_status} .\r\n\r\n"
                try:
                    connection.recv(65_536)
                    self._received.set()
                    connection.sendall(answer.encode())
                    connection.recv(1)
                except OSError:
                    pass
                self._ended.set()


@pytest.fixture
def make_system() -> Iterator:
    made = []

    def make(
        submission_status: int, cancellation_status: int
    ) -> _ListeningSystem:
        made.append(_ListeningSystem(submission_status, cancellation_status))
        return made[-1]

    yield make
    for each in made:
        each.stop()


def _visit(
    monkeypatch: pytest.MonkeyPatch,
    system: _ListeningSystem,
    *,
    leaves_after_s: float | None,
    repeats: bool = False,
) -> history_module.SubmittedJob:
    visit = leaving_clients.Visit(leaves_after_s, True, 0.0, repeats)
    monkeypatch.setattr(leaving_clients, "draw_visit", lambda _: visit)
    workload = workload_module.Workload(system, seed=1)
    leaving_clients.submit_and_cancel(workload, "a", random.Random(1))
    (job,) = workload.jobs
    return job


def test_a_client_that_leaves_does_so_before_it_cancels_at_another_edge(
    monkeypatch: pytest.MonkeyPatch, make_system
) -> None:
    system = make_system(200, 200)
    job = _visit(monkeypatch, system, leaves_after_s=0.0)
    (_, submitted), (_, cancelled) = system.edges
    assert submitted != cancelled
    assert system.has_left == [True]
    assert not job.refused


@pytest.mark.parametrize(
    ("status", "is_accepted", "is_refused"),
    [(200, True, False), (429, False, True), (502, False, False)],
)
def test_the_answer_to_a_client_that_stays_is_recorded(
    monkeypatch: pytest.MonkeyPatch,
    make_system,
    status: int,
    is_accepted: bool,
    is_refused: bool,
) -> None:
    system = make_system(status, 410)
    job = _visit(monkeypatch, system, leaves_after_s=None)
    assert system.has_left == [False]
    assert (job.accepted, job.refused) == (is_accepted, is_refused)
    assert job.cancelled_unknown


def test_an_acknowledged_cancellation_means_that_the_job_is_known(
    monkeypatch: pytest.MonkeyPatch, make_system
) -> None:
    job = _visit(monkeypatch, make_system(200, 200), leaves_after_s=0.0)
    assert job.accepted
    assert job.is_unfinished
    assert not job.cancelled_unknown


def test_a_job_that_is_accepted_after_its_cancellation_is_found(
    monkeypatch: pytest.MonkeyPatch, make_system
) -> None:
    job = _visit(
        monkeypatch, make_system(200, 410), leaves_after_s=0.0, repeats=True
    )
    assert cancellations.unknown_jobs_that_ran(histories.history(job))


def test_every_kind_of_client_is_drawn() -> None:
    numbers = random.Random(1)
    visits = [leaving_clients.draw_visit(numbers) for _ in range(200)]
    leaving_s = {visit.leaves_after_s for visit in visits}
    assert {None, 0.0} < leaving_s
    assert max(filter(None, leaving_s)) <= 0.1
    assert {visit.resets for visit in visits} == {False, True}
    assert {visit.repeats for visit in visits} == {False, True}
    assert max(visit.cancels_after_s for visit in visits) <= 0.3


@pytest.mark.parametrize("seed", _SEEDS)
def test_pauses_affect_one_edge_without_a_disk_at_a_time(seed: int) -> None:
    plan = [
        item
        for item in misbehaviour_plans.draw(
            seed, duration_s=_DURATION_S, machines=_MACHINES
        )
        if isinstance(item.fault, faults.ProcessPause)
    ]
    assert len(plan) >= _DURATION_S / 5
    assert {i.fault.process for i in plan} <= set(_MACHINES.stateless_edges)
    ends_s = [item.at_s + item.duration_s for item in plan]
    assert all(
        end_s < item.at_s for end_s, item in zip(ends_s, plan[1:], strict=False)
    )


def _cancelled_unknown(*lines: dict, **fields: object):
    job = histories.submitted_job(
        accepted=False,
        cancelling=True,
        cancelled_unknown=True,
        cancel_sent_ns=histories.ns(19),
        cancel_acknowledged_ns=histories.ns(20),
    )
    for name, value in fields.items():
        setattr(job, name, value)
    return histories.history(job, *lines)


def test_a_job_that_was_cancelled_as_unknown_and_never_ran_is_valid() -> None:
    assert invariants.violations(_cancelled_unknown()) == []


@pytest.mark.parametrize(
    "history",
    [
        # Within the bound of acknowledged cancellations, too.
        _cancelled_unknown(*histories.run_lines(21, 22)),
        _cancelled_unknown(*histories.run_lines(2, 3)),
        _cancelled_unknown(accepted=True, state="cancelled"),
    ],
)
def test_a_job_that_was_cancelled_as_unknown_and_ran_or_was_accepted_is_found(
    history: history_module.History,
) -> None:
    assert invariants.violations(history)
