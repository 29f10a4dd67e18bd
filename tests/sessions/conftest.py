"""Fixtures of the session tests."""

import pytest
from syrupy import assertion
from syrupy.extensions import single_file

from tests import processes
from tests.sessions import transcript


class _TextFile(single_file.SingleFileSnapshotExtension):
    """One text file a session, to be read as it is."""

    _write_mode = single_file.WriteMode.TEXT
    file_extension = "txt"


@pytest.fixture
def golden(
    snapshot: assertion.SnapshotAssertion,
) -> assertion.SnapshotAssertion:
    """What a session must print, from its golden file."""
    return snapshot.use_extension(_TextFile)


@pytest.fixture
def site(system: processes.System) -> processes.System:
    """One control process and two live workers of different size."""
    system.start_control()
    system.start_worker("worker-1", cores=30)
    system.start_worker("worker-2", cores=20)
    processes.wait_until(
        lambda: (
            len([w for w in system.operate("status")["workers"] if w["live"]])
            == 2
        ),
        what="two live workers",
    )
    return system


@pytest.fixture
def terminal(site: processes.System) -> transcript.Transcript:
    """The terminals of the site's operators."""
    return transcript.Transcript(site)
