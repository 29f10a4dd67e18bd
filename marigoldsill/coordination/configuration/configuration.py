"""The configuration in force in each process, and the deltas that update it.

A process never returns to an older version, and ignores deltas of an older leader.
After a restart it has no configuration, and is not ready until a leader that a
majority confirmed has sent the full one. Each update is verified: the versions of all
items must result in the checksum of control.
"""

from collections.abc import Iterable
import dataclasses
import functools
import itertools
import operator
import threading

from marigoldsill.protocol import codec
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module

_CACHED_DELTAS_LIMIT = 256


def delta_since(
    tables: tables_module.Tables, version: int, checksum: int
) -> ttypes.ConfigDelta:
    """Returns the changes that a subscriber with `version` lacks."""
    current = tables.config_version
    is_up_to_date = version == current and checksum == tables.config_checksum
    if is_up_to_date or version > current:
        # A new leader may not have applied all committed commands yet.
        return ttypes.ConfigDelta(version=version, checksum=checksum)
    is_full = version >= current or version < max(1, tables.forgotten_version)
    newest_first = reversed(tables.config_versions.values())
    changed = itertools.takewhile(
        lambda v: is_full or v.version > version, newest_first
    )
    items = [
        ttypes.ItemVersion(
            subject=v.subject, version=v.version, removed=v.removed
        )
        for v in changed
        if not (is_full and v.removed)
    ]
    names = [_split_subject(item.subject) for item in items]
    return ttypes.ConfigDelta(
        version=current,
        checksum=tables.config_checksum,
        whole=is_full,
        services=[
            tables.services[name]
            for kind, name in names
            if kind == "service" and name in tables.services
        ],
        policy=tables.policy,
        draining_workers=[
            name
            for kind, name in names
            if kind == "worker" and _is_draining(tables, name)
        ],
        items=items,
    )


class DeltaCache:
    """Deltas to the current version, each encoded once for all subscribers.

    Attributes:
        encodings_count: How many deltas were encoded.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._target = (0, 0)
        self._encoded: dict[tuple[int, int], bytes] = {}
        self.encodings_count = 0

    def encode_delta(
        self, tables: tables_module.Tables, version: int, checksum: int
    ) -> bytes:
        """Returns the encoded delta since a subscriber's version.

        The caller must hold the lock of `tables`.

        Args:
            tables: The current tables.
            version: The subscriber's version of the configuration.
            checksum: The subscriber's checksum.
        """
        target = (tables.config_version, tables.config_checksum)
        with self._lock:
            if (
                self._target != target
                or len(self._encoded) >= _CACHED_DELTAS_LIMIT
            ):
                self._target, self._encoded = target, {}
            base = (version, checksum)
            if base not in self._encoded:
                delta = delta_since(tables, version, checksum)
                self._encoded[base] = codec.encode(delta)
                self.encodings_count += 1
            return self._encoded[base]


@dataclasses.dataclass(slots=True, frozen=True)
class _VerifiedConfig:
    """A verified configuration, which is replaced as a whole by each update."""

    version: int = 0
    checksum: int = 0
    policy: ttypes.Policy = dataclasses.field(default_factory=ttypes.Policy)
    services: dict[str, ttypes.Service] = dataclasses.field(
        default_factory=dict
    )
    draining_workers: frozenset[str] = frozenset()
    items: dict[str, ttypes.ItemVersion] = dataclasses.field(
        default_factory=dict
    )


class Configuration:
    """The configuration in force in one process.

    Attributes:
        is_loaded: Whether a delta was accepted since the process started.
        needs_full_delta: Whether the last delta failed its check, so that the full
            configuration has to be requested.
        refused_count: How many deltas were refused, because they were older or failed
            their check.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._config = _VerifiedConfig()
        self._term = 0
        self.is_loaded = False
        self.needs_full_delta = False
        self.refused_count = 0

    @property
    def version(self) -> int:
        """The version in force in this process; 0 before the first."""
        return self._config.version

    @property
    def checksum(self) -> int:
        """The checksum of control at that version."""
        return self._config.checksum

    @property
    def policy(self) -> ttypes.Policy:
        """The operator policy."""
        return self._config.policy

    @property
    def draining_workers(self) -> frozenset[str]:
        """Workers that accept no new requests."""
        return self._config.draining_workers

    def get_service(self, name: str) -> ttypes.Service | None:
        """Returns a service by name, or None."""
        return self._config.services.get(name)

    def apply(self, delta: ttypes.ConfigDelta, *, term: int = 0) -> bool:
        """Brings a delta into force if it is valid.

        A delta is refused if it is of an older leader or version, or if it does not
        result in its checksum. The current configuration then stays in force.

        Args:
            delta: The delta.
            term: The term of the leader that sent it.

        Returns:
            Whether the version changed.
        """
        with self._lock:
            if term < self._term or delta.version < self._config.version:
                self.refused_count += 1
                return False
            new = (
                self._config
                if delta.policy is None
                else _apply_delta(self._config, delta)
            )
            if (new.version, new.checksum) != (delta.version, delta.checksum):
                self.refused_count += 1
                self.needs_full_delta = True
                return False
            self._term = term
            self.is_loaded = True
            self.needs_full_delta = False
            is_changed = new.version != self._config.version
            self._config = new
            return is_changed


def _apply_delta(
    current: _VerifiedConfig, delta: ttypes.ConfigDelta
) -> _VerifiedConfig:
    base = _VerifiedConfig() if delta.whole else current
    removed = {item.subject for item in delta.items if item.removed}
    present = [item for item in delta.items if not item.removed]
    new = {item.subject: item for item in present}
    replaced = [base.items[s] for s in removed | new.keys() if s in base.items]
    services = _without_keys(
        base.services, {name for kind, name in map(_split_subject, removed)}
    )
    updated = {_split_subject(item.subject)[1] for item in present}
    draining = base.draining_workers - updated | set(delta.draining_workers)
    return _VerifiedConfig(
        version=delta.version,
        checksum=_update_checksum(base.checksum, [*replaced, *present]),
        policy=delta.policy,
        services=services | {s.name: s for s in delta.services},
        draining_workers=frozenset(draining),
        items=_without_keys(base.items, removed) | new,
    )


def _update_checksum(checksum: int, items: Iterable[ttypes.ItemVersion]) -> int:
    """Returns the checksum after items were removed from the configuration or added."""
    digests = map(tables_module.subject_digest, items)
    return functools.reduce(operator.xor, digests, checksum)


def _without_keys(records: dict, keys: set[str]) -> dict:
    return {k: v for k, v in records.items() if k not in keys}


def _split_subject(subject: str) -> tuple[str, str]:
    kind, _, name = subject.partition("/")
    return kind, name


def _is_draining(tables: tables_module.Tables, name: str) -> bool:
    worker = tables.workers.get(name)
    return worker is not None and tables.is_draining(worker)
