"""Tests of a short soak with a fixed seed, of drawn plans and of proxies."""

import pathlib
import socket

import pytest

from soak import fault_plans
from soak import faults
from soak import proxy
from soak import run

_SEED = 1
_DURATION_S = 6.0
_EDGES = ("edge-1", "edge-2", "edge-3")
_SIDES = ("side-1", "side-2")
_TIMEOUT_S = 10.0


@pytest.mark.parametrize("seed", [_SEED])
def test_a_soak_violates_no_invariant(
    seed: int, tmp_path: pathlib.Path
) -> None:
    result = run.run(seed, tmp_path, duration_s=_DURATION_S)
    assert result.violations == [], result.report()
    assert result.jobs_count
    assert run.read_grants(tmp_path)


def test_equal_seeds_give_equal_plans() -> None:
    plans = [
        fault_plans.draw_plan(7, duration_s=60.0, edges=_EDGES, sides=_SIDES)
        for _ in range(2)
    ]
    assert plans[0] == plans[1]


@pytest.mark.parametrize("seed", range(20))
def test_disk_losses_do_not_overlap_other_faults_of_edges(seed: int) -> None:
    plan = fault_plans.draw_plan(
        seed, duration_s=120.0, edges=_EDGES, sides=_SIDES
    )
    edge_faults = [
        item for item in plan if getattr(item.fault, "process", "") in _EDGES
    ]
    for loss in edge_faults:
        if isinstance(loss.fault, faults.DiskLoss):
            overlapping = [
                item
                for item in edge_faults
                if item.at_s < loss.at_s + loss.duration_s + 5.0
                and item.at_s + item.duration_s > loss.at_s - 5.0
            ]
            assert overlapping == [loss]


@pytest.fixture
def connection():
    """A proxy with the two ends of a connection through it."""
    listener = socket.create_server(("127.0.0.1", 0))
    tested_proxy = proxy.Proxy(f"127.0.0.1:{listener.getsockname()[1]}")
    host, _, port = tested_proxy.address.rpartition(":")
    caller = socket.create_connection((host, int(port)), _TIMEOUT_S)
    accepted, _ = listener.accept()
    accepted.settimeout(_TIMEOUT_S)
    # The proxy holds both ends of a connection once it has forwarded data.
    caller.sendall(b"!")
    accepted.recv(1)
    yield tested_proxy, caller, accepted
    tested_proxy.stop()
    for end in (caller, accepted, listener):
        end.close()


def test_held_back_data_is_forwarded_once_the_mode_allows_it(
    connection,
) -> None:
    tested_proxy, caller, accepted = connection
    tested_proxy.set_mode(proxy.Blackhole())
    caller.sendall(b"late")
    tested_proxy.set_mode(proxy.PassThrough())
    assert accepted.recv(10) == b"late"


def test_one_way_mode_forwards_only_one_direction(connection) -> None:
    tested_proxy, caller, accepted = connection
    tested_proxy.set_mode(proxy.OneWay(to_target=True))
    accepted.sendall(b"answer")
    caller.sendall(b"request")
    assert accepted.recv(10) == b"request"
    caller.settimeout(0.3)
    with pytest.raises(TimeoutError):
        caller.recv(10)


def test_reset_mode_resets_open_connections(connection) -> None:
    tested_proxy, caller, _ = connection
    tested_proxy.set_mode(proxy.ResetOpen())
    with pytest.raises(ConnectionResetError):
        caller.recv(10)
