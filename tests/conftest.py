"""Fixtures that several tests share."""

from collections.abc import Iterator
import pathlib
import signal

import hypothesis
import pytest

from tests import processes

# The same examples in every run, and no verdict about time.
hypothesis.settings.register_profile(
    "steady", deadline=None, derandomize=True, database=None
)
hypothesis.settings.load_profile("steady")

# A shell that runs the tests in the background has them ignore SIGINT, and so
# would every process that they start. With a handler here those have the
# default again, however the tests were started.
signal.signal(signal.SIGINT, signal.default_int_handler)


@pytest.fixture
def system(tmp_path: pathlib.Path) -> Iterator[processes.System]:
    """A system of separate processes, ended after the test."""
    running = processes.System(tmp_path)
    yield running
    running.end()
