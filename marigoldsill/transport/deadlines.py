"""Deadlines on the monotonic clock; between processes they are sent as budgets."""

import dataclasses
import time


@dataclasses.dataclass(slots=True, frozen=True)
class Deadline:
    """The time until which the answer to a request is useful.

    Attributes:
        end_s: The deadline on this process's monotonic clock.
    """

    end_s: float

    @classmethod
    def after(cls, budget_s: float) -> "Deadline":
        """Creates a deadline `budget_s` from now."""
        return cls(time.monotonic() + budget_s)

    def remaining_s(self) -> float:
        """Returns the remaining time, at least zero."""
        return max(0.0, self.end_s - time.monotonic())

    def has_passed(self) -> bool:
        """Whether the deadline has passed."""
        return time.monotonic() >= self.end_s

    def limited_to(self, budget_s: float) -> "Deadline":
        """Returns the earlier of this deadline and one `budget_s` from now."""
        return Deadline(min(self.end_s, time.monotonic() + budget_s))
