"""Tests of a control node whose disk is full or fails."""

import pathlib

import pytest

from marigoldsill import errors
from marigoldsill.roles import control_node
from marigoldsill.state import disk_space
from tests import one_process


def _create_node(data_folder: pathlib.Path) -> control_node.ControlNode:
    """Returns a node that founds a group by itself."""
    address = one_process.free_address()
    return control_node.ControlNode(
        name="edge-1",
        address=address,
        data_centre="dc1",
        data_folder=str(data_folder),
        first_start=True,
        seed_addresses=[address],
        target_voters_count=1,
        job_retention_s=120.0,
    )


def test_a_node_on_a_full_disk_waits_for_space(
    monkeypatch: pytest.MonkeyPatch, tmp_path: pathlib.Path
) -> None:
    has_space = False
    checked_folders = []

    def has_free_space(folder: str) -> bool:
        checked_folders.append(folder)
        return has_space

    monkeypatch.setattr(disk_space, "has_free_space", has_free_space)
    node = _create_node(tmp_path / "data")
    node.start()
    try:
        one_process.wait_until(
            lambda: len(checked_folders) > 2, what="some checks of the disk"
        )
        assert node._replica is None
        has_space = True
        one_process.wait_until(
            lambda: node._replica is not None and node._replica.is_leader,
            what="the node to lead",
        )
    finally:
        node.stop()


def test_a_node_exits_if_its_state_cannot_be_opened_after_a_full_disk(
    monkeypatch: pytest.MonkeyPatch, tmp_path: pathlib.Path
) -> None:
    """Guards against a process that silently takes no part in control.

    The disk is full at the start, has space later, but then refuses a write while the
    state is opened. At a start such an error ends the process, which is then
    restarted; on the thread that waits for space the error was lost.
    """
    has_space = False
    monkeypatch.setattr(disk_space, "has_free_space", lambda _: has_space)
    exit_errors: list[errors.MarigoldsillError] = []
    monkeypatch.setattr(control_node, "_exit_on_error", exit_errors.append)
    storage_error = errors.StorageError("no space left on the device")

    def fail_to_open(**_: object) -> None:
        raise storage_error

    node = _create_node(tmp_path / "data")
    node.start()
    monkeypatch.setattr(control_node.replica_module, "Replica", fail_to_open)
    has_space = True
    try:
        one_process.wait_until(
            lambda: exit_errors, limit_s=5.0, what="the exit of the process"
        )
    finally:
        node.stop()
    assert exit_errors == [storage_error]


def test_a_check_of_the_disk_leaves_no_file_behind(
    tmp_path: pathlib.Path,
) -> None:
    assert disk_space.has_free_space(tmp_path / "data")
    assert list((tmp_path / "data").iterdir()) == []
