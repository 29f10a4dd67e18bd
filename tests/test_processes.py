"""Processes of tests say why they end, and start beside a taken port."""

from collections.abc import Iterator
import contextlib
import pathlib
import socket

import pytest

from tests import processes


@pytest.fixture
def taken_address() -> Iterator[str]:
    """An address at which something else listens."""
    address = processes.free_address()
    host, port = address.split(":")
    with contextlib.closing(socket.create_server((host, int(port)))):
        yield address


def _give(monkeypatch: pytest.MonkeyPatch, *addresses: str) -> None:
    """Lets the system choose these addresses first, and then free ones."""
    given = list(addresses)
    free_address = processes.free_address
    monkeypatch.setattr(
        processes,
        "free_address",
        lambda: given.pop(0) if given else free_address(),
    )


def test_failure_of_a_process_that_ends_while_starting_shows_its_log(
    tmp_path: pathlib.Path,
) -> None:
    process = processes.Process(
        ["marigoldsill", "no-such-role"], log=tmp_path / "role.log"
    )

    with pytest.raises(
        AssertionError,
        match=r"(?s)role\.log ended with status 2 .*no-such-role",
    ) as caught:
        process.addresses()

    assert process.text() in str(caught.value)


def test_group_that_never_ran_is_formed_anew_when_a_port_is_taken(
    system: processes.System,
    taken_address: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    _give(monkeypatch, taken_address)

    process = system.start_control()

    assert process.addresses()["thrift"] != taken_address


def test_group_is_formed_anew_no_more_than_once(
    system: processes.System,
    taken_address: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    other = processes.free_address()
    _give(monkeypatch, taken_address, other, taken_address, other)

    with pytest.raises(AssertionError, match=f"listen at {taken_address}"):
        system.start_control()


def test_member_that_ran_is_not_moved_when_its_port_is_taken(
    system: processes.System,
) -> None:
    system.start_control().kill()
    thrift, _ = system.control_addresses["control-1"]
    host, port = thrift.split(":")
    with (
        contextlib.closing(socket.create_server((host, int(port)))),
        pytest.raises(AssertionError, match=f"cannot listen at {thrift}"),
    ):
        system.run_control("control-1")
