"""Bounded thread pools with small stacks."""

from collections.abc import Callable
from concurrent import futures
import threading

from marigoldsill import errors

_STACK_BYTES = 512 * 1024


class BoundedPool:
    """A thread pool that rejects tasks instead of queueing them.

    Connections are long-lived, so a connection that waited in a queue for a thread
    might not be read for a long time.
    """

    def __init__(self, *, threads_count: int, name: str):
        threading.stack_size(_STACK_BYTES)
        self._pool = futures.ThreadPoolExecutor(threads_count, name)
        self._free = threading.BoundedSemaphore(threads_count)
        self.threads_count = threads_count

    def submit(
        self, task: Callable, *args: object, wait_s: float = 0.0
    ) -> futures.Future:
        """Runs a task on a free thread.

        Args:
            task: The function to run.
            *args: Its arguments.
            wait_s: How long to wait for a free thread.

        Raises:
            OverloadedError: All threads are busy.
        """
        if not self._free.acquire(timeout=wait_s):
            raise errors.OverloadedError(
                f"all {self.threads_count} threads are busy",
                retry_after_ms=1000,
            )
        try:
            future = self._pool.submit(task, *args)
        except RuntimeError:
            self._free.release()
            raise
        future.add_done_callback(lambda _: self._free.release())
        return future

    def shut_down(self, *, wait: bool = False) -> None:
        """Rejects further tasks; with `wait`, waits until the running ones have ended."""
        self._pool.shutdown(wait=wait, cancel_futures=True)
