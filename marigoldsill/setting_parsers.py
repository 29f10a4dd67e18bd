"""Parsers of the texts of settings; each raises `SettingsError` for an invalid text."""

from collections.abc import Callable
import dataclasses
import fractions
import re

from marigoldsill import errors
from marigoldsill.coordination.job_queueing import concurrency_limits
from marigoldsill.transport import addresses

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_HOST = re.compile(r"[A-Za-z0-9.:_-]+")
# Hosts that a process can listen on, but that others can't connect to.
_WILDCARD_HOSTS = ("0.0.0.0", "::")
_MEMBER_PARTS_COUNT = 3
_SWITCH_VALUES = ("on", "off")
_LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
_PRIORITY_SHARE = re.compile(r"priority-([0-9]{1,9})")
_RATIO = re.compile(r"[0-9]{0,3}(\.[0-9]{1,9})?")


def parse_name(text: str) -> str:
    """Parses the name of a process, data centre or rack."""
    if not _NAME_PATTERN.fullmatch(text):
        raise errors.SettingsError(
            f"invalid name {text!r}: expected 1 to 63 letters, digits, "
            "'.', '_' and '-', with a letter or digit first"
        )
    return text


def parse_address(text: str) -> str:
    """Parses an address "host:port"."""
    addresses.parse(text)
    return text


def parse_reachable_address(text: str) -> str:
    """Parses an address "host:port" that others can connect to; it may be empty."""
    if not text:
        return text
    host, port = addresses.parse(text)
    if not port or not _HOST.fullmatch(host) or host in _WILDCARD_HOSTS:
        raise errors.SettingsError(
            f"unreachable address {text!r}: expected host:port with the name or "
            "address of one machine, and a port from 1 to 65535"
        )
    return text


def parse_addresses(text: str) -> tuple[str, ...]:
    """Parses a list of addresses separated by commas."""
    parts = tuple(part.strip() for part in text.split(",") if part.strip())
    if not parts:
        raise errors.SettingsError(
            f"missing address in {text!r}: expected host:port,host:port"
        )
    return tuple(parse_address(part) for part in parts)


@dataclasses.dataclass(slots=True, frozen=True)
class MemberAddresses:
    """The addresses of a control process in the settings.

    Attributes:
        name: The name of the process.
        thrift_address: Address that its peers connect to, host:port.
        http_address: Address that operators connect to, host:port.
    """

    name: str
    thrift_address: str
    http_address: str


def parse_members(text: str) -> tuple[MemberAddresses, ...]:
    """Parses a list of control processes separated by commas."""
    parts = [part.strip().split("=") for part in text.split(",")]
    if not all(len(part) == _MEMBER_PARTS_COUNT for part in parts):
        raise errors.SettingsError(
            f"invalid list of control processes {text!r}: expected "
            "name=thrift host:port=http host:port, separated by commas"
        )
    return tuple(
        MemberAddresses(
            parse_name(name), parse_address(thrift), parse_address(http)
        )
        for name, thrift, http in parts
    )


@dataclasses.dataclass(slots=True, frozen=True)
class QueueShare:
    """A guaranteed share in the settings.

    Attributes:
        name: The name of a queue, or "priority-N" for all queues of priority N.
        ratio: The guaranteed part of the dominant resource of a pool.
    """

    name: str
    ratio: float


@dataclasses.dataclass(slots=True, frozen=True)
class QueueShares:
    """All guaranteed shares of the settings.

    Attributes:
        shares: The shares, each with another name.
    """

    shares: tuple[QueueShare, ...] = ()

    def __str__(self) -> str:
        """Returns the text of the setting."""
        return ",".join(f"{s.name}={s.ratio:g}" for s in self.shares)


def parse_queue_shares(text: str) -> QueueShares:
    """Parses guaranteed shares, name=ratio separated by commas; may be empty."""
    if not text.strip():
        return QueueShares()
    ratios: dict[str, fractions.Fraction] = {}
    for entry in text.split(","):
        name, ratio = _parse_share(entry.strip())
        if name in ratios:
            raise errors.SettingsError(
                f"duplicate share {name!r} in {text!r}: expected one ratio for "
                "each queue or priority"
            )
        ratios[name] = ratio
    total = sum(ratios.values())
    if total > 1:
        raise errors.SettingsError(
            f"shares {text!r} sum to {float(total):g}: expected at most 1"
        )
    return QueueShares(
        tuple(QueueShare(name, float(ratio)) for name, ratio in ratios.items())
    )


def _parse_share(entry: str) -> tuple[str, fractions.Fraction]:
    name, separator, ratio_text = (
        part.strip() for part in entry.partition("=")
    )
    if not separator:
        raise errors.SettingsError(
            f"invalid share {entry[:80]!r}: expected queue=ratio or "
            "priority-N=ratio, separated by commas"
        )
    if not _NAME_PATTERN.fullmatch(name):
        raise errors.SettingsError(
            f"invalid queue {name[:80]!r} of a share: expected 1 to 63 letters, "
            "digits, '.', '_' and '-', with a letter or digit first"
        )
    priority = _PRIORITY_SHARE.fullmatch(name)
    if priority:
        name = f"priority-{int(priority[1])}"
    is_number = bool(ratio_text) and _RATIO.fullmatch(ratio_text)
    ratio = fractions.Fraction(ratio_text if is_number else 0)
    if not 0 < ratio <= 1:
        raise errors.SettingsError(
            f"invalid ratio {ratio_text[:80]!r} of share {name!r}: expected a "
            "number above 0 and at most 1, such as 0.25"
        )
    return name, ratio


def parse_integer(low: int, high: int) -> Callable[[str], int]:
    """Returns a parser of whole numbers from `low` to `high`."""

    def check(text: str) -> int:
        try:
            value = int(text)
        except ValueError:
            value = None
        if value is None or not low <= value <= high:
            raise errors.SettingsError(
                f"invalid value {text!r}: expected a whole number from {low} "
                f"to {high}"
            )
        return value

    return check


def parse_switch(text: str) -> str:
    """Parses "on" or "off"."""
    if text not in _SWITCH_VALUES:
        raise errors.SettingsError(
            f"invalid value {text!r}: expected one of {', '.join(_SWITCH_VALUES)}"
        )
    return text


def parse_url(text: str) -> str:
    """Parses an HTTP URL such as http://127.0.0.1:9000."""
    if not re.fullmatch(r"http://[^/\s]+(/\S*)?", text):
        raise errors.SettingsError(
            f"invalid URL {text!r}: expected http://host:port"
        )
    return text.rstrip("/")


def parse_path(text: str) -> str:
    """Parses the path of a file or folder."""
    if not text.strip():
        raise errors.SettingsError("empty path: expected a file or folder")
    return text


def parse_log_level(text: str) -> str:
    """Parses the name of a log level."""
    if text.upper() not in _LOG_LEVELS:
        raise errors.SettingsError(
            f"invalid log level {text!r}: "
            f"expected one of {', '.join(_LOG_LEVELS)}"
        )
    return text.upper()


def parse_job_concurrency(text: str) -> str:
    """Parses a limit on jobs under way, and returns its text."""
    concurrency_limits.parse(text)
    return text


def parse_text(value: str) -> str:
    """Returns the text as it is; any text is valid."""
    return value
