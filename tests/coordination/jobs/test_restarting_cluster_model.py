"""Random sequences of faults around workers that keep their names."""

from collections.abc import Iterator

import pytest

from tests.coordination.jobs import cluster_machine

TestRestartingWorkers = cluster_machine.RestartingMachine.TestCase
TestRestartingWorkers.settings = cluster_machine.SETTINGS


@pytest.fixture(autouse=True)
def print_reached() -> Iterator[None]:
    """Prints what the examples have reached."""
    yield
    cluster_machine.RestartingMachine.print_reached()
