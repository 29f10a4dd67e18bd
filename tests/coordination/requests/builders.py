"""Builders of calls of services."""

from marigoldsill.coordination.requests import attempts
from marigoldsill.transport import deadlines
from marigoldsill.transport import hangups

SERVICE = "s"


def call(*, budget_s: float = 10.0, **fields: object) -> attempts.Call:
    """Builds an idempotent call of a caller that waits."""
    values = {
        "service": SERVICE,
        "method": "GET",
        "path": "/",
        "headers": (),
        "body": b"",
        "key": "",
        "idempotent": True,
        "deadline": deadlines.Deadline.after(budget_s),
        "hangup": hangups.Hangup(),
    }
    return attempts.Call(**(values | fields))
