"""SIGTERM and SIGINT end a role gracefully; a second one ends it at once."""

import os
import signal

from marigoldsill.transport import logs

_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})
_EXIT_BASE = 128


class StopSignals:
    """Keeps the signals back from its creation on, until they are waited for.

    Create it in the main thread before any other thread begins: those inherit
    that the signals are kept back. No handler runs before the first signal was
    waited for; one that set an event could run while the main thread holds the
    event's own lock, and then neither would go on.
    """

    def __init__(self):
        signal.pthread_sigmask(signal.SIG_BLOCK, _SIGNALS)

    def wait(self) -> None:
        """Returns once a signal has come; the next one ends the process."""
        signal.sigwait(_SIGNALS)
        for number in _SIGNALS:
            signal.signal(number, _end)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, _SIGNALS)


def _end(number: int, frame: object) -> None:
    try:
        logs.event("stop_forced", level="WARNING", signal=number)
    finally:
        os._exit(_EXIT_BASE + number)
