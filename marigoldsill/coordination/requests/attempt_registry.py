"""Registry of the attempts that an agent has received, so that none runs twice.

A refused or cancelled attempt leaves a tombstone, so a late copy of it is refused
as well. Records are kept for longer than any deadline. Claimed requests carry a
sequence number that grows with each claim. When the record of one is dropped,
every claim up to its number is refused from then on, so that even a very late
copy cannot run.
"""

import collections
from collections.abc import Callable
import dataclasses
import enum
import threading
import time

from marigoldsill.protocol.generated import ttypes

_RETENTION_S = 120.0
_RECORDS_LIMIT = 50_000
_STORED_BODIES_LIMIT_BYTES = 4 << 20
_STORED_BODY_LIMIT_BYTES = 64 << 10


class AttemptState(enum.Enum):
    """The state of an attempt on this agent."""

    QUEUED = enum.auto()
    RUNNING = enum.auto()
    REFUSED = enum.auto()
    DONE = enum.auto()
    UNKNOWN = enum.auto()


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """An attempt that was received, or that must never run here.

    Attributes:
        sequence: Sequence number of its claim; 0 for an idempotent request.
        added_s: When it was registered, on the monotonic clock.
        is_cancelled: Whether its caller or entry has cancelled it.
        cancel_callback: Ends its wait for a slot or its call to the endpoint.
        state: Its state.
        reply: The stored answer to a claimed request, for repeats of it.
    """

    sequence: int
    added_s: float
    is_cancelled: bool = False
    cancel_callback: Callable[[], None] | None = None
    state: AttemptState = AttemptState.QUEUED
    reply: ttypes.CallReply | None = None

    @property
    def is_active(self) -> bool:
        """Whether it is queued or running."""
        return self.state in (AttemptState.QUEUED, AttemptState.RUNNING)


class AttemptRegistry:
    """The attempts of the last minutes, by request id and attempt number."""

    def __init__(self, *, records_limit: int = _RECORDS_LIMIT):
        self._records_limit = records_limit
        self._lock = threading.Lock()
        self._attempts: collections.OrderedDict[tuple[str, int], Attempt] = (
            collections.OrderedDict()
        )
        self._dropped_sequence = 0
        self._incomplete_until_s = 0.0
        self._stored_bytes = 0

    def register(self, request: ttypes.CallRequest) -> Attempt:
        """Registers an attempt that was received.

        Raises:
            Refused: It is a duplicate, was cancelled before, or its claim is
                too old to know.
        """
        key = (request.request_id, request.attempt)
        with self._lock:
            self._drop_old()
            known = self._attempts.get(key)
            if known is not None:
                raise ttypes.Refused(reason=_refusal_reason(known))
            if 0 < request.claim_sequence <= self._dropped_sequence:
                raise ttypes.Refused(reason=ttypes.RefusalReason.CLAIM_TOO_OLD)
            return self._add(key, request.claim_sequence, AttemptState.QUEUED)

    def mark_running(self, attempt: Attempt) -> None:
        """Marks an attempt as running, before it is sent to its endpoint.

        Raises:
            Refused: It was cancelled while it was queued.
        """
        with self._lock:
            if attempt.state != AttemptState.QUEUED:
                raise ttypes.Refused(reason=ttypes.RefusalReason.CANCELLED)
            attempt.state = AttemptState.RUNNING

    def set_cancel_callback(
        self, attempt: Attempt, cancel: Callable[[], None]
    ) -> None:
        """Sets what cancels an attempt; called at once if it is cancelled.

        It is not called for a claimed attempt that runs: its answer is still
        needed.
        """
        with self._lock:
            attempt.cancel_callback = cancel
            is_due = attempt.is_cancelled and not (
                attempt.sequence and attempt.state == AttemptState.RUNNING
            )
        if is_due:
            cancel()

    def mark_refused(self, attempt: Attempt) -> None:
        """Marks an attempt as refused: it never runs."""
        with self._lock:
            attempt.state = AttemptState.REFUSED

    def mark_unknown(self, attempt: Attempt) -> None:
        """Marks an attempt that may have run but has no complete answer."""
        with self._lock:
            attempt.state = AttemptState.UNKNOWN

    def mark_done(self, attempt: Attempt, reply: ttypes.CallReply) -> bool:
        """Marks an attempt as answered and stores the answer to a claimed one.

        Returns:
            Whether the answer is still needed: the attempt was not cancelled.
        """
        size_bytes = len(reply.body)
        with self._lock:
            attempt.state = AttemptState.DONE
            if (
                attempt.sequence
                and size_bytes <= _STORED_BODY_LIMIT_BYTES
                and self._stored_bytes + size_bytes
                <= _STORED_BODIES_LIMIT_BYTES
            ):
                attempt.reply = reply
                self._stored_bytes += size_bytes
            return not attempt.is_cancelled

    def cancel(self, request_id: str, attempt_number: int) -> bool:
        """Cancels an attempt, which may not have been received yet.

        Returns:
            Whether the attempt has certainly not run and never will.
        """
        key = (request_id, attempt_number)
        with self._lock:
            self._drop_old()
            known = self._attempts.get(key)
            if known is None:
                self._add(key, 0, AttemptState.REFUSED)
                return time.monotonic() >= self._incomplete_until_s
            return _cancel(known)

    def resolve(self, request: ttypes.ResolveRequest) -> ttypes.ResolveReply:
        """Returns the state of a claimed request.

        A request that is not running yet is cancelled if `request.end` is set.
        """
        key = (request.request_id, request.attempt)
        with self._lock:
            self._drop_old()
            known = self._attempts.get(key)
            if known is None:
                return self._resolve_unregistered(key, request)
            if request.end and known.state == AttemptState.QUEUED:
                _cancel(known)
            if known.state == AttemptState.REFUSED:
                # A cancellation that came before the request named no claim.
                known.sequence = request.claim_sequence
            return ttypes.ResolveReply(
                state=_claim_state(known), reply=known.reply
            )

    def _resolve_unregistered(
        self, key: tuple[str, int], request: ttypes.ResolveRequest
    ) -> ttypes.ResolveReply:
        if request.claim_sequence <= self._dropped_sequence:
            return ttypes.ResolveReply(state=ttypes.ClaimState.UNKNOWN)
        if not request.end:
            return ttypes.ResolveReply(state=ttypes.ClaimState.CLAIMED)
        self._add(key, request.claim_sequence, AttemptState.REFUSED)
        return ttypes.ResolveReply(state=ttypes.ClaimState.NOT_RUN)

    def _add(
        self, key: tuple[str, int], sequence: int, state: AttemptState
    ) -> Attempt:
        attempt = Attempt(
            sequence=sequence,
            added_s=time.monotonic(),
            state=state,
        )
        self._attempts[key] = attempt
        return attempt

    def _drop_old(self) -> None:
        now_s = time.monotonic()
        while self._attempts:
            key, oldest = next(iter(self._attempts.items()))
            is_full = len(self._attempts) >= self._records_limit
            if not is_full and oldest.added_s + _RETENTION_S > now_s:
                return
            if oldest.is_active:
                self._attempts.move_to_end(key)
                return
            if oldest.added_s + _RETENTION_S > now_s:
                self._incomplete_until_s = now_s + _RETENTION_S
            del self._attempts[key]
            self._dropped_sequence = max(
                self._dropped_sequence, oldest.sequence
            )
            if oldest.reply is not None:
                self._stored_bytes -= len(oldest.reply.body)


def _cancel(attempt: Attempt) -> bool:
    """Cancels a known attempt; returns whether it never runs."""
    attempt.is_cancelled = True
    if attempt.state == AttemptState.RUNNING and attempt.sequence:
        # Its answer is still needed: a repeat with its key asks for it.
        return False
    if attempt.state == AttemptState.QUEUED:
        attempt.state = AttemptState.REFUSED
    if attempt.cancel_callback is not None:
        attempt.cancel_callback()
    return attempt.state == AttemptState.REFUSED


def _refusal_reason(attempt: Attempt) -> ttypes.RefusalReason:
    if attempt.state == AttemptState.REFUSED:
        return ttypes.RefusalReason.CANCELLED
    return ttypes.RefusalReason.DUPLICATE


def _claim_state(attempt: Attempt) -> ttypes.ClaimState:
    match attempt.state:
        case AttemptState.QUEUED | AttemptState.RUNNING:
            return ttypes.ClaimState.CLAIMED
        case AttemptState.REFUSED:
            return ttypes.ClaimState.NOT_RUN
        case AttemptState.DONE:
            return ttypes.ClaimState.DONE
        case _:
            return ttypes.ClaimState.UNKNOWN
