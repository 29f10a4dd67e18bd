"""This control process's part in the replicated log.

For now a group of one, in memory; the interface is what the rest builds on.
"""

from collections.abc import Callable
import threading

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import machine
from marigoldsill.state import tables as tables_module


class Replica:
    """Proposes commands to the group and applies what it agreed on.

    Attributes:
        lock: Guards `tables`; hold it while reading them.
        tables: The state as applied here.
    """

    def __init__(self, *, member: ttypes.Member):
        self.member = member
        self.lock = threading.RLock()
        self.tables = tables_module.Tables()
        self._listeners: list[Callable[[ttypes.Command], None]] = []

    @property
    def is_leader(self) -> bool:
        """Whether this process leads and a majority answered it lately."""
        return True

    @property
    def term(self) -> int:
        """The current term."""
        return 1

    @property
    def leader(self) -> ttypes.Member | None:
        """The leader as far as known here."""
        return self.member

    def on_applied(self, listener: Callable[[ttypes.Command], None]) -> None:
        """Calls `listener` after each applied command, with `lock` held."""
        self._listeners.append(listener)

    def propose(
        self, command: ttypes.Command, *, timeout_s: float
    ) -> ttypes.CommandResult:
        """Gets a command agreed on and applied; returns its result.

        Raises:
            NotLeaderError: This process does not lead; nothing was done.
            NoQuorumError: No majority answers; nothing was done.
            UnknownOutcomeError: The time ran out; it may still be applied.
                Propose it again with the same command id to learn.
        """
        with self.lock:
            result = machine.apply(self.tables, command)
            for listener in self._listeners:
                listener(command)
        return result

    def confirm_leadership(self, *, timeout_s: float) -> None:
        """Returns once a majority has confirmed this leader since the call.

        Raises:
            NotLeaderError: This process does not lead.
            NoQuorumError: No majority answered in time.
        """

    def start(self) -> None:
        """Begins to take part in the group."""

    def stop(self) -> None:
        """Leaves off; the state on disk stays as it is."""
