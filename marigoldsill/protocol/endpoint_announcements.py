"""Parses the JSON list of endpoints that is announced to the agent next to them."""

import json
import re

from marigoldsill import errors
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import addresses
from marigoldsill.transport import logs

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_TASK = re.compile(r"[A-Za-z0-9._/-]{0,100}")
_COUNT_LIMIT = 100_000
_ENDPOINTS_LIMIT = 1000


def parse(body: bytes) -> list[ttypes.EndpointInfo]:
    """Parses an announcement and skips invalid entries.

    Raises:
        BadInputError: It is not a list, or all of its entries are invalid. The
            previous announcement stays in force.
    """
    try:
        items = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise errors.BadInputError(
            "the announcement is not valid JSON; expected a list of objects"
        ) from error
    if not isinstance(items, list) or len(items) > _ENDPOINTS_LIMIT:
        raise errors.BadInputError(
            "invalid announcement: expected a list of at most "
            f"{_ENDPOINTS_LIMIT} objects"
        )
    endpoints, failures = [], []
    for item in items:
        try:
            endpoints.append(_parse_endpoint(item))
        except errors.BadInputError as error:
            failures.append(error)
    if failures and not endpoints:
        raise failures[0]
    for error in failures:
        logs.event("entry_unread", level="WARNING", reason=error.message)
    return endpoints


def _parse_endpoint(item: object) -> ttypes.EndpointInfo:
    if not isinstance(item, dict):
        raise errors.BadInputError(
            "invalid endpoint: expected an object with the fields service, "
            "address, slots_count, connections_count and task"
        )
    return ttypes.EndpointInfo(
        service_name=_parse_text(item, "service", _NAME),
        address=_parse_address(item),
        slots_count=_parse_count(item, "slots_count"),
        connections_count=_parse_count(item, "connections_count"),
        task=_parse_text(item, "task", _TASK) if "task" in item else "",
    )


def _parse_text(item: dict, field: str, pattern: re.Pattern) -> str:
    value = item.get(field)
    if not isinstance(value, str) or not pattern.fullmatch(value):
        raise errors.BadInputError(
            f"invalid {field} of an endpoint: expected a text that matches "
            f"{pattern.pattern}"
        )
    return value


def _parse_address(item: dict) -> str:
    value = item.get("address")
    if not isinstance(value, str) or not value.isascii():
        raise errors.BadInputError(
            "invalid address of an endpoint: expected host:port"
        )
    addresses.parse(value)
    return value


def _parse_count(item: dict, field: str) -> int:
    value = item.get(field)
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not 0 <= value <= _COUNT_LIMIT:
        raise errors.BadInputError(
            f"invalid {field} of an endpoint: expected an integer from 0 to "
            f"{_COUNT_LIMIT}"
        )
    return value
