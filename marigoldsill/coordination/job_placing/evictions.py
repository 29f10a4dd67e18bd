"""Runs to be evicted from their workers, for any reason."""

import dataclasses

from marigoldsill.protocol import task_names


@dataclasses.dataclass(slots=True, frozen=True)
class Eviction:
    """A run to be evicted.

    Attributes:
        key: Its task and run number.
        agent: The agent on whose worker it runs.
        next_agent: The agent on whose worker its task is expected to run next;
            empty if unknown.
    """

    key: task_names.RunKey
    agent: str
    next_agent: str = ""
