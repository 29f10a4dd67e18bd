"""Fixtures that several tests share."""

from collections.abc import Iterator
import pathlib

import pytest

from tests import processes


@pytest.fixture
def system(tmp_path: pathlib.Path) -> Iterator[processes.System]:
    """A system of separate processes, ended after the test."""
    running = processes.System(tmp_path)
    yield running
    running.end()
