"""Edges that advertise another address than the one they listen at."""

from collections.abc import Iterator
import pathlib

import pytest

from soak import proxy
from soak import proxy_registry
from tests import one_process
from tests.platform import journal_invariants
from tests.platform import system as system_module

step = system_module.step
_JOB = "00000000000000d1"
_EARLY_EDGE = "edge-4"
_OTHER_JOB = "00000000000000d2"


@pytest.fixture
def links() -> Iterator[proxy_registry.ProxyRegistry]:
    """Proxies at the advertised addresses."""
    links = proxy_registry.ProxyRegistry()
    yield links
    links.stop()


@pytest.fixture
def system(
    links: proxy_registry.ProxyRegistry, tmp_path: pathlib.Path
) -> Iterator[system_module.System]:
    """Three edges with a disk, one without, behind proxies; the test starts them."""
    system = system_module.System(
        tmp_path, stateless_edges_count=1, advertise=links.advertise
    )
    links.system = system
    yield system
    system.stop()
    journal_invariants.check(system.read_journal())


def _count_elections(system: system_module.System, names: list[str]) -> int:
    texts = [system.processes[name].text() for name in names]
    return sum(text.count("event=leader_elected") for text in texts)


def _fail_call_at_own_address(system: system_module.System) -> None:
    """Starts an edge that finds no leader at its own addresses and logs them."""
    system.start_edge(_EARLY_EDGE)
    system.change_seeds(_EARLY_EDGE, processes=[_EARLY_EDGE])
    process = system.processes[_EARLY_EDGE]

    def is_logged() -> bool:
        system.get_job_state(_JOB, edge=_EARLY_EDGE)
        return "no leader of control found at" in process.text()

    one_process.wait_until(is_logged, what="a call that found no leader")
    system.change_seeds(*system.member_names())


def test_only_advertised_addresses_reach_other_processes(
    system: system_module.System, links: proxy_registry.ProxyRegistry
) -> None:
    """Guards against members and leaders that are known by a listen address.

    A process may name its own listen address only in its own log, for a call in
    which it asked itself for the leader.
    """
    _fail_call_at_own_address(system)
    system.start()
    system.submit(_JOB, step(2))
    system.wait_for_job_state(_JOB, "completed")
    proxies = links.control_proxies()
    leaks = []
    for name, process in system.processes.items():
        for edge, link in proxies.items():
            leaks += [
                f"{name}: {line}"
                for line in process.text().splitlines()
                if link.target in line
                and not (edge == name and " event=job_call " in line)
            ]
    assert leaks == []
    stored = {
        name: b"".join(
            file.read_bytes() for file in system.data_folder(name).iterdir()
        )
        for name in system.member_names()
    }
    for name, data in stored.items():
        assert [
            link.target
            for link in proxies.values()
            if link.target.encode() in data
        ] == [], name
        assert system.advertised_address(name).encode() in data, name
    logs_text = system.read_logs()
    assert all(
        system.advertised_address(e) in logs_text for e in system.member_names()
    )


def test_a_leader_that_no_member_can_reach_is_replaced(
    system: system_module.System, links: proxy_registry.ProxyRegistry
) -> None:
    system.start()
    system.submit(_JOB, step(2))
    system.wait_for_job_state(_JOB, "completed")
    leader = system.find_leader()
    others = [e for e in system.member_names() if e != leader]
    elections_before = _count_elections(system, others)
    proxies = links.control_proxies()
    proxies[leader].set_mode(proxy.ResetAll(), callers=others)
    for name in others:
        proxies[name].set_mode(proxy.ResetAll(), callers=[leader])
    one_process.wait_until(
        lambda: _count_elections(system, others) > elections_before,
        what="another leader",
    )
    system.processes[leader].wait_for("event=leadership_lost")
    system.submit(_OTHER_JOB, step(2))
    system.wait_for_job_state(_OTHER_JOB, "completed")
