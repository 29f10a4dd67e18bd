"""Rejects received messages that lack a required field.

Thrift leaves a field unset when the sender left it out or sent it with another
type. Handlers do not check their messages, so an incomplete message is rejected
before it reaches one.
"""

from collections.abc import Callable
import functools

from thrift import Thrift

from marigoldsill import errors
from marigoldsill.protocol.generated import ttypes

_CONTAINER_TYPES = frozenset({Thrift.TType.STRUCT, Thrift.TType.LIST})
REQUIRED_FIELDS: dict[type, tuple[str, ...]] = {
    ttypes.AppendRequest: (
        "term",
        "leader",
        "previous_index",
        "previous_term",
        "entries",
        "commit_index",
    ),
    ttypes.CallRequest: (
        "request_id",
        "attempt",
        "service_name",
        "method",
        "path",
        "headers",
        "body",
        "budget_ms",
    ),
    ttypes.Claim: ("key", "request_digest", "entry"),
    ttypes.EndClaim: ("key", "attempt", "state"),
    ttypes.EndpointInfo: (
        "service_name",
        "address",
        "slots_count",
        "connections_count",
    ),
    ttypes.Header: ("name", "value"),
    ttypes.Heartbeat: (
        "agent",
        "incarnation",
        "sequence",
        "running",
        "events",
        "usage",
    ),
    ttypes.LogEntry: ("index", "term", "command"),
    ttypes.Member: ("name", "address", "http_address"),
    ttypes.PutClaim: ("claim",),
    ttypes.Resources: (
        "cpu_millicores",
        "memory_bytes",
        "accelerators_count",
    ),
    ttypes.RunEvent: ("task", "epoch", "kind"),
    ttypes.RunningTask: ("task", "epoch"),
    ttypes.SetEvacuation: ("data_centre", "active"),
    ttypes.SnapshotChunk: (
        "term",
        "leader",
        "last_index",
        "last_term",
        "offset_bytes",
        "data",
        "done",
    ),
    ttypes.Usage: ("task", "cpu_millicores", "memory_bytes", "age_ms"),
    ttypes.VoteRequest: ("term", "candidate", "last_index", "last_term"),
    ttypes.WatchRequest: ("role", "subscriber"),
    ttypes.Worker: (
        "name",
        "data_centre",
        "rack",
        "capacity",
        "agent_address",
        "state",
    ),
}


class ValidatingHandler:
    """Wraps a handler and validates the arguments of each call."""

    def __init__(self, handler: object):
        self._handler = handler

    def __getattr__(self, name: str) -> Callable[..., object]:
        """Returns the handler's method of that name, with validated arguments."""
        method = getattr(self._handler, name)

        def validated(*arguments: object) -> object:
            for argument in arguments:
                validate(argument)
            return method(*arguments)

        # Later lookups find the attribute and do not call this method.
        setattr(self, name, validated)
        return validated


def validate(value: object) -> None:
    """Checks that a message and all nested records have their required fields.

    Raises:
        BadInputError: A field is missing; the error message names it.
    """
    if value is None:
        raise errors.BadInputError("an argument is missing")
    if isinstance(value, list):
        for item in value:
            validate(item)
        return
    record_class = type(value)
    for name in REQUIRED_FIELDS.get(record_class, ()):
        if getattr(value, name) is None:
            raise errors.BadInputError(
                f"{name} of {record_class.__name__} is missing"
            )
    for name in _nested_fields(record_class):
        nested = getattr(value, name)
        if nested is not None:
            validate(nested)


@functools.cache
def _nested_fields(record_class: type) -> tuple[str, ...]:
    """Returns the fields of a record class that hold records or lists."""
    fields = getattr(record_class, "thrift_spec", ())
    return tuple(
        f[2] for f in fields if f is not None and f[1] in _CONTAINER_TYPES
    )
