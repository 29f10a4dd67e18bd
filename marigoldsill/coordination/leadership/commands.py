"""Creates commands for the replicated log, with the time of their proposal."""

import time
import uuid

from marigoldsill.protocol.generated import ttypes


def now_unix_ms() -> int:
    """Returns the time of this process's wall clock."""
    return time.time_ns() // 1_000_000


def new(*, command_id: str | None = None, **body: object) -> ttypes.Command:
    """Returns a command that is proposed now.

    Args:
        command_id: Identifies the command, so that a repeated one gets the
            first result. Empty for a command whose result is not stored, None
            for a new random id.
        **body: The one field of the command that contains the operation.
    """
    if command_id is None:
        command_id = str(uuid.uuid4())
    return ttypes.Command(
        command_id=command_id, proposed_unix_ms=now_unix_ms(), **body
    )
