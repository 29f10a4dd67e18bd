"""Failpoints: places in the code where a failure test can crash the process.

The variable MARIGOLDSILL_FAILPOINT selects one failpoint: "NAME", or "NAME:COUNT"
for the COUNT-th time that it is reached. Without the variable nothing happens.
"""

import itertools
import os
import signal

VARIABLE = "MARIGOLDSILL_FAILPOINT"
_NAME, _, _COUNT = os.environ.get(VARIABLE, "").partition(":")
_reached = itertools.count(1)


def reach(name: str) -> None:
    """Kills this process if a test selected this failpoint."""
    if not _NAME or name != _NAME:
        return
    if next(_reached) >= int(_COUNT or 1):
        os.kill(os.getpid(), signal.SIGKILL)
