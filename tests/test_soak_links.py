"""Tests of drawn plans, of modes per caller and of the senders of a soak."""

from collections.abc import Iterator
import contextlib
import os
import socket

import pytest
from werkzeug import wrappers

from marigoldsill.transport import http_server
from soak import connection_owners
from soak import fault_plans
from soak import fault_series
from soak import faults
from soak import foreign_heartbeats
from soak import machines
from soak import proxy
from tests import one_process

_MEMBERS = ("edge-1", "edge-2", "edge-3")
_STATELESS_EDGES = ("edge-4", "edge-5", "edge-6")
_SIDES = ("side-1", "side-2")
_TIMEOUT_S = 10.0
_SHORT_TIMEOUT_S = 0.3
_SEEDS = range(40)
_MISBEHAVIOUR_ONLY = {faults.BadWorker, faults.MisusedId}
_SERIES_ONLY = {
    faults.ConnectionReset,
    faults.LeaderKill,
    faults.RefusedCalls,
}


def _plan(seed: int) -> list[faults.PlannedFault]:
    return fault_plans.draw_plan(
        seed,
        duration_s=60.0,
        edges=_MEMBERS,
        sides=_SIDES,
        stateless_edges=_STATELESS_EDGES,
    )


def _draw_series(seed: int) -> list[faults.PlannedFault]:
    return fault_series.draw_series(
        seed,
        duration_s=60.0,
        machines=machines.Machines(_MEMBERS, _STATELESS_EDGES, _SIDES),
        other_faults=_plan(seed),
    )


def _affected_members(fault: faults.Fault) -> set[str]:
    """Returns the members that a fault stops or partitions from each other."""
    match fault:
        case faults.PowerLoss(processes=names):
            return set(names) & set(_MEMBERS)
        case faults.GroupTermination(processes=names):
            return set(names) & set(_MEMBERS)
        case faults.ControlLinkFault(callers=callers, targets=targets):
            parts = [set(p) & set(_MEMBERS) for p in (callers, targets)]
            return parts[0] | parts[1] if all(parts) else set()
        case faults.LeaderKill():
            return set(_MEMBERS)
        case faults.ConnectionReset(names=names):
            return set(names) & set(_MEMBERS)
        case _:
            return {getattr(fault, "process", "")} & set(_MEMBERS)


@pytest.mark.parametrize("seed", _SEEDS)
def test_disk_losses_do_not_overlap_stops_or_partitions_of_members(
    seed: int,
) -> None:
    plan = [
        item
        for item in (*_plan(seed), *_draw_series(seed))
        if _affected_members(item.fault)
    ]
    for loss in plan:
        if isinstance(loss.fault, faults.DiskLoss):
            overlapping = [
                item
                for item in plan
                if item.at_s < loss.at_s + loss.duration_s + 5.0
                and item.at_s + item.duration_s > loss.at_s - 5.0
            ]
            assert overlapping == [loss]


def test_every_kind_of_fault_is_drawn() -> None:
    drawn = {type(item.fault) for seed in _SEEDS for item in _plan(seed)}
    others = _SERIES_ONLY | _MISBEHAVIOUR_ONLY
    assert drawn == set(faults.Fault.__args__) - others
    in_series = {
        type(item.fault) for seed in _SEEDS for item in _draw_series(seed)
    }
    assert in_series >= _SERIES_ONLY


def test_seeds_are_drawn_from_all_edges_or_only_from_stateless_ones() -> None:
    seeds = [
        set(item.fault.names)
        for seed in _SEEDS
        for item in _plan(seed)
        if isinstance(item.fault, faults.SeedsChange)
    ]
    assert any(names <= set(_STATELESS_EDGES) for names in seeds)
    assert any(names & set(_MEMBERS) for names in seeds)


class _TwoCallers:
    """Two callers of a listener behind a proxy."""

    def __init__(self, stack: contextlib.ExitStack):
        self._stack = stack
        self._names_by_port: dict[int, str] = {}
        self._listener = stack.enter_context(
            socket.create_server(("127.0.0.1", 0))
        )
        self.proxy = proxy.Proxy(
            f"127.0.0.1:{self._listener.getsockname()[1]}",
            identify_caller=lambda end: self._names_by_port[
                end.getpeername()[1]
            ],
        )
        stack.callback(self.proxy.stop)

    def connect(self, name: str) -> socket.socket:
        host, _, port = self.proxy.address.rpartition(":")
        caller = socket.socket()
        self._stack.enter_context(caller)
        caller.settimeout(_TIMEOUT_S)
        caller.bind(("127.0.0.1", 0))
        self._names_by_port[caller.getsockname()[1]] = name
        caller.connect((host, int(port)))
        return caller

    def accept_from(self, caller: socket.socket) -> socket.socket:
        accepted, _ = self._listener.accept()
        self._stack.enter_context(accepted)
        accepted.settimeout(_TIMEOUT_S)
        # The proxy holds both ends of a connection once it has forwarded data.
        caller.sendall(b"!")
        accepted.recv(1)
        return accepted


@pytest.fixture
def pair() -> Iterator[_TwoCallers]:
    with contextlib.ExitStack() as stack:
        yield _TwoCallers(stack)


def test_a_mode_for_one_caller_does_not_affect_another(
    pair: _TwoCallers,
) -> None:
    one = pair.connect("one")
    one_accepted = pair.accept_from(one)
    other = pair.connect("other")
    other_accepted = pair.accept_from(other)
    pair.proxy.set_mode(proxy.Blackhole(), callers=["one"])
    one.sendall(b"held back")
    other.sendall(b"passes")
    assert other_accepted.recv(10) == b"passes"
    one_accepted.settimeout(_SHORT_TIMEOUT_S)
    with pytest.raises(TimeoutError):
        one_accepted.recv(10)


def test_reset_all_resets_open_and_new_connections_of_a_caller(
    pair: _TwoCallers,
) -> None:
    open_connection = pair.connect("one")
    pair.accept_from(open_connection)
    other = pair.connect("other")
    other_accepted = pair.accept_from(other)
    pair.proxy.set_mode(proxy.ResetAll(), callers=["one"])
    with pytest.raises(ConnectionResetError):
        open_connection.recv(10)
    with pytest.raises(ConnectionResetError):
        pair.connect("one").recv(10)
    other.sendall(b"passes")
    assert other_accepted.recv(10) == b"passes"


def test_a_reset_leaves_the_modes_and_new_connections_as_they_are(
    pair: _TwoCallers,
) -> None:
    open_connection = pair.connect("one")
    pair.accept_from(open_connection)
    pair.proxy.set_mode(proxy.Blackhole(), callers=["one"])
    pair.proxy.reset_connections()
    with pytest.raises(ConnectionResetError):
        open_connection.recv(10)
    other = pair.connect("other")
    pair.accept_from(other).sendall(b"passes")
    assert other.recv(10) == b"passes"
    other.settimeout(_SHORT_TIMEOUT_S)
    one = pair.connect("one")
    one.settimeout(_SHORT_TIMEOUT_S)
    one.sendall(b"held back")
    with pytest.raises(TimeoutError):
        one.recv(10)


def test_overlapping_modes_end_independently(pair: _TwoCallers) -> None:
    caller = pair.connect("one")
    accepted = pair.accept_from(caller)
    pair.proxy.set_mode(proxy.Blackhole(), callers=["one", "other"])
    pair.proxy.set_mode(proxy.Blackhole(), callers=["one"])
    pair.proxy.set_mode(proxy.PassThrough(), callers=["one"])
    caller.sendall(b"late")
    accepted.settimeout(_SHORT_TIMEOUT_S)
    with pytest.raises(TimeoutError):
        accepted.recv(10)
    pair.proxy.set_mode(proxy.PassThrough(), callers=["one", "other"])
    accepted.settimeout(_TIMEOUT_S)
    assert accepted.recv(10) == b"late"


def test_the_process_that_opened_a_connection_is_found() -> None:
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        address = listener.getsockname()
        caller = stack.enter_context(socket.create_connection(address))
        end = stack.enter_context(listener.accept()[0])
        assert caller.getsockname() == end.getpeername()
        pids = {"parent": os.getppid(), "own": os.getpid()}
        lookup = connection_owners.ConnectionOwners(lambda: pids)
        assert lookup.find_owner(end) == "own"
        del pids["own"]
        assert lookup.find_owner(end) == ""


def test_an_agent_gets_valid_and_malformed_heartbeats() -> None:
    bodies: list[bytes] = []

    def answer(request: wrappers.Request) -> wrappers.Response:
        assert "/Instances.Heartbeat/i-other-" in request.path
        bodies.append(request.get_data())
        return wrappers.Response(status=400)

    server = http_server.HttpServer(
        address="127.0.0.1:0",
        app=wrappers.Request.application(answer),
        threads_count=4,
    )
    server.start()
    sender = foreign_heartbeats.HeartbeatSender(server.address, seed=1)
    sender.start()
    try:
        one_process.wait_until(
            lambda: b"{" in bodies and any(b'"sequence"' in b for b in bodies),
            limit_s=_TIMEOUT_S,
            what="both kinds",
        )
    finally:
        sender.stop()
        server.stop()
