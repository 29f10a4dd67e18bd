"""Writes lines to a file descriptor without blocking the callers.

One thread writes the lines of a bounded queue. While the reader of the descriptor
is blocked, lines that exceed the queue are dropped and counted, and the count is
reported after the reader continues.
"""

import collections
from collections.abc import Callable
import os
import threading

# Holds one second of lines at the highest rate that the rate limiter allows, or some
# minutes of a process with little to log.
QUEUE_LIMIT_BYTES = 512 * 1024
# Lines are batched for this long, which saves wakeups of the thread.
_BATCH_S = 0.1


class LineWriter:
    """A queue of lines and the thread that writes them.

    Attributes:
        dropped_count: Number of lines dropped so far.
    """

    def __init__(
        self,
        fd: int,
        *,
        on_dropped: Callable[[int], None],
        limit_bytes: int = QUEUE_LIMIT_BYTES,
    ):
        """Starts the writing thread.

        Args:
            fd: The file descriptor.
            on_dropped: Called with the number of dropped lines after other lines
                have been written; it may write a line itself.
            limit_bytes: Maximum size of the queue.
        """
        self._fd = fd
        self._on_dropped = on_dropped
        self._limit_bytes = limit_bytes
        self._changed = threading.Condition()
        self._lines: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._is_urgent = False
        self._unreported_count = 0
        self.dropped_count = 0
        # A daemon thread instead of a pool: the process waits for a pool's threads
        # when it ends, and a blocked write would delay that.
        thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )
        thread.start()

    def write(self, line: str, *, is_urgent: bool = False) -> None:
        """Queues a line, or drops it if the queue is full.

        Args:
            line: The line with its newline character.
            is_urgent: Whether to write it at once instead of in a batch.
        """
        data = line.encode(errors="replace")
        with self._changed:
            if self._waiting_bytes + len(data) > self._limit_bytes:
                self.dropped_count += 1
                self._unreported_count += 1
                return
            self._lines.append(data)
            self._waiting_bytes += len(data)
            self._is_urgent |= is_urgent
            self._changed.notify_all()

    def flush(self, *, timeout_s: float) -> bool:
        """Waits until all lines are written and returns whether they are."""
        with self._changed:
            self._is_urgent = True
            self._changed.notify_all()
            return self._changed.wait_for(
                lambda: not self._waiting_bytes, timeout_s
            )

    def _run(self) -> None:
        while True:
            with self._changed:
                self._changed.wait_for(lambda: self._lines)
                self._changed.wait_for(lambda: self._is_urgent, _BATCH_S)
                self._is_urgent = False
                data = b"".join(self._lines)
                self._lines.clear()
                unreported_count, self._unreported_count = (
                    self._unreported_count,
                    0,
                )
            if not self._write(data):
                return
            if unreported_count:
                self._on_dropped(unreported_count)
            with self._changed:
                self._waiting_bytes = sum(map(len, self._lines))
                self._changed.notify_all()

    def _write(self, data: bytes) -> bool:
        remaining = memoryview(data)
        while remaining:
            try:
                remaining = remaining[os.write(self._fd, remaining) :]
            except OSError:
                # The reader has closed its end, so the error cannot be reported.
                return False
        return True
