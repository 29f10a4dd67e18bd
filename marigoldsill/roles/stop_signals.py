"""Stops a role gracefully on SIGTERM or SIGINT, and at once on a second signal.

SIGHUP makes a role that supports it reload its settings.
"""

from collections.abc import Callable
import os
import signal

from marigoldsill.transport import logs

_STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})
# Exit status of a process that a signal ended: this plus the signal's number.
_SIGNAL_EXIT_BASE = 128


class StopSignals:
    """Blocks the stop signals on creation and waits for them.

    Create it in the main thread before any other thread starts, because threads
    inherit the signal mask. No signal handler is installed before the first signal:
    a handler that sets an event could run while the main thread holds the event's
    lock, which would be a deadlock.
    """

    def __init__(self, *, reloads: bool = False):
        """Blocks the signals.

        Args:
            reloads: Whether SIGHUP is blocked too, so that it causes a reload
                instead of ending the process.
        """
        hangup = {signal.SIGHUP} if reloads else set()
        self._blocked = frozenset(_STOP_SIGNALS | hangup)
        signal.pthread_sigmask(signal.SIG_BLOCK, self._blocked)

    def wait(
        self,
        *,
        on_reload: Callable[[], None] = lambda: None,
        reload_interval_s: float | None = None,
    ) -> None:
        """Waits for a stop signal; the next one ends the process at once.

        Args:
            on_reload: Called for each SIGHUP.
            reload_interval_s: Interval at which `on_reload` is called without a
                signal as well; None for never.
        """
        while self._next_signal(reload_interval_s) not in _STOP_SIGNALS:
            on_reload()
        for number in _STOP_SIGNALS:
            signal.signal(number, _exit_at_once)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, _STOP_SIGNALS)

    def _next_signal(self, timeout_s: float | None) -> int | None:
        if timeout_s is None:
            return signal.sigwait(self._blocked)
        information = signal.sigtimedwait(self._blocked, timeout_s)
        return None if information is None else information.si_signo


def _exit_at_once(number: int, frame: object) -> None:
    try:
        logs.event("stop_forced", level="WARNING", signal=number)
        logs.flush()
    finally:
        os._exit(_SIGNAL_EXIT_BASE + number)
