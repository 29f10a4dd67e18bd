"""Spans of time, in nanoseconds of the machine's monotonic clock."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

NS_PER_S = 1_000_000_000


@dataclasses.dataclass(slots=True, frozen=True)
class Span:
    """A span of time."""

    started_ns: int
    ended_ns: int

    @property
    def duration_s(self) -> float:
        """The length of the span."""
        return (self.ended_ns - self.started_ns) / NS_PER_S

    def subtract(self, others: Iterable["Span"]) -> Iterator["Span"]:
        """Yields the parts of the span that are in none of the others."""
        rest_ns = self.started_ns
        for other in sorted(others, key=lambda span: span.started_ns):
            end_ns = min(other.started_ns, self.ended_ns)
            if end_ns > rest_ns:
                yield Span(rest_ns, end_ns)
            rest_ns = max(rest_ns, other.ended_ns)
        if self.ended_ns > rest_ns:
            yield Span(rest_ns, self.ended_ns)


def overlaps(spans: Iterable[Span], *, min_count: int = 1) -> list[Span]:
    """Returns the spans during which at least `min_count` of some spans overlap."""
    changes = sorted(
        change
        for span in spans
        for change in ((span.started_ns, 1), (span.ended_ns, -1))
    )
    found: list[Span] = []
    depth, started_ns = 0, 0
    for at_ns, change in changes:
        previous_depth, depth = depth, depth + change
        if previous_depth < min_count <= depth:
            started_ns = at_ns
        elif depth < min_count <= previous_depth and at_ns > started_ns:
            found.append(Span(started_ns, at_ns))
    return found


def ns(span_s: float) -> int:
    """Returns a number of seconds in nanoseconds."""
    return int(span_s * NS_PER_S)
