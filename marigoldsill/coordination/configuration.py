"""The configuration in force: deltas from control, held by each process.

A process never goes back to an older version. A restarted process holds
nothing and is not ready before a leader that a majority confirmed has told it
the whole.
"""

import itertools
import threading

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module


def delta_since(
    tables: tables_module.Tables, version: int, checksum: int
) -> ttypes.ConfigDelta:
    """What a subscriber that holds `version` lacks."""
    if version == tables.state_version and checksum == tables.config_checksum:
        return ttypes.ConfigDelta(version=version, checksum=checksum)
    whole = version <= 0 or version >= tables.state_version
    newest = reversed(tables.versions.values())
    changed = list(
        itertools.takewhile(lambda v: whole or v.version > version, newest)
    )
    services = [v for v in changed if v.subject.startswith("service/")]
    names = [v.subject.partition("/")[2] for v in services if not v.removed]
    return ttypes.ConfigDelta(
        version=tables.state_version,
        checksum=tables.config_checksum,
        whole=whole,
        services=[tables.services[n] for n in names if n in tables.services],
        removed_services=[
            v.subject.partition("/")[2] for v in services if v.removed
        ],
        policy=tables.policy,
        draining_workers=[
            w.name
            for w in tables.workers.values()
            if w.state == ttypes.WorkerState.DRAINING
        ],
    )


class Configuration:
    """What one process holds of the configuration.

    Attributes:
        version: The version in force here; 0 before the first.
        checksum: Control's checksum at that version.
        policy: Operator policy.
        draining_workers: Workers that take no new requests.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self.version = 0
        self.checksum = 0
        self.known = False
        self.policy = ttypes.Policy()
        self.draining_workers: frozenset[str] = frozenset()
        self._services: dict[str, ttypes.Service] = {}

    def service(self, name: str) -> ttypes.Service | None:
        """A service by name, or None."""
        return self._services.get(name)

    def apply(self, delta: ttypes.ConfigDelta) -> bool:
        """Brings a delta into force; an older one is refused.

        Returns:
            Whether anything changed.
        """
        with self._lock:
            if delta.version < self.version:
                return False
            self.known = True
            if delta.policy is None:
                return False
            services = {} if delta.whole else dict(self._services)
            for name in delta.removed_services:
                services.pop(name, None)
            services |= {s.name: s for s in delta.services}
            self._services = services
            self.policy = delta.policy
            self.draining_workers = frozenset(delta.draining_workers)
            self.version = delta.version
            self.checksum = delta.checksum
            return True
