"""Policy files: TOML, or lines of key=value, with the settings of placement."""

from collections.abc import Callable
import math

from marigoldsill import errors
from marigoldsill.protocol import toml_document
from marigoldsill.protocol.generated import ttypes

_LEASE_LOW_MS = 500
_LEASE_HIGH_MS = 60_000


def parse(data: bytes, current: ttypes.Policy) -> ttypes.Policy:
    """Parses a policy; omitted fields keep their value in `current`.

    Raises:
        IntentError: It is not valid TOML or has invalid values; the message
            lists all errors.
    """
    document = toml_document.parse(data, description="the policy")
    problems = [
        problem for item in document.items() for problem in _check(*item)
    ]
    if not document:
        problems = [
            f"the policy is empty; expected one of {', '.join(_FIELDS)}"
        ]
    if problems:
        raise errors.IntentError("\n".join(problems))
    slots = ttypes.Policy.__slots__
    values = {slot: getattr(current, slot) for slot in slots} | document
    return ttypes.Policy(
        **{k: float(v) if k in _RATIOS else v for k, v in values.items()}
    )


def _check(key: str, value: object) -> list[str]:
    if key not in _FIELDS:
        return [
            f"unknown field {toml_document.short_repr(key)}; expected one of {', '.join(_FIELDS)}"
        ]
    is_valid, expected = _FIELDS[key]
    if is_valid(value):
        return []
    return [
        f"{key}: invalid value {toml_document.short_repr(value)}: expected {expected}"
    ]


def _is_ratio(value: object) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return math.isfinite(value) and 0 <= value <= 1


def _is_lease(value: object) -> bool:
    if isinstance(value, bool) or not isinstance(value, int):
        return False
    return _LEASE_LOW_MS <= value <= _LEASE_HIGH_MS


def _is_flag(value: object) -> bool:
    return isinstance(value, bool)


_RATIO = (_is_ratio, "a number from 0 to 1")
_RATIOS = frozenset({"latency_weight", "batch_weight", "eviction_share_limit"})
_FIELDS: dict[str, tuple[Callable[[object], bool], str]] = {
    **dict.fromkeys(sorted(_RATIOS), _RATIO),
    "lease_ms": (
        _is_lease,
        f"an integer from {_LEASE_LOW_MS} to {_LEASE_HIGH_MS}",
    ),
    "sharing_allowed": (_is_flag, "true or false"),
}
