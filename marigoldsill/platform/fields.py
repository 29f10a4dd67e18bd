"""Reads fields of decoded JSON or TOML and raises typed errors for invalid ones."""

import json
from typing import Any

from marigoldsill import errors

# Maximum length of a value in an error message, in characters.
_SHOWN_LENGTH_LIMIT = 60
_INTEGER_LIMIT = 1 << 53


class Fields:
    """A table of named fields, each of which is checked when it is read.

    Attributes:
        where: What the table describes, for error messages.
    """

    def __init__(self, values: object, *, where: str):
        if not isinstance(values, dict):
            raise errors.BadInputError(
                f"{where} is {_format(values)}; accepted is a table of fields"
            )
        self._values = values
        self.where = where

    def get_string(
        self,
        name: str,
        *,
        default: str | None = None,
        limit_bytes: int = 1 << 20,
    ) -> str:
        """Returns a string; the field is required if there is no default."""
        value = self._values.get(name, default)
        if not _is_string(value):
            raise self._invalid(name, value, "a text")
        if len(value.encode()) > limit_bytes:
            raise self._invalid(name, value, f"at most {limit_bytes} bytes")
        return value

    def get_integer(
        self,
        name: str,
        *,
        default: int | None = None,
        low: int = 0,
        high: int = _INTEGER_LIMIT,
    ) -> int:
        """Returns an integer from `low` to `high`."""
        value = self._values.get(name, default)
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if not is_integer or not low <= value <= high:
            raise self._invalid(name, value, f"a whole number of {low} or more")
        return value

    def get_optional_integer(self, name: str) -> int | None:
        """Returns an integer of at least 0, or None if the field is missing."""
        return self.get_integer(name) if name in self._values else None

    def get_number(
        self, name: str, *, default: float | None = None, low: float = 0.0
    ) -> float:
        """Returns a number of `low` or more."""
        value = self._values.get(name, default)
        is_number = isinstance(value, int | float)
        expected = f"a number of {low:g} or more"
        if isinstance(value, bool) or not is_number:
            raise self._invalid(name, value, expected)
        if not low <= value <= _INTEGER_LIMIT:
            raise self._invalid(name, value, expected)
        return float(value)

    def get_boolean(self, name: str, *, default: bool | None = False) -> bool:
        """Returns a boolean."""
        value = self._values.get(name, default)
        if not isinstance(value, bool):
            raise self._invalid(name, value, "true or false")
        return value

    def get_list(self, name: str, *, required: bool = False) -> list[Any]:
        """Returns a list of unchecked items; empty if the field is missing."""
        value = self._values.get(name, None if required else [])
        if not isinstance(value, list):
            raise self._invalid(name, value, "a list")
        return value

    def get_tables(
        self, name: str, *, required: bool = False
    ) -> list["Fields"]:
        """Returns a list of tables; empty if the field is missing."""
        return [
            Fields(item, where=f"{name}[{index}]")
            for index, item in enumerate(self.get_list(name, required=required))
        ]

    def get_table(self, name: str, *, required: bool = False) -> "Fields":
        """Returns a nested table; empty if the field is missing."""
        value = self._values.get(name, None if required else {})
        return Fields(value, where=f"{self.where}.{name}")

    def get_strings(self, name: str, *, required: bool = False) -> list[str]:
        """Returns a list of strings; empty if the field is missing."""
        values = self.get_list(name, required=required)
        if not all(_is_string(value) for value in values):
            raise self._invalid(name, values, "a list of texts")
        return values

    def get_raw_table(self, name: str) -> dict[str, Any]:
        """Returns a nested table with unchecked fields; empty if it is missing."""
        value = self._values.get(name, {})
        if not isinstance(value, dict):
            raise self._invalid(name, value, "a table")
        return value

    def _invalid(
        self, name: str, value: object, expected: str
    ) -> errors.BadInputError:
        return errors.BadInputError(
            f"{name} of {self.where} is {_format(value)}; accepted is {expected}"
        )


def decode_json(body: bytes, *, where: str) -> Fields:
    """Returns the fields of a JSON object.

    Raises:
        BadInputError: The body is not a JSON object.
    """
    try:
        values = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise errors.BadInputError(f"{where} is no JSON: {error}") from error
    return Fields(values, where=where)


def _is_string(value: object) -> bool:
    """Whether a value is a string that can be encoded as UTF-8.

    JSON may contain unpaired surrogates, which cannot be encoded.
    """
    if not isinstance(value, str):
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def _format(value: object) -> str:
    """Formats a value for an error message, truncated if it is long."""
    if value is None:
        return "missing"
    text = repr(value)
    if len(text) <= _SHOWN_LENGTH_LIMIT:
        return text
    return text[:_SHOWN_LENGTH_LIMIT] + "..."
