"""Ports that test processes draw beside each other."""

import multiprocessing
import pathlib

import pytest

from tests import one_process

_PORT_RANGE = (15_000, 15_200)


def _draw_ports(count: int) -> list[str]:
    one_process._LISTENING_PORT_RANGE = _PORT_RANGE
    return [one_process.free_address() for _ in range(count)]


def _draw_beside(
    barrier, ports: multiprocessing.SimpleQueue, count: int
) -> None:
    barrier.wait()
    ports.put(_draw_ports(count))
    barrier.wait()


def test_processes_beside_each_other_never_draw_the_same_port() -> None:
    """Guards against listeners of two test sessions at one address."""
    context = multiprocessing.get_context("spawn")
    barrier, ports = context.Barrier(2), context.SimpleQueue()
    processes = [
        context.Process(
            target=_draw_beside, args=(barrier, ports, 40), daemon=True
        )
        for _ in range(2)
    ]
    for process in processes:
        process.start()
    drawn = ports.get() + ports.get()
    for process in processes:
        process.join()
    assert len(drawn) == len(set(drawn)) == 80


def test_old_reservations_are_released(
    monkeypatch: pytest.MonkeyPatch, tmp_path: pathlib.Path
) -> None:
    monkeypatch.setattr(one_process, "_LISTENING_PORT_RANGE", _PORT_RANGE)
    monkeypatch.setattr(one_process, "_RESERVED_PORTS_LIMIT", 10)
    reservations = one_process._PortReservations(tmp_path / "ports")
    monkeypatch.setattr(one_process, "_port_reservations", lambda: reservations)
    drawn = [one_process.free_address() for _ in range(400)]
    assert len(set(drawn)) < len(drawn)
    assert all(len(set(drawn[n : n + 10])) == 10 for n in range(390))
