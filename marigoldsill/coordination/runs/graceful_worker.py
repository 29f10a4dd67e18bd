"""A worker interface that delays stops until requests have been answered."""

import threading
import time

from marigoldsill.coordination.requests import admission as admission_module
from marigoldsill.protocol import worker_interface
from marigoldsill.transport import logs

_STOP_RETENTION_S = 600.0
_DRAIN_WAIT_S = 0.2
_POLL_INTERVAL_S = 0.02


class GracefulWorker:
    """A `WorkerInterface` that delays stops of runs with requests in flight.

    The caller repeats `stop` until the run has stopped. From the first call on,
    the run's endpoints get no new requests. The stop is passed to the worker
    once none is in flight on them, or when the drain limit is over. All other
    calls are passed to the worker unchanged.
    """

    def __init__(
        self,
        *,
        worker: worker_interface.WorkerInterface,
        admission: admission_module.AdmissionController,
        drain_limit_s: float,
    ):
        self._worker = worker
        self._admission = admission
        self._drain_limit_s = drain_limit_s
        self._lock = threading.Lock()
        self._first_stops_s: dict[tuple[str, int], float] = {}

    def __getattr__(self, name: str) -> object:
        """Returns an attribute of the wrapped worker."""
        return getattr(self._worker, name)

    def stop(self, task: str, *, epoch: int) -> None:
        """Stops a run, or drains it and leaves the stop to a later call.

        Raises:
            PlatformError: The worker refused the stop.
        """
        elapsed_s = self._time_since_first_stop_s(task, epoch)
        in_flight_count = self._drain(task)
        if in_flight_count and elapsed_s < self._drain_limit_s:
            return
        if in_flight_count:
            logs.event(
                "requests_cut_off",
                level="WARNING",
                task=task,
                in_flight=in_flight_count,
            )
        self._worker.stop(task, epoch=epoch)

    def _drain(self, task: str) -> int:
        """Drains a run, and waits a short time for its requests in flight.

        The wait limits how often the caller repeats the stop.

        Returns:
            The number of requests still in flight.
        """
        end_s = time.monotonic() + _DRAIN_WAIT_S
        in_flight_count = self._admission.drain_task(task)
        while in_flight_count and time.monotonic() < end_s:
            time.sleep(_POLL_INTERVAL_S)
            in_flight_count = self._admission.drain_task(task)
        return in_flight_count

    def _time_since_first_stop_s(self, task: str, epoch: int) -> float:
        """Time since the first call that stops a run; 0.0 in that call."""
        now_s = time.monotonic()
        with self._lock:
            self._first_stops_s = {
                run: first_stop_s
                for run, first_stop_s in self._first_stops_s.items()
                if first_stop_s + _STOP_RETENTION_S > now_s
            }
            return now_s - self._first_stops_s.setdefault((task, epoch), now_s)
