"""Fixtures that several tests share."""

from collections.abc import Iterator
import pathlib

import hypothesis
import pytest

from tests import processes

# The same examples in every run, and no verdict about time.
hypothesis.settings.register_profile(
    "steady", deadline=None, derandomize=True, database=None
)
hypothesis.settings.load_profile("steady")


@pytest.fixture
def system(tmp_path: pathlib.Path) -> Iterator[processes.System]:
    """A system of separate processes, ended after the test."""
    running = processes.System(tmp_path)
    yield running
    running.end()
