"""Parses the requests of operators for changes."""

import json

from marigoldsill import errors
from marigoldsill.coordination.plans import planning
from marigoldsill.protocol import intent_file
from marigoldsill.protocol import policy_file
from marigoldsill.protocol import toml_document
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module

ACTIONS = (
    "apply",
    "remove",
    "drain",
    "undrain",
    "evacuate",
    "end-evacuation",
    "cancel",
    "policy",
)


def parse(
    tables: tables_module.Tables, action: str, body: bytes
) -> list[ttypes.Change]:
    """Returns the changes that a request asks for.

    Args:
        tables: The state that they would change.
        action: One of `ACTIONS`.
        body: The request body; its format depends on the action.

    Raises:
        BadInputError: The action or the body is invalid.
        ConflictError: A name is taken.
        NotFoundError: A name is unknown.
    """
    match action:
        case "apply":
            return planning.changes_for_apply(tables, intent_file.parse(body))
        case "remove":
            return planning.changes_for_remove(
                tables, _parse_field(body, "name", str)
            )
        case "drain" | "undrain":
            return planning.changes_for_drain(
                tables,
                _parse_field(body, "name", str),
                drain=action == "drain",
            )
        case "evacuate" | "end-evacuation":
            return planning.changes_for_evacuation(
                tables,
                _parse_field(body, "name", str),
                evacuate=action == "evacuate",
            )
        case "cancel":
            return planning.changes_for_cancel(tables, _parse_names(body))
        case "policy":
            return planning.changes_for_policy(
                tables, policy_file.parse(body, tables.policy)
            )
        case _:
            raise errors.BadInputError(
                f"invalid action {action!r}: expected one of {', '.join(ACTIONS)}"
            )


def _parse_names(body: bytes) -> list[str]:
    names = _parse_field(body, "names", list)
    if not all(isinstance(name, str) for name in names):
        raise errors.BadInputError(
            f"invalid 'names' {names!r}: expected a list of strings"
        )
    return names


def _parse_field(body: bytes, name: str, kind: type) -> object:
    try:
        value = json.loads(body)[name]
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise errors.BadInputError(
            f"invalid body: expected a JSON object with {name!r}"
        ) from error
    if not isinstance(value, kind):
        raise errors.BadInputError(
            f"invalid {name!r} {toml_document.short_repr(value)}: "
            f"expected a {kind.__name__}"
        )
    return value
