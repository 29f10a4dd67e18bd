"""Parses network addresses as written in settings: host:port."""

import re

from marigoldsill import errors

_PORT = re.compile(r"[0-9]{1,5}")
_PORT_LIMIT = 65535


def parse(text: str) -> tuple[str, int]:
    """Splits "host:port" into host and port.

    Raises:
        SettingsError: The text is not a valid address.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not _PORT.fullmatch(port):
        raise errors.SettingsError(
            f"invalid address {text!r}: expected host:port, for example "
            "127.0.0.1:7400"
        )
    if int(port) > _PORT_LIMIT:
        raise errors.SettingsError(
            f"invalid port {port} in {text!r}: expected at most {_PORT_LIMIT}"
        )
    return host.strip("[]"), int(port)


def listen_error(address: str, error: OSError) -> errors.SettingsError:
    """Creates the error for an address that cannot be bound."""
    return errors.SettingsError(
        f"cannot listen at {address}: {error.strerror or error}; choose a "
        "free address of this machine"
    )
