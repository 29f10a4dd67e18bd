"""Points at which a failure test ends the process, as a crash there would.

The variable MARIGOLDSILL_FAILPOINT names one point, "NAME" or "NAME:COUNT" for
the COUNT-th time that it is reached. Without the variable nothing happens.
"""

import itertools
import os
import signal

VARIABLE = "MARIGOLDSILL_FAILPOINT"
_NAME, _, _COUNT = os.environ.get(VARIABLE, "").partition(":")
_reached = itertools.count(1)


def reach(name: str) -> None:
    """Kills this process if a test chose this point."""
    if not _NAME or name != _NAME:
        return
    if next(_reached) >= int(_COUNT or 1):
        os.kill(os.getpid(), signal.SIGKILL)
