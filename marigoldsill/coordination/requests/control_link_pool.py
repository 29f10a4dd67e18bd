"""Pool of an entry's connections to the leader of control, for its claims.

A claim waits for its commit on a connection of its own, so that claims share commits.
The number of connections therefore bounds the rate of claims while commits are slow.
"""

from collections.abc import Iterator
import contextlib
import threading

from marigoldsill import errors
from marigoldsill.coordination.leadership import (
    control_addresses as control_addresses_module,
)
from marigoldsill.coordination.leadership import control_link
from marigoldsill.coordination.requests import request_metrics
from marigoldsill.transport import network_partitions

_LINKS_COUNT = 64
# More idle connections than these are closed: each takes a thread of the leader.
_IDLE_LINKS_COUNT = 16


class ControlLinkPool:
    """Pools connections; each carries one call at a time."""

    def __init__(
        self,
        *,
        control_addresses: tuple[str, ...],
        partitions: network_partitions.NetworkPartitions | None = None,
    ):
        self._addresses = control_addresses_module.ControlAddresses(
            control_addresses
        )
        self._partitions = partitions
        self._free = threading.BoundedSemaphore(_LINKS_COUNT)
        self._lock = threading.Lock()
        # The link that was used last comes first, so that few are open while commits
        # are fast.
        self._idle: list[control_link.ControlLink] = []
        self._leader_address = control_addresses[0]

    @contextlib.contextmanager
    def acquire(
        self, *, timeout_s: float
    ) -> Iterator[control_link.ControlLink]:
        """Lends a link, which calls the leader that others found first.

        Raises:
            NoQuorumError: All links are in use.
        """
        with request_metrics.CLAIM_LINK_WAIT.time():
            is_free = self._free.acquire(timeout=max(0.0, timeout_s))
        if not is_free:
            raise errors.NoQuorumError(
                f"all {_LINKS_COUNT} connections to control are in use; the "
                "request was not run",
                retry_after_ms=1000,
            )
        try:
            with self._lend() as link:
                yield link
        finally:
            self._free.release()

    @contextlib.contextmanager
    def _lend(self) -> Iterator[control_link.ControlLink]:
        first_address = self._leader_address
        link = self._take_idle()
        link.set_address(first_address)
        has_failed = True
        try:
            yield link
            has_failed = False
        finally:
            # A failure says nothing about the leader that others have found since.
            if not has_failed or self._leader_address == first_address:
                self._leader_address = link.address
            self._put_idle(link)

    def _take_idle(self) -> control_link.ControlLink:
        with self._lock:
            if self._idle:
                return self._idle.pop()
        return control_link.ControlLink(
            addresses=self._addresses, partitions=self._partitions
        )

    def _put_idle(self, link: control_link.ControlLink) -> None:
        with self._lock:
            if len(self._idle) < _IDLE_LINKS_COUNT:
                self._idle.append(link)
                return
        link.close()
