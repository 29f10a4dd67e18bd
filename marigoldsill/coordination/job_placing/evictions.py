"""Runs that should give way, by whatever reason."""

import dataclasses

from marigoldsill.protocol import task_names


@dataclasses.dataclass(slots=True, frozen=True)
class Eviction:
    """A run that should give way.

    Attributes:
        key: Its task and number.
        agent: Where it runs.
        next_agent: Where its task is expected to run next; empty if unknown.
    """

    key: task_names.RunKey
    agent: str
    next_agent: str = ""
