"""Calls to the leader of the control processes."""

import threading
import time

from marigoldsill import errors
from marigoldsill.coordination.leadership import control_addresses
from marigoldsill.protocol.generated import Control
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import network_partitions
from marigoldsill.transport import thrift_client

SERVICE_NAME = "control"
_ATTEMPTS_PER_ADDRESS = 2


class ControlLink:
    """A connection to the current leader of control.

    It carries one call at a time; threads that call at the same time need a link
    each.
    """

    def __init__(
        self,
        *,
        addresses: control_addresses.ControlAddresses,
        partitions: network_partitions.NetworkPartitions | None = None,
    ):
        """Creates a link that connects with its first call.

        Args:
            addresses: Addresses of control processes; may change at any time.
            partitions: Simulated network partitions, for tests.
        """
        self._addresses = addresses
        self._partitions = partitions
        self._current = addresses.all()[0]
        # The last address taken from the list. A referral does not change it;
        # otherwise one process with an outdated view would keep the link from
        # trying the addresses listed after it.
        self._last_listed = self._current
        self._lock = threading.Lock()
        self._connection: thrift_client.Connection | None = None

    @property
    def address(self) -> str:
        """The address that the next call tries first."""
        return self._current

    def set_address(self, address: str) -> None:
        """Makes the next call try an address first."""
        with self._lock:
            if address != self._current:
                self._set_address(address)

    def call(self, method: str, *requests: object, timeout_s: float) -> object:
        """Calls the leader, searching for it among the known addresses.

        Args:
            method: The method of `Control`.
            *requests: Its arguments.
            timeout_s: Limit for the whole call, including the search.

        Returns:
            The leader's reply.

        Raises:
            NoQuorumError: No leader answered; the request was not executed.
            UnknownOutcomeError: The request may have been executed, but no
                reply arrived.
        """
        with self._lock:
            return self._call(method, requests, timeout_s)

    def switch_address(self) -> None:
        """Makes the next call try another process, as this one no longer leads."""
        with self._lock:
            self._set_address(self._next_address())

    def close(self) -> None:
        """Closes the connection."""
        if self._connection is not None:
            self._connection.abort()

    def _call(
        self, method: str, requests: tuple[object, ...], timeout_s: float
    ) -> object:
        attempts = _ATTEMPTS_PER_ADDRESS * len(self._addresses.all())
        end_s = time.monotonic() + timeout_s
        for _ in range(attempts):
            remaining_s = end_s - time.monotonic()
            if remaining_s <= 0:
                break
            try:
                return self._connect().call(
                    method, *requests, timeout_s=remaining_s
                )
            except ttypes.NotLeader as error:
                self._set_address(error.leader_address or self._next_address())
            except ttypes.NoQuorum as error:
                self._set_address(self._next_address())
                raise errors.NoQuorumError(
                    "control currently has no majority",
                    retry_after_ms=error.retry_after_ms,
                ) from error
            except errors.TransportError as error:
                self._set_address(self._next_address())
                if error.sent:
                    raise errors.UnknownOutcomeError(error.message) from error
        raise errors.NoQuorumError(
            f"no leader of control found at {', '.join(self._addresses.all())}",
            retry_after_ms=500,
        )

    def _connect(self) -> thrift_client.Connection:
        if self._connection is None:
            self._connection = thrift_client.Connection(
                address=self._current,
                service_name=SERVICE_NAME,
                client_class=Control.Client,
                partitions=self._partitions,
            )
        return self._connection

    def _set_address(self, address: str) -> None:
        """Closes the connection and sets the address of the next one."""
        if self._connection is not None:
            self._connection.close()
        self._connection = None
        self._current = address

    def _next_address(self) -> str:
        """Returns the address in the list after the last one taken from it."""
        addresses = self._addresses.all()
        position = -1
        if self._last_listed in addresses:
            position = addresses.index(self._last_listed)
        self._last_listed = addresses[(position + 1) % len(addresses)]
        return self._last_listed
