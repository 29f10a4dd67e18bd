"""Random sequences of faults around workers that keep their names."""

from collections.abc import Iterator

import pytest

from tests.coordination.jobs import model_settings
from tests.coordination.jobs import restarting_machine

TestRestartingWorkers = restarting_machine.RestartingMachine.TestCase
TestRestartingWorkers.settings = model_settings.SETTINGS


@pytest.fixture(autouse=True)
def print_reached() -> Iterator[None]:
    """Prints what the examples have reached."""
    yield
    restarting_machine.RestartingMachine.print_reached()
