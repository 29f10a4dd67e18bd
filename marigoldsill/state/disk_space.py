"""Checks whether the disk of a data folder has free space."""

import os
import pathlib

from marigoldsill.state import files

_PROBE_NAME = "probe"
# More than a vote and a batch of small commands need.
_PROBE_BYTES = 64 << 10


def has_free_space(folder: str | pathlib.Path) -> bool:
    """Returns whether a small file could be written; removes it again.

    Returns False only if no space is left. Other faults of the disk are
    detected when the folder is opened.
    """
    path = pathlib.Path(folder) / _PROBE_NAME
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        with path.open("wb") as probe:
            probe.write(bytes(_PROBE_BYTES))
            probe.flush()
            os.fsync(probe.fileno())
        path.unlink()
    except OSError as error:
        return error.errno not in files.FULL_ERRORS
    return True
