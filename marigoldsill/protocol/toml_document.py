"""Parses TOML from untrusted sources at a bounded cost."""

import reprlib
import tomllib

from marigoldsill import errors

SIZE_LIMIT_BYTES = 256 << 10
# Parsing a dotted key takes time quadratic in its parts; the keys of these files have
# no dots.
_DOTS_PER_LINE_LIMIT = 24
_REPR_LIMIT = 60


def parse(data: bytes, *, description: str) -> dict[str, object]:
    """Parses a document.

    Args:
        data: The document in UTF-8.
        description: Its name in error messages, for example "the intent file".

    Raises:
        IntentError: It is not valid TOML in UTF-8.
        TooLargeError: It is larger than `SIZE_LIMIT_BYTES`.
    """
    if len(data) > SIZE_LIMIT_BYTES:
        raise errors.TooLargeError(
            f"{description} has {len(data)} bytes; expected at most "
            f"{SIZE_LIMIT_BYTES}"
        )
    text = _decode(data, description)
    try:
        return tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        raise errors.IntentError(
            f"{description} is not valid TOML: {short_repr(str(error))}"
        ) from error


def short_repr(value: object) -> str:
    """Returns a shortened representation of any value for error messages."""
    formatter = reprlib.Repr()
    formatter.maxstring = formatter.maxother = formatter.maxlong = _REPR_LIMIT
    return formatter.repr(value)


def _decode(data: bytes, description: str) -> str:
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise errors.IntentError(
            f"{description} is not valid UTF-8 at byte {error.start}"
        ) from error
    for number, line in enumerate(text.split("\n"), start=1):
        if line.count(".") > _DOTS_PER_LINE_LIMIT:
            raise errors.IntentError(
                f"line {number} has {line.count('.')} dots; expected at most "
                f"{_DOTS_PER_LINE_LIMIT} in a line"
            )
    return text
