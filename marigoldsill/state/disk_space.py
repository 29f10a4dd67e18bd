"""Whether a data folder's disk takes writes at all."""

import errno
import os
import pathlib

_PROBE_NAME = "probe"
# More than a vote and a batch of small commands take.
_PROBE_BYTES = 64 << 10
_FULL = frozenset({errno.ENOSPC, errno.EDQUOT})


def takes_writes(folder: str | pathlib.Path) -> bool:
    """Writes a little and removes it; False only where no space is left.

    Every other fault of the disk shows when the folder is opened.
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
        return error.errno not in _FULL
    return True
