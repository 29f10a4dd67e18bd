"""Commands for the replicated log, stamped by whoever proposes them."""

import time
import uuid

from marigoldsill.protocol.generated import ttypes


def now_unix_ms() -> int:
    """This process's wall clock."""
    return time.time_ns() // 1_000_000


def new(*, command_id: str | None = None, **body: object) -> ttypes.Command:
    """A command proposed now.

    Args:
        command_id: Makes a resend find its first result; empty for a command
            whose result is not kept, None for an id of its own.
        **body: The one field of the command that says what to do.
    """
    if command_id is None:
        command_id = str(uuid.uuid4())
    return ttypes.Command(
        command_id=command_id, proposed_unix_ms=now_unix_ms(), **body
    )
