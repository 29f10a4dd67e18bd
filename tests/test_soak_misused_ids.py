"""Tests of heartbeats of other writers under workers' ids in soaks."""

from collections.abc import Iterator
import itertools
import json
import pathlib

import pytest
from werkzeug import wrappers

from marigoldsill.transport import http_server
from soak import bounds
from soak import faults
from soak import invariants
from soak import machines as machines_module
from soak import misbehaviour_plans
from soak import misused_ids
from soak import time_spans
from standins import journal
from standins import pool_worker
from tests import one_process
from tests import soak_histories as histories

_MACHINES = machines_module.Machines(
    members=("edge-1", "edge-2", "edge-3"),
    stateless_edges=("edge-4", "edge-5", "edge-6"),
    sides=("side-1", "side-2", "side-3"),
)
_SEEDS = range(20)
_DURATION_S = 30.0


class _Agent:
    """An agent that records heartbeats and answers all with one status.

    Attributes:
        status: The status.
        heartbeats: The id and the body of each heartbeat.
    """

    def __init__(self):
        self.status = 200
        self.heartbeats: list[tuple[str, dict]] = []
        self._server = http_server.HttpServer(
            address="127.0.0.1:0", app=self._application, threads_count=2
        )
        self._server.start()
        self.address = self._server.address

    def stop(self) -> None:
        self._server.stop()

    @wrappers.Request.application
    def _application(self, request: wrappers.Request) -> wrappers.Response:
        worker_id = request.path.rpartition("/")[2]
        self.heartbeats.append((worker_id, json.loads(request.get_data())))
        return wrappers.Response("{}", status=self.status)


@pytest.fixture
def agent() -> Iterator[_Agent]:
    agent = _Agent()
    yield agent
    agent.stop()


@pytest.fixture
def worker(
    agent: _Agent, tmp_path: pathlib.Path
) -> Iterator[pool_worker.PoolWorker]:
    worker = pool_worker.PoolWorker(
        address="127.0.0.1:0",
        control_address=agent.address,
        pool="desk",
        data_centre="z1",
        labels=["a"],
        cpu_millicores=8_000,
        journal=journal.Journal(str(tmp_path / "journal")),
        sends_born=True,
    )
    worker.faults.skips_heartbeats = True
    worker.start()
    yield worker
    worker.stop()


def test_a_writer_sends_the_workers_heartbeats_with_one_change_several_times(
    agent: _Agent, worker: pool_worker.PoolWorker
) -> None:
    own = worker.build_heartbeat(1)
    changes = set()
    for seed in range(40):
        sender = misused_ids.MisusedIdSender(
            agent.address, worker=worker, seed=seed
        )
        agent.heartbeats.clear()
        sender.send_random()
        assert len(agent.heartbeats) >= 3
        assert {each[0] for each in agent.heartbeats} == {worker.incarnation}
        bodies = [body for _, body in agent.heartbeats]
        sequences = [body["sequence"] for body in bodies]
        assert len(set(map(str, sequences))) in (1, len(bodies))
        changed = {
            name
            for name, value in bodies[0].items()
            if value != own[name] and name not in ("clock_ms", "sequence")
        }
        assert changed <= {"service", "state"} or len(changed) == 1
        changes |= changed
    assert changes >= {"service", "address", "zone", "capacity", "state"}


def test_a_writer_draws_services_addresses_and_mistyped_fields(
    worker: pool_worker.PoolWorker,
) -> None:
    senders = [
        misused_ids.MisusedIdSender("127.0.0.1:1", worker=worker, seed=seed)
        for seed in _SEEDS
    ]
    by_sender = [[s.draw_change() for _ in range(40)] for s in senders]
    drawn = [change for changes in by_sender for change in changes]
    assert {"address": "127.0.0.1:1"} in drawn
    assert {"service": "no-pool", "state": "ready"} in drawn
    assert {"service": "no-pool", "state": "draining"} in drawn
    assert {"capacity": None} in drawn
    for changes in by_sender:
        is_service = [each.get("service") == "no-pool" for each in changes]
        assert all(is_service) or not any(is_service)


@pytest.mark.parametrize("seed", _SEEDS)
def test_ids_are_misused_one_after_another_until_the_end(seed: int) -> None:
    plan = [
        item
        for item in misbehaviour_plans.draw(
            seed, duration_s=_DURATION_S, machines=_MACHINES
        )
        if isinstance(item.fault, faults.MisusedId)
    ]
    assert {item.fault.worker for item in plan} <= set(_MACHINES.sides)
    for one, other in itertools.pairwise(plan):
        assert 0.5 <= other.at_s - one.at_s - one.duration_s <= 2.0
    assert plan[-1].at_s + plan[-1].duration_s >= _DURATION_S - 2.0


def test_a_worker_records_when_its_heartbeats_are_refused(
    agent: _Agent, worker: pool_worker.PoolWorker
) -> None:
    for status in (200, 409, 400, 200, 503, 409, 200):
        agent.status = status
        worker._send_heartbeat()
    first, second = worker.heartbeat_refusals_ns
    assert first[0] < first[1]
    assert second[0] == second[1]


def test_a_worker_that_sends_heartbeats_alone_records_no_refusal(
    agent: _Agent, worker: pool_worker.PoolWorker
) -> None:
    worker.faults.skips_heartbeats = False
    one_process.wait_until(
        lambda: len(agent.heartbeats) >= 3, what="three heartbeats"
    )
    assert worker.heartbeat_refusals_ns == []


@pytest.mark.parametrize(
    ("refused_s", "is_valid"),
    [
        (0.0, True),
        (bounds.HEARTBEAT_REFUSAL_LIMIT_S - 0.1, True),
        (bounds.HEARTBEAT_REFUSAL_LIMIT_S + 0.1, False),
    ],
)
def test_a_worker_that_is_outvoted_is_found(
    refused_s: float, is_valid: bool
) -> None:
    """The writer that uses the worker's id is no excuse."""
    span = time_spans.Span(histories.ns(10), histories.ns(10 + refused_s))
    misuse = histories.injected_fault(faults.MisusedId("side-1", 1), 5, 20)
    history = histories.history(
        histories.submitted_job(state="completed"),
        injected_faults=[misuse],
        heartbeat_refusals={"side-1": [span]},
    )
    messages = invariants.outvoted_workers(history)
    assert (messages == []) is is_valid
    assert set(messages) <= set(invariants.violations(history))
